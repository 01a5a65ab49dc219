//! Pacing of a proxy's watch on the store: how long a watch call waits for changes, how long
//! changes are batched, and when a failed call is retried.

use model::unit::Span;
use rand::Rng;

/// Divisor of the time in which a change must be in force: the longest wait of one watch.
///
/// Failure: the store loses track of a watch, which then returns nothing until its wait is
/// over. The next watch returns the missed changes. So the wait, the time limit on top of
/// it and the delay before it together must fit into the time in which a change must be in
/// force.
const WAIT_DIVISOR: u64 = 2;

/// Shortest and longest wait of a watch in normal operation. The operators pay for each call,
/// and each watch is one.
const WAIT_RANGE: (Span, Span) = (Span::from_millis(1_500), Span::from_millis(8_000));

/// Wait of the first watch after a failure; it doubles with each further watch.
///
/// Failure: the store closes all watches and then drops its history. A watch opened in
/// between is never notified that its revision is gone. Half of a region received a change
/// six seconds late. A short watch detects this soon.
const WAIT_AFTER_FAILURE: Span = Span::from_millis(200);

/// First and longest delay before a failed call is retried; half of it is random. When all
/// proxies lose the store at once, they would otherwise all retry together and overload it
/// again.
const RETRY_DELAYS: (Span, Span) = (Span::from_millis(50), Span::from_millis(400));

/// Delay after a change before the next watch, per proxy that reads the store.
///
/// Under load, all proxies write when they start. Without the delay, each write would wake
/// all readers; with 91 readers these were 33,000 calls in 48 s. Changes that arrive during
/// the delay are read together.
const BATCH_DELAY_PER_READER: Span = Span::from_millis(32);

/// Divisor of the time in which a change must be in force: the longest batch delay.
const BATCH_DELAY_DIVISOR: u64 = 4;

/// Batch delay of the coordinator, which must receive suspicions at once, and of proxies that
/// follow a store reader, which has batched the changes already.
const SHORT_BATCH_DELAY: Span = Span::from_millis(20);

/// Pacing of one proxy's calls to the store.
#[derive(Clone, Debug)]
pub struct WatchPacing {
    in_force_within: Span,
    /// Wait of the next watch; shorter than usual after a failure.
    wait: Span,
    /// Delay before the retry if the next call fails.
    retry_delay: Span,
}

impl WatchPacing {
    /// The pacing after a start; changes must be in force within `in_force_within`.
    pub fn new(in_force_within: Span) -> Self {
        Self {
            in_force_within,
            wait: full_wait(in_force_within),
            retry_delay: RETRY_DELAYS.0,
        }
    }

    /// How long the next watch waits.
    pub fn wait(&self) -> Span {
        self.wait
    }

    /// Records that a call succeeded.
    pub fn succeeded(&mut self) {
        self.retry_delay = RETRY_DELAYS.0;
        self.wait = self.wait.times(2).min(full_wait(self.in_force_within));
    }

    /// Records that a call failed; returns the delay before the next one.
    pub fn failed(&mut self, rng: &mut impl Rng) -> Span {
        self.wait = WAIT_AFTER_FAILURE;
        let retry_delay = self.retry_delay;
        self.retry_delay = retry_delay.times(2).min(RETRY_DELAYS.1);
        let us = retry_delay.as_micros();
        Span::from_micros(rng.random_range(us / 2..=us))
    }

    /// How long changes are batched after one was received. `readers` proxies read the store;
    /// `urgent` is for a proxy whose calls cost the store little.
    pub fn batch_delay(&self, readers: u32, urgent: bool) -> Span {
        if urgent {
            return SHORT_BATCH_DELAY;
        }
        BATCH_DELAY_PER_READER
            .times(u64::from(readers))
            .min(divide(self.in_force_within, BATCH_DELAY_DIVISOR))
    }
}

fn full_wait(in_force_within: Span) -> Span {
    divide(in_force_within, WAIT_DIVISOR).clamp(WAIT_RANGE.0, WAIT_RANGE.1)
}

fn divide(span: Span, divisor: u64) -> Span {
    Span::from_micros(span.as_micros() / divisor)
}
