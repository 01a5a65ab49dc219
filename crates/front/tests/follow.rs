//! Following a neighbour that reads the store over a slow link.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use front::feed::Packed;
use front::relay::Client;
use model::position::Revision;
use model::unit::Span;
use store::kv::Record;
use store::mirror::Update;
use store::watch::{Batch, Change};

/// Pause of the neighbour before each part of its answer.
const PART: Duration = Duration::from_millis(400);

fn news() -> Update {
    let record = Record {
        key: "op/config".to_owned(),
        value: vec![7; 10_000],
        revision: Revision(9),
    };
    Update::Changes(Batch {
        changes: vec![Change::Put(record)],
        revision: Revision(9),
    })
}

/// A neighbour that answers one question in so many parts, or stops before the last one.
fn neighbour(parts: usize, stops: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut question = String::new();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        reader.read_line(&mut question).unwrap();
        thread::sleep(PART);
        stream.write_all(b"!\"Heard\"\r\n").unwrap();
        let packed = Packed::new(&news()).unwrap();
        let packed = serde_json::to_string(&packed).unwrap();
        let answer = format!("!{{\"News\":{packed}}}\r\n");
        let sent = parts - usize::from(stops);
        for part in answer
            .as_bytes()
            .chunks(answer.len().div_ceil(parts))
            .take(sent)
        {
            thread::sleep(PART);
            stream.write_all(part).unwrap();
        }
        // It stays open until the follower closes it.
        let _ = reader.read_line(&mut question);
    });
    address
}

fn follow(address: SocketAddr) -> Option<Update> {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let client = Client::default();
        let reader = "p1".parse().unwrap();
        let wait = Span::from_millis(100);
        client.follow(&reader, address, Revision(5), wait).await
    })
}

/// Guards against a data centre whose proxies all fetch a large configuration from the store
/// themselves, because their neighbour needs longer for it than for small news.
#[test]
fn news_that_arrive_in_parts_are_waited_for() {
    let told = follow(neighbour(5, false));
    assert!(told == Some(news()), "the news were not heard");
}

/// Guards against waiting for a neighbour that has gone in the middle of its answer.
#[test]
fn news_that_stop_are_given_up() {
    let told = follow(neighbour(5, true));
    assert!(told.is_none(), "half of the news were taken for all");
}
