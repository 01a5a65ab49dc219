//! Replication status of an instance, and what an observation of it proves.

use model::position::{Coverage, History, Point, Position, Term};
use model::unit::{Span, Time};

/// Role of an instance in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It accepts writes, unless it is fenced at a higher term than its own.
    Primary,
    /// It replicates the log of a primary.
    Replica,
}

/// The status row of an instance.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// Role of the instance.
    pub role: Role,
    /// Highest term that it has promised; it accepts nothing of a lower one.
    pub fenced: Term,
    /// Terms whose records its log holds.
    pub history: History,
    /// End of its log.
    pub received: Position,
    /// End of the log as visible to its readers; never beyond `received`.
    pub applied: Position,
    /// Time since its last contact with its primary; zero on a primary.
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

    /// Whether the instance is the primary of its own term and has promised no later one.
    pub fn leads(&self) -> bool {
        self.role == Role::Primary && self.fenced <= self.term()
    }

    /// Whether this status counts towards the acknowledgement of `point`.
    ///
    /// A promotion under a later term may already have fenced the instance and evaluated its
    /// log without the record; a status with such a fence proves nothing about an older term.
    pub fn holds(&self, point: Point) -> bool {
        self.fenced <= point.term && self.history.covers(point, self.received) == Coverage::Held
    }

    /// Whether `point` is visible to readers of the instance.
    pub fn shows(&self, point: Point) -> Coverage {
        self.history.covers(point, self.applied)
    }
}

/// A status together with the period during which it was valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The status that the instance reported.
    pub status: Status,
    /// When the query was sent: the status was valid at some moment since then.
    pub queried_at: Time,
    /// When the response arrived.
    pub received_at: Time,
}
