//! What a proxy does for a statement when the poolers of its data centre grant no connection.
//!
//! Under load, hundreds of proxies restart at once, and their instances accept fewer
//! connections than there are proxies. For some hundred milliseconds poolers run that do not
//! know the group yet. If client proxies then opened connections of their own, all would do
//! so at once, the instances would reset thousands of them, and the poolers themselves would
//! find no free connection. So a proxy uses its own pool only if no proxy of the data centre
//! responds.

use model::unit::Span;

/// Responses from poolers that granted nothing after which a statement waits.
const MAX_RESPONSES: u32 = 3;

/// Most poolers that one statement tries in a row, the unresponsive ones included: each one
/// takes part of the statement's time.
const MAX_ATTEMPTS: u32 = 6;

/// Delay before the poolers are tried again. A starting pooler knows its groups within some
/// hundred milliseconds.
const RETRY_DELAY: Span = Span::from_millis(40);

/// Why a pooler granted no connection, where another one may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantFailure {
    /// It did not respond.
    Unresponsive,
    /// It is shutting down.
    Stopping,
    /// It does not know the group yet.
    Starting,
    /// It cannot reach any instance that could serve the request.
    Unreachable,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try the next pooler.
    NextPooler,
    /// Try the poolers again after this delay.
    RetryAfter(Span),
    /// Look for another proxy that reaches the group; see [`crate::fallback`].
    Fallback,
    /// Use this proxy's own pool: no pooler responded, so it is probably partitioned.
    OwnPool,
}

/// The attempts of one statement to get a connection from the poolers of a data centre.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolerAttempts {
    tried: u32,
    responses: u32,
    unreachable: bool,
}

impl PoolerAttempts {
    /// Records that a pooler granted nothing; `more` is whether there is another one to try.
    pub fn failed(&mut self, failure: GrantFailure, more: bool) -> Next {
        self.tried += 1;
        match failure {
            GrantFailure::Unresponsive | GrantFailure::Stopping => {}
            GrantFailure::Starting => self.responses += 1,
            GrantFailure::Unreachable => {
                self.responses += 1;
                self.unreachable = true;
            }
        }
        if more && self.responses < MAX_RESPONSES && self.tried < MAX_ATTEMPTS {
            return Next::NextPooler;
        }
        match (self.unreachable, self.responses) {
            (true, _) => Next::Fallback,
            (false, 0) => Next::OwnPool,
            (false, _) => Next::RetryAfter(RETRY_DELAY),
        }
    }
}
