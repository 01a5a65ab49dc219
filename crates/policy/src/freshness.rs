//! Proofs of freshness: which point covers everything acknowledged before a moment.

use std::collections::VecDeque;

use indexmap::IndexMap;
use model::id::InstanceId;
use model::position::{Coverage, Point, Term};
use model::unit::{Span, Time};

use crate::status::{Observed, Status};

/// Most proofs kept. With one every 20 ms they reach back over 5 s; older ones are
/// thinned to one every [`SPACING`], so that ages of a minute can still be proven.
const KEPT: usize = 512;

/// Least time between two proofs that are kept.
const SPACING: Span = Span::from_millis(10);

/// Every write acknowledged before `since` lies at or before `point`.
///
/// It holds because a majority was seen after `since` without a promise later than the
/// point's term: until `since` no later primary had a fenced majority, so none had
/// acknowledged a write; and the primary of the term had its end at `point` after `since`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// Moment up to which acknowledged writes are covered.
    pub since: Time,
    /// End of the primary's log.
    pub point: Point,
}

/// Proofs of freshness of one group, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    barriers: VecDeque<Proof>,
}

impl Freshness {
    /// Draws a new proof from the newest observations, if they allow one.
    pub fn observe(
        &mut self,
        term: Term,
        primary: &InstanceId,
        seen: &IndexMap<InstanceId, Observed>,
        majority: usize,
    ) {
        let Some(barrier) = draw(term, primary, seen, majority) else {
            return;
        };
        if self.newest().is_some_and(|b| barrier.since <= b.since) {
            return;
        }
        let len = self.barriers.len();
        let crowded = len >= 2 && barrier.since.since(self.barriers[len - 2].since) < SPACING;
        if crowded {
            self.barriers.pop_back();
        } else if len == KEPT {
            self.barriers.pop_front();
        }
        self.barriers.push_back(barrier);
    }

    /// The newest proof.
    pub fn newest(&self) -> Option<Proof> {
        self.barriers.back().copied()
    }

    /// When the primary is known to have held `point`, at the latest.
    pub fn reached(&self, point: Point) -> Option<Time> {
        let first = self.barriers.partition_point(|b| b.point < point);
        self.barriers.get(first).map(|b| b.since)
    }

    /// How old the data is that readers of an instance with this status see at most.
    pub fn age(&self, now: Time, status: &Status) -> Option<Span> {
        let covered = |b: &&Proof| status.shows(b.point) == Coverage::Held;
        let newest = self.barriers.iter().rev().find(covered)?;
        Some(now.since(newest.since))
    }
}

fn draw(
    term: Term,
    primary: &InstanceId,
    seen: &IndexMap<InstanceId, Observed>,
    majority: usize,
) -> Option<Proof> {
    let lead = seen.get(primary)?;
    if !lead.status.leads() || lead.status.term() != term {
        return None;
    }
    let unfenced = |o: &&Observed| o.status.fenced <= term;
    let mut asked: Vec<_> = seen.values().filter(unfenced).map(|o| o.asked).collect();
    asked.sort_unstable_by(|a, b| b.cmp(a));
    let agreed = *asked.get(majority.checked_sub(1)?)?;
    Some(Proof {
        since: agreed.min(lead.asked),
        point: lead.status.end(),
    })
}
