//! Finding a proxy that reaches a group which this one does not.

use model::id::{GroupId, ProxyId};
use model::unit::Time;
use policy::fallback::{self, Fallback, FallbackChoice};
use policy::pooler::Proxy;

fn proxy(name: &str, centre: &str) -> Proxy {
    Proxy {
        id: name.parse().unwrap(),
        data_centre: centre.parse().unwrap(),
    }
}

fn ids(names: &[&str]) -> Vec<ProxyId> {
    names.iter().map(|n| n.parse().unwrap()).collect()
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A cut leaves a whole data centre on the wrong side of the new primary. The first round
/// reaches another data centre, whatever the number of proxies beside this one.
#[test]
fn each_data_centre_is_among_the_first() {
    let group: GroupId = "g".parse().unwrap();
    let live: Vec<_> = (0..4)
        .map(|n| proxy(&format!("a{n}"), "a"))
        .chain((0..4).map(|n| proxy(&format!("b{n}"), "b")))
        .chain((0..4).map(|n| proxy(&format!("c{n}"), "c")))
        .collect();
    let peers = fallback::candidates(&group, &live[0], &live);
    assert_eq!(peers.len(), 11);
    let centres: Vec<_> = peers.iter().take(3).map(|p| &p.as_str()[..1]).collect();
    assert_eq!(centres, ["a", "b", "c"]);
    assert!(!peers.contains(&live[0].id));
}

/// Hundreds of statements find their group out of reach at once. One of them searches, and
/// the others wait; each round asks proxies that were not asked before.
#[test]
fn one_statement_searches_for_all() {
    let peers = ids(&["p1", "p2", "p3", "p4", "p5"]);
    let mut detour = Fallback::default();
    assert_eq!(
        detour.choose(&peers, at(1_000)),
        FallbackChoice::Search(ids(&["p1", "p2", "p3"]))
    );
    assert_eq!(detour.choose(&peers, at(1_010)), FallbackChoice::None);
    assert_eq!(
        detour.choose(&peers, at(1_200)),
        FallbackChoice::Search(ids(&["p4", "p5", "p1"]))
    );
}

/// The proxy that served one statement serves the next ones, until it cannot any more.
#[test]
fn a_way_that_was_found_is_used_until_it_is_lost() {
    let peers = ids(&["p1", "p2"]);
    let mut detour = Fallback::default();
    detour.choose(&peers, at(1_000));
    assert!(detour.found(&peers[1]));
    assert!(!detour.found(&peers[1]));
    assert_eq!(
        detour.choose(&peers, at(1_010)),
        FallbackChoice::Known(peers[1].clone())
    );
    detour.lost(&peers[0]);
    assert_eq!(
        detour.choose(&peers, at(1_020)),
        FallbackChoice::Known(peers[1].clone())
    );
    detour.lost(&peers[1]);
    assert_eq!(
        detour.choose(&peers, at(1_200)),
        FallbackChoice::Search(ids(&["p1", "p2"]))
    );
}

#[test]
fn without_other_proxies_there_is_no_way() {
    assert_eq!(
        Fallback::default().choose(&[], at(1_000)),
        FallbackChoice::None
    );
}
