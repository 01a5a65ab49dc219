//! Database groups, driven by an ordinary client.

use std::time::Duration;

use model::id::InstanceId;
use postgres::{Client, NoTls, SimpleQueryMessage};
use standin::{Fleet, Spec};

fn ids(fleet: &Fleet) -> Vec<InstanceId> {
    fleet.addresses().instances.keys().cloned().collect()
}

fn connect(fleet: &Fleet, at: usize) -> Client {
    let address = fleet.addresses().instances[at].address;
    let text = format!(
        "host={} port={} user=pomelo dbname=pomelo",
        address.ip(),
        address.port()
    );
    Client::connect(&text, NoTls).expect("the instance accepts connections")
}

fn one(client: &mut Client, sql: &str) -> Vec<String> {
    let messages = client.simple_query(sql).expect("the query runs");
    for message in messages {
        if let SimpleQueryMessage::Row(row) = message {
            let text = |at| row.get(at).unwrap_or_default().to_owned();
            return (0..row.len()).map(text).collect();
        }
    }
    Vec::new()
}

fn code(e: &postgres::Error) -> String {
    e.code().map(|c| c.code().to_owned()).unwrap_or_default()
}

/// Waits on a replica until it has received everything up to `position`.
fn wait(client: &mut Client, position: u64) -> Vec<String> {
    one(
        client,
        &format!("SELECT * FROM replication_wait({position}, 5000)"),
    )
}

const TABLE: &str = "CREATE TABLE record (id BIGINT PRIMARY KEY, note TEXT, paid BOOLEAN)";

#[test]
fn prepared_statements_carry_types() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let mut client = connect(&fleet, 0);
    client.batch_execute(TABLE).unwrap();
    let insert = client
        .prepare("INSERT INTO record VALUES ($1, $2, $3)")
        .unwrap();
    assert_eq!(
        client.execute(&insert, &[&1i64, &"first", &true]).unwrap(),
        1
    );
    let sql = "SELECT id, note, paid, count(*) FROM record WHERE id = $1 GROUP BY 1, 2, 3";
    let row = client.query_one(sql, &[&1i64]).unwrap();
    assert_eq!(row.get::<_, i64>(0), 1);
    assert_eq!(row.get::<_, &str>(1), "first");
    assert!(row.get::<_, bool>(2));
    assert_eq!(row.get::<_, i64>(3), 1);
    assert_eq!(one(&mut client, "SELECT replication_point()"), ["1:2"]);
}

#[test]
fn transactions_commit_or_leave_nothing() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let mut client = connect(&fleet, 0);
    let mut other = connect(&fleet, 0);
    client.batch_execute(TABLE).unwrap();
    let mut tx = client.transaction().unwrap();
    tx.execute("INSERT INTO record VALUES (1, 'a', false)", &[])
        .unwrap();
    assert_eq!(one(&mut other, "SELECT count(*) FROM record"), ["0"]);
    let e = tx
        .execute("INSERT INTO record VALUES (1, 'b', false)", &[])
        .unwrap_err();
    assert_eq!(code(&e), "23505");
    let e = tx.execute("SELECT 1", &[]).unwrap_err();
    assert_eq!(code(&e), "25P02");
    tx.rollback().unwrap();
    assert_eq!(one(&mut other, "SELECT count(*) FROM record"), ["0"]);
    let mut tx = client.transaction().unwrap();
    tx.execute("INSERT INTO record VALUES (1, 'a', false)", &[])
        .unwrap();
    tx.execute("UPDATE record SET paid = true WHERE id = 1", &[])
        .unwrap();
    tx.commit().unwrap();
    assert_eq!(one(&mut other, "SELECT paid FROM record"), ["t"]);
    assert_eq!(fleet.control().log(&ids(&fleet)[0]).unwrap().len(), 2);
}

#[test]
fn replicas_receive_at_once_and_apply_after_the_lag() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let replica = &ids(&fleet)[1];
    fleet
        .control()
        .lag(replica, Duration::from_secs(3_600))
        .unwrap();
    let mut primary = connect(&fleet, 0);
    primary.batch_execute(TABLE).unwrap();
    let mut behind = connect(&fleet, 1);
    let status = wait(&mut behind, 1);
    assert_eq!(status[..5], ["replica", "1", "1:0", "1", "0"]);
    let mut fresh = connect(&fleet, 2);
    assert_eq!(wait(&mut fresh, 1)[4], "1");
    let e = fresh
        .batch_execute("INSERT INTO record VALUES (1, 'a', false)")
        .unwrap_err();
    assert_eq!(code(&e), "25006");
}

// A caller writes to an isolated primary while the other two instances are
// fenced and one is promoted. The old primary commits the write, since it
// still believes that it leads. Once it follows the new one, that record must
// be gone there and the new primary's record must be in its place.
#[test]
fn an_isolated_primary_loses_its_tail_when_it_comes_back() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let names = ids(&fleet);
    let mut old = connect(&fleet, 0);
    let (mut next, mut third) = (connect(&fleet, 1), connect(&fleet, 2));
    old.batch_execute(TABLE).unwrap();
    wait(&mut next, 1);
    wait(&mut third, 1);
    let reach = standin::link::Reach::SameDataCentre;
    fleet.control().isolate(&names[0], Some(reach)).unwrap();
    old.batch_execute("INSERT INTO record VALUES (1, 'lost', false)")
        .unwrap();
    one(&mut next, "SELECT * FROM replication_fence(2)");
    one(&mut third, "SELECT * FROM replication_fence(2)");
    let status = one(&mut next, "SELECT * FROM replication_promote(2)");
    assert_eq!(status[..5], ["primary", "2", "1:0,2:1", "1", "1"]);
    let address = fleet.addresses().instances[1].address;
    let follow = format!("SELECT * FROM replication_follow(2, '{address}')");
    one(&mut third, &follow);
    next.batch_execute("INSERT INTO record VALUES (1, 'kept', false)")
        .unwrap();
    assert_eq!(wait(&mut third, 2)[2], "1:0,2:1");
    fleet.control().heal().unwrap();
    let e = next
        .batch_execute("SELECT * FROM replication_promote(1)")
        .unwrap_err();
    assert_eq!(code(&e), "55000");
    one(&mut old, "SELECT * FROM replication_fence(2)");
    let e = old
        .batch_execute("INSERT INTO record VALUES (2, 'late', false)")
        .unwrap_err();
    assert_eq!(code(&e), "25006");
    one(&mut old, &follow);
    next.batch_execute("INSERT INTO record VALUES (3, 'after', false)")
        .unwrap();
    wait(&mut old, 3);
    assert_eq!(
        one(&mut old, "SELECT note FROM record WHERE id = 1"),
        ["kept"]
    );
    assert_eq!(fleet.control().lost(&names[0]).unwrap().len(), 1);
}

// A primary is cut off from its group. Proxies order the replicas again and again
// to follow it; if each order counted as a sign of life, no replica would ever say
// that it has not heard its primary, and nobody would replace it.
#[test]
fn an_order_to_follow_is_no_sign_of_life() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let names = ids(&fleet);
    let mut replica = connect(&fleet, 1);
    let reach = standin::link::Reach::SameDataCentre;
    fleet.control().isolate(&names[0], Some(reach)).unwrap();
    let address = fleet.addresses().instances[0].address;
    let follow = format!("SELECT * FROM replication_follow(1, '{address}')");
    let heard = |status: Vec<String>| status[5].parse::<u64>().unwrap();
    let mut before = heard(one(&mut replica, &follow));
    for _ in 0..5 {
        std::thread::sleep(Duration::from_millis(20));
        let now = heard(one(&mut replica, &follow));
        assert!(now > before, "heard {now} ms ago, {before} ms before");
        before = now;
    }
}

/// Two inserts before one `Sync`, then the same with a failing second one.
#[test]
fn pipelined_statements_commit_together() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let mut client = connect(&fleet, 0);
    client.batch_execute(TABLE).unwrap();
    let address = fleet.addresses().instances[0].address;
    let (text, _) = pipeline(address, &["INSERT INTO record VALUES (1, 'a', false)"; 2]);
    assert!(text.contains("23505"));
    assert_eq!(one(&mut client, "SELECT count(*) FROM record"), ["0"]);
    let insert = "INSERT INTO record VALUES (1, 'a', false)";
    let (text, status) = pipeline(address, &[insert, "SELECT replication_point()"]);
    assert!(
        text.contains("1:1"),
        "the insert is not committed before the Sync: {text}"
    );
    assert_eq!(status, b'I');
    assert_eq!(one(&mut client, "SELECT replication_point()"), ["1:2"]);
}

/// Sends statements with one `Sync` behind them; gives all bytes that follow
/// the start-up and the transaction status at the end.
fn pipeline(address: std::net::SocketAddr, statements: &[&str]) -> (String, u8) {
    use bytes::{BufMut as _, BytesMut};
    use pgwire::messages::{Message as _, extendedquery as ext, startup};
    use std::io::{Read as _, Write as _};

    const READY: [u8; 5] = [b'Z', 0, 0, 0, 5];
    let mut out = BytesMut::new();
    let mut start = startup::Startup::new();
    start.protocol_number_major = 3;
    start.protocol_number_minor = 0;
    start
        .parameters
        .insert("user".to_owned(), "pomelo".to_owned());
    start.encode(&mut out).expect("it fits");
    for text in statements {
        ext::Parse::new(None, (*text).to_owned(), Vec::new())
            .encode(&mut out)
            .expect("it fits");
        let bind = ext::Bind::new(None, None, Vec::new(), Vec::new(), Vec::new());
        bind.encode(&mut out).expect("it fits");
        ext::Execute::new(None, 0)
            .encode(&mut out)
            .expect("it fits");
    }
    out.put_slice(&[b'S', 0, 0, 0, 4]);
    let mut stream = std::net::TcpStream::connect(address).expect("it listens");
    stream.write_all(&out).expect("it is sent");
    let mut all = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let ready = |all: &[u8]| all.windows(5).filter(|w| *w == READY).count();
        if ready(&all) == 2 && all.len() >= 6 && all[all.len() - 6..all.len() - 1] == READY {
            break;
        }
        let len = stream.read(&mut buf).expect("answers come");
        assert!(len > 0, "the connection ended early");
        all.extend_from_slice(&buf[..len]);
    }
    (
        String::from_utf8_lossy(&all).into_owned(),
        all[all.len() - 1],
    )
}
