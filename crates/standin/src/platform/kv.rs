//! The key-value service's data: revisions, transactions, leases and watches.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) value: Vec<u8>,
    pub(crate) created: i64,
    pub(crate) modified: i64,
    pub(crate) version: i64,
    pub(crate) lease: i64,
}

/// Keys from `from` up to, not including, `to`; without `to` one key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Keys {
    pub(crate) from: Vec<u8>,
    pub(crate) to: Option<Vec<u8>>,
}

impl Keys {
    fn contains(&self, key: &[u8]) -> bool {
        match &self.to {
            None => key == self.from,
            // A single zero byte stands for "to the end".
            Some(to) => key >= self.from.as_slice() && (to == &[0] || key < to.as_slice()),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Relation {
    Equal,
    NotEqual,
    Greater,
    Less,
}

impl Relation {
    fn holds<T: Ord + ?Sized>(self, left: &T, right: &T) -> bool {
        match self {
            Self::Equal => left == right,
            Self::NotEqual => left != right,
            Self::Greater => left > right,
            Self::Less => left < right,
        }
    }
}

/// What a comparison looks at, with the value to compare with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    Version(i64),
    Created(i64),
    Modified(i64),
    Lease(i64),
    Value(Vec<u8>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Compare {
    pub(crate) key: Vec<u8>,
    pub(crate) relation: Relation,
    pub(crate) target: Target,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Op {
    Range(Keys),
    Put {
        key: Vec<u8>,
        value: Vec<u8>,
        lease: i64,
    },
    Delete(Keys),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OpResult {
    Range(Vec<(Vec<u8>, Entry)>),
    Put,
    Delete(usize),
}

/// One change, as watches report it; a deletion has no entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) revision: i64,
    pub(crate) key: Vec<u8>,
    pub(crate) entry: Option<Entry>,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
}

struct Watcher {
    keys: Keys,
    tx: flume::Sender<Event>,
}

/// Why the service refuses an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum KvError {
    #[error("requested lease not found")]
    NoLease,
}

/// The whole store.
pub(crate) struct Kv {
    revision: i64,
    entries: BTreeMap<Vec<u8>, Entry>,
    leases: IndexMap<i64, Lease>,
    next_lease: i64,
    events: Vec<Event>,
    watchers: Vec<Watcher>,
}

impl Kv {
    pub(crate) fn new() -> Self {
        Self {
            revision: 1,
            entries: BTreeMap::new(),
            leases: IndexMap::new(),
            next_lease: 1,
            events: Vec::new(),
            watchers: Vec::new(),
        }
    }

    pub(crate) fn revision(&self) -> i64 {
        self.revision
    }

    fn matches(&self, compare: &Compare) -> bool {
        let entry = self.entries.get(&compare.key);
        let number = |f: fn(&Entry) -> i64| entry.map_or(0, f);
        let relation = compare.relation;
        match &compare.target {
            Target::Version(n) => relation.holds(&number(|e| e.version), n),
            Target::Created(n) => relation.holds(&number(|e| e.created), n),
            Target::Modified(n) => relation.holds(&number(|e| e.modified), n),
            Target::Lease(n) => relation.holds(&number(|e| e.lease), n),
            Target::Value(value) => {
                entry.is_some_and(|e| relation.holds(e.value.as_slice(), value.as_slice()))
            }
        }
    }

    /// Runs one list of operations or the other, at one revision.
    pub(crate) fn txn(
        &mut self,
        compares: &[Compare],
        success: Vec<Op>,
        failure: Vec<Op>,
    ) -> Result<(bool, Vec<OpResult>), KvError> {
        let succeeded = compares.iter().all(|c| self.matches(c));
        let results = self.run(if succeeded { success } else { failure })?;
        Ok((succeeded, results))
    }

    /// Runs operations at one revision.
    pub(crate) fn run(&mut self, ops: Vec<Op>) -> Result<Vec<OpResult>, KvError> {
        let unknown = ops.iter().any(|op| match op {
            Op::Put { lease, .. } => *lease != 0 && !self.leases.contains_key(lease),
            _ => false,
        });
        if unknown {
            return Err(KvError::NoLease);
        }
        let next = self.revision + 1;
        Ok(ops.into_iter().map(|op| self.apply(op, next)).collect())
    }

    fn apply(&mut self, op: Op, next: i64) -> OpResult {
        match op {
            Op::Range(keys) => OpResult::Range(
                self.entries
                    .iter()
                    .filter(|(key, _)| keys.contains(key))
                    .map(|(key, entry)| (key.clone(), entry.clone()))
                    .collect(),
            ),
            Op::Put { key, value, lease } => {
                let old = self.entries.get(&key);
                let entry = Entry {
                    value,
                    created: old.map_or(next, |e| e.created),
                    modified: next,
                    version: old.map_or(0, |e| e.version) + 1,
                    lease,
                };
                self.entries.insert(key.clone(), entry.clone());
                self.record(Event {
                    revision: next,
                    key,
                    entry: Some(entry),
                });
                OpResult::Put
            }
            Op::Delete(keys) => {
                let gone: Vec<_> = self
                    .entries
                    .keys()
                    .filter(|k| keys.contains(k))
                    .cloned()
                    .collect();
                for key in &gone {
                    self.entries.remove(key);
                    self.record(Event {
                        revision: next,
                        key: key.clone(),
                        entry: None,
                    });
                }
                OpResult::Delete(gone.len())
            }
        }
    }

    fn record(&mut self, event: Event) {
        self.revision = event.revision;
        self.watchers
            .retain(|w| !w.keys.contains(&event.key) || w.tx.send(event.clone()).is_ok());
        self.events.push(event);
    }

    /// Watches keys; events from `start` on are sent again, if it is not zero.
    pub(crate) fn watch(&mut self, keys: Keys, start: i64) -> flume::Receiver<Event> {
        let (tx, rx) = flume::unbounded();
        if start > 0 {
            for event in self.events.iter().filter(|e| e.revision >= start) {
                if keys.contains(&event.key) {
                    tx.send(event.clone()).expect("the receiver is held here");
                }
            }
        }
        self.watchers.push(Watcher { keys, tx });
        rx
    }

    /// Ends every watch.
    pub(crate) fn drop_watches(&mut self) {
        self.watchers.clear();
    }

    pub(crate) fn grant(&mut self, id: i64, ttl: Duration) -> i64 {
        let id = if id == 0 { self.next_lease } else { id };
        self.next_lease = self.next_lease.max(id) + 1;
        self.leases.insert(
            id,
            Lease {
                ttl,
                expires: Instant::now() + ttl,
            },
        );
        id
    }

    /// Renews a lease; `None` when it has expired.
    pub(crate) fn keep_alive(&mut self, id: i64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys.
    pub(crate) fn revoke(&mut self, id: i64) -> Result<(), KvError> {
        self.leases.shift_remove(&id).ok_or(KvError::NoLease)?;
        let next = self.revision + 1;
        let keys: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for from in keys {
            self.apply(Op::Delete(Keys { from, to: None }), next);
        }
        Ok(())
    }

    /// Revokes the leases that ran out by `now`.
    pub(crate) fn expire(&mut self, now: Instant) {
        let gone: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            // It was in the table a moment ago.
            let _ = self.revoke(id);
        }
    }
}
