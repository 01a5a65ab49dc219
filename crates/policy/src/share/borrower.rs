//! The side that asks: what this proxy may hold at one backend server.

use model::id::{InstanceId, ProxyId};
use model::unit::{Span, Time};

use super::{LoanRequest, LoanResponse, MARGIN_DIVISOR, Stamp, Terms};

/// What a proxy has and wants at one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Connections that it would use, floor included.
    pub want: u32,
    /// Connections that are open.
    pub open: u32,
    /// Connections that are in use.
    pub busy: u32,
    /// Whether there is work for this server.
    pub active: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    amount: u32,
    until: Time,
}

/// What this proxy may hold at one backend server.
///
/// Invariant: `held` never exceeds what some lender has recorded for this proxy.
#[derive(Clone, Debug)]
pub struct Borrower {
    instance: InstanceId,
    me: ProxyId,
    terms: Terms,
    seq: u64,
    sent: Time,
    asked: Option<ProxyId>,
    stamp: Option<(ProxyId, Stamp)>,
    held: Held,
    oversubscribed: bool,
    shared: u32,
}

impl Borrower {
    /// A proxy that has just started and holds nothing.
    pub fn new(instance: InstanceId, me: ProxyId, terms: Terms, now: Time) -> Self {
        Self {
            instance,
            me,
            terms,
            seq: 0,
            sent: now,
            asked: None,
            stamp: None,
            held: Held::default(),
            oversubscribed: false,
            shared: 0,
        }
    }

    /// Connections that may be open at `now`.
    pub fn allowed(&self, now: Time) -> u32 {
        self.terms.floor() + self.lent(now)
    }

    fn lent(&self, now: Time) -> u32 {
        if now < self.held.until {
            self.held.amount
        } else {
            0
        }
    }

    /// When what may be open falls by itself, unless a loan is renewed before.
    pub fn expires_at(&self) -> Time {
        self.held.until
    }

    /// Whether others want more than there is, so that idle connections are
    /// better lent on than kept warm.
    pub fn oversubscribed(&self) -> bool {
        self.oversubscribed
    }

    /// Connections that all proxies at work may hold together, to take this proxy's
    /// part of the slots from; without a lender, the floors of all proxies.
    pub fn shared(&self, now: Time) -> u32 {
        let allowed = self.allowed(now);
        if now < self.held.until {
            self.shared.max(allowed)
        } else {
            (self.terms.floor() * self.terms.proxies).max(allowed)
        }
    }

    /// Takes over changed terms.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// The next request, to be sent to `lender` now.
    pub fn request(&mut self, lender: &ProxyId, demand: Demand, now: Time) -> LoanRequest {
        let floor = self.terms.floor();
        let want = demand.want.saturating_sub(floor);
        let open = demand.open.saturating_sub(floor);
        let lent = self.lent(now);
        // The promise in `keep` holds from this moment on, so the loan shrinks now.
        let keep = want.max(open).min(lent);
        self.held.amount = keep;
        self.seq += 1;
        self.sent = now;
        self.asked = Some(lender.clone());
        LoanRequest {
            instance: self.instance.clone(),
            from: self.me.clone(),
            seq: self.seq,
            stamp: self.stamp_of(lender),
            want,
            keep,
            busy: demand.busy.saturating_sub(floor).min(keep),
            active: demand.active,
            remaining: self.held.until.since(now),
        }
    }

    fn stamp_of(&self, lender: &ProxyId) -> Option<Stamp> {
        let (from, stamp) = self.stamp.as_ref()?;
        (from == lender).then_some(*stamp)
    }

    /// Takes an answer of `from`; older answers than to the last request are void,
    /// because the promise in that request replaced them.
    pub fn response_received(&mut self, from: &ProxyId, answer: &LoanResponse) {
        if answer.seq != self.seq || self.asked.as_ref() != Some(from) {
            return;
        }
        self.stamp = Some((from.clone(), answer.stamp));
        if let Some(loan) = answer.loan {
            let margin = loan.duration.as_micros() / MARGIN_DIVISOR;
            let usable = Span::from_micros(loan.duration.as_micros() - margin);
            self.held = Held {
                amount: loan.amount,
                until: self.sent + usable,
            };
            self.oversubscribed = loan.oversubscribed;
            self.shared = loan.shared;
        }
    }
}
