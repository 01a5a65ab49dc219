//! A copy of what the store told, with enough history to tell others what changed.

use std::collections::VecDeque;

use indexmap::IndexMap;
use model::position::Revision;
use serde::{Deserialize, Serialize};

use crate::kv::{Listing, Record};
use crate::watch::{Batch, Change};

/// Most changes that are kept, and most bytes of their values. Who is further behind gets
/// everything; a large configuration has half a megabyte.
const HISTORY_LIMIT: (usize, usize) = (1_000, 2 << 20);

/// What one process tells another about the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Everything.
    Listing(Listing),
    /// What changed since the revision that was asked for.
    Changes(Batch),
}

impl Update {
    /// The store's revision up to which it tells everything.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Listing(listing) => listing.revision,
            Self::Changes(batch) => batch.revision,
        }
    }
}

/// The copy.
///
/// Invariant: `history` holds every change after `floor`, oldest first.
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
    /// The revision up to which everything is known; 0 before the first listing.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes news over.
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

    /// What somebody lacks who knows everything up to `after`.
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
