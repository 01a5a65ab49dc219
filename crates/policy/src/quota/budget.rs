//! Division of a customer's limit.

use model::customer::RateLimit;
use model::unit::Span;

use super::{PARTS, PERMIT_TTL};

/// Least part of the reserve with which granters begin, after a start or a change of granter.
/// After a restart of all, customers live on it until the granters are confirmed.
const INITIAL: f64 = 0.4;

/// Part of the reserve for what granters without confirmed authority issue over time.
const UNCONFIRMED: f64 = 0.1;

/// Number of parts that may be granted in one window, if each is taken over by another proxy.
const MAX_PARTS: f64 = 2.0 * PARTS as f64;

/// Least reserve, as a part of what is allowed in a window.
const MIN_RESERVE: f64 = 0.125;

/// What the operators tolerate beyond a customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Length of the windows in which operations are counted.
    pub window: Span,
    /// Accepted excess, as a part of the limit.
    pub overage: f64,
    /// Accepted excess, in operations a window.
    pub slack: f64,
}

impl Default for Terms {
    /// Windows of five seconds, without tolerance.
    fn default() -> Self {
        Self {
            window: Span::from_millis(5_000),
            overage: 0.0,
            slack: 0.0,
        }
    }
}

/// What the granter of one part may grant, in operations.
///
/// Invariant: with all parts in use, whatever window is counted, no more operations are sent
/// than the terms allow; see [`Budget::new`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Permits a second of a granter with confirmed authority.
    pub rate: f64,
    /// Permits a second of any other granter.
    pub unconfirmed_rate: f64,
    /// Permits that a confirmed granter may accumulate.
    pub capacity: f64,
    /// Permits with which a granter begins, and that an unconfirmed one may accumulate.
    pub initial: f64,
}

impl Budget {
    /// Divides a limit among the granters.
    ///
    /// What is sent in a window was granted in it, or at most [`PERMIT_TTL`] before. In that
    /// time granters issue at most their rates, what had accumulated before, what new granters
    /// begin with, and what unconfirmed granters issue. The sum of these is the allowed
    /// number. The regular rates and bursts get most of it, and the reserve the rest.
    ///
    /// Granters issue whole permits only. Where the reserve suffices, each begins with a whole
    /// one and may accumulate a whole one: otherwise customers with small limits would get
    /// nothing for seconds after a restart of all, however little they use.
    pub fn new(limit: RateLimit, terms: Terms) -> Self {
        let window = seconds(terms.window);
        let limited = limit.per_s() * window + limit.burst();
        let allowed = limited * (1.0 + terms.overage) + terms.slack;
        let granted_in = window + seconds(PERMIT_TTL);
        let unreserved = limit.per_s() * granted_in + limit.burst() / 2.0;
        let reserve = (allowed - unreserved).max(allowed * MIN_RESERVE);
        let regular = allowed - reserve;
        let burst = (limit.burst() / 2.0).min(regular / 2.0);
        let parts = PARTS as f64;
        let unconfirmed = reserve * UNCONFIRMED;
        let divided = reserve - unconfirmed;
        let mut initial = reserve * INITIAL / MAX_PARTS;
        if divided >= MAX_PARTS + parts {
            initial = initial.max(1.0);
        }
        Self {
            rate: (regular - burst) / granted_in / parts,
            unconfirmed_rate: unconfirmed / granted_in / MAX_PARTS,
            capacity: (burst + divided - initial * MAX_PARTS) / parts,
            initial,
        }
    }
}

fn seconds(span: Span) -> f64 {
    span.as_micros() as f64 / 1e6
}
