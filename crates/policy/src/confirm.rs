//! Confirmation of writes: a write is confirmed once a majority holds it under one term.

use indexmap::IndexMap;
use model::id::InstanceId;
use model::position::{Point, Position, Term};
use model::unit::Time;

use crate::message::RequestId;
use crate::route::Unconfirmed;
use crate::status::Status;

/// A write that is not held by a majority yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    request: RequestId,
    position: Position,
    deadline: Time,
}

/// Outcome of a confirmation.
pub type Outcome = (RequestId, Result<(), Unconfirmed>);

/// Confirmations of one group under its newest term.
///
/// Invariant: `held` only contains positions of `term`, each proven by a status without a
/// later promise, or by the commit on the primary. A proof never expires: a later fence
/// finds the record in the log.
#[derive(Clone, Debug, Default)]
pub struct Confirmations {
    term: Term,
    held: IndexMap<InstanceId, Position>,
    pending: Vec<Pending>,
}

impl Confirmations {
    /// Switches to a newer term and ends the pending writes of the older one with an unknown
    /// outcome.
    ///
    /// They may have survived the promotion, but they ran on a primary that is now replaced,
    /// and no write on a replaced primary may be acknowledged.
    pub fn start_term(&mut self, term: Term) -> Vec<Outcome> {
        if term <= self.term {
            return Vec::new();
        }
        self.term = term;
        self.held.clear();
        let replaced = std::mem::take(&mut self.pending);
        replaced
            .into_iter()
            .map(|p| (p.request, Err(Unconfirmed::Replaced)))
            .collect()
    }

    /// Adds a write that ran on `primary`; its commit proves that the primary holds it.
    pub fn add(
        &mut self,
        request: RequestId,
        point: Point,
        primary: &InstanceId,
        deadline: Time,
    ) -> Result<(), Unconfirmed> {
        if point.term < self.term {
            return Err(Unconfirmed::Replaced);
        }
        if point.term > self.term {
            return Err(Unconfirmed::OtherTerm);
        }
        self.raise(primary, point.position);
        self.pending.push(Pending {
            request,
            position: point.position,
            deadline,
        });
        Ok(())
    }

    /// Processes a status of an instance.
    pub fn observe(&mut self, instance: &InstanceId, status: &Status) {
        let end = status.end();
        if end.term == self.term && status.holds(end) {
            self.raise(instance, end.position);
        }
    }

    fn raise(&mut self, instance: &InstanceId, position: Position) {
        let held = self.held.entry(instance.clone()).or_default();
        *held = (*held).max(position);
    }

    /// Removes the writes that `majority` instances hold, and those past their deadline, and
    /// returns their outcomes.
    pub fn settle(&mut self, now: Time, majority: usize) -> Vec<Outcome> {
        let safe = self.majority_position(majority);
        let mut out = Vec::new();
        self.pending.retain(|p| {
            let result = if safe.is_some_and(|s| p.position <= s) {
                Ok(())
            } else if now >= p.deadline {
                Err(Unconfirmed::Deadline)
            } else {
                return true;
            };
            out.push((p.request, result));
            false
        });
        out
    }

    /// Last position of the term that a majority holds.
    pub fn majority_position(&self, majority: usize) -> Option<Position> {
        let mut held: Vec<_> = self.held.values().copied().collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        held.get(majority.checked_sub(1)?).copied()
    }

    /// The lowest pending position beyond `after` that `instance` is not known to hold.
    ///
    /// One waiting query covers every commit up to the position that its response reports.
    pub fn next_wait(&self, instance: &InstanceId, after: Position) -> Option<Position> {
        let held = self.held.get(instance).copied().unwrap_or_default();
        let floor = held.max(after);
        let positions = self.pending.iter().map(|p| p.position);
        positions.filter(|p| *p > floor).min()
    }

    /// The earliest deadline of a pending write.
    pub fn next_deadline(&self) -> Option<Time> {
        self.pending.iter().map(|p| p.deadline).min()
    }
}
