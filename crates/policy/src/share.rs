//! Shares of a backend server's connections among the proxies.
//!
//! Each proxy may always hold a floor of connections. The others form a pool, which one
//! proxy, the lender, lends on demand for a limited time. Proxies may disagree on who the
//! lender is, so its authority comes from the platform's store: a key that it holds under a
//! lease. While the store is unreachable, the authority ends, loans expire, and the floors
//! remain.
//!
//! Clocks of different processes are never compared. Whoever grants a lease or a loan counts
//! its time from a later moment than whoever receives it:
//!
//! - the store counts the lease from when it received the renewal, the lender from when it
//!   sent it;
//! - the lender counts a loan from when it responded, the borrower from when it sent the
//!   request.
//!
//! A lender that starts a term of authority confirms loans that borrowers already hold, and
//! lends nothing new until every loan of earlier terms has expired.

mod borrower;
mod lender;

pub use borrower::{Borrower, Demand};
pub use lender::Lender;

use model::hash;
use model::id::{InstanceId, ProxyId};
use model::unit::{Span, Time};

/// Divisor of a loan's duration: the part at its end that the borrower does not use.
///
/// Failure: clocks run at slightly different speeds, or a process is paused between the
/// check and the opening of a connection; then one connection too many is open. A tenth of
/// a 3 s loan is far more than the drift, and covers pauses of up to 300 ms.
const MARGIN_DIVISOR: u64 = 10;

/// Divisor of a loan's duration: the time between two requests. Several messages in a row may
/// be lost without losing the loan.
const INTERVAL_DIVISOR: u64 = 6;

/// What all proxies know about the connections of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Connections that the server accepts from the whole fleet.
    pub connections: u32,
    /// Most proxies that are alive at the same time.
    pub proxies: u32,
    /// How long a loan lasts.
    pub loan: Span,
}

impl Terms {
    /// Connections that each proxy may hold without a loan.
    ///
    /// Half of the connections are floors. This is enough to keep the slots full without a
    /// lender, and leaves as many connections to follow demand.
    pub fn floor(&self) -> u32 {
        let proxies = self.proxies.max(1);
        let half = self.connections / 2 / proxies;
        half.max(u32::from(self.connections >= proxies))
    }

    /// Connections that can be lent.
    pub fn pool(&self) -> u32 {
        self.connections - self.floor() * self.proxies.max(1)
    }

    /// Time between two loan requests of a borrower.
    pub fn interval(&self) -> Span {
        Span::from_micros(self.loan.as_micros() / INTERVAL_DIVISOR)
    }
}

/// A time on the lender's clock; it has no meaning for other proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Stamp(Time);

/// Request of a borrower to a lender.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoanRequest {
    /// The backend server.
    pub instance: InstanceId,
    /// The borrower; a proxy has another id after a restart.
    pub from: ProxyId,
    /// Increases with each request of one proxy.
    pub seq: u64,
    /// Newest stamp that the borrower received from this lender.
    pub stamp: Option<Stamp>,
    /// Connections beyond the floor that it could use.
    pub want: u32,
    /// Lent connections that it holds; it does not exceed them until it has a response.
    pub keep: u32,
    /// Lent connections in use, which it cannot close now; at most `keep`.
    pub busy: u32,
    /// Whether it has work for this server and so needs a part of its slots.
    #[serde(default)]
    pub active: bool,
    /// Least time, counted from sending, for which the loan of `keep` is still valid.
    pub remaining: Span,
}

/// Response of a lender.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoanResponse {
    /// The backend server.
    pub instance: InstanceId,
    /// `seq` of the request.
    pub seq: u64,
    /// The borrower sends it back in its next request.
    pub stamp: Stamp,
    /// The new loan; with `None` the lender may not lend now, and the old loan stays.
    pub loan: Option<Loan>,
}

/// A loan; it replaces the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Loan {
    /// Lent connections that the borrower may hold.
    pub amount: u32,
    /// Duration, counted from when the request was sent.
    #[serde(rename = "lasts")]
    pub duration: Span,
    /// Whether the proxies together want more than the pool.
    #[serde(rename = "pressed")]
    pub oversubscribed: bool,
    /// Connections that the active proxies may hold together, including their floors.
    #[serde(default)]
    pub shared: u32,
}

/// Divisor of the lease's duration in the store: how much earlier the lender's authority ends.
/// The margin covers clocks that run at different speeds.
pub const LEASE_MARGIN_DIVISOR: u64 = 10;

/// The proxy that should be the lender of a data centre: the live one with the
/// highest rendezvous hash.
pub fn choose_lender<'a>(
    data_centre: &str,
    live: impl IntoIterator<Item = &'a ProxyId>,
) -> Option<&'a ProxyId> {
    let weight = |proxy: &&ProxyId| (hash::of([data_centre, proxy.as_str()]), (*proxy).clone());
    live.into_iter().max_by_key(weight)
}
