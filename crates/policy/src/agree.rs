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
pub fn needed(holders: usize) -> usize {
    holders.div_ceil(PART).max(LEAST.min(holders)).max(1)
}

/// The instance that enough proxies doubt.
///
/// While a primary is known, doubts about another instance are late: they come from
/// proxies that have not heard of the change yet. One doubt suffices about an instance that
/// the platform no longer announces: it has sent no heartbeat for seconds, and a proxy finds
/// that it does not serve; the proxies that could agree may be cut off together with it.
pub fn doubted(
    doubts: &IndexMap<ProxyId, InstanceId>,
    primary: Option<&InstanceId>,
    holders: usize,
    is_announced: impl Fn(&InstanceId) -> bool,
) -> Option<InstanceId> {
    let suspect = match primary {
        Some(primary) => doubts.values().find(|i| *i == primary)?,
        None => doubts.values().next()?,
    };
    let same = doubts.values().filter(|i| *i == suspect).count();
    let needed = if is_announced(suspect) {
        needed(holders)
    } else {
        1
    };
    (same >= needed).then(|| suspect.clone())
}
