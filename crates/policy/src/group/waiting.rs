//! Requests that wait for a route. None of them has run yet.
//!
//! When a primary fails, all writers of the fleet wait for the next one. Requests are
//! queued here until their deadlines, at most as many as the setting `queue` allows, and
//! are routed once a primary leads. More queued requests would fill the memory and then
//! overload the new primary. When no change of primary is possible, a request is rejected
//! at once with a time to retry.

use model::id::InstanceId;
use model::position::Point;
use model::unit::{Span, Time};

use super::Group;
use crate::failure_detector::{PROBE_AFTER, Verdict};
use crate::message::{Action, RequestId};
use crate::read::{Selection, Selector};
use crate::route::{Failure, ReadNeed, RouteError, Target};
use crate::status::Role;

/// Longest time that a request waits for a primary or a fresh instance. A change of primary
/// is meant to take 3 s at most; beyond that its end is unpredictable.
const MAX_WAIT: Span = Span::from_millis(3_000);

/// Time after the start during which the instances may not have responded yet, and a
/// majority never counts as unreachable.
const STARTUP_PERIOD: Span = Span::from_millis(1_000);

/// Time without a response after which an instance counts as unreachable. It is longer than
/// a stall.
const UNREACHABLE_AFTER: Span = Span::from_millis(1_000);

/// Delay that a rejection suggests before a retry; most changes of primary are shorter.
const RETRY: Span = Span::from_millis(1_000);

#[derive(Clone, Copy, Debug)]
enum Access {
    Write(Option<Point>),
    Read(ReadNeed),
}

/// A request that has no route yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    request: RequestId,
    access: Access,
    arrived: Time,
    deadline: Time,
}

impl Waiting {
    pub(super) fn write(
        request: RequestId,
        point: Option<Point>,
        now: Time,
        deadline: Time,
    ) -> Self {
        Self {
            request,
            access: Access::Write(point),
            arrived: now,
            deadline,
        }
    }

    pub(super) fn read(request: RequestId, need: ReadNeed, now: Time, deadline: Time) -> Self {
        Self {
            request,
            access: Access::Read(need),
            arrived: now,
            deadline,
        }
    }
}

impl Group {
    pub(super) fn enqueue(&mut self, waiting: Waiting) {
        self.last_request = Some(self.now);
        if self.waiting.len() >= self.spec.settings.queue as usize {
            let result = Err(RouteError::QueueFull { retry: RETRY });
            let request = waiting.request;
            self.actions.push(Action::Routed { request, result });
            return;
        }
        self.waiting.push(waiting);
    }

    pub(super) fn route_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            match self.route(&waiting) {
                None => self.waiting.push(waiting),
                Some(result) => {
                    if let Ok(target) = &result {
                        let load = self.loads.entry(target.instance.clone()).or_default();
                        load.outstanding += 1;
                    }
                    let request = waiting.request;
                    self.actions.push(Action::Routed { request, result });
                }
            }
        }
    }

    fn route(&self, waiting: &Waiting) -> Option<Result<Target, RouteError>> {
        let result = match waiting.access {
            Access::Write(point) => self.route_write(point),
            Access::Read(need) => self.route_read(need, waiting.arrived),
        };
        let waited = self.now.since(waiting.arrived);
        let expired = self.now >= waiting.deadline || waited >= MAX_WAIT;
        match (result, waiting.access) {
            (None, Access::Write(_)) if expired => {
                Some(Err(RouteError::NoPrimary { retry: RETRY }))
            }
            (None, Access::Read(_)) if expired => Some(Err(RouteError::NotFresh { retry: RETRY })),
            (result, _) => result,
        }
    }

    /// Routes a write. While the session's term is newer than the known primary's, the write
    /// waits: under the older term the session would not see its own writes.
    fn route_write(&self, point: Option<Point>) -> Option<Result<Target, RouteError>> {
        if self.lacks_majority() {
            return Some(Err(RouteError::NoMajority { retry: RETRY }));
        }
        if point.is_some_and(|p| p.term > self.leadership.term) {
            return None;
        }
        let primary = self.usable_primary()?;
        let via = match &self.verdict {
            Verdict::Forward(peer) => Some(peer.clone()),
            _ => None,
        };
        let mut target = self.target(primary, point.unwrap_or_default())?;
        target.via = via;
        Some(Ok(target))
    }

    /// The primary, unless it is unresponsive and no peer reaches it, or a later term was
    /// promised.
    fn usable_primary(&self) -> Option<&InstanceId> {
        let primary = self.leadership.primary.as_ref()?;
        let reachability = self.reachability.get(primary).copied().unwrap_or_default();
        let responds = reachability.unresponsive_for(self.now) < PROBE_AFTER;
        let forwarded = matches!(self.verdict, Verdict::Forward(_));
        (self.deposed_since.is_none() && (responds || forwarded)).then_some(primary)
    }

    /// Whether so many instances are unreachable that no write can be confirmed and no
    /// promotion can succeed.
    fn lacks_majority(&self) -> bool {
        if self.now.since(self.started) < STARTUP_PERIOD {
            return false;
        }
        let unreachable = |id| {
            let reachability = self.reachability.get(id).copied().unwrap_or_default();
            reachability.last_response.is_none()
                || reachability.unresponsive_for(self.now) >= UNREACHABLE_AFTER
        };
        let unreachable = self
            .spec
            .members
            .keys()
            .filter(|id| unreachable(*id))
            .count();
        self.spec.members.len() - unreachable < self.spec.majority()
    }

    fn route_read(&self, need: ReadNeed, arrived: Time) -> Option<Result<Target, RouteError>> {
        // A read on an unresponsive instance would take longer than any queue.
        let responds = |id: &InstanceId| {
            let reachability = self.reachability.get(id).copied().unwrap_or_default();
            reachability.unresponsive_for(self.now) < PROBE_AFTER
        };
        let seen = self
            .observations
            .iter()
            .filter(|(id, _)| responds(id))
            .collect();
        let choice = Selector {
            now: self.now,
            arrived,
            need,
            location: &self.local_proxy.location,
            spec: &self.spec,
            term: self.leadership.term,
            primary: self
                .leadership
                .primary
                .as_ref()
                .filter(|_| self.deposed_since.is_none()),
            seen,
            loads: &self.loads,
            freshness: &self.freshness,
        };
        match choice.select() {
            Selection::Run(instance, point) => self.target(&instance, point).map(Ok),
            Selection::Forked(point) => Some(Err(RouteError::Forked { point })),
            // A partitioned data centre receives no fresher state for now.
            Selection::Wait if self.lacks_majority() => {
                Some(Err(RouteError::NotFresh { retry: RETRY }))
            }
            Selection::Wait => None,
        }
    }

    fn target(&self, instance: &InstanceId, point: Point) -> Option<Target> {
        let member = self.spec.members.get(instance)?;
        let leads = self.leadership.primary.as_ref() == Some(instance);
        Some(Target {
            instance: instance.clone(),
            address: member.address,
            location: member.location.clone(),
            role: if leads { Role::Primary } else { Role::Replica },
            term: self.leadership.term,
            via: None,
            point,
        })
    }

    /// Arrival of the newest request that needs a later observation, if any. Instances are
    /// then queried at once; one round of queries serves all requests that arrived before it.
    pub(super) fn unproven_since(&self) -> Option<Time> {
        let unproven = |w: &&Waiting| match w.access {
            Access::Write(point) => point.is_some_and(|p| p.term > self.leadership.term),
            Access::Read(_) => true,
        };
        let waiting = self.waiting.iter().filter(unproven);
        waiting.map(|w| w.arrived).max()
    }

    pub(super) fn handle_failure(&mut self, instance: &InstanceId, failure: Failure) {
        self.loads.entry(instance.clone()).or_default().release();
        let refused = matches!(
            failure,
            Failure::Refused | Failure::Broken | Failure::ReadOnly
        );
        if refused {
            // The next step queries every instance at once instead of after the interval.
            self.polls
                .values_mut()
                .for_each(crate::poll::Poll::make_due);
        }
    }
}
