//! Which proxies act for their data centre.
//!
//! Load: 2,200 proxies in 24 data centres. Harm: if each held a watch on the store and
//! links to every other data centre, the store's calls would grow with the proxies. So
//! the proxies of a data centre rank themselves alike, by rendezvous hash; the first
//! watches the store, and the first two keep the links. No election is needed: two that
//! disagree for a moment both watch, which costs a call and harms nothing.

use std::cmp::Reverse;

use model::hash;
use model::id::{DataCentre, ProxyId};

use crate::membership::table::{MemberInfo, State, Table};

/// Proxies of a data centre that keep links to others. Two, so that the death of one
/// leaves half of the links in place until the next in rank takes over.
pub const GATEWAYS: usize = 2;

/// Running proxies of a data centre, the ones that act for it first.
///
/// A proxy that is being stopped goes last, and so does one that cannot reach the store,
/// as long as there are others.
pub fn ranking<'a>(table: &'a Table, place: &'a DataCentre) -> Vec<&'a MemberInfo> {
    let mut ranked: Vec<_> = table.running_in(place).collect();
    ranked.sort_by_cached_key(|info| {
        let weight = hash::of([place.as_str(), info.id.as_str()]);
        let last = info.draining || info.state != State::Live;
        (
            last,
            info.store_unreachable,
            Reverse(weight),
            info.id.clone(),
        )
    });
    ranked
}

/// Whether a proxy holds its data centre's watch on the store.
pub fn is_watcher(table: &Table, place: &DataCentre, me: &ProxyId) -> bool {
    ranking(table, place).first().is_some_and(|n| n.id == *me)
}

/// The other keepers of links of the data centre `home`; `None` unless `me` keeps some.
pub fn other_gateways<'a>(
    table: &'a Table,
    home: &'a DataCentre,
    me: &ProxyId,
) -> Option<Vec<&'a MemberInfo>> {
    let mut keepers = ranking(table, home);
    keepers.truncate(GATEWAYS);
    let before = keepers.len();
    keepers.retain(|info| info.id != *me);
    (keepers.len() < before).then_some(keepers)
}

/// The data centres that a proxy keeps links to, for its own data centre `home`.
///
/// Links go to the data centres 1, 2, 4, 8, … places further in the common order: with 24
/// of them 5 links reach all others in at most 5 hops, where links between all would cost
/// each keeper 46 heartbeats a turn. The keepers share the links in turn.
pub fn links(table: &Table, home: &DataCentre, me: &ProxyId) -> Vec<DataCentre> {
    let ranked = ranking(table, home);
    let keepers = ranked.len().min(GATEWAYS);
    let index = ranked[..keepers].iter().position(|info| info.id == *me);
    let Some(index) = index else {
        return Vec::new();
    };
    let all = table.data_centres();
    let Some(at) = all.iter().position(|name| name == home) else {
        return Vec::new();
    };
    let steps = (0..).map(|n| 1 << n).take_while(|step| *step < all.len());
    let linked = steps.map(|step| all[(at + step) % all.len()].clone());
    let mut linked: Vec<_> = linked.collect();
    linked.dedup();
    let shared = linked.into_iter().enumerate();
    let mine = shared.filter(|(n, _)| n % keepers == index);
    mine.map(|(_, name)| name).collect()
}
