//! When a primary is doubted, and when not.

use model::entry::Entry;
use model::id::InstanceId;
use model::unit::Time;
use policy::primary_monitor::{PrimaryMonitor, ProbeFailure, Suspicion};

fn id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn watch() -> PrimaryMonitor {
    let entry = |name: &str| Entry {
        id: id(name),
        group: "g".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        slots: 3,
        leaving: false,
        claims_primary: name == "p",
        started_at: 1,
    };
    let mut watch = PrimaryMonitor::default();
    watch.set_entries(&[entry("p"), entry("a")]);
    watch.proved(&id("p"), at(0));
    watch
}

/// A primary goes dark. Neither an open connection nor a new one brings an answer; after
/// a short time the proxy doubts it, and writes wait no longer than that for a successor.
#[test]
fn a_silent_primary_is_doubted() {
    let mut watch = watch();
    watch.failed(&id("p"), ProbeFailure::Silent, at(600));
    assert_eq!(watch.suspicion(at(700)), None);
    assert_eq!(
        watch.suspicion(at(850)),
        Some((id("p"), Suspicion::Unreachable))
    );
}

/// All connections of a proxy are reset at once. The primary is well, and the next
/// question proves it: nobody must be replaced for that.
#[test]
fn a_reset_is_no_doubt() {
    let mut watch = watch();
    watch.suspect(&id("p"), at(600));
    watch.failed(&id("p"), ProbeFailure::Down, at(601));
    watch.proved(&id("p"), at(640));
    assert_eq!(watch.suspicion(at(1_000)), None);
}

/// Under load the primary accepts no further connection. It lives, so a question that
/// finds it full says nothing against it.
#[test]
fn a_full_primary_is_no_doubt() {
    let mut watch = watch();
    for ms in [600, 700, 800, 900] {
        watch.failed(&id("p"), ProbeFailure::Full, at(ms));
    }
    assert_eq!(watch.suspicion(at(2_000)), None);
}

/// A primary is cut off from its replicas. It answers questions and leads, but no write
/// on it ends; two writes without an answer make it doubtful, one acknowledged write ends
/// the doubt.
#[test]
fn writes_that_do_not_end_are_a_doubt() {
    let mut watch = watch();
    watch.stalled(&id("p"), at(2_400));
    assert_eq!(watch.suspicion(at(2_450)), None);
    watch.stalled(&id("p"), at(2_500));
    watch.proved(&id("p"), at(2_550));
    assert_eq!(
        watch.suspicion(at(2_600)),
        Some((id("p"), Suspicion::Stalled))
    );
    watch.wrote(&id("p"));
    assert_eq!(watch.suspicion(at(2_650)), None);
}

/// A new primary leads, and its replicas roll back for a moment. Writes stall; replacing
/// it once more would only make that last longer.
#[test]
fn a_new_primary_is_given_time() {
    let mut watch = watch();
    watch.proved(&id("a"), at(5_000));
    watch.stalled(&id("a"), at(5_600));
    watch.stalled(&id("a"), at(5_700));
    assert_eq!(watch.suspicion(at(5_800)), None);
}

/// An answer that was asked for before the failure arrives after it. It says nothing
/// about the time since, so the doubt stays.
#[test]
fn an_earlier_answer_does_not_clear_a_doubt() {
    let mut watch = watch();
    watch.failed(&id("p"), ProbeFailure::Silent, at(600));
    watch.proved(&id("p"), at(590));
    assert_eq!(
        watch.suspicion(at(900)),
        Some((id("p"), Suspicion::Unreachable))
    );
}

/// Without a primary all instances are asked, so that a new one is found by whichever
/// proxy reaches it, also while the store is away.
#[test]
fn without_a_primary_all_are_asked() {
    let mut watch = watch();
    watch.failed(&id("p"), ProbeFailure::Silent, at(600));
    let mut asked = watch.ask(None, Some(at(0)), at(1_100));
    asked.sort();
    assert_eq!(asked, [id("a"), id("p")]);
}

/// A busy primary proves itself with every write, and is asked nothing besides.
#[test]
fn a_busy_primary_is_not_asked() {
    let mut watch = watch();
    assert!(
        watch
            .ask(Some(&id("p")), Some(at(900)), at(1_000))
            .is_empty()
    );
    assert_eq!(
        watch.ask(Some(&id("p")), Some(at(700)), at(1_000)),
        [id("p")]
    );
}

/// A proxy without connections of its own found a primary lost, and then nobody waited there
/// any more, so it asked no further. Twenty changes of primary later it still doubted that
/// instance, which led again and was well.
#[test]
fn a_doubt_ends_when_nobody_looks_any_more() {
    let mut watch = watch();
    watch.failed(&id("p"), ProbeFailure::Silent, at(1_000));
    assert!(watch.suspicion(at(1_300)).is_some());
    assert!(watch.suspicion(at(2_400)).is_some());
    assert_eq!(watch.suspicion(at(2_600)), None);
}
