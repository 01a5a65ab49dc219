//! Which proxies hold connections to a group, and which ones pool them for the others.
//!
//! Under load, 65 proxies use instances that accept 41 connections each. With less than
//! one connection for each proxy, connections would be opened and closed around single
//! statements, and instances would spend their slots on handshakes; a quarter of all
//! statements were rejected. Where there are too few connections for all proxies, a few
//! poolers in each data centre execute the group's statements for the others, over
//! long-lived connections that many proxies share. Where a connection serves one customer only,
//! [`crate::customer_pooler`] decides instead.

use indexmap::{IndexMap, IndexSet};
use model::hash;
use model::id::{DataCentre, GroupId, ProxyId};

use crate::rank;

/// Connections per proxy from which on every proxy holds its own. With one connection each,
/// and a second one for short times, twelve proxies that shared 23 connections served more
/// than three poolers did, and none waited for a pooler after all proxies had restarted.
const DIRECT_CONNECTIONS: u32 = 1;

/// Connections that each pooler should have: an instance has a few slots, and idle
/// transactions hold about as many connections again.
const POOLER_CONNECTIONS: u32 = 4;

/// Hash keys for a proxy's bucket as a pooler and as a client. All proxies must use the same
/// texts to agree on the poolers.
const POOLER: &str = "carrier";
const CLIENT_PROXY: &str = "borrower";

/// A live proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proxy {
    /// The proxy's id.
    pub id: ProxyId,
    /// Where it runs.
    pub data_centre: DataCentre,
}

/// Which proxies hold connections to a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Number of proxies that hold connections, over all data centres.
    pub holders: u32,
    /// Whether this proxy is one of them.
    pub is_holder: bool,
    /// Proxies of this data centre to send requests to, in order of preference: the poolers,
    /// then the proxies that replace them. With fewer connections than data centres, proxies
    /// of all data centres. Empty if all proxies hold their own connections.
    pub poolers: Vec<ProxyId>,
    /// Number of the first `poolers` among which the group's customers are divided; 0 where a
    /// connection serves all customers. See [`crate::customer_pooler`].
    pub partitions: usize,
}

impl Plan {
    /// Every proxy holds connections of its own.
    pub(crate) const fn direct(holders: u32) -> Self {
        Self {
            holders,
            is_holder: true,
            poolers: Vec::new(),
            partitions: 0,
        }
    }
}

/// Plans which proxies hold connections to the instances of a group, each of which accepts
/// `connections` and serves any caller on any of them.
///
/// Proxies that know the same live ones compute the same plan. While they differ, for some
/// seconds, a proxy that receives a request as a pooler serves it all the same. A proxy
/// always counts itself, whether it is listed in `live` or not: in a rolling restart of a
/// fleet larger than the limit, a proxy that is not listed yet must not hold more
/// connections than its share.
pub fn plan(group: &GroupId, connections: u32, me: &Proxy, live: &[Proxy]) -> Plan {
    let mut centres: IndexMap<&DataCentre, IndexSet<&ProxyId>> = IndexMap::new();
    for proxy in live.iter().chain([me]) {
        let local = centres.entry(&proxy.data_centre).or_default();
        local.insert(&proxy.id);
    }
    let size = |ids: &IndexSet<_>| u32::try_from(ids.len()).unwrap_or(u32::MAX);
    let proxies = centres.values().map(size).sum();
    if connections / proxies >= DIRECT_CONNECTIONS {
        return Plan::direct(proxies);
    }
    let centre_count = u32::try_from(centres.len()).unwrap_or(u32::MAX);
    let areas: Vec<IndexSet<_>> = if connections < centre_count {
        // Fewer connections than data centres: each pooler serves all data centres.
        vec![centres.into_values().flatten().collect()]
    } else {
        centres.into_values().collect()
    };
    let area_count = u32::try_from(areas.len()).unwrap_or(u32::MAX);
    let per_area = (connections / (area_count * POOLER_CONNECTIONS)).max(1);
    let holders = areas.iter().map(|ids| per_area.min(size(ids))).sum();
    let local = areas.into_iter().find(|ids| ids.contains(&me.id));
    let local = local.unwrap_or_default();
    let (poolers, others) = poolers(group, per_area, me, local.into_iter().collect());
    Plan {
        holders,
        is_holder: poolers.contains(&&me.id),
        poolers: poolers.into_iter().chain(others).cloned().collect(),
        partitions: 0,
    }
}

/// The poolers among `local`, in the order in which `me` tries them, and the other proxies in
/// the order in which they replace a pooler.
///
/// A hash divides the proxies into `buckets` buckets, and the highest-ranked one of each
/// bucket is a pooler. A client starts at the bucket that another hash selects. So clients
/// spread over the poolers, and when one stops, the clients of the others stay with them.
fn poolers<'a>(
    group: &GroupId,
    buckets: u32,
    me: &Proxy,
    mut local: Vec<&'a ProxyId>,
) -> (Vec<&'a ProxyId>, Vec<&'a ProxyId>) {
    rank::sort(group.as_str(), &mut local);
    let bucket =
        |of, id: &ProxyId| hash::of([of, group.as_str(), id.as_str()]) % u64::from(buckets);
    let mut seen = IndexSet::new();
    let all = local.len() <= buckets as usize;
    let is_pooler = |id: &&ProxyId| seen.insert(bucket(POOLER, id)) || all;
    let (mut poolers, others): (Vec<_>, Vec<_>) = local.into_iter().partition(is_pooler);
    poolers.sort_by_key(|id| bucket(POOLER, id));
    let start = bucket(CLIENT_PROXY, &me.id);
    let first = poolers.partition_point(|id| bucket(POOLER, id) < start);
    poolers.rotate_left(first);
    (poolers, others)
}
