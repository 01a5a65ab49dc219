//! What callers were told, and what the group holds: the oracle of every run.
//!
//! Each session writes the numbers 1, 2, 3, … under its own name, each at most once.
//! The ledger knows only the answers; at the end it is compared with the table.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Answer to one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The write was acknowledged.
    Acknowledged,
    /// The caller was told that the write did not run.
    DidNotRun,
    /// The caller was told nothing, or that the outcome is unknown.
    Unknown,
}

/// A number that a session wrote.
#[derive(Clone, Copy, Debug)]
struct Entry {
    answer: Answer,
    answered: Instant,
}

/// Everything one session was told.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: Vec<Entry>,
}

impl Ledger {
    /// The number that the next write carries.
    pub fn next(&self) -> u64 {
        self.entries.len() as u64 + 1
    }

    /// Records the answer to the write of [`Ledger::next`].
    pub fn record(&mut self, answer: Answer, answered: Instant) {
        self.entries.push(Entry { answer, answered });
    }

    /// The lowest number that a read may answer, if it may be as old as `age` and was
    /// sent at `sent`: the newest number acknowledged before that.
    pub fn oldest_allowed(&self, sent: Instant, age: Duration) -> u64 {
        let known = |e: &Entry| e.answer == Answer::Acknowledged && e.answered + age <= sent;
        let at = self.entries.iter().rposition(known);
        at.map_or(0, |at| at as u64 + 1)
    }

    /// Time from the newest write's answer, whatever it was, to `sent`.
    pub fn since_write(&self, sent: Instant) -> Option<Duration> {
        let newest = self.entries.last()?;
        Some(sent.saturating_duration_since(newest.answered))
    }

    /// Times of the acknowledged writes, in order.
    pub fn acknowledged(&self) -> impl Iterator<Item = Instant> {
        let entries = self.entries.iter();
        entries.filter_map(|e| (e.answer == Answer::Acknowledged).then_some(e.answered))
    }

    /// Number of writes that got `answer`.
    pub fn count(&self, answer: Answer) -> u64 {
        self.entries.iter().filter(|e| e.answer == answer).count() as u64
    }

    /// Compares the answers with the rows found, each number with its row count.
    pub fn audit(&self, rows: &IndexMap<u64, u64>) -> Audit {
        let mut audit = Audit::default();
        for (number, entry) in (1..).zip(&self.entries) {
            let found = rows.get(&number).copied().unwrap_or(0);
            match (entry.answer, found) {
                (Answer::Acknowledged, 0) => audit.lost += 1,
                (Answer::DidNotRun, 1..) => audit.false_refusals += 1,
                _ => {}
            }
            if found > 1 {
                audit.doubled += 1;
            }
        }
        audit
    }
}

/// Broken promises found at the end of a run; all zero in a correct one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Audit {
    /// Acknowledged writes that are missing.
    pub lost: u64,
    /// Writes that ran more than once.
    pub doubled: u64,
    /// Writes that ran although the caller was told that they did not.
    pub false_refusals: u64,
}

impl Audit {
    /// Adds another session's findings.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            lost: self.lost + other.lost,
            doubled: self.doubled + other.doubled,
            false_refusals: self.false_refusals + other.false_refusals,
        }
    }

    /// Number of broken promises.
    pub fn total(self) -> u64 {
        self.lost + self.doubled + self.false_refusals
    }
}

/// The longest time between two neighbours of the given moments, and its start.
pub fn longest_gap(mut moments: Vec<Instant>) -> Option<(Instant, Duration)> {
    moments.sort_unstable();
    let gaps = moments.windows(2).map(|w| (w[0], w[1] - w[0]));
    gaps.max_by_key(|(_, gap)| *gap)
}
