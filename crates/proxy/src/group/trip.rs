//! Time on the way to an instance and back, as its answers to questions show it.

use std::time::{Duration, Instant};

/// Time over which the least is taken. A route that became longer is noticed after two
/// of these; a shorter one would sometimes see only questions that wait for a position.
const WINDOW: Duration = Duration::from_secs(5);

/// Change that is worth telling, as a divisor.
const NOTABLE: u32 = 8;

/// The least time that a question took lately.
///
/// The instance takes no slot for a question and answers most of them at once, so that
/// the least is the way alone.
#[derive(Debug)]
pub(super) struct Trip {
    began: Instant,
    least: Option<Duration>,
    earlier: Option<Duration>,
    told: Option<Duration>,
}

impl Trip {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            began: now,
            least: None,
            earlier: None,
            told: None,
        }
    }

    /// Takes in what a question took; returns the way if it changed notably.
    pub(super) fn note(&mut self, took: Duration, now: Instant) -> Option<Duration> {
        if now.duration_since(self.began) >= WINDOW {
            self.began = now;
            self.earlier = self.least.take();
        }
        let least = self.least.map_or(took, |least| least.min(took));
        self.least = Some(least);
        let way = self.earlier.map_or(least, |earlier| earlier.min(least));
        let told = self.told.unwrap_or_default();
        let notable = way.abs_diff(told) > told / NOTABLE;
        notable.then(|| *self.told.insert(way))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    #[test]
    fn the_least_counts_and_small_changes_are_not_told() {
        let start = Instant::now();
        let mut trip = Trip::new(start);
        assert_eq!(trip.note(41 * MS, start), Some(41 * MS));
        assert_eq!(trip.note(200 * MS, start), None);
        assert_eq!(trip.note(40 * MS, start), None);
        assert_eq!(trip.note(3 * MS, start), Some(3 * MS));
    }

    #[test]
    fn a_longer_way_is_told_after_two_windows() {
        let start = Instant::now();
        let mut trip = Trip::new(start);
        trip.note(3 * MS, start);
        assert_eq!(trip.note(40 * MS, start + WINDOW), None);
        assert_eq!(trip.note(40 * MS, start + 2 * WINDOW), Some(40 * MS));
    }
}
