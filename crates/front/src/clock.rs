//! The process's clock.

use std::cell::Cell;
use std::time::Duration;

use model::unit::Time;
use rustix::time::{ClockId, clock_gettime};

thread_local! {
    static START: Cell<Option<Duration>> = const { Cell::new(None) };
}

/// The present moment.
///
/// It counts the time for which the VM was suspended: a proof about a primary's log and a
/// lease age all the while, and a clock that stands still would let a read pass as fresh
/// that is seconds old.
pub fn now() -> Time {
    let at = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(at.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(at.tv_nsec).unwrap_or_default();
    let at = Duration::new(seconds, nanos);
    let start = START.get().unwrap_or(at);
    START.set(Some(start));
    let since = at.saturating_sub(start).as_micros();
    Time::from_micros(u64::try_from(since).unwrap_or(u64::MAX))
}

/// Waits until a moment, or not at all if it has passed.
pub async fn sleep_until(at: Time) {
    let left = at.since(now());
    if left.as_micros() > 0 {
        compio::time::sleep(left.as_duration()).await;
    }
}
