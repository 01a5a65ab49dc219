//! Repeated attempts: which are safe, how many a proxy affords, and when.

use model::unit::Span;
use rand::Rng;

/// Tokens of a full budget. Load: every backend connection breaks in a failover;
/// harm: each request comes twice when the server can do least. Ten retries carry
/// a handful of callers over one broken connection.
const FULL: f64 = 10.0;

/// Below this no retry is made. Half of the budget goes to the first failures, the
/// rest has to be earned back before retries start again.
const RESERVE: f64 = 5.0;

/// What an answered request earns: at most one retry for ten answers, so that
/// retries add a tenth to the load at most.
const EARNED: f64 = 0.1;

/// What a failure costs, whether it is retried or not: with more than one failure
/// in eleven requests the budget shrinks to nothing.
const FAILURE: f64 = 1.0;

/// First delay; about the time of a short statement.
const FIRST_DELAY: Span = Span::from_millis(5);

/// Longest delay; a failover is over in a few of these.
const LONGEST_DELAY: Span = Span::from_millis(320);

/// Most attempts after the first one.
const MOST_RETRIES: u32 = 4;

/// How far an attempt came before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// No byte of the request reached a connection.
    NotSent,
    /// Bytes may have reached the backend server, and no answer came.
    Sent,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Whether running the request twice equals running it once.
    pub idempotent: bool,
    /// How far it came.
    pub progress: Progress,
    /// Attempts before this one.
    pub previous_attempts: u32,
}

/// Retries that a proxy affords towards one group.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: FULL }
    }
}

impl Budget {
    /// An answer came.
    pub fn answered(&mut self) {
        self.tokens = (self.tokens + EARNED).min(FULL);
    }

    /// An attempt failed; the delay before the next one, if there may be one.
    ///
    /// Failure: a payment was sent and the connection broke before the answer. It
    /// may have run, so it is never sent again, whatever the budget.
    pub fn failed(&mut self, attempt: Attempt, rng: &mut impl Rng) -> Option<Span> {
        let allowed = self.tokens > RESERVE;
        self.tokens = (self.tokens - FAILURE).max(0.0);
        let safe = attempt.idempotent || attempt.progress == Progress::NotSent;
        let more = attempt.previous_attempts < MOST_RETRIES;
        (allowed && safe && more).then(|| delay(attempt.previous_attempts, rng))
    }
}

/// A random delay up to a bound that doubles.
///
/// Load: all connections of a server break at once; harm: all retries meet at the
/// next server in the same millisecond. The whole range is random, which spreads
/// them best.
pub fn delay(previous_attempts: u32, rng: &mut impl Rng) -> Span {
    let bound = FIRST_DELAY.times(1 << previous_attempts.min(16));
    let bound = bound.min(LONGEST_DELAY).as_micros();
    Span::from_micros(rng.random_range(0..=bound))
}
