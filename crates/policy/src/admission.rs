//! Admission control for one backend server: joins the fair queue with the limit on work in
//! flight.
//!
//! A request starts, waits, or is rejected. A rejection is final and is sent as soon as it is
//! certain; it says when to retry.

use indexmap::IndexMap;
use model::unit::{Span, Time};
use rand::Rng;

use crate::queue::{self, Key, Request};
use crate::service_time::{Length, ServiceTimes};
use crate::slots::{self, Slots};

/// Minimum retry hint, so that a rejected caller cannot retry in a tight loop.
const MIN_RETRY: Span = Span::from_millis(20);

/// Maximum retry hint; beyond it the estimate is meaningless.
const MAX_RETRY: Span = Span::from_millis(5_000);

/// Safety margin added to the expected wait of an arriving request, as a divisor of that wait.
/// Without it, at twice the capacity, requests are queued and rejected late: only 63 % of the
/// rejections came within 10 ms. With half the wait added, 92 % did, and 0.2 % of a burst was
/// rejected needlessly; with all of it, 96 % and 0.6 %.
const MARGIN_DIVISOR: u64 = 2;

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// The expected wait exceeds the deadline.
    #[error("the expected wait outlives the deadline")]
    Backlog,
    /// The queue is full, and this caller has the largest part of it.
    #[error("the queue is full")]
    Full,
    /// It can no longer finish within its deadline.
    #[error("the deadline would pass before an answer")]
    Expired,
}

/// A rejection; the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}; retry after {} ms", retry_after.as_millis())]
pub struct Rejection {
    /// Why.
    pub reason: Reason,
    /// When a retry is likely to be admitted.
    pub retry_after: Span,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// It has a slot: send it.
    Start(Key),
    /// Reject it now.
    Reject(Key, Rejection),
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// A response arrived; the service time is learned from it.
    Responded,
    /// It failed or was cancelled; its duration is not learned from.
    Failed,
}

/// Limits of an [`Admission`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// This proxy's share of the backend server.
    pub share: slots::Share,
    /// Maximum number of queued requests.
    pub queue: u32,
}

#[derive(Clone, Debug)]
struct Running {
    entry: queue::Entry,
    since: Time,
}

/// Admission control for one backend server.
///
/// Invariant: `slots` counts exactly the requests in `running`.
#[derive(Clone, Debug)]
pub struct Admission {
    queue: queue::Queue,
    slots: Slots,
    service_times: ServiceTimes,
    running: IndexMap<Key, Running>,
    max_queued: usize,
    next_key: u64,
}

impl Admission {
    /// Creates an admission without requests.
    pub fn new(limits: Limits) -> Self {
        Self {
            queue: queue::Queue::default(),
            slots: Slots::new(limits.share),
            service_times: ServiceTimes::default(),
            running: IndexMap::new(),
            max_queued: limits.queue as usize,
            next_key: 0,
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Limits, now: Time) -> Vec<Action> {
        self.slots.set_share(limits.share);
        self.max_queued = limits.queue as usize;
        self.start_ready(now)
    }

    /// Starts the slow start of a server that recovered.
    pub fn server_recovered(&mut self, now: Time) {
        self.slots.server_recovered(now);
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.slots.in_flight()
    }

    /// Number of requests that may be in flight.
    pub fn limit(&self, now: Time) -> u32 {
        self.slots.limit(self.service_times.median(), now)
    }

    fn fits(&self, request: &Request, now: Time) -> bool {
        let capacity = self.slots.capacity(self.service_times.median(), now);
        let urgent = request.class_weight >= queue::URGENT_WEIGHT;
        let short = self.service_times.length(&request.class, request.shape) == Length::Short;
        capacity.any && (capacity.ordinary || urgent) && (capacity.long || short)
    }

    /// The learned service times.
    pub fn service_times(&self) -> &ServiceTimes {
        &self.service_times
    }

    /// Expected time until a new request of this kind would start.
    pub fn expected_wait(&self, request: &Request, now: Time) -> Span {
        let forecast = self.forecast(request, now);
        let length = self.service_times.length(&request.class, request.shape);
        let bias = self.queue.bias(request, length);
        Span::from_micros((forecast.as_micros() as f64 * bias) as u64)
    }

    /// The wait as forecast from the backlog, not yet corrected by the bias.
    fn forecast(&self, request: &Request, now: Time) -> Span {
        let cost = self.service_times.expected(&request.class, request.shape);
        if self.queue.is_empty() && self.fits(request, now) {
            return Span::default();
        }
        let ahead = self.queue.work_ahead_of(request, cost).as_micros();
        let limit = u64::from(self.limit(now));
        Span::from_micros(ahead / limit + self.service_times.median().as_micros() / limit)
    }

    /// Submits a new request; returns its key and what to do now.
    pub fn submit(
        &mut self,
        request: Request,
        now: Time,
        rng: &mut impl Rng,
    ) -> (Key, Vec<Action>) {
        let key = Key(self.next_key);
        self.next_key += 1;
        let mut actions = self.expire(now, rng);
        if let Some(rejection) = self.check_arrival(&request, now, rng, &mut actions) {
            actions.push(Action::Reject(key, rejection));
            return (key, actions);
        }
        let cost = self.service_times.expected(&request.class, request.shape);
        let length = self.service_times.length(&request.class, request.shape);
        let forecast = self.forecast(&request, now);
        self.queue.push(queue::Entry {
            key,
            request,
            cost,
            length,
            since: now,
            forecast,
        });
        actions.extend(self.start_ready(now));
        (key, actions)
    }

    /// Decides whether an arriving request must be rejected.
    ///
    /// When arrivals exceed the capacity, requests would otherwise wait until their callers
    /// time out and then be dropped: the server works on responses that nobody reads, and
    /// callers learn late that they must retry.
    fn check_arrival(
        &mut self,
        request: &Request,
        now: Time,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) -> Option<Rejection> {
        let cost = self.service_times.expected(&request.class, request.shape);
        let wait = self.expected_wait(request, now);
        let left = request.deadline.since(now);
        let margin = wait.as_micros() / MARGIN_DIVISOR;
        let needed = Span::from_micros(wait.as_micros() + margin + cost.as_micros());
        if needed > left {
            let over = needed.as_micros() - left.as_micros();
            return Some(rejection(Reason::Backlog, Span::from_micros(over), rng));
        }
        if self.queue.len() >= self.max_queued {
            let Some(evicted) = self.queue.evict_for(&request.caller) else {
                return Some(rejection(Reason::Full, wait, rng));
            };
            let rejection = rejection(Reason::Full, wait, rng);
            actions.push(Action::Reject(evicted.key, rejection));
        }
        None
    }

    /// Handles the end of a started request.
    pub fn finished(&mut self, key: Key, completion: Completion, now: Time) -> Vec<Action> {
        let Some(run) = self.running.swap_remove(&key) else {
            return Vec::new();
        };
        let entry = run.entry;
        let elapsed = now.since(run.since);
        self.slots.advance(self.service_times.median(), now);
        self.slots.end(entry.length);
        self.queue
            .adjust_charge(&entry.request, entry.cost, elapsed);
        if completion == Completion::Responded {
            let request = &entry.request;
            self.service_times
                .record(&request.class, request.shape, elapsed);
        }
        self.start_ready(now)
    }

    /// Removes a queued or started request whose caller went away.
    pub fn cancelled(&mut self, key: Key, now: Time) -> Vec<Action> {
        if self.queue.remove(key).is_some() {
            return Vec::new();
        }
        self.finished(key, Completion::Failed, now)
    }

    /// Rejects requests that can no longer finish in time, and starts those that may start now.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = self.expire(now, rng);
        actions.extend(self.start_ready(now));
        actions
    }

    /// When [`Admission::tick`] must be called next.
    pub fn next_tick(&self, now: Time) -> Option<Time> {
        if self.queue.is_empty() {
            return None;
        }
        let expiry = self.queue.next_expiry();
        // A request may still start exactly at its latest start; one microsecond later it is
        // late.
        let expiry = expiry.map(|at| at + Span::from_micros(1));
        let resume = self.slots.next_resume(self.service_times.median(), now);
        let rise = self.slots.next_limit_rise(now);
        [expiry, resume, rise].into_iter().flatten().min()
    }

    fn expire(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Action> {
        let expired = self.queue.expire(now);
        let limit = u64::from(self.limit(now));
        let drain = Span::from_micros(self.queue.backlog().as_micros() / limit);
        let mut reject = |e: queue::Entry| {
            let rejection = rejection(Reason::Expired, drain, rng);
            Action::Reject(e.key, rejection)
        };
        expired.into_iter().map(&mut reject).collect()
    }

    fn start_ready(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let latency = self.service_times.median();
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

/// Creates a rejection, with up to half of the retry hint added at random.
///
/// Without it, a burst rejected within one millisecond would be retried together and rejected
/// again.
fn rejection(reason: Reason, base: Span, rng: &mut impl Rng) -> Rejection {
    let base = base.clamp(MIN_RETRY, MAX_RETRY).as_micros();
    let spread = rng.random_range(0..=base / 2);
    Rejection {
        reason,
        retry_after: Span::from_micros(base + spread),
    }
}
