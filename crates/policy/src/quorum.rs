//! How many proxies must suspect a primary before the coordinator replaces it.

use indexmap::IndexMap;
use model::id::{InstanceId, ProxyId};

/// Divisor that gives the share of proxies that must agree.
///
/// A single proxy may be partitioned itself, and its callers can use another proxy. If a third
/// of the callers cannot write, a change is worthwhile: it interrupts writes of all callers for
/// less than a second.
const QUORUM_DIVISOR: usize = 3;

/// Proxies that must agree at least, if there are as many.
const MIN_QUORUM: usize = 2;

/// Number of proxies that must agree, of those that hold connections to the group.
pub fn required(holders: usize) -> usize {
    holders
        .div_ceil(QUORUM_DIVISOR)
        .max(MIN_QUORUM.min(holders))
        .max(1)
}

/// Suspicions about instances of a group.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    /// The instance that each proxy suspects.
    pub by_proxy: IndexMap<ProxyId, InstanceId>,
    /// The last instance that proved that it leads.
    pub primary: Option<InstanceId>,
    /// An instance that was made primary a moment ago.
    pub recently_promoted: Option<InstanceId>,
    /// Number of proxies that hold connections to the group.
    pub holders: usize,
}

/// The instance that enough proxies suspect.
///
/// While a primary is known, suspicions about another instance are outdated: they come from
/// proxies that have not yet learned of the change. A single suspicion suffices for an instance
/// that the platform no longer announces: it has sent no heartbeat for seconds, and a proxy
/// finds that it does not serve; the proxies that could agree may be partitioned together with
/// it.
///
/// An instance that was just promoted is not suspected. Otherwise, when a group changes its
/// primary back to an instance that was suspected before, proxies that have not yet learned of
/// the change still suspect it, and it is replaced at once; this repeats for as long as changes
/// are faster than the updates about them.
pub fn suspected(
    suspicions: &Suspicions,
    is_announced: impl Fn(&InstanceId) -> bool,
) -> Option<InstanceId> {
    let counts = |i: &&InstanceId| suspicions.recently_promoted.as_ref() != Some(*i);
    let suspect = match &suspicions.primary {
        Some(primary) => suspicions
            .by_proxy
            .values()
            .filter(counts)
            .find(|i| *i == primary)?,
        None => suspicions.by_proxy.values().find(counts)?,
    };
    let count = suspicions
        .by_proxy
        .values()
        .filter(|i| *i == suspect)
        .count();
    let required = if is_announced(suspect) {
        required(suspicions.holders)
    } else {
        1
    };
    (count >= required).then(|| suspect.clone())
}
