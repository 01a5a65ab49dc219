//! When the success of a write may be told to its caller.
//!
//! The platform answers a write once any replica has received it. The coordinator makes
//! writes safe by accounting for every replica that it knows before it names another
//! primary, and so cannot account for one that just started or restarted. Therefore a
//! success is told only once a replica has been seen to hold the write on a connection that
//! counts: it was open at a moment at which the store held no note of a change of primary.
//! The instance was announced by then, so that every later change looks at it; and if a
//! later change stops it from receiving, a restart, which ends the stop, ends the connection
//! as well. No clock and no age of a message matters, so a paused process cannot miss
//! anything.

use model::id::InstanceId;
use model::position::Point;
use model::unit::{Span, Time};

/// Time for which a replica that did not answer is asked after the others.
const SILENT_FOR: Span = Span::from_millis(1_000);

/// A write that its primary has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The instance that ran it.
    pub primary: InstanceId,
    /// End of that instance's log after it.
    pub point: Point,
}

impl Write {
    /// Whether it is held by a replica whose log ends at `received`.
    ///
    /// Logs of different terms may have parted before this write. What the primary itself
    /// holds proves nothing, also once it has become a replica.
    pub fn is_held_by(&self, replica: &InstanceId, received: Point) -> bool {
        let same_log = received.term == self.point.term;
        *replica != self.primary && same_log && received >= self.point
    }
}

/// Connections that count: those opened before a moment without a change of primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct EligibleBefore(Option<Time>);

impl EligibleBefore {
    /// The store was asked at `asked` and held no note of a change.
    pub fn record_no_change(&mut self, asked: Time) {
        self.0 = self.0.max(Some(asked));
    }

    /// Whether a connection opened at this time counts.
    pub fn is_eligible(&self, opened: Time) -> bool {
        self.0.is_some_and(|checked| opened < checked)
    }
}

/// A replica that may be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Which one.
    pub id: InstanceId,
    /// Round trip to it.
    pub round_trip: Span,
    /// Whether it is being taken out of service.
    pub leaving: bool,
}

impl Replica {
    /// Whether its word may prove a write.
    ///
    /// The log of a replica that leaves goes with it. A write that only it and the primary
    /// hold is lost when it has gone and a coordinator that never knew it names another.
    pub fn may_acknowledge(&self) -> bool {
        !self.leaving
    }
}

/// The replicas in the order in which they are asked: those that answer first, then those
/// that stay, then the nearest.
pub fn by_preference(mut replicas: Vec<Replica>, silent: &Unresponsive, now: Time) -> Vec<Replica> {
    replicas.sort_by_key(|r| (silent.contains(&r.id, now), r.leaving, r.round_trip));
    replicas
}

/// Replicas that left a question unanswered.
#[derive(Debug, Default)]
pub struct Unresponsive(indexmap::IndexMap<InstanceId, Time>);

impl Unresponsive {
    /// One did not answer.
    pub fn add(&mut self, id: InstanceId, now: Time) {
        self.0.retain(|_, at| now.since(*at) < SILENT_FOR);
        self.0.insert(id, now);
    }

    /// One answered.
    pub fn remove(&mut self, id: &InstanceId) {
        self.0.swap_remove(id);
    }

    fn contains(&self, id: &InstanceId, now: Time) -> bool {
        let at = self.0.get(id);
        at.is_some_and(|at| now.since(*at) < SILENT_FOR)
    }
}

/// Writes without a proof; `R` stands for who waits.
#[derive(Debug)]
pub struct PendingAcks<R>(Vec<(Write, Time, R)>);

impl<R> Default for PendingAcks<R> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<R> PendingAcks<R> {
    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds a write, whose caller waits until `give_up`.
    pub fn add(&mut self, write: Write, give_up: Time, who: R) {
        self.0.push((write, give_up, who));
    }

    /// Takes out the writes that this replica is now known to hold.
    pub fn take_held(&mut self, replica: &InstanceId, received: Point) -> Vec<R> {
        let held = |(write, ..): &mut (Write, Time, R)| write.is_held_by(replica, received);
        self.0.extract_if(.., held).map(|(.., who)| who).collect()
    }

    /// Takes out those whose callers wait no longer.
    pub fn take_expired(&mut self, now: Time) -> Vec<R> {
        let over = |(_, give_up, _): &mut (Write, Time, R)| *give_up <= now;
        self.0.extract_if(.., over).map(|(.., who)| who).collect()
    }
}
