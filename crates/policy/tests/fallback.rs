//! Searching a remote proxy for a group that this one cannot reach.

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

/// A partition separates a whole data centre from the new primary. The first search includes
/// other data centres, however many other proxies this
/// one has.
#[test]
fn each_data_centre_is_among_the_first_candidates() {
    let group: GroupId = "g".parse().unwrap();
    let live: Vec<_> = (0..4)
        .map(|n| proxy(&format!("a{n}"), "a"))
        .chain((0..4).map(|n| proxy(&format!("b{n}"), "b")))
        .chain((0..4).map(|n| proxy(&format!("c{n}"), "c")))
        .collect();
    let candidates = fallback::candidates(&group, &live[0], &live);
    assert_eq!(candidates.len(), 11);
    let centres: Vec<_> = candidates
        .iter()
        .take(3)
        .map(|p| &p.as_str()[..1])
        .collect();
    assert_eq!(centres, ["a", "b", "c"]);
    assert!(!candidates.contains(&live[0].id));
}

/// A group becomes unreachable for hundreds of statements at once. One of them searches, and
/// the others wait. Each search queries proxies that were not queried before.
#[test]
fn one_statement_searches_for_all() {
    let candidates = ids(&["p1", "p2", "p3", "p4", "p5"]);
    let mut search = Fallback::default();
    assert_eq!(
        search.choose(&candidates, at(1_000)),
        FallbackChoice::Search(ids(&["p1", "p2", "p3"]))
    );
    assert_eq!(search.choose(&candidates, at(1_010)), FallbackChoice::None);
    assert_eq!(
        search.choose(&candidates, at(1_200)),
        FallbackChoice::Search(ids(&["p4", "p5", "p1"]))
    );
}

/// The proxy that served one statement serves the next ones until it no longer can.
#[test]
fn a_fallback_is_used_until_it_is_lost() {
    let candidates = ids(&["p1", "p2"]);
    let mut search = Fallback::default();
    search.choose(&candidates, at(1_000));
    assert!(search.found(&candidates[1]));
    assert!(!search.found(&candidates[1]));
    assert_eq!(
        search.choose(&candidates, at(1_010)),
        FallbackChoice::Known(candidates[1].clone())
    );
    search.lost(&candidates[0]);
    assert_eq!(
        search.choose(&candidates, at(1_020)),
        FallbackChoice::Known(candidates[1].clone())
    );
    search.lost(&candidates[1]);
    assert_eq!(
        search.choose(&candidates, at(1_200)),
        FallbackChoice::Search(ids(&["p1", "p2"]))
    );
}

#[test]
fn without_other_proxies_there_is_no_fallback() {
    assert_eq!(
        Fallback::default().choose(&[], at(1_000)),
        FallbackChoice::None
    );
}
