//! Rate limits under failures: a simulated fleet with one hot customer, in which proxies
//! restart, are suspended, leave, and lose the store and each other, and messages are late or
//! lost. An oracle counts what all proxies send in every window.
//!
//! `POMELO_FUZZ_CASES=2000` makes a long run.

mod operations;
mod outcome;
mod store;
mod world;

use model::customer::RateLimit;
use model::unit::Span;
use policy::quota::Terms;
use test_case::test_case;
use world::{Faults, Guards, Order, Setup, World};

const TERMS: Terms = Terms {
    window: Span::from_millis(5_000),
    overage: 0.1,
    slack: 20.0,
};

/// Terms without tolerance, under which nearly all that is allowed is used.
const TIGHT: Terms = Terms {
    overage: 0.0,
    slack: 0.0,
    ..TERMS
};

fn setup(proxies: usize, per_s: f64) -> Setup {
    Setup {
        proxies,
        limit: RateLimit::new(per_s, per_s).unwrap(),
        terms: TERMS,
        demand: 4.0,
        faults: Faults::All,
        order: Order::ConnectionFirst,
        latency_ms: 30,
        guards: Guards::all(),
        length: Span::from_millis(25_000),
    }
}

fn cases(default: u64) -> u64 {
    let text = std::env::var("POMELO_FUZZ_CASES").ok();
    text.map_or(default, |text| text.parse().unwrap())
}

/// The first seed whose run sends more than allowed.
fn first_violation(setup: &Setup, seeds: u64) -> Option<(u64, String)> {
    (0..seeds).find_map(|seed| {
        let violation = World::new(setup, seed).run().violation(setup);
        violation.map(|text| (seed, text))
    })
}

#[test_case(4, 40.0; "few proxies")]
#[test_case(9, 150.0; "nine proxies")]
#[test_case(9, 4.0; "a small customer")]
#[test_case(30, 150.0; "thirty proxies")]
fn no_window_exceeds_the_limit(proxies: usize, per_s: f64) {
    assert_eq!(first_violation(&setup(proxies, per_s), cases(40)), None);
}

#[test]
fn no_window_exceeds_the_limit_without_tolerance() {
    let setup = Setup {
        terms: TIGHT,
        ..setup(9, 150.0)
    };
    assert_eq!(first_violation(&setup, cases(40)), None);
}

#[test]
fn no_window_exceeds_the_limit_in_a_large_fleet() {
    assert_eq!(first_violation(&setup(300, 300.0), cases(2)), None);
}

/// Each failure stays within the limit, and exceeds it without the guard against it.
#[test_case(Faults::Join, Guards { informs: false, ..Guards::all() }; "new granters do not wait")]
#[test_case(Faults::Partition, Guards { registered: false, ..Guards::all() }; "granters ignore their registration")]
fn each_guard_is_needed(faults: Faults, without: Guards) {
    let guarded = Setup {
        faults,
        length: Span::from_millis(15_000),
        ..setup(9, 150.0)
    };
    assert_eq!(first_violation(&guarded, 40), None);
    let unguarded = Setup {
        guards: without,
        ..guarded
    };
    assert!(first_violation(&unguarded, 40).is_some());
}

/// Granters restart from a state of the store in which they were not displaced yet; all or a
/// half of them restart, before and after their keys lapse; instances stall, and all that waited
/// is sent at once.
#[test_case(Faults::Restart; "restart from an earlier state")]
#[test_case(Faults::RestartAll(400); "all restart within their leases")]
#[test_case(Faults::RestartAll(9_000); "all restart, some beyond their leases")]
#[test_case(Faults::RestartHalf(400); "a half restarts while the others are cut off")]
#[test_case(Faults::RestartHalf(9_000); "a half restarts beyond its leases while the others are cut off")]
#[test_case(Faults::Stall; "instances stall")]
fn a_failure_stays_within_the_limit(faults: Faults) {
    let setup = Setup {
        faults,
        ..setup(9, 150.0)
    };
    assert_eq!(first_violation(&setup, cases(40)), None);
}

/// Demand of 60 % of the limit is served in a calm fleet, however it is spread over proxies.
#[test_case(1; "through one proxy")]
#[test_case(3; "through three proxies")]
#[test_case(9; "through all proxies")]
fn demand_below_the_limit_is_served(active: usize) {
    for per_s in [4.0, 30.0, 150.0] {
        let setup = Setup {
            demand: 0.6,
            faults: Faults::None { active },
            ..setup(9, per_s)
        };
        for seed in 0..4 {
            let outcome = World::new(&setup, seed).run();
            let (asked, over) = (outcome.asked.len(), outcome.over_limit(&setup));
            let accepted = over + asked / 200;
            assert!(
                outcome.rejected <= accepted,
                "{} of {asked} rejected at {per_s}, {over} over the limit",
                outcome.rejected
            );
        }
    }
}

/// A hot customer gets at least nine tenths of its rate.
#[test]
fn a_hot_customer_gets_its_limit() {
    let setup = Setup {
        faults: Faults::None { active: 9 },
        ..setup(9, 150.0)
    };
    let sent = World::new(&setup, 1).run().sent.len();
    let seconds = setup.length.as_micros() as f64 / 1e6;
    assert!(sent as f64 > 0.9 * 150.0 * seconds, "{sent}");
}

/// Permits are requested before connections, which take long while instances stall.
#[test_case(Faults::All, 9, 150.0; "all failures")]
#[test_case(Faults::All, 30, 150.0; "all failures in a larger fleet")]
#[test_case(Faults::Stall, 9, 150.0; "instances stall")]
#[test_case(Faults::Cut, 30, 150.0; "the fleet is divided")]
fn permits_before_connections_stay_within_the_limit(faults: Faults, proxies: usize, per_s: f64) {
    let setup = Setup {
        faults,
        order: Order::PermitFirst,
        ..setup(proxies, per_s)
    };
    assert_eq!(first_violation(&setup, cases(40)), None);
}

/// A hot customer gets nine tenths of its limit in every window, however many proxies have a
/// little of its demand.
#[test_case(9, 150.0, 4.0; "nine proxies")]
#[test_case(30, 150.0, 1.5; "thirty proxies")]
#[test_case(87, 150.0, 4.0; "many proxies")]
#[test_case(87, 300.0, 1.5; "many proxies and a little more than the limit")]
#[test_case(87, 60.0, 4.0; "many proxies and a middling customer")]
fn a_hot_customer_gets_its_limit_in_every_window(proxies: usize, per_s: f64, demand: f64) {
    let setup = Setup {
        faults: Faults::None { active: proxies },
        order: Order::PermitFirst,
        demand,
        ..setup(proxies, per_s)
    };
    for seed in 0..3 {
        let outcome = World::new(&setup, seed).run();
        let share = outcome.least_share(&setup, 0..proxies);
        assert!(share >= 0.9, "{share:.3} with seed {seed}");
    }
}

/// A third of the fleet is disconnected: either side gets most of what its granters have.
#[test_case(30, 150.0)]
#[test_case(87, 150.0)]
#[test_case(87, 300.0)]
fn a_hot_customer_gets_its_part_on_either_side_of_a_cut(proxies: usize, per_s: f64) {
    let setup = Setup {
        faults: Faults::Cut,
        order: Order::PermitFirst,
        ..setup(proxies, per_s)
    };
    for seed in 0..4 {
        let outcome = World::new(&setup, seed).run();
        let at = proxies * 2 / 3;
        for side in [0..at, at..proxies] {
            if outcome.parts[side.clone()].iter().sum::<u32>() > 0 {
                let share = outcome.least_share(&setup, side.clone());
                assert!(share >= 0.6, "{share:.3} of {side:?} with seed {seed}");
            }
        }
    }
}

/// Operations over the limit are rejected within 20 ms, 99 of 100 within 50 ms, also while a
/// third of the fleet is disconnected.
#[test_case(Faults::None { active: 87 }; "calm")]
#[test_case(Faults::Cut; "the fleet is divided")]
fn operations_over_the_limit_are_rejected_soon(faults: Faults) {
    let setup = Setup {
        faults,
        order: Order::PermitFirst,
        latency_ms: 10,
        ..setup(87, 150.0)
    };
    let mut after = World::new(&setup, 1).run().rejected_after;
    after.sort();
    let at = |part: usize| after[after.len() * part / 100];
    assert!(at(50) <= Span::from_millis(20), "median {}", at(50));
    assert!(at(99) <= Span::from_millis(50), "99 %: {}", at(99));
}
