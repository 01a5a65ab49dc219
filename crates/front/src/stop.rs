//! Graceful shutdown: sessions end between statements, and open transactions get time to
//! complete.

use model::unit::{Span, Time};

use crate::clock;

/// Time from the signal until the load balancer sends no new callers: it checks readiness once
/// a second and needs two failed checks.
const BALANCER_DELAY: Span = Span::from_millis(2_200);

/// Time before the end of the grace period at which statements in progress are aborted: their
/// replies take some time on a busy VM.
const ABORT_RESERVE: Span = Span::from_millis(700);

/// Time before the end of the grace period at which the process exits at the latest: the last log
/// lines and the end of the process take some time as well.
const EXIT_RESERVE: Span = Span::from_millis(300);

/// Shortest time for the replies to aborted statements.
const MIN_ABORT_TIME: Span = Span::from_millis(300);

/// Interval between two checks whether sessions are open.
const POLL_INTERVAL: Span = Span::from_millis(20);

/// Phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No shutdown has begun.
    Serving,
    /// The load balancer is told to send no callers; those that it still sends are served.
    Leaving,
    /// Sessions end after their next response.
    Closing,
    /// All sessions end, also those in a transaction, and none starts.
    Ending,
    /// Statements in progress are answered without a result.
    Aborting,
}

/// The phases after [`Phase::Serving`], in order.
const PHASES: [Phase; 4] = [
    Phase::Leaving,
    Phase::Closing,
    Phase::Ending,
    Phase::Aborting,
];

/// Gives sessions the phase of the shutdown.
#[derive(Clone)]
pub struct StopSignal([flume::Receiver<()>; PHASES.len()]);

/// Drives the shutdown; each phase of `PHASES` begins when its sender is dropped.
pub struct StopController([Option<flume::Sender<()>>; PHASES.len()]);

/// Creates a controller and its signal, in phase [`Phase::Serving`].
pub fn pair() -> (StopController, StopSignal) {
    let channels = PHASES.map(|_| flume::bounded(1));
    let signal = StopSignal(channels.each_ref().map(|(_, rx)| rx.clone()));
    (StopController(channels.map(|(tx, _)| Some(tx))), signal)
}

impl StopSignal {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        let begun = PHASES.iter().zip(&self.0).rev();
        let mut begun = begun.filter(|(_, rx)| rx.is_disconnected());
        begun.next().map_or(Phase::Serving, |(phase, _)| *phase)
    }

    /// Waits until a phase has begun.
    pub async fn reached(&self, phase: Phase) {
        if let Some(at) = PHASES.iter().position(|p| *p == phase) {
            // Nothing is ever sent: `recv` returns an error once the sender is dropped.
            let _ = self.0[at].recv_async().await;
        }
    }

    /// Waits until the phase after `phase` has begun; never returns after the last one.
    pub async fn after(&self, phase: Phase) {
        match PHASES.into_iter().find(|next| *next > phase) {
            Some(next) => self.reached(next).await,
            None => futures_util::future::pending().await,
        }
    }
}

/// When the phases of a shutdown begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// When [`Phase::Closing`] begins.
    pub closing: Time,
    /// When [`Phase::Ending`] begins.
    pub ending: Time,
    /// When [`Phase::Aborting`] begins.
    pub aborting: Time,
    /// When the process exits at the latest, unless it was paused until then; before the end of
    /// the grace period.
    pub exit: Time,
}

impl Schedule {
    /// The schedule for a grace period that began at `started`.
    pub fn new(started: Time, grace: Span) -> Self {
        let part = |n| Span::from_micros(grace.as_micros() / n);
        let before_end =
            |reserve: Span| started + Span::from_micros(grace.as_micros() - reserve.as_micros());
        Self {
            closing: started + BALANCER_DELAY.min(part(2)),
            ending: started + part(2),
            aborting: before_end(ABORT_RESERVE.min(part(4))),
            exit: before_end(EXIT_RESERVE.min(part(8))),
        }
    }
}

impl StopController {
    fn begin(&mut self, phase: Phase) {
        for (at, earlier) in PHASES.into_iter().enumerate() {
            if earlier <= phase {
                self.0[at] = None;
            }
        }
    }

    /// Begins the shutdown.
    pub fn leave(&mut self) {
        self.begin(Phase::Leaving);
    }

    /// Runs through the phases; returns early once `sessions` is 0 after all were to end.
    pub async fn run(mut self, schedule: Schedule, sessions: impl Fn() -> usize) {
        clock::sleep_until(schedule.closing).await;
        tracing::info!(
            sessions = sessions(),
            "sessions close after their next reply"
        );
        self.begin(Phase::Closing);
        clock::sleep_until(schedule.ending).await;
        tracing::info!(sessions = sessions(), "all sessions close");
        self.begin(Phase::Ending);
        if wait_for_none(&sessions, schedule.aborting).await {
            return;
        }
        tracing::info!(sessions = sessions(), "statements in progress are aborted");
        self.begin(Phase::Aborting);
        // A process that was paused until now is late, and has replies to send all the same.
        let exit = schedule.exit.max(clock::now() + MIN_ABORT_TIME);
        wait_for_none(&sessions, exit).await;
    }
}

/// Waits until no session is open, at most until `end`; returns whether none is.
async fn wait_for_none(sessions: impl Fn() -> usize, end: Time) -> bool {
    while sessions() > 0 {
        let now = clock::now();
        if now >= end {
            return false;
        }
        clock::sleep_until(end.min(now + POLL_INTERVAL)).await;
    }
    true
}
