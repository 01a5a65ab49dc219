//! Notes of a coordinator about calls that may still be carried out, in a stand-in's store.

use std::rc::Rc;
use std::time::Duration;

use front::clock;
use front::cx::Cx;
use front::directory::{COORDINATOR, Directory, IntentError, IntentKind};
use front::metrics::Metrics;
use front::place::Ways;
use front::stop;
use indexmap::IndexMap;
use model::id::GroupId;
use model::position::Revision;
use platform::kv;
use policy::pooler::Proxy;
use standin::managed::Managed;
use store::client::Client;
use store::kv::Record;
use test_case::test_case;

fn block_on<T>(work: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().unwrap().block_on(work)
}

fn group() -> GroupId {
    "ledger".parse().unwrap()
}

/// A store where `p1` took the duty at the revision that is given, and a directory that
/// follows nothing.
async fn coordinator() -> (Managed, Client, Directory, Revision) {
    let managed = Managed::start(1).unwrap();
    managed.put(COORDINATOR, b"p1 01");
    let client = Client::new(vec![format!("http://{}", managed.address())]).unwrap();
    let me = Proxy {
        id: "p1".parse().unwrap(),
        data_centre: "a".parse().unwrap(),
    };
    let ways = Ways::new(me.data_centre.clone(), IndexMap::new());
    let (_stopper, stop) = stop::pair();
    let cx = Rc::new(Cx::new(ways, Metrics::new().unwrap(), stop));
    let (changed, _) = flume::bounded(1);
    let directory = Directory::new(cx, me, changed, Duration::from_secs(4), |_| true);
    let held = held(&client).await;
    let duty = held.revision;
    directory.update_coordinator(held);
    (managed, client, directory, duty)
}

async fn held(client: &Client) -> Record {
    let listing = kv::list(client, COORDINATOR).await.unwrap();
    listing.records.into_iter().next().unwrap()
}

/// Guards against a call by a former coordinator that its successor does not know of, since it
/// has read the store already: it would count a replica as stopped that is told to receive, or
/// name another instance. It holds also once the former one has heard of the successor.
#[test_case(IntentKind::Receive, false; "order to receive")]
#[test_case(IntentKind::Lead, false; "order to lead")]
#[test_case(IntentKind::Receive, true; "order to receive, successor known")]
#[test_case(IntentKind::Lead, true; "order to lead, successor known")]
fn a_former_coordinator_notes_no_order(call: IntentKind, knows: bool) {
    block_on(async {
        let (managed, client, directory, duty) = coordinator().await;
        managed.put(COORDINATOR, b"p2 01");
        if knows {
            directory.update_coordinator(held(&client).await);
        }
        let noted = directory
            .record_intent(&client, duty, call, &group(), b"i-1")
            .await;
        assert!(noted.is_err(), "{noted:?}");
        assert!(managed.keys("pomelo/order/").is_empty());
        assert!(managed.keys("pomelo/resume/").is_empty());
    });
}

/// Guards against an order that replaces the note of another one which the coordinator did not
/// know of: it looks again, and then it knows.
#[test]
fn a_note_of_another_order_is_learned_and_kept() {
    block_on(async {
        let (managed, client, directory, duty) = coordinator().await;
        let group = group();
        managed.put("pomelo/order/ledger", b"i-0");
        let note = || directory.record_intent(&client, duty, IntentKind::Lead, &group, b"i-1");
        assert!(matches!(note().await, Err(IntentError::Other)));
        let pending = directory.with(|s| s.order_pending(&group, clock::now()));
        assert_eq!(pending, Some("i-0".parse().unwrap()));
    });
}

/// Guards against a coordinator that gives no order any more since a note that it knew has gone.
#[test]
fn a_note_that_was_deleted_is_written_anew() {
    block_on(async {
        let (managed, client, directory, duty) = coordinator().await;
        let group = group();
        let note = || directory.record_intent(&client, duty, IntentKind::Lead, &group, b"i-1");
        let first = note().await.unwrap();
        let key = "pomelo/order/ledger";
        kv::delete(&client, key, first).await.unwrap();
        assert!(note().await.unwrap() > first);
        assert_eq!(managed.keys("pomelo/order/"), [key]);
    });
}
