//! Which proxies have a role for their data centre: store watcher and gateways.
//!
//! Under load there are 2,200 proxies in 24 data centres. If each watched the store and kept
//! links to every other data centre, calls to the store would grow with the number of
//! proxies. So the proxies of a data centre compute the same ranking, by rendezvous hash: the
//! first one watches the store, and the first two are gateways, which keep the links. No
//! election is needed: two proxies that disagree for a moment both watch, which only costs a
//! call.

use std::cmp::Reverse;

use model::hash;
use model::id::{DataCentre, ProxyId};

use crate::membership::table::{MemberInfo, State, Table};

/// Gateways of a data centre. With two, half of the links remain when one fails, until the
/// next in rank takes over.
pub const GATEWAYS: usize = 2;

/// Running proxies of a data centre, ranked for its roles.
///
/// Proxies that are draining or not live rank last, and before them those that cannot reach
/// the store.
pub fn ranking<'a>(table: &'a Table, data_centre: &'a DataCentre) -> Vec<&'a MemberInfo> {
    let mut ranked: Vec<_> = table.running_in(data_centre).collect();
    ranked.sort_by_cached_key(|info| {
        let weight = hash::of([data_centre.as_str(), info.id.as_str()]);
        let ranks_last = info.draining || info.state != State::Live;
        (
            ranks_last,
            info.store_unreachable,
            Reverse(weight),
            info.id.clone(),
        )
    });
    ranked
}

/// Whether `me` watches the store for its data centre.
pub fn is_watcher(table: &Table, data_centre: &DataCentre, me: &ProxyId) -> bool {
    ranking(table, data_centre)
        .first()
        .is_some_and(|n| n.id == *me)
}

/// The other gateways of the data centre `home`; `None` unless `me` is one.
pub fn other_gateways<'a>(
    table: &'a Table,
    home: &'a DataCentre,
    me: &ProxyId,
) -> Option<Vec<&'a MemberInfo>> {
    let mut gateways = ranking(table, home);
    gateways.truncate(GATEWAYS);
    let count = gateways.len();
    gateways.retain(|info| info.id != *me);
    (gateways.len() < count).then_some(gateways)
}

/// The data centres that `me` keeps links to, for its own data centre `home`.
///
/// Each data centre is linked to those 1, 2, 4, 8, … positions later in the common order. With
/// 24 data centres, 5 links reach all others in at most 5 hops, whereas links to all would
/// cost each gateway 46 heartbeats a round. The gateways divide the links evenly.
pub fn links(table: &Table, home: &DataCentre, me: &ProxyId) -> Vec<DataCentre> {
    let ranked = ranking(table, home);
    let gateways = ranked.len().min(GATEWAYS);
    let position = ranked[..gateways].iter().position(|info| info.id == *me);
    let Some(position) = position else {
        return Vec::new();
    };
    let all = table.data_centres();
    let Some(home_index) = all.iter().position(|name| name == home) else {
        return Vec::new();
    };
    let steps = (0..).map(|n| 1 << n).take_while(|step| *step < all.len());
    let targets = steps.map(|step| all[(home_index + step) % all.len()].clone());
    let mut targets: Vec<_> = targets.collect();
    targets.dedup();
    let indexed = targets.into_iter().enumerate();
    let mine = indexed.filter(|(n, _)| n % gateways == position);
    mine.map(|(_, name)| name).collect()
}
