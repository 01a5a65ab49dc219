//! Watching the store in virtual time: how soon a change is in force.

use model::unit::{Span, Time};
use policy::store_watch::WatchPacing;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use test_case::test_case;

/// Round trip of a call, also between regions.
const ROUND_TRIP: Span = Span::from_millis(45);

/// Time that a watch's response may take beyond its wait before the call times out.
const SLACK: Span = Span::from_millis(700);

const fn ms(ms: u64) -> Span {
    Span::from_millis(ms)
}

/// What the store does to watches after a change.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// When the open watches are closed.
    closed: Time,
    /// When the history is dropped; a watch opened before receives nothing.
    dropped: Time,
}

/// When a change at `changed` is in force for a proxy that opened its watch at `opened`, after
/// no earlier failures.
fn in_force(
    pacing: &mut WatchPacing,
    opened: Time,
    changed: Time,
    outage: Outage,
    seed: u64,
) -> Time {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = opened;
    loop {
        let end = at + pacing.wait();
        if at < outage.closed && end > outage.closed {
            at = outage.closed + pacing.failed(&mut rng);
        } else if at < outage.dropped {
            // A watch that the store lost track of returns nothing until its wait is over.
            pacing.succeeded();
            at = end + ROUND_TRIP;
        } else if at >= changed {
            // The store reports that the history is gone, and the proxy lists all records.
            return at + ROUND_TRIP + pacing.failed(&mut rng) + ROUND_TRIP;
        } else {
            at = end;
        }
    }
}

/// The store loses its history: for a second no watch receives anything, then all are closed,
/// and the history is dropped a moment later. Proxies near the store open their next watch
/// before that. They served with the old configuration for eight seconds, because that watch
/// waited without any response for as long as a change may take.
#[test_case(4_000; "four seconds")]
#[test_case(6_000; "six seconds")]
fn a_watch_opened_before_the_history_is_dropped_delays_a_change_briefly(bound: u64) {
    for seed in 0..200 {
        let changed = Time::default() + ms(10_000);
        let opened = Time::default() + ms(10_000 - seed * 7);
        let closed = changed + ms(seed * 5);
        let outage = Outage {
            closed,
            dropped: closed + ms(seed * 3 % 400),
        };
        let mut pacing = WatchPacing::new(ms(bound));
        let at = in_force(&mut pacing, opened, changed, outage, seed);
        let elapsed = at.since(changed);
        assert!(
            elapsed < ms(bound),
            "{elapsed} with {outage:?}, opened {opened}"
        );
    }
}

/// A watch becomes unresponsive just before a change. It times out after its wait and the time
/// limit on top of it. Together with the batch delay before it, the change must still be in
/// force in time.
#[test_case(4_000, 9; "a small fleet")]
#[test_case(4_000, 91; "a small fleet grown")]
#[test_case(6_000, 69; "a large fleet")]
#[test_case(9_000, 2_200; "a fleet of thousands")]
fn an_unresponsive_watch_times_out_soon_enough(bound: u64, proxies: u32) {
    let mut pacing = WatchPacing::new(ms(bound));
    let batched = pacing.batch_delay(proxies, false);
    let timed_out = batched + pacing.wait() + SLACK;
    let retried = pacing.failed(&mut StdRng::seed_from_u64(1));
    let elapsed = timed_out + retried + ROUND_TRIP;
    assert!(elapsed < ms(bound), "{elapsed}");
}

/// After a failure watches are short. Without further failures they become long again, because
/// the operators pay for each call.
#[test]
fn watches_become_long_again() {
    let mut pacing = WatchPacing::new(ms(6_000));
    let full = pacing.wait();
    pacing.failed(&mut StdRng::seed_from_u64(1));
    assert!(pacing.wait() < ms(500));
    for _ in 0..5 {
        pacing.succeeded();
    }
    assert_eq!(pacing.wait(), full);
}

/// All proxies lose the store at once. Their retries are spread out, and less frequent the
/// longer the store is unreachable.
#[test]
fn failed_calls_are_retried_with_random_increasing_delays() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut pacing = WatchPacing::new(ms(6_000));
    let delays: Vec<_> = (0..6).map(|_| pacing.failed(&mut rng)).collect();
    assert!(delays[0] <= ms(50) && delays[5] >= ms(200) && delays[5] <= ms(400));
    let first = |seed| WatchPacing::new(ms(6_000)).failed(&mut StdRng::seed_from_u64(seed));
    assert_ne!(first(1), first(2));
}
