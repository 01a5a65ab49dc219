//! Which remote proxy serves a group that this proxy cannot reach itself.
//!
//! Under load, a partition separates some proxies from a new primary, or all connections of
//! an instance are taken, many of them by VMs that have just lost power. Without a fallback,
//! the callers of those proxies would be rejected until the partition heals or the instance
//! drops dead connections after 3 s, although another proxy nearby could serve them. Finding one
//! costs each proxy a few queries. If every statement sent them, they would flood the
//! proxies, so one statement searches for all, a few proxies at a time.

use indexmap::IndexMap;
use model::id::{DataCentre, GroupId, ProxyId};
use model::unit::{Span, Time};

use crate::pooler::Proxy;
use crate::rank;

/// Proxies that one search queries.
const SEARCH_SIZE: usize = 3;

/// Time between two searches. A search takes about a round trip; the next one queries other
/// proxies.
const SEARCH_INTERVAL: Span = Span::from_millis(150);

/// How a statement is served that this proxy cannot serve itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FallbackChoice {
    /// By the proxy that served the last one.
    Known(ProxyId),
    /// By one of these proxies, queried one after the other on behalf of all statements.
    Search(Vec<ProxyId>),
    /// Not by another proxy for now: the statement waits here.
    None,
}

/// The search for a proxy that serves one group.
#[derive(Clone, Debug, Default)]
pub struct Fallback {
    known: Option<ProxyId>,
    last_search: Option<Time>,
    /// Position among the candidates at which the next search starts.
    next: usize,
}

impl Fallback {
    /// How the next statement is served; `candidates` are ordered by preference.
    pub fn choose(&mut self, candidates: &[ProxyId], now: Time) -> FallbackChoice {
        if let Some(known) = &self.known {
            return FallbackChoice::Known(known.clone());
        }
        let too_early = self
            .last_search
            .is_some_and(|at| now.since(at) < SEARCH_INTERVAL);
        if too_early || candidates.is_empty() {
            return FallbackChoice::None;
        }
        self.last_search = Some(now);
        let first = self.next % candidates.len();
        let batch = candidates
            .iter()
            .cycle()
            .skip(first)
            .take(SEARCH_SIZE.min(candidates.len()));
        let batch: Vec<_> = batch.cloned().collect();
        self.next = first + batch.len();
        FallbackChoice::Search(batch)
    }

    /// Records that a proxy served a statement; returns whether it differs from the
    /// known one.
    pub fn found(&mut self, proxy: &ProxyId) -> bool {
        let is_new = self.known.as_ref() != Some(proxy);
        self.known = Some(proxy.clone());
        is_new
    }

    /// Records that a proxy can no longer serve the group.
    pub fn lost(&mut self, proxy: &ProxyId) {
        if self.known.take_if(|known| known == proxy).is_some() {
            self.next = 0;
        }
    }
}

/// The other proxies in order of preference: the highest-ranked one of each data centre, then
/// the second ones, and so on; this data centre comes before the others.
pub fn candidates(group: &GroupId, me: &Proxy, live: &[Proxy]) -> Vec<ProxyId> {
    let mut centres: IndexMap<&DataCentre, Vec<&ProxyId>> = IndexMap::new();
    centres.insert(&me.data_centre, Vec::new());
    for proxy in live.iter().filter(|p| p.id != me.id) {
        let centre = centres.entry(&proxy.data_centre).or_default();
        centre.push(&proxy.id);
    }
    for ids in centres.values_mut() {
        rank::sort(group.as_str(), ids);
    }
    let longest = centres.values().map(Vec::len).max().unwrap_or_default();
    let ranks = (0..longest).flat_map(|rank| centres.values().filter_map(move |ids| ids.get(rank)));
    ranks.map(|id| (*id).clone()).collect()
}
