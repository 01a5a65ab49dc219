//! What a run sent, and the oracle.

use std::ops::Range;

use model::unit::{Span, Time};
use policy::quota::{PARTS, Terms};

use crate::world::{START, Setup};

/// What a run sent.
pub(crate) struct Outcome {
    /// When operations arrived at proxies.
    pub(crate) asked: Vec<Time>,
    /// When operations were sent to instances.
    pub(crate) sent: Vec<Time>,
    /// The proxies that sent them.
    pub(crate) sent_by: Vec<usize>,
    pub(crate) rejected: usize,
    /// How long operations waited until they were rejected.
    pub(crate) rejected_after: Vec<Span>,
    /// Confirmed parts that each proxy granted at the end.
    pub(crate) parts: Vec<u32>,
}

impl Outcome {
    /// The least share of their part of the limit that the given proxies sent in a window.
    pub(crate) fn least_share(&self, setup: &Setup, proxies: Range<usize>) -> f64 {
        let window = setup.terms.window;
        let parts: u32 = self.parts[proxies.clone()].iter().sum();
        let limit = setup.limit.per_s() * window.as_micros() as f64 / 1e6;
        let limit = limit * f64::from(parts) / PARTS as f64;
        let sent = self.sent.iter().zip(&self.sent_by);
        let sent: Vec<_> = sent.filter(|(_, by)| proxies.contains(by)).collect();
        let windows = (setup.length.as_micros() - window.as_micros()) / 100_000;
        let share = |n: u64| {
            let from = START + Span::from_millis(100 * n);
            let is_in = |at: &&(&Time, &usize)| from <= *at.0 && *at.0 < from + window;
            sent.iter().filter(is_in).count() as f64 / limit.max(1e-9)
        };
        (0..windows).map(share).fold(f64::INFINITY, f64::min)
    }

    /// Operations that a single bucket with the customer's rate and burst would reject.
    pub(crate) fn over_limit(&self, setup: &Setup) -> usize {
        let (mut level, mut over) = (setup.limit.burst(), 0);
        let mut last = START;
        for at in &self.asked {
            let passed = at.since(last).as_micros() as f64 / 1e6;
            level = (level + passed * setup.limit.per_s()).min(setup.limit.burst());
            last = *at;
            if level >= 1.0 {
                level -= 1.0;
            } else {
                over += 1;
            }
        }
        over
    }

    /// The first window with more operations than the terms allow.
    pub(crate) fn violation(&self, setup: &Setup) -> Option<String> {
        let Terms {
            window,
            overage,
            slack,
        } = setup.terms;
        let seconds = window.as_micros() as f64 / 1e6;
        let limited = setup.limit.per_s() * seconds + setup.limit.burst();
        let allowed = limited * (1.0 + overage) + slack;
        let mut first = 0;
        for (last, at) in self.sent.iter().enumerate() {
            while at.since(self.sent[first]) >= window {
                first += 1;
            }
            let count = last + 1 - first;
            if count as f64 > allowed {
                return Some(format!(
                    "{count} of {allowed} in the window that ends at {at}"
                ));
            }
        }
        None
    }
}
