//! Callers identify themselves by a key, and instances are told the customer.

mod env;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use env::{Caller, customer, proxy, wait, with_connections, with_customers};
use serde_json::json;
use standin::managed::Managed;

const RATE: u32 = 1_000;

fn platform() -> Managed {
    let managed = Managed::start(3).unwrap();
    let customers = [
        customer("acme", &["key-a1", "key-a2"], RATE),
        customer("borg", &["key-b"], RATE),
    ];
    managed.configure(&with_customers(1, &customers));
    managed
}

/// A session that has been served once.
fn session(proxy: SocketAddr, key: &str) -> Caller {
    let mut session = Caller::connect_as(proxy, "filing", key).unwrap();
    session.query_until_done("WRITE a 1");
    session
}

fn customer_of(managed: &Managed, id: &str) -> Option<String> {
    let arrivals = managed.arrivals();
    Some(arrivals.iter().find(|a| a.id == id)?.customer.clone())
}

#[test]
fn instances_are_told_the_customer_and_never_the_key() {
    let managed = platform();
    let proxy = proxy(&managed, "p1");
    for _ in 0..3 {
        for (key, customer) in [("key-a1", "acme"), ("key-b", "borg"), ("key-a2", "acme")] {
            let mut session = session(proxy, key);
            for text in ["READ a", "BEGIN", "WRITE a 2", "COMMIT", "WRITE a 3"] {
                let reply = session.query(text);
                assert!(reply.done(), "{text}: {reply:?}");
                if let Some(found) = customer_of(&managed, &reply.id) {
                    assert_eq!(found, customer, "{text}");
                }
            }
        }
    }
    for arrival in managed.arrivals() {
        assert!(
            ["acme", "borg"].contains(&arrival.customer.as_str()),
            "{arrival:?}"
        );
    }
}

#[test]
fn an_unknown_key_is_rejected() {
    let managed = platform();
    let proxy = proxy(&managed, "p1");
    for key in ["unknown", "acme", ""] {
        let rejected = Caller::connect_as(proxy, "filing", key).err();
        assert!(
            rejected.is_some_and(|line| line.starts_with("ERR NOAUTH")),
            "{key}"
        );
    }
}

/// A route is public: callers with and without a known key are served.
#[test]
fn a_public_route_needs_no_key() {
    let managed = platform();
    let mut value = with_customers(2, &[customer("acme", &["key-a1"], RATE)]);
    value["routes"][0]["public"] = json!(true);
    managed.configure(&value);
    let proxy = proxy(&managed, "p1");
    for (key, customer) in [("key-a1", "acme"), ("unknown", "proxy")] {
        let mut session = session(proxy, key);
        let id = session.query_until_done("WRITE a 1").id;
        assert_eq!(customer_of(&managed, &id).as_deref(), Some(customer));
    }
}

/// A key is revoked: open sessions run no new operation under it, and an open transaction
/// still ends. Once the key is back, it works at once.
#[test]
fn a_revoked_key_ends_its_sessions() {
    let managed = platform();
    let proxy = proxy(&managed, "p1");
    let (mut idle, mut other) = (session(proxy, "key-a1"), session(proxy, "key-a2"));
    let mut open = session(proxy, "key-a1");
    assert!(open.query("BEGIN").done() && open.query("WRITE a 2").done());
    managed.configure(&with_customers(2, &[customer("acme", &["key-a2"], RATE)]));
    wait(|| Caller::connect_as(proxy, "filing", "key-a1").err());
    assert!(open.query("COMMIT").done());
    for session in [&mut idle, &mut open] {
        assert_eq!(session.query("WRITE a 3").code(), Some("NOAUTH"));
        assert_eq!(session.try_query("READ a"), None);
    }
    assert!(other.query("WRITE a 4").done());
    managed.configure(&with_customers(3, &[customer("acme", &["key-a1"], RATE)]));
    wait(|| Caller::connect_as(proxy, "filing", "key-a1").ok());
}

/// A configuration with invalid customers does not replace the one in force.
#[test]
fn an_invalid_configuration_leaves_the_last_one_in_force() {
    let managed = platform();
    let proxy = proxy(&managed, "p1");
    let mut session = session(proxy, "key-a1");
    let shared = [
        customer("acme", &["key-b"], RATE),
        customer("borg", &["key-b"], RATE),
    ];
    managed.configure(&with_customers(2, &shared));
    managed.configure(&with_customers(
        3,
        &[
            customer("cora", &["key-c"], RATE),
            customer("acme", &["key-a1"], RATE),
        ],
    ));
    wait(|| Caller::connect_as(proxy, "filing", "key-c").ok());
    assert!(session.query("WRITE a 2").done());
}

/// A pooler grants connections to other proxies: each statement still runs on a connection
/// that was opened for its customer.
#[test]
fn a_pooler_keeps_customers_apart() {
    let managed = Managed::start(3).unwrap();
    let mut value = with_connections(1, &env::DATABASES, 3);
    value["tenants"] = json!([
        customer("acme", &["key-a"], RATE),
        customer("borg", &["key-b"], RATE)
    ]);
    managed.configure(&value);
    let proxies = ["p1", "p2", "p3"].map(|name| proxy(&managed, name));
    wait(|| (managed.keys("pomelo/proxy/").len() == 3).then_some(()));
    for _ in 0..3 {
        for proxy in proxies {
            for (key, customer) in [("key-a", "acme"), ("key-b", "borg")] {
                let mut session = Caller::connect_as(proxy, "audit", key).unwrap();
                let id = session.query_until_done("WRITE a 1").id;
                assert_eq!(customer_of(&managed, &id).as_deref(), Some(customer));
            }
        }
    }
}

/// Guards against a customer that sends several times its limit through several proxies at
/// once, and takes the slots of the others.
#[test]
fn a_hot_customer_is_limited_over_all_proxies() {
    const HOT_RATE: u32 = 20;
    let managed = Managed::start(3).unwrap();
    let customers = [
        customer("hot", &["key-h"], HOT_RATE),
        customer("calm", &["key-c"], RATE),
    ];
    managed.configure(&with_customers(1, &customers));
    let proxies = ["p1", "p2"].map(|name| proxy(&managed, name));
    // Eight sessions on each proxy.
    let hot = proxies.repeat(8).into_iter().map(|proxy| {
        std::thread::spawn(move || {
            let mut session = session(proxy, "key-h");
            let end = Instant::now() + Duration::from_secs(3);
            let mut hints = Vec::new();
            while Instant::now() < end {
                let reply = session.query("READ a");
                if !reply.done() {
                    assert_eq!(reply.code(), Some("BUSY"), "{reply:?}");
                    let line = reply.lines.last().unwrap().clone();
                    assert!(line.contains("retry after"), "{line}");
                    hints.push(line);
                }
            }
            hints
        })
    });
    let hot: Vec<_> = hot.collect();
    let mut calm = session(proxies[0], "key-c");
    for _ in 0..50 {
        assert!(calm.query("READ a").done());
    }
    let hints = hot.into_iter().flat_map(|thread| thread.join().unwrap());
    assert!(hints.count() > 10);
    let arrivals = managed.arrivals();
    let times: Vec<_> = arrivals
        .iter()
        .filter(|a| a.customer == "hot")
        .map(|a| a.at)
        .collect();
    // Rate and burst of one window.
    let allowed = 5 * HOT_RATE as usize + HOT_RATE as usize;
    for (first, from) in times.iter().enumerate() {
        let until = *from + Duration::from_secs(5);
        let count = times[first..].iter().filter(|at| **at < until).count();
        assert!(count <= allowed, "{count} of {allowed}");
    }
    assert!(times.len() > 2 * HOT_RATE as usize, "{}", times.len());
}
