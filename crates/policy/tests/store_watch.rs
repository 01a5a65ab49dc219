//! Following the store, in virtual time: when a change is in force.

use model::unit::{Span, Time};
use policy::store_watch::WatchPacing;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use test_case::test_case;

/// A call and its answer, also between regions.
const ROUND_TRIP: Span = Span::from_millis(45);

/// Time that a watch's answer may take beyond its wait before it is given up.
const SLACK: Span = Span::from_millis(700);

const fn ms(ms: u64) -> Span {
    Span::from_millis(ms)
}

/// What the store does to watches, from the moment of a change on.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// When the open watches are cut.
    cut: Time,
    /// When the history is dropped; a watch that was opened before hears nothing.
    dropped: Time,
}

/// When a change at `changed` is in force for a proxy that opened its watch at `opened`
/// and has heard nothing wrong before.
fn in_force(
    follow: &mut WatchPacing,
    opened: Time,
    changed: Time,
    outage: Outage,
    seed: u64,
) -> Time {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = opened;
    loop {
        let ends = at + follow.wait();
        if at < outage.cut && ends > outage.cut {
            at = outage.cut + follow.failed(&mut rng);
        } else if at < outage.dropped {
            // A watch that the store lost track of says nothing until it ends.
            follow.succeeded();
            at = ends + ROUND_TRIP;
        } else if at >= changed {
            // The store says that the history is gone, and everything is listed.
            return at + ROUND_TRIP + follow.failed(&mut rng) + ROUND_TRIP;
        } else {
            at = ends;
        }
    }
}

/// The store forgets its history: for a second no watch hears anything, then all are cut,
/// and the history goes a moment later. Proxies near the store open their next watch before
/// that. They served by the old configuration for eight seconds, as that watch was silent
/// for as long as a change may take.
#[test_case(4_000; "four seconds")]
#[test_case(6_000; "six seconds")]
fn a_watch_opened_before_the_history_went_costs_a_moment(bound: u64) {
    for seed in 0..200 {
        let changed = Time::default() + ms(10_000);
        let opened = Time::default() + ms(10_000 - seed * 7);
        let cut = changed + ms(seed * 5);
        let outage = Outage {
            cut,
            dropped: cut + ms(seed * 3 % 400),
        };
        let mut follow = WatchPacing::new(ms(bound));
        let at = in_force(&mut follow, opened, changed, outage, seed);
        let took = at.since(changed);
        assert!(took < ms(bound), "{took} with {outage:?}, opened {opened}");
    }
}

/// A watch goes silent for good just before a change. It is given up after its wait and the
/// time limit on top of it; with the pause for gathering before it, the change is in force
/// in time all the same.
#[test_case(4_000, 9; "a small fleet")]
#[test_case(4_000, 91; "a small fleet grown")]
#[test_case(6_000, 69; "a large fleet")]
#[test_case(9_000, 2_200; "a fleet of thousands")]
fn a_silent_watch_is_given_up_in_time(bound: u64, proxies: u32) {
    let mut follow = WatchPacing::new(ms(bound));
    let gathered = follow.batch_delay(proxies, false);
    let given_up = gathered + follow.wait() + SLACK;
    let again = follow.failed(&mut StdRng::seed_from_u64(1));
    let took = given_up + again + ROUND_TRIP;
    assert!(took < ms(bound), "{took}");
}

/// After a failure watches are short, and long again when nothing more goes wrong: each
/// costs the operators a call.
#[test]
fn watches_grow_long_again() {
    let mut follow = WatchPacing::new(ms(6_000));
    let full = follow.wait();
    follow.failed(&mut StdRng::seed_from_u64(1));
    assert!(follow.wait() < ms(500));
    for _ in 0..5 {
        follow.succeeded();
    }
    assert_eq!(follow.wait(), full);
}

/// All proxies lose the store at once. Their next calls are spread, and come less often
/// the longer it is away.
#[test]
fn failed_calls_come_back_spread_and_ever_later() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut follow = WatchPacing::new(ms(6_000));
    let pauses: Vec<_> = (0..6).map(|_| follow.failed(&mut rng)).collect();
    assert!(pauses[0] <= ms(50) && pauses[5] >= ms(200) && pauses[5] <= ms(400));
    let first = |seed| WatchPacing::new(ms(6_000)).failed(&mut StdRng::seed_from_u64(seed));
    assert_ne!(first(1), first(2));
}
