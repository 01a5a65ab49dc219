//! The five situations that the policy is made for, in virtual time, judged by what
//! callers see, and against the two simple disciplines on the same arrivals.

use load::saturation::discipline::Name;
use load::saturation::outcome::{self, ClassFigures, Figures};
use load::saturation::simulate;
use load::saturation::workload::Scenario;
use model::unit::Span;
use test_case::test_case;

const LENGTH: Span = Span::from_millis(10_000);

fn run(scenario: &Scenario, discipline: Name, proxies: usize) -> Figures {
    let arrivals = scenario.arrivals(LENGTH, 5);
    let outcomes = simulate::run(
        scenario,
        &arrivals,
        discipline,
        simulate::Fleet::lent(proxies),
    );
    outcome::figures(scenario, LENGTH, &arrivals, &outcomes)
}

fn urgent(figures: &Figures) -> &[ClassFigures] {
    &figures.classes[..2]
}

/// What callers must get in a situation.
struct Expected {
    /// Least part of the offered requests answered in time.
    served: f64,
    /// Least part of the urgent requests answered in time.
    urgent: f64,
    /// Longest 99th percentile of urgent requests, as a multiple of the unloaded one.
    slower: f64,
}

// A burst: ten times the usual load for 100 ms. Nearly everything is answered, and
// payments and lookups hardly notice, because listings wait instead.
#[test_case(&Scenario::bursts(), &Expected { served: 0.99, urgent: 1.0, slower: 5.0 }; "bursts")]
// Skewed demand: two callers ask for more than their part. The rest is served as if
// they did not.
#[test_case(&Scenario::skewed(), &Expected { served: 0.63, urgent: 0.99, slower: 2.5 }; "skewed demand")]
// One of three servers becomes twenty times slower. Its reads move to the others.
#[test_case(&Scenario::slow_server(), &Expected { served: 0.999, urgent: 1.0, slower: 2.0 }; "one slow server")]
// One request in twenty takes twenty times as long. Short ones do not wait for them.
#[test_case(&Scenario::mixed(), &Expected { served: 0.99, urgent: 1.0, slower: 4.0 }; "short and long work")]
// Twice the capacity is asked for. As much as fits is served, urgent classes first.
#[test_case(&Scenario::saturated(), &Expected { served: 0.47, urgent: 0.99, slower: 2.5 }; "saturation")]
fn situation(scenario: &Scenario, expected: &Expected) {
    let calm = run(&Scenario::unloaded(), Name::Fair, 1);
    let figures = run(scenario, Name::Fair, 1);
    assert_eq!(figures.lost, 0);
    assert!(figures.served >= expected.served, "{figures:?}");
    assert!(figures.jain >= 0.95, "{figures:?}");
    for (class, unloaded) in urgent(&figures).iter().zip(urgent(&calm)) {
        assert!(class.served >= expected.urgent, "{class:?}");
        assert!(class.p99 <= unloaded.p99 * expected.slower, "{class:?}");
    }
    for simple in [Name::FirstCome, Name::StaticShares] {
        let other = run(scenario, simple, 1);
        assert!(figures.served >= other.served - 0.01, "{simple:?}");
        for (ours, theirs) in urgent(&figures).iter().zip(urgent(&other)) {
            assert!(ours.p99 <= theirs.p99, "{simple:?}: {ours:?}, {theirs:?}");
        }
    }
}

// Callers ask for twice what the servers can do. Those that cannot be served hear so
// within 10 ms, nine in ten of them, and the servers waste no work on late answers.
#[test]
fn refusals_come_at_once() {
    let figures = run(&Scenario::saturated(), Name::Fair, 1);
    assert!(figures.goodput >= 0.95, "{figures:?}");
    assert!(figures.prompt >= 0.9, "{figures:?}");
}

// One caller asks for ten times its part. The other nine lose less than 5 % of what
// they had before.
#[test]
fn noisy_caller_costs_others_little() {
    let before = run(&Scenario::quiet(), Name::Fair, 1);
    let after = run(&Scenario::noisy(), Name::Fair, 1);
    let others = before.callers.iter().zip(&after.callers).take(9);
    for (before, after) in others {
        assert!(*after >= before * 0.95, "{after} of {before}");
    }
}

// Six proxies share the server, each with its part of the connections and no word
// between them. Callers still get their parts, and nothing is lost.
#[test]
fn proxies_together() {
    let figures = run(&Scenario::saturated(), Name::Fair, 6);
    assert_eq!(figures.lost, 0);
    assert!(figures.goodput >= 0.95, "{figures:?}");
    assert!(figures.jain >= 0.95, "{figures:?}");
}
