//! Freshness proofs: which point covers every write acknowledged before a given time.

use std::collections::VecDeque;

use indexmap::IndexMap;
use model::id::InstanceId;
use model::position::{Coverage, Point, Term};
use model::unit::{Span, Time};

use crate::status::{Observation, Status};

/// Maximum number of proofs kept. With one every 20 ms they reach back over 5 s; older ones
/// are thinned to one every [`MIN_SPACING`], so that ages of a minute can still be proven.
const MAX_PROOFS: usize = 512;

/// Minimum time between two proofs that are kept.
const MIN_SPACING: Span = Span::from_millis(10);

/// Proof that every write acknowledged before `since` lies at or before `point`.
///
/// It holds because a majority reported after `since` that it had promised no term later
/// than that of `point`. So until `since` no later primary had a fenced majority, and none
/// had acknowledged a write. The log of the term's primary ended at `point` after `since`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// Time up to which acknowledged writes are covered.
    pub since: Time,
    /// End of the primary's log.
    pub point: Point,
}

/// Freshness proofs of one group, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    proofs: VecDeque<Proof>,
}

impl Freshness {
    /// Derives a new proof from the newest observations, if they allow one.
    pub fn observe(
        &mut self,
        term: Term,
        primary: &InstanceId,
        seen: &IndexMap<InstanceId, Observation>,
        majority: usize,
    ) {
        let Some(proof) = derive(term, primary, seen, majority) else {
            return;
        };
        if self.newest().is_some_and(|p| proof.since <= p.since) {
            return;
        }
        let len = self.proofs.len();
        let crowded = len >= 2 && proof.since.since(self.proofs[len - 2].since) < MIN_SPACING;
        if crowded {
            self.proofs.pop_back();
        } else if len == MAX_PROOFS {
            self.proofs.pop_front();
        }
        self.proofs.push_back(proof);
    }

    /// The newest proof.
    pub fn newest(&self) -> Option<Proof> {
        self.proofs.back().copied()
    }

    /// Time of the oldest proof that covers `point`: an estimate of when the primary held it.
    pub fn reached(&self, point: Point) -> Option<Time> {
        let first = self.proofs.partition_point(|p| p.point < point);
        self.proofs.get(first).map(|p| p.since)
    }

    /// Maximum age of the data that reads on an instance with this status see.
    pub fn age(&self, now: Time, status: &Status) -> Option<Span> {
        let covered = |p: &&Proof| status.shows(p.point) == Coverage::Held;
        let newest = self.proofs.iter().rev().find(covered)?;
        Some(now.since(newest.since))
    }
}

fn derive(
    term: Term,
    primary: &InstanceId,
    seen: &IndexMap<InstanceId, Observation>,
    majority: usize,
) -> Option<Proof> {
    let leader = seen.get(primary)?;
    if !leader.status.leads() || leader.status.term() != term {
        return None;
    }
    let unfenced = |o: &&Observation| o.status.fenced <= term;
    let mut asked: Vec<_> = seen
        .values()
        .filter(unfenced)
        .map(|o| o.queried_at)
        .collect();
    asked.sort_unstable_by(|a, b| b.cmp(a));
    let quorum_asked = *asked.get(majority.checked_sub(1)?)?;
    Some(Proof {
        since: quorum_asked.min(leader.queried_at),
        point: leader.status.end(),
    })
}
