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
    /// The store gave no usable answer.
    #[error(transparent)]
    Store(#[from] Error),
    /// What the store holds cannot be read.
    #[error(transparent)]
    Document(#[from] DocumentError),
}

/// The configuration that the store holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredConfig {
    /// Revision that put it in force; 0 when the store holds none.
    pub revision: Revision,
    /// The configuration.
    pub fleet: Fleet,
    /// Keys of its parts.
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

    /// Completes a head by the parts that it names.
    pub async fn load_parts(&self, head: Record) -> Result<StoredConfig, ConfigError> {
        let mut parts = HashMap::new();
        if !document::references(&head.value, |_| None)?.is_empty() {
            let listing = self.list(document::PARTS).await?;
            parts.extend(listing.records.into_iter().map(|r| (r.key, r.value)));
        }
        let part = |key: &str| parts.get(key).map(Vec::as_slice);
        let fleet = document::decode(&head.value, part)?;
        let parts = document::references(&head.value, part)?;
        Ok(StoredConfig {
            revision: head.revision,
            fleet,
            parts: parts.into_iter().collect(),
        })
    }

    /// Puts `fleet` in the place of `base`; conflicts when `base` is no longer in force.
    ///
    /// Parts go first: they are named by their content and nobody reads them until the
    /// head names them, so a writer that dies in between leaves the old configuration.
    /// Only parts that `base` refers to are skipped. One that an earlier configuration
    /// left behind is written again, since proxies have dropped it and learn of changes
    /// by their revision.
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
