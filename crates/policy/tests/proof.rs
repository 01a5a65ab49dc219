//! How fresh reads are, given the proofs about the primary's log.

use model::position::Point;
use model::route::Guarantee;
use model::unit::{Span, Time};
use policy::proof::{Need, Proof, Proofs};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const AGE: Span = Span::from_millis(1_500);

fn proof(since: u64, number: u64) -> Proof {
    Proof {
        since: Time::from_millis(since),
        point: Point::new(1, number),
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Replicas lag by a second. If a read that accepts 1.5 s required the newest position, all of
/// them would reject it; the oldest proof that is young enough lets them serve it.
#[test]
fn uses_the_oldest_proof_that_is_young_enough() {
    let mut proofs = Proofs::default();
    for ms in [100, 800, 1_600, 2_300] {
        proofs.add(proof(ms, ms));
    }
    let need = proofs.need(Guarantee::Bounded(AGE), None, at(2_250));
    assert_eq!(need, Need::Holds(Point::new(1, 800)));
}

/// The primary has been unresponsive for longer than the accepted age: the freshness of
/// replicas is no longer proved, and an old position would return stale data.
#[test]
fn an_old_proof_allows_no_read() {
    let mut proofs = Proofs::default();
    proofs.add(proof(100, 7));
    let need = proofs.need(Guarantee::Bounded(AGE), None, at(1_600));
    assert_eq!(need, Need::Primary);
}

/// A session writes, and reads a moment later on a replica that has not received the write. The
/// read must require the session's own position, which is newer than any proof.
#[test]
fn a_session_reads_its_own_write() {
    let mut proofs = Proofs::default();
    proofs.add(proof(100, 7));
    let own = Some(Point::new(1, 9));
    let need = proofs.need(Guarantee::OwnWrites(AGE), own, at(200));
    assert_eq!(need, Need::Holds(Point::new(1, 9)));
}

/// A change of primary elsewhere may have acknowledged a write a moment ago that no earlier
/// proof covers: such a route is always served after a new proof.
#[test]
fn the_newest_data_needs_a_proof_of_its_own() {
    let mut proofs = Proofs::default();
    proofs.add(proof(199, 7));
    assert_eq!(proofs.need(Guarantee::Newest, None, at(200)), Need::Primary);
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Pass(u64),
    Commit,
    /// A statement is sent to the primary, which responds after so many milliseconds
    /// and commits.
    Prove(u64, u64),
    Read(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (1..400_u64).prop_map(Event::Pass),
        4 => Just(Event::Commit),
        2 => (0..60_u64, 0..3_u64).prop_map(|(ms, n)| Event::Prove(ms, n)),
        3 => (50..4_000_u64).prop_map(Event::Read),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: std::env::var("POMELO_FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(1_000),
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..Config::default()
    })]

    /// The oracle keeps every commit with its time: a read that accepts an age must require a
    /// position that covers all commits acknowledged longer ago than that.
    #[test]
    fn a_read_never_misses_what_is_older_than_its_age(
        events in prop::collection::vec(event(), 1..120),
    ) {
        let (mut now, mut end) = (1_000_u64, 0_u64);
        let mut commits: Vec<(u64, u64)> = Vec::new();
        let mut proofs = Proofs::default();
        for event in events {
            match event {
                Event::Pass(ms) => now += ms,
                Event::Commit => {
                    end += 1;
                    commits.push((now, end));
                }
                Event::Prove(ms, more) => {
                    let since = now;
                    for _ in 0..more {
                        end += 1;
                        commits.push((now, end));
                    }
                    now += ms;
                    proofs.add(proof(since, end));
                }
                Event::Read(age) => {
                    let guarantee = Guarantee::Bounded(Span::from_millis(age));
                    if let Need::Holds(point) = proofs.need(guarantee, None, at(now)) {
                        let old = commits.iter().filter(|(t, _)| t + age < now);
                        let newest = old.map(|(_, n)| *n).max().unwrap_or_default();
                        prop_assert!(point >= Point::new(1, newest));
                    }
                }
            }
        }
    }
}
