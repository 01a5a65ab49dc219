//! Adoption of the configuration and of other records that the store holds.
//!
//! Every proxy keeps the newest known value of each key under the fleet's prefix, and the
//! revision up to which it has missed nothing. Values come from a watch on the store or
//! from peers, in any order, late or twice; a value is taken only if its revision is
//! higher than the known one, so nothing ever goes back. A proxy that starts while the
//! store is down takes the records of a peer.

use std::sync::Arc;

use indexmap::IndexMap;
use model::config::{Finding, Fleet};
use model::document::{self, Decoder, DocumentError};
use model::position::Revision;

/// Most bytes of values in one [`Delta`]. Load: a starting proxy takes megabytes. Harm:
/// one long answer would hold up heartbeats on the same connection and count as silence;
/// at a cross-region share of 400 KB/s this takes under a second.
pub const DELTA_BYTES: usize = 256 << 10;

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value; every value of the fleet is text.
    pub value: Arc<str>,
    /// The store's revision that wrote the value.
    pub revision: Revision,
}

/// Records that changed after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Delta {
    /// Revision after which the changes are told.
    pub after: Revision,
    /// Changed records, by ascending revision.
    pub records: Vec<Record>,
    /// Every change up to this revision is among the records.
    pub complete: Revision,
    /// Whether the sender knows more than fits.
    pub more: bool,
}

/// A configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision that put it in force.
    pub revision: Revision,
    /// The configuration.
    pub fleet: Arc<Fleet>,
}

/// Why a newer configuration was not adopted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// It cannot be read, e.g. because a newer version of the software wrote it.
    #[error("unreadable: {0}")]
    Unreadable(String),
    /// Its checks fail.
    #[error("{} finding(s), the first: {}", .0.len(), .0[0])]
    Findings(Vec<Finding>),
}

/// What followed from new records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Another configuration is in force.
    Applied(Snapshot),
    /// A newer configuration was refused; the last good one stays in force.
    Rejected(Revision, Rejection),
    /// A record other than the configuration changed.
    Record(Record),
}

/// The records of the fleet and the configuration in force.
///
/// Invariants: a record's revision never falls; `complete` never falls; the revision in
/// force never falls.
#[derive(Clone, Debug, Default)]
pub struct ConfigMirror {
    records: IndexMap<String, Record>,
    complete: Revision,
    current: Option<Snapshot>,
    refused: Option<(Revision, Rejection)>,
    decoder: Decoder,
}

impl ConfigMirror {
    /// The configuration in force, if one is known.
    pub fn current(&self) -> Option<&Snapshot> {
        self.current.as_ref()
    }

    /// The newest configuration that was refused, if none was adopted since.
    pub fn refused(&self) -> Option<&(Revision, Rejection)> {
        self.refused.as_ref()
    }

    /// The revision up to which no change was missed.
    pub fn complete(&self) -> Revision {
        self.complete
    }

    /// The record of a key.
    pub fn record(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    /// Takes in changes from the store or from a peer.
    pub fn merge(&mut self, delta: Delta) -> Vec<Change> {
        let mut changes = Vec::new();
        for record in delta.records {
            if let Some(change) = self.take(record) {
                changes.push(change);
            }
        }
        // A gap before the delta may hide changes; its records count, its end does not.
        if delta.after <= self.complete {
            self.complete = self.complete.max(delta.complete);
        }
        changes.extend(self.adopt());
        changes
    }

    fn take(&mut self, record: Record) -> Option<Change> {
        let known = self.records.get(&record.key).map(|r| r.revision);
        if known.is_some_and(|known| known >= record.revision) {
            return None;
        }
        self.records.insert(record.key.clone(), record.clone());
        let ours = record.key == document::HEAD || record.key.starts_with(document::PARTS);
        (!ours).then_some(Change::Record(record))
    }

    fn adopt(&mut self) -> Option<Change> {
        let head = self.records.get(document::HEAD)?.clone();
        let current = self.current.as_ref().map(|c| c.revision);
        let refused = self.refused.as_ref().map(|(revision, _)| *revision);
        if current.max(refused) >= Some(head.revision) {
            return None;
        }
        match self.read(&head) {
            Ok(fleet) => Some(self.put_in_force(head.revision, fleet)),
            // Its parts are on their way.
            Err(None) => None,
            Err(Some(rejection)) => {
                self.refused = Some((head.revision, rejection.clone()));
                Some(Change::Rejected(head.revision, rejection))
            }
        }
    }

    fn read(&mut self, head: &Record) -> Result<Fleet, Option<Rejection>> {
        let records = &self.records;
        let part = |key: &str| records.get(key).map(|r| r.value.as_bytes());
        let fleet = self.decoder.decode(head.value.as_bytes(), part);
        let fleet = fleet.map_err(|e| match e {
            DocumentError::MissingPart(_) => None,
            DocumentError::Form(e) => Some(Rejection::Unreadable(e.to_string())),
        })?;
        let findings = fleet.check();
        if findings.is_empty() {
            Ok(fleet)
        } else {
            Err(Some(Rejection::Findings(findings)))
        }
    }

    fn put_in_force(&mut self, revision: Revision, fleet: Fleet) -> Change {
        let fleet = Arc::new(fleet);
        let snapshot = Snapshot { revision, fleet };
        self.current = Some(snapshot.clone());
        self.refused = None;
        self.drop_old_parts(revision);
        Change::Applied(snapshot)
    }

    /// Drops parts that only older configurations name. Parts written since the head may
    /// belong to the next one.
    fn drop_old_parts(&mut self, head: Revision) {
        let Some(record) = self.records.get(document::HEAD) else {
            return;
        };
        let part = |key: &str| self.records.get(key).map(|r| r.value.as_bytes());
        let Ok(used) = document::referenced_keys(record.value.as_bytes(), part) else {
            return;
        };
        let used: indexmap::IndexSet<_> = used.into_iter().collect();
        self.records.retain(|key, record| {
            !key.starts_with(document::PARTS) || record.revision > head || used.contains(key)
        });
    }

    /// What changed after `after`, as much as fits in one answer.
    pub fn since(&self, after: Revision) -> Delta {
        let newer = self.records.values().filter(|r| r.revision > after);
        let mut newer: Vec<_> = newer.collect();
        newer.sort_by_key(|r| r.revision);
        let (mut bytes, mut fit) = (0, newer.len());
        for (at, record) in newer.iter().enumerate() {
            // One revision is never split: what was written together arrives together.
            let begins = at > 0 && newer[at - 1].revision < record.revision;
            if begins && bytes >= DELTA_BYTES {
                fit = at;
                break;
            }
            bytes += record.value.len();
        }
        let more = fit < newer.len();
        let complete = if more {
            newer[fit - 1].revision.min(self.complete)
        } else {
            self.complete
        };
        let records = newer[..fit].iter().map(|r| (*r).clone()).collect();
        Delta {
            after,
            records,
            complete,
            more,
        }
    }
}
