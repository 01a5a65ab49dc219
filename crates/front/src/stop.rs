//! Graceful shutdown: sessions end between statements, and open transactions get time to
//! complete.

use model::unit::{Span, Time};

use crate::clock;

/// Time from the signal until the load balancer sends no new callers: it checks readiness once
/// a second and needs two failed checks.
const BALANCER_DELAY: Span = Span::from_millis(2_200);

/// Reserved at the end of the grace period, so that the last responses are still sent.
const FINAL_RESERVE: Span = Span::from_millis(700);

/// Phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No shutdown has begun.
    Serving,
    /// The load balancer is told to send no callers; those that it still sends are served.
    Leaving,
    /// Sessions end after their next response.
    Closing,
    /// All sessions end, also those in a transaction.
    Ending,
}

/// The phases after [`Phase::Serving`], in order.
const PHASES: [Phase; 3] = [Phase::Leaving, Phase::Closing, Phase::Ending];

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

    /// Runs through the phases within the grace period, which began at `started`; returns early
    /// once `sessions` is 0 in the last phase.
    pub async fn run(mut self, started: Time, grace: Span, sessions: impl Fn() -> usize) {
        let half = Span::from_micros(grace.as_micros() / 2);
        clock::sleep_until(started + BALANCER_DELAY.min(half)).await;
        tracing::info!(
            sessions = sessions(),
            "sessions close after their next reply"
        );
        self.begin(Phase::Closing);
        clock::sleep_until(started + half).await;
        tracing::info!(sessions = sessions(), "all sessions close");
        self.begin(Phase::Ending);
        let usable = grace.as_micros().saturating_sub(FINAL_RESERVE.as_micros());
        let end = started + Span::from_micros(usable);
        while clock::now() < end && sessions() > 0 {
            clock::sleep_until(clock::now() + Span::from_millis(50)).await;
        }
    }
}
