//! Which proxies serve a group: distribution, stability and distance.

use indexmap::{IndexMap, IndexSet};
use model::id::GroupId;
use model::location::Location;
use policy::message::Peer;
use policy::placement::{self, Homes, PER_DATA_CENTRE, Route};

fn proxy(centre: usize, n: usize) -> Peer {
    Peer {
        id: format!("p{centre}-{n}").parse().unwrap(),
        location: Location {
            region: format!("region-{}", centre / 2).parse().unwrap(),
            data_centre: format!("dc-{centre}").parse().unwrap(),
        },
    }
}

fn fleet(centres: usize, each: usize) -> Vec<Peer> {
    let centres = 0..centres;
    centres
        .flat_map(|c| (0..each).map(move |n| proxy(c, n)))
        .collect()
}

fn homes(centres: &[usize]) -> Homes {
    centres
        .iter()
        .map(|c| proxy(*c, 0).location.data_centre)
        .collect()
}

fn group(n: usize) -> GroupId {
    format!("group-{n}").parse().unwrap()
}

#[test]
fn with_nine_proxies_each_serves_every_group() {
    let live = fleet(3, 3);
    for me in &live {
        let route = placement::route(&group(1), &homes(&[0, 1, 2]), me, &live);
        assert_eq!(route, Route::Local);
    }
}

#[test]
fn all_proxies_agree_who_serves_a_group() {
    let live = fleet(6, 20);
    let homes = homes(&[0, 2, 3]);
    let mut shuffled = live.clone();
    shuffled.reverse();
    let names = |live: &[Peer]| -> IndexSet<_> {
        let servers = placement::serving_proxies(&group(7), &homes, live);
        servers.into_iter().map(|p| p.id.clone()).collect()
    };
    let mut a = names(&live);
    let mut b = names(&shuffled);
    a.sort();
    b.sort();
    assert_eq!(a, b);
    assert_eq!(a.len(), 3 * PER_DATA_CENTRE);
}

#[test]
fn forwards_to_the_nearest_serving_proxy_first() {
    let live = fleet(6, 20);
    let me = proxy(1, 19);
    let Route::Via(servers) = placement::route(&group(7), &homes(&[0, 4]), &me, &live) else {
        panic!("a proxy outside the group's data centres serves it");
    };
    let distances = servers.iter().map(|p| me.location.distance(&p.location));
    assert!(distances.is_sorted());
    assert_eq!(
        servers[0].location.data_centre,
        proxy(0, 0).location.data_centre
    );
}

// A user connects through a proxy whose data centre is partitioned from the group's. This
// proxy knows of no live serving proxy. If it rejected the connection, even reads that a
// replica on this side could serve would fail.
#[test]
fn served_locally_without_a_live_serving_proxy() {
    let me = proxy(5, 0);
    let live = [me.clone()];
    assert_eq!(
        placement::route(&group(1), &homes(&[0, 1]), &me, &live),
        Route::Local
    );
}

#[test]
fn groups_are_distributed_evenly_over_a_data_centre() {
    let live = fleet(1, 90);
    let mut load: IndexMap<_, usize> = IndexMap::new();
    for n in 0..3_000 {
        for server in placement::serving_proxies(&group(n), &homes(&[0]), &live) {
            *load.entry(server.id.clone()).or_default() += 1;
        }
    }
    let mean = 3_000 * PER_DATA_CENTRE / 90;
    let most = load.values().copied().max().unwrap();
    assert_eq!(load.len(), 90);
    assert!(
        most < mean * 3 / 2,
        "{most} groups on one proxy, {mean} on average"
    );
}

#[test]
fn a_proxy_that_stops_moves_only_its_own_groups() {
    let before = fleet(1, 30);
    let after = &before[1..];
    for n in 0..500 {
        let old = placement::serving_proxies(&group(n), &homes(&[0]), &before);
        let new = placement::serving_proxies(&group(n), &homes(&[0]), after);
        let kept = old.iter().filter(|p| p.id != before[0].id);
        assert!(kept.into_iter().all(|p| new.contains(p)));
    }
}
