//! Requests to a pool and the actions it returns.

use model::customer::CustomerPriority;
use model::id::{CustomerId, InstanceId};
use model::position::Point;
use model::route::Guarantee;
use model::unit::{Span, Time};

/// What a statement needs from its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Writes, or a transaction that may write.
    Write,
    /// Reads, with the guarantee they need.
    Read(Guarantee),
    /// A query of the coordinator to this instance; it precedes all other requests.
    Control(InstanceId),
}

/// A request for a connection.
#[derive(Clone, Debug)]
pub struct ConnRequest {
    /// What it is for.
    pub kind: Kind,
    /// The customer on whose behalf it runs; the connection must have been opened for the same
    /// one. `None` for a caller without a customer.
    pub customer: Option<CustomerId>,
    /// That customer's priority; ignored without a customer.
    pub customer_priority: CustomerPriority,
    /// The session's newest own write.
    pub own_write: Option<Point>,
    /// When the statement, or its transaction, arrived.
    pub arrived: Time,
    /// Time from `arrived` within which the caller expects the whole operation to complete.
    pub objective: Span,
    /// When the request is rejected at the latest.
    pub deadline: Time,
    /// Priority under load; 0 is served first.
    pub priority: u8,
    /// An instance that has just failed to serve it.
    pub avoid: Option<InstanceId>,
    /// Whether it also waits while no instance that could serve it is reachable; otherwise it
    /// is rejected at once, so that the caller can try another proxy.
    pub may_wait: bool,
}

impl ConnRequest {
    /// Whether it may use a connection that was opened for `owner`. Queries of the coordinator
    /// run nothing on a customer's behalf, so they may use any connection.
    pub(super) fn may_use(&self, owner: Option<&CustomerId>) -> bool {
        matches!(self.kind, Kind::Control(_)) || self.customer.as_ref() == owner
    }
}

/// A connection, checked out until it is released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant<C> {
    /// The instance it leads to.
    pub instance: InstanceId,
    /// The connection.
    pub conn: C,
    /// The point that the read must name, so that it runs only on a log that holds the point.
    pub after: Option<Point>,
    /// The instance must first prove that it leads.
    pub verify_primary: bool,
}

/// Why no connection was granted.
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
    /// Instances that could serve it are unreachable from this proxy.
    #[error("no instance that can serve it is in reach")]
    #[serde(rename = "OutOfReach")]
    Unreachable,
}

/// A rejection; the statement has not run.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize,
)]
#[error("{reason}; retry after {} ms", retry_after.as_millis())]
pub struct Rejection {
    /// Why.
    pub reason: Reason,
    /// When a retry is likely to be served.
    pub retry_after: Span,
}

impl Rejection {
    /// The rejection with a retry hint that is up to half longer, by `fraction` from 0 to 1.
    ///
    /// Callers that are rejected together would otherwise return together.
    #[must_use]
    pub fn spread(self, fraction: f64) -> Self {
        let extra = self.retry_after.as_micros() as f64 / 2.0 * fraction.clamp(0.0, 1.0);
        Self {
            retry_after: self.retry_after + Span::from_micros(extra as u64),
            ..self
        }
    }
}

/// What the owner of the pool must do.
#[derive(Debug)]
pub enum Action<C, W> {
    /// Grant a connection.
    Grant(W, Grant<C>),
    /// Reject the request.
    Reject(W, Rejection),
    /// Open a connection to the instance, for a customer or for the proxy itself.
    Open(InstanceId, Option<CustomerId>),
    /// Close a connection.
    Close(C),
}

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// The instance has no connection left.
    Full,
    /// The process at the address is another instance, or did not respond.
    Unreachable,
}
