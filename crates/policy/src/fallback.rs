//! Through which other proxy a group is reached that this proxy cannot reach itself.
//!
//! Load: a cut leaves some proxies on the wrong side of a new primary, or all connections
//! of an instance are taken, many of them by VMs that lost power a moment ago. Harm without
//! it: the callers of those proxies are refused until the cut heals or the instance drops
//! dead connections after 3 s, while a proxy beside them could serve them. Finding one
//! costs each proxy a few questions; asked by every statement they would be a storm, so one
//! statement asks for all, a few proxies at a time.

use indexmap::IndexMap;
use model::id::{DataCentre, GroupId, ProxyId};
use model::unit::{Span, Time};

use crate::pooler::Proxy;
use crate::rank;

/// Proxies that are asked in one round.
const ROUND: usize = 3;

/// Pause between two rounds. The first is over within a round trip; the next asks others.
const PAUSE: Span = Span::from_millis(150);

/// What a statement does that this proxy cannot serve itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FallbackChoice {
    /// Asks the proxy that served one before.
    Known(ProxyId),
    /// Asks these, one after the other, on behalf of all.
    Search(Vec<ProxyId>),
    /// Waits here.
    None,
}

/// The search for a way to one group.
#[derive(Clone, Debug, Default)]
pub struct Fallback {
    known: Option<ProxyId>,
    searched: Option<Time>,
    /// Proxies asked so far, to go on behind them.
    asked: usize,
}

impl Fallback {
    /// What the next statement does; `peers` are the other proxies, the best one first.
    pub fn choose(&mut self, peers: &[ProxyId], now: Time) -> FallbackChoice {
        if let Some(known) = &self.known {
            return FallbackChoice::Known(known.clone());
        }
        let early = self.searched.is_some_and(|at| now.since(at) < PAUSE);
        if early || peers.is_empty() {
            return FallbackChoice::None;
        }
        self.searched = Some(now);
        let first = self.asked % peers.len();
        let round = peers
            .iter()
            .cycle()
            .skip(first)
            .take(ROUND.min(peers.len()));
        let round: Vec<_> = round.cloned().collect();
        self.asked = first + round.len();
        FallbackChoice::Search(round)
    }

    /// A proxy served a statement; says whether this is news.
    pub fn found(&mut self, by: &ProxyId) -> bool {
        let news = self.known.as_ref() != Some(by);
        self.known = Some(by.clone());
        news
    }

    /// The proxy can serve no longer.
    pub fn lost(&mut self, by: &ProxyId) {
        if self.known.take_if(|known| known == by).is_some() {
            self.asked = 0;
        }
    }
}

/// The other proxies in the order in which they are asked: from each data centre first the
/// one that would carry the group, this data centre before the others.
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
    let most = centres.values().map(Vec::len).max().unwrap_or_default();
    let ranks = (0..most).flat_map(|rank| centres.values().filter_map(move |ids| ids.get(rank)));
    ranks.map(|id| (*id).clone()).collect()
}
