//! Monotonic clock of the process, including time in suspension.

use std::cell::Cell;
use std::time::Duration;

use model::unit::Time;
use rustix::time::{ClockId, clock_gettime};

thread_local! {
    static START: Cell<Option<Duration>> = const { Cell::new(None) };
}

/// The time since the first call on this thread.
///
/// It includes the time for which the VM was suspended. Leases and proofs about a primary's
/// log age during a suspension; with a clock that stops meanwhile, a read that is seconds old
/// would pass as fresh.
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

/// Sleeps until a moment; returns at once if it has passed.
pub async fn sleep_until(at: Time) {
    let remaining = at.since(now());
    if remaining.as_micros() > 0 {
        compio::time::sleep(remaining.as_duration()).await;
    }
}
