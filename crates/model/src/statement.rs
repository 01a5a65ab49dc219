//! Statements of callers, free of any wire protocol.

use std::sync::Arc;

use crate::macros;

macros::value! {
    /// Identifies one statement; the caller chooses it, and it is logged and passed on unchanged.
    pub struct StatementId(pub Arc<str>);
}

impl std::fmt::Display for StatementId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a statement does to data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Access {
    /// It only reads.
    Read,
    /// It writes.
    Write,
}

macros::value! {
    /// What a prepared statement runs. Equal shapes may share one prepared statement.
    pub struct Shape {
        /// What it does to data.
        pub access: Access,
        /// The statement's text, opaque to the proxy.
        pub text: Arc<str>,
    }
}

/// A statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin(Access),
    /// Ends a transaction and keeps its writes.
    Commit,
    /// Ends a transaction and drops its writes.
    Rollback,
    /// Reads or writes; passed on as it came.
    Run(Access),
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: Arc<str>,
        /// The new value.
        value: Arc<str>,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// The session's name for it.
        name: Arc<str>,
        /// What it runs.
        shape: Shape,
    },
    /// Runs a prepared statement.
    Execute {
        /// The session's name for it.
        name: Arc<str>,
        /// What follows the name, passed on as it came.
        args: Arc<str>,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The session's name for it.
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
    /// The transaction failed; it can only be ended.
    Failed,
}

/// Why a statement has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Code {
    /// Refused for want of capacity; it did not run.
    Busy,
    /// Nothing of the transaction is kept.
    Aborted,
    /// The instance's log is too short; it did not run.
    Behind,
    /// The instance may not write; it did not run.
    ReadOnly,
    /// The instance is not the one that was meant; it did not run.
    WrongInstance,
    /// The instance has no connection left; it did not run.
    TooManyConnections,
    /// It ran and failed.
    Failed,
    /// It names no prepared statement; it did not run.
    NotPrepared,
    /// It ran out of time; it may have run.
    Timeout,
    /// The caller may not connect.
    Forbidden,
    /// No route has this database.
    NoDatabase,
    /// A message is too large.
    TooLarge,
    /// It cannot be read, or not in this state of the session.
    Malformed,
    /// It may have run.
    InDoubt,
}

impl Code {
    /// Whether the code promises that nothing of the statement or its transaction is kept.
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
