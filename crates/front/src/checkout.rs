//! Checkout of a connection for a statement: from this proxy's own pool, from a pooler of its
//! data centre or region, or from any other proxy that reaches the group (the fallback).

use std::cell::RefCell;
use std::net::SocketAddr;

use indexmap::IndexMap;
use model::customer::{Customers, RateLimit};
use model::id::{CustomerId, GroupId, ProxyId};
use model::unit::Span;
use policy::customer_pooler::Partitions;
use policy::fallback::{Fallback, FallbackChoice};
use policy::pool::{ConnRequest, Reason, Rejection};
use policy::pooler_health::PoolerHealth;
use policy::pooler_retry::{GrantFailure, Next, PoolerAttempts};

use crate::clock;
use crate::cx::Cx;
use crate::group::CheckedOut;
use crate::metrics::PoolerChoice;
use crate::relay;

/// Retry hint while a group is not known yet; the store reports it within a second.
const UNKNOWN_RETRY: Span = Span::from_millis(500);

/// A proxy that pools a group's connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pooler {
    /// Its id.
    pub proxy: ProxyId,
    /// Address of its relay listener; `None` for this proxy itself.
    pub address: Option<SocketAddr>,
}

/// The proxies that pool a group's connections for this one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Poolers {
    /// In the order in which they are tried; empty if this proxy holds connections itself.
    pub proxies: Vec<Pooler>,
    /// Number of the first ones among which the group's customers are divided; 0 if all serve
    /// all customers.
    pub partitions: usize,
}

/// Sources of connections to each group besides this proxy's own pool.
#[derive(Default)]
pub struct ConnSources {
    groups: RefCell<IndexMap<GroupId, ConnSource>>,
    /// Customers with their limits, in operations a second.
    customers: RefCell<IndexMap<CustomerId, Option<f64>>>,
    /// What statements learned about poolers among which customers are divided.
    health: RefCell<PoolerHealth>,
}

/// Sources of connections to one group.
#[derive(Default)]
struct ConnSource {
    poolers: Poolers,
    /// How the group's customers are divided, once a statement needs it.
    partitions: Option<Partitions>,
    /// Relay addresses of all other proxies, the best one first.
    peers: IndexMap<ProxyId, SocketAddr>,
    fallback: Fallback,
}

impl ConnSources {
    fn with<T>(&self, group: &GroupId, act: impl FnOnce(&mut ConnSource) -> T) -> T {
        let mut sources = self.groups.borrow_mut();
        act(sources.entry(group.clone()).or_default())
    }

    /// Sets the poolers of a group.
    pub fn set_poolers(&self, group: &GroupId, poolers: Poolers) {
        self.with(group, |source| {
            if source.poolers.partitions != poolers.partitions {
                source.partitions = None;
            }
            source.poolers = poolers;
        });
    }

    /// Sets the customers among whom connections are divided; `None` if a connection serves
    /// any caller.
    pub fn set_customers(&self, customers: Option<&Customers>) {
        let limit = |(id, limit): (&CustomerId, Option<RateLimit>)| {
            (id.clone(), limit.map(RateLimit::per_s))
        };
        let customers: IndexMap<_, _> = customers
            .into_iter()
            .flat_map(Customers::iter)
            .map(limit)
            .collect();
        if *self.customers.borrow() == customers {
            return;
        }
        *self.customers.borrow_mut() = customers;
        for source in self.groups.borrow_mut().values_mut() {
            source.partitions = None;
        }
    }

    /// Sets the other proxies, the best one first.
    pub fn set_peers(&self, group: &GroupId, peers: IndexMap<ProxyId, SocketAddr>) {
        let mut health = self.health.borrow_mut();
        health.retain(|pooler| peers.contains_key(pooler));
        self.with(group, |source| source.peers = peers);
    }

    /// The poolers that a statement of a customer tries, in order, and whether the group's
    /// customers are divided among them.
    fn poolers(&self, group: &GroupId, customer: Option<&CustomerId>) -> (Vec<Pooler>, bool) {
        self.with(group, |source| {
            let proxies = &source.poolers.proxies;
            let count = source.poolers.partitions;
            if count == 0 {
                return (proxies.clone(), false);
            }
            let partitions = source.partitions.get_or_insert_with(|| {
                let customers = self.customers.borrow();
                let customers = customers.iter().map(|(id, limit)| (id.clone(), *limit));
                Partitions::new(group, count, customers)
            });
            let own = partitions.poolers(customer).into_iter();
            let own = own.filter_map(|at| proxies.get(at));
            let spares = proxies.iter().skip(count);
            (own.chain(spares).cloned().collect(), true)
        })
    }

    /// Whether a statement may try a pooler now.
    fn admits(&self, pooler: &ProxyId) -> bool {
        self.health.borrow_mut().admits(pooler, clock::now())
    }

    /// Records whether a pooler responded to a statement.
    fn learned(&self, group: &GroupId, pooler: &ProxyId, failure: Option<&relay::CheckoutFailure>) {
        let mut health = self.health.borrow_mut();
        let gone = [GrantFailure::Unresponsive, GrantFailure::Stopping];
        let gone = gone.map(relay::CheckoutFailure::NotGranted);
        if !failure.is_some_and(|failure| gone.contains(failure)) {
            health.responded(pooler);
        } else if let Some(pause) = health.failed(pooler, clock::now()) {
            tracing::info!(carrier = %pooler, %group, pause_ms = pause.as_millis(), "a pooler is passed over");
        }
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
    /// Waits for a connection to a group, from this proxy or from another one.
    pub async fn checkout(
        &self,
        group: &GroupId,
        mut req: ConnRequest,
    ) -> Result<CheckedOut, Rejection> {
        while clock::now() < req.deadline {
            match self.pooler_conn(group, &req).await {
                Ok(result) => return result,
                Err(Next::OwnPool | Next::NextPooler) => return self.own_conn(group, req).await,
                Err(Next::RetryAfter(pause)) => compio::time::sleep(pause.as_duration()).await,
                Err(Next::Fallback) => match self.remote_conn(group, &req).await {
                    Some(result) => return result,
                    // No proxy reaches the group, so the request waits at the pooler.
                    None => req.may_wait = true,
                },
            }
        }
        Err(unknown())
    }

    /// Requests a connection from the group's poolers, one after the other; returns the next
    /// step if none of them serves the request.
    async fn pooler_conn(
        &self,
        group: &GroupId,
        req: &ConnRequest,
    ) -> Result<Result<CheckedOut, Rejection>, Next> {
        let sources = &self.conn_sources;
        let (poolers, divided) = sources.poolers(group, req.customer.as_ref());
        let mut poolers = poolers.into_iter().enumerate().peekable();
        let mut attempts = PoolerAttempts::default();
        while let Some((at, pooler)) = poolers.next() {
            let choice = PoolerChoice::new(at, pooler.address.is_none());
            let Some(address) = pooler.address else {
                // This proxy itself.
                self.count_choice(divided, choice);
                return Err(Next::OwnPool);
            };
            let checkout = if divided && !sources.admits(&pooler.proxy) {
                Err(relay::CheckoutFailure::NotGranted(
                    GrantFailure::Unresponsive,
                ))
            } else {
                let checkout = self
                    .relay
                    .checkout(&pooler.proxy, address, group, req)
                    .await;
                if divided {
                    sources.learned(group, &pooler.proxy, checkout.as_ref().err());
                }
                checkout
            };
            let result = match checkout {
                Ok(checkout) => Ok(checkout),
                Err(relay::CheckoutFailure::Rejected(rejection)) => Err(rejection),
                Err(relay::CheckoutFailure::NotGranted(failure)) => {
                    match attempts.failed(failure, poolers.peek().is_some()) {
                        Next::NextPooler => continue,
                        next => return Err(next),
                    }
                }
            };
            self.count_choice(divided, choice);
            return Ok(result);
        }
        Err(Next::OwnPool)
    }

    fn count_choice(&self, divided: bool, choice: PoolerChoice) {
        if divided {
            self.metrics.pooler_chosen(choice);
        }
    }

    /// Waits for a connection of this proxy, or uses another proxy if no instance that could
    /// serve the request is reachable from here.
    async fn own_conn(
        &self,
        group: &GroupId,
        mut req: ConnRequest,
    ) -> Result<CheckedOut, Rejection> {
        let Some(handle) = self.group(group) else {
            return Err(unknown());
        };
        loop {
            match handle.request(req.clone()).await {
                Err(rejection) if rejection.reason == Reason::Unreachable && !req.may_wait => {}
                result => return result,
            }
            match self.remote_conn(group, &req).await {
                Some(result) => return result,
                None => req.may_wait = true,
            }
        }
    }

    /// Requests a connection from other proxies; `None` if none of them serves the request, or
    /// another statement is searching for such a proxy at the moment.
    async fn remote_conn(
        &self,
        group: &GroupId,
        req: &ConnRequest,
    ) -> Option<Result<CheckedOut, Rejection>> {
        let peers = match self.conn_sources.fallback_choice(group) {
            FallbackChoice::Known(peer) => vec![peer],
            FallbackChoice::Search(peers) => peers,
            FallbackChoice::None => return None,
        };
        for peer in peers {
            let Some(address) = self.conn_sources.address(group, &peer) else {
                self.conn_sources.lost(group, &peer);
                continue;
            };
            match self.relay.checkout(&peer, address, group, req).await {
                Ok(checkout) => {
                    if self.conn_sources.found(group, &peer) {
                        tracing::info!(%group, %peer, instance = %checkout.instance, "an unreachable group is served through another proxy");
                        if let Some(handle) = self.group(group) {
                            handle.reject_unreachable();
                        }
                    }
                    return Some(Ok(checkout));
                }
                Err(relay::CheckoutFailure::Rejected(rejection)) => return Some(Err(rejection)),
                Err(relay::CheckoutFailure::NotGranted(_)) => self.conn_sources.lost(group, &peer),
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
