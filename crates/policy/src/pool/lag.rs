//! When a replica whose log was too short is sent reads again.
//!
//! A read that is sent to a lagging replica costs a round trip and must then be sent to another
//! instance. Usual lags end within some ten milliseconds, but some last for seconds.

use model::position::Point;
use model::unit::{Span, Time};

/// Time for which a replica that lacked a point is assumed to lack it still. Usual lags are
/// some ten milliseconds; a replica that lags for long causes one refused read per this time.
const RETRY: Span = Span::from_millis(120);

/// Longest time between two reads that test a lagging replica, if they are sent singly. It is
/// below [`KNOWN_FOR`], so that a lag that lasts stays known.
const MAX_RETRY: Span = Span::from_millis(400);

/// Time for which a read refused because the log was too short shows that an instance lags.
/// Under load the instance is tried again after [`RETRY`], so several refusals fall into this
/// time.
const KNOWN_FOR: Span = Span::from_millis(500);

/// What a replica's log lacked.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lag {
    lacked: Point,
    refused_at: Time,
    /// Furthest end of its log that was known at the refusal.
    log_end: Point,
    /// Whether a single read tests the replica at present.
    is_tested: bool,
    /// When the next read may test it, and the interval between two such reads.
    test_at: Time,
    interval: Span,
}

impl Lag {
    /// What is known after a refused read, and what was known before it. The interval grows only
    /// while the log does not: a replica with a usual lag often lacks the newest writes.
    pub(super) fn refused(earlier: Option<Self>, point: Point, log_end: Point, now: Time) -> Self {
        let interval = match earlier.filter(|earlier| log_end <= earlier.log_end) {
            Some(earlier) if earlier.is_tested => earlier.interval.times(2).min(MAX_RETRY),
            Some(earlier) => earlier.interval,
            None => RETRY,
        };
        Self {
            lacked: point,
            refused_at: now,
            log_end,
            is_tested: false,
            test_at: now + interval,
            interval,
        }
    }

    /// Records that a read for a point is sent to the replica.
    pub(super) fn sent(&mut self, point: Point, now: Time) {
        if point >= self.lacked && now >= self.test_at {
            self.is_tested = true;
            self.test_at = now + self.interval;
        }
    }

    /// Whether the log ends before the point that it lacked.
    pub(super) fn is_behind(&self, log_end: Point) -> bool {
        log_end < self.lacked
    }

    /// Whether a read was refused recently.
    pub(super) fn is_known(&self, now: Time) -> bool {
        now.since(self.refused_at) <= KNOWN_FOR
    }

    /// Whether a read for a point may be sent; `singly`: at growing intervals, one at a time.
    pub(super) fn may_send(&self, point: Point, singly: bool, now: Time) -> bool {
        let is_due = match singly {
            true => now >= self.test_at,
            false => now.since(self.refused_at) >= RETRY,
        };
        point < self.lacked || is_due
    }
}
