//! How often each customer needs a connection, to decide whose connections are kept.

use indexmap::IndexMap;
use model::id::CustomerId;
use model::unit::{Span, Time};

/// Time in which a request's weight falls to a half.
const HALF_LIFE: Span = Span::from_millis(10_000);

/// Number of customers from which those without recent requests are forgotten.
const MAX_CUSTOMERS: usize = 512;

/// Least weight of a customer that is remembered then.
const FORGET_BELOW: f64 = 0.1;

/// Recent requests of each customer, the latest ones weighing most.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand(IndexMap<CustomerId, (f64, Time)>);

impl Demand {
    /// Records a request of a customer.
    pub(super) fn record(&mut self, customer: &CustomerId, now: Time) {
        let recent = self.of(Some(customer), now);
        if self.0.len() >= MAX_CUSTOMERS && !self.0.contains_key(customer) {
            self.0
                .retain(|_, known| decayed(*known, now) >= FORGET_BELOW);
        }
        self.0.insert(customer.clone(), (recent + 1.0, now));
    }

    /// Whether no request on behalf of a customer was recorded.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The weight of a customer's recent requests; 0 for connections of the proxy itself.
    pub(super) fn of(&self, customer: Option<&CustomerId>, now: Time) -> f64 {
        let known = customer.and_then(|id| self.0.get(id));
        known.map_or(0.0, |known| decayed(*known, now))
    }
}

fn decayed((weight, at): (f64, Time), now: Time) -> f64 {
    let half_lives = now.since(at).as_micros() as f64 / HALF_LIFE.as_micros() as f64;
    weight * (-half_lives).exp2()
}
