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

/// Priority between customers under load; 0 is the highest. A customer's share is inversely
/// proportional to its priority plus one.
///
/// Invariant: at most [`CustomerPriority::LOWEST`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "u64", into = "u64")]
pub struct CustomerPriority(u8);

/// The number is above [`CustomerPriority::LOWEST`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a customer's priority is a whole number from 0 to {max}", max = CustomerPriority::LOWEST)]
pub struct PriorityError;

impl CustomerPriority {
    /// The lowest priority.
    pub const LOWEST: u8 = 99;

    /// Relative cost of one operation: with a higher cost, fewer are served.
    pub const fn cost(self) -> u64 {
        self.0 as u64 + 1
    }
}

impl Default for CustomerPriority {
    /// The priority of customers for which none is configured.
    fn default() -> Self {
        Self(1)
    }
}

impl TryFrom<u64> for CustomerPriority {
    type Error = PriorityError;

    fn try_from(number: u64) -> Result<Self, Self::Error> {
        match u8::try_from(number) {
            Ok(number) if number <= Self::LOWEST => Ok(Self(number)),
            _ => Err(PriorityError),
        }
    }
}

impl From<CustomerPriority> for u64 {
    fn from(priority: CustomerPriority) -> Self {
        Self::from(priority.0)
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
    /// Its priority under load.
    pub priority: CustomerPriority,
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
/// Invariant: every customer in `by_key` is in `limits`, and so is every one in `priorities`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Customers {
    by_key: IndexMap<ApiKey, CustomerId>,
    limits: IndexMap<CustomerId, Option<RateLimit>>,
    priorities: IndexMap<CustomerId, CustomerPriority>,
}

impl Customers {
    /// Checks and indexes a list of customers.
    pub fn new(list: impl IntoIterator<Item = Customer>) -> Result<Self, CustomersError> {
        let mut customers = Self::default();
        for customer in list {
            let Customer {
                id,
                keys,
                limit,
                priority,
            } = customer;
            if customers.limits.insert(id.clone(), limit).is_some() {
                return Err(CustomersError::DuplicateName(id));
            }
            customers.priorities.insert(id.clone(), priority);
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

    /// A customer's priority under load; the default one if it is unknown.
    pub fn priority(&self, id: &CustomerId) -> CustomerPriority {
        self.priorities.get(id).copied().unwrap_or_default()
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
