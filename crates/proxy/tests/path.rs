//! An ordinary client library works unchanged through a proxy.

mod env;

use env::{Env, code, column};
use postgres::fallible_iterator::FallibleIterator as _;

const TABLE: &str = "CREATE TABLE payment (id BIGINT PRIMARY KEY, note TEXT)";

#[test]
fn simple_and_prepared_statements() {
    let env = Env::start();
    let mut client = env.connect(0);
    client.batch_execute(TABLE).unwrap();
    let insert = client
        .prepare("INSERT INTO payment VALUES ($1, $2)")
        .unwrap();
    for id in 0..5i64 {
        assert_eq!(client.execute(&insert, &[&id, &"paid"]).unwrap(), 1);
    }
    let rows = client
        .query("SELECT id FROM payment ORDER BY id", &[])
        .unwrap();
    assert_eq!(
        rows.iter().map(|r| r.get(0)).collect::<Vec<i64>>(),
        [0, 1, 2, 3, 4]
    );
    assert_eq!(column(&mut client, "SELECT count(*) FROM payment"), ["5"]);
    assert_eq!(column(&mut client, "SELECT 1; SELECT 2"), ["1", "2"]);
}

#[test]
fn transactions_commit_and_roll_back() {
    let env = Env::start();
    let mut client = env.connect(0);
    client.batch_execute(TABLE).unwrap();
    let mut tx = client.transaction().unwrap();
    tx.execute("INSERT INTO payment VALUES (1, 'kept')", &[])
        .unwrap();
    tx.commit().unwrap();
    let mut tx = client.transaction().unwrap();
    tx.execute("INSERT INTO payment VALUES (2, 'dropped')", &[])
        .unwrap();
    tx.rollback().unwrap();
    assert_eq!(column(&mut client, "SELECT note FROM payment"), ["kept"]);
    let mut client = env.connect(0);
    assert_eq!(column(&mut client, "SELECT note FROM payment"), ["kept"]);
}

#[test]
fn a_failed_statement_fails_its_transaction_only() {
    let env = Env::start();
    let mut client = env.connect(0);
    client.batch_execute(TABLE).unwrap();
    let mut tx = client.transaction().unwrap();
    tx.execute("INSERT INTO payment VALUES (1, 'a')", &[])
        .unwrap();
    let e = tx
        .execute("INSERT INTO payment VALUES (1, 'b')", &[])
        .unwrap_err();
    assert_eq!(code(&e), "23505");
    let e = tx.query("SELECT 1", &[]).unwrap_err();
    assert_eq!(code(&e), "25P02");
    drop(tx);
    assert_eq!(column(&mut client, "SELECT count(*) FROM payment"), ["0"]);
}

#[test]
fn several_sessions_share_prepared_statements() {
    let env = Env::start();
    let mut clients: Vec<_> = (0..8).map(|_| env.connect(0)).collect();
    clients[0].batch_execute(TABLE).unwrap();
    let statements: Vec<_> = clients
        .iter_mut()
        .map(|c| c.prepare("INSERT INTO payment VALUES ($1, $2)").unwrap())
        .collect();
    for round in 0..5i64 {
        for (n, client) in clients.iter_mut().enumerate() {
            let id = round * 8 + n as i64;
            client.execute(&statements[n], &[&id, &"x"]).unwrap();
        }
    }
    assert_eq!(
        column(&mut clients[3], "SELECT count(*) FROM payment"),
        ["40"]
    );
}

#[test]
fn large_results_and_portals_stream() {
    let env = Env::start();
    let mut client = env.connect(0);
    client.batch_execute(TABLE).unwrap();
    let note = "n".repeat(100_000);
    for id in 0..50i64 {
        client
            .execute("INSERT INTO payment VALUES ($1, $2)", &[&id, &note])
            .unwrap();
    }
    let mut rows = client
        .query_raw("SELECT note FROM payment", &[] as &[&str])
        .unwrap();
    let mut bytes = 0;
    while let Some(row) = rows.next().unwrap() {
        bytes += row.get::<_, &str>(0).len();
    }
    assert_eq!(bytes, 5_000_000);
}

#[test]
fn settings_of_the_proxy() {
    let env = Env::start();
    let mut client = env.connect(0);
    client.batch_execute("SET pomelo.max_age = '5s'").unwrap();
    assert_eq!(column(&mut client, "SHOW pomelo.max_age"), ["5s"]);
    let rows = client.query("SHOW pomelo.max_age", &[]).unwrap();
    assert_eq!(rows[0].get::<_, &str>(0), "5s");
    let e = client
        .batch_execute("SET pomelo.max_age = 'soon'")
        .unwrap_err();
    assert_eq!(code(&e), "22023");
    let e = client.batch_execute("LISTEN news").unwrap_err();
    assert_eq!(code(&e), "0A000");
    let e = client.batch_execute("COPY payment FROM STDIN").unwrap_err();
    assert_eq!(code(&e), "0A000");
    let token = column(&mut client, "SHOW pomelo.session").remove(0);
    client
        .batch_execute(&format!("SET pomelo.session = '{token}'"))
        .unwrap();
    let e = client
        .batch_execute("SET pomelo.session = 'forged'")
        .unwrap_err();
    assert_eq!(code(&e), "22023");
}
