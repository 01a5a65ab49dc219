//! Faults that are switched on while the stand-ins run.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use compio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use model::id::InstanceId;
use model::unit::Span;
use postgres::{Client, NoTls};
use standin::link::{Flow, Traffic};
use standin::platform::Fault;
use standin::{Fleet, Spec};

fn first(fleet: &Fleet) -> InstanceId {
    fleet
        .addresses()
        .instances
        .keys()
        .next()
        .expect("it has instances")
        .clone()
}

fn try_connect(fleet: &Fleet) -> Result<Client, postgres::Error> {
    let address = fleet.addresses().instances[0].address;
    let text = format!(
        "host={} port={} user=pomelo dbname=pomelo",
        address.ip(),
        address.port()
    );
    Client::connect(&text, NoTls)
}

fn code(e: &postgres::Error) -> String {
    e.code().map(|c| c.code().to_owned()).unwrap_or_default()
}

/// Runs a statement elsewhere and tells when it has ended.
fn in_background(mut client: Client, sql: &'static str) -> mpsc::Receiver<bool> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let _ = tx.send(client.batch_execute(sql).is_ok());
    });
    rx
}

const SHORT: Duration = Duration::from_millis(200);
const LONG: Duration = Duration::from_secs(20);

#[test]
fn a_killed_instance_returns_with_its_data() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let id = first(&fleet);
    let mut client = try_connect(&fleet).unwrap();
    client.batch_execute("CREATE TABLE t (n BIGINT)").unwrap();
    fleet.control().kill(&id).unwrap();
    assert!(client.batch_execute("SELECT 1").is_err());
    assert!(try_connect(&fleet).is_err());
    fleet.control().restart(&id).unwrap();
    let mut client = try_connect(&fleet).unwrap();
    client.batch_execute("INSERT INTO t VALUES (1)").unwrap();
}

// A caller's statement never gets an answer, although the server is well: a
// device between the two has forgotten the connection. New ones work.
#[test]
fn open_connections_go_silent_while_new_ones_work() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let client = try_connect(&fleet).unwrap();
    fleet.control().silence_open(&first(&fleet)).unwrap();
    let done = in_background(client, "SELECT 1");
    try_connect(&fleet)
        .unwrap()
        .batch_execute("SELECT 1")
        .unwrap();
    assert!(done.recv_timeout(SHORT).is_err());
}

#[test]
fn one_connection_goes_silent_and_the_others_work() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let (client, mut other) = (try_connect(&fleet).unwrap(), try_connect(&fleet).unwrap());
    let id = first(&fleet);
    let ports = fleet.control().ports(&id).unwrap();
    fleet.control().silence_port(&id, ports[0]).unwrap();
    let done = in_background(client, "SELECT 1");
    other.batch_execute("SELECT 1").unwrap();
    assert!(done.recv_timeout(SHORT).is_err());
    assert_eq!(fleet.control().reads(&id).unwrap(), 1);
}

#[test]
fn a_paused_instance_answers_after_the_pause() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let client = try_connect(&fleet).unwrap();
    let id = first(&fleet);
    fleet
        .control()
        .pause(&id, Duration::from_secs(3_600))
        .unwrap();
    let done = in_background(client, "SELECT 1");
    assert!(done.recv_timeout(SHORT).is_err());
    fleet.control().pause(&id, Duration::ZERO).unwrap();
    assert!(done.recv_timeout(LONG).unwrap());
}

#[test]
fn the_fourth_statement_waits_for_a_slot() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let cancel = {
        let held: Vec<_> = (0..3).map(|_| try_connect(&fleet).unwrap()).collect();
        let cancel = held[0].cancel_token();
        for client in held {
            in_background(client, "SELECT pg_sleep(3600)");
        }
        cancel
    };
    // The first ones may come before the three have begun.
    let waiting = loop {
        let done = in_background(try_connect(&fleet).unwrap(), "SELECT 1");
        if done.recv_timeout(SHORT).is_err() {
            break done;
        }
    };
    cancel.cancel_query(NoTls).unwrap();
    assert!(waiting.recv_timeout(LONG).unwrap());
}

#[test]
fn connections_beyond_the_limit_are_refused() {
    let fleet = Fleet::start(Spec {
        connections: 2,
        ..Spec::small()
    })
    .unwrap();
    let _held = (try_connect(&fleet).unwrap(), try_connect(&fleet).unwrap());
    let Err(e) = try_connect(&fleet) else {
        panic!("a third connection was accepted")
    };
    assert_eq!(code(&e), "53300");
}

#[test]
fn a_cancel_request_ends_the_statement() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let mut client = try_connect(&fleet).unwrap();
    let token = client.cancel_token();
    let running = thread::spawn(move || client.batch_execute("SELECT pg_sleep(60)"));
    let e = loop {
        // The first ones may come before the statement.
        token.cancel_query(NoTls).unwrap();
        thread::sleep(SHORT);
        if running.is_finished() {
            break running.join().unwrap().unwrap_err();
        }
    };
    assert_eq!(code(&e), "57014");
}

// Two sessions of one instance write; the second waits for the first to end
// its transaction, and a reader meanwhile sees only what is committed.
#[test]
fn writers_take_turns() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let mut client = try_connect(&fleet).unwrap();
    client.batch_execute("CREATE TABLE t (n BIGINT)").unwrap();
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .unwrap();
    let second = in_background(try_connect(&fleet).unwrap(), "INSERT INTO t VALUES (2)");
    assert!(second.recv_timeout(SHORT).is_err());
    let count = "SELECT count(*) FROM t";
    let mut reader = try_connect(&fleet).unwrap();
    assert_eq!(reader.query_one(count, &[]).unwrap().get::<_, i64>(0), 0);
    client.batch_execute("COMMIT").unwrap();
    assert!(second.recv_timeout(LONG).unwrap());
    assert_eq!(reader.query_one(count, &[]).unwrap().get::<_, i64>(0), 2);
}

fn http(fleet: &Fleet, from: usize, path: &str, body: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(fleet.addresses().platform[from])?;
    stream.set_read_timeout(Some(SHORT))?;
    let len = body.len();
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nHost: p\r\nConnection: close\r\nContent-Length: {len}\r\n\r\n{body}"
    )?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

const PUT: &str = r#"{"key":"a2V5","value":"b25l"}"#;
const GET: &str = r#"{"key":"a2V5"}"#;

// An operator's write gets no answer and looks failed, yet it took effect.
#[test]
fn a_lost_answer_leaves_the_change_in_force() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    fleet.control().store(Fault::LoseAnswers(1)).unwrap();
    assert!(http(&fleet, 0, "/v3/kv/put", PUT).is_err());
    assert!(
        http(&fleet, 0, "/v3/kv/range", GET)
            .unwrap()
            .contains("b25l")
    );
}

#[test]
fn a_store_that_is_down_refuses_calls() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    fleet.control().store(Fault::Down).unwrap();
    assert!(
        http(&fleet, 0, "/v3/kv/range", GET)
            .unwrap()
            .starts_with("HTTP/1.1 503")
    );
    fleet.control().store(Fault::None).unwrap();
    assert!(
        http(&fleet, 0, "/v3/kv/range", GET)
            .unwrap()
            .starts_with("HTTP/1.1 200")
    );
}

#[test]
fn a_cut_data_centre_reaches_the_store_after_healing() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    fleet.control().cut(2, 0).unwrap();
    assert!(http(&fleet, 2, "/v3/kv/range", GET).is_err());
    assert!(http(&fleet, 1, "/v3/kv/range", GET).is_ok());
    fleet.control().heal().unwrap();
    assert!(http(&fleet, 2, "/v3/kv/range", GET).is_ok());
}

/// Sends four bytes from the third data centre, in the other region.
async fn ping_from_south(address: std::net::SocketAddr) -> std::io::Result<[u8; 4]> {
    let socket = compio::net::TcpSocket::new_v4().await?;
    socket
        .bind("127.0.3.1:0".parse().expect("an address"))
        .await?;
    let mut stream = socket.connect(address).await?;
    stream.write_all(b"ping").await.0?;
    let compio::buf::BufResult(result, buf) = stream.read_exact([0; 4]).await;
    result.map(|()| buf)
}

// Bytes through a relay take the delay of the link and are counted for the
// pair of regions that they cross.
#[test]
fn a_relay_delays_and_counts_bytes() {
    let far = Span::from_millis(50);
    let fleet = Fleet::start(Spec {
        far,
        groups: Vec::new(),
        ..Spec::small()
    })
    .unwrap();
    let echo = std::net::TcpListener::bind("127.0.1.1:0").unwrap();
    let address = fleet.control().relay(echo.local_addr().unwrap()).unwrap();
    thread::spawn(move || {
        let (mut stream, _) = echo.accept().expect("the relay connects");
        let mut buf = [0; 4];
        stream.read_exact(&mut buf).expect("the bytes arrive");
        stream.write_all(&buf).expect("the answer leaves");
    });
    let start = Instant::now();
    let answer = compio::runtime::Runtime::new()
        .unwrap()
        .block_on(ping_from_south(address));
    assert_eq!(answer.unwrap(), *b"ping");
    // A lower bound: a busy machine can only lengthen it.
    assert!(start.elapsed() >= 2 * far.as_duration());
    let bytes = fleet.control().bytes().unwrap();
    let flow = Flow {
        from: "south".parse().unwrap(),
        to: "north".parse().unwrap(),
        traffic: Traffic::Relayed,
    };
    assert_eq!(bytes[&flow], 4);
}
