//! Which way a statement gets its connection: from this proxy's own pool, from a carrier of
//! its data centre, or from any other proxy that reaches the group.

use std::cell::RefCell;
use std::net::SocketAddr;

use indexmap::IndexMap;
use model::id::{GroupId, ProxyId};
use model::unit::Span;
use policy::fallback::{Fallback, FallbackChoice};
use policy::pool::{ConnRequest, Reason, Rejection};
use policy::pooler_retry::{Next, PoolerAttempts};

use crate::clock;
use crate::cx::Cx;
use crate::group::CheckedOut;
use crate::relay;

/// Hint while a group is not known yet: the store tells of it within a second.
const UNKNOWN_RETRY: Span = Span::from_millis(500);

/// A proxy through which a group is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Carrier {
    /// Which one.
    pub proxy: ProxyId,
    /// Where it lends connections; `None` for this proxy itself.
    pub address: Option<SocketAddr>,
}

/// The ways to each group past this proxy's own pool.
#[derive(Default)]
pub struct Roads(RefCell<IndexMap<GroupId, Road>>);

/// The ways to one group.
#[derive(Default)]
struct Road {
    /// Carriers of this data centre; none where this proxy holds connections itself.
    through: Vec<Carrier>,
    /// Where all other proxies lend connections, the best one first.
    peers: IndexMap<ProxyId, SocketAddr>,
    detour: Fallback,
}

impl Roads {
    fn with<T>(&self, group: &GroupId, act: impl FnOnce(&mut Road) -> T) -> T {
        let mut roads = self.0.borrow_mut();
        act(roads.entry(group.clone()).or_default())
    }

    /// Takes over through which proxies a group is reached; none if by this one itself.
    pub fn set_through(&self, group: &GroupId, through: Vec<Carrier>) {
        self.with(group, |road| road.through = through);
    }

    /// Takes over the other proxies, the best one first.
    pub fn set_peers(&self, group: &GroupId, peers: IndexMap<ProxyId, SocketAddr>) {
        self.with(group, |road| road.peers = peers);
    }

    fn through(&self, group: &GroupId) -> Vec<Carrier> {
        self.with(group, |road| road.through.clone())
    }

    fn way(&self, group: &GroupId) -> FallbackChoice {
        self.with(group, |road| {
            let peers: Vec<_> = road.peers.keys().cloned().collect();
            road.detour.choose(&peers, clock::now())
        })
    }

    fn address(&self, group: &GroupId, peer: &ProxyId) -> Option<SocketAddr> {
        self.with(group, |road| road.peers.get(peer).copied())
    }

    fn found(&self, group: &GroupId, peer: &ProxyId) -> bool {
        self.with(group, |road| road.detour.found(peer))
    }

    fn lost(&self, group: &GroupId, peer: &ProxyId) {
        self.with(group, |road| road.detour.lost(peer));
    }
}

impl Cx {
    /// Waits for a connection to a group, of this proxy or of another one.
    pub async fn lend(
        &self,
        group: &GroupId,
        mut ask: ConnRequest,
    ) -> Result<CheckedOut, Rejection> {
        while clock::now() < ask.deadline {
            match self.borrow(group, &ask).await {
                Ok(end) => return end,
                Err(Next::OwnPool | Next::NextPooler) => return self.lend_here(group, ask).await,
                Err(Next::RetryAfter(pause)) => compio::time::sleep(pause.as_duration()).await,
                Err(Next::Fallback) => match self.lend_elsewhere(group, &ask).await {
                    Some(end) => return end,
                    // Nobody reaches it, so a carrier waits for it on the statement's behalf.
                    None => ask.may_wait = true,
                },
            }
        }
        Err(unknown())
    }

    /// Asks the carriers of this data centre; tells what to do if none of them serves the
    /// request.
    async fn borrow(
        &self,
        group: &GroupId,
        ask: &ConnRequest,
    ) -> Result<Result<CheckedOut, Rejection>, Next> {
        let mut carriers = self.conn_sources.through(group).into_iter().peekable();
        let mut round = PoolerAttempts::default();
        while let Some(carrier) = carriers.next() {
            let Some(address) = carrier.address else {
                // This proxy itself.
                return Err(Next::OwnPool);
            };
            match self.relay.ask(&carrier.proxy, address, group, ask).await {
                Ok(lent) => return Ok(Ok(lent)),
                Err(relay::Miss::Refused(refused)) => return Ok(Err(refused)),
                Err(relay::Miss::Elsewhere(miss)) => {
                    match round.failed(miss, carriers.peek().is_some()) {
                        Next::NextPooler => {}
                        next => return Err(next),
                    }
                }
            }
        }
        Err(Next::OwnPool)
    }

    /// Waits for a connection of this proxy, or goes through another one if no instance that
    /// could serve the request is in reach from here.
    async fn lend_here(
        &self,
        group: &GroupId,
        mut ask: ConnRequest,
    ) -> Result<CheckedOut, Rejection> {
        let Some(handle) = self.group(group) else {
            return Err(unknown());
        };
        loop {
            match handle.request(ask.clone()).await {
                Err(refused) if refused.reason == Reason::Unreachable && !ask.may_wait => {}
                end => return end,
            }
            match self.lend_elsewhere(group, &ask).await {
                Some(end) => return end,
                None => ask.may_wait = true,
            }
        }
    }

    /// Asks other proxies; `None` if none of them serves the request, or another statement
    /// is asking just now.
    async fn lend_elsewhere(
        &self,
        group: &GroupId,
        ask: &ConnRequest,
    ) -> Option<Result<CheckedOut, Rejection>> {
        let peers = match self.conn_sources.way(group) {
            FallbackChoice::Known(peer) => vec![peer],
            FallbackChoice::Search(peers) => peers,
            FallbackChoice::None => return None,
        };
        for peer in peers {
            let Some(address) = self.conn_sources.address(group, &peer) else {
                self.conn_sources.lost(group, &peer);
                continue;
            };
            match self.relay.ask(&peer, address, group, ask).await {
                Ok(lent) => {
                    if self.conn_sources.found(group, &peer) {
                        tracing::info!(%group, %peer, instance = %lent.instance, "a group out of reach is served through another proxy");
                        if let Some(handle) = self.group(group) {
                            handle.reject_unreachable();
                        }
                    }
                    return Some(Ok(lent));
                }
                Err(relay::Miss::Refused(refused)) => return Some(Err(refused)),
                Err(relay::Miss::Elsewhere(_)) => self.conn_sources.lost(group, &peer),
            }
        }
        None
    }
}

fn unknown() -> Rejection {
    Rejection {
        reason: Reason::NoInstance,
        retry_after: UNKNOWN_RETRY,
    }
}
