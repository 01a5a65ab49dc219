//! Which connections are eligible for replica acknowledgements during changes of primary.

use std::time::Duration;

use front::clock;
use front::pending_changes::Changes;
use indexmap::IndexSet;
use model::id::GroupId;
use model::unit::{Span, Time};
use standin::managed::{Managed, StoreFault};
use store::calls::Purpose;
use store::client::Client;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn groups(names: &[&str]) -> IndexSet<GroupId> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Guards against a connection that is eligible although its replica restarted during a change of
/// primary, and against a change of one group that delays the writes of another.
#[test]
fn connections_opened_during_a_change_are_eligible_after_it() {
    let changes = Changes::default();
    let is_eligible = |name: &str, opened| changes.is_eligible(&name.parse().unwrap(), at(opened));
    assert!(!is_eligible("a", 5));
    changes.record_reply(at(10), &groups(&[]));
    assert!(is_eligible("a", 5) && is_eligible("b", 5));
    changes.record_reply(at(30), &groups(&["a"]));
    assert!(is_eligible("a", 5), "it was open before the change");
    assert!(
        !is_eligible("a", 20),
        "it may be that of a restarted instance"
    );
    assert!(is_eligible("b", 20));
    changes.record_reply(at(40), &groups(&["a"]));
    assert!(!is_eligible("a", 20));
    changes.record_reply(at(50), &groups(&[]));
    assert!(is_eligible("a", 45));
}

/// Guards against connections that a proxy's first reply, received during a change, makes eligible.
#[test]
fn no_connection_is_eligible_for_a_proxy_that_starts_during_a_change() {
    let changes = Changes::default();
    changes.record_reply(at(10), &groups(&["a"]));
    assert!(!changes.is_eligible(&"a".parse().unwrap(), at(5)));
}

/// Guards against a delayed reply of a store reader that ends a change which the reply to a later
/// query showed.
#[test]
fn an_earlier_reply_does_not_replace_a_later_one() {
    let changes = Changes::default();
    changes.record_reply(at(10), &groups(&[]));
    changes.record_reply(at(30), &groups(&["a"]));
    changes.record_reply(at(20), &groups(&[]));
    let is_eligible = |opened| changes.is_eligible(&"a".parse().unwrap(), at(opened));
    assert!(is_eligible(5) && !is_eligible(15));
}

/// Proxies that query one store reader, and the reader's client of the store.
fn data_centre(managed: &Managed, size: usize) -> (Vec<Changes>, Client) {
    let client = Client::new(vec![format!("http://{}", managed.address())]).unwrap();
    let reader = Changes::default();
    let store_reader = async |_: Span| None;
    compio::runtime::spawn(reader.clone().serve(client.clone(), store_reader)).detach();
    let followers: Vec<_> = (0..size).map(|_| Changes::default()).collect();
    for follower in &followers {
        let (reader, follower) = (reader.clone(), follower.clone());
        let client = client.clone();
        compio::runtime::spawn(async move {
            let store_reader = |within| {
                let reply = reader.query_store(within);
                async move { reply.recv_async().await.ok() }
            };
            follower.serve(client, store_reader).await;
        })
        .detach();
    }
    (followers, client)
}

fn queries(client: &Client) -> u64 {
    let calls = client.calls().by_purpose();
    let for_changes = calls.filter(|(purpose, ..)| *purpose == Purpose::Changes);
    for_changes.map(|(.., count)| count).sum()
}

/// Waits until a connection that was opened at this time is eligible for all proxies.
async fn all_eligible(proxies: &[Changes], opened: Time) {
    let group = "a".parse().unwrap();
    while !proxies.iter().all(|c| c.is_eligible(&group, opened)) {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn run(work: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(work);
}

/// Guards against hundreds of restarted proxies that each query the store several times about
/// the eligibility of their new connections.
#[test]
fn one_query_serves_a_data_centre_that_restarts() {
    run(async {
        let managed = Managed::start(1).unwrap();
        let (proxies, client) = data_centre(&managed, 33);
        let opened = clock::now();
        compio::time::sleep(Duration::from_millis(1)).await;
        for changes in &proxies {
            changes.refresh();
        }
        all_eligible(&proxies, opened).await;
        assert_eq!(queries(&client), 1);
    });
}

/// Guards against a write that waits for the batching delay of queries that nobody waits for: its
/// query is sent at once, and serves the others too.
#[test]
fn the_query_of_a_waiting_write_serves_delayed_queries() {
    run(async {
        let managed = Managed::start(1).unwrap();
        let (proxies, client) = data_centre(&managed, 2);
        let opened = clock::now();
        compio::time::sleep(Duration::from_millis(1)).await;
        proxies[0].refresh();
        compio::time::sleep(Duration::from_millis(1)).await;
        assert!(proxies[1].query().recv_async().await.is_ok());
        all_eligible(&proxies, opened).await;
        assert_eq!(queries(&client), 1);
    });
}

/// Guards against callers that wait for their time limit because the store that is queried on
/// their behalf is unreachable.
#[test]
fn a_query_ends_without_a_reply_when_the_store_is_unreachable() {
    run(async {
        let managed = Managed::start(1).unwrap();
        managed.set_store_fault(StoreFault::Away);
        let (proxies, _) = data_centre(&managed, 1);
        assert!(proxies[0].query().recv_async().await.is_err());
    });
}
