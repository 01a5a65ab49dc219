//! Grants permits of one part of a customer's limit.

use model::unit::{Span, Time};
use serde::{Deserialize, Serialize};

use super::Standing;
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

/// One part of a customer's limit.
#[derive(Clone, Debug)]
pub struct Granter {
    budget: Budget,
    bucket: Bucket,
    standing: Standing,
}

impl Granter {
    /// A part that begins with its initial permits.
    pub fn new(budget: Budget, now: Time) -> Self {
        Self {
            budget,
            bucket: Bucket::new(budget.initial, now),
            standing: Standing::Other,
        }
    }

    /// Changes the budget, when the limit changes.
    pub fn set_budget(&mut self, budget: Budget, now: Time) {
        self.budget = budget;
        self.set_standing(self.standing, now);
    }

    /// Sets whether the whole part may be used; returns whether that has changed.
    pub fn set_standing(&mut self, standing: Standing, now: Time) -> bool {
        self.bucket.refill(self.rate(), now);
        // Another granter of the same part may have accumulated as much.
        self.bucket.set_capacity(match standing {
            Standing::Confirmed => self.budget.capacity,
            Standing::Unconfirmed | Standing::Other => self.budget.initial,
        });
        std::mem::replace(&mut self.standing, standing) != standing
    }

    fn rate(&self) -> f64 {
        match self.standing {
            Standing::Other => 0.0,
            Standing::Unconfirmed => self.budget.unconfirmed_rate,
            Standing::Confirmed => self.budget.rate,
        }
    }

    /// Grants up to `count` permits.
    pub fn grant(&mut self, count: u32, now: Time) -> Answer {
        if self.standing == Standing::Other {
            return Answer::refusal();
        }
        let rate = self.rate();
        self.bucket.refill(rate, now);
        Answer {
            granted: self.bucket.take(count),
            retry_after: self.bucket.next_token(rate, MAX_RETRY),
        }
    }
}
