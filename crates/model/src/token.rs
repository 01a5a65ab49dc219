//! Session tokens: the points that a session has written, which its caller passes from proxy
//! to proxy.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::Mac as _;

use crate::{id, position};

/// Maximum number of groups in one token; it limits the work of decoding a token.
pub const MAX_GROUPS: usize = 64;

const TAG_LEN: usize = 16;

type HmacSha256 = hmac::Hmac<sha2::Sha256>;

/// Reason why a token is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// The text is not a token.
    #[error("the session token is malformed")]
    Malformed,
    /// The signature does not match: the token is forged, altered, or signed by another fleet.
    #[error("the session token's signature does not match")]
    Signature,
    /// The token was issued to another caller.
    #[error("the session token belongs to another caller")]
    OtherCaller,
}

/// The fleet's secret for signing tokens.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// Creates a key from the fleet's secret.
    pub fn new(secret: &[u8]) -> Self {
        Self(secret.to_vec())
    }

    fn mac(&self, body: &[u8]) -> HmacSha256 {
        let mut mac = HmacSha256::new_from_slice(&self.0).expect("HMAC takes a key of any length");
        mac.update(b"session-token");
        mac.update(body);
        mac
    }
}

/// The newest point of each group that the session must be able to read.
///
/// Invariant: points only advance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Session {
    points: indexmap::IndexMap<id::GroupId, position::Point>,
}

impl Session {
    /// The point that reads of `group` must cover, if the session has written to it.
    pub fn point(&self, group: &id::GroupId) -> Option<position::Point> {
        self.points.get(group).copied()
    }

    /// Records a write; ignores a point that is older than the known one.
    pub fn advance(&mut self, group: &id::GroupId, point: position::Point) {
        let known = self.points.entry(group.clone()).or_default();
        *known = (*known).max(point);
    }

    /// Adopts every point of `other` that is newer.
    pub fn merge(&mut self, other: &Self) {
        for (group, point) in &other.points {
            self.advance(group, *point);
        }
    }

    /// Encodes the session as a signed token that only `caller` may present.
    pub fn encode(&self, caller: &id::CallerId, key: &Key) -> String {
        let mut body = caller.to_string();
        for (group, point) in &self.points {
            body.push_str(&format!(" {group}={point}"));
        }
        let tag = key.mac(body.as_bytes()).finalize().into_bytes();
        let mut out = tag[..TAG_LEN].to_vec();
        out.extend_from_slice(body.as_bytes());
        URL_SAFE_NO_PAD.encode(out)
    }

    /// Decodes a token made by [`Session::encode`] for the same caller and key.
    pub fn decode(text: &str, caller: &id::CallerId, key: &Key) -> Result<Self, TokenError> {
        let raw = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| TokenError::Malformed)?;
        if raw.len() < TAG_LEN {
            return Err(TokenError::Malformed);
        }
        let (tag, body) = raw.split_at(TAG_LEN);
        key.mac(body)
            .verify_truncated_left(tag)
            .map_err(|_| TokenError::Signature)?;
        let body = std::str::from_utf8(body).map_err(|_| TokenError::Malformed)?;
        let mut parts = body.split(' ');
        if parts.next() != Some(caller.as_str()) {
            return Err(TokenError::OtherCaller);
        }
        Self::parse_points(parts)
    }

    fn parse_points<'a>(parts: impl Iterator<Item = &'a str>) -> Result<Self, TokenError> {
        let mut session = Self::default();
        for (index, part) in parts.enumerate() {
            if index >= MAX_GROUPS {
                return Err(TokenError::Malformed);
            }
            let (group, point) = part.split_once('=').ok_or(TokenError::Malformed)?;
            let group = group.parse().map_err(|_| TokenError::Malformed)?;
            let point = point.parse().map_err(|_| TokenError::Malformed)?;
            session.advance(&group, point);
        }
        Ok(session)
    }
}
