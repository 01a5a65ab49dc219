//! Authentication of requests and responses by the fleet's secret.
//!
//! Each request carries its time, a nonce and a MAC over method, path, time, nonce, trace
//! context and body; each response carries a MAC over the request's nonce, the status and
//! the body. A replayed request is rejected: its nonce is remembered for as long as its
//! time is accepted.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::fmt;

use hmac::Mac as _;

/// How far the clocks of two VMs may differ, in milliseconds. A longer window needs more
/// remembered nonces, a shorter one rejects peers whose clock is off.
pub const WINDOW_MS: u64 = 30_000;

/// Maximum number of remembered nonces: the requests of a window at 1,000 a second, ten times
/// a busy proxy's share. Further requests are rejected: forgetting a nonce would allow replay.
pub const MAX_NONCES: usize = 60_000;

/// Length of a nonce, in bytes.
pub const NONCE_LEN: usize = 16;

/// Length of a MAC, in bytes.
pub const TAG_LEN: usize = 32;

type HmacSha256 = hmac::Hmac<sha2::Sha256>;

/// Why a request or a response is not trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuthError {
    /// Header fields are missing or malformed.
    #[error("the request carries no proof")]
    Missing,
    /// The MAC does not match: another secret, or an altered message.
    #[error("the proof does not match")]
    Mismatch,
    /// The request's time is outside the accepted window.
    #[error("the request's time is {0} ms off")]
    Clock(u64),
    /// The request was received before.
    #[error("the request was received before")]
    Replayed,
    /// Too many requests arrived within one window.
    #[error("too many requests")]
    Overload,
}

/// Number that is unique to one request of the fleet.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Nonce(pub [u8; NONCE_LEN]);

/// Signed fields of a request besides its body.
#[derive(Clone, Copy)]
pub struct Envelope<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path of the URL.
    pub path: &'a str,
    /// Sender's clock, in milliseconds since 1970.
    pub time_ms: u64,
    /// The request's nonce.
    pub nonce: Nonce,
    /// The trace context header, empty when there is none.
    pub trace: &'a str,
}

/// The fleet's secret as a MAC key.
#[derive(Clone)]
pub struct Key(HmacSha256);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// Creates a key from the fleet's secret.
    pub fn new(secret: &[u8]) -> Self {
        Self(HmacSha256::new_from_slice(secret).expect("HMAC takes a key of any length"))
    }

    fn request_mac(&self, envelope: &Envelope<'_>, body: &[u8]) -> HmacSha256 {
        let mut mac = self.0.clone();
        mac.update(b"peer-request");
        for field in [envelope.method, envelope.path, envelope.trace] {
            update_field(&mut mac, field.as_bytes());
        }
        mac.update(&envelope.time_ms.to_be_bytes());
        mac.update(&envelope.nonce.0);
        mac.update(body);
        mac
    }

    fn response_mac(&self, nonce: Nonce, status: u16, body: &[u8]) -> HmacSha256 {
        let mut mac = self.0.clone();
        mac.update(b"peer-answer");
        mac.update(&nonce.0);
        mac.update(&status.to_be_bytes());
        mac.update(body);
        mac
    }

    /// Signs a request.
    pub fn sign_request(&self, envelope: &Envelope<'_>, body: &[u8]) -> [u8; TAG_LEN] {
        self.request_mac(envelope, body)
            .finalize()
            .into_bytes()
            .into()
    }

    /// Verifies a request's signature, in constant time.
    pub fn verify_request(
        &self,
        envelope: &Envelope<'_>,
        body: &[u8],
        tag: &[u8],
    ) -> Result<(), AuthError> {
        let mac = self.request_mac(envelope, body);
        mac.verify_slice(tag).map_err(|_| AuthError::Mismatch)
    }

    /// Signs the response to the request with this nonce.
    pub fn sign_response(&self, nonce: Nonce, status: u16, body: &[u8]) -> [u8; TAG_LEN] {
        let mac = self.response_mac(nonce, status, body);
        mac.finalize().into_bytes().into()
    }

    /// Verifies a response's signature, in constant time.
    pub fn verify_response(
        &self,
        nonce: Nonce,
        status: u16,
        body: &[u8],
        tag: &[u8],
    ) -> Result<(), AuthError> {
        let mac = self.response_mac(nonce, status, body);
        mac.verify_slice(tag).map_err(|_| AuthError::Mismatch)
    }
}

/// Adds a field after its length, so that no two lists of fields give the same input.
fn update_field(mac: &mut HmacSha256, field: &[u8]) {
    mac.update(&(field.len() as u64).to_be_bytes());
    mac.update(field);
}

/// Nonces of the requests received within the accepted window.
///
/// Invariant: `seen` and `expiries` hold the same nonces, at most [`MAX_NONCES`].
#[derive(Debug, Default)]
pub struct ReplayWindow {
    seen: HashSet<[u8; NONCE_LEN]>,
    /// Nonces with the time after which they are forgotten, earliest first.
    expiries: BinaryHeap<Reverse<(u64, [u8; NONCE_LEN])>>,
}

impl ReplayWindow {
    /// Admits a request with a verified signature, once.
    pub fn admit(&mut self, now_ms: u64, envelope: &Envelope<'_>) -> Result<(), AuthError> {
        let skew = now_ms.abs_diff(envelope.time_ms);
        if skew > WINDOW_MS {
            return Err(AuthError::Clock(skew));
        }
        self.expire(now_ms);
        if self.seen.len() >= MAX_NONCES {
            return Err(AuthError::Overload);
        }
        if !self.seen.insert(envelope.nonce.0) {
            return Err(AuthError::Replayed);
        }
        let expires_ms = envelope.time_ms.saturating_add(WINDOW_MS);
        self.expiries.push(Reverse((expires_ms, envelope.nonce.0)));
        Ok(())
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some(Reverse((expires_ms, nonce))) = self.expiries.peek() {
            if *expires_ms >= now_ms {
                break;
            }
            self.seen.remove(nonce);
            self.expiries.pop();
        }
    }
}
