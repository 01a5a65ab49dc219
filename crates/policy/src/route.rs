//! Requirements of a request on its route, and the possible results of routing it.

use std::net::SocketAddr;

use model::id::{InstanceId, ProxyId};
use model::location::Location;
use model::position::{Point, Term};
use model::unit::Span;

use crate::status::Role;

/// Data that a read must see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadNeed {
    /// Newest point that the session has written or seen; `Point::default()` when it is
    /// known to have written nothing. `None` when unknown: the read then sees every write
    /// that was acknowledged before the read was routed.
    pub point: Option<Point>,
    /// Age that the caller accepts for data that it did not write itself. With an age and no
    /// point, the age is the only requirement: the caller doesn't need its own writes.
    pub max_age: Option<Span>,
}

/// Destination of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Backend server that runs the request.
    pub instance: InstanceId,
    /// Its address.
    pub address: SocketAddr,
    /// Its location.
    pub location: Location,
    /// Its role.
    pub role: Role,
    /// Term under which the route was chosen.
    pub term: Term,
    /// Proxy to forward through if this one cannot reach the backend server.
    pub via: Option<ProxyId>,
    /// Point that the response is certain to cover; the session advances to it.
    pub point: Point,
}

/// Why a request has no route. It did not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// The group currently has no primary.
    #[error("the group has no primary at present")]
    NoPrimary {
        /// Time after which a retry may succeed.
        retry: Span,
    },
    /// Most instances of the group are unreachable, so that no write can be confirmed.
    #[error("most instances of the group are out of reach")]
    NoMajority {
        /// Time after which a retry may succeed.
        retry: Span,
    },
    /// Too many requests already wait for a route to the group.
    #[error("too many requests wait for the group's next primary")]
    QueueFull {
        /// Time after which a retry may succeed.
        retry: Span,
    },
    /// No reachable instance is fresh enough for the read.
    #[error("no instance in reach is fresh enough for the read")]
    NotFresh {
        /// Time after which a retry may succeed.
        retry: Span,
    },
    /// The session saw a record that a promotion discarded.
    #[error("the session's point {point} was discarded in a promotion")]
    Forked {
        /// The discarded point.
        point: Point,
    },
    /// The proxy is shutting down.
    #[error("the proxy is shutting down")]
    Stopping,
}

impl RouteError {
    /// Time after which a retry by the caller may succeed.
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

/// Why a write that ran on a primary is not acknowledged. Its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unconfirmed {
    /// The deadline passed before a majority held the write.
    #[error("no majority of the group confirmed the write in time")]
    Deadline,
    /// The primary was replaced before a majority was known to hold the write.
    #[error("the primary was replaced before a majority held the write")]
    Replaced,
    /// The backend server reported a point of another term than the one routed to.
    #[error("the write is not of the term that it was routed to")]
    OtherTerm,
    /// The proxy is shutting down.
    #[error("the proxy is shutting down")]
    Stopping,
}

/// How a request to a backend server failed, as far as the connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Failure {
    /// No connection could be opened.
    #[error("the connection was refused")]
    Refused,
    /// An open connection broke.
    #[error("the connection broke")]
    Broken,
    /// No response arrived in time.
    #[error("no answer in time")]
    Timeout,
    /// It rejected the write because it is not the primary or is fenced (SQLSTATE 25006).
    #[error("the server does not accept writes")]
    ReadOnly,
    /// It sent an unexpected response.
    #[error("unexpected answer")]
    Protocol,
}
