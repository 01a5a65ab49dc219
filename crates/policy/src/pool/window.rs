//! How many statements may be in flight to one instance.
//!
//! Instances serve their own queue in order of arrival. So the work in flight is bounded by what
//! an instance can run, and the queue forms in the pool, which orders it. Many proxies share an
//! instance without knowing of each other; each adjusts its bound by the latency that it sees.

use std::collections::VecDeque;

use model::unit::{Span, Time};

/// Statements that may be in flight initially.
const INITIAL: f64 = 8.0;

/// Maximum number of statements in flight.
const MAX: f64 = 64.0;

/// Fewest statements in flight. Transactions count while they are idle between two statements,
/// and with fewer a proxy with some of them would leave slots unused.
const MIN: f64 = 4.0;

/// Factor applied when the instance is overloaded.
const DECREASE: f64 = 0.7;

/// Shortest time between two decreases; the effect of one shows only after some statements.
const DECREASE_INTERVAL: Span = Span::from_millis(100);

/// Sum of the increases over one window of responses that show no queue.
const INCREASE: f64 = 1.0;

/// Number of responses of which the fastest shows how long the instance's queue is: statements
/// differ in length, but the shortest ones wait as long as the others.
const RECENT: usize = 8;

/// Wait in the instance's queue above which it counts as overloaded: about one statement, so
/// that a slot that becomes free is used at once.
const MAX_QUEUED: Span = Span::from_millis(20);

/// Time for which the fastest response is remembered. An instance that has become slower is
/// not taken for an overloaded one for longer than twice that.
const BASE_KEPT: Span = Span::from_millis(10_000);

/// The bound of one instance.
#[derive(Clone, Debug)]
pub(super) struct Window {
    limit: f64,
    /// Latencies of the newest responses, at most [`RECENT`].
    recent: VecDeque<Span>,
    /// Fastest response of this period and of the one before.
    base: [Option<Span>; 2],
    base_since: Time,
    decreased_at: Time,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            limit: INITIAL,
            recent: VecDeque::with_capacity(RECENT),
            base: [None; 2],
            base_since: Time::default(),
            decreased_at: Time::default(),
        }
    }
}

impl Window {
    /// Whether one more statement may be in flight; `slots` are the instance's, shared by
    /// `proxies`. Twice the proxy's part of the slots is always allowed, so that none is idle
    /// while a response travels.
    pub(super) fn has_room(&self, in_flight: u32, slots: u32, proxies: u32) -> bool {
        let part = f64::from((2 * slots).div_ceil(proxies.max(1)));
        f64::from(in_flight) < self.limit.max(part)
    }

    /// Records a response's latency; `in_flight` includes its statement.
    pub(super) fn record_latency(&mut self, took: Span, in_flight: u32, now: Time) {
        if now.since(self.base_since) >= BASE_KEPT {
            self.base = [None, self.base[0]];
            self.base_since = now;
        }
        self.base[0] = Some(self.base[0].map_or(took, |base| base.min(took)));
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(took);
        let base = self.base.into_iter().flatten().min().unwrap_or(took);
        let fastest = self.recent.iter().min().copied().unwrap_or(took);
        if fastest > base + MAX_QUEUED {
            self.decrease(in_flight, now);
        } else if f64::from(in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + INCREASE / self.limit).min(MAX);
        }
    }

    /// Records that the instance refused a statement because its queue is full, or that its
    /// queue is long.
    pub(super) fn decrease(&mut self, in_flight: u32, now: Time) {
        if now.since(self.decreased_at) < DECREASE_INTERVAL {
            return;
        }
        self.decreased_at = now;
        self.limit = (self.limit.min(f64::from(in_flight)) * DECREASE).max(MIN);
    }
}
