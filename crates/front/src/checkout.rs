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
use crate::group::Lent;
use crate::relay;

/// Hint while a group is not known yet: the store tells of it within a second.
const UNKNOWN_RETRY: Span = Span::from_millis(500);

/// A proxy through which a group is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pooler {
    /// Which one.
    pub proxy: ProxyId,
    /// Where it lends connections; `None` for this proxy itself.
    pub address: Option<SocketAddr>,
}

/// The ways to each group past this proxy's own pool.
#[derive(Default)]
pub struct ConnSources(RefCell<IndexMap<GroupId, ConnSource>>);

/// The ways to one group.
#[derive(Default)]
struct ConnSource {
    /// Carriers of this data centre; none where this proxy holds connections itself.
    poolers: Vec<Pooler>,
    /// Where all other proxies lend connections, the best one first.
    peers: IndexMap<ProxyId, SocketAddr>,
    fallback: Fallback,
}

impl ConnSources {
    fn with<T>(&self, group: &GroupId, act: impl FnOnce(&mut ConnSource) -> T) -> T {
        let mut sources = self.0.borrow_mut();
        act(sources.entry(group.clone()).or_default())
    }

    /// Takes over through which proxies a group is reached; none if by this one itself.
    pub fn set_poolers(&self, group: &GroupId, poolers: Vec<Pooler>) {
        self.with(group, |source| source.poolers = poolers);
    }

    /// Takes over the other proxies, the best one first.
    pub fn set_peers(&self, group: &GroupId, peers: IndexMap<ProxyId, SocketAddr>) {
        self.with(group, |source| source.peers = peers);
    }

    fn poolers(&self, group: &GroupId) -> Vec<Pooler> {
        self.with(group, |source| source.poolers.clone())
    }

    fn fallback_choice(&self, group: &GroupId) -> FallbackChoice {
        self.with(group, |source| {
            let peers: Vec<_> = source.peers.keys().cloned().collect();
            source.fallback.choose(&peers, clock::now())
        })
    }

    fn address(&self, group: &GroupId, peer: &ProxyId) -> Option<SocketAddr> {
        self.with(group, |source| source.peers.get(peer).copied())
    }

    fn found(&self, group: &GroupId, peer: &ProxyId) -> bool {
        self.with(group, |source| source.fallback.found(peer))
    }

    fn lost(&self, group: &GroupId, peer: &ProxyId) {
        self.with(group, |source| source.fallback.lost(peer));
    }
}

impl Cx {
    /// Waits for a connection to a group, of this proxy or of another one.
    pub async fn checkout(&self, group: &GroupId, mut ask: ConnRequest) -> Result<Lent, Rejection> {
        while clock::now() < ask.deadline {
            match self.checkout_pooler(group, &ask).await {
                Ok(end) => return end,
                Err(Next::OwnPool | Next::NextPooler) => {
                    return self.checkout_local(group, ask).await;
                }
                Err(Next::RetryAfter(pause)) => compio::time::sleep(pause.as_duration()).await,
                Err(Next::Fallback) => match self.checkout_remote(group, &ask).await {
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
    async fn checkout_pooler(
        &self,
        group: &GroupId,
        ask: &ConnRequest,
    ) -> Result<Result<Lent, Rejection>, Next> {
        let mut carriers = self.sources.poolers(group).into_iter().peekable();
        let mut round = PoolerAttempts::default();
        while let Some(carrier) = carriers.next() {
            let Some(address) = carrier.address else {
                // This proxy itself.
                return Err(Next::OwnPool);
            };
            match self.relay.ask(&carrier.proxy, address, group, ask).await {
                Ok(lent) => return Ok(Ok(lent)),
                Err(relay::CheckoutFailure::Refused(refused)) => return Ok(Err(refused)),
                Err(relay::CheckoutFailure::Elsewhere(miss)) => {
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
    async fn checkout_local(
        &self,
        group: &GroupId,
        mut ask: ConnRequest,
    ) -> Result<Lent, Rejection> {
        let Some(handle) = self.group(group) else {
            return Err(unknown());
        };
        loop {
            match handle.ask(ask.clone()).await {
                Err(refused) if refused.reason == Reason::Unreachable && !ask.may_wait => {}
                end => return end,
            }
            match self.checkout_remote(group, &ask).await {
                Some(end) => return end,
                None => ask.may_wait = true,
            }
        }
    }

    /// Asks other proxies; `None` if none of them serves the request, or another statement
    /// is asking just now.
    async fn checkout_remote(
        &self,
        group: &GroupId,
        ask: &ConnRequest,
    ) -> Option<Result<Lent, Rejection>> {
        let peers = match self.sources.fallback_choice(group) {
            FallbackChoice::Known(peer) => vec![peer],
            FallbackChoice::Search(peers) => peers,
            FallbackChoice::None => return None,
        };
        for peer in peers {
            let Some(address) = self.sources.address(group, &peer) else {
                self.sources.lost(group, &peer);
                continue;
            };
            match self.relay.ask(&peer, address, group, ask).await {
                Ok(lent) => {
                    if self.sources.found(group, &peer) {
                        tracing::info!(%group, %peer, instance = %lent.instance, "a group out of reach is served through another proxy");
                        if let Some(handle) = self.group(group) {
                            handle.release();
                        }
                    }
                    return Some(Ok(lent));
                }
                Err(relay::CheckoutFailure::Refused(refused)) => return Some(Err(refused)),
                Err(relay::CheckoutFailure::Elsewhere(_)) => self.sources.lost(group, &peer),
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
