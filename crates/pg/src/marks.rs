//! Marks of a request: a trailing comment in the published sqlcommenter form.

use model::id::Class;
use model::unit::Span;

/// Longest comment that is read for marks.
const MAX_LEN: usize = 1 << 10;

/// Why a mark is refused. A request with a bad mark is not run: running a
/// payment without its `once` would be worse than refusing it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("bad value {value:?} for {name}")]
pub struct MarkError {
    /// The mark's name.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// What a caller states about one request, or about all of a session's.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Marks {
    /// Greatest age of data that a read accepts.
    pub max_age: Option<Span>,
    /// Whether the request must never be sent twice.
    pub once: Option<bool>,
    /// Class for the fair queue.
    pub class: Option<Class>,
    /// Longest time until the answer.
    pub deadline: Option<Span>,
    /// W3C trace context of the caller.
    pub traceparent: Option<String>,
}

impl Marks {
    /// Sets a mark by name; returns whether the name is known.
    pub fn set(&mut self, name: &str, value: &str) -> Result<bool, MarkError> {
        let bad = || MarkError {
            name: name.to_owned(),
            value: value.to_owned(),
        };
        match name {
            "max_age" => self.max_age = optional(value).map_err(|()| bad())?,
            "deadline" => self.deadline = optional(value).map_err(|()| bad())?,
            "class" => self.class = optional(value).map_err(|()| bad())?,
            "once" => self.once = optional_bool(value).map_err(|()| bad())?,
            "traceparent" => self.traceparent = Some(value.to_owned()).filter(|v| !v.is_empty()),
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// The text of a mark; empty when it is not set, `None` when the name is not known.
    pub fn get(&self, name: &str) -> Option<String> {
        fn text(value: Option<&impl ToString>) -> String {
            value.map(ToString::to_string).unwrap_or_default()
        }
        match name {
            "max_age" => Some(text(self.max_age.as_ref())),
            "deadline" => Some(text(self.deadline.as_ref())),
            "class" => Some(text(self.class.as_ref())),
            "once" => Some(text(self.once.as_ref())),
            "traceparent" => Some(text(self.traceparent.as_ref())),
            _ => None,
        }
    }

    /// These marks where set, else those of `session`.
    #[must_use]
    pub fn or(self, session: &Self) -> Self {
        Self {
            max_age: self.max_age.or(session.max_age),
            once: self.once.or(session.once),
            class: self.class.or_else(|| session.class.clone()),
            deadline: self.deadline.or(session.deadline),
            traceparent: self.traceparent.or_else(|| session.traceparent.clone()),
        }
    }
}

fn optional<T: std::str::FromStr>(value: &str) -> Result<Option<T>, ()> {
    match value {
        "" => Ok(None),
        _ => value.parse().map(Some).map_err(|_| ()),
    }
}

fn optional_bool(value: &str) -> Result<Option<bool>, ()> {
    match value.to_ascii_lowercase().as_str() {
        "" => Ok(None),
        "true" | "on" | "1" | "yes" => Ok(Some(true)),
        "false" | "off" | "0" | "no" => Ok(Some(false)),
        _ => Err(()),
    }
}

/// Splits a trailing comment of marks off a statement.
///
/// Only a comment that consists of nothing but `name='value'` pairs is split
/// off. Anything else stays part of the text: a comment that holds a line end
/// could hide a statement from the classification.
pub fn split(sql: &str) -> Result<(&str, Marks), MarkError> {
    let none = || (sql, Marks::default());
    let trimmed = sql.trim_end().trim_end_matches(';').trim_end();
    let Some(inner) = trimmed.strip_suffix("*/") else {
        return Ok(none());
    };
    let Some(at) = inner.rfind("/*") else {
        return Ok(none());
    };
    let comment = &inner[at + 2..];
    let Some(pairs) = (comment.len() <= MAX_LEN).then(|| pairs(comment)).flatten() else {
        return Ok(none());
    };
    let mut marks = Marks::default();
    for (name, value) in &pairs {
        marks.set(name, value)?;
    }
    Ok((&sql[..at], marks))
}

/// Reads `name='value',…`; `None` when the text has any other form.
fn pairs(comment: &str) -> Option<Vec<(String, String)>> {
    if comment.chars().any(char::is_control) {
        return None;
    }
    let mut rest = comment.trim();
    let mut pairs = Vec::new();
    loop {
        let (name, after) = rest.split_once("='")?;
        let end = after.find('\'')?;
        pairs.push((decode(name.trim())?, decode(&after[..end])?));
        rest = after[end + 1..].trim_start();
        if rest.is_empty() {
            return Some(pairs);
        }
        rest = rest.strip_prefix(',')?.trim_start();
    }
}

/// Undoes percent encoding.
fn decode(text: &str) -> Option<String> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        if b != b'%' {
            out.push(b);
            continue;
        }
        let digits = [bytes.next()?, bytes.next()?];
        let digits = std::str::from_utf8(&digits).ok()?.to_owned();
        out.push(u8::from_str_radix(&digits, 16).ok()?);
    }
    String::from_utf8(out).ok()
}
