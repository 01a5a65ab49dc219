//! What a request needs of a route, and the answers it may get.

use std::net::SocketAddr;

use model::id::{InstanceId, ProxyId};
use model::location::Location;
use model::position::{Point, Term};
use model::unit::Span;

use crate::status::Role;

/// What a read must see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadNeed {
    /// Newest point that the session has written or seen; `Point::default()` when it is
    /// known to have written nothing. `None` when unknown: the read then sees every write
    /// that was acknowledged before the read was routed.
    pub point: Option<Point>,
    /// Age that the caller accepts for data that it did not write itself. With an age
    /// stated and no point, the caller vouches that the age is all that it asks for.
    pub max_age: Option<Span>,
}

/// Where a request is to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Backend server that runs the request.
    pub instance: InstanceId,
    /// Its address.
    pub address: SocketAddr,
    /// Where it is.
    pub location: Location,
    /// Part that it plays.
    pub role: Role,
    /// Term under which the route was chosen.
    pub term: Term,
    /// Proxy to forward through when this one does not reach the backend server.
    pub via: Option<ProxyId>,
    /// Point that the answer is certain to cover; the session advances to it.
    pub point: Point,
}

/// Why a request was given no route. It did not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// The group has no primary at present.
    #[error("the group has no primary at present")]
    NoPrimary {
        /// When another try is worth while.
        retry: Span,
    },
    /// Most instances of the group are out of reach, so that no write can be made safe.
    #[error("most instances of the group are out of reach")]
    NoMajority {
        /// When another try is worth while.
        retry: Span,
    },
    /// Too many requests wait for the group already.
    #[error("too many requests wait for the group's next primary")]
    QueueFull {
        /// When another try is worth while.
        retry: Span,
    },
    /// No instance in reach is as fresh as the read needs.
    #[error("no instance in reach is fresh enough for the read")]
    NotFresh {
        /// When another try is worth while.
        retry: Span,
    },
    /// The session saw a record that a promotion discarded.
    #[error("the session's point {point} was discarded in a promotion")]
    Forked {
        /// The point that no instance holds any more.
        point: Point,
    },
    /// The proxy is shutting down.
    #[error("the proxy is shutting down")]
    Stopping,
}

impl RouteError {
    /// When the caller may try again with a chance of success.
    pub fn retry_after(&self) -> Option<Span> {
        match self {
            Self::NoPrimary { retry }
            | Self::NoMajority { retry }
            | Self::QueueFull { retry }
            | Self::NotFresh { retry } => Some(*retry),
            Self::Forked { .. } | Self::Stopping => None,
        }
    }
}

/// Why a write is not acknowledged. It ran on a primary, and its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unconfirmed {
    /// The deadline passed before a majority held the write.
    #[error("no majority of the group confirmed the write in time")]
    Deadline,
    /// The primary was replaced before a majority was known to hold the write.
    #[error("the primary was replaced before a majority held the write")]
    Replaced,
    /// The backend server named a point of another term than the one routed to.
    #[error("the write is not of the term that it was routed to")]
    OtherTerm,
    /// The proxy is shutting down.
    #[error("the proxy is shutting down")]
    Stopping,
}

/// How a backend server failed a request, as far as the connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Failure {
    /// No connection could be opened.
    #[error("the connection was refused")]
    Refused,
    /// An open connection broke.
    #[error("the connection broke")]
    Broken,
    /// Nothing came back in time.
    #[error("no answer in time")]
    Timeout,
    /// It refused the write as not being the primary, or as fenced (25006).
    #[error("the server does not accept writes")]
    ReadOnly,
    /// It answered something unexpected.
    #[error("unexpected answer")]
    Protocol,
}
