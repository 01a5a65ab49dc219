//! Order in which proxies step in for a group: rendezvous hashing over the live ones.

use std::cmp::Reverse;

use model::id::{DataCentre, GroupId};

use crate::message::Peer;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// FNV-1a with a finishing step that spreads the last bytes over the whole word.
fn hash(parts: [&str; 2]) -> u64 {
    let bytes = parts.iter().flat_map(|p| p.bytes().chain([0]));
    let mixed = bytes.fold(FNV_OFFSET, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(FNV_PRIME)
    });
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}

/// How many live proxies go before `me`.
///
/// Proxies in the primary's data centre go last: when the primary is lost together with
/// its data centre, they are lost too, and each dead one would cost a turn. The order only
/// keeps contention low; the compare-and-swap of the claim keeps two from both leading.
pub fn rank(group: &GroupId, me: &Peer, live: &[Peer], lost: Option<&DataCentre>) -> u64 {
    let key = |p: &Peer| {
        let beside = lost == Some(&p.place.data_centre);
        let hash = hash([group.as_str(), p.id.as_str()]);
        (beside, Reverse(hash), p.id.clone())
    };
    let mine = key(me);
    let ahead = live.iter().filter(|p| p.id != me.id && key(p) < mine);
    ahead.count() as u64
}
