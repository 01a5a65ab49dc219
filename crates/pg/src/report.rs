//! Errors as callers see them: SQLSTATE, message and hint.

use std::{fmt, time};

use bytes::{Bytes, BytesMut};
use pgwire::messages::{Message as _, response};

/// An SQLSTATE code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SqlState(pub &'static str);

impl fmt::Display for SqlState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// The request did not run; the hint says when to come back.
pub const UNAVAILABLE: SqlState = SqlState("57P03");
/// The request did not run: refused by admission; the hint says when to come back.
pub const TOO_MANY: SqlState = SqlState("53300");
/// It is not known whether the request ran.
pub const OUTCOME_UNKNOWN: SqlState = SqlState("40003");
/// The proxy closes the connection between transactions; nothing was running.
pub const SHUTDOWN: SqlState = SqlState("57P01");
/// A read ended early; part of its answer may have been passed on.
pub const CONNECTION_LOST: SqlState = SqlState("08006");
/// The request was cancelled, by its caller or by its deadline.
pub const CANCELLED: SqlState = SqlState("57014");
/// The session's token names a write that a promotion discarded.
pub const TOKEN_FORKED: SqlState = SqlState("72000");
/// The statement is not supported on shared connections.
pub const UNSUPPORTED: SqlState = SqlState("0A000");
/// A `pomelo.` setting or mark has a bad value.
pub const BAD_VALUE: SqlState = SqlState("22023");
/// A `pomelo.` setting is not known.
pub const UNKNOWN_SETTING: SqlState = SqlState("42704");
/// The prepared statement exists already.
pub const DUPLICATE_STATEMENT: SqlState = SqlState("42P05");
/// The named prepared statement does not exist.
pub const UNKNOWN_STATEMENT: SqlState = SqlState("26000");
/// The message breaks the protocol.
pub const PROTOCOL: SqlState = SqlState("08P01");
/// The password is wrong.
pub const BAD_PASSWORD: SqlState = SqlState("28P01");
/// The caller is unknown, or may not reach the group.
pub const NOT_ALLOWED: SqlState = SqlState("28000");
/// The group does not exist.
pub const UNKNOWN_GROUP: SqlState = SqlState("3D000");
/// A message or an answer exceeds the memory kept for it.
pub const TOO_LARGE: SqlState = SqlState("54000");
/// The transaction is aborted until its end.
pub const IN_FAILED_TRANSACTION: SqlState = SqlState("25P02");
/// The transaction waited for its caller for too long, or stayed open for too long.
pub const TRANSACTION_LIMIT: SqlState = SqlState("25P03");
/// The server refuses to write.
pub const READ_ONLY: SqlState = SqlState("25006");

/// How bad an error is for the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The statement failed.
    Error,
    /// The connection ends.
    Fatal,
}

impl Severity {
    fn as_str(self) -> &'static str {
        match self {
            Self::Error => "ERROR",
            Self::Fatal => "FATAL",
        }
    }
}

/// One error for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Effect on the connection.
    pub severity: Severity,
    /// Its code; docs/SQLSTATE.md lists what each promises.
    pub code: SqlState,
    /// What happened.
    pub message: String,
    /// What the caller can do.
    pub hint: Option<String>,
}

impl Report {
    /// An error that ends the statement.
    pub fn error(code: SqlState, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Error,
            code,
            message: message.into(),
            hint: None,
        }
    }

    /// An error that ends the connection.
    pub fn fatal(code: SqlState, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Fatal,
            ..Self::error(code, message)
        }
    }

    /// Adds what the caller can do.
    #[must_use]
    pub fn hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = Some(hint.into());
        self
    }

    /// Adds when the caller may come back.
    #[must_use]
    pub fn retry_after(self, span: time::Duration) -> Self {
        self.hint(format!("retry after {} ms", span.as_millis()))
    }

    /// The message on the wire.
    pub fn encode(&self) -> Bytes {
        let mut fields = vec![
            (b'S', self.severity.as_str().to_owned()),
            (b'V', self.severity.as_str().to_owned()),
            (b'C', self.code.0.to_owned()),
            (b'M', self.message.replace('\0', "")),
        ];
        if let Some(hint) = &self.hint {
            fields.push((b'H', hint.replace('\0', "")));
        }
        let mut buf = BytesMut::new();
        let encoded = response::ErrorResponse::new(fields).encode(&mut buf);
        encoded.expect("an error report fits a message");
        buf.freeze()
    }
}

/// The code of an `ErrorResponse` body, if it carries one.
pub fn code(body: &[u8]) -> Option<&str> {
    field(body, b'C')
}

/// A field of an `ErrorResponse` body, if it carries it.
pub fn field(body: &[u8], name: u8) -> Option<&str> {
    body.split(|b| *b == 0)
        .find(|part| part.first() == Some(&name))
        .and_then(|part| std::str::from_utf8(&part[1..]).ok())
}
