//! Which waiting requests are rejected, and when their callers should retry.

use std::ops;

use model::route::Guarantee;
use model::unit::{Span, Time};

use super::forecast::Wait;
use super::queue::{Lane, Pending};
use super::{Action, ConnRequest, Kind, Pool, Reason, Rejection};

/// Minimum retry hint, so that rejected callers do not retry in a tight loop.
const MIN_RETRY: Span = Span::from_millis(50);

/// Retry hint while no primary is known: a change of primary takes about this long.
const FAILOVER_RETRY: Span = Span::from_millis(1_000);

/// Maximum number of statements waiting for one group. Under a burst of several times the
/// capacity, an unlimited queue would make every statement wait and reject it late. With 3
/// instances of 3 slots each and 20 ms per statement, this many statements wait for about a
/// second.
const MAX_WAITING: usize = 400;

/// A request is rejected because of others that will arrive and go ahead of it only once it has
/// waited for this part of its objective, as a divisor: a short burst may be over by then.
const JUDGED_AFTER: u64 = 8;

/// A request that has waited for longer than this part of its objective, as a divisor, gains
/// little by a rejection before its deadline.
const EARLY: u64 = 4;

/// It is then rejected only if its forecast wait exceeds the time left by this factor.
const CERTAIN: u64 = 2;

enum Verdict {
    Waits,
    /// It will miss its objective, but may be served before its deadline.
    Late,
    /// It will not be served before its deadline.
    Hopeless,
}

/// Counts of what happened to waiting requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueStats {
    /// Rejected because they could not be served before their deadline.
    pub hopeless: u64,
    /// Rejected at their deadline.
    pub expired: u64,
    /// Put behind the others of their class because they could not meet their objective.
    pub late: u64,
    /// Served ahead of their class because they had been passed over too often.
    pub advanced: u64,
}

impl ops::AddAssign for QueueStats {
    fn add_assign(&mut self, other: Self) {
        self.hopeless += other.hopeless;
        self.expired += other.expired;
        self.late += other.late;
        self.advanced += other.advanced;
    }
}

impl<C, W> Pool<C, W> {
    /// Counts of what happened to waiting requests.
    pub fn queue_stats(&self) -> QueueStats {
        QueueStats {
            late: self.queue.late(),
            advanced: self.queue.advanced(),
            ..self.stats
        }
    }

    /// Whether a new request is rejected because too many wait. With customers it takes the
    /// place of the one that would be served last.
    pub(super) fn is_full(&self) -> bool {
        !self.queue.is_fair() && self.queue.len() >= MAX_WAITING
    }

    pub(super) fn record_granted(&mut self, lane: Option<Lane>, now: Time) {
        let Some(lane) = lane else { return };
        let waiting = self.queue.iter().filter(|w| w.lane == Some(lane)).count();
        self.forecasts[lane.index()].granted(waiting, now);
    }

    pub(super) fn reject_expired(&mut self, now: Time) -> Vec<Action<C, W>> {
        let mut actions = Vec::new();
        let mut at = 0;
        while at < self.queue.len() {
            if self.queue[at].request.deadline > now {
                at += 1;
                continue;
            }
            let pending = self.queue.reject(at);
            self.stats.expired += 1;
            let rejection = self.rejection(&pending.request, now);
            actions.push(Action::Reject(pending.waiter, rejection));
        }
        actions
    }

    /// Rejects requests that will not be served before their deadline and those beyond
    /// [`MAX_WAITING`], and puts those behind that will be served late.
    pub(super) fn reject_hopeless(&mut self, now: Time) -> Vec<Action<C, W>> {
        if !self.queue.is_fair() {
            return Vec::new();
        }
        let mut actions = Vec::new();
        while self.queue.len() > MAX_WAITING {
            let Some(last) = self.queue.reject_last() else {
                break;
            };
            self.stats.hopeless += 1;
            let rejection = self.rejection(&last.request, now);
            actions.push(Action::Reject(last.waiter, rejection));
        }
        let mut ahead = [0; 2];
        let mut at = 0;
        while at < self.queue.len() {
            let Some(lane) = self.queue[at].lane else {
                at += 1;
                continue;
            };
            match self.verdict(&self.queue[at], lane, ahead[lane.index()], now) {
                Verdict::Waits => {
                    ahead[lane.index()] += 1;
                    at += 1;
                }
                Verdict::Late => self.queue.demote(at),
                Verdict::Hopeless => {
                    let rejection = self.rejection(&self.queue[at].request, now);
                    let pending = self.queue.reject(at);
                    self.stats.hopeless += 1;
                    actions.push(Action::Reject(pending.waiter, rejection));
                }
            }
        }
        actions
    }

    /// What becomes of a request with this many of its lane ahead of it. While no primary is
    /// known, the rate at which it served says nothing.
    fn verdict(&self, pending: &Pending<W>, lane: Lane, ahead: u64, now: Time) -> Verdict {
        let request = &pending.request;
        if pending.is_advanced() || (lane == Lane::Primary && self.primary.is_none()) {
            return Verdict::Waits;
        }
        let (class, is_late) = (request.priority, pending.is_late());
        let forecast = &self.forecasts[lane.index()];
        let precedes = |other| other < class || (is_late && other == class);
        let shortest = forecast.wait(ahead, |_| false, now);
        let likely = forecast.wait(ahead, precedes, now);
        let waited = now.since(request.arrived);
        let left = request.deadline.since(now);
        let left_in_time = (request.arrived + request.objective).since(now);
        let is_hopeless = if waited.times(EARLY) > request.objective {
            shortest.exceeds(left.times(CERTAIN))
        } else {
            let is_judged = waited.times(JUDGED_AFTER) >= request.objective;
            shortest.exceeds(left) || (is_judged && likely.exceeds(left))
        };
        if is_hopeless {
            Verdict::Hopeless
        } else if !is_late && (left_in_time == Span::default() || shortest.exceeds(left_in_time)) {
            Verdict::Late
        } else {
            Verdict::Waits
        }
    }

    pub(super) fn rejection(&self, request: &ConnRequest, now: Time) -> Rejection {
        let reason = match (&request.kind, &self.primary) {
            (Kind::Write | Kind::Read(Guarantee::Newest), None) => Reason::NoPrimary,
            _ if self.instances.is_empty() => Reason::NoInstance,
            _ => Reason::Busy,
        };
        let retry_after = match reason {
            Reason::NoPrimary | Reason::NoInstance | Reason::Unreachable => FAILOVER_RETRY,
            Reason::Busy => self.busy_retry(request, now),
        };
        Rejection {
            reason,
            retry_after,
        }
    }

    /// When the requests that wait now will have been served.
    fn busy_retry(&self, request: &ConnRequest, now: Time) -> Span {
        let guess = MIN_RETRY.times(1 + self.queue.len() as u64 / 4);
        let Some(lane) = Lane::of(&request.kind).filter(|_| self.queue.is_fair()) else {
            return guess;
        };
        let waiting = self.queue.iter().filter(|w| w.lane == Some(lane)).count();
        match self.forecasts[lane.index()].wait(waiting as u64, |_| false, now) {
            Wait::Expected(wait) => wait.max(MIN_RETRY),
            Wait::Unknown | Wait::Endless => guess,
        }
    }
}

pub(super) fn unreachable() -> Rejection {
    Rejection {
        reason: Reason::Unreachable,
        retry_after: MIN_RETRY,
    }
}
