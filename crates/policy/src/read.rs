//! Selection of the instance that serves a read.
//!
//! Nine reads of ten are lookups, a primary has three slots which writes need, and traffic
//! between regions costs money and shares a narrow link. So the nearest and least loaded
//! replica that is proven fresh serves the read, and the primary mainly serves reads for
//! which no replica is fresh enough yet.

use indexmap::IndexMap;
use model::id::InstanceId;
use model::location::{Distance, Location};
use model::position::{Coverage, Point, Term};
use model::unit::{Span, Time};

use crate::freshness::Freshness;
use crate::route::ReadNeed;
use crate::spec::{Member, Spec};
use crate::status::{Observation, Role};

/// Inverse of the weight of the newest latency in the moving average.
const SMOOTHING: u64 = 8;

/// Cost added to the primary, in microseconds: the time that a write occupies one of its
/// slots (about 5 ms), since a read there delays writes. Reads queue on replicas for up to
/// that long before the primary is used.
const PRIMARY_COST: u64 = 5_000;

/// Cost added to another region, in microseconds. A response of 1 KB takes 0.3 ms of the
/// 30 Mbit/s link that all traffic shares, and is billed. 50 ms keep reads within the
/// region until its instances have more than ten statements queued.
const OTHER_REGION_COST: u64 = 50_000;

/// Load of an instance by this proxy's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Requests routed to it that have not finished.
    pub outstanding: u32,
    /// Moving average of the request latency, in microseconds.
    latency: Option<u64>,
}

impl Load {
    /// Records a finished request and its latency.
    pub fn finish(&mut self, took: Span) {
        self.outstanding = self.outstanding.saturating_sub(1);
        let us = took.as_micros();
        let old = self.latency.unwrap_or(us);
        self.latency = Some((old * (SMOOTHING - 1) + us) / SMOOTHING);
    }

    /// Removes a request that failed or was not sent to the instance after all.
    pub fn release(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }
}

/// Result of the selection for one read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selection {
    /// Run it on this instance; the response covers the point.
    Run(InstanceId, Point),
    /// No instance is fresh enough yet.
    Wait,
    /// A promotion discarded the session's point.
    Forked(Point),
}

/// Selects the instance for one read.
pub struct Selector<'a> {
    /// Current time.
    pub now: Time,
    /// When the read arrived.
    pub arrived: Time,
    /// Data that it must see.
    pub need: ReadNeed,
    /// Location of this proxy.
    pub location: &'a Location,
    /// Specification of the group.
    pub spec: &'a Spec,
    /// Newest term with a known primary.
    pub term: Term,
    /// The primary, unless it is known to be deposed.
    pub primary: Option<&'a InstanceId>,
    /// Newest observation of each instance that responds.
    pub seen: IndexMap<&'a InstanceId, &'a Observation>,
    /// Loads of the instances.
    pub loads: &'a IndexMap<InstanceId, Load>,
    /// Freshness proofs.
    pub freshness: &'a Freshness,
}

impl Selector<'_> {
    /// Selects the cheapest instance that is fresh enough, or waits for one.
    pub fn select(&self) -> Selection {
        if let Some(point) = self.forked() {
            return Selection::Forked(point);
        }
        let mut best: Option<(u64, &InstanceId, Point)> = None;
        for (id, member) in &self.spec.members {
            let Some(point) = self.covered_point(id, member) else {
                continue;
            };
            let cost = self.cost(id, member);
            if best.is_none_or(|(c, ..)| cost < c) {
                best = Some((cost, id, point));
            }
        }
        match best {
            Some((_, id, _)) if self.is_costly(id) && self.worth_waiting() => Selection::Wait,
            Some((_, id, point)) => Selection::Run(id.clone(), point),
            None => Selection::Wait,
        }
    }

    /// The session's point, if a promotion discarded it.
    ///
    /// Only the log of the newest primary shows this: an older log may not have received
    /// the record yet, or may still hold a discarded one.
    fn forked(&self) -> Option<Point> {
        let point = self.need.point?;
        let newest =
            |o: &&&Observation| o.status.term() == self.term && o.status.fenced <= self.term;
        let mut newest = self.seen.values().filter(newest);
        let discarded = newest.any(|o| o.status.shows(point) == Coverage::Forked);
        discarded.then_some(point)
    }

    /// The point that a response of the instance is certain to cover; `None` if the
    /// instance is not fresh enough.
    fn covered_point(&self, id: &InstanceId, member: &Member) -> Option<Point> {
        let leads = self.primary == Some(id);
        let seen = self.seen.get(id)?;
        // A deposed primary that still reports the role may hold records that were never
        // acknowledged and will be discarded.
        let deposed = seen.status.role == Role::Primary && !leads;
        if deposed || (member.leaving && !leads) {
            return None;
        }
        let known = self.need.point.unwrap_or_default();
        if !self.shows(id, seen, known) {
            return None;
        }
        match (self.need.max_age, self.need.point) {
            (None, Some(point)) => Some(point),
            (Some(age), _) if self.within_age(seen, age) => Some(known),
            _ => self.fresh_point(seen).map(|p| p.max(known)),
        }
    }

    /// Whether reads on the instance see `point`. Reads on the primary see all commits of
    /// its own term, also those after its last status.
    fn shows(&self, id: &InstanceId, seen: &Observation, point: Point) -> bool {
        let own_term = self.primary == Some(id) && point.term == self.term;
        own_term || seen.status.shows(point) == Coverage::Held
    }

    /// Whether the data that reads on the instance see is at most `age` old.
    fn within_age(&self, seen: &Observation, age: Span) -> bool {
        let bound = self.freshness.age(self.now, &seen.status);
        bound.is_some_and(|a| a <= age)
    }

    /// The newest proven point, if it covers every write acknowledged before the read
    /// arrived and reads on the instance see it. A read without a session point needs this:
    /// a majority must have reported since its arrival without promising a later term.
    fn fresh_point(&self, seen: &Observation) -> Option<Point> {
        let newest = self.freshness.newest()?;
        let proven = newest.since >= self.arrived;
        let shown = seen.status.shows(newest.point) == Coverage::Held;
        (proven && shown).then_some(newest.point)
    }

    /// Expected latency in microseconds, plus the surcharges for the primary and for the
    /// link between regions.
    fn cost(&self, id: &InstanceId, member: &Member) -> u64 {
        let load = self.loads.get(id).copied().unwrap_or_default();
        let (assumed, surcharge) = match self.location.distance(&member.location) {
            Distance::SameDataCentre => (1_000, 0),
            Distance::SameRegion => (3_000, 0),
            Distance::OtherRegion => (42_000, OTHER_REGION_COST),
        };
        let latency = load.latency.unwrap_or(assumed);
        let slots = u64::from(self.spec.settings.slots.max(1));
        let queued = latency * u64::from(load.outstanding) / slots;
        let primary = if self.primary == Some(id) {
            PRIMARY_COST
        } else {
            0
        };
        latency + queued + surcharge + primary
    }

    /// Whether a read on the instance has a surcharge: the primary, or one in another region.
    fn is_costly(&self, id: &InstanceId) -> bool {
        let other_region =
            |m: &Member| self.location.distance(&m.location) == Distance::OtherRegion;
        self.primary == Some(id) || self.spec.members.get(id).is_some_and(other_region)
    }

    /// Whether a nearby replica is expected to catch up before the read has waited for as
    /// long as the setting `read_wait` allows.
    ///
    /// Sessions often read what they have just written. Without the wait, each of these
    /// reads takes a slot of the primary or crosses regions, although a replica has the
    /// data a few milliseconds later.
    fn worth_waiting(&self) -> bool {
        let deadline = self.arrived + self.spec.settings.read_wait;
        let members = self.spec.members.iter();
        let near = members.filter(|(id, m)| !m.leaving && !self.is_costly(id));
        let mut expected = near.filter_map(|(id, _)| self.catch_up_time(id));
        self.now < deadline && expected.any(|at| at <= deadline)
    }

    /// When a replica is expected to hold what the read must see: the time at which it was
    /// written plus the lag of the replica in its last observation.
    fn catch_up_time(&self, id: &InstanceId) -> Option<Time> {
        let seen = self.seen.get(id)?;
        let lag = self.freshness.age(seen.queried_at, &seen.status)?;
        if self.need.max_age.is_some_and(|age| lag > age) {
            return None;
        }
        let written = match self.need.point {
            Some(point) => self.freshness.reached(point).unwrap_or(self.arrived),
            None => self.arrived,
        };
        Some(written + lag)
    }
}
