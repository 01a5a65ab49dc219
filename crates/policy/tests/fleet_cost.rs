//! What a proxy computes and who reads the store, in fleets of different sizes. No network: the
//! decisions are driven for every proxy of a fleet.

use model::unit::{Span, Time};
use policy::pooler::Proxy;
use policy::recompute::Recompute;
use policy::store_reader::{StoreReaders, Upstream};
use test_case::test_case;

const SIZES: [usize; 4] = [30, 100, 300, 1_000];
const DATA_CENTRES: usize = 3;
fn fleet(size: usize) -> Vec<Proxy> {
    let proxy = |n: usize| Proxy {
        id: format!("front-{}-{n}", n % DATA_CENTRES).parse().unwrap(),
        data_centre: format!("dc{}", n % DATA_CENTRES).parse().unwrap(),
    };
    (0..size).map(proxy).collect()
}

/// A fleet that starts announces itself within a second. Ranking all proxies for all groups at
/// each announcement took most of the processor share of each.
#[test_case(9, 3, 300; "nine proxies follow each announcement")]
#[test_case(87, 8, 300; "87 proxies follow each announcement")]
#[test_case(195, 20, 300; "195 proxies follow each announcement")]
#[test_case(300, 100, 4; "300 proxies")]
#[test_case(1_000, 333, 4; "1000 proxies")]
fn placements_are_computed_a_few_times_a_second(proxies: usize, groups: usize, at_most: usize) {
    let mut recompute = Recompute::default();
    let mut computed = 0;
    let mut now = Time::default();
    for _ in 0..300 {
        recompute.outdate();
        computed += usize::from(recompute.is_due(proxies, groups, now));
        now = now + Span::from_millis(5);
    }
    assert!((2..=at_most).contains(&computed), "{computed} times");
    let later = now + Span::from_millis(1_000);
    if recompute.is_outdated() {
        assert!(recompute.is_due(proxies, groups, later));
    }
    assert!(!recompute.is_outdated());
}

/// A single change after a quiet time is acted upon at once, whatever the fleet.
#[test]
fn a_single_change_is_followed_at_once() {
    let mut recompute = Recompute::default();
    for at_ms in [1_000, 9_000] {
        recompute.outdate();
        assert!(recompute.is_due(300, 100, Time::from_millis(at_ms)));
    }
}

/// Readers of the store, which the operators pay for, grow with the data centres only.
#[test]
fn one_proxy_of_a_data_centre_reads_the_store() {
    for size in SIZES {
        let live = fleet(size);
        let reads = |me: &&Proxy| {
            let local = live.iter().filter(|p| p.data_centre == me.data_centre);
            let ids: Vec<_> = local.map(|p| p.id.clone()).collect();
            StoreReaders::default().upstream(&me.id, &ids, Time::default()) == Upstream::Store
        };
        assert_eq!(live.iter().filter(reads).count(), DATA_CENTRES);
    }
}
