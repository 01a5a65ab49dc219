//! Admission to one backend server: the fair queue joined to the slots.
//!
//! A request either starts, waits, or is refused. A refusal is final and is
//! given at the moment at which it is certain; it says when to come back.

use indexmap::IndexMap;
use model::unit::{Span, Time};
use rand::Rng;

use crate::queue::{self, Key, Request};
use crate::service_time::{Length, ServiceTimes};
use crate::slots::{self, Slots};

/// Smallest hint to come back, so that a refused caller cannot spin.
const MIN_RETRY: Span = Span::from_millis(20);

/// Largest hint to come back; beyond it the estimate says little.
const MAX_RETRY: Span = Span::from_millis(5_000);

/// Part of the expected wait that is added to it at the door, as a divisor. Load:
/// twice the capacity; harm without it: requests that were let in are given up late,
/// and only 63 % of the refusals came within 10 ms. With half the wait on top, 92 %
/// did, for 0.2 % of a burst refused needlessly; with all of it, 96 % and 0.6 %.
const CAUTION_DIVISOR: u64 = 2;

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// The expected wait outlives the deadline.
    #[error("the expected wait outlives the deadline")]
    Backlog,
    /// The queue is full and this caller's part of it is the largest.
    #[error("the queue is full")]
    Full,
    /// It could not finish within its deadline any more.
    #[error("the deadline would pass before an answer")]
    Expired,
}

/// A request that was given up before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; retry after {} ms", retry_after.as_millis())]
pub struct Rejection {
    /// Why.
    pub reason: Reason,
    /// When a new attempt is likely to be admitted.
    pub retry_after: Span,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// It holds a slot: send it.
    Start(Key),
    /// Answer it now.
    Reject(Key, Rejection),
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// An answer came; its time is learned from.
    Responded,
    /// It failed or was cancelled; its time says nothing about the server.
    Failed,
}

/// Bounds of an admission.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// This proxy's part of the backend server.
    pub share: slots::Share,
    /// Most requests queued.
    pub queue: u32,
}

#[derive(Clone, Debug)]
struct Running {
    entry: queue::Entry,
    since: Time,
}

/// Admission to one backend server.
///
/// Invariant: `slots` counts exactly the requests in `running`.
#[derive(Clone, Debug)]
pub struct Admission {
    queue: queue::Queue,
    slots: Slots,
    times: ServiceTimes,
    running: IndexMap<Key, Running>,
    most: usize,
    next: u64,
}

impl Admission {
    /// An idle admission.
    pub fn new(limits: Limits) -> Self {
        Self {
            queue: queue::Queue::default(),
            slots: Slots::new(limits.share),
            times: ServiceTimes::default(),
            running: IndexMap::new(),
            most: limits.queue as usize,
            next: 0,
        }
    }

    /// Takes over changed bounds.
    pub fn set_limits(&mut self, limits: Limits, now: Time) -> Vec<Action> {
        self.slots.set_share(limits.share);
        self.most = limits.queue as usize;
        self.start_all(now)
    }

    /// Begins the slow start of a server that came back.
    pub fn server_recovered(&mut self, now: Time) {
        self.slots.server_recovered(now);
    }

    /// Requests waiting.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Work in flight.
    pub fn in_flight(&self) -> u32 {
        self.slots.in_flight()
    }

    /// Work that may be in flight.
    pub fn limit(&self, now: Time) -> u32 {
        self.slots.limit(self.times.median(), now)
    }

    fn fits(&self, request: &Request, now: Time) -> bool {
        let capacity = self.slots.capacity(self.times.median(), now);
        let urgent = request.class_weight >= queue::URGENT_WEIGHT;
        let short = self.times.length(&request.class, request.shape) == Length::Short;
        capacity.any && (capacity.ordinary || urgent) && (capacity.long || short)
    }

    /// The learned service times.
    pub fn service_times(&self) -> &ServiceTimes {
        &self.times
    }

    /// Expected time until a new request of this kind would start.
    pub fn expected_wait(&self, request: &Request, now: Time) -> Span {
        let forecast = self.forecast(request, now);
        let length = self.times.length(&request.class, request.shape);
        let bias = self.queue.bias(request, length);
        Span::from_micros((forecast.as_micros() as f64 * bias) as u64)
    }

    /// What the backlog alone suggests.
    fn forecast(&self, request: &Request, now: Time) -> Span {
        let cost = self.times.expected(&request.class, request.shape);
        if self.queue.is_empty() && self.fits(request, now) {
            return Span::default();
        }
        let ahead = self.queue.ahead_of(request, cost).as_micros();
        let limit = u64::from(self.limit(now));
        Span::from_micros(ahead / limit + self.times.median().as_micros() / limit)
    }

    /// A new request; its key, and what is to be done now.
    pub fn submit(
        &mut self,
        request: Request,
        now: Time,
        rng: &mut impl Rng,
    ) -> (Key, Vec<Action>) {
        let key = Key(self.next);
        self.next += 1;
        let mut actions = self.expire(now, rng);
        if let Some(refused) = self.door(&request, now, rng, &mut actions) {
            actions.push(Action::Reject(key, refused));
            return (key, actions);
        }
        let cost = self.times.expected(&request.class, request.shape);
        let length = self.times.length(&request.class, request.shape);
        let forecast = self.forecast(&request, now);
        self.queue.push(queue::Entry {
            key,
            request,
            cost,
            length,
            since: now,
            forecast,
        });
        actions.extend(self.start_all(now));
        (key, actions)
    }

    /// Refusal at the door.
    ///
    /// Load: arrivals beyond capacity. Harm without it: requests wait for as long
    /// as their callers do and are then thrown away, so the server works on
    /// answers that nobody reads and the caller learns late that it must retry.
    fn door(
        &mut self,
        request: &Request,
        now: Time,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) -> Option<Rejection> {
        let cost = self.times.expected(&request.class, request.shape);
        let wait = self.expected_wait(request, now);
        let left = request.deadline.since(now);
        let caution = wait.as_micros() / CAUTION_DIVISOR;
        let needed = Span::from_micros(wait.as_micros() + caution + cost.as_micros());
        if needed > left {
            let over = needed.as_micros() - left.as_micros();
            return Some(refused(Reason::Backlog, Span::from_micros(over), rng));
        }
        if self.queue.len() >= self.most {
            let Some(pushed) = self.queue.push_out(&request.caller) else {
                return Some(refused(Reason::Full, wait, rng));
            };
            let refusal = refused(Reason::Full, wait, rng);
            actions.push(Action::Reject(pushed.key, refusal));
        }
        None
    }

    /// A started request ended.
    pub fn finished(&mut self, key: Key, end: Completion, now: Time) -> Vec<Action> {
        let Some(run) = self.running.swap_remove(&key) else {
            return Vec::new();
        };
        let entry = run.entry;
        let took = now.since(run.since);
        self.slots.advance(self.times.median(), now);
        self.slots.end(entry.length);
        self.queue.settle(&entry.request, entry.cost, took);
        if end == Completion::Responded {
            let request = &entry.request;
            self.times.record(&request.class, request.shape, took);
        }
        self.start_all(now)
    }

    /// A waiting request's caller went away, or a started one's.
    pub fn cancelled(&mut self, key: Key, now: Time) -> Vec<Action> {
        if self.queue.remove(key).is_some() {
            return Vec::new();
        }
        self.finished(key, Completion::Failed, now)
    }

    /// Gives up what can no longer finish in time, and starts what now may.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = self.expire(now, rng);
        actions.extend(self.start_all(now));
        actions
    }

    /// When [`Admission::tick`] must be called next.
    pub fn next_tick(&self, now: Time) -> Option<Time> {
        if self.queue.is_empty() {
            return None;
        }
        let expiry = self.queue.next_expiry();
        // The request itself may start at its latest start; one step later it is late.
        let expiry = expiry.map(|at| at + Span::from_micros(1));
        let turn = self.slots.next_turn(self.times.median(), now);
        let rise = self.slots.next_rise(now);
        [expiry, turn, rise].into_iter().flatten().min()
    }

    fn expire(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Action> {
        let expired = self.queue.expire(now);
        let limit = u64::from(self.limit(now));
        let drain = Span::from_micros(self.queue.backlog().as_micros() / limit);
        let mut refuse = |e: queue::Entry| {
            let refusal = refused(Reason::Expired, drain, rng);
            Action::Reject(e.key, refusal)
        };
        expired.into_iter().map(&mut refuse).collect()
    }

    fn start_all(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let latency = self.times.median();
        self.slots.advance(latency, now);
        loop {
            let capacity = self.slots.capacity(latency, now);
            let entry = if capacity.any {
                self.queue.pop(capacity, now)
            } else {
                None
            };
            let Some(entry) = entry else {
                return actions;
            };
            self.slots.start(entry.length);
            actions.push(Action::Start(entry.key));
            let run = Running { entry, since: now };
            self.running.insert(run.entry.key, run);
        }
    }
}

/// Adds up to a half to the hint, at random.
///
/// Load: a burst refused within one millisecond; harm: all of it comes back
/// together and is refused again.
fn refused(reason: Reason, base: Span, rng: &mut impl Rng) -> Rejection {
    let base = base.clamp(MIN_RETRY, MAX_RETRY).as_micros();
    let spread = rng.random_range(0..=base / 2);
    Rejection {
        reason,
        retry_after: Span::from_micros(base + spread),
    }
}
