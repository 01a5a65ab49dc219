//! Who holds connections to each group, and through whom it is reached, by the live proxies.

use std::net::SocketAddr;

use model::id::{GroupId, ProxyId};
use policy::fallback;
use policy::pooler::{self, Plan, Proxy};

use super::State;

/// How a group is reached.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Who holds connections to it.
    pub plan: Plan,
    /// The other proxies, in the order in which they are asked when it is out of reach.
    pub peers: Vec<ProxyId>,
}

/// A plan, and what it was made for.
#[derive(Clone, Debug)]
pub(super) struct Placed {
    plan: Plan,
    connections: u32,
    live: u64,
}

impl State {
    /// Where a proxy lends connections.
    pub fn relay(&self, proxy: &ProxyId) -> Option<SocketAddr> {
        Some(self.proxies.get(proxy)?.as_ref()?.relay)
    }

    /// How a group is reached, if that may have changed since the last call.
    pub fn take_placement(
        &mut self,
        group: &GroupId,
        connections: u32,
        me: &Proxy,
    ) -> Option<Placement> {
        let known = self.placed.get(group);
        if known.is_some_and(|p| p.connections == connections && p.live == self.live) {
            return None;
        }
        let live: Vec<_> = self
            .proxies
            .iter()
            .filter_map(|(id, announced)| {
                let data_centre = announced.as_ref()?.data_centre.clone();
                Some(Proxy {
                    id: id.clone(),
                    data_centre,
                })
            })
            .collect();
        let plan = pooler::plan(group, connections, me, &live);
        let placed = Placed {
            plan: plan.clone(),
            connections,
            live: self.live,
        };
        self.placed.insert(group.clone(), placed);
        let peers = fallback::candidates(group, me, &live);
        Some(Placement { plan, peers })
    }

    /// Whether this proxy holds connections to a group.
    pub fn is_holder(&self, group: &GroupId) -> bool {
        self.placed.get(group).is_none_or(|p| p.plan.is_holder)
    }

    /// Proxies that hold connections to a group.
    pub fn holders(&self, group: &GroupId) -> u32 {
        let placed = self.placed.get(group);
        placed.map_or_else(|| self.proxies(), |p| p.plan.holders)
    }
}
