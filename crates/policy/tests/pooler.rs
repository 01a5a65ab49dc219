//! Who holds connections to a group when there are too few for all.

use indexmap::IndexMap;
use model::id::{GroupId, ProxyId};
use policy::pooler::{Proxy, plan};
use test_case::test_case;

fn fleet(centres: usize, each: usize) -> Vec<Proxy> {
    let proxy = |at: usize| Proxy {
        id: format!("p{at}").parse().unwrap(),
        data_centre: format!("dc{}", at % centres).parse().unwrap(),
    };
    (0..centres * each).map(proxy).collect()
}

fn group(n: usize) -> GroupId {
    format!("g{n}").parse().unwrap()
}

/// Six proxies before 34 connections: each holds its own, and no hop is added.
#[test]
fn with_enough_connections_each_proxy_holds_its_own() {
    let live = fleet(3, 2);
    let plan = plan(&group(0), 34, &live[0], &live);
    assert!(plan.is_holder && plan.poolers.is_empty());
    assert_eq!(plan.holders, 6);
}

/// 66 proxies before 41 connections. If each held one, an instance would refuse a third of
/// them; one carrier in each data centre has six, and all proxies agree who it is.
#[test]
fn with_few_connections_each_data_centre_has_a_carrier() {
    let live = fleet(6, 11);
    for me in &live {
        let plan = plan(&group(0), 41, me, &live);
        assert_eq!(plan.holders, 6);
        let carrier = plan.poolers.first().unwrap();
        assert_eq!(plan.is_holder, *carrier == me.id);
        let carrier = live.iter().find(|p| p.id == *carrier).unwrap();
        assert_eq!(carrier.data_centre, me.data_centre);
    }
}

/// 195 proxies before 108 connections: each data centre has four carriers of a group. If all
/// others went to the same one, its few connections would be all that they use, and the
/// others' would lie idle.
#[test]
fn borrowers_spread_over_the_carriers_of_their_data_centre() {
    let live = fleet(6, 33);
    let mut asked: IndexMap<(usize, ProxyId), usize> = IndexMap::new();
    for (at, me) in live.iter().enumerate() {
        let plan = plan(&group(0), 108, me, &live);
        assert_eq!(plan.holders, 24);
        let first = plan.poolers.first().unwrap().clone();
        *asked.entry((at % 6, first)).or_default() += 1;
    }
    assert_eq!(asked.len(), 24);
    let busiest = asked.values().max().copied().unwrap();
    assert!(busiest <= 15, "{busiest} of 33 go to one carrier");
}

/// Guards against carriers that take turns in being refused: fewer connections than data
/// centres are held by one proxy, and the others go through it.
#[test_case(0, 1)]
#[test_case(1, 1)]
#[test_case(5, 1)]
fn with_fewer_connections_than_data_centres_no_more_proxies_hold_one(
    connections: u32,
    holders: u32,
) {
    let live = fleet(6, 11);
    let plans: Vec<_> = live
        .iter()
        .map(|me| plan(&group(0), connections, me, &live))
        .collect();
    let is_holder: Vec<_> = (0..live.len()).filter(|at| plans[*at].is_holder).collect();
    assert_eq!(is_holder.len(), holders as usize);
    for plan in &plans {
        assert_eq!(plan.holders, holders);
        assert!(is_holder.iter().any(|at| plan.poolers[0] == live[*at].id));
    }
}

/// A carrier goes. Only its own groups move, to the next in the ranking; if all groups
/// moved, every connection would be opened anew at once.
#[test]
fn a_carrier_that_goes_moves_only_its_own_groups() {
    let live = fleet(2, 12);
    let me = &live[0];
    let first = |n: usize, live: &[Proxy]| plan(&group(n), 20, me, live).poolers[0].clone();
    let before: Vec<_> = (0..40).map(|n| first(n, &live)).collect();
    let gone = before.iter().find(|id| **id != me.id).unwrap().clone();
    let rest: Vec<_> = live.iter().filter(|p| p.id != gone).cloned().collect();
    for (n, carrier) in before.iter().enumerate() {
        if *carrier != gone {
            assert_eq!(first(n, &rest), *carrier);
        }
    }
}

/// A rolling restart of a fleet larger than the limit: each proxy that comes back does not
/// find itself among the live ones yet, and opens connections to every instance.
#[test]
fn a_proxy_that_is_not_listed_yet_takes_no_more_than_its_place() {
    let live = fleet(6, 11);
    for (at, me) in live.iter().enumerate() {
        let mut others = live.clone();
        others.remove(at);
        let placed = plan(&group(0), 41, me, &live);
        let unlisted = plan(&group(0), 41, me, &others);
        assert_eq!(unlisted, placed);
    }
}

/// The store is away from the start, and no other proxy is known: this one serves alone.
#[test]
fn a_proxy_that_knows_no_other_serves_by_itself() {
    let me = &fleet(1, 1)[0];
    let plan = plan(&group(0), 1, me, &[]);
    assert!(plan.is_holder && plan.poolers.is_empty());
}
