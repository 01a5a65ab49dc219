//! What goes into a pool and what comes out of it.

use model::id::InstanceId;
use model::position::Point;
use model::route::Guarantee;
use model::unit::{Span, Time};

/// What a statement needs of its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Writes, or a transaction that may write.
    Write,
    /// Reads, with what they must find.
    Read(Guarantee),
    /// A question of the coordinator to this instance; it goes before everything else.
    Control(InstanceId),
}

/// A request for a connection.
#[derive(Clone, Debug)]
pub struct ConnRequest {
    /// What it is for.
    pub kind: Kind,
    /// The session's newest own write.
    pub own_write: Option<Point>,
    /// When the statement, or its transaction, arrived.
    pub arrived: Time,
    /// When the caller is refused at the latest.
    pub deadline: Time,
    /// Rank under load; 0 goes first.
    pub priority: u8,
    /// An instance that just could not serve it.
    pub avoid: Option<InstanceId>,
    /// Whether it waits also while no instance that could serve it is in reach; otherwise
    /// it is refused at once, to try another proxy.
    pub may_wait: bool,
}

impl ConnRequest {
    pub(super) fn rank(&self) -> (bool, u8, Time) {
        let control = matches!(self.kind, Kind::Control(_));
        (!control, self.priority, self.arrived)
    }
}

/// A connection, lent until it is given back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant<C> {
    /// Whose connection it is.
    pub instance: InstanceId,
    /// The connection.
    pub conn: C,
    /// The read must carry this point, so that it runs only on a log that holds it.
    pub after: Option<Point>,
    /// The instance must first prove that it leads.
    pub verify_primary: bool,
}

/// Why nothing was lent.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize,
)]
pub enum Reason {
    /// No primary is known.
    #[error("no primary is known")]
    NoPrimary,
    /// All connections are in use.
    #[error("all connections are in use")]
    Busy,
    /// No instance can serve it.
    #[error("no instance can serve it")]
    NoInstance,
    /// Instances that could serve it are not in reach of this proxy.
    #[error("no instance that can serve it is in reach")]
    #[serde(rename = "OutOfReach")]
    Unreachable,
}

/// A refusal; the statement has not run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize,
)]
#[error("{reason}; retry after {} ms", retry_after.as_millis())]
pub struct Rejection {
    /// Why.
    pub reason: Reason,
    /// When a new attempt is likely to be served.
    pub retry_after: Span,
}

/// What the owner of the pool has to do.
#[derive(Debug)]
pub enum Action<C, W> {
    /// Lend a connection.
    Grant(W, Grant<C>),
    /// Refuse.
    Reject(W, Rejection),
    /// Open a connection to the instance.
    Open(InstanceId),
    /// Close a connection.
    Close(C),
}

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// The instance has no connection left.
    Full,
    /// The instance is another one, or does not answer.
    Unreachable,
}
