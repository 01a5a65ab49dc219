//! Which proxies hold connections to a group when there are too few for all.

use indexmap::IndexMap;
use model::id::{GroupId, ProxyId};
use policy::pooler::{Proxy, plan};
use test_case::test_case;

fn fleet(centres: usize, each: usize) -> Vec<Proxy> {
    let proxy = |index: usize| Proxy {
        id: format!("p{index}").parse().unwrap(),
        data_centre: format!("dc{}", index % centres).parse().unwrap(),
    };
    (0..centres * each).map(proxy).collect()
}

fn group(n: usize) -> GroupId {
    format!("g{n}").parse().unwrap()
}

/// 71 proxies share 74 connections. One each suffices if any statement may use it.
#[test]
fn one_connection_each_suffices_where_customers_share_them() {
    let live = fleet(6, 12).split_off(1);
    assert_eq!(plan(&group(0), 74, &live[0], &live).holders, 71);
}

/// Six proxies share 34 connections: each holds its own, without an additional hop.
#[test]
fn with_enough_connections_each_proxy_holds_its_own() {
    let live = fleet(3, 2);
    let plan = plan(&group(0), 34, &live[0], &live);
    assert!(plan.is_holder && plan.poolers.is_empty());
    assert_eq!(plan.holders, 6);
}

/// 66 proxies share 41 connections. If each held one, an instance would reject a third of
/// them. One pooler in each data centre has six, and all proxies agree on the poolers.
#[test]
fn with_few_connections_each_data_centre_has_a_pooler() {
    let live = fleet(6, 11);
    for me in &live {
        let plan = plan(&group(0), 41, me, &live);
        assert_eq!(plan.holders, 6);
        let pooler = plan.poolers.first().unwrap();
        assert_eq!(plan.is_holder, *pooler == me.id);
        let pooler = live.iter().find(|p| p.id == *pooler).unwrap();
        assert_eq!(pooler.data_centre, me.data_centre);
    }
}

/// 195 proxies share 108 connections: each data centre has four poolers of a group. If all
/// clients used the same one, its few connections would serve them all, and those of the
/// other poolers would be idle.
#[test]
fn clients_spread_over_the_poolers_of_their_data_centre() {
    let live = fleet(6, 33);
    let mut clients: IndexMap<(usize, ProxyId), usize> = IndexMap::new();
    for (index, me) in live.iter().enumerate() {
        let plan = plan(&group(0), 108, me, &live);
        assert_eq!(plan.holders, 24);
        let first = plan.poolers.first().unwrap().clone();
        *clients.entry((index % 6, first)).or_default() += 1;
    }
    assert_eq!(clients.len(), 24);
    let busiest = clients.values().max().copied().unwrap();
    assert!(busiest <= 15, "{busiest} of 33 use one pooler");
}

/// Guards against poolers that compete for too few connections and are rejected in turn: with
/// fewer connections than data centres, one proxy holds them and serves all others.
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
    let holding: Vec<_> = (0..live.len())
        .filter(|index| plans[*index].is_holder)
        .collect();
    assert_eq!(holding.len(), holders as usize);
    for plan in &plans {
        assert_eq!(plan.holders, holders);
        assert!(
            holding
                .iter()
                .any(|index| plan.poolers[0] == live[*index].id)
        );
    }
}

/// A pooler stops. Only its own groups move, to the next in the ranking. If all groups moved,
/// all connections would be opened anew at once.
#[test]
fn a_pooler_that_stops_moves_only_its_own_groups() {
    let live = fleet(2, 12);
    let me = &live[0];
    let first = |n: usize, live: &[Proxy]| plan(&group(n), 20, me, live).poolers[0].clone();
    let before: Vec<_> = (0..40).map(|n| first(n, &live)).collect();
    let stopped = before.iter().find(|id| **id != me.id).unwrap().clone();
    let rest: Vec<_> = live.iter().filter(|p| p.id != stopped).cloned().collect();
    for (n, pooler) in before.iter().enumerate() {
        if *pooler != stopped {
            assert_eq!(first(n, &rest), *pooler);
        }
    }
}

/// In a rolling restart of a fleet larger than the limit, a restarted proxy is not listed among
/// the live ones yet. It must not open connections to every instance for that.
#[test]
fn an_unlisted_proxy_takes_no_more_than_its_share() {
    let live = fleet(6, 11);
    for (index, me) in live.iter().enumerate() {
        let mut others = live.clone();
        others.remove(index);
        let listed = plan(&group(0), 41, me, &live);
        let unlisted = plan(&group(0), 41, me, &others);
        assert_eq!(unlisted, listed);
    }
}

/// The store is unreachable from the start, and no other proxy is known: this one serves alone.
#[test]
fn a_proxy_that_knows_no_other_serves_alone() {
    let me = &fleet(1, 1)[0];
    let plan = plan(&group(0), 1, me, &[]);
    assert!(plan.is_holder && plan.poolers.is_empty());
}
