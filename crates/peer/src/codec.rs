//! MessagePack bodies.

/// Content type of a body.
pub const CONTENT_TYPE: &str = "application/msgpack";

/// Maximum size of a body, in bytes. A part of the configuration has at most a megabyte, and
/// a response that collects records stays well below.
pub const MAX_BODY: usize = 4 << 20;

/// Why a message cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The message cannot be encoded.
    #[error("a message cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The body cannot be decoded as the expected message.
    #[error("a message cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The body is larger than [`MAX_BODY`].
    #[error("a message of {0} bytes is too large")]
    TooLarge(usize),
}

/// Encodes a message with named fields, so that another version can decode it.
pub fn encode<T: serde::Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    Ok(rmp_serde::to_vec_named(message)?)
}

/// Decodes a message; unknown fields are ignored.
pub fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, CodecError> {
    if body.len() > MAX_BODY {
        return Err(CodecError::TooLarge(body.len()));
    }
    Ok(rmp_serde::from_slice(body)?)
}
