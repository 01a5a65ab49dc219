//! Which connections count for proofs of writes while changes of primary come and go.

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

/// Guards against a replica that counts although it restarted during a change of primary, and
/// against a change of one group that holds up the writes of another.
#[test]
fn connections_opened_during_a_change_count_after_it() {
    let changes = Changes::default();
    let counts = |name: &str, opened| changes.is_eligible(&name.parse().unwrap(), at(opened));
    assert!(!counts("a", 5));
    changes.record_reply(at(10), &groups(&[]));
    assert!(counts("a", 5) && counts("b", 5));
    changes.record_reply(at(30), &groups(&["a"]));
    assert!(counts("a", 5), "it was open before the change");
    assert!(!counts("a", 20), "it may be that of a restarted instance");
    assert!(counts("b", 20));
    changes.record_reply(at(40), &groups(&["a"]));
    assert!(!counts("a", 20));
    changes.record_reply(at(50), &groups(&[]));
    assert!(counts("a", 45));
}

/// Guards against the first answer that a proxy hears in the middle of a change.
#[test]
fn nothing_counts_for_a_proxy_that_starts_during_a_change() {
    let changes = Changes::default();
    changes.record_reply(at(10), &groups(&["a"]));
    assert!(!changes.is_eligible(&"a".parse().unwrap(), at(5)));
}

/// Guards against an answer that comes late, by a neighbour, and ends a change that a later
/// one told of.
#[test]
fn an_earlier_answer_undoes_no_later_one() {
    let changes = Changes::default();
    changes.record_reply(at(10), &groups(&[]));
    changes.record_reply(at(30), &groups(&["a"]));
    changes.record_reply(at(20), &groups(&[]));
    let counts = |opened| changes.is_eligible(&"a".parse().unwrap(), at(opened));
    assert!(counts(5) && !counts(15));
}

/// Proxies that ask one of them for what the store tells, and that one's client.
fn data_centre(managed: &Managed, size: usize) -> (Vec<Changes>, Client) {
    let client = Client::new(vec![format!("http://{}", managed.address())]).unwrap();
    let reader = Changes::default();
    let ask = async |_: Span| None;
    compio::runtime::spawn(reader.clone().serve(client.clone(), ask)).detach();
    let followers: Vec<_> = (0..size).map(|_| Changes::default()).collect();
    for follower in &followers {
        let (reader, follower) = (reader.clone(), follower.clone());
        let client = client.clone();
        compio::runtime::spawn(async move {
            let ask = |within| {
                let answer = reader.query_store(within);
                async move { answer.recv_async().await.ok() }
            };
            follower.serve(client, ask).await;
        })
        .detach();
    }
    (followers, client)
}

fn questions(client: &Client) -> u64 {
    let calls = client.calls().by_purpose();
    let about_changes = calls.filter(|(purpose, ..)| *purpose == Purpose::Changes);
    about_changes.map(|(.., count)| count).sum()
}

/// Waits until a connection that was opened at this time counts for all.
async fn all_count(proxies: &[Changes], opened: Time) {
    let group = "a".parse().unwrap();
    while !proxies.iter().all(|c| c.is_eligible(&group, opened)) {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn run(work: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(work);
}

/// Guards against a restart of hundreds of proxies after which each asks the store, some
/// times, whether its new connections count.
#[test]
fn one_question_does_for_a_data_centre_that_restarts() {
    run(async {
        let managed = Managed::start(1).unwrap();
        let (proxies, client) = data_centre(&managed, 33);
        let opened = clock::now();
        compio::time::sleep(Duration::from_millis(1)).await;
        for changes in &proxies {
            changes.refresh();
        }
        all_count(&proxies, opened).await;
        assert_eq!(questions(&client), 1);
    });
}

/// Guards against a write that waits behind questions that nobody waits for: it is asked for
/// at once, and takes them along.
#[test]
fn a_write_that_waits_takes_the_other_questions_along() {
    run(async {
        let managed = Managed::start(1).unwrap();
        let (proxies, client) = data_centre(&managed, 2);
        let opened = clock::now();
        compio::time::sleep(Duration::from_millis(1)).await;
        proxies[0].refresh();
        compio::time::sleep(Duration::from_millis(1)).await;
        assert!(proxies[1].query().recv_async().await.is_ok());
        all_count(&proxies, opened).await;
        assert_eq!(questions(&client), 1);
    });
}

/// Guards against callers that wait for their time limit because a store that is away is asked
/// on their behalf.
#[test]
fn a_question_ends_without_an_answer_when_nobody_can_be_asked() {
    run(async {
        let managed = Managed::start(1).unwrap();
        managed.set_store_fault(StoreFault::Away);
        let (proxies, _) = data_centre(&managed, 1);
        assert!(proxies[0].query().recv_async().await.is_err());
    });
}
