//! Work in flight at one backend server, as seen from one proxy.
//!
//! The server works on a few statements at once, its slots; whatever is sent
//! beyond them waits inside the server, where it can be neither ordered nor
//! refused. The limit is therefore this proxy's part of the slots, and as much
//! more as is on the way while they work.

use model::unit::{Span, Time};

use crate::service_time;

/// Time that a server which came back takes to reach its full limit. Load: the
/// backlog of a failover; harm: an instance with cold caches and no warm
/// connections gets everything at once. 25 new connections of 10 to 30 ms each,
/// three at a time, take about this long.
const SLOW_START: Span = Span::from_millis(500);

/// Slots that long work leaves to short work.
const KEPT_FOR_SHORT: u32 = 1;

/// Work in flight beyond what fills slots and way. Load: saturation; harm without it:
/// urgent work beyond the limit makes ordinary work pause later, and goodput was
/// 95.3 % instead of 96.5 % of the capacity. With more, urgent work waits in the
/// server.
const SPARE: f64 = 0.5;

/// The same while several proxies share the slots. Load: proxies that send without
/// knowing of each other; harm without it: slots stay empty by chance while another
/// proxy holds work back.
const SPARE_SHARED: f64 = 1.0;

/// Most time that a proxy can be behind its part, in microseconds; a report of
/// several seconds must not silence a proxy for as long.
const MOST_DEBT: f64 = 200_000.0;

/// The same for long work, whose every statement takes longer than that.
const MOST_LONG_DEBT: f64 = 5_000_000.0;

/// Urgent work that may be in flight beyond the limit.
const URGENT_EXTRA: u32 = 1;

/// Least time that a statement is taken to work, in microseconds.
///
/// Load: a server 20 ms away that answers in the time of the way, as far as its latency
/// can be measured; harm: without a floor the work to have in flight would have none
/// either. The bound that counts is then that of the connections.
const LEAST_SERVICE: f64 = 500.0;

/// This proxy's part of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Statements that the server works on at once.
    pub slots: u32,
    /// Connections that all proxies at work hold together.
    pub total_connections: u32,
    /// Connections that this proxy may hold.
    pub connections: u32,
    /// Time on the way to the server and back.
    pub round_trip: Span,
}

impl Share {
    /// This proxy's part; that of the slots follows that of the connections.
    fn part(&self) -> f64 {
        (f64::from(self.connections) / f64::from(self.total_connections.max(1))).min(1.0)
    }

    /// Work to have in flight on average when a statement takes `latency`.
    ///
    /// Load: a saturated server a round trip away. Harm without the part on the
    /// way: a slot stays empty between an answer and the next request, which cost
    /// 14 % of the capacity at 5 ms of service and 1 ms of round trip. When the
    /// server slows, the way matters less and the limit falls to the slots.
    fn wanted(&self, latency: Span) -> f64 {
        let way = self.round_trip.as_micros() as f64;
        let service = (latency.as_micros() as f64 - way).max(LEAST_SERVICE);
        let whole = (f64::from(self.slots) * (1.0 + way / service)).ceil();
        let part = self.part();
        part * (whole + SPARE + SPARE_SHARED * (1.0 - part))
    }

    /// Long work to have in flight on average at most.
    fn long(&self) -> f64 {
        f64::from(self.slots.saturating_sub(KEPT_FOR_SHORT).max(1)) * self.part()
    }
}

/// What may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Whether anything may.
    pub any: bool,
    /// Whether work that is not urgent may.
    pub ordinary: bool,
    /// Whether long work may.
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
    /// Time in flight beyond this proxy's part, in microseconds.
    ///
    /// Load: more proxies than slots. Harm without it: each has one statement in
    /// flight all the time, and most of them wait inside the server, also the
    /// urgent ones. A proxy that is ahead of its part pauses its ordinary work.
    debt: f64,
    /// The same for long work, against the slots that it may fill.
    ///
    /// Load: each of nine proxies has one report in flight; harm: they fill the
    /// slots together, although no proxy has more than its part.
    long_debt: f64,
    at: Time,
}

impl Slots {
    /// Nothing in flight.
    pub fn new(share: Share) -> Self {
        Self {
            share,
            in_flight: 0,
            long: 0,
            recovered_at: None,
            debt: 0.0,
            long_debt: 0.0,
            at: Time::default(),
        }
    }

    /// Accounts for the time since the last call.
    pub fn advance(&mut self, latency: Span, now: Time) {
        let passed = now.since(self.at).as_micros() as f64;
        let ahead = f64::from(self.in_flight) - self.share.wanted(latency);
        self.debt = (self.debt + ahead * passed).clamp(0.0, MOST_DEBT);
        let ahead = f64::from(self.long) - self.share.long();
        self.long_debt = (self.long_debt + ahead * passed).clamp(0.0, MOST_LONG_DEBT);
        self.at = now;
    }

    /// Work in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Work that may be in flight at `now`, by the usual latency of a statement.
    pub fn limit(&self, latency: Span, now: Time) -> u32 {
        let wanted = self.share.wanted(latency).ceil() as u32;
        let limit = wanted.min(self.share.connections).max(1);
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

    /// What may start at `now`.
    ///
    /// Load: a few reports among many short statements; harm: reports hold all
    /// slots and every short statement waits for one to end.
    pub fn capacity(&self, latency: Span, now: Time) -> Capacity {
        let long_limit = self.share.long().ceil() as u32;
        let limit = self.limit(latency, now);
        Capacity {
            any: self.in_flight < (limit + URGENT_EXTRA).min(self.share.connections.max(1)),
            ordinary: self.in_flight < limit && self.debt <= 0.0,
            long: self.long < long_limit.max(1) && self.long_debt <= 0.0,
        }
    }

    /// When ordinary work may go on, if it pauses.
    pub fn next_turn(&self, latency: Span, now: Time) -> Option<Time> {
        let rate = self.share.wanted(latency) - f64::from(self.in_flight);
        let long_rate = self.share.long() - f64::from(self.long);
        let turn = |debt: f64, rate: f64| {
            let pause = Span::from_micros((debt / rate).ceil() as u64);
            (debt > 0.0 && rate > 0.0).then(|| now + pause)
        };
        let turns = [turn(self.debt, rate), turn(self.long_debt, long_rate)];
        turns.into_iter().flatten().min()
    }

    /// Counts a request that was sent.
    pub fn start(&mut self, length: service_time::Length) {
        self.in_flight += 1;
        if length == service_time::Length::Long {
            self.long += 1;
        }
    }

    /// Counts a request that ended.
    pub fn end(&mut self, length: service_time::Length) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if length == service_time::Length::Long {
            self.long = self.long.saturating_sub(1);
        }
    }

    /// Takes over a changed share.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    /// Begins the slow start of a server that came back.
    pub fn server_recovered(&mut self, now: Time) {
        self.recovered_at = Some(now);
    }

    /// When the limit next rises by itself, during a slow start.
    pub fn next_rise(&self, now: Time) -> Option<Time> {
        let end = self.recovered_at? + SLOW_START;
        let step = SLOW_START.as_micros() / u64::from(self.share.connections.max(1));
        (now < end).then(|| now + Span::from_micros(step.max(1)))
    }
}
