//! The lender of one backend server's pool.

use indexmap::IndexMap;
use model::id::{InstanceId, ProxyId};
use model::unit::{Span, Time};

use super::{Loan, LoanRequest, LoanResponse, Stamp, Terms};

/// The most that one borrower may hold, as far as known in this term.
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
/// Invariant: once a term has settled, i.e. all loans of earlier terms have expired, the
/// unexpired records add up to at most the pool.
#[derive(Clone, Debug)]
pub struct Lender {
    instance: InstanceId,
    terms: Terms,
    /// Longest loan that any lender may still have outstanding.
    longest: Span,
    /// When the authority ends unless it is renewed before.
    authority: Time,
    /// When the current term started: since then there was no gap in the authority.
    term_start: Option<Time>,
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
            term_start: None,
            records: IndexMap::new(),
        }
    }

    /// Applies changed terms.
    pub fn set_terms(&mut self, terms: Terms) {
        self.longest = self.longest.max(terms.loan);
        self.terms = terms;
    }

    /// Extends the authority to `until`: the time at which the lease's renewal was sent, plus
    /// the lease's duration, less the margin.
    ///
    /// Failure: this lender was partitioned from the store, another one lent the same pool,
    /// and this one got the key again. So after a gap a new term starts, which lends nothing
    /// until the other's loans have expired; this lender's own records have expired by then
    /// too.
    pub fn authorise(&mut self, until: Time, now: Time) {
        if until <= now {
            return;
        }
        if !self.has_authority(now) {
            self.term_start = Some(now);
        }
        self.authority = self.authority.max(until);
    }

    /// Ends the authority.
    pub fn resign(&mut self) {
        self.authority = Time::default();
    }

    /// Whether this lender may lend now.
    pub fn has_authority(&self, now: Time) -> bool {
        now < self.authority
    }

    /// Responds to a request; `None` for one that is late or a duplicate.
    pub fn respond(&mut self, req: &LoanRequest, now: Time) -> Option<LoanResponse> {
        let known = self.records.get(&req.from);
        if known.is_some_and(|r| req.seq <= r.seq) {
            return None;
        }
        let term_start = self.term_start.filter(|_| self.has_authority(now));
        let loan = term_start.and_then(|start| self.grant(req, start, now));
        Some(LoanResponse {
            instance: self.instance.clone(),
            seq: req.seq,
            stamp: Stamp(now),
            loan,
        })
    }

    fn grant(&mut self, req: &LoanRequest, term_start: Time, now: Time) -> Option<Loan> {
        self.records.retain(|_, r| now < r.until);
        let settled = now >= term_start + self.longest;
        let confirmed = self.confirmed(req, settled, now);
        if !settled && confirmed == 0 {
            return None;
        }
        let amount = if settled {
            self.amount(req, confirmed)
        } else {
            confirmed
        };
        let record = Record {
            seq: req.seq,
            amount: amount.max(confirmed),
            want: req.want,
            active: req.active,
            until: now + self.terms.loan,
        };
        self.records.insert(req.from.clone(), record);
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

    fn amount(&self, req: &LoanRequest, confirmed: u32) -> u32 {
        let lent: u32 = self.other_records(&req.from).map(|r| r.amount).sum();
        let free = self.terms.pool().saturating_sub(lent);
        let share = req.want.min(self.fair_share(req));
        share.max(req.busy.min(confirmed)).min(free)
    }

    /// The connections that the borrower certainly holds under a valid loan.
    ///
    /// Failure: a request is delayed until the loan that it claims has expired and its
    /// connections were lent to another proxy. So the loan must still be valid now when its
    /// time is counted from the stamp in the request, which is older than the request.
    fn confirmed(&self, req: &LoanRequest, settled: bool, now: Time) -> u32 {
        if let Some(record) = self.records.get(&req.from) {
            return record.amount.min(req.keep);
        }
        let valid = |Stamp(at)| now < at + req.remaining;
        if !settled && req.stamp.is_some_and(valid) {
            req.keep
        } else {
            0
        }
    }

    fn other_records<'a>(&'a self, borrower: &'a ProxyId) -> impl Iterator<Item = &'a Record> {
        let other_records = self.records.iter().filter(move |(id, _)| *id != borrower);
        other_records.map(|(_, r)| r)
    }

    /// The borrower's fair share of the pool: all get equal parts, and what those that want
    /// less leave is divided among the others.
    fn fair_share(&self, req: &LoanRequest) -> u32 {
        let mut wants: Vec<u32> = self.other_records(&req.from).map(|r| r.want).collect();
        wants.push(req.want);
        wants.sort_unstable();
        let mut remaining = self.terms.pool();
        let mut equal_part = remaining;
        for (at, want) in wants.iter().enumerate() {
            let sharing = (wants.len() - at) as u32;
            equal_part = remaining.div_ceil(sharing);
            if *want >= equal_part {
                return equal_part;
            }
            remaining -= want;
        }
        equal_part.max(req.want)
    }
}
