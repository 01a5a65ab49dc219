//! What a proxy does for a statement when the carriers of its data centre lend nothing.
//!
//! Load: hundreds of proxies restart at once before instances that accept fewer connections
//! than there are proxies. For some hundred milliseconds carriers run that do not know the
//! group yet. Harm when a borrower then opens a connection of its own: all of them do so at
//! once, the instances reset thousands, and the carriers themselves find no free one. A
//! connection of one's own is therefore left for when no proxy of the data centre answers.

use model::unit::Span;

/// Carriers that answer whom one statement asks before it waits.
const ANSWERS: u32 = 3;

/// Carriers that one statement asks at most, those without an answer included: each takes
/// some of its time.
const ASKED: u32 = 6;

/// Pause before the carriers are asked again. One that starts knows its groups within some
/// hundred milliseconds.
const PAUSE: Span = Span::from_millis(40);

/// Why a carrier lent nothing, where another one may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantFailure {
    /// It did not answer.
    Unresponsive,
    /// It stops.
    Stopping,
    /// It does not know the group yet.
    Starting,
    /// It reaches no instance that could serve the request.
    Unreachable,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask the next carrier.
    NextPooler,
    /// Ask the carriers again, after a pause.
    RetryAfter(Span),
    /// Ask proxies of other data centres.
    Fallback,
    /// Use this proxy's own pool: it is cut off from those that could lend.
    OwnPool,
}

/// One round of questions to the carriers of a data centre.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolerAttempts {
    asked: u32,
    answers: u32,
    out_of_reach: bool,
}

impl PoolerAttempts {
    /// A carrier lent nothing; `more` says whether there is another one.
    pub fn failed(&mut self, miss: GrantFailure, more: bool) -> Next {
        self.asked += 1;
        match miss {
            GrantFailure::Unresponsive | GrantFailure::Stopping => {}
            GrantFailure::Starting => self.answers += 1,
            GrantFailure::Unreachable => {
                self.answers += 1;
                self.out_of_reach = true;
            }
        }
        if more && self.answers < ANSWERS && self.asked < ASKED {
            return Next::NextPooler;
        }
        match (self.out_of_reach, self.answers) {
            (true, _) => Next::Fallback,
            (false, 0) => Next::OwnPool,
            (false, _) => Next::RetryAfter(PAUSE),
        }
    }
}
