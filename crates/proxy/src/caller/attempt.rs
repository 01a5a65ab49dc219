//! One attempt at a request: what it needs, and how it can end.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use model::unit::Span;
use pg::report::{self, Report};
use policy::retry;
use policy::route::{RouteError, Target};

use super::answer::Answer;
use super::watch::{Reign, Stop};
use crate::admit::{EnterError, Permit};
use crate::pool::{self, Conn, PoolError};

/// Pause before a request that met a failure looks for another route: time for the
/// failure to reach the group's task, short against any deadline.
const PAUSE: Duration = Duration::from_millis(10);

/// When to come back after a failure that says nothing about its end.
pub(super) const RETRY: Duration = Duration::from_millis(100);

/// What is needed to run a request once.
pub(super) struct Attempt {
    pub(super) conn: Conn,
    pub(super) pool: pool::Handle,
    pub(super) target: Target,
    pub(super) permit: Option<Permit>,
    /// When the request was sent, or was ready to be.
    pub(super) sent: Instant,
}

/// Under which conditions a request goes out.
pub(super) struct Way {
    pub(super) deadline: Instant,
    pub(super) reign: Reign,
    /// Whether its completion is held back until a majority confirms it.
    pub(super) hold: bool,
}

/// Why an attempt sent nothing.
pub(super) enum NoWay {
    Refused(RouteError),
    NotAdmitted(EnterError),
    NoConnection(PoolError),
    /// The primary was replaced before anything was sent to it.
    Replaced,
}

/// How an attempt that was sent ended.
pub(super) enum Ended {
    /// With the server's whole answer.
    Answered(Answer, BytesMut),
    Stopped(Stop),
}

/// Pause before another attempt: time for a failure to reach the group's task, and a
/// random part that grows, so that those who failed together do not come back together.
pub(super) fn back_off(before: u32) -> Duration {
    PAUSE + retry::delay(before, &mut rand::rng()).as_duration()
}

/// Whether another attempt could end before the deadline.
pub(super) fn has_time(deadline: Instant) -> bool {
    Instant::now() + PAUSE < deadline
}

/// What is said of a request that the server refused whole.
pub(super) fn refused_text() -> Report {
    Report::error(
        report::UNAVAILABLE,
        "the server does not accept the request; it did not run",
    )
    .retry_after(RETRY)
}

impl From<NoWay> for Report {
    fn from(no_way: NoWay) -> Self {
        let did_not_run = |code, why: &dyn std::fmt::Display, after: Duration| {
            Self::error(code, format!("{why}; the request did not run")).retry_after(after)
        };
        match no_way {
            NoWay::Refused(e @ RouteError::Forked { .. }) => Self::error(
                report::TOKEN_FORKED,
                format!("{e}; the request did not run"),
            ),
            NoWay::Refused(e) => {
                let after = e.retry_after().map_or(RETRY, Span::as_duration);
                did_not_run(report::UNAVAILABLE, &e, after)
            }
            NoWay::NotAdmitted(EnterError::Refused(e)) => {
                did_not_run(report::TOO_MANY, &e.reason, e.retry_after.as_duration())
            }
            NoWay::NotAdmitted(e) => did_not_run(report::UNAVAILABLE, &e, RETRY),
            NoWay::NoConnection(e) => did_not_run(report::UNAVAILABLE, &e, RETRY),
            NoWay::Replaced => did_not_run(report::UNAVAILABLE, &"the primary was replaced", RETRY),
        }
    }
}
