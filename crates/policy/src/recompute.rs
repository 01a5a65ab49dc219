//! When placements are computed again after the live proxies have changed.
//!
//! Load: 300 proxies start within a second before 100 groups. Each announcement changes the live
//! proxies of all; if each proxy ranked all of them for all groups each time, this would take
//! most of its processor share for seconds, and requests of other proxies would time out.
//! A change after a quiet time is acted upon at once, those that follow it are gathered.

use model::unit::{Span, Time};

/// Shortest time between two computations, for each pair of a proxy and a group. A pair takes
/// about a microsecond, so that computations take a twentieth of the time at most.
const INTERVAL_PER_PAIR: Span = Span::from_micros(20);

/// Longest time between two computations; a proxy that has stopped is replaced as a pooler
/// after it.
const MAX_INTERVAL: Span = Span::from_millis(1_000);

/// Number of pairs up to which each change is acted upon at once.
const MAX_PAIRS_AT_ONCE: u64 = 4_000;

/// Pacing of the computations of one proxy.
#[derive(Clone, Debug, Default)]
pub struct Recompute {
    is_outdated: bool,
    computed_at: Option<Time>,
}

impl Recompute {
    /// Records that the live proxies have changed.
    pub fn outdate(&mut self) {
        self.is_outdated = true;
    }

    /// Whether to compute the placements of `groups` groups on `proxies` proxies again now; the
    /// caller does so.
    pub fn is_due(&mut self, proxies: usize, groups: usize, now: Time) -> bool {
        let interval = interval(proxies, groups);
        let too_early = self.computed_at.is_some_and(|at| now.since(at) < interval);
        let is_due = self.is_outdated && !too_early;
        if is_due {
            self.is_outdated = false;
            self.computed_at = Some(now);
        }
        is_due
    }

    /// Whether a computation is outstanding.
    pub fn is_outdated(&self) -> bool {
        self.is_outdated
    }
}

/// Shortest time between two computations.
fn interval(proxies: usize, groups: usize) -> Span {
    let pairs = (proxies as u64).saturating_mul(groups as u64);
    if pairs <= MAX_PAIRS_AT_ONCE {
        return Span::from_millis(0);
    }
    INTERVAL_PER_PAIR.times(pairs).min(MAX_INTERVAL)
}
