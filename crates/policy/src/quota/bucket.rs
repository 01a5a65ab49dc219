//! A token bucket.

use model::unit::{Span, Time};

/// Tokens that accumulate at a rate up to a capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    level: f64,
    capacity: f64,
    updated_at: Time,
}

impl Bucket {
    /// A full bucket.
    pub(super) fn new(capacity: f64, now: Time) -> Self {
        Self {
            level: capacity,
            capacity,
            updated_at: now,
        }
    }

    /// Sets the capacity; tokens beyond it are lost.
    pub(super) fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Adds what has accumulated since the last call, at `rate` tokens a second.
    pub(super) fn refill(&mut self, rate: f64, now: Time) {
        let passed = now.since(self.updated_at).as_micros() as f64 / 1e6;
        self.level = (self.level + rate * passed).min(self.capacity);
        self.updated_at = self.updated_at.max(now);
    }

    /// Takes up to `count` whole tokens; returns how many.
    pub(super) fn take(&mut self, count: u32) -> u32 {
        let taken = (self.level.max(0.0) as u32).min(count);
        self.level -= f64::from(taken);
        taken
    }

    /// Time until a whole token is there, at `rate` tokens a second; at most `longest`.
    pub(super) fn next_token(&self, rate: f64, longest: Span) -> Span {
        let missing = (1.0 - self.level).max(0.0);
        let micros = missing / rate.max(1e-9) * 1e6;
        Span::from_micros(micros.min(longest.as_micros() as f64) as u64)
    }
}
