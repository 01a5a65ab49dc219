//! What this proxy learned about poolers that did not respond.
//!
//! Under load, a pooler freezes or is cut off, and stays listed among the live proxies for
//! seconds. Each statement that tried it would lose 150 ms, and all that arrive in the meantime
//! would try it together. So what one statement learned counts for the next: the pooler is
//! passed over for a while, and then one statement tries it on behalf of all.

use indexmap::IndexMap;
use model::id::ProxyId;
use model::unit::{Span, Time};

/// Time for which a pooler is passed over after its first failure; it doubles with each
/// further one. A restart takes about this long.
const FIRST_PAUSE: Span = Span::from_millis(400);

/// Number of times that the pause doubles.
const DOUBLINGS: u32 = 2;

/// Time for which the others wait for the statement that tries a pooler.
const TRIAL_TIME: Span = Span::from_millis(250);

/// The poolers that did not respond lately.
#[derive(Clone, Debug, Default)]
pub struct PoolerHealth(IndexMap<ProxyId, Failing>);

#[derive(Clone, Copy, Debug)]
struct Failing {
    /// In a row.
    failures: u32,
    /// No statement tries it before this time.
    until: Time,
    /// Whether a statement tries it at the moment.
    in_trial: bool,
}

impl PoolerHealth {
    /// Whether a statement may try a pooler now; if it failed before, others may not until this
    /// one has an answer.
    pub fn admits(&mut self, pooler: &ProxyId, now: Time) -> bool {
        let Some(failing) = self.0.get_mut(pooler) else {
            return true;
        };
        if now < failing.until {
            return false;
        }
        failing.until = now + TRIAL_TIME;
        failing.in_trial = true;
        true
    }

    /// Records that a pooler responded.
    pub fn responded(&mut self, pooler: &ProxyId) {
        self.0.swap_remove(pooler);
    }

    /// Records that a pooler did not respond; returns for how long it is passed over, if that
    /// is news: statements that tried it at the same time learn the same.
    pub fn failed(&mut self, pooler: &ProxyId, now: Time) -> Option<Span> {
        let known = self.0.get(pooler).copied();
        if known.is_some_and(|k| now < k.until && !k.in_trial) {
            return None;
        }
        let failures = known.map_or(0, |k| k.failures) + 1;
        let factor = 1_u64 << (failures - 1).min(DOUBLINGS);
        let pause = Span::from_micros(FIRST_PAUSE.as_micros() * factor);
        let failing = Failing {
            failures,
            until: now + pause,
            in_trial: false,
        };
        self.0.insert(pooler.clone(), failing);
        Some(pause)
    }

    /// Forgets the poolers that are no longer live.
    pub fn retain(&mut self, is_live: impl Fn(&ProxyId) -> bool) {
        self.0.retain(|pooler, _| is_live(pooler));
    }
}
