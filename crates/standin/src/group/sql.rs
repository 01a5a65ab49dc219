//! What a statement is, and the small translations into the database's dialect.

use super::profile;

/// An error with the SQLSTATE that callers see.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub(crate) struct SqlError {
    pub(crate) code: &'static str,
    pub(crate) message: String,
}

impl SqlError {
    pub(crate) fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    pub(crate) fn parameter() -> Self {
        Self::new("22P02", "invalid parameter")
    }

    pub(crate) fn undefined_function(name: &str) -> Self {
        Self::new(
            "42883",
            format!("function replication_{name} does not exist"),
        )
    }

    pub(crate) fn read_only() -> Self {
        Self::new("25006", "this server does not accept writes")
    }

    pub(crate) fn aborted() -> Self {
        Self::new("25P02", "current transaction is aborted")
    }
}

/// How a statement is run.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Kind {
    Empty,
    Begin,
    Commit,
    Rollback,
    /// A session setting; accepted and ignored.
    Set,
    Show,
    /// `SELECT pg_sleep(SECONDS)`; `None` takes the seconds from `$1`.
    Sleep(Option<f64>),
    Profile(profile::Call),
    /// Decided by the database, which knows whether a statement writes.
    Data {
        locks: bool,
    },
}

/// A token of SQL, as far as splitting and translating need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Token<'a> {
    Word(&'a str),
    Parameter(usize),
    /// String, quoted name, number or operator; copied as it is.
    Other(&'a str),
    Space(&'a str),
    End,
}

/// Splits SQL into tokens; comments count as space.
pub(crate) fn tokens(sql: &str) -> Vec<Token<'_>> {
    let mut out = Vec::new();
    let mut rest = sql;
    while let Some(first) = rest.chars().next() {
        let len = token_len(rest, first);
        let (text, tail) = rest.split_at(len);
        out.push(match first {
            ';' => Token::End,
            '$' if len > 1 => text[1..]
                .parse()
                .map_or(Token::Other(text), Token::Parameter),
            '-' | '/' if len > 1 => Token::Space(text),
            c if c.is_whitespace() => Token::Space(text),
            c if c.is_alphabetic() || c == '_' => Token::Word(text),
            _ => Token::Other(text),
        });
        rest = tail;
    }
    out
}

fn token_len(rest: &str, first: char) -> usize {
    let run = |f: fn(char) -> bool| rest.find(|c| !f(c)).unwrap_or(rest.len());
    match first {
        '\'' | '"' => quoted(rest, first),
        '-' if rest.starts_with("--") => rest.find('\n').unwrap_or(rest.len()),
        '/' if rest.starts_with("/*") => rest.find("*/").map_or(rest.len(), |at| at + 2),
        '$' => {
            1 + rest[1..]
                .find(|c: char| !c.is_ascii_digit())
                .unwrap_or(rest.len() - 1)
        }
        ':' if rest.starts_with("::") => 2,
        c if c.is_whitespace() => run(char::is_whitespace),
        c if c.is_alphabetic() || c == '_' => run(|c| c.is_alphanumeric() || c == '_'),
        c if c.is_ascii_digit() => run(|c| c.is_ascii_digit() || c == '.'),
        c => c.len_utf8(),
    }
}

fn quoted(rest: &str, quote: char) -> usize {
    let mut chars = rest.char_indices().skip(1).peekable();
    while let Some((at, c)) = chars.next() {
        if c != quote {
            continue;
        }
        if chars.peek().is_none_or(|(_, next)| *next != quote) {
            return at + 1;
        }
        chars.next();
    }
    rest.len()
}

/// The statements of a string, without those that are empty.
pub(crate) fn split(sql: &str) -> Vec<String> {
    let mut out = vec![String::new()];
    for token in tokens(sql) {
        match token {
            Token::End => out.push(String::new()),
            other => out
                .last_mut()
                .expect("never empty")
                .push_str(&text_of(other)),
        }
    }
    out.retain(|s| kind(s) != Ok(Kind::Empty));
    out
}

fn text_of(token: Token<'_>) -> String {
    match token {
        Token::Word(t) | Token::Other(t) | Token::Space(t) => t.to_owned(),
        Token::Parameter(n) => format!("${n}"),
        Token::End => ";".to_owned(),
    }
}

/// Says how to run one statement.
pub(crate) fn kind(sql: &str) -> Result<Kind, SqlError> {
    let words: Vec<String> = tokens(sql)
        .iter()
        .filter_map(|token| match token {
            Token::Word(word) => Some(word.to_ascii_lowercase()),
            _ => None,
        })
        .collect();
    let has = |word: &str| words.iter().any(|w| w == word);
    Ok(match words.first().map(String::as_str) {
        None => Kind::Empty,
        Some("begin" | "start") => Kind::Begin,
        Some("commit" | "end") => Kind::Commit,
        Some("rollback" | "abort") if !has("to") => Kind::Rollback,
        Some("set" | "reset" | "discard" | "deallocate") => Kind::Set,
        Some("show") => Kind::Show,
        Some("copy") => return Err(SqlError::new("0A000", "COPY is not supported")),
        _ if words.iter().any(|w| w.starts_with("replication_")) => {
            let call = profile::parse(sql).ok_or_else(SqlError::parameter)?;
            Kind::Profile(call?)
        }
        _ if has("pg_sleep") => Kind::Sleep(sleep_seconds(sql)),
        _ => Kind::Data {
            locks: has("update") && has("for") && words[0] == "select",
        },
    })
}

fn sleep_seconds(sql: &str) -> Option<f64> {
    let rest = sql.split_once("pg_sleep")?.1;
    let rest = rest.split_once('(')?.1;
    rest.split_once(')')?.0.trim().parse().ok()
}

/// Rewrites what the in-memory database does not know: casts are dropped,
/// `FOR UPDATE` is left to the writers' lock, and a serial key becomes an integer key.
pub(crate) fn translate(sql: &str) -> String {
    let list = tokens(sql);
    let mut out = String::with_capacity(sql.len());
    let mut at = 0;
    while let Some(token) = list.get(at) {
        at += 1;
        match token {
            Token::Other("::") => at += 1,
            Token::Word(word) if word.eq_ignore_ascii_case("for") && is_lock(&list[at..]) => break,
            Token::Word(word) if word.to_ascii_lowercase().ends_with("serial") => {
                out.push_str("INTEGER");
            }
            other => out.push_str(&text_of(*other)),
        }
    }
    out
}

fn is_lock(rest: &[Token<'_>]) -> bool {
    let word = rest.iter().find_map(|token| match token {
        Token::Word(word) => Some(word.to_ascii_lowercase()),
        _ => None,
    });
    matches!(word.as_deref(), Some("update" | "share" | "no" | "key"))
}

/// The word that a command's completion names first.
pub(crate) fn verb(sql: &str) -> String {
    let first = tokens(sql).into_iter().find_map(|token| match token {
        Token::Word(word) => Some(word.to_ascii_uppercase()),
        _ => None,
    });
    first.unwrap_or_default()
}
