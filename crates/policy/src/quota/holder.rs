//! Requests permits for the operations of one customer on this proxy, and spends them.

use std::collections::VecDeque;

use indexmap::IndexMap;
use model::id::ProxyId;
use model::unit::{Span, Time};
use serde::{Deserialize, Serialize};

use super::PERMIT_TTL;
use super::granter::Answer;

/// Longest wait of an operation for a permit. Operations over the limit are rejected instead
/// of queueing: a queue would make all of them late.
const MAX_WAIT: Span = Span::from_millis(250);

/// Time of demand for which permits are requested in advance.
const AHEAD: Span = Span::from_millis(250);

/// Most permits requested at once.
const MAX_REQUEST: u32 = 64;

/// Pause after a granter did not answer.
const UNREACHABLE_PAUSE: Span = Span::from_millis(1_000);

/// Time after which a request is not relied on, and the same permits are requested from another
/// granter: a round trip between regions, with one or two late timers.
const OVERDUE_AFTER: Span = Span::from_millis(60);

/// Shortest pause before a granter that had too few permits is asked again.
const MIN_PAUSE: Span = Span::from_millis(20);

/// Time constant of the measured demand.
const DEMAND_WINDOW: Span = Span::from_millis(1_000);

/// Retry hint if no granter answered.
const UNREACHABLE_RETRY: Span = Span::from_millis(500);

/// A permit for one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    until: Time,
}

impl Permit {
    /// Whether the operation may be sent now.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.until
    }
}

/// No permit was available; the operation did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("the customer's rate limit leaves no room now; retry after {} ms", retry_after.as_millis())]
pub struct QuotaRejection {
    /// When a retry is likely to be served.
    pub retry_after: Span,
}

/// What the owner of a holder must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<W> {
    /// Admit the operation.
    Admit(W, Permit),
    /// Reject the operation.
    Reject(W, QuotaRejection),
    /// Request so many permits from a granter; pass the result to [`Holder::answered`].
    Request(ProxyId, u32),
}

/// Permits that expire together.
#[derive(Clone, Copy, Debug)]
struct Batch {
    count: u32,
    until: Time,
}

/// What is known of a granter.
#[derive(Clone, Copy, Debug, Default)]
struct Source {
    /// Number of permits requested, and when; `None` if no request is under way.
    requested: Option<(u32, Time)>,
    /// No request is sent before this time.
    not_before: Time,
}

impl Source {
    fn is_free(self, now: Time) -> bool {
        self.requested.is_none() && self.not_before <= now
    }
}

struct Waiter<W> {
    waiter: W,
    since: Time,
}

/// The permits of one customer on one proxy. `W` identifies a waiting operation.
pub struct Holder<W> {
    /// The customer's granters, the nearest one first.
    granters: IndexMap<ProxyId, Source>,
    /// Permits by expiry, the earliest first.
    batches: VecDeque<Batch>,
    waiting: VecDeque<Waiter<W>>,
    /// Operations a second.
    demand: f64,
    measured_at: Time,
}

impl<W> Holder<W> {
    /// Holds no permits.
    pub fn new(now: Time) -> Self {
        Self {
            granters: IndexMap::new(),
            batches: VecDeque::new(),
            waiting: VecDeque::new(),
            demand: 0.0,
            measured_at: now,
        }
    }

    /// Sets the customer's granters, the nearest one first. Permits of former granters stay
    /// valid.
    pub fn set_granters(&mut self, granters: Vec<ProxyId>) {
        let known = std::mem::take(&mut self.granters);
        let source = |id: ProxyId| {
            let source = known.get(&id).copied().unwrap_or_default();
            (id, source)
        };
        self.granters = granters.into_iter().map(source).collect();
    }

    /// Permits at hand.
    pub fn available(&self, now: Time) -> u32 {
        let valid = self.batches.iter().filter(|b| now < b.until);
        valid.map(|b| b.count).sum()
    }

    /// Operations that wait for a permit.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Why an operation that arrives now would be rejected, if that is known already: no permit
    /// is at hand, and all granters have refused.
    pub fn known_rejection(&self, now: Time) -> Option<QuotaRejection> {
        if self.available(now) > 0 {
            return None;
        }
        let retry_at = self.refused_until(now)?;
        (retry_at >= now + MAX_WAIT).then(|| QuotaRejection {
            retry_after: retry_at.since(now),
        })
    }

    /// Requests a permit for an operation.
    pub fn request(&mut self, waiter: W, now: Time) -> Vec<Action<W>> {
        self.waiting.push_back(Waiter { waiter, since: now });
        self.step(now)
    }

    /// Requests a permit for an operation that holds a connection: before all that wait without
    /// one.
    pub fn request_first(&mut self, waiter: W, now: Time) -> Vec<Action<W>> {
        let since = self.waiting.front().map_or(now, |first| first.since);
        self.waiting.push_front(Waiter { waiter, since });
        self.step(now)
    }

    /// Takes a permit if one is at hand.
    pub fn try_take(&mut self, now: Time) -> Option<Permit> {
        self.expire(now);
        let batch = self.batches.front_mut()?;
        // Operations whose permits are given back do not count as demand: while instances
        // stall, permits requested in advance would expire.
        let window = DEMAND_WINDOW.as_micros() as f64 / 1e6;
        self.demand += 1.0 / window;
        batch.count -= 1;
        let permit = Permit { until: batch.until };
        if batch.count == 0 {
            self.batches.pop_front();
        }
        Some(permit)
    }

    /// Returns a permit whose operation was not sent, for those that wait for one.
    pub fn give_back(&mut self, permit: Permit, now: Time) -> Vec<Action<W>> {
        let window = DEMAND_WINDOW.as_micros() as f64 / 1e6;
        self.demand = (self.demand - 1.0 / window).max(0.0);
        self.add(1, permit.until);
        self.admit_waiting(now)
    }

    /// Handles a granter's answer; `None` if it did not answer.
    pub fn answered(
        &mut self,
        granter: &ProxyId,
        answer: Option<Answer>,
        now: Time,
    ) -> Vec<Action<W>> {
        let Some(source) = self.granters.get_mut(granter) else {
            return Vec::new();
        };
        let Some((requested, sent_at)) = source.requested.take() else {
            return Vec::new();
        };
        match answer {
            None => source.not_before = now + UNREACHABLE_PAUSE,
            Some(answer) => {
                if answer.granted < requested {
                    source.not_before = now + answer.retry_after.max(MIN_PAUSE);
                }
                self.add(answer.granted.min(requested), sent_at + PERMIT_TTL);
            }
        }
        self.step(now)
    }

    /// Admits, requests and rejects what is due.
    pub fn step(&mut self, now: Time) -> Vec<Action<W>> {
        let mut actions = self.admit_waiting(now);
        if let Some((granter, count)) = self.next_request(now) {
            actions.push(Action::Request(granter, count));
        }
        self.reject_hopeless(now, &mut actions);
        actions
    }

    /// When [`Holder::step`] must be called next, after it was called at `now`.
    pub fn next_step(&self, now: Time) -> Option<Time> {
        let first = self.waiting.front()?;
        let due = self.granters.values().map(|s| match s.requested {
            Some((_, at)) => at + OVERDUE_AFTER,
            None => s.not_before,
        });
        let due = due.filter(|at| *at > now);
        due.chain([first.since + MAX_WAIT]).min()
    }

    fn admit_waiting(&mut self, now: Time) -> Vec<Action<W>> {
        let mut actions = Vec::new();
        while !self.waiting.is_empty() {
            let Some(permit) = self.try_take(now) else {
                break;
            };
            if let Some(first) = self.waiting.pop_front() {
                actions.push(Action::Admit(first.waiter, permit));
            }
        }
        actions
    }

    fn add(&mut self, count: u32, until: Time) {
        if count > 0 {
            let at = self.batches.partition_point(|b| b.until <= until);
            self.batches.insert(at, Batch { count, until });
        }
    }

    fn expire(&mut self, now: Time) {
        while self.batches.front().is_some_and(|b| b.until <= now) {
            self.batches.pop_front();
        }
    }

    /// Updates the measured demand, an exponential average.
    fn decay_demand(&mut self, now: Time) {
        let window = DEMAND_WINDOW.as_micros() as f64;
        let passed = now.since(self.measured_at).as_micros() as f64;
        self.demand *= (-passed / window).exp();
        self.measured_at = now;
    }

    /// When the first granter is worth asking again, if all of them have refused.
    fn refused_until(&self, now: Time) -> Option<Time> {
        let may_grant = |s: &Source| s.requested.is_some() || s.not_before <= now;
        if self.granters.values().any(may_grant) {
            return None;
        }
        self.granters.values().map(|s| s.not_before).min()
    }

    /// The next request, if permits are needed: for the waiting operations, and in advance
    /// where the permits will be used before they expire.
    fn next_request(&mut self, now: Time) -> Option<(ProxyId, u32)> {
        self.decay_demand(now);
        let available = self.available(now);
        let ahead = (self.demand * AHEAD.as_micros() as f64 / 1e6) as u32;
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        if waiting == 0 && available >= ahead.div_ceil(2) {
            return None;
        }
        let under_way = self.granters.values().filter_map(|s| s.requested);
        let in_time = under_way.filter(|(_, at)| now.since(*at) < OVERDUE_AFTER);
        let under_way: u32 = in_time.map(|(count, _)| count).sum();
        let needed = waiting.saturating_add(ahead);
        let count = needed
            .saturating_sub(available + under_way)
            .min(MAX_REQUEST);
        if count == 0 {
            return None;
        }
        let (granter, source) = self.granters.iter_mut().find(|(_, s)| s.is_free(now))?;
        source.requested = Some((count, now));
        Some((granter.clone(), count))
    }

    /// Rejects operations that have waited for too long, and all of them if no granter has a
    /// permit soon.
    fn reject_hopeless(&mut self, now: Time, actions: &mut Vec<Action<W>>) {
        let soonest = self.refused_until(now);
        let retry_after = soonest.map_or(UNREACHABLE_RETRY, |at| at.since(now));
        while let Some(first) = self.waiting.front() {
            let end = first.since + MAX_WAIT;
            let hopeless = self.granters.is_empty() || soonest.is_some_and(|at| at >= end);
            if now < end && !hopeless {
                break;
            }
            if let Some(first) = self.waiting.pop_front() {
                actions.push(Action::Reject(first.waiter, QuotaRejection { retry_after }));
            }
        }
    }
}
