//! Identifiers that operators choose.

use crate::macros;

/// Maximum length of an identifier, in bytes; it must fit into a PostgreSQL identifier.
pub const MAX_LEN: usize = 63;

/// Error from parsing an identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text has no characters.
    #[error("an identifier needs at least one character")]
    Empty,
    /// The text is longer than [`MAX_LEN`] bytes.
    #[error("an identifier has at most {MAX_LEN} bytes, this one has {0}")]
    TooLong(usize),
    /// The text contains a character other than `a-z`, `0-9`, `-`, `_` and `.`.
    #[error("an identifier contains only a-z, 0-9, '-', '_' and '.', not {0:?}")]
    Character(char),
}

pub(crate) fn check(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_LEN {
        return Err(IdError::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(IdError::Character(c)),
        None => Ok(()),
    }
}

macros::text_id! {
    /// A database group: one primary and its replicas.
    GroupId
}
macros::text_id! {
    /// A backend server: one instance of a database group.
    InstanceId
}
macros::text_id! {
    /// A caller: a customer application that logs in with its own secret.
    CallerId
}
macros::text_id! {
    /// A customer: holds API keys and has a rate limit; instances are told its name.
    CustomerId
}
macros::text_id! {
    /// One running proxy process; a restarted proxy takes a new id.
    ProxyId
}
macros::text_id! {
    /// A data centre.
    DataCentre
}
macros::text_id! {
    /// A region: data centres connected by fast links.
    Region
}
macros::text_id! {
    /// A request class such as `payment`, `lookup` or `listing`.
    Class
}
macros::text_id! {
    /// A database name used by callers; a route maps it to a group.
    Database
}
