//! Requests permits for the operations of one customer on this proxy, and spends them.

use std::collections::VecDeque;

use indexmap::IndexMap;
use model::id::ProxyId;
use model::unit::{Span, Time};
use serde::{Deserialize, Serialize};

use super::PERMIT_TTL;
use super::granter::Answer;
use super::silence::SILENT_AFTER;

/// Longest wait of an operation for a permit. Operations over the limit are rejected instead of
/// queueing: a queue would make all of them late.
const MAX_WAIT: Span = Span::from_millis(250);

/// Time for which no operation waits for a permit that is due, after such a permit went to
/// others.
const CONTENTION: Span = Span::from_millis(1_000);

/// Longest time until a permit was due that shows, when it went to others, that more is asked
/// than granted.
const CONTENDED_DUE: Span = Span::from_millis(60);

/// Longest pause after all granters have refused permits that went to others.
const MAX_CONTENTION_PAUSE: Span = Span::from_millis(200);

/// Longest time after which a rejected operation is told to return.
const MAX_RETRY: Span = Span::from_millis(1_000);

/// Longest round trip to granters that are asked one after the other. Farther ones are asked at
/// the same time, so that a rejection takes one round trip.
const NEAR: Span = Span::from_millis(4);

/// Time of demand for which permits are requested in advance.
const AHEAD: Span = Span::from_millis(250);

/// Most permits requested at once.
const MAX_REQUEST: u32 = 64;

/// Time of demand that may use permits of several granters asked for the same operation.
const SURPLUS_USE: Span = Span::from_millis(400);

/// Pause after a granter did not answer.
const UNREACHABLE_PAUSE: Span = Span::from_millis(1_000);

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
    /// When it will have a permit, by its last answer, if it had too few and that is soon.
    due: Option<Time>,
    /// When it answered last that it had too few.
    refused_at: Option<Time>,
    /// Time that its last answer took.
    round_trip: Span,
    /// It answers nobody on this proxy.
    is_silent: bool,
}

impl Source {
    fn is_free(self, now: Time) -> bool {
        self.requested.is_none() && self.not_before <= now && !self.is_silent
    }

    /// Permits that a request under way will bring.
    fn expected(self, now: Time) -> u32 {
        let in_time = self
            .requested
            .filter(|(_, at)| now.since(*at) < SILENT_AFTER);
        in_time.map_or(0, |(count, _)| count)
    }

    /// Whether it has no permit for an operation that waits since a time.
    fn has_refused(self, since: Time, now: Time) -> bool {
        self.not_before > now || self.refused_at.is_some_and(|at| at >= since)
    }
}

/// What has become of the permits of one customer on one proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Permits granted.
    pub granted: u64,
    /// Permits taken by operations.
    pub taken: u64,
    /// Permits given back by operations that were not sent; valid ones are taken again.
    pub given_back: u64,
    /// Permits that expired unused.
    pub expired: u64,
}

impl Counts {
    /// Permits with which operations were sent.
    pub fn spent(self) -> u64 {
        self.taken.saturating_sub(self.given_back)
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
    /// Operations a second that got a permit.
    demand: f64,
    /// Operations a second that were rejected.
    rejected: f64,
    measured_at: Time,
    /// Until when permits that are due are expected to go to others.
    contended_until: Time,
    /// When the operation that was rejected last was told to return.
    next_return: Time,
    counts: Counts,
}

impl<W> Holder<W> {
    /// Holds no permits.
    pub fn new(now: Time) -> Self {
        Self {
            granters: IndexMap::new(),
            batches: VecDeque::new(),
            waiting: VecDeque::new(),
            demand: 0.0,
            rejected: 0.0,
            measured_at: now,
            contended_until: now,
            next_return: now,
            counts: Counts::default(),
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

    /// Sets whether a granter answers nobody on this proxy; it is passed over then.
    pub fn set_silent(&mut self, granter: &ProxyId, is_silent: bool) {
        if let Some(source) = self.granters.get_mut(granter) {
            if source.is_silent && !is_silent {
                source.not_before = Time::default();
            }
            source.is_silent = is_silent;
        }
    }

    /// What has become of the permits.
    pub fn counts(&self) -> Counts {
        self.counts
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
    pub fn known_rejection(&mut self, now: Time) -> Option<QuotaRejection> {
        if self.available(now) > 0 {
            return None;
        }
        let retry_at = self.refused_until(now)?;
        (retry_at >= now + self.due_wait(now)).then(|| self.rejection(retry_at, now))
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
        self.counts.taken += 1;
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
        self.counts.given_back += 1;
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
                source.round_trip = now.since(sent_at);
                let was_due = source.due.is_some_and(|due| due <= sent_at);
                if answer.granted == 0 && was_due {
                    self.contended_until = now + CONTENTION;
                }
                let pause = answer.retry_after.max(MIN_PAUSE);
                let is_short = answer.granted < requested;
                // One that is due later may also go to another operation by chance.
                let is_soon = answer.retry_after <= CONTENDED_DUE;
                source.due = (is_short && is_soon).then_some(now + pause);
                source.refused_at = is_short.then_some(now);
                source.not_before = if is_short { now + pause } else { now };
                let granted = answer.granted.min(requested);
                self.counts.granted += u64::from(granted);
                self.add(granted, sent_at + PERMIT_TTL);
            }
        }
        self.pause_if_contended(now);
        self.step(now)
    }

    /// Admits, requests and rejects what is due.
    pub fn step(&mut self, now: Time) -> Vec<Action<W>> {
        let mut actions = self.admit_waiting(now);
        let requests = self.next_requests(now).into_iter();
        actions.extend(requests.map(|(granter, count)| Action::Request(granter, count)));
        self.reject_hopeless(now, &mut actions);
        actions
    }

    /// When [`Holder::step`] must be called next, after it was called at `now`.
    pub fn next_step(&self, now: Time) -> Option<Time> {
        let first = self.waiting.front()?;
        let heard = self.granters.values().filter(|s| !s.is_silent);
        let due = heard.map(|s| match s.requested {
            Some((_, at)) => at + SILENT_AFTER,
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
        while let Some(batch) = self.batches.pop_front_if(|b| b.until <= now) {
            self.counts.expired += u64::from(batch.count);
        }
    }

    /// Updates the measured demand, an exponential average.
    fn decay_demand(&mut self, now: Time) {
        let window = DEMAND_WINDOW.as_micros() as f64;
        let passed = now.since(self.measured_at).as_micros() as f64;
        let decay = (-passed / window).exp();
        self.demand *= decay;
        self.rejected *= decay;
        self.measured_at = now;
    }

    /// When the first granter is worth asking again, if all that can be reached have refused.
    fn refused_until(&self, now: Time) -> Option<Time> {
        let mut heard = self.granters.values().filter(|s| !s.is_silent).peekable();
        if heard.peek().is_none() {
            return Some(now + UNREACHABLE_RETRY);
        }
        let may_grant = |s: &Source| s.requested.is_some() || s.not_before <= now;
        let soonest = heard.try_fold(None, |soonest: Option<Time>, source| {
            let at = source.not_before;
            (!may_grant(source)).then(|| Some(soonest.map_or(at, |soonest| soonest.min(at))))
        });
        soonest.flatten()
    }

    fn is_contended(&self, now: Time) -> bool {
        now < self.contended_until
    }

    /// How long operations wait for a permit that is due.
    fn due_wait(&self, now: Time) -> Span {
        match self.is_contended(now) {
            true => Span::from_millis(0),
            false => MAX_WAIT,
        }
    }

    /// Whether all granters that answer have refused an operation that waits since a time.
    fn is_refused(&self, since: Time, now: Time) -> bool {
        let mut heard = self.granters.values().filter(|s| !s.is_silent);
        heard.all(|s| s.has_refused(since, now))
    }

    /// Leaves the next permits to others when all granters have refused: for half the time after
    /// which this proxy had one on average.
    fn pause_if_contended(&mut self, now: Time) {
        let waits_since = self.waiting.front().map(|first| first.since);
        let Some(since) = waits_since.filter(|_| self.is_contended(now)) else {
            return;
        };
        if !self.is_refused(since, now) {
            return;
        }
        let pause = Span::from_micros((5e5 / self.demand.max(1.0)) as u64);
        self.contended_until = now + CONTENTION;
        let until = now + pause.min(MAX_CONTENTION_PAUSE);
        for source in self.granters.values_mut() {
            source.not_before = source.not_before.max(until);
        }
    }

    /// A rejection when a permit is due at `due`. Operations that are rejected one after the other
    /// return one after the other, at the rate of the permits.
    fn rejection(&mut self, due: Time, now: Time) -> QuotaRejection {
        self.decay_demand(now);
        self.rejected += 1.0 / (DEMAND_WINDOW.as_micros() as f64 / 1e6);
        let at = self.next_return.max(due);
        let latest = now + MAX_RETRY.max(due.since(now));
        let interval = 1e6 / self.demand.max(1.0);
        self.next_return = at.min(latest) + Span::from_micros(interval as u64);
        QuotaRejection {
            retry_after: at.min(latest).since(now),
        }
    }

    /// The next requests, if permits are needed: for the waiting operations, and in advance
    /// where the permits will be used before they expire.
    fn next_requests(&mut self, now: Time) -> Vec<(ProxyId, u32)> {
        self.decay_demand(now);
        let available = self.available(now);
        let ahead = (self.demand * AHEAD.as_micros() as f64 / 1e6) as u32;
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        if waiting == 0 && available >= ahead.div_ceil(2) {
            return Vec::new();
        }
        let heard = || self.granters.values().filter(|s| !s.is_silent);
        let under_way: u32 = heard().map(|s| s.expected(now)).sum();
        let needed = waiting.saturating_add(ahead);
        let count = needed
            .saturating_sub(available + under_way)
            .min(MAX_REQUEST);
        let is_far = heard().any(|s| s.is_free(now) && s.round_trip > NEAR);
        let in_parallel = waiting > 0 && is_far && self.is_contended(now);
        let free = self.granters.iter_mut().filter(|(_, s)| s.is_free(now));
        // More permits than are used while they are valid would be lost.
        let used = (self.demand + self.rejected) * SURPLUS_USE.as_micros() as f64 / 1e6;
        let most = if in_parallel {
            1 + used.ceil() as usize
        } else {
            1
        };
        let free: Vec<_> = free.take(most).collect();
        if count == 0 || free.is_empty() {
            return Vec::new();
        }
        let each = count.div_ceil(u32::try_from(free.len()).unwrap_or(u32::MAX));
        let request = |(granter, source): (&ProxyId, &mut Source)| {
            source.requested = Some((each, now));
            (granter.clone(), each)
        };
        free.into_iter().map(request).collect()
    }

    /// Rejects operations that have waited for too long, and all of them if no granter has a
    /// permit soon.
    fn reject_hopeless(&mut self, now: Time, actions: &mut Vec<Action<W>>) {
        let soonest = self.refused_until(now);
        while let Some(first) = self.waiting.front() {
            let is_late = now >= first.since + MAX_WAIT;
            let due_end = first.since + self.due_wait(now);
            let is_refused = self.is_contended(now) && self.is_refused(first.since, now);
            if !is_late && !is_refused && soonest.is_none_or(|at| at < due_end) {
                break;
            }
            if let Some(first) = self.waiting.pop_front() {
                let due = soonest.unwrap_or(now + UNREACHABLE_RETRY);
                actions.push(Action::Reject(first.waiter, self.rejection(due, now)));
            }
        }
    }
}
