//! One instance in a pool: its connections, and how soon it is expected to respond.

mod keep;

use model::entry::Entry;
use model::id::{CustomerId, InstanceId};
use model::position::Point;
use model::unit::{Span, Time};

use super::checkouts::Checkouts;
use super::lag::Lag;
use super::window::Window;
use super::{ConnInfo, OpenError};

/// Pause after the instance reported that it has no connection left. Other proxies close theirs
/// after `keep::IDLE_TIMEOUT`; retrying more often costs the instance work.
const FULL_PAUSE: Span = Span::from_millis(500);

/// Pause after a connection could not be opened.
const UNREACHABLE_PAUSE: Span = Span::from_millis(150);

/// Assumed latency of a statement before one was measured.
const INITIAL_LATENCY: Span = Span::from_millis(20);

/// Weight of a new measurement, as a divisor: about the last eight statements count.
const SMOOTHING: u64 = 8;

/// Time after which a measured latency no longer counts against an instance. Otherwise one that
/// was slow once would get no statement that could show its recovery.
const LATENCY_EXPIRY: Span = Span::from_millis(1_000);

/// Reads that may be in flight initially.
const INITIAL_WINDOW: f64 = 8.0;

/// Maximum number of reads in flight; instances have few slots and a short queue.
const MAX_WINDOW: f64 = 64.0;

/// Factor applied to the window of reads in flight when an instance is overloaded, and the sum of
/// the increases over one window of responses: a window of 8 recovers within about 30 responses.
const WINDOW_DECREASE: f64 = 0.7;
const WINDOW_INCREASE: f64 = 0.5;

/// Pause in reads to an overloaded instance, about the time in which a slot becomes free.
const OVERLOAD_PAUSE: Span = Span::from_millis(10);

/// Time after which one more connection is tried beyond the proxy's share, above a number that
/// the instance refused.
const CEILING_STEP: Span = Span::from_millis(1_500);

/// Added if a connection must be opened first; instances take 10 to 30 ms for it.
const OPEN_PENALTY: Span = Span::from_millis(20);

/// Time for which a leaving instance may still be given writes while it leads. Instances keep
/// serving for 7 s and more after they announced that they leave.
const LEAVING_WRITE_TIME: Span = Span::from_millis(5_000);

/// Added for an instance a region away. With all instances equally busy, reads would otherwise
/// cross the narrow link between regions to gain some milliseconds.
const FAR_PENALTY: Span = Span::from_millis(30);

/// Round trip from which an instance counts as a region away; data centres of one region are at
/// most a few milliseconds apart.
const FAR_ROUND_TRIP: Span = Span::from_millis(15);

/// Added for the primary. Only the primary can serve writes; otherwise reads would fill its
/// slots, and writes would wait while replicas are idle.
const PRIMARY_PENALTY: Span = Span::from_millis(25);

/// Connections to one instance that a proxy may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Limits {
    /// Its share of what the instance accepts.
    pub(super) share: u32,
    /// The maximum, held only briefly.
    pub(super) max: u32,
}

/// One instance and this proxy's connections to it.
pub struct Instance<C> {
    entry: Entry,
    round_trip: Span,
    leaving_since: Option<Time>,
    /// Idle connections, each with the time since when it is idle, the longest idle first.
    idle: Vec<(C, Time)>,
    checkouts: Checkouts,
    /// Owners of the connections that are being opened.
    opening: Vec<Option<CustomerId>>,
    /// Whether the last attempt to open a connection failed.
    open_failed: bool,
    /// No connection is opened before this time.
    no_open_before: Time,
    /// No read is sent to it before this time.
    reads_paused_until: Time,
    /// Smoothed latency of a statement, including the round trip.
    latency: Option<Span>,
    measured_at: Time,
    /// Reads that may be in flight.
    window: f64,
    /// Bound of all work in flight.
    work: Window,
    /// What its log lacked, unless a response has shown it since.
    lag: Option<Lag>,
    /// Furthest end of its log that a response showed.
    log_end: Point,
    /// Number of connections at which it reported that it is full, and when.
    ceiling: Option<(u32, Time)>,
}

impl<C> Instance<C> {
    pub(super) fn new(entry: Entry, round_trip: Span, since: Time) -> Self {
        Self {
            leaving_since: entry.leaving.then_some(since),
            entry,
            round_trip,
            idle: Vec::new(),
            checkouts: Checkouts::default(),
            opening: Vec::new(),
            open_failed: false,
            no_open_before: Time::default(),
            reads_paused_until: Time::default(),
            latency: None,
            measured_at: Time::default(),
            window: INITIAL_WINDOW,
            work: Window::default(),
            lag: None,
            log_end: Point::default(),
            ceiling: None,
        }
    }

    /// Applies an announcement that may have changed as early as `since`; returns the idle
    /// connections to an earlier process, which are unusable.
    pub(super) fn update(
        &mut self,
        entry: &Entry,
        round_trip: Span,
        since: Time,
        now: Time,
    ) -> Vec<C> {
        let restarted =
            self.entry.started_at != entry.started_at || self.entry.address != entry.address;
        if !entry.leaving {
            self.leaving_since = None;
        } else if self.leaving_since.is_none() {
            self.leaving_since = Some(since);
        }
        self.entry = entry.clone();
        self.round_trip = round_trip;
        if !restarted {
            return Vec::new();
        }
        self.no_open_before = Time::default();
        self.open_failed = false;
        self.lag = None;
        self.log_end = Point::default();
        self.checkouts.reset_ages(now);
        self.drain_idle()
    }

    /// Its announcement.
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Its identifier.
    pub fn id(&self) -> &InstanceId {
        &self.entry.id
    }

    /// Connections that are idle, checked out or being opened.
    pub fn count(&self) -> u32 {
        self.idle.len() as u32 + self.checked_out() + self.opening()
    }

    /// Connections that are checked out.
    pub fn checked_out(&self) -> u32 {
        self.checkouts.count()
    }

    /// Connections that are being opened.
    pub fn opening(&self) -> u32 {
        self.opening.len() as u32
    }

    /// Connections that are being opened and that `usable` accepts by their owner.
    pub(super) fn opening_for(&self, usable: impl Fn(Option<&CustomerId>) -> bool) -> u32 {
        let opening = self.opening.iter();
        opening.filter(|owner| usable(owner.as_ref())).count() as u32
    }

    /// Whether this proxy has no connection to it and failed to open one.
    pub(super) fn is_unreachable(&self) -> bool {
        self.open_failed && self.idle.is_empty() && self.checked_out() == 0
    }

    /// Whether a connection is idle that `usable` accepts by its owner.
    pub(super) fn has_idle(
        &self,
        info: ConnInfo<C>,
        usable: impl Fn(Option<&CustomerId>) -> bool,
    ) -> bool {
        self.idle.iter().any(|(conn, _)| usable((info.owner)(conn)))
    }

    /// When its oldest connection was opened, idle or checked out.
    pub(super) fn oldest(&self, info: ConnInfo<C>) -> Option<Time> {
        let idle = self.idle.iter().map(|(conn, _)| (info.opened_at)(conn));
        idle.chain(self.checkouts.oldest()).min()
    }

    pub(super) fn into_idle(self) -> impl Iterator<Item = C> {
        self.idle.into_iter().map(|(conn, _)| conn)
    }

    /// Takes the connection opened first of those that `usable` accepts by their owner, and of
    /// equals the one used last, so that the others stay unused and can be closed.
    pub(super) fn take(
        &mut self,
        info: ConnInfo<C>,
        usable: impl Fn(Option<&CustomerId>) -> bool,
    ) -> Option<C> {
        let idle = self.idle.iter().enumerate().rev();
        let mine = idle.filter(|(_, (conn, _))| usable((info.owner)(conn)));
        let (at, _) = mine.min_by_key(|(_, (conn, _))| (info.opened_at)(conn))?;
        let (conn, _) = self.idle.remove(at);
        self.checkouts.begin((info.opened_at)(&conn));
        Some(conn)
    }

    pub(super) fn release(
        &mut self,
        conn: Option<C>,
        took: Option<Span>,
        info: ConnInfo<C>,
        now: Time,
    ) {
        self.checkouts.end(conn.as_ref().map(info.opened_at));
        if let Some(took) = took {
            self.record_latency(took, now);
        }
        if let Some(conn) = conn {
            self.add_idle(conn, now);
        }
    }

    pub(super) fn open_completed(
        &mut self,
        owner: Option<&CustomerId>,
        result: Result<C, OpenError>,
        now: Time,
    ) {
        if let Some(at) = self.opening.iter().position(|o| o.as_ref() == owner) {
            self.opening.swap_remove(at);
        }
        self.open_failed = result.is_err();
        match result {
            Ok(conn) => self.add_idle(conn, now),
            Err(fault) => {
                let pause = match fault {
                    OpenError::Full => {
                        self.ceiling = Some((self.count(), now));
                        FULL_PAUSE
                    }
                    OpenError::Unreachable => UNREACHABLE_PAUSE,
                };
                self.no_open_before = now + pause;
            }
        }
    }

    fn add_idle(&mut self, conn: C, now: Time) {
        self.idle.push((conn, now));
    }

    /// Whether another connection may be opened within what the proxy may hold.
    ///
    /// The ceiling limits attempts while all proxies want more than their share at once:
    /// without it each would keep trying, and a refused connection costs the instance as much
    /// as an open one.
    ///
    /// Up to the share the ceiling rises fast. When all proxies restart, the instance refuses
    /// many of them until it drops their earlier connections; with a slow rise their callers
    /// would wait for seconds while other proxies have connections to spare.
    pub(super) fn may_open(&self, limits: Limits, now: Time) -> bool {
        self.count() < self.open_limit(limits, now)
    }

    /// Whether another connection may be opened in place of an idle one.
    pub(super) fn may_replace(&self, limits: Limits, now: Time) -> bool {
        self.has_evictable(limits) && self.count() <= self.open_limit(limits, now)
    }

    /// Number of connections that may be open now; 0 during a pause after a failure.
    fn open_limit(&self, limits: Limits, now: Time) -> u32 {
        if now < self.no_open_before {
            return 0;
        }
        let ceiling = self.ceiling.map_or(u32::MAX, |(ceiling, at)| {
            let waited = now.since(at);
            let beyond = ceiling.saturating_add(steps(waited, CEILING_STEP));
            let doublings = steps(waited, FULL_PAUSE).saturating_sub(1);
            let doubled = 1_u32.checked_shl(doublings);
            let within = ceiling.max(1).saturating_mul(doubled.unwrap_or(u32::MAX));
            beyond.max(within.min(limits.share))
        });
        limits.max.min(ceiling.max(1))
    }

    pub(super) fn begin_open(&mut self, owner: Option<CustomerId>) {
        self.opening.push(owner);
    }

    pub(super) fn pause_reads(&mut self, until: Time) {
        self.reads_paused_until = self.reads_paused_until.max(until);
    }

    pub(super) fn serves_reads(&self, now: Time) -> bool {
        let has_capacity = f64::from(self.checked_out()) < self.window;
        !self.entry.leaving && self.reads_paused_until <= now && has_capacity
    }

    /// Whether one more statement may be in flight, as one of `proxies` that share it.
    pub(super) fn has_room(&self, proxies: u32) -> bool {
        self.work
            .has_room(self.checked_out(), self.entry.slots, proxies)
    }

    /// Records that its log lacked a point that a read required.
    pub(super) fn record_lack(&mut self, point: Point, now: Time) {
        self.lag = Some(Lag::refused(self.lag, point, self.log_end, now));
    }

    /// Records the end of its log, as a response showed it.
    pub(super) fn record_log_end(&mut self, point: Point) {
        self.log_end = self.log_end.max(point);
        self.lag.take_if(|lag| !lag.is_behind(point));
    }

    /// Whether it certainly lacks a point: it recently refused a read because its log was too
    /// short, and no response has shown the point.
    pub(super) fn known_to_lack(&self, point: Point, now: Time) -> bool {
        let refused = self.lag.is_some_and(|lag| lag.is_known(now));
        refused && self.log_end < point
    }

    /// Whether its log may hold a point by now.
    ///
    /// When replicas lag for seconds, reads would otherwise go from one lagging replica to the
    /// other until their attempts are used up, while the primary could serve them. A replica
    /// that lacked a point is sent reads for it, or for a later one, only now and then; `singly`:
    /// one at a time.
    pub(super) fn may_hold(&self, point: Point, singly: bool, now: Time) -> bool {
        self.lag.is_none_or(|lag| lag.may_send(point, singly, now))
    }

    /// Records that a read for a point is sent to it.
    pub(super) fn record_read(&mut self, point: Point, now: Time) {
        if let Some(lag) = &mut self.lag {
            lag.sent(point, now);
        }
    }

    /// Records that it refused a statement because its slots and its queue are full.
    ///
    /// Several proxies may send to the same instance without knowing of each other; each
    /// refused statement would be retried at once and refused again. Reducing the reads in
    /// flight after a refusal, and raising them slowly with each response, keeps the queue
    /// short and the slots full.
    pub(super) fn record_overload(&mut self, now: Time) {
        self.work.decrease(self.checked_out(), now);
        self.window = (f64::from(self.checked_out()) * WINDOW_DECREASE).max(1.0);
        self.pause_reads(now + OVERLOAD_PAUSE);
    }

    /// Whether writes may go to it, if it leads. A leaving instance leads until another takes
    /// over, but gets writes only while it is sure to run.
    pub(super) fn serves_writes(&self, now: Time) -> bool {
        self.leaving_since
            .is_none_or(|since| now.since(since) < LEAVING_WRITE_TIME)
    }

    fn record_latency(&mut self, took: Span, now: Time) {
        self.measured_at = now;
        // The statement itself has just ended.
        self.work.record_latency(took, self.checked_out() + 1, now);
        self.window = (self.window + WINDOW_INCREASE / self.window).min(MAX_WINDOW);
        let old = self.latency.unwrap_or(took).as_micros();
        let new = (old * (SMOOTHING - 1) + took.as_micros()) / SMOOTHING;
        self.latency = Some(Span::from_micros(new));
    }

    /// Expected latency of one more read; `is_ready` says that a connection for it is idle.
    ///
    /// Balances skewed demand, and instances of different speed. The measured latency includes
    /// the wait behind other proxies' statements, so that work moves away from an instance that
    /// others keep busy; this proxy's own statements count in full.
    pub(super) fn expected_latency(&self, is_primary: bool, is_ready: bool, now: Time) -> Span {
        let guess = INITIAL_LATENCY.as_micros() + self.round_trip.as_micros();
        let mut latency = self.latency.map_or(guess, Span::as_micros);
        if now.since(self.measured_at) > LATENCY_EXPIRY {
            latency = latency.min(guess);
        }
        let slots = u64::from(self.entry.slots.max(1));
        let work = latency.saturating_sub(self.round_trip.as_micros());
        let mut expected = latency + work * u64::from(self.checked_out()) / slots;
        if self.round_trip >= FAR_ROUND_TRIP {
            expected += FAR_PENALTY.as_micros();
        }
        if !is_ready {
            expected += OPEN_PENALTY.as_micros();
        }
        if is_primary {
            expected += PRIMARY_PENALTY.as_micros();
        }
        Span::from_micros(expected)
    }
}

/// Number of whole steps in `time`.
fn steps(time: Span, step: Span) -> u32 {
    let steps = time.as_micros() / step.as_micros();
    u32::try_from(steps).unwrap_or(u32::MAX)
}
