//! Freshness proofs: what is known about a primary's log, and how fresh reads are because of
//! it.
//!
//! An instance that executes a statement of a writing transaction, or a write, leads its group
//! at that moment: it stops leading at the moment when another instance takes over. So its log
//! then holds every write that was acknowledged before the statement was sent, by any proxy.
//! Any log that holds as much is as fresh as that moment.

use std::collections::VecDeque;

use model::position::Point;
use model::route::Guarantee;
use model::unit::{Span, Time};

/// Minimum interval between two proofs that are kept: a smaller one would hardly let a lagging
/// replica serve more reads, and would cost memory.
const MIN_INTERVAL: Span = Span::from_millis(20);

/// Time for which proofs are kept; the longest age that routes accept is a few seconds.
const RETENTION: Span = Span::from_millis(10_000);

/// Subtracted from an accepted age, because clocks are rounded.
const MARGIN: Span = Span::from_millis(5);

/// Largest distance from an age at which a proof still shows where the log ended then; the
/// primary is probed for a proof every 250 ms.
const MAX_DISTANCE: Span = Span::from_millis(500);

/// Earliest time of a proof for a read that accepts `age`.
fn earliest(age: Span, now: Time) -> Time {
    let at = now.as_micros() + MARGIN.as_micros();
    Time::from_micros(at.saturating_sub(age.as_micros()))
}

/// Every write acknowledged before `since` is at or before `point` in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// When the statement that the primary executed was sent.
    pub since: Time,
    /// End of the primary's log after the statement.
    pub point: Point,
}

/// What a read requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// An instance whose log holds the point.
    Holds(Point),
    /// The primary, which must first prove that it leads.
    Primary,
}

/// The proofs of a group, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Proofs {
    kept: VecDeque<Proof>,
}

impl Proofs {
    /// Adds a proof; one that is not newer than the newest is ignored.
    pub fn add(&mut self, proof: Proof) {
        if self.newest().is_some_and(|p| proof.since <= p.since) {
            return;
        }
        let len = self.kept.len();
        if len >= 2 && proof.since.since(self.kept[len - 2].since) < MIN_INTERVAL {
            self.kept.pop_back();
        }
        self.kept.push_back(proof);
        while self
            .kept
            .front()
            .is_some_and(|p| proof.since.since(p.since) > RETENTION)
        {
            self.kept.pop_front();
        }
    }

    /// The newest proof.
    pub fn newest(&self) -> Option<Proof> {
        self.kept.back().copied()
    }

    /// What a read that arrived at `arrived` requires.
    ///
    /// Of the proofs that are young enough, the oldest is used: the more time replicas had to
    /// receive the log, the more of them can serve the read.
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
        let first = self.kept.partition_point(|p| p.since < earliest(age, now));
        self.kept.get(first)
    }

    /// Where the log ended about `age` ago; `None` if nothing is known about that time, as in a
    /// process that has just started.
    pub fn end_before(&self, age: Span, now: Time) -> Option<Point> {
        let proof = self.oldest(age, now)?;
        let is_near = proof.since.since(earliest(age, now)) <= MAX_DISTANCE;
        is_near.then_some(proof.point)
    }
}
