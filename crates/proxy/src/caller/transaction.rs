//! The caller's transaction and the connection that it is pinned to.

use std::time::{Duration, Instant};

use model::settings::Settings;
use policy::route::Target;

use crate::backend::Status;
use crate::pool::{self, Conn};

/// The connection of an open transaction.
pub(super) struct Pinned {
    pub(super) conn: Conn,
    pub(super) pool: pool::Handle,
    pub(super) target: Target,
    /// Whether any statement may have written.
    pub(super) wrote: bool,
    /// Whether it was declared read-only.
    pub(super) read_only: bool,
    /// When it began.
    pub(super) since: Instant,
    /// When its last answer ended.
    pub(super) touched: Instant,
}

/// State of a caller's transaction.
pub(super) enum Transaction {
    /// There is none.
    None,
    /// It is open on a connection.
    Open(Box<Pinned>),
    /// Its connection is gone, and the caller has yet to end it. Without this state,
    /// the caller's next statement would run by itself, outside of any transaction.
    Lost,
}

impl Transaction {
    pub(super) fn is_none(&self) -> bool {
        matches!(self, Self::None)
    }

    pub(super) fn is_open(&self) -> bool {
        matches!(self, Self::Open(_))
    }

    /// State as the caller knows it.
    pub(super) fn status(&self) -> Status {
        match self {
            Self::None => Status::Idle,
            Self::Open(pinned) => pinned.conn.status(),
            Self::Lost => Status::Failed,
        }
    }

    /// When an open transaction has waited too long for its caller, or has been open
    /// for too long.
    pub(super) fn idle_end(&self, settings: &Settings) -> Option<Instant> {
        let Self::Open(pinned) = self else {
            return None;
        };
        let at = |start: Instant, limit: Duration| start + limit;
        let idle = at(pinned.touched, settings.transaction_idle.as_duration());
        let whole = at(pinned.since, settings.transaction_limit.as_duration());
        Some(idle.min(whole))
    }
}
