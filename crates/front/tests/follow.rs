//! Following a store reader over a slow link.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use front::feed::Packed;
use front::relay::Client;
use model::position::Revision;
use model::unit::Span;
use store::kv::Record;
use store::mirror::Update;
use store::watch::{Batch, Change};

/// Delay of the store reader before each part of its response.
const PART_DELAY: Duration = Duration::from_millis(400);

fn update() -> Update {
    let record = Record {
        key: "op/config".to_owned(),
        value: vec![7; 10_000],
        revision: Revision(9),
        created: Revision(9),
    };
    Update::Changes(Batch {
        changes: vec![Change::Put(record)],
        revision: Revision(9),
    })
}

/// A store reader that responds to one request in `parts` parts, or stops before the last one.
fn store_reader(parts: usize, stops: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = String::new();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        reader.read_line(&mut request).unwrap();
        thread::sleep(PART_DELAY);
        stream.write_all(b"!\"Heard\"\r\n").unwrap();
        let packed = Packed::new(&update()).unwrap();
        let packed = serde_json::to_string(&packed).unwrap();
        let response = format!("!{{\"News\":{packed}}}\r\n");
        let sent = parts - usize::from(stops);
        for part in response
            .as_bytes()
            .chunks(response.len().div_ceil(parts))
            .take(sent)
        {
            thread::sleep(PART_DELAY);
            stream.write_all(part).unwrap();
        }
        // The connection stays open until the follower closes it.
        let _ = reader.read_line(&mut request);
    });
    address
}

fn follow(address: SocketAddr) -> Option<Update> {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let client = Client::default();
        let reader = "p1".parse().unwrap();
        let wait = Span::from_millis(100);
        client
            .follow(&reader, address, Revision(5), wait)
            .await
            .ok()
    })
}

/// Guards against a data centre whose proxies all fetch a large configuration directly from the
/// store, because their store reader needs longer for it than for a small update.
#[test]
fn an_update_that_arrives_in_parts_is_received() {
    let received = follow(store_reader(5, false));
    assert!(received == Some(update()), "the update was not received");
}

/// Guards against waiting for a store reader that stopped in the middle of its response.
#[test]
fn an_incomplete_update_times_out() {
    let received = follow(store_reader(5, true));
    assert!(received.is_none(), "an incomplete update was accepted");
}

/// Guards against a follower that queries a silent store reader once more on a new connection: it
/// waits for it twice, and learns of changes late.
#[test]
fn a_silent_store_reader_is_queried_once() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let counted = accepted.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            counted.fetch_add(1, Ordering::Relaxed);
            let mut stream = stream.unwrap();
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let packed = serde_json::to_string(&Packed::new(&update()).unwrap()).unwrap();
            let response = format!("!\"Heard\"\r\n!{{\"News\":{packed}}}\r\n");
            reader.read_line(&mut String::new()).unwrap();
            stream.write_all(response.as_bytes()).unwrap();
            reader.read_line(&mut String::new()).unwrap();
            stream.write_all(b"!\"Heard\"\r\n").unwrap();
            // The connection stays open until the follower closes it.
            let _ = reader.read_line(&mut String::new());
        }
    });
    let runtime = compio::runtime::Runtime::new().unwrap();
    let results = runtime.block_on(async {
        let client = Client::default();
        let reader = "p1".parse().unwrap();
        let wait = Span::from_millis(100);
        let first = client.follow(&reader, address, Revision(5), wait).await;
        let second = client.follow(&reader, address, Revision(9), wait).await;
        (first, second)
    });
    assert!(results.0.is_ok() && results.1.is_err());
    assert_eq!(accepted.load(Ordering::Relaxed), 1);
}
