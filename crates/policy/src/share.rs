//! Shares of a backend server's connections among the proxies.
//!
//! Each proxy may always hold a floor. The rest forms a pool, which one proxy, the
//! lender, lends on demand for a limited time. Proxies may disagree on who the lender
//! is, so its authority comes from the platform's store: a key that it holds under a
//! lease. With the store out of reach the authority ends, loans lapse, and the floors
//! remain.
//!
//! Clocks of different processes are never compared. Every promise is counted by its
//! maker from a later moment than by its receiver:
//!
//! - the store counts the lease from when it heard the renewal; the lender from when
//!   it sent it;
//! - a loan counts at the lender from when it answered, and at the borrower from when
//!   it sent the request.
//!
//! A lender that begins its reign confirms loans that borrowers hold already and
//! lends nothing new until every loan of an earlier reign has lapsed.

mod borrower;
mod lender;

pub use borrower::{Borrower, Demand};
pub use lender::Lender;

use model::hash;
use model::id::{InstanceId, ProxyId};
use model::unit::{Span, Time};

/// Part of the loan's span that a borrower does not use, as a divisor. Failure:
/// clocks run at slightly different speeds, or a process is paused between the
/// check and the opening of a connection; it shows as one connection too many.
/// A tenth of a 3 s loan covers drift by far and pauses of up to 300 ms.
const MARGIN_DIVISOR: u64 = 10;

/// Part of the loan's span between two requests, as a divisor. Several lost messages
/// in a row cost no loan.
const INTERVAL_DIVISOR: u64 = 6;

/// What all proxies know about one backend server's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Connections that the server accepts from the whole fleet.
    pub connections: u32,
    /// Most proxies that are ever alive at once.
    pub proxies: u32,
    /// How long a loan lasts.
    pub loan: Span,
}

impl Terms {
    /// Connections that each proxy may hold without asking.
    ///
    /// Half of the connections serve as floors: enough that the slots stay full
    /// without a lender, and as much again can follow demand.
    pub fn floor(&self) -> u32 {
        let proxies = self.proxies.max(1);
        let half = self.connections / 2 / proxies;
        half.max(u32::from(self.connections >= proxies))
    }

    /// Connections that are lent.
    pub fn pool(&self) -> u32 {
        self.connections - self.floor() * self.proxies.max(1)
    }

    /// Time between two requests of a borrower.
    pub fn interval(&self) -> Span {
        Span::from_micros(self.loan.as_micros() / INTERVAL_DIVISOR)
    }
}

/// A moment on the lender's clock; only the lender can read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Stamp(Time);

/// Request of a borrower to the lender.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoanRequest {
    /// The backend server.
    pub instance: InstanceId,
    /// Who asks; a restarted proxy is another one.
    pub from: ProxyId,
    /// Ascends with each request of one proxy.
    pub seq: u64,
    /// Newest stamp that the proxy got from this lender.
    pub stamp: Option<Stamp>,
    /// Lent connections that the proxy would use.
    pub want: u32,
    /// Lent connections that it holds and will not exceed until answered.
    pub keep: u32,
    /// Lent connections that it cannot close now, being in use; at most `keep`.
    pub busy: u32,
    /// Whether it has work for this server, so that it takes part in its slots.
    #[serde(default)]
    pub active: bool,
    /// How long, from when this was sent, the loan behind `keep` is valid at least.
    pub remaining: Span,
}

/// Answer of a lender.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoanResponse {
    /// The backend server.
    pub instance: InstanceId,
    /// The request that is answered.
    pub seq: u64,
    /// To be echoed in the next request.
    pub stamp: Stamp,
    /// The new loan; `None` while the lender may not lend, which changes nothing.
    pub loan: Option<Loan>,
}

/// A loan, in place of the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Loan {
    /// Lent connections that the borrower may hold.
    pub amount: u32,
    /// How long, from when the request was sent.
    #[serde(rename = "lasts")]
    pub duration: Span,
    /// Whether proxies ask for more than the pool holds.
    #[serde(rename = "pressed")]
    pub oversubscribed: bool,
    /// Connections that the proxies at work may hold together, the floors included.
    #[serde(default)]
    pub shared: u32,
}

/// Margin of the lender's authority before its lease in the store runs out, as a
/// divisor of the lease's span. It covers clocks that run at different speeds.
pub const LEASE_MARGIN_DIVISOR: u64 = 10;

/// The proxy that should lend for `place`: highest random weight over the live ones.
pub fn choose_lender<'a>(
    place: &str,
    live: impl IntoIterator<Item = &'a ProxyId>,
) -> Option<&'a ProxyId> {
    let weight = |proxy: &&ProxyId| (hash::of([place, proxy.as_str()]), (*proxy).clone());
    live.into_iter().max_by_key(weight)
}
