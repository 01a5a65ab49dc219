//! Requests that wait for a route. None of them has run.
//!
//! Load: when a primary fails, every writer of the fleet waits for the next one. They wait
//! here, within their deadlines and up to the setting `queue`, and run once it leads;
//! more would only fill memory and then the new primary. Where no change of primary can
//! come about, a request is refused at once with the time to come back.

use model::id::InstanceId;
use model::position::Point;
use model::unit::{Span, Time};

use super::Group;
use crate::failure_detector::{PROBE_AFTER, Verdict};
use crate::message::{Action, RequestId};
use crate::read::{Choice, Pick};
use crate::route::{Failure, ReadNeed, Refusal, Target};
use crate::status::Role;

/// Longest time that a request waits for a primary or a fresh instance. The slowest
/// change of primary aimed at takes 3 s; after that nothing says when the next will come.
const MAX_WAIT: Span = Span::from_millis(3_000);

/// Time after the start in which the instances may still be unknown.
const STARTUP_PERIOD: Span = Span::from_millis(1_000);

/// Silence after which an instance counts as out of reach. It is longer than a stall.
const UNREACHABLE_AFTER: Span = Span::from_millis(1_000);

/// When to try again after a refusal: most changes of primary are over within it.
const RETRY: Span = Span::from_millis(1_000);

#[derive(Clone, Copy, Debug)]
enum Access {
    Write(Option<Point>),
    Read(ReadNeed),
}

/// A request without a route so far.
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
            let result = Err(Refusal::Crowded { retry: RETRY });
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

    fn route(&self, waiting: &Waiting) -> Option<Result<Target, Refusal>> {
        let result = match waiting.access {
            Access::Write(point) => self.route_write(point),
            Access::Read(need) => self.route_read(need, waiting.arrived),
        };
        let waited = self.now.since(waiting.arrived);
        let expired = self.now >= waiting.deadline || waited >= MAX_WAIT;
        match (result, waiting.access) {
            (None, Access::Write(_)) if expired => Some(Err(Refusal::NoPrimary { retry: RETRY })),
            (None, Access::Read(_)) if expired => Some(Err(Refusal::NoneFresh { retry: RETRY })),
            (result, _) => result,
        }
    }

    /// A proxy that knows only an older term than the session's waits for news: under the
    /// older term the session would not see its own writes.
    fn route_write(&self, point: Option<Point>) -> Option<Result<Target, Refusal>> {
        if self.lacks_majority() {
            return Some(Err(Refusal::NoMajority { retry: RETRY }));
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

    /// The primary, unless it is in doubt, or something has promised a later term.
    fn usable_primary(&self) -> Option<&InstanceId> {
        let primary = self.leadership.primary.as_ref()?;
        let reach = self.reachability.get(primary).copied().unwrap_or_default();
        let responds = reach.unresponsive_for(self.now) < PROBE_AFTER;
        let forwarded = matches!(self.verdict, Verdict::Forward(_));
        (self.deposed_since.is_none() && (responds || forwarded)).then_some(primary)
    }

    /// Whether most instances have been out of reach for so long that no write could be
    /// confirmed and no promotion could succeed.
    fn lacks_majority(&self) -> bool {
        if self.now.since(self.started) < STARTUP_PERIOD {
            return false;
        }
        let unreachable = |id| {
            let reach = self.reachability.get(id).copied().unwrap_or_default();
            reach.last_response.is_none() || reach.unresponsive_for(self.now) >= UNREACHABLE_AFTER
        };
        let unreachable = self
            .spec
            .members
            .keys()
            .filter(|id| unreachable(*id))
            .count();
        self.spec.members.len() - unreachable < self.spec.majority()
    }

    fn route_read(&self, need: ReadNeed, arrived: Time) -> Option<Result<Target, Refusal>> {
        // An instance that does not answer holds up a read for longer than any queue.
        let responds = |id: &InstanceId| {
            let reach = self.reachability.get(id).copied().unwrap_or_default();
            reach.unresponsive_for(self.now) < PROBE_AFTER
        };
        let seen = self
            .observations
            .iter()
            .filter(|(id, _)| responds(id))
            .collect();
        let choice = Choice {
            now: self.now,
            arrived,
            need,
            here: &self.local_proxy.location,
            spec: &self.spec,
            term: self.leadership.term,
            primary: self
                .leadership
                .primary
                .as_ref()
                .filter(|_| self.deposed_since.is_none()),
            seen,
            loads: &self.loads,
            fresh: &self.freshness,
        };
        match choice.pick() {
            Pick::Go(instance, point) => self.target(&instance, point).map(Ok),
            Pick::Forked(point) => Some(Err(Refusal::Forked { point })),
            // In a data centre that is cut off no fresher state will arrive for now.
            Pick::Wait if self.lacks_majority() => Some(Err(Refusal::NoneFresh { retry: RETRY })),
            Pick::Wait => None,
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

    /// Arrival of the newest read that waits for proof, if any: instances are asked at
    /// once, and one round of questions serves every read that arrived before it.
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
            // The next step asks every instance at once instead of after the interval.
            self.polls.values_mut().for_each(crate::poll::Poll::hurry);
        }
    }
}
