//! Copy of the store's records, with enough history to send other processes what changed.

use std::collections::VecDeque;

use indexmap::IndexMap;
use model::position::Revision;
use serde::{Deserialize, Serialize};

use crate::kv::{Listing, Record};
use crate::watch::{Batch, Change};

/// Maximum number of changes in the history, and of bytes of their values. A process that is
/// further behind receives all records; a large configuration has half a megabyte.
const HISTORY_LIMIT: (usize, usize) = (1_000, 2 << 20);

/// What one process sends another about the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// All records.
    Listing(Listing),
    /// Changes since the requested revision.
    Changes(Batch),
}

impl Update {
    /// The store's revision up to which the update is complete.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Listing(listing) => listing.revision,
            Self::Changes(batch) => batch.revision,
        }
    }
}

/// Copy of the store's records.
///
/// Invariant: `history` holds every change after `compacted`, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    records: IndexMap<String, Record>,
    revision: Revision,
    history: VecDeque<Change>,
    compacted: Revision,
    /// Bytes of the values in `history`.
    bytes: usize,
}

impl Mirror {
    /// The revision up to which the copy is complete; 0 before the first listing.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Applies an update.
    pub fn apply(&mut self, update: &Update) {
        match update {
            Update::Listing(listing) => self.replace(listing),
            Update::Changes(batch) => self.apply_changes(batch),
        }
    }

    fn replace(&mut self, listing: &Listing) {
        let records = listing.records.iter();
        self.records = records.map(|r| (r.key.clone(), r.clone())).collect();
        self.revision = listing.revision;
        self.compacted = listing.revision;
        self.history.clear();
        self.bytes = 0;
    }

    fn apply_changes(&mut self, batch: &Batch) {
        for change in &batch.changes {
            match change {
                Change::Put(record) => {
                    self.records.insert(record.key.clone(), record.clone());
                }
                Change::Delete(key, _) => {
                    self.records.shift_remove(key);
                }
            }
            self.bytes += size(change);
            self.history.push_back(change.clone());
        }
        self.revision = self.revision.max(batch.revision);
        while self.history.len() > HISTORY_LIMIT.0 || self.bytes > HISTORY_LIMIT.1 {
            let Some(oldest) = self.history.pop_front() else {
                break;
            };
            self.bytes -= size(&oldest);
            self.compacted = self.compacted.max(revision(&oldest));
        }
    }

    /// What a copy that is complete up to `after` lacks: the changes since then, or all records
    /// if the history does not reach back to it.
    pub fn changes_since(&self, after: Revision) -> Update {
        if after < self.compacted {
            let records = self.records.values().cloned().collect();
            return Update::Listing(Listing {
                records,
                revision: self.revision,
            });
        }
        let new = self.history.iter().filter(|c| revision(c) > after);
        Update::Changes(Batch {
            changes: new.cloned().collect(),
            revision: self.revision,
        })
    }
}

fn revision(change: &Change) -> Revision {
    match change {
        Change::Put(record) => record.revision,
        Change::Delete(_, revision) => *revision,
    }
}

fn size(change: &Change) -> usize {
    match change {
        Change::Put(record) => record.value.len(),
        Change::Delete(..) => 0,
    }
}
