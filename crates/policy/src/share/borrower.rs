//! The borrower: how many connections this proxy may hold to one backend server.

use model::id::{InstanceId, ProxyId};
use model::unit::{Span, Time};

use super::{LoanRequest, LoanResponse, MARGIN_DIVISOR, Stamp, Terms};

/// What a proxy holds and wants at one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Connections that it could use, including the floor.
    pub want: u32,
    /// Open connections.
    pub open: u32,
    /// Connections in use.
    pub busy: u32,
    /// Whether there is work for this server.
    pub active: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct HeldLoan {
    amount: u32,
    until: Time,
}

/// How many connections this proxy may hold to one backend server.
///
/// Invariant: `loan` never exceeds what some lender has recorded for this proxy.
#[derive(Clone, Debug)]
pub struct Borrower {
    instance: InstanceId,
    me: ProxyId,
    terms: Terms,
    seq: u64,
    sent: Time,
    lender: Option<ProxyId>,
    stamp: Option<(ProxyId, Stamp)>,
    loan: HeldLoan,
    oversubscribed: bool,
    shared: u32,
}

impl Borrower {
    /// The borrower of a proxy that has just started and holds no loan.
    pub fn new(instance: InstanceId, me: ProxyId, terms: Terms, now: Time) -> Self {
        Self {
            instance,
            me,
            terms,
            seq: 0,
            sent: now,
            lender: None,
            stamp: None,
            loan: HeldLoan::default(),
            oversubscribed: false,
            shared: 0,
        }
    }

    /// Connections that may be open at `now`.
    pub fn allowed(&self, now: Time) -> u32 {
        self.terms.floor() + self.loan_amount(now)
    }

    fn loan_amount(&self, now: Time) -> u32 {
        if now < self.loan.until {
            self.loan.amount
        } else {
            0
        }
    }

    /// When the loan expires unless it is renewed before.
    pub fn expires_at(&self) -> Time {
        self.loan.until
    }

    /// Whether the proxies want more connections than there are, so that idle ones should go
    /// back to the pool rather than stay open.
    pub fn oversubscribed(&self) -> bool {
        self.oversubscribed
    }

    /// Connections that all active proxies may hold together, from which this proxy's part of
    /// the slots is computed; without a loan, the floors of all proxies.
    pub fn shared(&self, now: Time) -> u32 {
        let allowed = self.allowed(now);
        if now < self.loan.until {
            self.shared.max(allowed)
        } else {
            (self.terms.floor() * self.terms.proxies).max(allowed)
        }
    }

    /// Applies changed terms.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// The next request, which must be sent to `lender` now.
    pub fn request(&mut self, lender: &ProxyId, demand: Demand, now: Time) -> LoanRequest {
        let floor = self.terms.floor();
        let want = demand.want.saturating_sub(floor);
        let open = demand.open.saturating_sub(floor);
        let loan_amount = self.loan_amount(now);
        // The lender may rely on `keep` from now on, so the loan is reduced to it at once.
        let keep = want.max(open).min(loan_amount);
        self.loan.amount = keep;
        self.seq += 1;
        self.sent = now;
        self.lender = Some(lender.clone());
        LoanRequest {
            instance: self.instance.clone(),
            from: self.me.clone(),
            seq: self.seq,
            stamp: self.stamp_of(lender),
            want,
            keep,
            busy: demand.busy.saturating_sub(floor).min(keep),
            active: demand.active,
            remaining: self.loan.until.since(now),
        }
    }

    fn stamp_of(&self, lender: &ProxyId) -> Option<Stamp> {
        let (from, stamp) = self.stamp.as_ref()?;
        (from == lender).then_some(*stamp)
    }

    /// Processes a response of `from`. Responses to earlier requests than the last one are
    /// ignored, because `keep` in the last request superseded them.
    pub fn response_received(&mut self, from: &ProxyId, response: &LoanResponse) {
        if response.seq != self.seq || self.lender.as_ref() != Some(from) {
            return;
        }
        self.stamp = Some((from.clone(), response.stamp));
        if let Some(loan) = response.loan {
            let margin = loan.duration.as_micros() / MARGIN_DIVISOR;
            let usable = Span::from_micros(loan.duration.as_micros() - margin);
            self.loan = HeldLoan {
                amount: loan.amount,
                until: self.sent + usable,
            };
            self.oversubscribed = loan.oversubscribed;
            self.shared = loan.shared;
        }
    }
}
