//! What to do, and what to report to the caller, after a request was interrupted.
//!
//! *Did not run* is reported only when no byte of the request can have taken effect; a
//! request that must not be repeated is never sent twice.

/// Effect of a second execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// None: the request may run any number of times.
    Read,
    /// A second write: the request may be sent again only if it certainly did not run.
    Write,
    /// A second write, and the request is marked as not repeatable: it is sent at most once.
    Once,
}

/// Maximum number of times that one request is sent. In a failover every request in flight
/// fails at once, and without a limit the new primary would receive each of them many times.
/// Three attempts cover a lost connection followed by a lost server.
pub const MAX_SENT: u32 = 3;

/// What to do after an interruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Route the request again.
    Retry,
    /// Report that it did not run.
    DidNotRun,
    /// Report that it failed without effect on data; parts of it may have run.
    Failed,
    /// Report that its outcome is unknown.
    Unknown,
    /// End the partly sent response with an error; the request had no effect on data.
    Abort,
}

/// Progress of the current attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No byte of it has been sent.
    NotSent,
    /// Bytes of it may have been sent.
    Sent,
    /// A part of the response was sent to the caller.
    Responding,
}

/// Tracks one request through its attempts.
///
/// Invariant: `may_have_run` is set once an attempt was lost after bytes may have been sent,
/// or the server ran a write that no majority confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    kind: Kind,
    state: State,
    sent: u32,
    may_have_run: bool,
}

impl Outcome {
    /// A request that has not been sent.
    pub const fn new(kind: Kind) -> Self {
        Self {
            kind,
            state: State::NotSent,
            sent: 0,
            may_have_run: false,
        }
    }

    /// Effect of a second execution.
    pub const fn kind(&self) -> Kind {
        self.kind
    }

    /// Changes a request classified as a read to a write.
    ///
    /// A statement classified as a read may call a function that writes, which its text
    /// does not show. The server rejects it, and it is sent again as a write; still
    /// classified as a read, it would be repeated after a lost connection. A request marked
    /// as not repeatable is never classified as a read in the first place.
    pub const fn reclassify(&mut self) {
        if matches!(self.kind, Kind::Read) {
            self.kind = Kind::Write;
        }
    }

    /// Records that bytes are about to be sent: from now on they may have been.
    pub const fn sending(&mut self) {
        self.state = State::Sent;
        self.sent += 1;
    }

    /// Records that a part of the response is about to be sent to the caller.
    pub const fn response_started(&mut self) {
        self.state = State::Responding;
    }

    /// Whether a part of the response was sent to the caller.
    pub const fn has_response_started(&self) -> bool {
        matches!(self.state, State::Responding)
    }

    /// Whether another server may run it instead: it has no effect on data, and no part of
    /// a response has been sent to the caller.
    pub const fn may_reroute(&self) -> bool {
        matches!(self.kind, Kind::Read) && !self.has_response_started()
    }

    /// Verdict without another attempt: no route, admission or connection is available
    /// before the deadline, or no retry is allowed.
    pub const fn without_retry(&self) -> Verdict {
        match (self.may_have_run, self.kind) {
            (false, _) => Verdict::DidNotRun,
            (true, Kind::Read) => Verdict::Failed,
            (true, _) => Verdict::Unknown,
        }
    }

    /// Records that the attempt was lost: there was no route or connection, the connection
    /// broke or was unresponsive, or the deadline passed.
    ///
    /// `time_left` is whether another attempt could finish before the deadline.
    pub const fn lost(&mut self, time_left: bool) -> Verdict {
        let state = self.state;
        match state {
            State::NotSent if time_left => return Verdict::Retry,
            State::NotSent => return self.without_retry(),
            State::Sent | State::Responding => self.may_have_run = true,
        }
        match (self.kind, state) {
            (Kind::Read, State::Responding) => Verdict::Abort,
            (Kind::Read, _) if time_left && self.sent < MAX_SENT => self.retry(),
            (Kind::Read, _) => Verdict::Failed,
            (Kind::Write | Kind::Once, _) => Verdict::Unknown,
        }
    }

    /// Records that the server rejected the request before any part of it took effect.
    pub const fn refused(&mut self, time_left: bool) -> Verdict {
        // If a part of the response has already been sent, the server rejected a later
        // statement of the same request; the earlier ones may have run.
        if matches!(self.state, State::Responding) {
            return match self.kind {
                Kind::Read => Verdict::Abort,
                Kind::Write | Kind::Once => Verdict::Unknown,
            };
        }
        let repeatable = !matches!(self.kind, Kind::Once);
        if repeatable && time_left && self.sent < MAX_SENT {
            return self.retry();
        }
        self.without_retry()
    }

    /// Records that the server ran a write that no majority confirmed.
    pub const fn unconfirmed(&mut self) -> Verdict {
        self.may_have_run = true;
        Verdict::Unknown
    }

    const fn retry(&mut self) -> Verdict {
        self.state = State::NotSent;
        Verdict::Retry
    }
}
