//! Which proxies hold connections to each group, and through which proxies it is reached,
//! computed from the live proxies.

use std::net::SocketAddr;

use model::id::{GroupId, ProxyId};
use policy::fallback;
use policy::pooler::{self, Capacity, Plan, Proxy};

use super::State;

/// How a group is reached.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Which proxies hold connections to it.
    pub plan: Plan,
    /// The other proxies, in the order in which they are tried when it is unreachable.
    pub peers: Vec<ProxyId>,
}

/// A plan and the input that it was computed from.
#[derive(Clone, Debug)]
pub(super) struct CachedPlacement {
    plan: Plan,
    capacity: Capacity,
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
        capacity: Capacity,
        me: &Proxy,
    ) -> Option<Placement> {
        let known = self.placements.get(group);
        if known
            .is_some_and(|p| p.capacity == capacity && p.proxies_version == self.proxies_version)
        {
            return None;
        }
        let live: Vec<_> = self
            .proxies
            .iter()
            .filter_map(|(id, proxy)| {
                let data_centre = proxy.announced.as_ref()?.data_centre.clone();
                Some(Proxy {
                    id: id.clone(),
                    data_centre,
                })
            })
            .collect();
        let plan = pooler::plan(group, capacity, me, &live);
        let cached = CachedPlacement {
            plan: plan.clone(),
            capacity,
            proxies_version: self.proxies_version,
        };
        self.placements.insert(group.clone(), cached);
        let peers = fallback::candidates(group, me, &live);
        Some(Placement { plan, peers })
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
