//! Second copies of slow idempotent reads, sent to another instance.

use model::unit::Span;

/// Share of reads that may be sent twice. Load: one instance pauses; harm without
/// a bound: under saturation every read looks slow and is sent twice, which doubles
/// the load. A twentieth covers the slowest reads and costs 5 % at most.
const SHARE: f64 = 0.05;

/// Copies saved up at most, for a pause that hits several reads at once.
const SAVED: f64 = 5.0;

/// Step of the running quantile, as a part of its value.
const STEP: f64 = 0.02;

/// Quantile of the latency after which a copy is sent.
const QUANTILE: f64 = 0.95;

/// Shortest delay; below it a copy saves nothing that a caller notices.
const LEAST: Span = Span::from_millis(2);

/// Decides on copies of the reads of one group.
#[derive(Clone, Copy, Debug)]
pub struct Hedge {
    tokens: f64,
    /// Running quantile of the latency, in microseconds.
    slow: f64,
}

impl Default for Hedge {
    fn default() -> Self {
        Self {
            tokens: SAVED,
            slow: 50_000.0,
        }
    }
}

impl Hedge {
    /// A read was sent; how long to wait before [`Hedge::take`] is asked.
    pub fn sent(&mut self) -> Span {
        self.tokens = (self.tokens + SHARE).min(SAVED);
        Span::from_micros(self.slow as u64).max(LEAST)
    }

    /// Whether a copy may be sent now, to an instance with `queued` waiting.
    ///
    /// A queue there means that the instances are loaded rather than one of them
    /// slow; a copy would then only take a slot from another caller.
    pub fn take(&mut self, queued: u32) -> bool {
        let may = queued == 0 && self.tokens >= 1.0;
        if may {
            self.tokens -= 1.0;
        }
        may
    }

    /// Learns from the latency of a read that was answered.
    pub fn answered(&mut self, took: Span) {
        // Steps up and down balance where a part QUANTILE of the samples lies below.
        if took.as_micros() as f64 > self.slow {
            self.slow *= 1.0 + STEP * QUANTILE;
        } else {
            self.slow *= 1.0 - STEP * (1.0 - QUANTILE);
        }
    }
}
