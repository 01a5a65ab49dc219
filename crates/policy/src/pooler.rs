//! Which proxies hold connections to a group, and through which the others reach it.
//!
//! Load: 65 proxies before instances that accept 41 connections each. Harm without it:
//! with less than one connection for each proxy, connections are opened and closed around
//! single statements, and instances spend their slots on handshakes; a quarter of all
//! statements were refused. So where the connections do not suffice for all, a few
//! proxies of each data centre carry the group's statements for the others, over
//! connections that stay open and are shared by many.

use indexmap::{IndexMap, IndexSet};
use model::hash;
use model::id::{DataCentre, GroupId, ProxyId};

use crate::rank;

/// Connections for each proxy from which on all proxies hold their own. With one for each,
/// and as many again for a moment, twelve proxies before 23 connections served more than
/// three carriers did, and none of them waited for a carrier after a restart of all.
const DIRECT_CONNECTIONS: u32 = 1;

/// Connections that a carrier should have: an instance has a few slots, and about as many
/// connections again are held by transactions that pause.
const POOLER_CONNECTIONS: u32 = 4;

/// What a proxy's part is hashed for, as a carrier and as a borrower.
const CARRIER: &str = "carrier";
const BORROWER: &str = "borrower";

/// A live proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proxy {
    /// Its name.
    pub id: ProxyId,
    /// Where it runs.
    pub data_centre: DataCentre,
}

/// How a group's connections are held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Proxies that hold connections, over all data centres.
    pub holders: u32,
    /// Whether this proxy is one of them.
    pub is_holder: bool,
    /// Proxies of this data centre to go through, the first one first; empty where all
    /// proxies hold their own. Those behind the carriers stand in for them.
    pub poolers: Vec<ProxyId>,
}

/// Plans who holds connections to the instances of a group, each of which accepts
/// `connections`.
///
/// All proxies that know the same live ones come to the same plan. Where they do not, for
/// some seconds, a proxy that is asked to carry does so all the same. A proxy counts itself
/// whether it is among the live ones or not: in a rolling restart of a fleet larger than
/// the limit, a proxy that is not listed yet must not hold more than its place.
pub fn plan(group: &GroupId, connections: u32, me: &Proxy, live: &[Proxy]) -> Plan {
    let mut centres: IndexMap<&DataCentre, IndexSet<&ProxyId>> = IndexMap::new();
    for proxy in live.iter().chain([me]) {
        let here = centres.entry(&proxy.data_centre).or_default();
        here.insert(&proxy.id);
    }
    let size = |ids: &IndexSet<_>| u32::try_from(ids.len()).unwrap_or(u32::MAX);
    let count = centres.values().map(size).sum();
    if connections / count >= DIRECT_CONNECTIONS {
        return Plan {
            holders: count,
            is_holder: true,
            poolers: Vec::new(),
        };
    }
    let centre_count = u32::try_from(centres.len()).unwrap_or(u32::MAX);
    let areas: Vec<IndexSet<_>> = if connections < centre_count {
        // Not even one connection for each data centre.
        vec![centres.into_values().flatten().collect()]
    } else {
        centres.into_values().collect()
    };
    let area_count = u32::try_from(areas.len()).unwrap_or(u32::MAX);
    let each = (connections / (area_count * POOLER_CONNECTIONS)).max(1);
    let holders = areas.iter().map(|ids| each.min(size(ids))).sum();
    let here = areas.into_iter().find(|ids| ids.contains(&me.id));
    let here = here.unwrap_or_default();
    let (poolers, others) = poolers(group, each, me, here.into_iter().collect());
    Plan {
        holders,
        is_holder: poolers.contains(&&me.id),
        poolers: poolers.into_iter().chain(others).cloned().collect(),
    }
}

/// The carriers among the proxies of a data centre, in the order in which `me` asks them, and
/// the others in the order in which they stand in.
///
/// The proxies are divided into `each` parts by a hash, and the first one of each part
/// carries. A borrower begins with the part that another hash picks: borrowers spread over
/// the carriers, and if one goes, those that go through the others stay with them.
fn poolers<'a>(
    group: &GroupId,
    each: u32,
    me: &Proxy,
    mut here: Vec<&'a ProxyId>,
) -> (Vec<&'a ProxyId>, Vec<&'a ProxyId>) {
    rank::sort(group.as_str(), &mut here);
    let part = |of, id: &ProxyId| hash::of([of, group.as_str(), id.as_str()]) % u64::from(each);
    let mut taken = IndexSet::new();
    let all = here.len() <= each as usize;
    let carries = |id: &&ProxyId| taken.insert(part(CARRIER, id)) || all;
    let (mut poolers, others): (Vec<_>, Vec<_>) = here.into_iter().partition(carries);
    poolers.sort_by_key(|id| part(CARRIER, id));
    let picked = part(BORROWER, &me.id);
    let first = poolers.partition_point(|id| part(CARRIER, id) < picked);
    poolers.rotate_left(first);
    (poolers, others)
}
