//! Ranking of the live proxies for a group or another key, by rendezvous hashing.

use std::cmp::Reverse;

use model::hash;
use model::id::{DataCentre, GroupId, ProxyId};

use crate::message::Peer;

/// Sorts proxies by their rank for a key, the first one first; every proxy computes the same
/// order from the same list.
pub fn sort(key: &str, ids: &mut [&ProxyId]) {
    ids.sort_by_cached_key(|id| Reverse(score(key, id)));
}

/// A proxy's score for a key; the one with the highest score is the first by rank.
pub fn score(key: &str, id: &ProxyId) -> u64 {
    hash::of([key, id.as_str()])
}

/// Number of live proxies that rank before `me` for a group.
///
/// Proxies in the data centre `lost` rank last: a primary is often lost together with its data
/// centre, and each failed proxy before `me` would delay it by a turn. The ranking only keeps
/// contention low; the compare-and-swap of the claim keeps two proxies from both leading.
pub fn rank(group: &GroupId, me: &Peer, live: &[Peer], lost: Option<&DataCentre>) -> u64 {
    let key = |p: &Peer| {
        let in_lost_centre = lost == Some(&p.location.data_centre);
        let hash = hash::of([group.as_str(), p.id.as_str()]);
        (in_lost_centre, Reverse(hash), p.id.clone())
    };
    let my_key = key(me);
    let before = live.iter().filter(|p| p.id != me.id && key(p) < my_key);
    before.count() as u64
}
