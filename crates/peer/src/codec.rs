//! MessagePack bodies.

/// Content type of a body.
pub const CONTENT_TYPE: &str = "application/msgpack";

/// Largest body that is read. A part of the configuration has at most a megabyte, and
/// an answer that collects records stops well below.
pub const MAX_BODY: usize = 4 << 20;

/// Why a body is not a message.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The message cannot be written.
    #[error("a message cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The body cannot be read as the expected message.
    #[error("a message cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The body is larger than [`MAX_BODY`].
    #[error("a message of {0} bytes is too large")]
    TooLarge(usize),
}

/// Writes a message with named fields, so that another version can read it.
pub fn encode<T: serde::Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Reads a message; unknown fields are ignored.
pub fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, CodecError> {
    if body.len() > MAX_BODY {
        return Err(CodecError::TooLarge(body.len()));
    }
    Ok(rmp_serde::from_slice(body)?)
}
