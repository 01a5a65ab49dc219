//! Which proxies pool the connections of which customers, where a connection serves one
//! customer only.
//!
//! Under load, the statements of 86 customers arrive at 87 proxies, and an instance accepts 81
//! connections. If any pooler served any customer, nearly every statement would find no
//! connection of its customer and open one, and instances would spend half of their slots on
//! handshakes. So the customers of a group are divided into a few partitions in each region,
//! and one proxy of the region pools the connections of each.
//!
//! - A region and not a data centre: its data centres are a millisecond or two apart, and with
//!   a third of the poolers each customer's connections are used three times as often.
//! - Customers are divided by their rate limits, which tell what to expect of them.
//! - VMs are chosen in proportion to their size, each for no more than its part.

mod partitions;

use std::cmp::Reverse;

use indexmap::{IndexMap, IndexSet};
use model::hash;
use model::id::{GroupId, ProxyId};
use model::vm::VmSize;

use crate::pooler::Plan;
pub use partitions::Partitions;

/// Connections per proxy from which on every proxy holds its own.
const DIRECT_CONNECTIONS: u32 = 4;

/// Connections to an instance that each pooler should have: enough to keep those of its
/// frequent customers.
const POOLER_CONNECTIONS: u32 = 13;

/// Largest part of a region's partitions that one VM may pool, as a divisor, however large the
/// VM is: losing it must leave most customers with their poolers.
const MAX_PART: usize = 4;

/// Bandwidth that a pooler needs for each thousandth of a core, in kbit/s: a pooled statement
/// takes about half a millisecond of a core and passes twice with about a kilobyte.
const LINK_KBPS_PER_CPU_MILLI: u32 = 40;

/// Proxies besides the poolers that replace them; a statement tries no more.
const SPARES: usize = 6;

/// Hash keys; all proxies must use the same texts.
const PARTITION: &str = "partition";
const SPARE: &str = "spare";

/// A live proxy that may pool connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The proxy's id.
    pub id: ProxyId,
    /// The area whose proxies it serves: the region in which it runs, or its data centre if
    /// the region is unknown.
    pub area: String,
    /// What its VM can carry, if known.
    pub size: Option<VmSize>,
}

/// Plans which proxies hold connections to the instances of all groups; `groups` holds the
/// number of connections that an instance of each accepts.
///
/// Proxies that know the same live ones compute the same plan. A proxy counts itself, whether
/// it is listed in `live` or not.
pub fn plan(
    groups: &IndexMap<GroupId, u32>,
    me: &Candidate,
    live: &[Candidate],
) -> IndexMap<GroupId, Plan> {
    let mut regions: IndexMap<&str, IndexMap<&ProxyId, &Candidate>> = IndexMap::new();
    for candidate in live.iter().chain([me]) {
        let region = regions.entry(&candidate.area).or_default();
        region.entry(&candidate.id).or_insert(candidate);
    }
    let sizes: Vec<usize> = regions.values().map(IndexMap::len).collect();
    let local: Vec<&Candidate> = match regions.get(me.area.as_str()) {
        Some(local) => local.values().copied().collect(),
        None => vec![me],
    };
    let everyone: Vec<&Candidate> = regions.values().flat_map(|r| r.values()).copied().collect();
    let demand = |connections| Demand::new(connections, &sizes, local.len());
    let areas = [local.as_slice(), everyone.as_slice()];
    // Groups with fewer connections than regions have poolers for all regions.
    let [local, global] = [false, true].map(|global| {
        let mine = groups.iter().map(|(id, n)| (id, demand(*n)));
        let mine = mine.filter(|(_, d)| d.global == global);
        let partitions = mine.map(|(id, d)| (id, d.partitions)).collect();
        assign(partitions, areas[usize::from(global)])
    });
    let plan = |(id, connections): (&GroupId, &u32)| {
        let demand = demand(*connections);
        let poolers = if demand.global { &global } else { &local };
        let poolers = poolers.get(id).cloned().unwrap_or_default();
        let area = areas[usize::from(demand.global)];
        let plan = if demand.partitions == 0 {
            Plan::direct(demand.holders)
        } else {
            let spares = spares(id, area, &poolers);
            Plan {
                holders: demand.holders,
                is_holder: poolers.contains(&&me.id),
                partitions: poolers.len(),
                poolers: poolers.into_iter().chain(spares).cloned().collect(),
            }
        };
        (id.clone(), plan)
    };
    groups.iter().map(plan).collect()
}

/// Number of partitions of a group's customers, and of proxies that hold its connections.
struct Demand {
    /// In the region of this proxy; 0 if every proxy holds its own connections.
    partitions: usize,
    /// Over all regions.
    holders: u32,
    /// Whether a pooler serves all regions.
    global: bool,
}

impl Demand {
    fn new(connections: u32, regions: &[usize], local: usize) -> Self {
        let connections = connections as usize;
        let proxies = regions.iter().sum::<usize>();
        let holders = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        if connections / proxies >= DIRECT_CONNECTIONS as usize {
            return Self {
                partitions: 0,
                holders: holders(proxies),
                global: false,
            };
        }
        let global = connections < regions.len();
        let areas = if global { 1 } else { regions.len() };
        let each = (connections / (areas * POOLER_CONNECTIONS as usize)).max(1);
        if global {
            return Self {
                partitions: each,
                holders: holders(each),
                global,
            };
        }
        Self {
            partitions: each.min(local),
            holders: holders(regions.iter().map(|n| each.min(*n)).sum()),
            global,
        }
    }
}

/// Assigns the partitions of all groups to proxies of one area.
///
/// Each partition goes to the first proxy of its own order that has room, and that pools no
/// other partition of the group. A proxy that leaves so moves its own partitions, and rarely
/// others that give way to them.
fn assign<'a>(
    mut groups: Vec<(&'a GroupId, usize)>,
    area: &[&'a Candidate],
) -> IndexMap<&'a GroupId, Vec<&'a ProxyId>> {
    let total = groups.iter().map(|(_, partitions)| partitions).sum();
    let weights = weights(area);
    let parts = parts(&weights, total);
    let mut taken = vec![0; area.len()];
    let mut assigned = IndexMap::new();
    groups.sort_by_key(|(group, _)| *group);
    for (group, partitions) in groups {
        let mut poolers = IndexSet::new();
        for partition in 0..partitions {
            let key = [PARTITION, group.as_str(), &partition.to_string()];
            let free = |at: &usize| !poolers.contains(at);
            let best = |at: &usize| Rank::new(&key, &area[*at].id, weights[*at]);
            let candidates = (0..area.len()).filter(free);
            let roomy = candidates.clone().filter(|at| taken[*at] < parts[*at]);
            let Some(chosen) = roomy
                .max_by_key(best)
                .or_else(|| candidates.max_by_key(best))
            else {
                break;
            };
            taken[chosen] += 1;
            poolers.insert(chosen);
        }
        let poolers = poolers.into_iter().map(|at| &area[at].id).collect();
        assigned.insert(group, poolers);
    }
    assigned
}

/// What each VM of an area can carry, in thousandths of a core. One of unknown size counts as
/// much as the mean of the others.
fn weights(area: &[&Candidate]) -> Vec<u32> {
    let weight = |size: VmSize| {
        let by_link = size.link_kbps / LINK_KBPS_PER_CPU_MILLI;
        size.cpu_millis.min(by_link).max(1)
    };
    let known: Vec<_> = area.iter().filter_map(|c| c.size.map(weight)).collect();
    let sum: u64 = known.iter().map(|w| u64::from(*w)).sum();
    let mean = sum.checked_div(known.len() as u64).unwrap_or(1);
    let mean = u32::try_from(mean).unwrap_or(u32::MAX);
    let weight = |c: &&Candidate| c.size.map_or(mean, weight);
    area.iter().map(weight).collect()
}

/// Most partitions of an area that each VM pools: its part by weight, rounded up, and one more.
fn parts(weights: &[u32], total: usize) -> Vec<usize> {
    let sum: u64 = weights.iter().map(|w| u64::from(*w)).sum();
    let limit = total.div_ceil(MAX_PART).max(1);
    let part = |weight: &u32| {
        let part = (total as u64 * u64::from(*weight)).div_ceil(sum.max(1));
        (part as usize + 1).min(limit)
    };
    weights.iter().map(part).collect()
}

/// The proxies that replace the poolers of a group, in order.
fn spares<'a>(group: &GroupId, area: &[&'a Candidate], poolers: &[&ProxyId]) -> Vec<&'a ProxyId> {
    let weights = weights(area);
    let others = (0..area.len()).filter(|at| !poolers.contains(&&area[*at].id));
    let mut others: Vec<_> = others.collect();
    let key = [SPARE, group.as_str()];
    others.sort_by_cached_key(|at| Reverse(Rank::new(&key, &area[*at].id, weights[*at])));
    let spares = others.into_iter().take(SPARES);
    spares.map(|at| &area[at].id).collect()
}

/// Rank of a proxy for a key: the highest one is each proxy's in proportion to its weight.
#[derive(Clone, Copy, PartialEq)]
struct Rank(f64);

impl Rank {
    fn new(key: &[&str], id: &ProxyId, weight: u32) -> Self {
        let hash = hash::of(key.iter().copied().chain([id.as_str()]));
        // From 0 to 1, without both ends.
        let uniform = ((hash >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
        Self(-f64::from(weight) / uniform.ln())
    }
}

impl Eq for Rank {}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}
