//! Grants permits of the parts of a customer's limit that one proxy holds.

use model::unit::{Span, Time};
use serde::{Deserialize, Serialize};

use super::authority::Parts;
use super::bucket::Bucket;
use super::budget::Budget;

/// Longest time after which a holder is told to ask again.
const MAX_RETRY: Span = Span::from_millis(1_000);

/// The answer to a request for permits. The permits are valid for [`PERMIT_TTL`] from the time
/// at which the request was sent.
///
/// [`PERMIT_TTL`]: super::PERMIT_TTL
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Permits granted.
    pub granted: u32,
    /// When it is worth asking again, if fewer than requested were granted.
    pub retry_after: Span,
}

impl Answer {
    /// No permits.
    pub const fn refusal() -> Self {
        Self {
            granted: 0,
            retry_after: MAX_RETRY,
        }
    }
}

/// The parts of a customer's limit that one proxy holds.
#[derive(Clone, Debug)]
pub struct Granter {
    budget: Budget,
    bucket: Bucket,
    parts: Parts,
}

impl Granter {
    /// Parts that begin with their initial permits.
    pub fn new(budget: Budget, parts: Parts, now: Time) -> Self {
        Self {
            budget,
            bucket: Bucket::new(budget.initial * f64::from(parts.all()), now),
            parts,
        }
    }

    /// Changes the budget, when the limit changes.
    pub fn set_budget(&mut self, budget: Budget, now: Time) {
        self.bucket.refill(self.rate(), now);
        self.budget = budget;
        self.set_parts(self.parts, now);
    }

    /// Sets which parts are held; returns whether that has changed.
    pub fn set_parts(&mut self, parts: Parts, now: Time) -> bool {
        self.bucket.refill(self.rate(), now);
        // Another granter of an unconfirmed part may have accumulated as much.
        let confirmed = self.budget.capacity * f64::from(parts.confirmed);
        let unconfirmed = self.budget.initial * f64::from(parts.unconfirmed);
        self.bucket.set_capacity(confirmed + unconfirmed);
        std::mem::replace(&mut self.parts, parts) != parts
    }

    /// The parts that are held.
    pub fn parts(&self) -> Parts {
        self.parts
    }

    fn rate(&self) -> f64 {
        let Parts {
            confirmed,
            unconfirmed,
        } = self.parts;
        self.budget.rate * f64::from(confirmed)
            + self.budget.unconfirmed_rate * f64::from(unconfirmed)
    }

    /// Grants up to `count` permits.
    pub fn grant(&mut self, count: u32, now: Time) -> Answer {
        let rate = self.rate();
        self.bucket.refill(rate, now);
        Answer {
            granted: self.bucket.take(count),
            retry_after: self.bucket.next_token(rate, MAX_RETRY),
        }
    }
}
