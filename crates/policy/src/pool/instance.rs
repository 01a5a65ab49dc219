//! One instance in a pool: its connections, and how soon it would answer.

use model::entry::Entry;
use model::id::InstanceId;
use model::position::Point;
use model::unit::{Span, Time};

use super::checkouts::Loans;
use super::{OpenError, Opened};

/// Time after which an idle connection beyond the proxy's part is closed. Opening one
/// costs the instance as much work as a statement, so it should outlast a pause between
/// two statements; another proxy may be waiting for it.
const IDLE_CLOSE: Span = Span::from_millis(400);

/// Pause after the instance said that it has no connection left. Others close theirs
/// after [`IDLE_CLOSE`]; asking more often costs the instance work.
const FULL_PAUSE: Span = Span::from_millis(500);

/// Pause after a connection could not be opened.
const UNREACHABLE_PAUSE: Span = Span::from_millis(150);

/// Time of a statement before one was measured.
const FIRST_GUESS: Span = Span::from_millis(20);

/// Weight of a new measurement, as a divisor: about the last eight statements count.
const SMOOTHING: u64 = 8;

/// Time after which a measured time no longer counts against an instance. Without it one
/// that was slow once would get no statement that could show that it is well again.
const FORGET: Span = Span::from_millis(1_000);

/// Time for which a replica that lacked a point is taken to lack it still. Usual lags are
/// some ten milliseconds; a replica that lags for long costs a refused read this often.
const BEHIND_FOR: Span = Span::from_millis(120);

/// Time for which a refusal for a log that is too short says that an instance lags. Under
/// load one is asked again after [`BEHIND_FOR`], so that several refusals fall into it.
const BEHIND_KNOWN: Span = Span::from_millis(500);

/// Reads that may be in flight before anything is known.
const FIRST_ROOM: f64 = 8.0;

/// Most reads in flight; instances have few slots and a short queue.
const MAX_ROOM: f64 = 64.0;

/// What is left of the reads in flight after a refusal, and what an answer adds to them:
/// a window of 8 recovers within about 30 answers.
const SHRINK: f64 = 0.7;
const GROW: f64 = 0.5;

/// Pause after a refusal, about the time in which a slot comes free.
const BUSY_REST: Span = Span::from_millis(10);

/// Time after which one more connection is tried beyond the proxy's part and a number that
/// was too many.
const CEILING_RISE: Span = Span::from_millis(1_500);

/// Added while a connection must be opened first; instances take 10 to 30 ms for it.
const OPEN_COST: Span = Span::from_millis(20);

/// Time for which a leaving instance may still be given writes while it leads. Instances
/// serve on for 7 s and more after they said that they leave.
const LEAVING_LEADS: Span = Span::from_millis(5_000);

/// Added for an instance a region away. Load: all instances equally busy. Harm without
/// it: reads cross the narrow link between regions for a gain of some milliseconds.
const FAR_COST: Span = Span::from_millis(30);

/// A round trip from which an instance counts as a region away; data centres of one
/// region are at most a few milliseconds apart.
const FAR: Span = Span::from_millis(15);

/// Added for the primary. Load: writes, which only the primary can serve. Harm without
/// it: reads fill its slots, and writes wait while replicas idle.
const PRIMARY_COST: Span = Span::from_millis(25);

/// Connections to one instance that a proxy may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Limits {
    /// Its part of what the instance accepts.
    pub(super) part: u32,
    /// The most, for a moment.
    pub(super) most: u32,
}

/// One instance.
pub struct Instance<C> {
    entry: Entry,
    round_trip: Span,
    leaving_since: Option<Time>,
    /// Idle connections, each with the time since when, the longest idle first.
    idle: Vec<(C, Time)>,
    loans: Loans,
    opening: u32,
    /// Whether the last try to open a connection failed.
    failing: bool,
    /// No connection is opened before this time.
    no_open_before: Time,
    /// No read is given to it before this time.
    rests_until: Time,
    /// Usual time of a statement, the way included.
    usual: Option<Span>,
    learned: Time,
    /// Reads that may be in flight.
    room: f64,
    /// A point that its log lacked, and when.
    behind: Option<(Point, Time)>,
    /// Newest end of its log that an answer showed.
    shown: Point,
    /// Connections beyond which it said that it is full, and when.
    ceiling: Option<(u32, Time)>,
}

impl<C> Instance<C> {
    pub(super) fn new(entry: Entry, round_trip: Span, since: Time) -> Self {
        Self {
            leaving_since: entry.leaving.then_some(since),
            entry,
            round_trip,
            idle: Vec::new(),
            loans: Loans::default(),
            opening: 0,
            failing: false,
            no_open_before: Time::default(),
            rests_until: Time::default(),
            usual: None,
            learned: Time::default(),
            room: FIRST_ROOM,
            behind: None,
            shown: Point::default(),
            ceiling: None,
        }
    }

    /// Takes over an announcement that may have changed as early as `since`; connections to an
    /// earlier process are of no use.
    pub(super) fn update(
        &mut self,
        entry: &Entry,
        round_trip: Span,
        since: Time,
        now: Time,
    ) -> Vec<C> {
        let restarted = self.entry.born != entry.born || self.entry.address != entry.address;
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
        self.failing = false;
        self.behind = None;
        self.shown = Point::default();
        self.loans.renew(now);
        self.drain_idle()
    }

    /// Its announcement.
    pub fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Which one it is.
    pub fn id(&self) -> &InstanceId {
        &self.entry.id
    }

    /// Connections that are open, lent or being opened.
    pub fn count(&self) -> u32 {
        self.idle.len() as u32 + self.checked_out() + self.opening
    }

    /// Connections that are lent.
    pub fn checked_out(&self) -> u32 {
        self.loans.count()
    }

    /// Connections that are being opened.
    pub fn opening(&self) -> u32 {
        self.opening
    }

    /// Whether this proxy has no connection to it and could open none.
    pub(super) fn is_unreachable(&self) -> bool {
        self.failing && self.idle.is_empty() && self.checked_out() == 0
    }

    /// Whether a connection is idle.
    pub fn has_idle(&self) -> bool {
        !self.idle.is_empty()
    }

    /// When its oldest connection was opened, idle or lent.
    pub(super) fn oldest_per_replica(&self, opened: Opened<C>) -> Option<Time> {
        let idle = self.idle.iter().map(|(conn, _)| opened(conn));
        idle.chain(self.loans.oldest_per_replica()).min()
    }

    pub(super) fn into_idle(self) -> impl Iterator<Item = C> {
        self.idle.into_iter().map(|(conn, _)| conn)
    }

    /// Takes the connection opened first, and of equals the one used last: the others can
    /// then be closed for lack of use.
    pub(super) fn take(&mut self, opened: Opened<C>) -> Option<C> {
        let idle = self.idle.iter().enumerate().rev();
        let (at, _) = idle.min_by_key(|(_, (conn, _))| opened(conn))?;
        let (conn, _) = self.idle.remove(at);
        self.loans.begin(opened(&conn));
        Some(conn)
    }

    pub(super) fn release(
        &mut self,
        conn: Option<C>,
        took: Option<Span>,
        opened: Opened<C>,
        now: Time,
    ) {
        self.loans.end(conn.as_ref().map(opened));
        if let Some(took) = took {
            self.learn(took, now);
        }
        if let Some(conn) = conn {
            self.keep(conn, now);
        }
    }

    pub(super) fn open_completed(&mut self, result: Result<C, OpenError>, now: Time) {
        self.opening = self.opening.saturating_sub(1);
        self.failing = result.is_err();
        match result {
            Ok(conn) => self.keep(conn, now),
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

    fn keep(&mut self, conn: C, now: Time) {
        self.idle.push((conn, now));
    }

    /// Whether another connection may be opened within what the proxy may hold.
    ///
    /// Load: all proxies want more than their part at once. Harm without the ceiling: each
    /// goes on asking, and a refused connection costs the instance as much as an open one.
    ///
    /// Load: all proxies restart, and the instance refuses many of them until it drops the
    /// connections of before. Harm with a ceiling that rises slowly up to the proxy's part as
    /// well: their callers wait for seconds while other proxies have connections to spare.
    pub(super) fn may_open(&self, limits: Limits, now: Time) -> bool {
        let ceiling = self.ceiling.map_or(u32::MAX, |(ceiling, at)| {
            let waited = now.since(at);
            let beyond = ceiling.saturating_add(steps(waited, CEILING_RISE));
            let doublings = steps(waited, FULL_PAUSE).saturating_sub(1);
            let doubled = 1_u32.checked_shl(doublings);
            let within = ceiling.max(1).saturating_mul(doubled.unwrap_or(u32::MAX));
            beyond.max(within.min(limits.part))
        });
        self.count() < limits.most.min(ceiling.max(1)) && self.no_open_before <= now
    }

    pub(super) fn open(&mut self) {
        self.opening += 1;
    }

    pub(super) fn pause_reads(&mut self, until: Time) {
        self.rests_until = self.rests_until.max(until);
    }

    pub(super) fn serves_reads(&self, now: Time) -> bool {
        let room = f64::from(self.checked_out()) < self.room;
        !self.entry.leaving && self.rests_until <= now && room
    }

    /// Its log lacked a point that a read asked for.
    pub(super) fn record_lack(&mut self, point: Point, now: Time) {
        self.behind = Some((point, now));
    }

    /// An answer showed the end of its log.
    pub(super) fn record_log_end(&mut self, point: Point) {
        self.shown = self.shown.max(point);
        self.behind.take_if(|(lacked, _)| *lacked <= point);
    }

    /// Whether it lacks a point for certain: it said a moment ago that its log is too
    /// short, and no answer showed the point.
    pub(super) fn lacks_certainly(&self, point: Point, now: Time) -> bool {
        let refused = self
            .behind
            .is_some_and(|(_, at)| now.since(at) <= BEHIND_KNOWN);
        refused && self.shown < point
    }

    /// Whether its log may hold a point by now.
    ///
    /// Load: replicas that lag for seconds. Harm without it: reads go from one lagging
    /// replica to the other until their tries are used up, while the primary could serve
    /// them. One that lacked a point is asked for it, or a later one, only now and then.
    pub(super) fn may_hold(&self, point: Point, now: Time) -> bool {
        self.behind
            .is_none_or(|(lacked, at)| point < lacked || now.since(at) >= BEHIND_FOR)
    }

    /// It refused a statement because its slots and its queue are full.
    ///
    /// Load: proxies that know nothing of each other send to the same instance. Harm
    /// without it: each refused statement comes back at once and is refused again. Fewer
    /// in flight after a refusal, and slowly more after each answer, keeps the queue
    /// short and the slots full.
    pub(super) fn record_overload(&mut self, now: Time) {
        self.room = (f64::from(self.checked_out()) * SHRINK).max(1.0);
        self.pause_reads(now + BUSY_REST);
    }

    /// Whether writes may go to it, if it leads. One that leaves goes on leading until
    /// another takes over, but only for as long as it is sure to run.
    pub(super) fn serves_writes(&self, now: Time) -> bool {
        self.leaving_since
            .is_none_or(|since| now.since(since) < LEAVING_LEADS)
    }

    /// Takes every idle connection out.
    pub(super) fn drain_idle(&mut self) -> Vec<C> {
        self.idle.drain(..).map(|(conn, _)| conn).collect()
    }

    /// Takes every idle connection out but the one opened first.
    pub(super) fn drain_spare(&mut self, opened: Opened<C>) -> Vec<C> {
        self.idle.sort_by_key(|(conn, _)| opened(conn));
        let spare = self.idle.len().min(1);
        self.idle.drain(spare..).map(|(conn, _)| conn).collect()
    }

    /// Closes the connection opened last, and of equals the one idle longest, if the proxy
    /// holds more than `kept` and does not need it.
    pub(super) fn trim(&mut self, kept: u32, opened: Opened<C>, now: Time) -> Option<C> {
        if self.count() <= kept {
            return None;
        }
        let idle = self.idle.iter().enumerate().rev();
        let spare = idle.filter(|(_, (_, since))| now.since(*since) >= IDLE_CLOSE);
        let (at, _) = spare.max_by_key(|(_, (conn, _))| opened(conn))?;
        Some(self.idle.remove(at).0)
    }

    fn learn(&mut self, took: Span, now: Time) {
        self.learned = now;
        self.room = (self.room + GROW / self.room).min(MAX_ROOM);
        let old = self.usual.unwrap_or(took).as_micros();
        let new = (old * (SMOOTHING - 1) + took.as_micros()) / SMOOTHING;
        self.usual = Some(Span::from_micros(new));
    }

    /// Expected time of one more read.
    ///
    /// Load: skewed demand, and one instance slower than the others. The measured time
    /// includes the wait behind other proxies' statements, so that work moves away from
    /// an instance that others keep busy; statements of this proxy count in full.
    pub(super) fn expected(&self, leads: bool, now: Time) -> Span {
        let guess = FIRST_GUESS.as_micros() + self.round_trip.as_micros();
        let mut usual = self.usual.map_or(guess, Span::as_micros);
        if now.since(self.learned) > FORGET {
            usual = usual.min(guess);
        }
        let slots = u64::from(self.entry.slots.max(1));
        let work = usual.saturating_sub(self.round_trip.as_micros());
        let mut expected = usual + work * u64::from(self.checked_out()) / slots;
        if self.round_trip >= FAR {
            expected += FAR_COST.as_micros();
        }
        if !self.has_idle() {
            expected += OPEN_COST.as_micros();
        }
        if leads {
            expected += PRIMARY_COST.as_micros();
        }
        Span::from_micros(expected)
    }
}

/// Whole steps in some time.
fn steps(time: Span, step: Span) -> u32 {
    let steps = time.as_micros() / step.as_micros();
    u32::try_from(steps).unwrap_or(u32::MAX)
}
