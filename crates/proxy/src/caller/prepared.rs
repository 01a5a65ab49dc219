//! Prepared statements of callers, and the names that they have on backend servers.

use std::rc::Rc;

use bytes::Bytes;
use pg::classify::{self, Statement};
use pg::frame::{self, Frame};
use pg::marks::{self, Marks};
use pg::report::{self, Report};
use pg::tag;
use sha2::Digest as _;

use super::reply;
use crate::backend::StatementId;

/// A statement text that a caller prepared.
///
/// On backend servers its name is made from its text, so that every session that
/// prepares the same text shares one statement per connection.
#[derive(Clone, Debug)]
pub(crate) struct Prepared {
    /// Hash of the text and its parameter types.
    pub(crate) id: StatementId,
    /// Text and parameter types as in the caller's `Parse`, after the name.
    text: Bytes,
    /// What is known of the text.
    pub(crate) statement: Rc<Statement>,
    /// Marks in the text.
    pub(crate) marks: Marks,
}

impl Prepared {
    /// Reads a `Parse` message; returns the caller's name for it as well.
    pub(crate) fn read(
        parse: &Frame,
        cache: &mut classify::Cache,
    ) -> Result<(Bytes, Rc<Self>), Report> {
        let malformed = || Report::error(report::PROTOCOL, "malformed Parse message");
        let mut body = parse.body();
        let name = frame::text(&mut body).ok_or_else(malformed)?;
        // Copied, because a slice would keep the whole read buffer alive.
        let text = Bytes::copy_from_slice(&body);
        let sql = frame::text(&mut body).ok_or_else(malformed)?;
        let sql = std::str::from_utf8(&sql).map_err(|_| malformed())?;
        let (bare, marks) = marks::split(sql).map_err(|e| bad_mark(&e))?;
        let hash = sha2::Sha256::digest(&text);
        let mut id = StatementId::default();
        id.copy_from_slice(&hash[..size_of::<StatementId>()]);
        let statement = cache.classify(bare);
        let prepared = Self {
            id,
            text,
            statement,
            marks,
        };
        Ok((name, Rc::new(prepared)))
    }

    /// Its name on backend servers.
    pub(crate) fn name(&self) -> String {
        name(&self.id)
    }

    /// The `Parse` message that prepares it under `name`.
    pub(crate) fn parse(&self, name: &str) -> Bytes {
        let mut body = Vec::with_capacity(name.len() + 1 + self.text.len());
        body.extend_from_slice(name.as_bytes());
        body.push(0);
        body.extend_from_slice(&self.text);
        reply::message(tag::PARSE, &body)
    }
}

/// The name on backend servers of the statement with this hash.
pub(crate) fn name(id: &StatementId) -> String {
    use std::fmt::Write as _;
    id.iter().fold("pomelo_".to_owned(), |mut name, byte| {
        let _ = write!(name, "{byte:02x}");
        name
    })
}

/// The report for a mark that cannot be read.
pub(crate) fn bad_mark(e: &marks::MarkError) -> Report {
    Report::error(report::BAD_VALUE, e.to_string()).hint("the request did not run")
}
