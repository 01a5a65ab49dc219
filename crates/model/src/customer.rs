//! Customers, the API keys that identify them, and their rate limits.

use std::fmt;
use std::str::FromStr;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::id::CustomerId;

/// Maximum length of an API key, in bytes.
pub const MAX_KEY_LEN: usize = 256;

/// Highest accepted rate, in operations a second, and highest accepted burst, in operations.
pub const MAX_RATE: f64 = 1e9;

/// The secret by which a caller proves to which customer it belongs, as its SHA-256 digest:
/// proxies compare keys and never need their text.
///
/// Invariant: neither `Debug` nor `Display` shows any part of it. The serialised form is the
/// digest, which does not allow a caller to log in.
#[serde_with::serde_as]
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(#[serde_as(as = "serde_with::base64::Base64")] [u8; 32]);

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(***)")
    }
}

impl fmt::Display for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}

/// Error from parsing an API key; it does not contain the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The text is empty.
    #[error("an API key needs at least one character")]
    Empty,
    /// The text is longer than [`MAX_KEY_LEN`] bytes.
    #[error("an API key has at most {MAX_KEY_LEN} bytes")]
    TooLong,
    /// The text contains a space or a control character.
    #[error("an API key contains no spaces and no control characters")]
    Character,
}

impl FromStr for ApiKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if text.len() > MAX_KEY_LEN {
            return Err(KeyError::TooLong);
        }
        if text.chars().any(|c| c.is_whitespace() || c.is_control()) {
            return Err(KeyError::Character);
        }
        Ok(Self(Sha256::digest(text).into()))
    }
}

/// Limit on a customer's operations, over all proxies together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Operations a second.
    per_s: f64,
    /// Operations that may exceed the rate for a short time.
    burst: f64,
}

impl RateLimit {
    /// A limit; `None` if a number is negative, not finite, or above [`MAX_RATE`].
    pub fn new(per_s: f64, burst: f64) -> Option<Self> {
        let valid = |n: f64| (0.0..=MAX_RATE).contains(&n);
        (valid(per_s) && valid(burst)).then_some(Self { per_s, burst })
    }

    /// Operations a second.
    pub fn per_s(self) -> f64 {
        self.per_s
    }

    /// Operations that may exceed the rate for a short time.
    pub fn burst(self) -> f64 {
        self.burst
    }
}

/// A customer as configured.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its name.
    pub id: CustomerId,
    /// Keys of its callers.
    pub keys: Vec<ApiKey>,
    /// Its limit; `None` if it has none.
    pub limit: Option<RateLimit>,
}

/// Why a list of customers is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CustomersError {
    /// Two customers have one name.
    #[error("customer {0} is listed twice")]
    DuplicateName(CustomerId),
    /// Two customers have one key.
    #[error("customers {0} and {1} have the same API key")]
    SharedKey(CustomerId, CustomerId),
}

/// All customers of a configuration.
///
/// Invariant: every customer in `by_key` is in `limits`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Customers {
    by_key: IndexMap<ApiKey, CustomerId>,
    limits: IndexMap<CustomerId, Option<RateLimit>>,
}

impl Customers {
    /// Checks and indexes a list of customers.
    pub fn new(list: impl IntoIterator<Item = Customer>) -> Result<Self, CustomersError> {
        let mut customers = Self::default();
        for Customer { id, keys, limit } in list {
            if customers.limits.insert(id.clone(), limit).is_some() {
                return Err(CustomersError::DuplicateName(id));
            }
            for key in IndexSet::<ApiKey>::from_iter(keys) {
                if let Some(other) = customers.by_key.insert(key, id.clone()) {
                    return Err(CustomersError::SharedKey(other, id));
                }
            }
        }
        Ok(customers)
    }

    /// The customer to which a key belongs.
    pub fn of_key(&self, key: &ApiKey) -> Option<&CustomerId> {
        self.by_key.get(key)
    }

    /// A customer's limit; `None` if it has none or is unknown.
    pub fn limit(&self, id: &CustomerId) -> Option<RateLimit> {
        self.limits.get(id).copied().flatten()
    }

    /// All customers with their limits.
    pub fn iter(&self) -> impl Iterator<Item = (&CustomerId, Option<RateLimit>)> {
        self.limits.iter().map(|(id, limit)| (id, *limit))
    }

    /// Number of customers.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Whether there are no customers.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }
}
