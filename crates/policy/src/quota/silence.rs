//! Which granters answer none of this proxy's requests.
//!
//! What one customer's request has shown holds for all customers: a granter that did not answer
//! is passed over until it answers a query that no operation waits for.
//!
//! - Load: many customers request permits while a third of the fleet is disconnected.
//! - Harm: each customer's operations would wait for the same granters, and be rejected below
//!   their limits.

use indexmap::IndexMap;
use model::id::ProxyId;
use model::unit::{Span, Time};

/// Time without an answer after which a granter is passed over: a round trip between regions,
/// with one or two late timers.
pub const SILENT_AFTER: Span = Span::from_millis(60);

/// First and longest interval between two queries to a silent granter; it doubles.
const QUERY_INTERVAL: (Span, Span) = (Span::from_millis(100), Span::from_millis(800));

/// The granters that do not answer.
#[derive(Clone, Debug, Default)]
pub struct Silence(IndexMap<ProxyId, Query>);

/// The next query to a silent granter.
#[derive(Clone, Copy, Debug)]
struct Query {
    at: Time,
    interval: Span,
}

impl Silence {
    /// Records that a granter did not answer; returns whether it did before.
    pub fn no_answer(&mut self, granter: &ProxyId, now: Time) -> bool {
        if self.0.contains_key(granter) {
            return false;
        }
        let query = Query {
            at: now + QUERY_INTERVAL.0,
            interval: QUERY_INTERVAL.0,
        };
        self.0.insert(granter.clone(), query);
        true
    }

    /// Records an answer; returns whether the granter was silent before.
    pub fn answered(&mut self, granter: &ProxyId) -> bool {
        self.0.swap_remove(granter).is_some()
    }

    /// Whether a granter is passed over.
    pub fn is_silent(&self, granter: &ProxyId) -> bool {
        self.0.contains_key(granter)
    }

    /// The number of silent granters.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether all granters answer.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The granters to be queried now.
    pub fn queries(&mut self, now: Time) -> Vec<ProxyId> {
        let due = self.0.iter_mut().filter(|(_, query)| query.at <= now);
        let query = |(id, query): (&ProxyId, &mut Query)| {
            query.interval = query.interval.times(2).min(QUERY_INTERVAL.1);
            query.at = now + query.interval;
            id.clone()
        };
        due.map(query).collect()
    }

    /// Forgets all proxies but the live ones.
    pub fn retain(&mut self, is_live: impl Fn(&ProxyId) -> bool) {
        self.0.retain(|id, _| is_live(id));
    }
}
