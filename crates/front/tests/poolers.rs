//! Groups whose instances accept fewer connections than there are proxies.

mod env;

use std::thread;

use env::{Caller, DATABASES, metrics, proxy, proxy_and_metrics, wait, with_connections};
use policy::pooler::{self, Proxy};
use standin::managed::{Fault, Managed};

fn caller(proxy: std::net::SocketAddr, database: &str) -> Caller {
    Caller::connect(proxy, database).unwrap()
}

/// A platform whose instances accept two connections, and three proxies: too few for
/// each to hold its own, so one pools the group's connections for the others.
fn scarce() -> (Managed, Vec<std::net::SocketAddr>) {
    let managed = Managed::start(3).unwrap();
    managed.configure(&with_connections(1, &DATABASES, 2));
    let proxies = ["p1", "p2", "p3"].map(|name| proxy(&managed, name));
    wait(|| (managed.keys("pomelo/proxy/").len() == 3).then_some(()));
    (managed, proxies.to_vec())
}

/// Callers of every proxy are served over the pooler's connections: a transaction keeps its
/// connection, values and prepared statements are those of the session, and a session reads
/// its own writes.
#[test]
fn a_pooler_serves_the_callers_of_all_proxies() {
    let (managed, proxies) = scarce();
    for (n, proxy) in proxies.iter().enumerate() {
        let mut session = caller(*proxy, "audit");
        session.query_until_done(&format!("WRITE a{n} 1"));
        assert!(session.query("SET zone north").done());
        assert!(session.query("PREPARE s1 WRITE q").done());
        assert!(session.query("BEGIN").done());
        assert!(session.query(&format!("EXEC s1 a{n} 2")).done());
        assert!(session.query("COMMIT").done());
        assert_eq!(
            session.query_until_done(&format!("READ a{n}")).lines[0],
            "ROW 2"
        );
    }
    assert_eq!(managed.log().len(), 6);
}

/// The primary of a group fails while only one proxy holds connections to it. The callers of
/// all proxies see the same: truthful errors, and then their writes on the new primary.
#[test]
fn a_lost_primary_is_replaced_behind_a_pooler() {
    let (managed, proxies) = scarce();
    let mut sessions: Vec<_> = proxies.iter().map(|p| caller(*p, "filing")).collect();
    for session in &mut sessions {
        session.query_until_done("WRITE a before");
    }
    managed.set_fault(0, Fault::Down);
    for session in &mut sessions {
        let after = session.query_until_done("WRITE a after");
        assert_eq!(managed.runs(&after.id), 1);
    }
    assert_ne!(managed.primary(), 0);
    assert_eq!(managed.log().len(), 6);
}

/// Guards against a proxy without connections of its own that probes a lost primary only while
/// a caller waits, and keeps suspecting it long after the change because no caller waits any
/// more. When the group changed back to that instance, it was replaced again and again.
#[test]
fn suspicions_end_with_the_change() {
    let (managed, proxies) = scarce();
    let mut sessions: Vec<_> = proxies.iter().map(|p| caller(*p, "filing")).collect();
    managed.set_fault(0, Fault::Dark);
    let callers: Vec<_> = sessions
        .drain(..)
        .map(|mut session| thread::spawn(move || session.query("WRITE a 1")))
        .collect();
    for caller in callers {
        caller.join().unwrap();
    }
    wait(|| (managed.primary() != 0).then_some(()));
    wait(|| managed.keys("pomelo/doubt/").is_empty().then_some(()));
}

/// A caller disconnects in the middle of a transaction on a pooler's connection. The
/// transaction is rolled back, and the connection serves the next caller without it.
#[test]
fn a_transaction_left_behind_a_pooler_is_rolled_back() {
    let (managed, proxies) = scarce();
    for proxy in &proxies {
        let mut session = caller(*proxy, "filing");
        session.query_until_done("WRITE a kept");
        session.query("BEGIN");
        session.query("WRITE a dropped");
        drop(session);
        let mut next = caller(*proxy, "filing");
        assert_eq!(next.query_until_done("READ a").lines[0], "ROW kept");
    }
    assert!(managed.log().iter().all(|entry| entry == "a=kept"));
}

/// Guards against a restart of hundreds of proxies after which each queries all instances of all
/// groups for the primary, before it knows that others hold the connections.
#[test]
fn a_client_proxy_opens_no_connection_when_it_starts() {
    let (managed, _) = scarce();
    let known = |name: &str| Proxy {
        id: name.parse().unwrap(),
        data_centre: "dc-a".parse().unwrap(),
    };
    let is_client = |name: &str| {
        let live = ["p1", "p2", "p3"].map(known);
        !pooler::plan(&"ledger".parse().unwrap(), 2, &known(name), &live).is_holder
    };
    let name = ["p4", "p5", "p6", "p7"]
        .into_iter()
        .find(|n| is_client(n))
        .unwrap();
    let (proxy, address) = proxy_and_metrics(&managed, name);
    let mut session = caller(proxy, "filing");
    session.query_until_done("WRITE a 1");
    let text = metrics(address).unwrap();
    assert!(!text.contains("pomelo_connections_opened_total{"), "{text}");
}
