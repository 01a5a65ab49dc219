//! What an instance says about its replication, and what an observation of it proves.

use model::position::{Coverage, History, Point, Position, Term};
use model::unit::{Span, Time};

/// Part that an instance plays in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It accepts writes, unless it is fenced at a higher term than its own.
    Primary,
    /// It receives the log of a primary.
    Replica,
}

/// The status row of an instance.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// Part that the instance plays.
    pub role: Role,
    /// Highest term that it promised; it accepts nothing of a lower one.
    pub fenced: Term,
    /// Terms that wrote its log.
    pub history: History,
    /// End of the log that it holds.
    pub received: Position,
    /// End of the log that its readers see; never beyond `received`.
    pub applied: Position,
    /// Time since it heard its primary; zero on a primary.
    #[serde(rename = "heard")]
    pub contact_age: Span,
}

impl Status {
    /// Newest term in the log.
    pub fn term(&self) -> Term {
        self.history.term()
    }

    /// End of the log as a point; of two logs the one with the larger end holds
    /// every record that was ever acknowledged under [`Status::holds`].
    pub fn end(&self) -> Point {
        Point {
            term: self.term(),
            position: self.received,
        }
    }

    /// Whether the instance leads its own term and has promised no later one.
    pub fn leads(&self) -> bool {
        self.role == Role::Primary && self.fenced <= self.term()
    }

    /// Whether this counts towards the acknowledgement of `point`.
    ///
    /// A fence at a later term may already have counted the instance's log without the
    /// record; so a status that shows such a fence proves nothing about an older term.
    pub fn holds(&self, point: Point) -> bool {
        self.fenced <= point.term && self.history.covers(point, self.received) == Coverage::Held
    }

    /// Whether readers of the instance see `point`.
    pub fn shows(&self, point: Point) -> Coverage {
        self.history.covers(point, self.applied)
    }
}

/// A status together with the span of time in which it was true.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// What the instance answered.
    pub status: Status,
    /// When the question was sent: the status was true at some moment since then.
    pub queried_at: Time,
    /// When the answer arrived.
    pub received_at: Time,
}
