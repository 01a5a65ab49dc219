//! What the store's keys mean for the proxy, without a store.

use front::directory::{IntentKind, State};
use model::id::GroupId;
use model::position::Revision;
use model::unit::{Span, Time};
use serde_json::json;
use store::kv::{Listing, Record};
use store::watch::{Batch, Change};

const START: Time = Time::from_micros(1_000_000);

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
    }
}

fn state(records: Vec<Record>) -> State {
    let mut state = State::default();
    let revision = Revision(100);
    state.replace(Listing { records, revision }, START);
    state
}

fn members(state: &State) -> Vec<(String, bool)> {
    let members = state.instances(&"ledger".parse::<GroupId>().unwrap());
    let member = |(entry, listed): (model::entry::Entry, bool)| (entry.id.to_string(), listed);
    members.into_iter().map(member).collect()
}

fn change(change: Change) -> Batch {
    Batch {
        changes: vec![change],
        revision: Revision(200),
    }
}

/// An instance crashes and restarts under another id. Its old id was taken for a replica
/// that might come back, so when the primary went silent as well, no other was named for
/// four seconds: callers saw their writes refused all the while.
#[test]
fn an_instance_that_was_replaced_at_its_address_is_forgotten() {
    let mut state = state(vec![entry("i-a", 1, 10), entry("i-b", 2, 11)]);
    let gone = Change::Delete("servers/i-a".to_owned(), Revision(150));
    state.apply(change(gone), START);
    assert_eq!(
        members(&state),
        [("i-a".into(), false), ("i-b".into(), true)]
    );
    state.apply(change(Change::Put(entry("i-c", 1, 20))), START);
    assert_eq!(
        members(&state),
        [("i-b".into(), true), ("i-c".into(), true)]
    );
}

/// Both entries are listed, since the old one has not lapsed yet, and the clocks of the
/// two starts disagree: it is forgotten as soon as it lapses.
#[test]
fn the_entry_that_lapses_is_the_older_one() {
    let mut state = state(vec![entry("i-a", 1, 30), entry("i-c", 1, 20)]);
    assert_eq!(members(&state).len(), 2);
    let gone = Change::Delete("servers/i-a".to_owned(), Revision(150));
    state.apply(change(gone), START);
    assert_eq!(members(&state), [("i-c".into(), true)]);
}

/// Entries lapse while the store is away, and come back: nobody is forgotten meanwhile.
#[test]
fn an_instance_that_is_announced_again_was_never_gone() {
    let mut state = state(vec![entry("i-a", 1, 10)]);
    let group = "ledger".parse().unwrap();
    state.take_entries(&group);
    state.replace(Listing::default(), START);
    assert!(!state.sweep(START + Span::from_millis(2_000)));
    state.apply(change(Change::Put(entry("i-a", 1, 10))), START);
    assert_eq!(members(&state), [("i-a".into(), true)]);
    assert!(!state.sweep(START + Span::from_millis(4_000)));
}

/// The configuration never goes back to an earlier revision, in whatever order it comes.
#[test]
fn an_older_configuration_is_left_out() {
    let config = |version: u64, revision: u64| Record {
        key: "op/config".to_owned(),
        value: json!({ "version": version, "routes": [], "services": [], "limits": {} })
            .to_string()
            .into_bytes(),
        revision: Revision(revision),
    };
    let mut state = state(vec![config(7, 70)]);
    assert_eq!(state.take_routes().map(|r| r.version), Some(7));
    state.apply(change(Change::Put(config(6, 60))), START);
    assert!(state.take_routes().is_none());
}

/// A note that replicas were told to receive stands for as long as the order may still be
/// carried out, and a note that was written again outlives the deletion of the first.
#[test]
fn a_pending_resume_lapses_after_the_longest_delay() {
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
    let late = START + Span::from_millis(13_500);
    assert!(!state.resume_pending(&group, late));
    assert_eq!(
        state.expired_intent(IntentKind::Receive, &group, late),
        Some(Revision(5))
    );
    state.put_intent(
        IntentKind::Receive,
        group.clone(),
        Revision(8),
        Vec::new(),
        late,
    );
    state.forget_intent(IntentKind::Receive, &group, Revision(7));
    assert!(state.resume_pending(&group, late));
}

/// Guards against a note that is forgotten because a listing was read before it was written:
/// the call may still be carried out.
#[test]
fn a_note_outlives_a_listing_from_before_it() {
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

/// Guards against a group without a primary for as long as an order for an instance is pending
/// that has been replaced at its address, and so is never carried out.
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
    let gone = Change::Delete("servers/i-a".to_owned(), Revision(150));
    state.apply(change(gone), START);
    assert_eq!(state.replaced_order(&group, START), None);
    state.apply(change(Change::Put(entry("i-c", 1, 20))), START);
    assert_eq!(state.replaced_order(&group, START), Some(Revision(120)));
}

/// What is logged while `act` runs.
fn logged(act: impl FnOnce()) -> String {
    let file = tempfile::NamedTempFile::new().unwrap();
    let writer = file.reopen().unwrap();
    let subscriber = tracing_subscriber::fmt()
        .with_writer(std::sync::Mutex::new(writer))
        .finish();
    tracing::subscriber::with_default(subscriber, act);
    std::fs::read_to_string(file.path()).unwrap()
}

/// Guards against a log of a fleet that restarts in which each of hundreds of proxies lists
/// all instances, line by line, while its callers wait for the processor.
#[test]
fn many_instances_are_announced_in_one_line() {
    let port = |n: u16| entry(&format!("i-{n}"), n, 10);
    let text = logged(|| {
        state((1..=60).map(port).collect());
    });
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("count=60"), "{text}");
}

/// Guards against a log that does not tell which instance came back.
#[test]
fn a_few_instances_are_announced_one_by_one() {
    let mut state = state((1..=60).map(|n| entry(&format!("i-{n}"), n, 10)).collect());
    let text = logged(|| {
        let put = Change::Put(entry("i-7", 7, 30));
        state.apply(change(put), START);
    });
    assert!(text.contains("instance=i-7"), "{text}");
}
