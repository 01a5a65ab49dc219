//! Bytes drawn across the link between regions, for all callers and for each.

use indexmap::IndexMap;
use model::id::CallerId;
use model::unit::{Rate, Size, Span, Time};

/// Part of the proxy's rate that one caller may draw, as a divisor. Load: one caller
/// exports a register across the link; harm: lookups of all others wait behind it.
/// With half, another caller always finds the link half empty, and a lone caller
/// still gets half of it.
const CALLER_DIVISOR: u64 = 2;

/// Time for which unused rate is saved. A burst of a second at the full rate of nine
/// proxies fills the link's buffers for about a second at worst.
const SAVED: Span = Span::from_millis(1_000);

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Rate with saved credit, and debt when an answer turned out larger.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    credit: i64,
    at: Time,
}

impl Bucket {
    fn full(rate: u64, now: Time) -> Self {
        Self {
            credit: saved(rate),
            at: now,
        }
    }

    fn refill(&mut self, rate: u64, now: Time) {
        let passed = now.since(self.at).as_micros();
        let earned = signed(rate.saturating_mul(passed) / MICROS_PER_SECOND);
        if earned > 0 {
            self.credit = self.credit.saturating_add(earned).min(saved(rate));
            self.at = now;
        }
    }

    /// Time until the debt is paid off.
    fn wait(&self, rate: u64) -> Span {
        let debt = u64::try_from(-self.credit).unwrap_or(0);
        Span::from_micros(debt.saturating_mul(MICROS_PER_SECOND) / rate.max(1))
    }
}

fn saved(rate: u64) -> i64 {
    signed(rate.saturating_mul(SAVED.as_micros()) / MICROS_PER_SECOND)
}

fn signed(n: u64) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}

/// Budget of one proxy for bytes across regions.
///
/// An answer's size is known only afterwards, so a read passes while there is no
/// debt, and its bytes are charged then.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: u64,
    all: Bucket,
    callers: IndexMap<CallerId, Bucket>,
}

impl Budget {
    /// A budget with its whole credit.
    pub fn new(rate: Rate, now: Time) -> Self {
        let rate = rate.as_bytes_per_second();
        Self {
            rate,
            all: Bucket::full(rate, now),
            callers: IndexMap::new(),
        }
    }

    fn caller_rate(&self) -> u64 {
        self.rate / CALLER_DIVISOR
    }

    /// How long a caller's next request must stay off the link; zero to pass.
    pub fn wait(&mut self, caller: &CallerId, now: Time) -> Span {
        let (rate, own) = (self.rate, self.caller_rate());
        self.all.refill(rate, now);
        let all = self.all.wait(rate);
        let Some(bucket) = self.callers.get_mut(caller) else {
            return all;
        };
        bucket.refill(own, now);
        let wait = bucket.wait(own);
        if bucket.credit >= saved(own) {
            // A full bucket is like none; memory is bounded by the recent callers.
            self.callers.swap_remove(caller);
        }
        all.max(wait)
    }

    /// Charges bytes that crossed the link.
    pub fn charge(&mut self, caller: &CallerId, size: Size, now: Time) {
        let bytes = signed(size.as_bytes());
        let own = self.caller_rate();
        self.all.refill(self.rate, now);
        self.all.credit = self.all.credit.saturating_sub(bytes);
        let full = || Bucket::full(own, now);
        let bucket = self.callers.entry(caller.clone()).or_insert_with(full);
        bucket.refill(own, now);
        bucket.credit = bucket.credit.saturating_sub(bytes);
    }
}
