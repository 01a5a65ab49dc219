//! Which proxies run for the coordinator role, and when, in fleets of every size.

use model::id::ProxyId;
use model::unit::Span;
use policy::election;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use test_case::test_case;

/// Time until all proxies know that the role is taken.
const PROPAGATION: Span = Span::from_millis(300);

/// Store calls of a proxy that runs in vain.
const CALLS: usize = 3;

fn fleet(size: usize) -> Vec<ProxyId> {
    let name = |n| format!("front-{n}").parse().unwrap();
    (0..size).map(name).collect()
}

fn delays(live: &[ProxyId]) -> Vec<Span> {
    let mut rng = StdRng::seed_from_u64(7);
    let delay = |me| election::candidacy_delay(me, live.iter(), &mut rng);
    live.iter().map(delay).collect()
}

/// Guards against a fleet in which every proxy sends three calls to the store because the
/// coordinator stopped.
#[test_case(9)]
#[test_case(69)]
#[test_case(195)]
#[test_case(2_200)]
fn few_run_before_they_know_that_the_role_is_taken(size: usize) {
    let delays = delays(&fleet(size));
    let first = delays.iter().min().copied().unwrap();
    let early = delays.iter().filter(|p| **p < first + PROPAGATION).count();
    assert!(early * CALLS <= 36, "{early} of {size} run");
}

/// Guards against groups that stay without a primary because no proxy runs: the first proxies
/// in the order lost the store together with the coordinator.
#[test_case(9, 3)]
#[test_case(195, 65)]
#[test_case(195, 190)]
fn the_role_is_taken_soon_without_those_that_lost_the_store(size: usize, lost: usize) {
    let live = fleet(size);
    let mut delays = delays(&live);
    delays.sort_unstable();
    assert!(delays[lost] <= Span::from_millis(650), "{}", delays[lost]);
}

/// Guards against a single proxy that waits although there are no others.
#[test]
fn a_proxy_that_knows_no_other_runs_at_once() {
    let me = &fleet(1)[0];
    let mut rng = StdRng::seed_from_u64(7);
    let delay = election::candidacy_delay(me, std::iter::empty(), &mut rng);
    assert!(delay <= Span::from_millis(30));
}
