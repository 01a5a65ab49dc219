//! What may be said to a caller about a request whose way was disturbed.
//!
//! *Did not run* is said only when no byte of the request can have been acted
//! on; a request that must not repeat is never sent twice.

/// What a second execution would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It has no effect: it may run any number of times.
    Read,
    /// It writes: it may be sent again only while it certainly did not run.
    Write,
    /// It writes and is marked as not repeatable: it is sent at most once.
    Once,
}

/// Most times that one request is sent. Load: a failover, during which every
/// request in flight fails at once; harm: the new primary gets each of them
/// many times over. Three cover a lost connection followed by a lost server.
pub const MAX_SENT: u32 = 3;

/// What to do after a disturbance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Choose a route again.
    Retry,
    /// Say that it did not run.
    DidNotRun,
    /// Say that it failed without effect on data; parts of it may have run.
    Failed,
    /// Say that its outcome is unknown.
    Unknown,
    /// End the answer that was begun with an error; it had no effect on data.
    Abort,
}

/// Where a request is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing of this attempt has left.
    Held,
    /// Bytes of this attempt may have left.
    Sent,
    /// A part of the answer went to the caller.
    Begun,
}

/// Follows one request through its attempts.
///
/// Invariant: `unsure` is set once an attempt was lost after bytes may have left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    kind: Kind,
    state: State,
    sent: u32,
    unsure: bool,
}

impl Outcome {
    /// A request of which nothing was sent.
    pub const fn new(kind: Kind) -> Self {
        Self {
            kind,
            state: State::Held,
            sent: 0,
            unsure: false,
        }
    }

    /// What a second execution would do.
    pub const fn kind(&self) -> Kind {
        self.kind
    }

    /// What was taken for a read turns out to write.
    ///
    /// Failure: a read calls a function that writes, which its text does not show. The
    /// server refuses it, and it is sent again as a write; judged as a read, it would
    /// be repeated after a lost connection. A request marked as not repeatable is never
    /// taken for a read in the first place.
    pub const fn reclassify(&mut self) {
        if matches!(self.kind, Kind::Read) {
            self.kind = Kind::Write;
        }
    }

    /// Bytes are about to leave: from here on they may have.
    pub const fn sending(&mut self) {
        self.state = State::Sent;
        self.sent += 1;
    }

    /// A part of the answer is about to go to the caller.
    pub const fn response_started(&mut self) {
        self.state = State::Begun;
    }

    /// Whether a part of the answer went to the caller.
    pub const fn has_response_started(&self) -> bool {
        matches!(self.state, State::Begun)
    }

    /// Whether another server may run it instead: it has no effect, and nothing of an
    /// answer has gone out.
    pub const fn may_reroute(&self) -> bool {
        matches!(self.kind, Kind::Read) && !self.has_response_started()
    }

    /// There was no route, no admission, or no connection, and there will be
    /// none before the deadline.
    pub const fn without_retry(&self) -> Verdict {
        match (self.unsure, self.kind) {
            (false, _) => Verdict::DidNotRun,
            (true, Kind::Read) => Verdict::Failed,
            (true, _) => Verdict::Unknown,
        }
    }

    /// The connection broke, stayed silent, or the deadline passed.
    ///
    /// `time_left` tells whether another attempt could end before the deadline.
    pub const fn lost(&mut self, time_left: bool) -> Verdict {
        let state = self.state;
        match state {
            State::Held if time_left => return Verdict::Retry,
            State::Held => return self.without_retry(),
            State::Sent | State::Begun => self.unsure = true,
        }
        match (self.kind, state) {
            (Kind::Read, State::Begun) => Verdict::Abort,
            (Kind::Read, _) if time_left && self.sent < MAX_SENT => self.again(),
            (Kind::Read, _) => Verdict::Failed,
            (Kind::Write | Kind::Once, _) => Verdict::Unknown,
        }
    }

    /// The server answered that it refuses to run the request, whole and undone.
    pub const fn refused(&mut self, time_left: bool) -> Verdict {
        // After a part of the answer has gone out, the refusal belongs to a later
        // statement of the same request; what came before it may have run.
        if matches!(self.state, State::Begun) {
            return match self.kind {
                Kind::Read => Verdict::Abort,
                Kind::Write | Kind::Once => Verdict::Unknown,
            };
        }
        let repeatable = !matches!(self.kind, Kind::Once);
        if repeatable && time_left && self.sent < MAX_SENT {
            return self.again();
        }
        self.without_retry()
    }

    /// The server ran a write whose survival no majority confirmed.
    pub const fn unconfirmed(&mut self) -> Verdict {
        self.unsure = true;
        Verdict::Unknown
    }

    const fn again(&mut self) -> Verdict {
        self.state = State::Held;
        Verdict::Retry
    }
}
