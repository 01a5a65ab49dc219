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
use crate::failure_detector::{DOUBT_AFTER, Verdict};
use crate::message::{Action, Ticket};
use crate::read::{Selection, Selector};
use crate::route::{Failure, ReadNeed, RouteError, Target};
use crate::status::Role;

/// Longest time that a request waits for a primary or a fresh instance. The slowest
/// change of primary aimed at takes 3 s; after that nothing says when the next will come.
const LONGEST: Span = Span::from_millis(3_000);

/// Time after the start in which the instances may still be unknown.
const STARTING: Span = Span::from_millis(1_000);

/// Silence after which an instance counts as out of reach. It is longer than a stall.
const OUT_OF_REACH: Span = Span::from_millis(1_000);

/// When to try again after a refusal: most changes of primary are over within it.
const RETRY: Span = Span::from_millis(1_000);

#[derive(Clone, Copy, Debug)]
enum Want {
    Write(Option<Point>),
    Read(ReadNeed),
}

/// A request without a route so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    ticket: Ticket,
    want: Want,
    arrived: Time,
    deadline: Time,
}

impl Waiting {
    pub(super) fn write(ticket: Ticket, point: Option<Point>, now: Time, deadline: Time) -> Self {
        Self {
            ticket,
            want: Want::Write(point),
            arrived: now,
            deadline,
        }
    }

    pub(super) fn read(ticket: Ticket, need: ReadNeed, now: Time, deadline: Time) -> Self {
        Self {
            ticket,
            want: Want::Read(need),
            arrived: now,
            deadline,
        }
    }
}

impl Group {
    pub(super) fn enqueue(&mut self, waiting: Waiting) {
        self.used = Some(self.now);
        if self.waiting.len() >= self.spec.settings.queue as usize {
            let result = Err(RouteError::QueueFull { retry: RETRY });
            let ticket = waiting.ticket;
            self.out.push(Action::Routed { ticket, result });
            return;
        }
        self.waiting.push(waiting);
    }

    pub(super) fn serve_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            match self.serve(&waiting) {
                None => self.waiting.push(waiting),
                Some(result) => {
                    if let Ok(target) = &result {
                        let load = self.loads.entry(target.instance.clone()).or_default();
                        load.outstanding += 1;
                    }
                    let ticket = waiting.ticket;
                    self.out.push(Action::Routed { ticket, result });
                }
            }
        }
    }

    fn serve(&self, waiting: &Waiting) -> Option<Result<Target, RouteError>> {
        let served = match waiting.want {
            Want::Write(point) => self.serve_write(point),
            Want::Read(need) => self.serve_read(need, waiting.arrived),
        };
        let waited = self.now.since(waiting.arrived);
        let over = self.now >= waiting.deadline || waited >= LONGEST;
        match (served, waiting.want) {
            (None, Want::Write(_)) if over => Some(Err(RouteError::NoPrimary { retry: RETRY })),
            (None, Want::Read(_)) if over => Some(Err(RouteError::NotFresh { retry: RETRY })),
            (served, _) => served,
        }
    }

    /// A proxy that knows only an older term than the session's waits for news: under the
    /// older term the session would not see its own writes.
    fn serve_write(&self, point: Option<Point>) -> Option<Result<Target, RouteError>> {
        if self.hopeless() {
            return Some(Err(RouteError::NoMajority { retry: RETRY }));
        }
        if point.is_some_and(|p| p.term > self.lead.term) {
            return None;
        }
        let primary = self.serving()?;
        let via = match &self.verdict {
            Verdict::Forward(peer) => Some(peer.clone()),
            _ => None,
        };
        let mut target = self.target(primary, point.unwrap_or_default())?;
        target.via = via;
        Some(Ok(target))
    }

    /// The primary, unless it is in doubt, or something has promised a later term.
    fn serving(&self) -> Option<&InstanceId> {
        let primary = self.lead.primary.as_ref()?;
        let reach = self.reach.get(primary).copied().unwrap_or_default();
        let answers = reach.silent(self.now) < DOUBT_AFTER;
        let forward = matches!(self.verdict, Verdict::Forward(_));
        (self.deposed.is_none() && (answers || forward)).then_some(primary)
    }

    /// Whether most instances have been out of reach for so long that no write could be
    /// confirmed and no promotion could succeed.
    fn hopeless(&self) -> bool {
        if self.now.since(self.started) < STARTING {
            return false;
        }
        let lost = |id| {
            let reach = self.reach.get(id).copied().unwrap_or_default();
            reach.answered.is_none() || reach.silent(self.now) >= OUT_OF_REACH
        };
        let lost = self.spec.members.keys().filter(|id| lost(*id)).count();
        self.spec.members.len() - lost < self.spec.majority()
    }

    fn serve_read(&self, need: ReadNeed, arrived: Time) -> Option<Result<Target, RouteError>> {
        // An instance that does not answer holds up a read for longer than any queue.
        let answers = |id: &InstanceId| {
            let reach = self.reach.get(id).copied().unwrap_or_default();
            reach.silent(self.now) < DOUBT_AFTER
        };
        let seen = self.seen.iter().filter(|(id, _)| answers(id)).collect();
        let choice = Selector {
            now: self.now,
            arrived,
            need,
            location: &self.me.location,
            spec: &self.spec,
            term: self.lead.term,
            primary: self
                .lead
                .primary
                .as_ref()
                .filter(|_| self.deposed.is_none()),
            seen,
            loads: &self.loads,
            freshness: &self.fresh,
        };
        match choice.select() {
            Selection::Run(instance, point) => self.target(&instance, point).map(Ok),
            Selection::Forked(point) => Some(Err(RouteError::Forked { point })),
            // In a data centre that is cut off no fresher state will arrive for now.
            Selection::Wait if self.hopeless() => Some(Err(RouteError::NotFresh { retry: RETRY })),
            Selection::Wait => None,
        }
    }

    fn target(&self, instance: &InstanceId, point: Point) -> Option<Target> {
        let member = self.spec.members.get(instance)?;
        let leads = self.lead.primary.as_ref() == Some(instance);
        Some(Target {
            instance: instance.clone(),
            address: member.address,
            location: member.location.clone(),
            role: if leads { Role::Primary } else { Role::Replica },
            term: self.lead.term,
            via: None,
            point,
        })
    }

    /// Arrival of the newest read that waits for proof, if any: instances are asked at
    /// once, and one round of questions serves every read that arrived before it.
    pub(super) fn wants_news(&self) -> Option<Time> {
        let unproven = |w: &&Waiting| match w.want {
            Want::Write(point) => point.is_some_and(|p| p.term > self.lead.term),
            Want::Read(_) => true,
        };
        let waiting = self.waiting.iter().filter(unproven);
        waiting.map(|w| w.arrived).max()
    }

    pub(super) fn take_failed(&mut self, instance: &InstanceId, failure: Failure) {
        self.loads.entry(instance.clone()).or_default().release();
        let refused = matches!(
            failure,
            Failure::Refused | Failure::Broken | Failure::ReadOnly
        );
        if refused {
            // The next step asks every instance at once instead of after the interval.
            self.polls
                .values_mut()
                .for_each(crate::poll::Poll::make_due);
        }
    }
}
