//! Reading and replacing the fleet configuration.

use std::collections::{HashMap, HashSet};

use model::config::Fleet;
use model::document::{self, DocumentError};
use model::position::Revision;

use crate::client::Client;
use crate::error::Error;
use crate::kv::{Outcome, Record};

/// Why the configuration could not be read or replaced.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The store gave no usable response.
    #[error(transparent)]
    Store(#[from] Error),
    /// The stored configuration cannot be read.
    #[error(transparent)]
    Document(#[from] DocumentError),
}

/// The configuration as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredConfig {
    /// Revision at which it took effect; 0 when the store holds none.
    pub revision: Revision,
    /// The configuration.
    pub fleet: Fleet,
    /// Keys of the parts that it refers to.
    parts: HashSet<String>,
}

impl StoredConfig {
    /// Whether this configuration refers to a part with this key.
    pub fn has_part(&self, key: &str) -> bool {
        self.parts.contains(key)
    }
}

impl Client {
    /// Reads the configuration.
    pub async fn load_config(&self) -> Result<StoredConfig, ConfigError> {
        let Some(head) = self.get(document::HEAD).await? else {
            return Ok(StoredConfig::default());
        };
        self.load_parts(head).await
    }

    /// Reads the parts that a head refers to and decodes the configuration.
    pub async fn load_parts(&self, head: Record) -> Result<StoredConfig, ConfigError> {
        let mut parts = HashMap::new();
        if !document::referenced_keys(&head.value, |_| None)?.is_empty() {
            let listing = self.list(document::PARTS).await?;
            parts.extend(listing.records.into_iter().map(|r| (r.key, r.value)));
        }
        let part = |key: &str| parts.get(key).map(Vec::as_slice);
        let fleet = document::decode(&head.value, part)?;
        let parts = document::referenced_keys(&head.value, part)?;
        Ok(StoredConfig {
            revision: head.revision,
            fleet,
            parts: parts.into_iter().collect(),
        })
    }

    /// Replaces `base` by `fleet`; conflicts when `base` is no longer in force.
    ///
    /// Parts are written first. Their keys derive from their content, and nobody reads them
    /// before the head refers to them, so a writer that fails in between leaves the old
    /// configuration in force. Only parts that `base` refers to are skipped. A part left by
    /// an earlier configuration is written again: proxies have dropped it, and they detect
    /// changes by revision.
    pub async fn save_config(
        &self,
        base: &StoredConfig,
        fleet: &Fleet,
        nonce: &str,
    ) -> Result<Outcome, ConfigError> {
        let encoded = document::encode(fleet, nonce)?;
        let parts = encoded.parts.into_iter();
        let new = parts.filter(|part| !base.has_part(&part.key));
        self.put_all(new.map(|part| (part.key, part.value))).await?;
        let outcome = self.swap(document::HEAD, base.revision, encoded.head);
        Ok(outcome.await?)
    }
}
