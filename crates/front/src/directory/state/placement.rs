//! Which proxies hold connections to each group, and through which proxies it is reached,
//! computed from the live proxies.

use std::net::SocketAddr;

use indexmap::IndexMap;
use model::id::{GroupId, ProxyId};
use model::route::Routes;
use policy::customer_pooler::{self, Candidate};
use policy::fallback;
use policy::pooler::{self, Plan, Proxy};

use super::State;
use crate::distance::Distances;

/// How a group is reached.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Which proxies hold connections to it.
    pub plan: Plan,
    /// The other proxies, in the order in which they are tried when it is unreachable.
    pub peers: Vec<ProxyId>,
}

/// What a plan is computed from, besides the group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Input {
    /// Connections that an instance accepts.
    connections: u32,
    /// Whether each connection serves one customer only.
    by_customer: bool,
    proxies_version: u64,
}

/// A plan and the input that it was computed from.
#[derive(Clone, Debug)]
pub(super) struct CachedPlacement {
    plan: Plan,
    input: Input,
}

/// The plans of all groups where a connection serves one customer only, and the connections and
/// the live proxies that they were computed from.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerPlans {
    plans: IndexMap<GroupId, Plan>,
    connections: IndexMap<GroupId, u32>,
    proxies_version: u64,
}

impl State {
    /// The address of a proxy's relay.
    pub fn relay(&self, proxy: &ProxyId) -> Option<SocketAddr> {
        Some(self.announced(proxy)?.relay)
    }

    /// How a group is reached, if that may have changed since the last call.
    pub fn take_placement(
        &mut self,
        group: &GroupId,
        routes: &Routes,
        me: &Proxy,
        distances: &Distances,
    ) -> Option<Placement> {
        let input = Input {
            connections: routes.groups.get(group)?.connections,
            by_customer: routes.customers.is_some(),
            proxies_version: self.proxies_version,
        };
        let is_known = |known: &CachedPlacement| known.input == input;
        let known = self.placements.get(group).is_some_and(is_known);
        let plan = if input.by_customer {
            // The other groups may have changed, on which it depends.
            self.customer_plan(group, routes, me, distances)?
        } else if known {
            return None;
        } else {
            pooler::plan(group, input.connections, me, &self.live())
        };
        if known && self.placements.get(group).is_some_and(|p| p.plan == plan) {
            return None;
        }
        let cached = CachedPlacement {
            plan: plan.clone(),
            input,
        };
        self.placements.insert(group.clone(), cached);
        let peers = fallback::candidates(group, me, &self.live());
        Some(Placement { plan, peers })
    }

    /// The plan of a group whose connections serve one customer each.
    fn customer_plan(
        &mut self,
        group: &GroupId,
        routes: &Routes,
        me: &Proxy,
        distances: &Distances,
    ) -> Option<Plan> {
        let limits = routes.groups.iter();
        let known = &self.customer_plans.connections;
        let unchanged = self.customer_plans.proxies_version == self.proxies_version
            && known.len() == limits.len()
            && limits
                .clone()
                .all(|(id, l)| known.get(id) == Some(&l.connections));
        if !unchanged {
            let connections = limits.map(|(id, l)| (id.clone(), l.connections)).collect();
            let candidate = |proxy: &Proxy| Candidate {
                id: proxy.id.clone(),
                area: match distances.region(&proxy.data_centre) {
                    Some(region) => region.to_string(),
                    None => proxy.data_centre.to_string(),
                },
                size: self.announced(&proxy.id).and_then(|a| a.vm),
            };
            let live: Vec<_> = self.live().iter().map(candidate).collect();
            self.customer_plans = CustomerPlans {
                plans: customer_pooler::plan(&connections, &candidate(me), &live),
                connections,
                proxies_version: self.proxies_version,
            };
        }
        self.customer_plans.plans.get(group).cloned()
    }

    /// The live proxies whose announcements can be read.
    fn live(&self) -> Vec<Proxy> {
        let proxy = |(id, proxy): (&ProxyId, &super::KnownProxy)| {
            let data_centre = proxy.announced.as_ref()?.data_centre.clone();
            Some(Proxy {
                id: id.clone(),
                data_centre,
            })
        };
        self.proxies.iter().filter_map(proxy).collect()
    }

    /// Whether this proxy holds connections to a group.
    pub fn is_holder(&self, group: &GroupId) -> bool {
        self.placements.get(group).is_none_or(|p| p.plan.is_holder)
    }

    /// Number of proxies that hold connections to a group.
    pub fn holders(&self, group: &GroupId) -> u32 {
        let cached = self.placements.get(group);
        cached.map_or_else(|| self.proxy_count(), |p| p.plan.holders)
    }
}
