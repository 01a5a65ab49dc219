//! Statements of callers, independent of the wire protocol.

use std::sync::Arc;

use crate::macros;

macros::value! {
    /// Identifier of one statement, chosen by the caller; it is logged and forwarded unchanged.
    pub struct StatementId(pub Arc<str>);
}

impl std::fmt::Display for StatementId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// Effect of a statement on data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Access {
    /// Only reads.
    Read,
    /// Writes.
    Write,
}

macros::value! {
    /// Content of a prepared statement. Equal shapes may share one prepared statement.
    pub struct Shape {
        /// Its effect on data.
        pub access: Access,
        /// Text of the statement, which the proxy does not interpret.
        pub text: Arc<str>,
    }
}

/// A statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin(Access),
    /// Commits a transaction.
    Commit,
    /// Rolls back a transaction.
    Rollback,
    /// Reads or writes; forwarded unchanged.
    Run(Access),
    /// Sets a session variable.
    Set {
        /// Name of the variable.
        name: Arc<str>,
        /// New value.
        value: Arc<str>,
    },
    /// Prepares a statement under a name that is local to the session.
    Prepare {
        /// Its name in the session.
        name: Arc<str>,
        /// Its content.
        shape: Shape,
    },
    /// Runs a prepared statement.
    Execute {
        /// Its name in the session.
        name: Arc<str>,
        /// Text after the name, forwarded unchanged.
        args: Arc<str>,
    },
    /// Deallocates a prepared statement.
    Deallocate {
        /// Its name in the session.
        name: Arc<str>,
    },
}

/// Whether a session is inside a transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TxState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction failed and can only be ended.
    Failed,
}

/// Error code of a statement without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Code {
    /// Rejected for lack of capacity; it did not run.
    Busy,
    /// The transaction was rolled back.
    Aborted,
    /// The instance's log is not fresh enough; it did not run.
    Behind,
    /// The instance accepts no writes; it did not run.
    ReadOnly,
    /// The statement reached another instance than the intended one; it did not run.
    WrongInstance,
    /// The instance accepts no further connections; it did not run.
    TooManyConnections,
    /// It ran and failed.
    Failed,
    /// It refers to an unknown prepared statement; it did not run.
    NotPrepared,
    /// The time limit was exceeded; it may have run.
    Timeout,
    /// The caller is not allowed to connect.
    Forbidden,
    /// No route for the database exists.
    NoDatabase,
    /// A message is too large.
    TooLarge,
    /// It cannot be parsed, or is not allowed in this state of the session.
    Malformed,
    /// Outcome unknown; it may have run.
    InDoubt,
}

impl Code {
    /// Whether the code guarantees that the statement and its transaction had no effect.
    pub const fn guarantees_no_effect(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Aborted
                | Self::Behind
                | Self::ReadOnly
                | Self::WrongInstance
                | Self::TooManyConnections
        )
    }
}
