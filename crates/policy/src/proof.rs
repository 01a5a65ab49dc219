//! Proofs about a primary's log, from which the freshness of reads follows.
//!
//! An instance that carries out a statement of a writing transaction, or a write, leads
//! its group at that moment: it loses the lead at the moment at which another takes it.
//! So its log then holds every write that was acknowledged before the statement was sent,
//! by whichever proxy. Any log that holds as much is as fresh as that moment.

use std::collections::VecDeque;

use model::position::Point;
use model::route::Guarantee;
use model::unit::{Span, Time};

/// Least time between two proofs that are kept: finer steps would hardly let a lagging
/// replica serve more, and cost memory.
const SPACING: Span = Span::from_millis(20);

/// Time for which proofs are kept; the longest age that routes accept is some seconds.
const KEPT: Span = Span::from_millis(10_000);

/// Kept back of an accepted age, against the rounding of clocks.
const MARGIN: Span = Span::from_millis(5);

/// Distance from an age at which a proof still tells what the log was then; the primary is
/// asked for a proof every 250 ms.
const NEAR: Span = Span::from_millis(500);

/// Since when a proof must be for a read that accepts `age`.
fn bound(age: Span, now: Time) -> Time {
    let at = now.as_micros() + MARGIN.as_micros();
    Time::from_micros(at.saturating_sub(age.as_micros()))
}

/// Every write acknowledged before `since` lies at or before `point`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// When the statement was sent that the primary carried out.
    pub since: Time,
    /// End of the primary's log after it.
    pub point: Point,
}

/// What a read must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Any log that holds the point.
    Holds(Point),
    /// The primary, which has to prove first that it leads.
    Primary,
}

/// The proofs of one group, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Proofs {
    kept: VecDeque<Proof>,
}

impl Proofs {
    /// Adds a proof; one that is older than the newest adds nothing.
    pub fn add(&mut self, proof: Proof) {
        if self.newest().is_some_and(|p| proof.since <= p.since) {
            return;
        }
        let len = self.kept.len();
        if len >= 2 && proof.since.since(self.kept[len - 2].since) < SPACING {
            self.kept.pop_back();
        }
        self.kept.push_back(proof);
        while self
            .kept
            .front()
            .is_some_and(|p| proof.since.since(p.since) > KEPT)
        {
            self.kept.pop_front();
        }
    }

    /// The newest proof.
    pub fn newest(&self) -> Option<Proof> {
        self.kept.back().copied()
    }

    /// What a read that arrived at `arrived` must find.
    ///
    /// Of the proofs that are young enough the oldest is taken: the more time a replica
    /// had to receive the log, the more of them can serve the read.
    pub fn need(&self, guarantee: Guarantee, own: Option<Point>, arrived: Time) -> Need {
        let (age, own) = match guarantee {
            Guarantee::Newest => return Need::Primary,
            Guarantee::Bounded(age) => (age, None),
            Guarantee::OwnWrites(age) => (age, own),
        };
        match self.oldest(age, arrived) {
            Some(proof) => Need::Holds(own.map_or(proof.point, |own| own.max(proof.point))),
            None => Need::Primary,
        }
    }

    /// The oldest proof that is not older than `age`.
    fn oldest(&self, age: Span, now: Time) -> Option<&Proof> {
        let first = self.kept.partition_point(|p| p.since < bound(age, now));
        self.kept.get(first)
    }

    /// Where the log ended about `age` ago; `None` if nothing is known of that time, as in
    /// a process that has just begun to look.
    pub fn end_before(&self, age: Span, now: Time) -> Option<Point> {
        let proof = self.oldest(age, now)?;
        let near = proof.since.since(bound(age, now)) <= NEAR;
        near.then_some(proof.point)
    }
}
