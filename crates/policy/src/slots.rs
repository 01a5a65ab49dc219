//! Work in flight at one backend server, as seen from one proxy.
//!
//! The server works on a few statements at once, its slots; whatever is sent
//! beyond them waits inside the server, where it can be neither ordered nor
//! refused. The limit is therefore held near this proxy's part of the slots and
//! moved by how much slower answers come than the fastest of their shape.

use model::unit::{Span, Time};

use crate::service;

/// Slowdown below which one more may be sent. Load: a saturated server a network
/// round trip away; harm without headroom: a slot stays empty between an answer
/// and the next request. A quarter above the fastest answer is ordinary jitter.
const GROW_BELOW: f64 = 1.25;

/// Slowdown above which less is sent. Load: more proxies than slots; harm: work
/// queues inside the server, where urgent requests cannot pass it. At twice the
/// fastest answer, as much work waits in the server as is being done.
const SHRINK_ABOVE: f64 = 2.0;

/// Factor of a reduction: a tenth per window gives back a doubled limit within
/// seven windows, and a single slow window costs little.
const SHRINK: f64 = 0.9;

/// Headroom over the slots, as a factor of this proxy's part: enough to cover a
/// round trip as long as the service itself.
const HEADROOM: f64 = 2.0;

/// Weight of a new slowdown sample: about twenty answers form the average, so
/// that one unlucky answer does not move the limit.
const SMOOTHING: f64 = 0.05;

/// Answers between two changes of the limit; shorter windows chase noise.
const WINDOW: u32 = 16;

/// Time that a server which came back takes to reach its full limit. Load: the
/// backlog of a failover; harm: an instance with cold caches and no warm
/// connections gets everything at once. 25 new connections of 10 to 30 ms each,
/// three at a time, take about this long.
const SLOW_START: Span = Span::from_millis(500);

/// This proxy's part of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Statements that the server works on at once.
    pub slots: u32,
    /// Connections that the server accepts from the whole fleet.
    pub connections: u32,
    /// Connections that this proxy may hold.
    pub held: u32,
}

impl Share {
    /// This proxy's part of the slots; it follows the part of the connections.
    fn part(self) -> f64 {
        let part = f64::from(self.held) / f64::from(self.connections.max(1));
        (f64::from(self.slots) * part).max(1.0)
    }
}

/// Limit on the work in flight.
///
/// Invariant: `part <= limit <= ceiling` and `1 <= limit`.
#[derive(Clone, Debug)]
pub struct Slots {
    share: Share,
    limit: f64,
    slowdown: f64,
    answers: u32,
    busy: u32,
    long: u32,
    returned: Option<Time>,
}

impl Slots {
    /// Starts at this proxy's part of the slots.
    pub fn new(share: Share) -> Self {
        Self {
            share,
            limit: share.part(),
            slowdown: 1.0,
            answers: 0,
            busy: 0,
            long: 0,
            returned: None,
        }
    }

    /// Work in flight.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Work that may be in flight at `now`.
    pub fn limit(&self, now: Time) -> u32 {
        let limit = self.limit.round() as u32;
        let limit = limit.min(self.share.held).max(1);
        let Some(returned) = self.returned else {
            return limit;
        };
        let passed = now.since(returned).as_micros();
        if passed >= SLOW_START.as_micros() {
            return limit;
        }
        let ramp = u64::from(limit) * passed / SLOW_START.as_micros();
        (ramp as u32).clamp(1, limit)
    }

    /// Average slowdown against the fastest answers.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Whether work of this length may start at `now`.
    ///
    /// Load: a few reports among many short statements; harm: reports hold all
    /// slots and every short statement waits for one to end. One slot stays free
    /// of long work wherever there are two.
    pub fn admits(&self, length: service::Length, now: Time) -> bool {
        let limit = self.limit(now);
        let long_limit = limit.saturating_sub(1).max(1);
        let room = self.busy < limit;
        room && (length == service::Length::Short || self.long < long_limit)
    }

    /// Counts a request that was sent.
    pub fn start(&mut self, length: service::Length) {
        self.busy += 1;
        if length == service::Length::Long {
            self.long += 1;
        }
    }

    /// Counts a request that ended.
    pub fn end(&mut self, length: service::Length) {
        self.busy = self.busy.saturating_sub(1);
        if length == service::Length::Long {
            self.long = self.long.saturating_sub(1);
        }
    }

    /// Learns how much slower an answer was than the fastest of its shape.
    pub fn answered(&mut self, slowdown: f64) {
        self.slowdown += (slowdown - self.slowdown) * SMOOTHING;
        self.answers += 1;
        if self.answers >= WINDOW {
            self.answers = 0;
            self.adapt();
        }
    }

    fn adapt(&mut self) {
        if self.slowdown > SHRINK_ABOVE {
            self.limit *= SHRINK;
        } else if self.slowdown < GROW_BELOW && f64::from(self.busy) + 1.0 >= self.limit {
            self.limit += 1.0;
        }
        self.clamp();
    }

    fn clamp(&mut self) {
        let part = self.share.part();
        self.limit = self.limit.clamp(part, part * HEADROOM);
    }

    /// Takes over a changed share; the limit keeps its relation to the part.
    pub fn set_share(&mut self, share: Share) {
        self.limit *= share.part() / self.share.part();
        self.share = share;
        self.clamp();
    }

    /// Begins the slow start of a server that came back.
    pub fn returned(&mut self, now: Time) {
        self.returned = Some(now);
        self.slowdown = 1.0;
        self.limit = self.share.part();
    }

    /// When the limit next rises by itself, during a slow start.
    pub fn next_rise(&self, now: Time) -> Option<Time> {
        let returned = self.returned?;
        let end = returned + SLOW_START;
        let step = SLOW_START.as_micros() / u64::from(self.limit.round() as u32).max(1);
        (now < end).then(|| now + Span::from_micros(step.max(1)))
    }
}
