//! Who stands for the coordinator's duty, and when, in fleets of every size.

use model::id::ProxyId;
use model::unit::Span;
use policy::election;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use test_case::test_case;

/// Time until all proxies know that the duty is taken.
const NEWS: Span = Span::from_millis(300);

/// Calls of the store that a proxy pays for that stands in vain.
const CALLS: usize = 3;

fn fleet(size: usize) -> Vec<ProxyId> {
    let name = |n| format!("front-{n}").parse().unwrap();
    (0..size).map(name).collect()
}

fn pauses(live: &[ProxyId]) -> Vec<Span> {
    let mut rng = StdRng::seed_from_u64(7);
    let pause = |me| election::candidacy_delay(me, live.iter(), &mut rng);
    live.iter().map(pause).collect()
}

/// Guards against a fleet that pays three calls a proxy because its coordinator went.
#[test_case(9)]
#[test_case(69)]
#[test_case(195)]
#[test_case(2_200)]
fn few_stand_before_the_news_that_the_duty_is_taken(size: usize) {
    let pauses = pauses(&fleet(size));
    let first = pauses.iter().min().copied().unwrap();
    let early = pauses.iter().filter(|p| **p < first + NEWS).count();
    assert!(early * CALLS <= 36, "{early} of {size} stand");
}

/// Guards against a group that stays without a primary because nobody stands: the proxies
/// that come first have lost the store together with the coordinator.
#[test_case(9, 3)]
#[test_case(195, 65)]
#[test_case(195, 190)]
fn the_duty_is_taken_soon_without_those_who_lost_the_store(size: usize, lost: usize) {
    let live = fleet(size);
    let mut pauses = pauses(&live);
    pauses.sort_unstable();
    assert!(pauses[lost] <= Span::from_millis(650), "{}", pauses[lost]);
}

/// Guards against a proxy alone that waits for nobody.
#[test]
fn a_proxy_that_knows_no_other_stands_at_once() {
    let me = &fleet(1)[0];
    let mut rng = StdRng::seed_from_u64(7);
    let pause = election::candidacy_delay(me, std::iter::empty(), &mut rng);
    assert!(pause <= Span::from_millis(30));
}
