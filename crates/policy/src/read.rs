//! Choice of the instance that serves a read.
//!
//! Load: nine reads of ten are lookups, a primary has three slots which writes need, and
//! bytes between regions are paid for and share a narrow link. So a replica that is
//! proven fresh goes first, the nearest and least loaded one of them, and the primary
//! serves what no replica may answer yet.

use indexmap::IndexMap;
use model::id::InstanceId;
use model::location::{Distance, Location};
use model::position::{Coverage, Point, Term};
use model::unit::{Span, Time};

use crate::freshness::Freshness;
use crate::route::ReadNeed;
use crate::spec::{Member, Spec};
use crate::status::{Observed, Role};

/// Weight of the newest latency in the moving average, as a divisor.
const SMOOTHING: u64 = 8;

/// Cost added to the primary, in microseconds: one write's time in its slots (some 5 ms),
/// which a read there delays, so that replicas queue up to that much before it is used.
const PRIMARY_COST: u64 = 5_000;

/// Cost added to a far region, in microseconds. One answer of 1 KB takes 0.3 ms of the
/// 30 Mbit/s link that all traffic shares, and is paid for; 50 ms keep reads within the
/// region until its instances are more than ten statements behind.
const FAR_COST: u64 = 50_000;

/// How an instance serves this proxy's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Requests routed to it that have not ended.
    pub outstanding: u32,
    /// Moving average of a request's time, in microseconds.
    latency: Option<u64>,
}

impl Load {
    /// Takes in a request that ended.
    pub fn finish(&mut self, took: Span) {
        self.outstanding = self.outstanding.saturating_sub(1);
        let us = took.as_micros();
        let old = self.latency.unwrap_or(us);
        self.latency = Some((old * (SMOOTHING - 1) + us) / SMOOTHING);
    }

    /// Takes in a request that failed, or did not go there after all.
    pub fn release(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }
}

/// Choice for one read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selection {
    /// Run it here; the answer covers the point.
    Run(InstanceId, Point),
    /// No instance is fresh enough yet.
    Wait,
    /// A promotion discarded the session's point.
    Forked(Point),
}

/// What a choice rests on.
pub struct Selector<'a> {
    /// The present.
    pub now: Time,
    /// When the read arrived.
    pub arrived: Time,
    /// What it must see.
    pub need: ReadNeed,
    /// Where this proxy runs.
    pub here: &'a Location,
    /// The group.
    pub spec: &'a Spec,
    /// Newest term with a known primary.
    pub term: Term,
    /// The primary, unless it is in doubt.
    pub primary: Option<&'a InstanceId>,
    /// Newest observation of each instance that answers.
    pub seen: IndexMap<&'a InstanceId, &'a Observed>,
    /// Loads of the instances.
    pub loads: &'a IndexMap<InstanceId, Load>,
    /// Proofs of freshness.
    pub fresh: &'a Freshness,
}

impl Selector<'_> {
    /// Chooses.
    pub fn select(&self) -> Selection {
        if let Some(point) = self.forked() {
            return Selection::Forked(point);
        }
        let mut best: Option<(u64, &InstanceId, Point)> = None;
        for (id, member) in &self.spec.members {
            let Some(point) = self.covered(id, member) else {
                continue;
            };
            let cost = self.cost(id, member);
            if best.is_none_or(|(c, ..)| cost < c) {
                best = Some((cost, id, point));
            }
        }
        match best {
            Some((_, id, _)) if self.is_dear(id) && self.worth_waiting() => Selection::Wait,
            Some((_, id, point)) => Selection::Run(id.clone(), point),
            None => Selection::Wait,
        }
    }

    /// Only the newest primary's log tells that a point is gone: an older log may merely
    /// not have the record yet, or still hold what was discarded.
    fn forked(&self) -> Option<Point> {
        let point = self.need.point?;
        let newest = |o: &&&Observed| o.status.term() == self.term && o.status.fenced <= self.term;
        let mut newest = self.seen.values().filter(newest);
        let gone = newest.any(|o| o.status.shows(point) == Coverage::Forked);
        gone.then_some(point)
    }

    /// The point that an answer of the instance is certain to cover, if it will do.
    fn covered(&self, id: &InstanceId, member: &Member) -> Option<Point> {
        let leads = self.primary == Some(id);
        let seen = self.seen.get(id)?;
        // An instance that believes to lead but does not may hold records that were never
        // acknowledged and will be discarded.
        let usurper = seen.status.role == Role::Primary && !leads;
        if usurper || (member.leaving && !leads) {
            return None;
        }
        let known = self.need.point.unwrap_or_default();
        if !self.shows(id, seen, known) {
            return None;
        }
        match (self.need.max_age, self.need.point) {
            (None, Some(point)) => Some(point),
            (Some(age), _) if self.young(seen, age) => Some(known),
            _ => self.barrier(seen).map(|b| b.max(known)),
        }
    }

    /// The primary always shows its own term's commits, also those after its last status.
    fn shows(&self, id: &InstanceId, seen: &Observed, point: Point) -> bool {
        let own = self.primary == Some(id) && point.term == self.term;
        own || seen.status.shows(point) == Coverage::Held
    }

    fn young(&self, seen: &Observed, age: Span) -> bool {
        let shown = self.fresh.age(self.now, &seen.status);
        shown.is_some_and(|a| a <= age)
    }

    /// Without a point the read must see all that was acknowledged before it arrived: a
    /// majority must have been seen since then without a later promise.
    fn barrier(&self, seen: &Observed) -> Option<Point> {
        let newest = self.fresh.newest()?;
        let proven = newest.since >= self.arrived;
        let shown = seen.status.shows(newest.point) == Coverage::Held;
        (proven && shown).then_some(newest.point)
    }

    /// Expected time until the answer, in microseconds, with the prices of the primary's
    /// slots and of the link between regions.
    fn cost(&self, id: &InstanceId, member: &Member) -> u64 {
        let load = self.loads.get(id).copied().unwrap_or_default();
        let (assumed, price) = match self.here.distance(&member.location) {
            Distance::SameDataCentre => (1_000, 0),
            Distance::SameRegion => (3_000, 0),
            Distance::OtherRegion => (42_000, FAR_COST),
        };
        let latency = load.latency.unwrap_or(assumed);
        let slots = u64::from(self.spec.settings.slots.max(1));
        let queued = latency * u64::from(load.outstanding) / slots;
        let primary = if self.primary == Some(id) {
            PRIMARY_COST
        } else {
            0
        };
        latency + queued + price + primary
    }

    /// Whether the instance serves reads at a price: the primary, or one in a far region.
    fn is_dear(&self, id: &InstanceId) -> bool {
        let far = |m: &Member| self.here.distance(&m.location) == Distance::OtherRegion;
        self.primary == Some(id) || self.spec.members.get(id).is_some_and(far)
    }

    /// Whether a near replica is expected to catch up before the read has waited for as
    /// long as the setting `read_wait` allows.
    ///
    /// Load: sessions that read what they wrote a moment ago; harm: without the wait each
    /// of these reads takes a slot of the primary or crosses regions, although a replica
    /// would have had the answer a few milliseconds later.
    fn worth_waiting(&self) -> bool {
        let until = self.arrived + self.spec.settings.read_wait;
        let members = self.spec.members.iter();
        let near = members.filter(|(id, m)| !m.leaving && !self.is_dear(id));
        let mut expected = near.filter_map(|(id, _)| self.expected(id));
        self.now < until && expected.any(|at| at <= until)
    }

    /// When a replica is expected to hold what the read must see: as long after it was
    /// written as the replica was behind when it was last seen.
    fn expected(&self, id: &InstanceId) -> Option<Time> {
        let seen = self.seen.get(id)?;
        let lag = self.fresh.age(seen.asked, &seen.status)?;
        if self.need.max_age.is_some_and(|age| lag > age) {
            return None;
        }
        let written = match self.need.point {
            Some(point) => self.fresh.reached(point).unwrap_or(self.arrived),
            None => self.arrived,
        };
        Some(written + lag)
    }
}
