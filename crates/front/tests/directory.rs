//! What the store's keys mean for the proxy, without a store.

use std::sync::Once;

use front::directory::{IntentKind, State};
use model::id::GroupId;
use model::position::Revision;
use model::unit::{Span, Time};
use serde_json::json;
use store::kv::{Listing, Record};
use store::watch::{Batch, Change};
use test_case::test_case;

const START: Time = Time::from_micros(1_000_000);

fn entry_of(group: &str) -> Vec<u8> {
    let record = entry("i-a", 1, 10);
    let mut value: serde_json::Value = serde_json::from_slice(&record.value).unwrap();
    value["service"] = group.into();
    value.to_string().into_bytes()
}

fn entry(id: &str, port: u16, born: u64) -> Record {
    let value = json!({
        "service": "ledger", "address": format!("10.0.0.1:{port}"), "zone": "a", "version": "v1",
        "capacity": 3, "state": "ready", "coldRemainingMs": 0, "dbRole": "replica",
        "sequence": 1, "born": born,
    });
    Record {
        key: format!("servers/{id}"),
        value: value.to_string().into_bytes(),
        revision: Revision(born),
        created: Revision(born),
    }
}

/// Sets a subscriber for all threads. `tracing` caches per log line whether it is enabled; a
/// line that a test without a subscriber reaches first would be disabled for all tests.
fn enable_logs() {
    static ENABLED: Once = Once::new();
    ENABLED.call_once(|| {
        let subscriber = tracing_subscriber::fmt().with_writer(std::io::sink);
        tracing::subscriber::set_global_default(subscriber.finish()).unwrap();
    });
}

fn state(records: Vec<Record>) -> State {
    enable_logs();
    let mut state = State::default();
    let revision = Revision(100);
    state.replace(Listing { records, revision }, START);
    state
}

fn instances(state: &State) -> Vec<(String, bool)> {
    let instances = state.instances(&"ledger".parse::<GroupId>().unwrap());
    let instance =
        |(entry, is_announced): (model::entry::Entry, bool)| (entry.id.to_string(), is_announced);
    instances.into_iter().map(instance).collect()
}

fn change(change: Change) -> Batch {
    Batch {
        changes: vec![change],
        revision: Revision(200),
    }
}

/// Guards against an unavailable group after an instance crashes and restarts under another id:
/// its old id was taken for a replica that might come back. When the primary became
/// unresponsive as well, no other was promoted for four seconds, and writes were refused.
#[test]
fn an_instance_replaced_at_its_address_is_removed() {
    let mut state = state(vec![entry("i-a", 1, 10), entry("i-b", 2, 11)]);
    let deletion = Change::Delete("servers/i-a".to_owned(), Revision(150));
    state.apply(change(deletion), START);
    assert_eq!(
        instances(&state),
        [("i-a".into(), false), ("i-b".into(), true)]
    );
    state.apply(change(Change::Put(entry("i-c", 1, 20))), START);
    assert_eq!(
        instances(&state),
        [("i-b".into(), true), ("i-c".into(), true)]
    );
}

/// Guards against a coordinator that promotes a replica without an acknowledged write, since it has
/// forgotten the running one that holds it: another writer had overwritten that one's entry.
#[test_case(b"{\"service\":\"ledger\"}"; "unreadable")]
#[test_case(&entry_of("other"); "naming another group")]
fn an_instance_with_an_overwritten_entry_is_kept_and_not_used(value: &[u8]) {
    let group = "ledger".parse().unwrap();
    let mut state = state(vec![entry("i-a", 1, 10), entry("i-b", 2, 11)]);
    assert_eq!(state.take_entries(&group).map(|e| e.len()), Some(2));
    let overwritten = Record {
        value: value.to_vec(),
        ..entry("i-a", 1, 10)
    };
    state.apply(change(Change::Put(overwritten)), START);
    assert_eq!(
        instances(&state),
        [("i-a".into(), false), ("i-b".into(), true)]
    );
    let used = state.take_entries(&group).unwrap();
    assert_eq!(used.len(), 1);
    assert_eq!(used[0].id.to_string(), "i-b");
    state.apply(change(Change::Put(entry("i-a", 1, 10))), START);
    assert_eq!(
        instances(&state),
        [("i-a".into(), true), ("i-b".into(), true)]
    );
    assert_eq!(state.take_entries(&group).map(|e| e.len()), Some(2));
}

/// Guards against keeping a replaced instance when the clocks of two starts disagree: both entries
/// are listed, since the old one has not expired yet, and its start time is the later one. It
/// is removed as soon as its entry expires.
#[test]
fn the_entry_that_expires_is_the_older_one() {
    let mut state = state(vec![entry("i-a", 1, 30), entry("i-c", 1, 20)]);
    assert_eq!(instances(&state).len(), 2);
    let deletion = Change::Delete("servers/i-a".to_owned(), Revision(150));
    state.apply(change(deletion), START);
    assert_eq!(instances(&state), [("i-c".into(), true)]);
}

/// Guards against removing instances whose entries expire while the store is unavailable and
/// then come back.
#[test]
fn an_instance_announced_again_is_kept() {
    let mut state = state(vec![entry("i-a", 1, 10)]);
    let group = "ledger".parse().unwrap();
    state.take_entries(&group);
    state.replace(Listing::default(), START);
    assert!(!state.sweep(START + Span::from_millis(2_000)));
    state.apply(change(Change::Put(entry("i-a", 1, 10))), START);
    assert_eq!(instances(&state), [("i-a".into(), true)]);
    assert!(!state.sweep(START + Span::from_millis(4_000)));
}

/// The configuration never reverts to an earlier revision, in whatever order revisions arrive.
#[test]
fn an_older_configuration_is_ignored() {
    let config = |version: u64, revision: u64| Record {
        key: "op/config".to_owned(),
        value: json!({ "version": version, "routes": [], "services": [], "limits": {} })
            .to_string()
            .into_bytes(),
        revision: Revision(revision),
        created: Revision(1),
    };
    let mut state = state(vec![config(7, 70)]);
    assert_eq!(state.take_routes().map(|r| r.version), Some(7));
    state.apply(change(Change::Put(config(6, 60))), START);
    assert!(state.take_routes().is_none());
}

/// An intent to resume replicas is pending for as long as the command may still take effect,
/// and an intent that was recorded again outlives the deletion of the first.
#[test]
fn a_pending_resume_expires_after_the_longest_delay() {
    let group: GroupId = "ledger".parse().unwrap();
    let mut state = State::default();
    state.put_intent(
        IntentKind::Receive,
        group.clone(),
        Revision(5),
        Vec::new(),
        START,
    );
    assert!(state.resume_pending(&group, START + Span::from_millis(12_500)));
    let expiry = START + Span::from_millis(13_500);
    assert!(!state.resume_pending(&group, expiry));
    assert_eq!(
        state.expired_intent(IntentKind::Receive, &group, expiry),
        Some(Revision(5))
    );
    state.put_intent(
        IntentKind::Receive,
        group.clone(),
        Revision(8),
        Vec::new(),
        expiry,
    );
    state.forget_intent(IntentKind::Receive, &group, Revision(7));
    assert!(state.resume_pending(&group, expiry));
}

/// Guards against losing an intent because a listing was read before it was recorded: the call
/// may still take effect.
#[test]
fn an_intent_outlives_an_older_listing() {
    let group: GroupId = "ledger".parse().unwrap();
    let mut state = State::default();
    state.put_intent(
        IntentKind::Lead,
        group.clone(),
        Revision(120),
        b"i-a".to_vec(),
        START,
    );
    let listing = |revision| Listing {
        records: Vec::new(),
        revision: Revision(revision),
    };
    state.replace(listing(100), START);
    let pending = state.order_pending(&group, START);
    assert_eq!(pending, Some("i-a".parse().unwrap()));
    state.replace(listing(130), START);
    assert_eq!(state.order_pending(&group, START), None);
}

/// Guards against a group that has no primary while a promotion order is pending for an
/// instance that was replaced at its address, so that the order never takes effect.
#[test]
fn an_order_for_a_replaced_instance_is_void() {
    let group: GroupId = "ledger".parse().unwrap();
    let mut state = state(vec![entry("i-a", 1, 10)]);
    state.put_intent(
        IntentKind::Lead,
        group.clone(),
        Revision(120),
        b"i-a".to_vec(),
        START,
    );
    assert_eq!(state.replaced_order(&group, START), None);
    let deletion = Change::Delete("servers/i-a".to_owned(), Revision(150));
    state.apply(change(deletion), START);
    assert_eq!(state.replaced_order(&group, START), None);
    state.apply(change(Change::Put(entry("i-c", 1, 20))), START);
    assert_eq!(state.replaced_order(&group, START), Some(Revision(120)));
}

/// What is logged while `act` runs.
fn log_output(act: impl FnOnce()) -> String {
    let file = tempfile::NamedTempFile::new().unwrap();
    let writer = file.reopen().unwrap();
    let subscriber = tracing_subscriber::fmt()
        .with_writer(std::sync::Mutex::new(writer))
        .finish();
    tracing::subscriber::with_default(subscriber, act);
    std::fs::read_to_string(file.path()).unwrap()
}

/// Guards against a restart of the fleet in which each of hundreds of proxies logs every
/// instance on a line of its own, which takes CPU time from its callers.
#[test]
fn many_instances_are_announced_in_one_line() {
    let port = |n: u16| entry(&format!("i-{n}"), n, 10);
    let text = log_output(|| {
        state((1..=60).map(port).collect());
    });
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("count=60"), "{text}");
}

/// Guards against a log that does not show which instance came back.
#[test]
fn a_few_instances_are_announced_one_by_one() {
    let mut state = state((1..=60).map(|n| entry(&format!("i-{n}"), n, 10)).collect());
    let text = log_output(|| {
        let put = Change::Put(entry("i-7", 7, 30));
        state.apply(change(put), START);
    });
    assert!(text.contains("instance=i-7"), "{text}");
}
