//! One in-memory database, and what can be told about a statement in advance.

use rusqlite::types::Value;

use super::encode::oid;
use super::record::{Record, Statement};
use super::sql::{self, SqlError, Token};

/// A result column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Column {
    pub(crate) name: String,
    pub(crate) oid: u32,
}

/// Rows, or the number of rows changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Output {
    pub(crate) rows: Vec<Vec<Value>>,
    pub(crate) changed: usize,
    /// Set by the end of a transaction that kept nothing.
    pub(crate) rolled_back: bool,
}

/// What the database says of a statement before it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Shape {
    pub(crate) writes: bool,
    pub(crate) parameters: Vec<u32>,
    pub(crate) columns: Vec<Column>,
}

/// An in-memory database.
pub(crate) struct Database(rusqlite::Connection);

fn failed(e: &rusqlite::Error) -> SqlError {
    let text = e.to_string();
    let code = match e {
        rusqlite::Error::SqliteFailure(f, _)
            if f.code == rusqlite::ErrorCode::ConstraintViolation =>
        {
            if text.contains("UNIQUE") {
                "23505"
            } else {
                "23514"
            }
        }
        rusqlite::Error::SqliteFailure(f, _)
            if f.code == rusqlite::ErrorCode::OperationInterrupted =>
        {
            "57014"
        }
        _ if text.contains("no such table") => "42P01",
        _ if text.contains("no such column") => "42703",
        _ if text.contains("no such function") => "42883",
        _ => "42601",
    };
    SqlError::new(code, text)
}

impl Database {
    pub(crate) fn new() -> Self {
        let db = rusqlite::Connection::open_in_memory().expect("an in-memory database opens");
        db.set_prepared_statement_cache_capacity(STATEMENT_CACHE);
        Self(db)
    }

    /// Says whether a statement writes, and the types of its parameters and columns.
    pub(crate) fn shape(&self, text: &str) -> Result<Shape, SqlError> {
        let translated = sql::translate(text);
        let columns_of = self.column_types();
        let statement = self.0.prepare_cached(&translated).map_err(|e| failed(&e))?;
        let columns = statement
            .columns()
            .iter()
            .map(|c| Column {
                name: c.name().to_owned(),
                oid: c.decl_type().map_or_else(|| guess(c.name()), type_of),
            })
            .collect::<Vec<_>>();
        let shape = Shape {
            writes: !statement.readonly(),
            parameters: parameter_types(text, &columns_of),
            columns,
        };
        drop(statement);
        Ok(self.sample(&translated, shape))
    }

    /// Takes the types of computed columns from a first row, with all parameters null.
    fn sample(&self, translated: &str, mut shape: Shape) -> Shape {
        if shape.writes || shape.columns.iter().all(|c| c.oid != UNKNOWN) {
            return shape;
        }
        let values = vec![Value::Null; shape.parameters.len()];
        let row = self
            .rows(translated, &values, 1)
            .ok()
            .and_then(|mut rows| rows.pop())
            .unwrap_or_default();
        for (at, column) in shape.columns.iter_mut().enumerate() {
            if column.oid == UNKNOWN {
                column.oid = match row.get(at) {
                    Some(Value::Integer(_)) => oid::INT8,
                    Some(Value::Real(_)) => oid::FLOAT8,
                    Some(Value::Blob(_)) => oid::BYTEA,
                    _ => oid::TEXT,
                };
            }
        }
        shape
    }

    fn column_types(&self) -> Vec<(String, String, u32)> {
        let sql = "SELECT m.name, p.name, p.type FROM sqlite_master m, pragma_table_info(m.name) p \
                   WHERE m.type = 'table' ORDER BY p.cid";
        let Ok(rows) = self.rows(sql, &[], usize::MAX) else {
            return Vec::new();
        };
        let text = |v: &Value| match v {
            Value::Text(t) => t.to_ascii_lowercase(),
            _ => String::new(),
        };
        rows.iter()
            .map(|row| (text(&row[0]), text(&row[1]), type_of(&text(&row[2]))))
            .collect()
    }

    fn rows(
        &self,
        translated: &str,
        values: &[Value],
        limit: usize,
    ) -> Result<Vec<Vec<Value>>, SqlError> {
        let mut statement = self.0.prepare_cached(translated).map_err(|e| failed(&e))?;
        bind(&mut statement, values)?;
        let width = statement.column_count();
        let mut rows = statement.raw_query();
        let mut out = Vec::new();
        while let Some(row) = rows.next().map_err(|e| failed(&e))? {
            let values = (0..width).map(|at| row.get(at)).collect::<Result<_, _>>();
            out.push(values.map_err(|e| failed(&e))?);
            if out.len() >= limit {
                break;
            }
        }
        Ok(out)
    }

    /// Runs a statement; `columns` are those of its [`Shape`].
    pub(crate) fn run(&self, text: &str, values: &[Value]) -> Result<Output, SqlError> {
        let before = self.0.total_changes();
        let rows = self.rows(&sql::translate(text), values, usize::MAX)?;
        let changed = usize::try_from(self.0.total_changes() - before).unwrap_or(usize::MAX);
        Ok(Output {
            rows,
            changed,
            ..Output::default()
        })
    }

    pub(crate) fn begin(&self) {
        self.control("BEGIN");
    }

    pub(crate) fn commit(&self) {
        self.control("COMMIT");
    }

    pub(crate) fn rollback(&self) {
        if !self.0.is_autocommit() {
            self.control("ROLLBACK");
        }
    }

    fn control(&self, sql: &str) {
        self.0
            .execute_batch(sql)
            .expect("the server begins and ends transactions in turn");
    }

    /// Runs a log record again as one transaction.
    pub(crate) fn replay(&self, record: &Record) {
        self.begin();
        for Statement { text, values } in &record.statements {
            // It succeeded on the primary from the same state.
            if let Err(e) = self.run(text, values) {
                tracing::error!(error = %e, "replay failed");
            }
        }
        self.commit();
    }
}

const STATEMENT_CACHE: usize = 256;

/// Marks a computed column until its type is sampled.
const UNKNOWN: u32 = 0;

fn bind(statement: &mut rusqlite::Statement<'_>, values: &[Value]) -> Result<(), SqlError> {
    for index in 1..=statement.parameter_count() {
        let number = statement
            .parameter_name(index)
            .and_then(|name| name.trim_start_matches('$').parse::<usize>().ok());
        let value = number.and_then(|n| values.get(n.wrapping_sub(1)));
        let value = value.ok_or_else(SqlError::parameter)?;
        statement
            .raw_bind_parameter(index, value)
            .map_err(|e| failed(&e))?;
    }
    Ok(())
}

fn type_of(declared: &str) -> u32 {
    let declared = declared.to_ascii_lowercase();
    let has = |part: &str| declared.contains(part);
    if has("bigint") || has("int8") || has("bigserial") {
        oid::INT8
    } else if has("smallint") || has("int2") {
        oid::INT2
    } else if has("int") || has("serial") {
        oid::INT4
    } else if has("bool") {
        oid::BOOL
    } else if has("double") || has("float") || has("real") {
        oid::FLOAT8
    } else if has("bytea") || has("blob") {
        oid::BYTEA
    } else if has("varchar") {
        oid::VARCHAR
    } else {
        oid::TEXT
    }
}

fn guess(name: &str) -> u32 {
    let name = name.trim();
    if !name.is_empty() && name.chars().all(|c| c.is_ascii_digit()) {
        oid::INT4
    } else if name.starts_with('\'') {
        oid::TEXT
    } else if name.to_ascii_lowercase().starts_with("count(") {
        oid::INT8
    } else {
        UNKNOWN
    }
}

/// Guesses parameter types from a cast, the column compared with, or the insert list.
fn parameter_types(text: &str, columns: &[(String, String, u32)]) -> Vec<u32> {
    let list: Vec<Token<'_>> = sql::tokens(text)
        .into_iter()
        .filter(|t| !matches!(t, Token::Space(_)))
        .collect();
    let inserts = insert_columns(&list, columns);
    let mut types = Vec::new();
    let mut value_at = 0;
    let mut in_values = false;
    for (at, token) in list.iter().enumerate() {
        match token {
            Token::Word(word) if word.eq_ignore_ascii_case("values") => in_values = true,
            Token::Other("(") if in_values => value_at = 0,
            Token::Other(",") if in_values => value_at += 1,
            Token::Parameter(n) if *n > 0 => {
                if types.len() < *n {
                    types.resize(*n, oid::TEXT);
                }
                let insert = in_values.then(|| inserts.get(value_at).copied()).flatten();
                types[n - 1] = cast_after(&list[at + 1..])
                    .or(insert)
                    .or_else(|| compared(&list[..at], columns))
                    .unwrap_or(oid::TEXT);
            }
            _ => {}
        }
    }
    types
}

fn cast_after(rest: &[Token<'_>]) -> Option<u32> {
    match rest {
        [Token::Other("::"), Token::Word(word), ..] => Some(type_of(word)),
        _ => None,
    }
}

fn compared(before: &[Token<'_>], columns: &[(String, String, u32)]) -> Option<u32> {
    for token in before.iter().rev().take(COMPARED_WITHIN) {
        let Token::Word(word) = token else { continue };
        let word = word.to_ascii_lowercase();
        if matches!(word.as_str(), "limit" | "offset") {
            return Some(oid::INT8);
        }
        if let Some((_, _, oid)) = columns.iter().find(|(_, name, _)| *name == word) {
            return Some(*oid);
        }
    }
    None
}

/// Tokens between a parameter and the column that gives its type.
const COMPARED_WITHIN: usize = 6;

fn insert_columns(list: &[Token<'_>], columns: &[(String, String, u32)]) -> Vec<u32> {
    let word = |token: Option<&Token<'_>>| match token {
        Some(Token::Word(word)) => word.to_ascii_lowercase(),
        _ => String::new(),
    };
    let Some(at) = list.iter().position(|t| word(Some(t)) == "into") else {
        return Vec::new();
    };
    let table = word(list.get(at + 1));
    let of_table = || columns.iter().filter(|(t, ..)| *t == table);
    if list.get(at + 2) != Some(&Token::Other("(")) {
        return of_table().map(|(_, _, oid)| *oid).collect();
    }
    list[at + 3..]
        .iter()
        .take_while(|t| **t != Token::Other(")"))
        .filter(|t| matches!(t, Token::Word(_)))
        .map(|t| {
            let name = word(Some(t));
            of_table()
                .find(|(_, column, _)| *column == name)
                .map_or(oid::TEXT, |(_, _, oid)| *oid)
        })
        .collect()
}
