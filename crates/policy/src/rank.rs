//! Order in which proxies step in for a group: rendezvous hashing over the live ones.

use std::cmp::Reverse;

use model::hash;
use model::id::{DataCentre, GroupId, ProxyId};

use crate::message::Peer;

/// Sorts proxies by their rank for a key; all that know the same proxies sort them alike.
pub fn sort(key: &str, ids: &mut [&ProxyId]) {
    ids.sort_by_cached_key(|id| Reverse(hash::of([key, id.as_str()])));
}

/// How many live proxies go before `me`.
///
/// Proxies in the primary's data centre go last: when the primary is lost together with
/// its data centre, they are lost too, and each dead one would cost a turn. The order only
/// keeps contention low; the compare-and-swap of the claim keeps two from both leading.
pub fn rank(group: &GroupId, me: &Peer, live: &[Peer], lost: Option<&DataCentre>) -> u64 {
    let key = |p: &Peer| {
        let beside = lost == Some(&p.location.data_centre);
        let hash = hash::of([group.as_str(), p.id.as_str()]);
        (beside, Reverse(hash), p.id.clone())
    };
    let mine = key(me);
    let ahead = live.iter().filter(|p| p.id != me.id && key(p) < mine);
    ahead.count() as u64
}
