//! What one proxy costs the instances and its neighbours, in fleets of different sizes that grow
//! together with their groups. No network: the decisions are driven for every proxy of a fleet.

use indexmap::IndexMap;
use model::id::{GroupId, ProxyId};
use model::unit::{Span, Time};
use policy::pooler::{self, Proxy};
use policy::recompute::Recompute;
use policy::store_reader::{StoreReaders, Upstream};
use test_case::test_case;

const SIZES: [usize; 4] = [30, 100, 300, 1_000];
const DATA_CENTRES: usize = 3;
const INSTANCES_PER_GROUP: usize = 3;

/// Number of proxies whose load is computed in each fleet.
const SAMPLE: usize = 60;

/// Most times that the busiest proxy has what the middle one has.
const MAX_RATIO: f64 = 3.0;

/// Greatest power of the fleet's size with which the load of one proxy grows.
const MAX_POWER: f64 = 0.3;

fn fleet(size: usize) -> Vec<Proxy> {
    let proxy = |n: usize| Proxy {
        id: format!("front-{}-{n}", n % DATA_CENTRES).parse().unwrap(),
        data_centre: format!("dc{}", n % DATA_CENTRES).parse().unwrap(),
    };
    (0..size).map(proxy).collect()
}

/// A third as many groups as proxies, whose instances accept two connections for each proxy.
fn groups(size: usize) -> (Vec<GroupId>, u32) {
    let ids = (0..size / 3).map(|n| format!("db-{n}").parse().unwrap());
    (ids.collect(), u32::try_from(size * 22 / 9).unwrap())
}

/// The load of the middle proxy and of the busiest one.
fn middle_and_busiest(mut loads: Vec<usize>) -> (f64, f64) {
    loads.sort_unstable();
    let at = |index: usize| loads[index] as f64;
    (at(loads.len() / 2), at(loads.len() - 1))
}

/// Asserts that a load grows slowly, and is no multiple on the busiest proxy.
fn assert_bounded(what: &str, load: impl Fn(usize) -> Vec<usize>) {
    let by_size = SIZES.map(|size| (size, middle_and_busiest(load(size))));
    for (size, (middle, busiest)) in by_size {
        let ratio = busiest / middle;
        assert!(
            ratio <= MAX_RATIO,
            "{what} at {size}: {middle} and {busiest}"
        );
    }
    for pair in by_size.windows(2) {
        let [
            (small, (middle, busiest)),
            (large, (next_middle, next_busiest)),
        ] = pair
        else {
            continue;
        };
        let growth = (*large as f64 / *small as f64).powf(MAX_POWER);
        let grown = (next_middle / middle).max(next_busiest / busiest);
        assert!(
            grown <= growth,
            "{what} from {small} to {large}: {by_size:?}"
        );
    }
}

/// 300 proxies before 300 instances opened a connection from each to each when they started, and
/// spent most of their processor share on it.
#[test]
fn connections_to_instances_do_not_grow_with_the_fleet() {
    assert_bounded("connections to instances", |size| {
        let live = fleet(size);
        let (groups, connections) = groups(size);
        let held = |me: &Proxy| {
            let holds = |g: &&GroupId| pooler::plan(g, connections, me, &live).is_holder;
            groups.iter().filter(holds).count() * INSTANCES_PER_GROUP
        };
        let step = size.div_ceil(SAMPLE);
        live.iter().step_by(step).map(held).collect()
    });
}

/// All proxies of a data centre must not use the same few proxies as poolers of their groups.
#[test]
fn requests_for_connections_spread_over_the_proxies() {
    for size in [100, 300] {
        let live = fleet(size);
        let (groups, connections) = groups(size);
        let mut requests: IndexMap<ProxyId, usize> =
            live.iter().map(|p| (p.id.clone(), 0)).collect();
        for me in &live {
            for group in &groups {
                let plan = pooler::plan(group, connections, me, &live);
                let first = plan.poolers.first().unwrap();
                *requests.get_mut(first).unwrap() += 1;
            }
        }
        let mean = groups.len() as f64;
        let busiest = requests.values().copied().max().unwrap() as f64;
        assert!(busiest <= MAX_RATIO * mean, "{busiest} of {mean} at {size}");
    }
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

/// 91 proxies share 274 connections of each instance: each keeps its own, as a request to a pooler
/// would add a hop that nothing calls for.
#[test]
fn up_to_a_hundred_proxies_hold_their_own_connections() {
    let live = fleet(91);
    let plan = pooler::plan(&"db-0".parse().unwrap(), 274, &live[0], &live);
    assert!(plan.is_holder && plan.poolers.is_empty());
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
