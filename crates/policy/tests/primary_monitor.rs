//! When a primary is suspected, and when not.

use model::entry::Entry;
use model::id::InstanceId;
use model::unit::{Span, Time};
use policy::primary_monitor::{PrimaryMonitor, ProbeFailure, Suspicion};

fn id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn monitor() -> PrimaryMonitor {
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
    let mut monitor = PrimaryMonitor::default();
    monitor.set_entries(&[entry("p"), entry("a")]);
    monitor.record_proof(&id("p"), at(0));
    monitor
}

/// A primary stops responding. Neither an open connection nor a new one brings a response;
/// after a short time the proxy suspects it, and writes wait no longer than that for a new
/// primary.
#[test]
fn an_unresponsive_primary_is_suspected() {
    let mut monitor = monitor();
    monitor.record_failure(&id("p"), ProbeFailure::Silent, at(600));
    assert_eq!(monitor.suspicion(at(700)), None);
    assert_eq!(
        monitor.suspicion(at(850)),
        Some((id("p"), Suspicion::Unreachable))
    );
}

/// All connections of a proxy are reset at once. The primary is healthy, and the next probe
/// proves it: it must not be replaced.
#[test]
fn a_reset_is_no_suspicion() {
    let mut monitor = monitor();
    monitor.connection_failed(&id("p"), at(600));
    monitor.record_failure(&id("p"), ProbeFailure::Down, at(601));
    monitor.record_proof(&id("p"), at(640));
    assert_eq!(monitor.suspicion(at(1_000)), None);
}

/// Under load, the primary accepts no further connection. It is running, so a probe that finds
/// no free connection does not count against it.
#[test]
fn a_full_primary_is_not_suspected() {
    let mut monitor = monitor();
    for ms in [600, 700, 800, 900] {
        monitor.record_failure(&id("p"), ProbeFailure::Full, at(ms));
    }
    assert_eq!(monitor.suspicion(at(2_000)), None);
}

/// A primary is partitioned from its replicas. It responds to probes and leads, but no write on
/// it completes. Two writes without a response cause a suspicion, one acknowledged write ends
/// it.
#[test]
fn a_primary_with_stalled_writes_is_suspected() {
    let mut monitor = monitor();
    monitor.record_stall(&id("p"), at(2_400));
    assert_eq!(monitor.suspicion(at(2_450)), None);
    monitor.record_stall(&id("p"), at(2_500));
    monitor.record_proof(&id("p"), at(2_550));
    assert_eq!(
        monitor.suspicion(at(2_600)),
        Some((id("p"), Suspicion::Stalled))
    );
    monitor.record_write(&id("p"));
    assert_eq!(monitor.suspicion(at(2_650)), None);
}

/// A new primary leads, and its replicas roll back for a moment. Writes stall; replacing it
/// again would only prolong that.
#[test]
fn stalled_writes_on_a_new_primary_do_not_count() {
    let mut monitor = monitor();
    monitor.record_proof(&id("a"), at(5_000));
    monitor.record_stall(&id("a"), at(5_600));
    monitor.record_stall(&id("a"), at(5_700));
    assert_eq!(monitor.suspicion(at(5_800)), None);
}

/// The response to a probe that was sent before the failure arrives after it. It says nothing
/// about the time since, so the suspicion stays.
#[test]
fn an_earlier_response_does_not_clear_a_suspicion() {
    let mut monitor = monitor();
    monitor.record_failure(&id("p"), ProbeFailure::Silent, at(600));
    monitor.record_proof(&id("p"), at(590));
    assert_eq!(
        monitor.suspicion(at(900)),
        Some((id("p"), Suspicion::Unreachable))
    );
}

/// Without a primary, all instances are probed, so that any proxy that reaches the new one
/// finds it, even while the store is unavailable.
#[test]
fn without_a_primary_all_are_probed() {
    let mut monitor = monitor();
    monitor.record_failure(&id("p"), ProbeFailure::Silent, at(600));
    let mut probed = monitor.start_probes(None, Some(at(0)), at(1_100));
    probed.sort();
    assert_eq!(probed, [id("a"), id("p")]);
}

/// Every write proves that a busy primary leads, so it is not probed in addition.
#[test]
fn a_busy_primary_is_not_probed() {
    let mut monitor = monitor();
    assert!(
        monitor
            .start_probes(Some(&id("p")), Some(at(900)), at(1_000))
            .is_empty()
    );
    assert_eq!(
        monitor.start_probes(Some(&id("p")), Some(at(700)), at(1_000)),
        [id("p")]
    );
}

/// A proxy without connections of its own found a primary unreachable. Then no request waited
/// there any more, so it sent no further probes. Twenty changes of primary later it still
/// suspected that instance, which was primary again and healthy.
#[test]
fn a_suspicion_expires_without_further_probes() {
    let mut monitor = monitor();
    monitor.record_failure(&id("p"), ProbeFailure::Silent, at(1_000));
    assert!(monitor.suspicion(at(1_300)).is_some());
    assert!(monitor.suspicion(at(2_400)).is_some());
    assert_eq!(monitor.suspicion(at(2_600)), None);
}

/// A monitor that ran until `from` and then not until `to`.
fn paused_monitor(from: u64, to: u64) -> PrimaryMonitor {
    let mut monitor = monitor();
    monitor.record_run(at(from));
    monitor.record_run(at(to));
    monitor
}

/// Guards against a living primary that is replaced because this process was paused: the response
/// to a probe may have arrived meanwhile. Two such probes are no failure either, if the primary
/// responds between them.
#[test]
fn a_timeout_during_a_pause_is_no_failure() {
    let mut monitor = paused_monitor(600, 1_000);
    let running = Span::from_millis(200);
    assert!(!monitor.record_interrupted(&id("p"), running));
    monitor.record_proof(&id("p"), at(1_050));
    assert!(!monitor.record_interrupted(&id("p"), running));
    assert!(!monitor.record_interrupted(&id("a"), running));
}

/// Guards against a process that is paused again and again and never suspects a failed primary:
/// the time in which it was running counts.
#[test]
fn a_primary_that_fails_between_pauses_is_suspected() {
    let mut monitor = paused_monitor(600, 1_000);
    let running = Span::from_millis(120);
    let failed = [(); 3].map(|()| monitor.record_interrupted(&id("p"), running));
    assert_eq!(failed, [false, false, true]);
}

/// Guards against the time of a pause completing the time for which the primary has to fail.
#[test]
fn a_pause_does_not_prolong_a_failure() {
    let mut monitor = monitor();
    monitor.record_run(at(600));
    monitor.record_failure(&id("p"), ProbeFailure::Silent, at(600));
    monitor.record_run(at(1_000));
    assert_eq!(monitor.suspicion(at(1_150)), None);
    assert_eq!(
        monitor.suspicion(at(1_200)),
        Some((id("p"), Suspicion::Unreachable))
    );
}

/// Guards against a response that does not end a suspicion because the process was paused before
/// it was read.
#[test]
fn a_response_after_a_pause_ends_a_suspicion() {
    let mut monitor = monitor();
    monitor.record_run(at(600));
    monitor.record_failure(&id("p"), ProbeFailure::Silent, at(600));
    monitor.record_run(at(1_000));
    monitor.record_proof(&id("p"), at(650));
    assert_eq!(monitor.suspicion(at(1_300)), None);
}

/// Guards against stalled writes that only this process was too late to see acknowledged.
#[test]
fn writes_that_stall_during_a_pause_do_not_count() {
    let mut monitor = paused_monitor(2_400, 3_000);
    monitor.record_stall(&id("p"), at(3_000));
    monitor.record_stall(&id("p"), at(3_010));
    assert_eq!(monitor.suspicion(at(3_050)), None);
}

/// Guards against a process that is only slow and takes every timeout for a pause.
#[test]
fn late_runs_are_no_pause() {
    let mut monitor = monitor();
    for ran in (0..2_000).step_by(190) {
        monitor.record_run(at(ran));
    }
    assert_eq!(monitor.paused(), Span::default());
}
