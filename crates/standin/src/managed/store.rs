//! The store of the stand-in: keys with revisions, leases and a history.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

/// Keys, leases and every change so far.
#[derive(Default)]
pub(super) struct Store {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: Vec<Value>,
    /// Revision up to which the history is forgotten.
    forgotten: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

impl Store {
    pub(super) fn put(&mut self, key: &str, value: &[u8], lease: u64) {
        self.write(key, STANDARD.encode(value), lease);
    }

    pub(super) fn keys(&mut self, prefix: &str) -> Vec<String> {
        self.lapse();
        let keys = self.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let item = Item {
            value,
            revision: self.revision,
            lease,
        };
        self.history.push(shown(key, &item));
        self.items.insert(key.to_owned(), item);
    }

    pub(super) fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = json!({ "key": key, "revision": self.revision, "deleted": true });
            self.history.push(event);
        }
    }

    /// Forgets what belongs to leases that ended.
    fn lapse(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, until)| *until > now);
        let gone = |item: &Item| item.lease > 0 && !self.leases.contains_key(&item.lease);
        let gone: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| gone(item))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.delete(&key);
        }
    }

    pub(super) fn range(&mut self, prefix: &str) -> Value {
        self.lapse();
        let items = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<_> = items.map(|(key, item)| shown(key, item)).collect();
        json!({ "items": items, "truncated": false, "storeRevision": self.revision })
    }

    pub(super) fn forget_history(&mut self) {
        self.forgotten = self.revision;
        self.history.clear();
    }

    pub(super) fn lapse_all(&mut self) {
        self.leases.clear();
        self.lapse();
    }

    /// Changes after a revision; `None` if the history does not reach back to it.
    pub(super) fn events(&mut self, after: u64) -> Option<Value> {
        self.lapse();
        if after < self.forgotten {
            return None;
        }
        let new = |event: &&Value| event["revision"].as_u64().unwrap_or_default() > after;
        let events: Vec<_> = self.history.iter().filter(new).collect();
        Some(json!({ "events": events, "storeRevision": self.revision }))
    }

    pub(super) fn txn(&mut self, body: &Value) -> (u16, Value) {
        self.lapse();
        let none = Vec::new();
        let rows = |name: &str| body[name].as_array().unwrap_or(&none);
        let holds = rows("precondition").iter().all(|row| {
            let item = self.items.get(text(&row["key"]));
            item.map_or(0, |item| item.revision) == row["revision"].as_u64().unwrap_or_default()
        });
        if !holds {
            let current = rows("precondition").iter().filter_map(|row| {
                let key = text(&row["key"]);
                self.items.get(key).map(|item| shown(key, item))
            });
            return (412, json!({ "items": current.collect::<Vec<_>>() }));
        }
        for row in rows("writes") {
            let lease = row["lease"].as_u64().unwrap_or_default();
            if lease > 0 && !self.leases.contains_key(&lease) {
                return (404, json!({}));
            }
            self.write(text(&row["key"]), text(&row["value"]).to_owned(), lease);
        }
        for key in rows("deletes") {
            self.delete(text(key));
        }
        (200, json!({ "revision": self.revision }))
    }

    pub(super) fn grant(&mut self, ttl_ms: u64) -> Value {
        self.revision += 1;
        let (lease, ttl) = (self.revision, Duration::from_millis(ttl_ms));
        self.leases.insert(lease, (ttl, Instant::now() + ttl));
        json!({ "lease": lease, "ttlMs": ttl_ms })
    }

    pub(super) fn keep(&mut self, lease: u64) -> bool {
        self.lapse();
        let Some((ttl, until)) = self.leases.get_mut(&lease) else {
            return false;
        };
        *until = Instant::now() + *ttl;
        true
    }

    pub(super) fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.lapse();
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

fn shown(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": item.value,
        "revision": item.revision,
        "created": item.revision,
        "lease": item.lease,
    })
}
