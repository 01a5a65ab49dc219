//! Records the replies to writes, and checks them against the log of the group.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What the reply to a write guarantees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Done,
    /// The write has no effect.
    Rejected,
    Unknown,
}

/// A write of a number to an item.
#[derive(Clone, Debug)]
struct Write {
    item: String,
    number: u64,
    outcome: Outcome,
    /// When its caller received the reply.
    replied_at: Instant,
}

/// Outcomes of all writes, and the version of the newest configuration.
#[derive(Default)]
pub(crate) struct Oracle {
    pub(crate) stop: AtomicBool,
    version: AtomicU64,
    writes: Mutex<Vec<Write>>,
}

impl Oracle {
    fn writes(&self) -> MutexGuard<'_, Vec<Write>> {
        let writes = self.writes.lock();
        writes.unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// The version of the newest configuration in the store.
    pub(crate) fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed).max(1)
    }

    pub(crate) fn set_version(&self, version: u64) {
        self.version.store(version, Ordering::Relaxed);
    }

    pub(crate) fn record(&self, item: &str, number: u64, outcome: Outcome) {
        self.writes().push(Write {
            item: item.to_owned(),
            number,
            outcome,
            replied_at: Instant::now(),
        });
    }

    /// The highest number of an item that was acknowledged before `before`.
    pub(crate) fn acknowledged(&self, item: &str, before: Instant) -> Option<u64> {
        let writes = self.writes();
        let done = writes.iter().filter(|w| {
            let done = w.item == item && w.outcome == Outcome::Done;
            done && w.replied_at < before
        });
        done.map(|w| w.number).max()
    }

    /// Whether the outcome of a write is unknown, or not recorded yet.
    pub(crate) fn is_unknown(&self, item: &str, number: u64) -> bool {
        let writes = self.writes();
        let write = writes.iter().find(|w| w.item == item && w.number == number);
        write.is_none_or(|w| w.outcome == Outcome::Unknown)
    }

    /// The items that were written.
    pub(crate) fn items(&self) -> Vec<String> {
        let mut items: Vec<_> = self.writes().iter().map(|w| w.item.clone()).collect();
        items.sort();
        items.dedup();
        items
    }

    /// Checks all outcomes against the log of the group; returns a summary, or the first
    /// contradiction.
    pub(crate) fn verify(&self, log: &[String]) -> Result<String, String> {
        let mut kept: BTreeMap<&str, usize> = BTreeMap::new();
        for entry in log {
            *kept.entry(entry).or_default() += 1;
        }
        let writes = self.writes();
        for write in writes.iter() {
            let entry = format!("{}={}", write.item, write.number);
            let times = kept.get(entry.as_str()).copied().unwrap_or_default();
            let consistent = match write.outcome {
                Outcome::Done => times == 1,
                Outcome::Rejected => times == 0,
                Outcome::Unknown => times <= 1,
            };
            if !consistent {
                return Err(format!("{write:?} is kept {times} times"));
            }
        }
        let done = writes.iter().filter(|w| w.outcome == Outcome::Done).count();
        if done == 0 {
            return Err("no write succeeded".to_owned());
        }
        Ok(format!("{} writes, {done} done", writes.len()))
    }
}

/// The age of data that reads of `lookup` accept, and reads of `audit` beyond their own writes.
pub(crate) const ACCEPTED_AGE: Duration = Duration::from_millis(1_500);
