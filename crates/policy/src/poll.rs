//! When to ask each instance for its status.

use model::position::Position;
use model::unit::{Span, Time};

use crate::failure_detector::DOUBT_AFTER;
use crate::message::Query;

/// Interval while requests run. Load: reads that are routed to replicas by freshness; an
/// older view of a replica sends its reads to the primary. One status row takes some
/// 250 bytes, so that three instances cost 37 KB/s here and 4 KB/s when idle.
pub const BUSY_INTERVAL: Span = Span::from_millis(20);

/// Interval without requests.
pub const IDLE_INTERVAL: Span = Span::from_millis(100);

/// Interval while requests wait for news of the instances.
pub const WAITING_INTERVAL: Span = Span::from_millis(5);

/// Least time between two questions to one instance. Reads without a known point ask at
/// once; thousands of them a second share one question every two milliseconds.
const SPACING: Span = Span::from_millis(2);

/// Interval while the primary is in doubt.
pub const SUSPECT_INTERVAL: Span = Span::from_millis(50);

/// Questions without an answer on one instance before no more are sent: a silent instance
/// must not collect connections.
const MAX_OPEN: usize = 4;

/// Time after which a question counts as unanswered and its connection is given up.
pub const QUERY_TIMEOUT: Span = Span::from_millis(1_000);

/// Questions to one instance.
#[derive(Clone, Debug, Default)]
pub struct Poll {
    open: Vec<Outstanding>,
    last: Option<Time>,
}

/// What a question asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The status at once.
    Status,
    /// The status once the instance holds the position.
    Wait(Position),
    /// An order, answered by the status.
    Command,
}

/// A question without an answer so far.
#[derive(Clone, Copy, Debug)]
pub struct Outstanding {
    /// Its name.
    pub query: Query,
    /// When it was sent.
    pub asked: Time,
    /// What it asks for.
    pub kind: Kind,
}

/// What to send to an instance now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// Nothing.
    Nothing,
    /// A status question on the open connection.
    Steady,
    /// A status question on a fresh connection.
    Fresh,
}

impl Poll {
    /// What is due at `now`, at the given interval.
    ///
    /// When a question on the open connection stays without an answer, the next ones go
    /// out on fresh connections, and one silent connection does no harm.
    pub fn due(&self, now: Time, every: Span) -> Due {
        let waited = self.last.is_none_or(|at| now.since(at) >= every);
        let plain: Vec<_> = self
            .open
            .iter()
            .filter(|o| o.kind == Kind::Status)
            .collect();
        if !waited || plain.len() >= MAX_OPEN {
            return Due::Nothing;
        }
        match plain.iter().map(|o| o.asked).min() {
            None => Due::Steady,
            Some(at) if now.since(at) >= DOUBT_AFTER => Due::Fresh,
            Some(_) => Due::Nothing,
        }
    }

    /// Notes a question that was sent.
    pub fn sent(&mut self, open: Outstanding) {
        if open.kind == Kind::Status {
            self.last = Some(open.asked);
        }
        self.open.push(open);
    }

    /// Takes out the question that an answer belongs to.
    pub fn answered(&mut self, query: Query) -> Option<Outstanding> {
        let at = self.open.iter().position(|o| o.query == query)?;
        Some(self.open.swap_remove(at))
    }

    /// Highest position that is being waited for.
    pub fn awaited_position(&self) -> Position {
        let wait = |o: &Outstanding| match o.kind {
            Kind::Wait(position) => Some(position),
            Kind::Status | Kind::Command => None,
        };
        self.open.iter().filter_map(wait).max().unwrap_or_default()
    }

    /// Whether a question is worth sending besides those without an answer, for a request
    /// that arrived at `since` and needs an answer to a later question.
    pub fn needs_query(&self, now: Time, since: Time) -> bool {
        let plain = self.open.iter().filter(|o| o.kind == Kind::Status).count();
        let asked = self.last.is_some_and(|at| at >= since);
        let spaced = self.last.is_none_or(|at| now.since(at) >= SPACING);
        !asked && spaced && plain < MAX_OPEN
    }

    /// Makes the next question due at once.
    pub fn make_due(&mut self) {
        self.last = None;
    }

    /// Forgets questions that waited for too long; a late answer to them is ignored.
    pub fn expire(&mut self, now: Time) {
        self.open.retain(|o| now.since(o.asked) < QUERY_TIMEOUT);
    }
}
