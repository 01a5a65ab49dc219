//! Local mirror of the store's records, with the configuration in force.
//!
//! Every proxy keeps the newest known value of each key under the fleet's prefix, and the
//! revision up to which it has missed no change. Values arrive from a watch on the store or
//! from peers, in any order, late or twice. A value is accepted only if its revision is
//! higher than the known one, so no record ever reverts. A proxy that starts while the store
//! is down takes the records of a peer.

use std::sync::Arc;

use indexmap::IndexMap;
use model::config::{Finding, Fleet};
use model::document::{self, Decoder, DocumentError};
use model::position::Revision;

/// Bytes of values after which a [`Delta`] is split. A starting proxy fetches megabytes.
/// One long response would delay heartbeats on the same connection, and the sender would seem
/// unresponsive. At a cross-region share of 400 KB/s this much takes under a second.
pub const DELTA_BYTES: usize = 256 << 10;

/// The value of a key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value; all values of the fleet are text.
    pub value: Arc<str>,
    /// The store's revision that wrote the value.
    pub revision: Revision,
}

/// Records that changed after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Delta {
    /// Revision after which the changes were requested.
    pub after: Revision,
    /// Changed records, by ascending revision.
    pub records: Vec<Record>,
    /// Every change after `after` and up to this revision is among the records.
    pub complete: Revision,
    /// Whether the sender has further records that did not fit.
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

/// Why a newer configuration was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// It cannot be decoded, e.g. because a newer version of the software wrote it.
    #[error("unreadable: {0}")]
    Unreadable(String),
    /// It fails the checks.
    #[error("{} finding(s), the first: {}", .0.len(), .0[0])]
    Findings(Vec<Finding>),
}

/// The effect of new records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A newer configuration is in force.
    Applied(Snapshot),
    /// A newer configuration was rejected; the last valid one stays in force.
    Rejected(Revision, Rejection),
    /// A record other than the configuration changed.
    Record(Record),
}

/// The records of the fleet and the configuration in force.
///
/// Invariants: the revision of a record, `complete`, and the revision in force never decrease.
#[derive(Clone, Debug, Default)]
pub struct ConfigMirror {
    records: IndexMap<String, Record>,
    complete: Revision,
    current: Option<Snapshot>,
    rejected: Option<(Revision, Rejection)>,
    decoder: Decoder,
}

impl ConfigMirror {
    /// The configuration in force, if one is known.
    pub fn current(&self) -> Option<&Snapshot> {
        self.current.as_ref()
    }

    /// The last configuration that was rejected, unless another one was applied since.
    pub fn rejected(&self) -> Option<&(Revision, Rejection)> {
        self.rejected.as_ref()
    }

    /// The revision up to which no change is missing.
    pub fn complete(&self) -> Revision {
        self.complete
    }

    /// The record of a key.
    pub fn record(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    /// Merges changes from the store or from a peer.
    pub fn merge(&mut self, delta: Delta) -> Vec<Change> {
        let mut changes = Vec::new();
        for record in delta.records {
            if let Some(change) = self.insert_if_newer(record) {
                changes.push(change);
            }
        }
        // With a gap before the delta, changes may be missing: its records are valid, but
        // `complete` must not advance.
        if delta.after <= self.complete {
            self.complete = self.complete.max(delta.complete);
        }
        changes.extend(self.apply_head());
        changes
    }

    fn insert_if_newer(&mut self, record: Record) -> Option<Change> {
        let known = self.records.get(&record.key).map(|r| r.revision);
        if known.is_some_and(|known| known >= record.revision) {
            return None;
        }
        self.records.insert(record.key.clone(), record.clone());
        let is_config = record.key == document::HEAD || record.key.starts_with(document::PARTS);
        (!is_config).then_some(Change::Record(record))
    }

    fn apply_head(&mut self) -> Option<Change> {
        let head = self.records.get(document::HEAD)?.clone();
        let current = self.current.as_ref().map(|c| c.revision);
        let rejected = self.rejected.as_ref().map(|(revision, _)| *revision);
        if current.max(rejected) >= Some(head.revision) {
            return None;
        }
        match self.decode(&head) {
            Ok(fleet) => Some(self.put_in_force(head.revision, fleet)),
            // Some of its parts have not arrived yet.
            Err(None) => None,
            Err(Some(rejection)) => {
                self.rejected = Some((head.revision, rejection.clone()));
                Some(Change::Rejected(head.revision, rejection))
            }
        }
    }

    fn decode(&mut self, head: &Record) -> Result<Fleet, Option<Rejection>> {
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
        self.rejected = None;
        self.drop_old_parts(revision);
        Change::Applied(snapshot)
    }

    /// Drops parts that only older configurations reference. Parts written after the head
    /// may belong to the next one.
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

    /// The changes after `after`, as many as fit in one response.
    pub fn changes_since(&self, after: Revision) -> Delta {
        let changed = self.records.values().filter(|r| r.revision > after);
        let mut changed: Vec<_> = changed.collect();
        changed.sort_by_key(|r| r.revision);
        let (mut bytes, mut fitting) = (0, changed.len());
        for (index, record) in changed.iter().enumerate() {
            // A revision is never split: records written together arrive together.
            let new_revision = index > 0 && changed[index - 1].revision < record.revision;
            if new_revision && bytes >= DELTA_BYTES {
                fitting = index;
                break;
            }
            bytes += record.value.len();
        }
        let more = fitting < changed.len();
        let complete = if more {
            changed[fitting - 1].revision.min(self.complete)
        } else {
            self.complete
        };
        let records = changed[..fitting].iter().map(|r| (*r).clone()).collect();
        Delta {
            after,
            records,
            complete,
            more,
        }
    }
}
