//! When a proxy that cannot read the store calls it again.
//!
//! Load: the store rejects a third of the proxies for some seconds, or responds to none of
//! hundreds. If each retried several times a second, the operators would pay for thousands of
//! calls that bring nothing, and the store would be overloaded on its return. So a proxy queries
//! others of its data centre instead, which know whether the store has returned, and calls it
//! itself at longer intervals. Only the first readers of a data centre keep trying often.

use model::unit::{Span, Time};
use rand::Rng;

/// First and longest interval between two calls while another proxy provides the updates.
const FOLLOWING_INTERVALS: (Span, Span) = (Span::from_millis(1_000), Span::from_millis(4_000));

/// Interval between two calls of a proxy that is no first reader, while others of its data
/// centre respond without updates. The store may reject just those.
const WAITING_INTERVAL: Span = Span::from_millis(1_500);

/// Whether this proxy reaches the store itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectAccess(Option<Lost>);

#[derive(Clone, Debug, PartialEq, Eq)]
struct Lost {
    next_call: Time,
    /// Interval after the next failure, while updates come from elsewhere.
    interval: Span,
    /// Whether another proxy has provided updates since.
    follows: bool,
}

impl DirectAccess {
    /// Whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.0.is_some()
    }

    /// Whether the store may be called.
    pub fn may_call(&self, now: Time) -> bool {
        self.next_call() <= now
    }

    /// When the store may be called.
    pub fn next_call(&self) -> Time {
        self.0.as_ref().map_or(Time::default(), |l| l.next_call)
    }

    /// Records that a call succeeded.
    pub fn succeeded(&mut self) {
        self.0 = None;
    }

    /// Records updates from another proxy; `ranks_before` says whether this proxy follows that one
    /// in any case, so that it needs no access of its own.
    pub fn followed(&mut self, ranks_before: bool) {
        if ranks_before {
            self.0 = None;
        } else if let Some(lost) = &mut self.0 {
            lost.follows = true;
        }
    }

    /// Records that a call failed. The next one is due after `delay`, or later if `others_call`:
    /// other proxies of the data centre respond, and the first ones of them call the store often.
    pub fn failed(&mut self, others_call: bool, delay: Span, rng: &mut impl Rng, now: Time) {
        let (interval, follows) = match &self.0 {
            Some(lost) => (lost.interval, lost.follows),
            None => (FOLLOWING_INTERVALS.0, false),
        };
        let (pause, interval) = match (follows, others_call) {
            (true, _) => {
                let next = interval.times(2).min(FOLLOWING_INTERVALS.1);
                (jittered(interval, rng), next)
            }
            (false, true) => (jittered(WAITING_INTERVAL, rng), interval),
            (false, false) => (delay, interval),
        };
        self.0 = Some(Lost {
            next_call: now + pause,
            interval,
            // Must be shown again: the other proxy may lose the store as well.
            follows: false,
        });
    }
}

/// Between half of a span and all of it.
fn jittered(span: Span, rng: &mut impl Rng) -> Span {
    let us = span.as_micros();
    Span::from_micros(rng.random_range(us / 2..=us))
}
