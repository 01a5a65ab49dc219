//! Checks that the outcomes that callers got are consistent.

use std::collections::BTreeMap;

use model::position::{Point, Term};

use super::World;

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// An acknowledged write is not in the final log.
    Lost(u64),
    /// A write appears twice in the final log.
    Duplicated(u64),
    /// A write was acknowledged under an older term, although a write had been acknowledged
    /// under a later term before it began.
    ReplacedPrimary {
        write: u64,
        term: Term,
        newest: Term,
    },
    /// Two instances acknowledged writes under one term.
    TwoPrimaries(Term),
    /// A read did not show a write that it had to show.
    Stale { missing: u64 },
    /// A session got the response that its acknowledged writes were discarded.
    Forked(Point),
    /// The fleet did not serve all writes after every fault had ended.
    NotServing,
}

/// What must hold for the outcome of a request, recorded when the request begins.
#[derive(Clone, Debug, Default)]
pub(crate) struct Expectations {
    /// Newest term under which a write was acknowledged.
    pub(crate) newest: Term,
    /// Writes that a read must show.
    pub(crate) must_show: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Oracle {
    /// Acknowledged writes with the time of their acknowledgement in microseconds.
    pub(crate) acknowledged: Vec<(u64, u64)>,
    newest: Term,
    primaries: BTreeMap<Term, usize>,
    pub(crate) violations: Vec<Violation>,
    pub(crate) callers: super::caller::Callers,
    pub(crate) reads: usize,
    pub(crate) replica_reads: usize,
}

impl Oracle {
    pub(crate) fn expectations(&self) -> Expectations {
        Expectations {
            newest: self.newest,
            must_show: Vec::new(),
        }
    }

    /// Writes acknowledged up to the time `at`.
    pub(crate) fn acked_until(&self, at: u64) -> Vec<u64> {
        let early = self.acknowledged.iter().filter(|(_, t)| *t <= at);
        early.map(|(write, _)| *write).collect()
    }

    pub(crate) fn record_ack(
        &mut self,
        write: u64,
        point: Point,
        by: usize,
        expectations: &Expectations,
        at: u64,
    ) {
        let term = point.term;
        self.acknowledged.push((write, at));
        if term < expectations.newest {
            let newest = expectations.newest;
            self.violations.push(Violation::ReplacedPrimary {
                write,
                term,
                newest,
            });
        }
        if *self.primaries.entry(term).or_insert(by) != by {
            self.violations.push(Violation::TwoPrimaries(term));
        }
        self.newest = self.newest.max(term);
    }

    pub(crate) fn check_read(&mut self, shown: &[u64], expectations: &Expectations) {
        self.reads += 1;
        let missing = expectations.must_show.iter().find(|w| !shown.contains(w));
        if let Some(missing) = missing {
            let missing = *missing;
            self.violations.push(Violation::Stale { missing });
        }
    }

    pub(crate) fn check_log(&mut self, log: &[u64]) {
        let mut counts = BTreeMap::<u64, usize>::new();
        for write in log {
            *counts.entry(*write).or_default() += 1;
        }
        let duplicated = counts.iter().filter(|(_, n)| **n > 1);
        let duplicated = duplicated.map(|(w, _)| Violation::Duplicated(*w));
        let lost = self
            .acknowledged
            .iter()
            .filter(|(w, _)| !counts.contains_key(w));
        let lost = lost.map(|(w, _)| Violation::Lost(*w));
        let found: Vec<_> = duplicated.chain(lost).collect();
        self.violations.extend(found);
    }
}

impl World {
    /// Ends every fault, lets the fleet recover, and checks the final state.
    pub(crate) fn settle(&mut self) {
        self.end_all();
        self.run(6_000);
        let before = self.oracle.acknowledged.len();
        for proxy in 0..self.proxies.len() {
            self.write(proxy, 0);
        }
        self.run(3_000);
        if self.oracle.acknowledged.len() < before + self.proxies.len() {
            self.oracle.violations.push(Violation::NotServing);
        }
        let newest = self.instances.iter().max_by_key(|i| i.term).unwrap();
        let log: Vec<_> = newest.log.iter().map(|(_, w)| *w).collect();
        self.oracle.check_log(&log);
    }
}
