//! Which proxies pool the connections of which customers.

use indexmap::IndexMap;
use model::id::{CustomerId, GroupId, ProxyId};
use model::vm::VmSize;
use policy::customer_pooler::{Candidate, Partitions, plan};
use policy::pooler::Plan;
use test_case::test_case;

/// Connections that an instance accepts.
const CONNECTIONS: u32 = 81;

const LARGE: VmSize = VmSize {
    cpu_millis: 500,
    link_kbps: 200_000,
};
const SMALL: VmSize = VmSize {
    cpu_millis: 120,
    link_kbps: 10_000,
};

/// Proxies in two regions; every seventh VM is large.
fn fleet(count: usize) -> Vec<Candidate> {
    let candidate = |n: usize| Candidate {
        id: format!("p{n}").parse().unwrap(),
        area: ["north", "south"][n % 2].to_owned(),
        size: Some(if n.is_multiple_of(7) { LARGE } else { SMALL }),
    };
    (0..count).map(candidate).collect()
}

fn groups(count: usize, connections: u32) -> IndexMap<GroupId, u32> {
    let group = |n: usize| (format!("g{n}").parse().unwrap(), connections);
    (0..count).map(group).collect()
}

/// Customers whose limits fall with their number, as customers of one operator do.
fn customers(count: usize) -> impl Iterator<Item = (CustomerId, Option<f64>)> {
    (0..count).map(|n| {
        let limit = 1e3 / (n as f64 + 1.0).powf(1.2);
        (format!("c{n}").parse().unwrap(), Some(limit))
    })
}

/// The poolers of each partition of each group in the first proxy's region.
fn poolers(live: &[Candidate]) -> IndexMap<(GroupId, usize), ProxyId> {
    let plans = plan(&groups(8, CONNECTIONS), &live[0], live);
    let of = |(group, plan): (GroupId, Plan)| {
        let poolers = plan.poolers.into_iter().take(plan.partitions);
        let poolers: Vec<_> = poolers.enumerate().collect();
        poolers
            .into_iter()
            .map(move |(at, id)| ((group.clone(), at), id))
    };
    plans.into_iter().flat_map(of).collect()
}

/// 87 proxies share 81 connections to each instance. With a pooler in each data centre for
/// every customer, nearly every statement opened a connection.
#[test]
fn the_customers_of_a_region_share_a_few_poolers() {
    let live = fleet(87);
    for me in &live {
        for (group, plan) in plan(&groups(8, CONNECTIONS), me, &live) {
            assert_eq!((plan.partitions, plan.holders), (3, 6));
            let poolers = &plan.poolers[..plan.partitions];
            assert_eq!(plan.is_holder, poolers.contains(&me.id), "{group}");
            for id in &plan.poolers {
                let pooler = live.iter().find(|c| c.id == *id).unwrap();
                assert_eq!(pooler.area, me.area);
            }
        }
    }
}

/// A few customers send most of the statements. If a hash alone placed them, two of them would
/// often meet on one pooler, which then serves most of a group.
#[test]
fn partitions_are_even_though_customers_are_not() {
    let mean = customers(86).filter_map(|(_, limit)| limit).sum::<f64>() / 3.0;
    for group in groups(8, CONNECTIONS).keys() {
        let partitions = Partitions::new(group, 3, customers(86));
        let (mut loads, mut counts) = ([0.0; 3], [0; 3]);
        for (id, limit) in customers(86) {
            loads[partitions.of(Some(&id))] += limit.unwrap();
            counts[partitions.of(Some(&id))] += 1;
        }
        for load in loads {
            assert!((mean * 0.4..=mean * 1.3).contains(&load), "{loads:?}");
        }
        // A third is 29: each customer needs connections, however rarely it sends.
        assert!(counts.iter().all(|n| (14..=36).contains(n)), "{counts:?}");
    }
}

/// One customer sends nearly everything: the others must not wait behind it.
#[test]
fn a_dominating_customer_has_a_partition_of_its_own() {
    let all = customers(86).map(|(id, limit)| match id.as_str() {
        "c0" => (id, Some(1e6)),
        _ => (id, limit),
    });
    let group = "g0".parse().unwrap();
    let partitions = Partitions::new(&group, 3, all);
    let of = |n: usize| partitions.of(Some(&format!("c{n}").parse().unwrap()));
    assert!((1..86).all(|n| of(n) != of(0)));
}

/// Limits that are missing or zero say nothing about a customer: it is placed all the same.
#[test_case(None; "no limit")]
#[test_case(Some(0.0); "nothing allowed")]
fn customers_without_a_usable_limit_are_spread(limit: Option<f64>) {
    let group = "g0".parse().unwrap();
    let all = customers(600).map(|(id, _)| (id, limit));
    let partitions = Partitions::new(&group, 3, all);
    let mut counts = [0; 3];
    for (id, _) in customers(600) {
        counts[partitions.of(Some(&id))] += 1;
    }
    assert!(counts.iter().all(|n| (140..=260).contains(n)), "{counts:?}");
    assert!(partitions.of(None) < 3);
}

/// A VM with a tenth of a core and a narrow link must not pool for half of the fleet, and no
/// VM, however large, may pool so much that its loss moves most customers.
#[test]
fn no_vm_pools_more_than_its_part() {
    let live = fleet(87);
    let mut counts: IndexMap<ProxyId, usize> = IndexMap::new();
    for id in poolers(&live).into_values() {
        *counts.entry(id).or_default() += 1;
    }
    let pooled = |size: VmSize| {
        let of = live
            .iter()
            .filter(|c| c.area == live[0].area && c.size == Some(size));
        let counts: Vec<_> = of
            .map(|c| counts.get(&c.id).copied().unwrap_or(0))
            .collect();
        let total: usize = counts.iter().sum();
        let most = counts.iter().copied().max().unwrap();
        (most, total as f64 / counts.len() as f64)
    };
    // Of 24 partitions, a large VM's part is 1.5 and a small one's 0.4.
    let ((most_large, mean_large), (most_small, mean_small)) = (pooled(LARGE), pooled(SMALL));
    assert!(most_large <= 3 && most_small <= 2, "{counts:?}");
    assert!(mean_large > 2.0 * mean_small, "{mean_large} {mean_small}");
}

/// One VM is a hundred times as large as all others together.
#[test]
fn a_huge_vm_pools_a_quarter_at_most() {
    let mut live = fleet(12);
    live[0].size = Some(VmSize {
        cpu_millis: 1_000_000,
        link_kbps: 1_000_000_000,
    });
    let huge = poolers(&live).into_values().filter(|id| *id == live[0].id);
    assert!(huge.count() <= 6);
}

/// Sizes are unknown while a fleet is updated, and a size of zeros may be announced: work is
/// spread all the same.
#[test_case(|_| None; "none known")]
#[test_case(|n| (n % 2 == 0).then_some(SMALL); "half known")]
#[test_case(|_| Some(VmSize { cpu_millis: 0, link_kbps: 0 }); "zeros")]
fn vms_of_unknown_size_take_an_equal_part(size: fn(usize) -> Option<VmSize>) {
    let mut live = fleet(86);
    for (n, candidate) in live.iter_mut().enumerate() {
        candidate.size = size(n / 2);
    }
    let mut counts: IndexMap<ProxyId, usize> = IndexMap::new();
    for id in poolers(&live).into_values() {
        *counts.entry(id).or_default() += 1;
    }
    assert!(counts.len() >= 14, "{counts:?}");
    assert!(counts.values().all(|n| *n <= 2), "{counts:?}");
}

/// A pooler stops. Its partitions move; if others moved as well, their connections would be
/// opened anew at the same moment.
#[test]
fn a_pooler_that_stops_moves_hardly_any_other_customers() {
    let live = fleet(87);
    let before = poolers(&live);
    let (mut own, mut others) = (0, 0);
    for stopped in live.iter().skip(1) {
        let rest: Vec<_> = live
            .iter()
            .filter(|c| c.id != stopped.id)
            .cloned()
            .collect();
        let after = poolers(&rest);
        assert_eq!(before.len(), after.len());
        for (partition, id) in &before {
            match (*id == stopped.id, after[partition] == *id) {
                (true, moved) => {
                    assert!(!moved);
                    own += 1;
                }
                (false, true) => {}
                (false, false) => others += 1,
            }
        }
    }
    assert!(own >= 22 && others <= 3, "{own} and {others} others");
}

/// Changes of the fleet reach proxies at different times. Two that differ by some proxies must
/// still send most customers to the same poolers.
#[test]
fn proxies_with_different_views_agree_on_most_poolers() {
    let live = fleet(87);
    let all = poolers(&live);
    for missing in 1..live.len() - 3 {
        let view: Vec<_> = live[..missing]
            .iter()
            .chain(&live[missing + 3..])
            .cloned()
            .collect();
        let other = poolers(&view);
        let same = all.iter().filter(|(at, id)| other.get(*at) == Some(*id));
        assert!(
            same.count() * 4 >= all.len() * 3,
            "without {missing} to {}",
            missing + 2
        );
    }
}

/// In a rolling restart, a restarted proxy is not listed among the live ones yet. It must not
/// open connections to every instance for that.
#[test]
fn an_unlisted_proxy_takes_no_more_than_its_share() {
    let live = fleet(40);
    for (index, me) in live.iter().enumerate() {
        let mut others = live.clone();
        others.remove(index);
        let listed = plan(&groups(8, CONNECTIONS), me, &live);
        let unlisted = plan(&groups(8, CONNECTIONS), me, &others);
        for (group, plan) in &listed {
            assert_eq!(unlisted[group].is_holder, plan.is_holder);
            assert_eq!(unlisted[group].holders, plan.holders);
        }
    }
}

/// A customer's pooler fails. Its statements go to other poolers of the group, which know its
/// primary, before any other proxy, and the customers of the failed one spread over them.
#[test]
fn the_other_poolers_replace_one_that_fails() {
    let mut second = [0; 3];
    for group in groups(8, CONNECTIONS).keys() {
        let partitions = Partitions::new(group, 3, customers(86));
        for (id, _) in customers(86) {
            let order = partitions.poolers(Some(&id));
            assert_eq!((order[0], order.len()), (partitions.of(Some(&id)), 3));
            if order[0] == 0 {
                second[order[1]] += 1;
            }
        }
    }
    // Of 229 customers of the first partitions, on average.
    assert!(second[1] >= 70 && second[2] >= 70, "{second:?}");
}

#[test_case(400, 87, 0, 87; "enough for all")]
#[test_case(26, 87, 1, 2; "one pooler in each region")]
#[test_case(1, 87, 1, 1; "one connection")]
#[test_case(0, 87, 1, 1; "a limit of zero counts as one")]
#[test_case(81, 30, 3, 6; "few for each")]
fn connections_decide_how_many_pool(
    connections: u32,
    proxies: usize,
    partitions: usize,
    holders: u32,
) {
    let live = fleet(proxies);
    let mut holding = 0;
    for me in &live {
        let plan = &plan(&groups(1, connections), me, &live)[0];
        assert_eq!((plan.partitions, plan.holders), (partitions, holders));
        holding += u32::from(plan.is_holder);
    }
    assert_eq!(holding, holders);
}

/// The store is unreachable from the start, and no other proxy is known: this one serves alone.
#[test]
fn a_proxy_that_knows_no_other_serves_alone() {
    let me = &fleet(1)[0];
    let plan = &plan(&groups(1, 3), me, &[])[0];
    assert!(plan.is_holder && plan.poolers == [me.id.clone()]);
}
