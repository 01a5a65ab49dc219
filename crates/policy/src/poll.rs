//! Schedule of status queries to each instance.

use model::position::Position;
use model::unit::{Span, Time};

use crate::failure_detector::PROBE_AFTER;
use crate::message::QueryId;

/// Interval while requests run. Reads are routed to replicas by freshness, and with an older
/// status of a replica its reads go to the primary. One status row takes some 250 bytes, so
/// that three instances cost 37 KB/s here and 4 KB/s when idle.
pub const BUSY_INTERVAL: Span = Span::from_millis(20);

/// Interval without requests.
pub const IDLE_INTERVAL: Span = Span::from_millis(100);

/// Interval while requests wait for a newer status of the instances.
pub const WAITING_INTERVAL: Span = Span::from_millis(5);

/// Minimum time between two queries to one instance. Reads without a known point cause a
/// query at once; thousands of them a second share one query every two milliseconds.
const MIN_SPACING: Span = Span::from_millis(2);

/// Interval while the primary is suspected.
pub const SUSPECT_INTERVAL: Span = Span::from_millis(50);

/// Maximum number of unanswered status queries to one instance: an unresponsive instance
/// must not accumulate connections.
const MAX_OUTSTANDING: usize = 4;

/// Time after which a query has failed and its connection is closed.
pub const QUERY_TIMEOUT: Span = Span::from_millis(1_000);

/// Queries to one instance.
#[derive(Clone, Debug, Default)]
pub struct Poll {
    outstanding: Vec<Outstanding>,
    /// When the last status query was sent; `None` makes the next one due.
    last: Option<Time>,
}

/// Kind of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Returns the status at once.
    Status,
    /// Returns the status once the instance holds the position.
    Wait(Position),
    /// Commands the instance, which then returns its status.
    Command,
}

/// A query that waits for its response.
#[derive(Clone, Copy, Debug)]
pub struct Outstanding {
    /// Its id.
    pub query: QueryId,
    /// When it was sent.
    pub asked: Time,
    /// Its kind.
    pub kind: Kind,
}

/// What to send to an instance now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// Nothing.
    Nothing,
    /// A status query on the long-lived connection.
    Persistent,
    /// A status query on a new connection.
    Fresh,
}

impl Poll {
    /// What is due at `now`, at the given interval.
    ///
    /// While a query on the long-lived connection is unanswered, the next ones use new
    /// connections, so that one unresponsive connection does no harm.
    pub fn due(&self, now: Time, interval: Span) -> Due {
        let elapsed = self.last.is_none_or(|at| now.since(at) >= interval);
        let status: Vec<_> = self
            .outstanding
            .iter()
            .filter(|o| o.kind == Kind::Status)
            .collect();
        if !elapsed || status.len() >= MAX_OUTSTANDING {
            return Due::Nothing;
        }
        match status.iter().map(|o| o.asked).min() {
            None => Due::Persistent,
            Some(at) if now.since(at) >= PROBE_AFTER => Due::Fresh,
            Some(_) => Due::Nothing,
        }
    }

    /// Records a query that was sent.
    pub fn sent(&mut self, query: Outstanding) {
        if query.kind == Kind::Status {
            self.last = Some(query.asked);
        }
        self.outstanding.push(query);
    }

    /// Removes and returns the query that a response belongs to.
    pub fn answered(&mut self, query: QueryId) -> Option<Outstanding> {
        let at = self.outstanding.iter().position(|o| o.query == query)?;
        Some(self.outstanding.swap_remove(at))
    }

    /// Highest position that an outstanding query waits for.
    pub fn awaited_position(&self) -> Position {
        let wait = |o: &Outstanding| match o.kind {
            Kind::Wait(position) => Some(position),
            Kind::Status | Kind::Command => None,
        };
        self.outstanding
            .iter()
            .filter_map(wait)
            .max()
            .unwrap_or_default()
    }

    /// Whether to send another status query for a request that arrived at `since`, which
    /// needs the response to a query sent after that.
    pub fn needs_query(&self, now: Time, since: Time) -> bool {
        let status = self
            .outstanding
            .iter()
            .filter(|o| o.kind == Kind::Status)
            .count();
        let asked = self.last.is_some_and(|at| at >= since);
        let spaced = self.last.is_none_or(|at| now.since(at) >= MIN_SPACING);
        !asked && spaced && status < MAX_OUTSTANDING
    }

    /// Makes the next query due at once.
    pub fn make_due(&mut self) {
        self.last = None;
    }

    /// Removes queries that timed out; a late response to them is ignored.
    pub fn expire(&mut self, now: Time) {
        self.outstanding
            .retain(|o| now.since(o.asked) < QUERY_TIMEOUT);
    }
}
