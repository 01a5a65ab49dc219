//! Log records: the statements of one committed transaction.

use model::position::Term;
use rusqlite::types::Value;

/// A statement with its parameters.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// Text as the database runs it.
    pub text: String,
    /// Values of `$1`, `$2`, …
    pub values: Vec<Value>,
}

/// One commit.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Term of the primary that committed it.
    pub term: Term,
    /// Its writing statements, in order.
    pub statements: Vec<Statement>,
}

impl Record {
    /// Rough size on a link, in bytes.
    pub(crate) fn size(&self) -> usize {
        const FIXED: usize = 24;
        let of = |s: &Statement| s.text.len() + s.values.iter().map(value_size).sum::<usize>();
        FIXED + self.statements.iter().map(of).sum::<usize>()
    }
}

fn value_size(value: &Value) -> usize {
    match value {
        Value::Null => 1,
        Value::Integer(_) | Value::Real(_) => 8,
        Value::Text(text) => text.len(),
        Value::Blob(bytes) => bytes.len(),
    }
}
