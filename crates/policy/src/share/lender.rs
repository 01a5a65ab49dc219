//! The side that lends the pool of one backend server.

use indexmap::IndexMap;
use model::id::{InstanceId, ProxyId};
use model::unit::{Span, Time};

use super::{Loan, LoanRequest, LoanResponse, Stamp, Terms};

/// What one borrower may hold at most, as far as this reign knows.
#[derive(Clone, Copy, Debug)]
struct Record {
    seq: u64,
    amount: u32,
    want: u32,
    active: bool,
    until: Time,
}

/// Lends the pool of one backend server while the store gives it the authority.
///
/// Invariant: once a reign has settled, the unexpired records add up to the pool at
/// most.
#[derive(Clone, Debug)]
pub struct Lender {
    instance: InstanceId,
    terms: Terms,
    /// The longest loan that any lender may still have outstanding.
    longest: Span,
    /// When the authority ends, unless it is renewed before.
    authority: Time,
    /// Since when it has held without a gap.
    reign: Option<Time>,
    records: IndexMap<ProxyId, Record>,
}

impl Lender {
    /// A lender without authority.
    pub fn new(instance: InstanceId, terms: Terms) -> Self {
        Self {
            instance,
            terms,
            longest: terms.loan,
            authority: Time::default(),
            reign: None,
            records: IndexMap::new(),
        }
    }

    /// Takes over changed terms.
    pub fn set_terms(&mut self, terms: Terms) {
        self.longest = self.longest.max(terms.loan);
        self.terms = terms;
    }

    /// Renews the authority up to `until`, by the lease's renewal that was sent its
    /// span before that, less the margin.
    ///
    /// Failure: this lender was cut off from the store, another one lent the same pool,
    /// and the key came back. A gap begins a new reign, which lends nothing until the
    /// loans of the other have lapsed; its own records have lapsed by then as well.
    pub fn authorise(&mut self, until: Time, now: Time) {
        if until <= now {
            return;
        }
        if !self.has_authority(now) {
            self.reign = Some(now);
        }
        self.authority = self.authority.max(until);
    }

    /// Gives the authority up.
    pub fn resign(&mut self) {
        self.authority = Time::default();
    }

    /// Whether this lender may lend.
    pub fn has_authority(&self, now: Time) -> bool {
        now < self.authority
    }

    /// Answers a request; `None` for one that came late or twice.
    pub fn respond(&mut self, ask: &LoanRequest, now: Time) -> Option<LoanResponse> {
        let known = self.records.get(&ask.from);
        if known.is_some_and(|r| ask.seq <= r.seq) {
            return None;
        }
        let reign = self.reign.filter(|_| self.has_authority(now));
        let loan = reign.and_then(|since| self.lend(ask, since, now));
        Some(LoanResponse {
            instance: self.instance.clone(),
            seq: ask.seq,
            stamp: Stamp(now),
            loan,
        })
    }

    fn lend(&mut self, ask: &LoanRequest, since: Time, now: Time) -> Option<Loan> {
        self.records.retain(|_, r| now < r.until);
        let settled = now >= since + self.longest;
        let kept = self.kept(ask, settled, now);
        if !settled && kept == 0 {
            return None;
        }
        let amount = if settled {
            self.amount(ask, kept)
        } else {
            kept
        };
        let record = Record {
            seq: ask.seq,
            amount: amount.max(kept),
            want: ask.want,
            active: ask.active,
            until: now + self.terms.loan,
        };
        self.records.insert(ask.from.clone(), record);
        let wanted: u32 = self.records.values().map(|r| r.want).sum();
        let active = self.records.values().filter(|r| r.active);
        let shared: u32 = active.map(|r| r.amount + self.terms.floor()).sum();
        Some(Loan {
            amount,
            duration: self.terms.loan,
            oversubscribed: wanted > self.terms.pool(),
            shared,
        })
    }

    fn amount(&self, ask: &LoanRequest, kept: u32) -> u32 {
        let others: u32 = self.others(&ask.from).map(|r| r.amount).sum();
        let free = self.terms.pool().saturating_sub(others);
        let part = ask.want.min(self.fair_part(ask));
        part.max(ask.busy.min(kept)).min(free)
    }

    /// What the borrower holds for certain with right.
    ///
    /// Failure: a request is delayed until the loan that it speaks of has lapsed
    /// and was given to another. Counted from the echoed stamp, which was made
    /// before the request was sent, the loan must still be valid now.
    fn kept(&self, ask: &LoanRequest, settled: bool, now: Time) -> u32 {
        if let Some(record) = self.records.get(&ask.from) {
            return record.amount.min(ask.keep);
        }
        let valid = |Stamp(stamped)| now < stamped + ask.remaining;
        if !settled && ask.stamp.is_some_and(valid) {
            ask.keep
        } else {
            0
        }
    }

    fn others<'a>(&'a self, asking: &'a ProxyId) -> impl Iterator<Item = &'a Record> {
        let others = self.records.iter().filter(move |(id, _)| *id != asking);
        others.map(|(_, r)| r)
    }

    /// The asking proxy's part of the pool: equal parts, where those that want
    /// less than theirs leave the rest to the others.
    fn fair_part(&self, ask: &LoanRequest) -> u32 {
        let mut wants: Vec<u32> = self.others(&ask.from).map(|r| r.want).collect();
        wants.push(ask.want);
        wants.sort_unstable();
        let mut left = self.terms.pool();
        let mut part = left;
        for (at, want) in wants.iter().enumerate() {
            let sharing = (wants.len() - at) as u32;
            part = left.div_ceil(sharing);
            if *want >= part {
                return part;
            }
            left -= want;
        }
        part.max(ask.want)
    }
}
