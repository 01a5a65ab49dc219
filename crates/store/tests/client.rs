//! Tests of the client against the platform's stand-in.

use std::time::Duration;

use model::position::Revision;
use standin::platform::Fault;
use standin::{Fleet, Spec};
use store::Client;
use store::calls::{Kind, Purpose};
use store::kv::Outcome;
use store::watch::Change;

const KEY: &str = "pomeloscale/config";
const PREFIX: &str = "pomeloscale/";
const TIMEOUT: Duration = Duration::from_secs(5);

fn client(fleet: &Fleet) -> Client {
    let urls = fleet.addresses().platform.values();
    let urls = urls.map(|address| format!("http://{address}"));
    Client::new(urls.collect()).unwrap()
}

#[compio::test]
async fn two_writers_of_one_revision_get_one_success_and_one_conflict() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let client = client(&fleet);
    let absent = Revision(0);
    let first = client.swap(KEY, absent, b"one".to_vec()).await.unwrap();
    let Outcome::Applied(revision) = first else {
        panic!("the first writer should win, not {first:?}");
    };
    let second = client.swap(KEY, absent, b"two".to_vec()).await.unwrap();
    let Outcome::Conflict(Some(current)) = second else {
        panic!("the second writer should lose, not {second:?}");
    };
    assert_eq!(
        (current.value, current.revision),
        (b"one".to_vec(), revision)
    );
    let third = client.swap(KEY, revision, b"two".to_vec()).await.unwrap();
    assert!(matches!(third, Outcome::Applied(later) if later > revision));
}

/// The store applies an operator's change, but its response is lost. A retry that takes its
/// own value for another writer's would report a conflict.
#[compio::test]
async fn a_swap_whose_response_was_lost_is_applied_once() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let client = client(&fleet);
    fleet.control().store(Fault::LoseAnswers(1)).unwrap();
    let outcome = client.swap(KEY, Revision(0), b"nonce-1".to_vec()).await;
    let record = client.get(KEY).await.unwrap().expect("the value is there");
    assert_eq!(outcome.unwrap(), Outcome::Applied(record.revision));
    assert_eq!(record.value, b"nonce-1");
    let listing = client.list(PREFIX).await.unwrap();
    assert_eq!(listing.revision, record.revision, "one change took effect");
}

#[compio::test]
async fn an_outage_is_distinguished_from_a_refused_connection() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let client = client(&fleet);
    fleet.control().store(Fault::Silent).unwrap();
    let outcome = client.swap(KEY, Revision(0), b"x".to_vec()).await.unwrap();
    assert_eq!(outcome, Outcome::Unknown);

    let unreachable = Client::new(vec!["http://127.0.0.1:9".into()]).unwrap();
    let outcome = unreachable.swap(KEY, Revision(0), b"x".to_vec()).await;
    assert!(outcome.expect_err("nobody listens").had_no_effect());
}

#[compio::test]
async fn a_watch_reports_changes_since_a_revision() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let client = client(&fleet);
    let first = client.put(KEY, b"one".to_vec()).await.unwrap();
    client.put(KEY, b"two".to_vec()).await.unwrap();
    let mut watch = client.watch(PREFIX, first.next()).await.unwrap();
    let mut values = Vec::new();
    while values.len() < 2 {
        if let Some(batch) = watch.next(TIMEOUT).await.unwrap() {
            for change in batch.changes {
                let Change::Put(record) = change else {
                    panic!("nothing was deleted");
                };
                values.push(record.value);
            }
        }
        if values.len() == 1 {
            client.put(KEY, b"three".to_vec()).await.unwrap();
        }
    }
    assert_eq!(values, [b"two".to_vec(), b"three".to_vec()]);
    assert_eq!(client.calls().get(Kind::Watch), 1);
}

#[compio::test]
async fn a_lease_is_granted_renewed_and_revoked() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let client = client(&fleet);
    let lease = client.grant(Duration::from_secs(5)).await.unwrap();
    assert!(client.keep_alive(lease).await.unwrap().is_some());
    client.revoke(lease).await.unwrap();
    assert_eq!(client.keep_alive(lease).await.unwrap(), None);
}

#[compio::test]
async fn calls_are_counted_by_purpose() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let client = client(&fleet);
    let registration = client.counted_for(Purpose::Registration);
    registration.grant(Duration::from_secs(5)).await.unwrap();
    client.put(KEY, b"one".to_vec()).await.unwrap();
    let counted: Vec<_> = client
        .calls()
        .by_purpose()
        .filter(|(.., count)| *count > 0)
        .collect();
    let follow = (Purpose::Follow, Kind::Write, 1);
    assert_eq!(counted, [follow, (Purpose::Registration, Kind::Lease, 1)]);
}

#[compio::test]
async fn a_fleet_of_thousands_of_groups_is_stored_and_changed() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let client = client(&fleet);
    let mut document = fleet.document();
    let group = document.groups[0].clone();
    for at in 0..4_000 {
        let id = format!("db-{at}").parse().unwrap();
        document.groups.insert(id, group.clone());
    }
    let base = client.load_config().await.unwrap();
    let first = client.save_config(&base, &document, "n1").await.unwrap();
    assert!(matches!(first, Outcome::Applied(_)));
    let stored = client.load_config().await.unwrap();
    assert_eq!(stored.fleet, document);

    let before = client.calls().get(Kind::Write);
    document.groups[7].database = "other".into();
    let second = client.save_config(&stored, &document, "n2").await.unwrap();
    assert!(matches!(second, Outcome::Applied(_)));
    let writes = client.calls().get(Kind::Write) - before;
    assert_eq!(writes, 2, "one batch of parts, then the head");
    let stale = client.save_config(&stored, &document, "n3").await.unwrap();
    assert!(matches!(stale, Outcome::Conflict(Some(_))));
}
