//! How a proxy follows the store: how long a watch waits, how long changes are gathered,
//! and when a call that failed is made again.

use model::unit::Span;
use rand::Rng;

/// Part of the time in which a change must be in force that one watch may wait.
///
/// Failure: a watch that was opened while the store lost track of it hears nothing until
/// its wait is over. The next one then tells what was missed, so the wait, the time limit
/// on top of it and the pause before it have to fit into the whole.
const WAIT_PART: u64 = 2;

/// Shortest and longest wait of a watch that nothing disturbs. Each watch is one of the
/// calls that the operators pay for.
const WAITS: (Span, Span) = (Span::from_millis(1_500), Span::from_millis(8_000));

/// Wait of the first watch after a failure; it doubles from watch to watch.
///
/// Failure: the store cuts all watches, drops its history, and a new one that comes in
/// between is never told that its revision is gone. Half of a region heard of a change
/// six seconds late. A short watch finds out soon.
const WAIT_AFTER_FAILURE: Span = Span::from_millis(200);

/// First and longest pause before a failed call is made again; half of it is random.
/// Load: all proxies lose the store at once. Harm without it: they come back together,
/// and what was too much the first time is too much again.
const PAUSES: (Span, Span) = (Span::from_millis(50), Span::from_millis(400));

/// Pause after a change before the next one is asked for, for each proxy that reads the
/// store.
///
/// Load: all proxies write when they start. Harm without it: each write wakes all readers,
/// which at 91 readers was 33,000 calls in 48 s. The pause gathers the changes of that time.
const GATHER: Span = Span::from_millis(32);

/// Part of the time in which a change must be in force that the pause may take.
const GATHER_PART: u64 = 4;

/// The pause of the proxy that coordinates, which doubts are to reach at once, and of those
/// that follow a neighbour, which has gathered already.
const SHORT_GATHER: Span = Span::from_millis(20);

/// The following of one store by one proxy.
#[derive(Clone, Debug)]
pub struct WatchPacing {
    in_force_within: Span,
    /// Wait of the next watch; below the full one after a failure.
    wait: Span,
    /// Pause before the next try, were it to fail.
    pause: Span,
}

impl WatchPacing {
    /// A proxy that starts; changes must be in force within `in_force_within`.
    pub fn new(in_force_within: Span) -> Self {
        Self {
            in_force_within,
            wait: full_wait(in_force_within),
            pause: PAUSES.0,
        }
    }

    /// How long the next watch waits.
    pub fn wait(&self) -> Span {
        self.wait
    }

    /// A call was answered.
    pub fn succeeded(&mut self) {
        self.pause = PAUSES.0;
        self.wait = self.wait.times(2).min(full_wait(self.in_force_within));
    }

    /// A call failed; gives the pause before the next one.
    pub fn failed(&mut self, rng: &mut impl Rng) -> Span {
        self.wait = WAIT_AFTER_FAILURE;
        let pause = self.pause;
        self.pause = pause.times(2).min(PAUSES.1);
        let us = pause.as_micros();
        Span::from_micros(rng.random_range(us / 2..=us))
    }

    /// How long changes are gathered after one was heard, where `readers` proxies read the
    /// store; `at_once` for one that costs the store little.
    pub fn batch_delay(&self, readers: u32, at_once: bool) -> Span {
        if at_once {
            return SHORT_GATHER;
        }
        GATHER
            .times(u64::from(readers))
            .min(part(self.in_force_within, GATHER_PART))
    }
}

fn full_wait(in_force_within: Span) -> Span {
    part(in_force_within, WAIT_PART).clamp(WAITS.0, WAITS.1)
}

fn part(whole: Span, parts: u64) -> Span {
    Span::from_micros(whole.as_micros() / parts)
}
