//! Graceful shutdown: sessions end between statements, and open transactions get time to
//! complete.

use model::unit::Span;

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
    /// Sessions end after their next response.
    Closing,
    /// All sessions end, also those in a transaction.
    Ending,
}

/// Gives sessions the phase of the shutdown.
#[derive(Clone)]
pub struct StopSignal {
    closing: flume::Receiver<()>,
    ending: flume::Receiver<()>,
}

/// Drives the shutdown; each phase begins when its sender is dropped.
pub struct StopController {
    closing: flume::Sender<()>,
    ending: flume::Sender<()>,
}

/// Creates a controller and its signal, in phase [`Phase::Serving`].
pub fn pair() -> (StopController, StopSignal) {
    let (closing, closing_rx) = flume::bounded(1);
    let (ending, ending_rx) = flume::bounded(1);
    let signal = StopSignal {
        closing: closing_rx,
        ending: ending_rx,
    };
    (StopController { closing, ending }, signal)
}

impl StopSignal {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        if self.ending.is_disconnected() {
            Phase::Ending
        } else if self.closing.is_disconnected() {
            Phase::Closing
        } else {
            Phase::Serving
        }
    }

    /// Waits until the next phase begins; never returns in the last one.
    pub async fn changed(&self) {
        let next = match self.phase() {
            Phase::Serving => &self.closing,
            Phase::Closing => &self.ending,
            Phase::Ending => return futures_util::future::pending().await,
        };
        // Nothing is ever sent: `recv` returns an error once the sender is dropped.
        let _ = next.recv_async().await;
    }
}

impl StopController {
    /// Runs through the phases within the grace period; returns early once `sessions` is 0 in
    /// the last phase.
    pub async fn run(self, grace: Span, sessions: impl Fn() -> usize) {
        let started = clock::now();
        let half = Span::from_micros(grace.as_micros() / 2);
        clock::sleep_until(started + BALANCER_DELAY.min(half)).await;
        tracing::info!(
            sessions = sessions(),
            "sessions close after their next reply"
        );
        drop(self.closing);
        clock::sleep_until(started + half).await;
        tracing::info!(sessions = sessions(), "all sessions close");
        drop(self.ending);
        let usable = grace.as_micros().saturating_sub(FINAL_RESERVE.as_micros());
        let end = started + Span::from_micros(usable);
        while clock::now() < end && sessions() > 0 {
            clock::sleep_until(clock::now() + Span::from_millis(50)).await;
        }
    }
}
