//! A coordinator's intents for calls that may still take effect, in the store of a stand-in.

use std::rc::Rc;
use std::time::Duration;

use front::clock;
use front::cx::Cx;
use front::directory::{COORDINATOR, Directory, IntentError, IntentKind};
use front::distance::Distances;
use front::metrics::Metrics;
use front::stop;
use indexmap::IndexMap;
use model::id::GroupId;
use model::position::Revision;
use platform::kv;
use policy::pooler::Proxy;
use policy::quota::Terms;
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

/// A store where `p1` is coordinator since the returned revision, and a directory that does
/// not follow the store.
async fn coordinator() -> (Managed, Client, Directory, Revision) {
    let managed = Managed::start(1).unwrap();
    managed.put(COORDINATOR, b"p1 01");
    let client = Client::new(vec![format!("http://{}", managed.address())]).unwrap();
    let me = Proxy {
        id: "p1".parse().unwrap(),
        data_centre: "a".parse().unwrap(),
    };
    let distances = Distances::new(me.data_centre.clone(), IndexMap::new());
    let (_stopper, stop) = stop::pair();
    let cx = Rc::new(Cx::new(
        "p1".parse().unwrap(),
        Terms::default(),
        distances,
        Metrics::new().unwrap(),
        stop,
    ));
    let (changed, _) = flume::bounded(1);
    let directory = Directory::new(cx, me, changed, Duration::from_secs(4), |_| true);
    let coordinator_record = coordinator_record(&client).await;
    let epoch = coordinator_record.revision;
    directory.update_coordinator(coordinator_record);
    (managed, client, directory, epoch)
}

async fn coordinator_record(client: &Client) -> Record {
    let listing = kv::list(client, COORDINATOR).await.unwrap();
    listing.records.into_iter().next().unwrap()
}

/// Guards against a call by a former coordinator that its successor does not know of, since the
/// successor has already read the store: it would take a replica for paused that is being
/// resumed, or promote another instance. This also holds once the former coordinator knows of
/// the successor.
#[test_case(IntentKind::Receive, false; "resume command")]
#[test_case(IntentKind::Lead, false; "promotion order")]
#[test_case(IntentKind::Receive, true; "resume command, successor known")]
#[test_case(IntentKind::Lead, true; "promotion order, successor known")]
fn a_former_coordinator_records_no_intent(kind: IntentKind, successor_known: bool) {
    block_on(async {
        let (managed, client, directory, epoch) = coordinator().await;
        managed.put(COORDINATOR, b"p2 01");
        if successor_known {
            directory.update_coordinator(coordinator_record(&client).await);
        }
        let outcome = directory
            .record_intent(&client, epoch, kind, &group(), b"i-1")
            .await;
        assert!(outcome.is_err(), "{outcome:?}");
        assert!(managed.keys("pomelo/order/").is_empty());
        assert!(managed.keys("pomelo/resume/").is_empty());
    });
}

/// Guards against an order that replaces the intent of another one which the coordinator did
/// not know of: the failed write returns that intent.
#[test]
fn an_intent_of_another_order_is_read_and_kept() {
    block_on(async {
        let (managed, client, directory, epoch) = coordinator().await;
        let group = group();
        managed.put("pomelo/order/ledger", b"i-0");
        let record = || directory.record_intent(&client, epoch, IntentKind::Lead, &group, b"i-1");
        assert!(matches!(record().await, Err(IntentError::Other)));
        let pending = directory.with(|s| s.order_pending(&group, clock::now()));
        assert_eq!(pending, Some("i-0".parse().unwrap()));
    });
}

/// Guards against a coordinator that can send no more orders because an intent that it knew
/// was deleted.
#[test]
fn a_deleted_intent_is_recorded_again() {
    block_on(async {
        let (managed, client, directory, epoch) = coordinator().await;
        let group = group();
        let record = || directory.record_intent(&client, epoch, IntentKind::Lead, &group, b"i-1");
        let first = record().await.unwrap();
        let key = "pomelo/order/ledger";
        kv::delete(&client, key, first).await.unwrap();
        assert!(record().await.unwrap() > first);
        assert_eq!(managed.keys("pomelo/order/"), [key]);
    });
}
