//! Splitting a byte stream into messages without decoding their bodies.

use bytes::{Buf as _, Bytes, BytesMut};

use crate::tag;

/// Bytes of a message's type and length.
pub const HEADER: usize = 5;

/// Most bytes of a large row that wait for their rest before they are passed on in part.
const PART: usize = 8 << 10;

/// Why a byte stream cannot be split.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length field is smaller than itself.
    #[error("a message states a length of {0}")]
    Length(usize),
    /// The message is longer than the limit.
    #[error("a message of {found} bytes exceeds the limit of {limit}")]
    TooLong {
        /// Stated length.
        found: usize,
        /// Longest accepted length.
        limit: usize,
    },
}

/// One whole message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Type byte.
    pub tag: u8,
    /// The message as it came, with type and length.
    pub raw: Bytes,
}

impl Frame {
    /// The bytes after type and length.
    pub fn body(&self) -> Bytes {
        self.raw.slice(HEADER..)
    }
}

/// A piece of a server's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// A message that may need to be understood.
    Frame(Frame),
    /// Row or copy data to pass on: whole messages, or a part of a large one.
    Data {
        /// The bytes as they came.
        raw: Bytes,
        /// Whether the bytes end with a whole message.
        whole: bool,
    },
}

fn length(buf: &[u8], limit: usize) -> Result<Option<usize>, FrameError> {
    let Some(header) = buf.first_chunk::<HEADER>() else {
        return Ok(None);
    };
    let body = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    if body < HEADER - 1 {
        return Err(FrameError::Length(body));
    }
    if body > limit {
        return Err(FrameError::TooLong { found: body, limit });
    }
    Ok(Some(body + 1))
}

/// Takes the next whole message off `buf`; `None` until it has arrived.
pub fn take(buf: &mut BytesMut, limit: usize) -> Result<Option<Frame>, FrameError> {
    let Some(len) = length(buf, limit)? else {
        return Ok(None);
    };
    if buf.len() < len {
        return Ok(None);
    }
    let raw = buf.split_to(len).freeze();
    Ok(Some(Frame { tag: raw[0], raw }))
}

/// Splits a server's answer; rows pass through in bulk and in parts, so that
/// memory stays bounded whatever the size of a row.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Bytes of a large row that are still to come.
    rest: usize,
}

impl Splitter {
    /// Whether a message has been given out in part only.
    pub fn inside(&self) -> bool {
        self.rest > 0
    }

    /// Takes the next piece off `buf`; `None` until more bytes arrive.
    pub fn take(&mut self, buf: &mut BytesMut, limit: usize) -> Result<Option<Piece>, FrameError> {
        if self.rest > 0 {
            return Ok(self.take_rest(buf));
        }
        if !matches!(buf.first(), Some(&(tag::DATA_ROW | tag::COPY_DATA))) {
            return Ok(take(buf, limit)?.map(Piece::Frame));
        }
        let run = whole_rows(buf)?;
        if run > 0 {
            let raw = buf.split_to(run).freeze();
            return Ok(Some(Piece::Data { raw, whole: true }));
        }
        if buf.len() < PART {
            return Ok(None);
        }
        let len = length(buf, usize::MAX)?.unwrap_or(HEADER);
        self.rest = len - buf.len();
        let raw = buf.split().freeze();
        Ok(Some(Piece::Data { raw, whole: false }))
    }

    fn take_rest(&mut self, buf: &mut BytesMut) -> Option<Piece> {
        if buf.is_empty() {
            return None;
        }
        let raw = buf.split_to(self.rest.min(buf.len())).freeze();
        self.rest -= raw.len();
        let whole = self.rest == 0;
        Some(Piece::Data { raw, whole })
    }
}

/// Length of the run of whole row messages at the start of `buf`.
fn whole_rows(buf: &[u8]) -> Result<usize, FrameError> {
    let mut at = 0;
    while matches!(buf.get(at), Some(&(tag::DATA_ROW | tag::COPY_DATA))) {
        match length(&buf[at..], usize::MAX)? {
            Some(len) if buf.len() - at >= len => at += len,
            _ => break,
        }
    }
    Ok(at)
}

/// Reads a zero-terminated text off the front of `body`.
pub fn text(body: &mut Bytes) -> Option<Bytes> {
    let end = body.iter().position(|b| *b == 0)?;
    let text = body.split_to(end);
    body.advance(1);
    Some(text)
}
