//! When a proxy may report a write as successful to its caller.
//!
//! The platform acknowledges a write once any replica has received it. The coordinator
//! preserves acknowledged writes by checking every replica that it knows before it promotes
//! another primary, but it cannot check a replica that has just started or restarted. Therefore
//! a success is reported only once a replica has confirmed the write on an eligible connection:
//! one that was open at a moment when the store held no intent of a change of primary. The
//! instance was announced by then, so every later change surveys it. If a later change pauses
//! it, a restart, which ends the pause, also closes the connection. The rule depends on neither
//! clocks nor the age of messages, so a proxy process that is suspended cannot miss anything.

use model::id::InstanceId;
use model::position::Point;
use model::unit::{Span, Time};

/// Time for which a replica that did not respond is queried after the others.
const UNRESPONSIVE_FOR: Span = Span::from_millis(1_000);

/// A write to which its primary has responded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The instance that executed it.
    pub primary: InstanceId,
    /// End of the primary's log after the write.
    pub point: Point,
}

impl Write {
    /// Whether a replica whose log ends at `received` holds the write.
    ///
    /// Logs of different terms may have diverged before this write. What the primary itself
    /// holds proves nothing, even after it has become a replica.
    pub fn is_held_by(&self, replica: &InstanceId, received: Point) -> bool {
        let same_log = received.term == self.point.term;
        *replica != self.primary && same_log && received >= self.point
    }
}

/// Connections opened before this time are eligible: at that time no change of primary was
/// recorded.
#[derive(Clone, Copy, Debug, Default)]
pub struct EligibleBefore(Option<Time>);

impl EligibleBefore {
    /// The store was queried at `queried` and held no intent of a change.
    pub fn record_no_change(&mut self, queried: Time) {
        self.0 = self.0.max(Some(queried));
    }

    /// Whether a connection opened at this time is eligible.
    pub fn is_eligible(&self, opened: Time) -> bool {
        self.0.is_some_and(|checked| opened < checked)
    }
}

/// A replica that may be queried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Its id.
    pub id: InstanceId,
    /// Round trip to it.
    pub round_trip: Span,
    /// Whether it is being decommissioned.
    pub leaving: bool,
}

impl Replica {
    /// Whether its confirmation may acknowledge a write.
    ///
    /// The log of a decommissioned replica disappears with it. A write that only this replica
    /// and the primary hold is lost if the replica is removed and a coordinator that never knew
    /// it promotes another instance.
    pub fn may_acknowledge(&self) -> bool {
        !self.leaving
    }
}

/// The replicas in the order in which to query them: responsive ones first, then those that
/// stay in service, then the nearest.
pub fn by_preference(
    mut replicas: Vec<Replica>,
    unresponsive: &Unresponsive,
    now: Time,
) -> Vec<Replica> {
    replicas.sort_by_key(|r| (unresponsive.contains(&r.id, now), r.leaving, r.round_trip));
    replicas
}

/// Replicas that did not respond to a query, with the time of the failure.
#[derive(Debug, Default)]
pub struct Unresponsive(indexmap::IndexMap<InstanceId, Time>);

impl Unresponsive {
    /// A replica did not respond.
    pub fn add(&mut self, id: InstanceId, now: Time) {
        self.0.retain(|_, at| now.since(*at) < UNRESPONSIVE_FOR);
        self.0.insert(id, now);
    }

    /// A replica responded.
    pub fn remove(&mut self, id: &InstanceId) {
        self.0.swap_remove(id);
    }

    fn contains(&self, id: &InstanceId, now: Time) -> bool {
        let at = self.0.get(id);
        at.is_some_and(|at| now.since(*at) < UNRESPONSIVE_FOR)
    }
}

/// Writes that no replica has acknowledged yet; `R` identifies the waiter.
#[derive(Debug)]
pub struct PendingAcks<R>(Vec<(Write, Time, R)>);

impl<R> Default for PendingAcks<R> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<R> PendingAcks<R> {
    /// Whether no write is pending.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds a write, whose caller waits until `deadline`.
    pub fn add(&mut self, write: Write, deadline: Time, waiter: R) {
        self.0.push((write, deadline, waiter));
    }

    /// Removes and returns the writes that this replica is now known to hold.
    pub fn take_held(&mut self, replica: &InstanceId, received: Point) -> Vec<R> {
        let held = |(write, ..): &mut (Write, Time, R)| write.is_held_by(replica, received);
        self.0
            .extract_if(.., held)
            .map(|(.., waiter)| waiter)
            .collect()
    }

    /// Removes and returns the writes whose callers no longer wait.
    pub fn take_expired(&mut self, now: Time) -> Vec<R> {
        let expired = |(_, deadline, _): &mut (Write, Time, R)| *deadline <= now;
        self.0
            .extract_if(.., expired)
            .map(|(.., waiter)| waiter)
            .collect()
    }
}
