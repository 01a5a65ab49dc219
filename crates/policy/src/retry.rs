//! Retries: which failed attempts are safe to repeat, how many a proxy allows, and when.

use model::unit::Span;
use rand::Rng;

/// Tokens of a full budget. In a failover every backend connection breaks, and without a
/// budget each request would be sent twice when the server has the least capacity. Ten
/// retries get a handful of callers past one broken connection.
const MAX_TOKENS: f64 = 10.0;

/// Retries need more tokens than this. The first failures may use half of the budget; after
/// that, responses have to earn tokens before retries start again.
const MIN_TOKENS: f64 = 5.0;

/// Tokens earned by each response: at most one retry for ten responses, so that retries
/// add at most a tenth to the load.
const TOKENS_PER_RESPONSE: f64 = 0.1;

/// Tokens that each failure costs, whether it is retried or not: with more than one failure
/// in eleven requests the budget shrinks to zero.
const TOKENS_PER_FAILURE: f64 = 1.0;

/// Upper bound of the first delay; about the time of a short statement.
const INITIAL_BACKOFF: Span = Span::from_millis(5);

/// Largest upper bound of a delay; a failover takes a few of these.
const MAX_BACKOFF: Span = Span::from_millis(320);

/// Maximum number of attempts after the first one.
const MAX_RETRIES: u32 = 4;

/// Progress of an attempt before it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// No byte of the request was written to a connection.
    NotSent,
    /// Bytes may have reached the backend server, and no response arrived.
    Sent,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Progress before the failure.
    pub progress: Progress,
    /// Attempts before this one.
    pub previous_attempts: u32,
}

/// Budget of a proxy's retries to one group.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl Budget {
    /// Records a response.
    pub fn answered(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_RESPONSE).min(MAX_TOKENS);
    }

    /// Records a failed attempt and returns the delay before the next one, if a retry is
    /// allowed.
    ///
    /// If the connection breaks after a payment was sent and before the response, the
    /// payment may have run, so it is never sent again, whatever the budget.
    pub fn failed(&mut self, attempt: Attempt, rng: &mut impl Rng) -> Option<Span> {
        let affordable = self.tokens > MIN_TOKENS;
        self.tokens = (self.tokens - TOKENS_PER_FAILURE).max(0.0);
        let safe = attempt.idempotent || attempt.progress == Progress::NotSent;
        let retries_left = attempt.previous_attempts < MAX_RETRIES;
        (affordable && safe && retries_left).then(|| delay(attempt.previous_attempts, rng))
    }
}

/// A random delay up to a bound that doubles with each previous attempt (full jitter).
///
/// When all connections of a server break at once, retries without jitter would reach the
/// next server in the same millisecond. The delay is random over the whole range, which
/// spreads them best.
pub fn delay(previous_attempts: u32, rng: &mut impl Rng) -> Span {
    let bound = INITIAL_BACKOFF.times(1 << previous_attempts.min(16));
    let bound = bound.min(MAX_BACKOFF).as_micros();
    Span::from_micros(rng.random_range(0..=bound))
}
