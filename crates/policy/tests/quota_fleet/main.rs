//! Rate limits under failures: a simulated fleet with one hot customer, in which proxies
//! restart, are suspended, leave, and lose the store and each other, and messages are late or
//! lost. An oracle counts what all proxies send in every window.
//!
//! `POMELO_FUZZ_CASES=2000` makes a long run.

mod store;
mod world;

use model::customer::RateLimit;
use model::unit::Span;
use policy::quota::Terms;
use test_case::test_case;
use world::{Faults, Guards, Setup, World};

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
