//! Round-trip time to an instance, measured by its responses to status queries.

use std::time::{Duration, Instant};

/// Time over which the minimum is taken. A longer route is noticed after two windows; a
/// shorter window may contain only queries that waited for a position.
const WINDOW: Duration = Duration::from_secs(5);

/// Smallest relative change that is reported, as a divisor.
const MIN_CHANGE: u32 = 8;

/// Minimum response time of recent queries.
///
/// Status queries occupy no slot and most are answered at once, so the minimum is the
/// network round trip.
#[derive(Debug)]
pub(super) struct RoundTrip {
    began: Instant,
    min: Option<Duration>,
    earlier: Option<Duration>,
    reported: Option<Duration>,
}

impl RoundTrip {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            began: now,
            min: None,
            earlier: None,
            reported: None,
        }
    }

    /// Records a response time; returns the round trip if it has changed by [`MIN_CHANGE`].
    pub(super) fn record(&mut self, took: Duration, now: Instant) -> Option<Duration> {
        if now.duration_since(self.began) >= WINDOW {
            self.began = now;
            self.earlier = self.min.take();
        }
        let min = self.min.map_or(took, |min| min.min(took));
        self.min = Some(min);
        let round_trip = self.earlier.map_or(min, |earlier| earlier.min(min));
        let reported = self.reported.unwrap_or_default();
        let has_changed = round_trip.abs_diff(reported) > reported / MIN_CHANGE;
        has_changed.then(|| *self.reported.insert(round_trip))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    #[test]
    fn the_minimum_counts_and_small_changes_are_not_reported() {
        let start = Instant::now();
        let mut round_trip = RoundTrip::new(start);
        assert_eq!(round_trip.record(41 * MS, start), Some(41 * MS));
        assert_eq!(round_trip.record(200 * MS, start), None);
        assert_eq!(round_trip.record(40 * MS, start), None);
        assert_eq!(round_trip.record(3 * MS, start), Some(3 * MS));
    }

    #[test]
    fn a_longer_route_is_reported_after_two_windows() {
        let start = Instant::now();
        let mut round_trip = RoundTrip::new(start);
        round_trip.record(3 * MS, start);
        assert_eq!(round_trip.record(40 * MS, start + WINDOW), None);
        assert_eq!(
            round_trip.record(40 * MS, start + 2 * WINDOW),
            Some(40 * MS)
        );
    }
}
