//! How many proxies must agree before the coordinator changes a primary.

use indexmap::IndexMap;
use model::id::{InstanceId, ProxyId};

/// The part of the proxies that must agree, as a divisor.
///
/// One proxy alone may be cut off itself, and its callers can reach another proxy. A third
/// of the callers without writes is worth a change, which costs all of them less than a
/// second.
const PART: usize = 3;

/// Proxies that must agree at least, where there are as many.
const LEAST: usize = 2;

/// Proxies that must agree, of those that hold connections to the group.
pub fn required(holders: usize) -> usize {
    holders.div_ceil(PART).max(LEAST.min(holders)).max(1)
}

/// Doubts about a group's instances.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    /// The instance that each proxy doubts.
    pub by_proxy: IndexMap<ProxyId, InstanceId>,
    /// The instance that proved last that it leads.
    pub primary: Option<InstanceId>,
    /// An instance that was made primary a moment ago.
    pub recently_promoted: Option<InstanceId>,
    /// Proxies that hold connections to the group.
    pub holders: usize,
}

/// The instance that enough proxies doubt.
///
/// While a primary is known, doubts about another instance are late: they come from
/// proxies that have not heard of the change yet. One doubt suffices about an instance that
/// the platform no longer announces: it has sent no heartbeat for seconds, and a proxy finds
/// that it does not serve; the proxies that could agree may be cut off together with it.
///
/// An instance that was just made primary is not doubted. Load: a group that changes its
/// primary back to one that was doubted before. Harm without it: the proxies that have not
/// heard of the change still doubt it, it is replaced at once, and so on for as long as
/// changes come faster than the news of them.
pub fn suspected(
    doubts: &Suspicions,
    is_announced: impl Fn(&InstanceId) -> bool,
) -> Option<InstanceId> {
    let of = |i: &&InstanceId| doubts.recently_promoted.as_ref() != Some(*i);
    let suspect = match &doubts.primary {
        Some(primary) => doubts
            .by_proxy
            .values()
            .filter(of)
            .find(|i| *i == primary)?,
        None => doubts.by_proxy.values().find(of)?,
    };
    let same = doubts.by_proxy.values().filter(|i| *i == suspect).count();
    let required = if is_announced(suspect) {
        required(doubts.holders)
    } else {
        1
    };
    (same >= required).then(|| suspect.clone())
}
