//! One test for each way in which the data path can be disturbed.

mod env;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use env::{Env, Setup, code, column, login_at};
use model::unit::Span;
use postgres::NoTls;
use standin::Spec;

const TABLE: &str = "CREATE TABLE payment (id BIGINT PRIMARY KEY, note TEXT)";

/// Executions of statements with this text, on all instances.
fn executions(env: &Env, sql: &str) -> u64 {
    let control = env.control();
    let counts = env.instances().into_iter().map(|instance| {
        let executed = control.executed(&instance).unwrap();
        executed.get(sql).copied().unwrap_or(0)
    });
    counts.max().unwrap_or(0)
}

// A payment is sent on a connection that something between proxy and server has
// lost track of. Nothing comes back, while new connections work. The proxy must not
// send it again, and must not say that it did not run; the next payment gets through.
#[test]
fn a_write_on_a_silent_connection_is_of_unknown_outcome() {
    let env = Env::start();
    let mut client = env.connect(0);
    client.batch_execute(TABLE).unwrap();
    env.control().silence_open(&env.instances()[0]).unwrap();
    let e = client
        .batch_execute("INSERT INTO payment VALUES (1, 'a') /*once='true'*/")
        .unwrap_err();
    assert_eq!(code(&e), "40003");
    client
        .batch_execute("INSERT INTO payment VALUES (2, 'b')")
        .unwrap();
    let seen = column(&mut client, "SELECT id FROM payment WHERE id = 1");
    assert!(seen.len() <= 1);
}

// The same silence meets a read. It has no effect, so the proxy asks again on a
// fresh connection, and the caller sees nothing but a delay.
#[test]
fn a_read_on_a_silent_connection_is_repeated() {
    let env = Env::start();
    let mut client = env.connect(0);
    client.batch_execute(TABLE).unwrap();
    for instance in env.instances() {
        env.control().silence_open(&instance).unwrap();
    }
    assert_eq!(column(&mut client, "SELECT count(*) FROM payment"), ["0"]);
}

// A server dies while it works on a payment. Whether it committed cannot be known.
#[test]
fn a_server_that_dies_leaves_a_write_unknown() {
    let env = Env::start();
    let mut client = env.connect(0);
    client.batch_execute(TABLE).unwrap();
    let primary = env.instances().remove(0);
    let control = env.control();
    control
        .service(&primary, Duration::from_millis(600), 1.0)
        .unwrap();
    let killer = thread::spawn(move || {
        thread::sleep(Duration::from_millis(200));
        control.kill(&primary).unwrap();
    });
    let e = client
        .batch_execute("INSERT INTO payment VALUES (1, 'a')")
        .unwrap_err();
    assert_eq!(code(&e), "40003");
    killer.join().unwrap();
}

// A server dies in the middle of a transaction. The caller must not have its next
// statement run by itself: the transaction stays failed until the caller ends it.
#[test]
fn a_lost_transaction_stays_failed_until_its_end() {
    let env = Env::start();
    let mut client = env.connect(0);
    client.batch_execute(TABLE).unwrap();
    client
        .batch_execute("BEGIN; INSERT INTO payment VALUES (1, 'a')")
        .unwrap();
    let primary = env.instances().remove(0);
    env.control().kill(&primary).unwrap();
    // Its port is free again only once its connections have ended.
    while env.control().restart(&primary).is_err() {
        thread::sleep(Duration::from_millis(20));
    }
    client
        .batch_execute("INSERT INTO payment VALUES (2, 'b')")
        .unwrap_err();
    let e = client
        .batch_execute("INSERT INTO payment VALUES (3, 'c')")
        .unwrap_err();
    assert_eq!(code(&e), "25P02");
    client.batch_execute("COMMIT").unwrap();
    assert_eq!(executions(&env, "INSERT INTO payment VALUES (3, 'c')"), 0);
    // The server that came back knows nothing of it.
    let mut count = Vec::new();
    for _ in 0..50 {
        match client.simple_query("SELECT count(*) FROM payment") {
            Ok(_) => {
                count = column(&mut client, "SELECT count(*) FROM payment");
                break;
            }
            Err(_) => thread::sleep(Duration::from_millis(100)),
        }
    }
    assert_eq!(count, ["0"]);
}

// A new primary was elected elsewhere and this one is fenced, which the proxy has
// not heard. The server refuses the payment. Either it runs once on the new primary,
// or the caller hears that it did not run, and it did not.
#[test]
fn a_fenced_primary_runs_nothing() {
    let env = Env::start();
    let mut client = env.connect(0);
    client.batch_execute(TABLE).unwrap();
    let address = env.fleet.addresses().instances[0].address;
    let direct = format!(
        "host={} port={} user=pomelo dbname=pomelo",
        address.ip(),
        address.port()
    );
    let mut direct = postgres::Client::connect(&direct, NoTls).unwrap();
    direct
        .simple_query("SELECT * FROM replication_fence(2)")
        .unwrap();
    let sql = "INSERT INTO payment VALUES (1, 'a')";
    match client.batch_execute(&format!("{sql} /*deadline='3s'*/")) {
        Ok(()) => assert_eq!(column(&mut client, "SELECT count(*) FROM payment"), ["1"]),
        Err(e) => {
            assert_eq!(code(&e), "57P03");
            assert_eq!(column(&mut direct, "SELECT count(*) FROM payment"), ["0"]);
        }
    }
}

// A caller goes away while its long statement runs. The server is told to cancel,
// and its only slot is free for the next caller long before the statement's end.
#[test]
fn a_caller_that_leaves_frees_the_server() {
    let spec = Spec {
        slots: 1,
        ..Spec::small()
    };
    let env = Env::with(Setup {
        spec,
        ..Setup::default()
    });
    let mut other = env.connect(0);
    let mut leaving = TcpStream::connect(env.address(0)).unwrap();
    leaving
        .write_all(b"\0\0\0\x1e\0\x03\0\0user\0app\0database\0g1\0\0")
        .unwrap();
    let sql = b"SELECT pg_sleep(60) /*deadline='50s'*/\0";
    let len = u32::try_from(sql.len() + 4).unwrap().to_be_bytes();
    leaving.write_all(&[&b"Q"[..], &len, sql].concat()).unwrap();
    thread::sleep(Duration::from_millis(300));
    drop(leaving);
    other.batch_execute("CREATE TABLE a (b INT)").unwrap();
}

// A caller cancels its own statement by the key that the proxy gave it.
#[test]
fn a_cancelled_statement_says_so() {
    let env = Env::start();
    let mut client = env.connect(0);
    let token = client.cancel_token();
    let canceller = thread::spawn(move || {
        thread::sleep(Duration::from_millis(300));
        token.cancel_query(NoTls).unwrap();
    });
    let e = client
        .simple_query("SELECT pg_sleep(30) /*deadline='20s'*/")
        .unwrap_err();
    assert_eq!(code(&e), "57014");
    canceller.join().unwrap();
    assert_eq!(column(&mut client, "SELECT 1"), ["1"]);
}

// A caller opens a transaction and forgets it. It would hold a connection and its
// locks for ever; after the limit it is rolled back and the caller is told.
#[test]
fn a_forgotten_transaction_ends() {
    let env = Env::with(Setup {
        document: |fleet| fleet.defaults.transaction_idle = Span::from_millis(200),
        ..Setup::default()
    });
    let mut client = env.connect(0);
    client.batch_execute(TABLE).unwrap();
    client
        .batch_execute("BEGIN; INSERT INTO payment VALUES (1, 'a')")
        .unwrap();
    thread::sleep(Duration::from_millis(600));
    client.batch_execute("COMMIT").unwrap_err();
    assert_eq!(
        column(&mut env.connect(0), "SELECT count(*) FROM payment"),
        ["0"]
    );
}

// The VM is replaced: the process gets SIGTERM while one caller waits for an answer,
// one is in a transaction and one is idle. The answer arrives whole, the transaction
// commits, the idle caller is told to connect elsewhere, and the exit code is 0.
#[test]
fn a_graceful_shutdown_cuts_nothing_off() {
    let env = Env::start();
    let (mut process, address) = spawn(&env);
    let connect = || login_at(address).connect(NoTls);
    let mut idle = connect().unwrap();
    let mut open = connect().unwrap();
    open.batch_execute(TABLE).unwrap();
    open.batch_execute("BEGIN; INSERT INTO payment VALUES (1, 'a')")
        .unwrap();
    let mut busy = connect().unwrap();
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let answer = busy.simple_query("SELECT pg_sleep(1) /*deadline='9s'*/");
        tx.send(answer.map(|_| ())).unwrap();
    });
    thread::sleep(Duration::from_millis(300));
    let pid = process.0.id().to_string();
    assert!(
        Command::new("kill")
            .args(["-TERM", &pid])
            .status()
            .unwrap()
            .success()
    );
    rx.recv().unwrap().expect("the answer in flight arrives");
    open.batch_execute("INSERT INTO payment VALUES (2, 'b')")
        .unwrap();
    open.batch_execute("COMMIT").unwrap();
    idle.batch_execute("SELECT 1").unwrap_err();
    assert!(process.0.wait().unwrap().success());
    assert_eq!(
        column(&mut env.connect(0), "SELECT count(*) FROM payment"),
        ["2"]
    );
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let len = u32::try_from(body.len() + 4).unwrap().to_be_bytes();
    [&[tag], &len[..], body].concat()
}

/// The messages that run one statement in the extended protocol.
fn extended(sql: &str) -> Vec<u8> {
    let parse = [&[0], sql.as_bytes(), &[0, 0, 0]].concat();
    let execute = message(b'E', &[0, 0, 0, 0, 0]);
    [message(b'P', &parse), message(b'B', &[0; 8]), execute].concat()
}

// A driver pipelines BEGIN, a payment and COMMIT with one Sync while no replica can
// be reached, so no majority holds the payment. Nothing may say that it is done.
#[test]
fn a_pipelined_commit_is_not_acknowledged_alone() {
    let env = Env::start();
    env.connect(0).batch_execute(TABLE).unwrap();
    let mut stream = TcpStream::connect(env.address(0)).unwrap();
    stream
        .write_all(b"\0\0\0\x1e\0\x03\0\0user\0app\0database\0g1\0\0")
        .unwrap();
    for replica in &env.instances()[1..] {
        env.control().kill(replica).unwrap();
    }
    let batch = [
        extended("BEGIN"),
        extended("INSERT INTO payment VALUES (1, 'a') /*deadline='1s'*/"),
        extended("COMMIT"),
        message(b'S', &[]),
        message(b'X', &[]),
    ];
    stream.write_all(&batch.concat()).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(!answer.contains("COMMIT"), "{answer:?}");
    assert!(
        answer.contains("40003") || answer.contains("57P03"),
        "{answer:?}"
    );
}

/// A proxy as a process of its own; it ends with the test, however that ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn spawn(env: &Env) -> (Process, SocketAddr) {
    let address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let mut cfg = env.settings().build();
    cfg.listen = address;
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), serde_json::to_string(&cfg).unwrap()).unwrap();
    let process = Command::new(env!("CARGO_BIN_EXE_pomelo-proxy"))
        .arg("--config")
        .arg(file.path())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    let process = Process(process.unwrap());
    for _ in 0..200 {
        if TcpStream::connect(address).is_ok() {
            return (process, address);
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("the proxy did not start");
}
