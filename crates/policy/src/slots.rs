//! Limits the work that one proxy has in flight at one backend server.
//!
//! The server executes a few statements at once, in its slots. Further statements wait inside
//! the server, where the proxy can neither order nor reject them. The limit is therefore this
//! proxy's share of the slots, plus what is on the network while they work.

use model::unit::{Span, Time};

use crate::service_time;

/// Time that a server needs after recovery to reach its full limit. After a failover, an
/// instance with cold caches and no open connections would otherwise get the whole backlog at
/// once. Opening 25 connections, at 10 to 30 ms each and three at a time, takes about this
/// long.
const SLOW_START: Span = Span::from_millis(500);

/// Slots that long work leaves to short work.
const RESERVED_FOR_SHORT: u32 = 1;

/// Work in flight beyond what fills the slots and the round trip. Without it, urgent work
/// beyond the limit makes ordinary work pause later, and under saturation goodput was 95.3 %
/// instead of 96.5 % of the capacity. With more, urgent work waits in the server.
const EXTRA: f64 = 0.5;

/// Additional work in flight while several proxies share the slots. Since proxies send without
/// knowing of each other, slots would otherwise stay empty by chance while another proxy holds
/// work back.
const EXTRA_SHARED: f64 = 1.0;

/// Maximum debt of a proxy, in microseconds of time in flight; a report of several seconds must
/// not pause a proxy for as long.
const MAX_DEBT: f64 = 200_000.0;

/// Maximum debt of long work, each statement of which takes longer than [`MAX_DEBT`].
const MAX_LONG_DEBT: f64 = 5_000_000.0;

/// Urgent work that may be in flight beyond the limit.
const URGENT_EXTRA: u32 = 1;

/// Minimum assumed service time of a statement, in microseconds.
///
/// A server 20 ms away may appear to respond within the round trip, as far as its latency can
/// be measured. Without a minimum, the work to have in flight would be unbounded. In that case
/// the number of connections sets the limit.
const MIN_SERVICE: f64 = 500.0;

/// This proxy's share of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Statements that the server executes at once.
    pub slots: u32,
    /// Connections that all active proxies hold together.
    pub total_connections: u32,
    /// Connections that this proxy may hold.
    pub connections: u32,
    /// Round-trip time to the server.
    pub round_trip: Span,
}

impl Share {
    /// This proxy's fraction of the slots, which equals its fraction of the connections.
    fn fraction(&self) -> f64 {
        (f64::from(self.connections) / f64::from(self.total_connections.max(1))).min(1.0)
    }

    /// Average amount of work to have in flight if a statement takes `latency`.
    ///
    /// Includes the work on the network: otherwise a slot stays empty between a response and
    /// the next request, which cost 14 % of the capacity of a saturated server at 5 ms of
    /// service and 1 ms of round trip. When the server slows down, the round trip matters less,
    /// and the limit falls to the slots.
    fn target(&self, latency: Span) -> f64 {
        let round_trip = self.round_trip.as_micros() as f64;
        let service = (latency.as_micros() as f64 - round_trip).max(MIN_SERVICE);
        let total = (f64::from(self.slots) * (1.0 + round_trip / service)).ceil();
        let fraction = self.fraction();
        fraction * (total + EXTRA + EXTRA_SHARED * (1.0 - fraction))
    }

    /// Maximum amount of long work to have in flight on average.
    fn long_target(&self) -> f64 {
        f64::from(self.slots.saturating_sub(RESERVED_FOR_SHORT).max(1)) * self.fraction()
    }
}

/// Which kinds of work may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Whether any work may start.
    pub any: bool,
    /// Whether work that is not urgent may start.
    pub ordinary: bool,
    /// Whether long work may start.
    pub long: bool,
}

/// Limit on the work in flight.
///
/// Invariant: at least one statement may be in flight.
#[derive(Clone, Debug)]
pub struct Slots {
    share: Share,
    in_flight: u32,
    long: u32,
    recovered_at: Option<Time>,
    /// Time in flight beyond this proxy's share, in microseconds.
    ///
    /// With more proxies than slots, each would otherwise have one statement in flight all the
    /// time, and most of them, urgent ones included, would wait inside the server. A proxy that
    /// is ahead of its share pauses its ordinary work.
    debt: f64,
    /// The same for long work, relative to the slots that it may fill.
    ///
    /// Otherwise nine proxies with one report in flight each would fill the slots together,
    /// although no proxy exceeds its share.
    long_debt: f64,
    updated_at: Time,
}

impl Slots {
    /// Creates a limit with nothing in flight.
    pub fn new(share: Share) -> Self {
        Self {
            share,
            in_flight: 0,
            long: 0,
            recovered_at: None,
            debt: 0.0,
            long_debt: 0.0,
            updated_at: Time::default(),
        }
    }

    /// Accounts for the time since the last call.
    pub fn advance(&mut self, latency: Span, now: Time) {
        let passed = now.since(self.updated_at).as_micros() as f64;
        let ahead = f64::from(self.in_flight) - self.share.target(latency);
        self.debt = (self.debt + ahead * passed).clamp(0.0, MAX_DEBT);
        let ahead = f64::from(self.long) - self.share.long_target();
        self.long_debt = (self.long_debt + ahead * passed).clamp(0.0, MAX_LONG_DEBT);
        self.updated_at = now;
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of requests that may be in flight at `now`; `latency` is the usual latency of a
    /// statement.
    pub fn limit(&self, latency: Span, now: Time) -> u32 {
        let target = self.share.target(latency).ceil() as u32;
        let limit = target.min(self.share.connections).max(1);
        let Some(recovered_at) = self.recovered_at else {
            return limit;
        };
        let passed = now.since(recovered_at).as_micros();
        if passed >= SLOW_START.as_micros() {
            return limit;
        }
        let ramp = u64::from(limit) * passed / SLOW_START.as_micros();
        (ramp as u32).clamp(1, limit)
    }

    /// Which kinds of work may start at `now`.
    ///
    /// With a few reports among many short statements, reports could otherwise hold all slots,
    /// and every short statement would wait for one of them to end.
    pub fn capacity(&self, latency: Span, now: Time) -> Capacity {
        let long_limit = self.share.long_target().ceil() as u32;
        let limit = self.limit(latency, now);
        Capacity {
            any: self.in_flight < (limit + URGENT_EXTRA).min(self.share.connections.max(1)),
            ordinary: self.in_flight < limit && self.debt <= 0.0,
            long: self.long < long_limit.max(1) && self.long_debt <= 0.0,
        }
    }

    /// When ordinary or long work may resume, if it is paused.
    pub fn next_resume(&self, latency: Span, now: Time) -> Option<Time> {
        let rate = self.share.target(latency) - f64::from(self.in_flight);
        let long_rate = self.share.long_target() - f64::from(self.long);
        let resume = |debt: f64, rate: f64| {
            let pause = Span::from_micros((debt / rate).ceil() as u64);
            (debt > 0.0 && rate > 0.0).then(|| now + pause)
        };
        let resumes = [resume(self.debt, rate), resume(self.long_debt, long_rate)];
        resumes.into_iter().flatten().min()
    }

    /// Counts a request as started.
    pub fn start(&mut self, length: service_time::Length) {
        self.in_flight += 1;
        if length == service_time::Length::Long {
            self.long += 1;
        }
    }

    /// Counts a request as ended.
    pub fn end(&mut self, length: service_time::Length) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if length == service_time::Length::Long {
            self.long = self.long.saturating_sub(1);
        }
    }

    /// Replaces the share.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    /// Starts the slow start of a server that recovered.
    pub fn server_recovered(&mut self, now: Time) {
        self.recovered_at = Some(now);
    }

    /// When the limit next rises during a slow start.
    pub fn next_limit_rise(&self, now: Time) -> Option<Time> {
        let end = self.recovered_at? + SLOW_START;
        let step = SLOW_START.as_micros() / u64::from(self.share.connections.max(1));
        (now < end).then(|| now + Span::from_micros(step.max(1)))
    }
}
