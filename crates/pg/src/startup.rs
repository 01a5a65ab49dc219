//! The first packet of a caller, of bounded size.

use bytes::{Buf as _, Bytes, BytesMut};
use indexmap::IndexMap;

use crate::frame;

/// Longest start-up packet; PostgreSQL's own limit.
pub const MAX_LEN: usize = 10_000;

const PROTOCOL_MAJOR: u32 = 3;
const CANCEL: u32 = 80_877_102;
const SSL: u32 = 80_877_103;
const GSS: u32 = 80_877_104;

/// Why a start-up packet is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartupError {
    /// The length is outside 8 to [`MAX_LEN`].
    #[error("a start-up packet of {0} bytes is not accepted")]
    Length(usize),
    /// Another protocol than version 3.
    #[error("protocol version {0}.{1} is not supported")]
    Version(u32, u32),
    /// The body does not hold what the packet needs.
    #[error("the start-up packet is malformed")]
    Malformed,
}

/// What a caller asks for first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Startup {
    /// Encryption by TLS, answered by one byte.
    Ssl,
    /// Encryption by GSS, answered by one byte.
    Gss,
    /// Cancels the request of another connection.
    Cancel(Key),
    /// A session.
    Session(Session),
}

/// The key by which a connection's request can be cancelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Key {
    /// Process id, or what stands for it.
    pub pid: i32,
    /// Secret that only the connection's owner knows.
    pub secret: i32,
}

/// A request for a session.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Session {
    /// Minor protocol version asked for.
    pub minor: u32,
    /// Parameters by name, such as `user`, `database` and `options`.
    pub params: IndexMap<String, String>,
}

impl Session {
    /// Settings given as `-c name=value` or `--name=value` in the `options` parameter.
    pub fn options(&self) -> Vec<(String, String)> {
        let Some(options) = self.params.get("options") else {
            return Vec::new();
        };
        let mut words = words(options).into_iter();
        let mut found = Vec::new();
        while let Some(word) = words.next() {
            let setting = match word.as_str() {
                "-c" => words.next(),
                w => w
                    .strip_prefix("--")
                    .or(w.strip_prefix("-c"))
                    .map(str::to_owned),
            };
            if let Some((name, value)) = setting.as_deref().and_then(|s| s.split_once('=')) {
                found.push((name.to_ascii_lowercase(), value.to_owned()));
            }
        }
        found
    }
}

/// Words separated by spaces; a backslash takes the next character as it is.
fn words(text: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut chars = text.chars();
    while let Some(c) = chars.next() {
        let last = words.last_mut().expect("there is always a last word");
        match c {
            '\\' => last.extend(chars.next()),
            c if c.is_whitespace() => words.push(String::new()),
            c => last.push(c),
        }
    }
    words.retain(|w| !w.is_empty());
    words
}

/// Takes the start-up packet off `buf`; `None` until it has arrived.
///
/// The length is checked before any more bytes are awaited, so that an
/// oversized packet costs its sender the connection and the proxy nothing.
pub fn take(buf: &mut BytesMut) -> Result<Option<Startup>, StartupError> {
    let Some(head) = buf.first_chunk::<4>() else {
        return Ok(None);
    };
    let len = u32::from_be_bytes(*head) as usize;
    if !(8..=MAX_LEN).contains(&len) {
        return Err(StartupError::Length(len));
    }
    if buf.len() < len {
        return Ok(None);
    }
    let mut body = buf.split_to(len).freeze();
    body.advance(4);
    parse(body).map(Some)
}

fn parse(mut body: Bytes) -> Result<Startup, StartupError> {
    let code = body.get_u32();
    match code {
        SSL => Ok(Startup::Ssl),
        GSS => Ok(Startup::Gss),
        CANCEL if body.len() == 8 => Ok(Startup::Cancel(Key {
            pid: body.get_i32(),
            secret: body.get_i32(),
        })),
        CANCEL => Err(StartupError::Malformed),
        _ if code >> 16 == PROTOCOL_MAJOR => parse_session(code & 0xffff, body),
        _ => Err(StartupError::Version(code >> 16, code & 0xffff)),
    }
}

fn parse_session(minor: u32, mut body: Bytes) -> Result<Startup, StartupError> {
    let mut params = IndexMap::new();
    loop {
        let name = text(&mut body)?;
        if name.is_empty() {
            break;
        }
        let value = text(&mut body)?;
        params.insert(name, value);
    }
    if !body.is_empty() {
        return Err(StartupError::Malformed);
    }
    Ok(Startup::Session(Session { minor, params }))
}

fn text(body: &mut Bytes) -> Result<String, StartupError> {
    let raw = frame::text(body).ok_or(StartupError::Malformed)?;
    String::from_utf8(raw.to_vec()).map_err(|_| StartupError::Malformed)
}

/// Encodes a request for a session.
pub fn encode(params: &IndexMap<String, String>) -> Bytes {
    let mut buf = BytesMut::from(&[0; 4][..]);
    buf.extend_from_slice(&(PROTOCOL_MAJOR << 16).to_be_bytes());
    for (name, value) in params {
        for text in [name, value] {
            buf.extend_from_slice(text.as_bytes());
            buf.extend_from_slice(&[0]);
        }
    }
    buf.extend_from_slice(&[0]);
    let len = u32::try_from(buf.len()).unwrap_or(u32::MAX);
    buf[..4].copy_from_slice(&len.to_be_bytes());
    buf.freeze()
}

/// Encodes a request to cancel.
pub fn encode_cancel(key: Key) -> Bytes {
    let mut buf = BytesMut::new();
    for part in [
        16,
        CANCEL,
        key.pid.cast_unsigned(),
        key.secret.cast_unsigned(),
    ] {
        buf.extend_from_slice(&part.to_be_bytes());
    }
    buf.freeze()
}
