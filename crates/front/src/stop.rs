//! Shutting down without cutting a caller off.

use model::unit::Span;

use crate::clock;

/// Time from the signal until the balancer sends no new callers: it asks once a second
/// and needs two refusals.
const BALANCER: Span = Span::from_millis(2_200);

/// Kept back at the end of the grace time for the last answers to leave.
const LAST: Span = Span::from_millis(700);

/// How far the shutdown is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not begun.
    Serving,
    /// Sessions end after their next answer.
    Closing,
    /// All sessions end, open transactions included.
    Ending,
}

/// Tells sessions how far the shutdown is.
#[derive(Clone)]
pub struct StopSignal {
    closing: flume::Receiver<()>,
    ending: flume::Receiver<()>,
}

/// Moves the shutdown on; each phase begins when its sender is dropped.
pub struct StopController {
    closing: flume::Sender<()>,
    ending: flume::Sender<()>,
}

/// A pair that has not begun to stop.
pub fn pair() -> (StopController, StopSignal) {
    let (closing, closing_rx) = flume::bounded(1);
    let (ending, ending_rx) = flume::bounded(1);
    let stop = StopSignal {
        closing: closing_rx,
        ending: ending_rx,
    };
    (StopController { closing, ending }, stop)
}

impl StopSignal {
    /// The present phase.
    pub fn phase(&self) -> Phase {
        if self.ending.is_disconnected() {
            Phase::Ending
        } else if self.closing.is_disconnected() {
            Phase::Closing
        } else {
            Phase::Serving
        }
    }

    /// Ends when the next phase begins.
    pub async fn changed(&self) {
        let next = match self.phase() {
            Phase::Serving => &self.closing,
            Phase::Closing => &self.ending,
            Phase::Ending => return futures_util::future::pending().await,
        };
        // Nothing is ever sent: the error tells that the sender is gone.
        let _ = next.recv_async().await;
    }
}

impl StopController {
    /// Passes through the phases within the grace time; ends early when `sessions` says
    /// that none is left.
    pub async fn run(self, grace: Span, sessions: impl Fn() -> usize) {
        let begun = clock::now();
        let half = Span::from_micros(grace.as_micros() / 2);
        clock::sleep_until(begun + BALANCER.min(half)).await;
        drop(self.closing);
        clock::sleep_until(begun + half).await;
        drop(self.ending);
        let last = grace.as_micros().saturating_sub(LAST.as_micros());
        let end = begun + Span::from_micros(last);
        while clock::now() < end && sessions() > 0 {
            clock::sleep_until(clock::now() + Span::from_millis(50)).await;
        }
    }
}
