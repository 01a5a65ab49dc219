//! The stored form of the fleet configuration.
//!
//! A small fleet is stored as one value, a larger one as a content-addressed tree: leaves
//! hold a few groups or callers each, index parts list leaves, and the head lists index
//! parts. Parts are immutable and written first. Then the head is replaced by
//! compare-and-swap, so that a reader sees either the old or the new configuration as a
//! whole. A change of one group writes three small values.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use indexmap::IndexMap;
use sha2::Digest as _;

use crate::config::{Caller, Fleet, Group};
use crate::id::{CallerId, GroupId};

/// Prefix of all keys of the fleet in the store.
pub const PREFIX: &str = "pomeloscale/";

/// Key of the configuration's head.
pub const HEAD: &str = "pomeloscale/config";

/// Prefix of the parts' keys.
pub const PARTS: &str = "pomeloscale/parts/";

/// Maximum size of a configuration that is stored as one value. The store accepts a
/// megabyte; well below that, a change is cheaper to distribute as parts.
pub const SINGLE_VALUE_LIMIT: usize = 64 << 10;

/// Average number of entries in a leaf. With fewer entries the index is longer, with more
/// entries each change costs more. For 33,000 groups, 8 gives 4,096 leaves of about 2 KB.
const LEAF_ENTRIES: usize = 8;

/// Leaves that one index part lists: the square root of the number of leaves at that size.
const INDEX_ENTRIES: usize = 64;

/// Bytes of a part's hash that form its name; a collision of 128 bits does not occur.
const HASH_LEN: usize = 16;

/// Error from decoding a stored configuration.
#[derive(Debug, thiserror::Error)]
pub enum DocumentError {
    /// A value is not JSON of the expected format.
    #[error("the stored configuration cannot be read: {0}")]
    Form(#[from] serde_json::Error),
    /// A part that the head refers to is missing.
    #[error("part {0} of the configuration is missing")]
    MissingPart(String),
}

/// A value to store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
}

/// A configuration in its stored form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Encoded {
    /// Parts to write before the head, empty for a small fleet.
    pub parts: Vec<Part>,
    /// Value of [`HEAD`].
    pub head: Vec<u8>,
}

#[derive(serde::Serialize, serde::Deserialize)]
struct Head {
    /// Unique for each write, so that a writer can recognise its own value.
    nonce: String,
    fleet: Fleet,
    /// Names of the index parts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    index: Vec<String>,
}

#[derive(Default, serde::Serialize, serde::Deserialize)]
#[serde(default)]
struct Leaf {
    groups: IndexMap<GroupId, Group>,
    callers: IndexMap<CallerId, Caller>,
}

/// Encodes a configuration for the store; `nonce` must never have been used before.
pub fn encode(fleet: &Fleet, nonce: &str) -> Result<Encoded, DocumentError> {
    let single = encode_head(fleet.clone(), nonce, Vec::new())?;
    if single.len() <= SINGLE_VALUE_LIMIT {
        let parts = Vec::new();
        return Ok(Encoded {
            parts,
            head: single,
        });
    }
    let mut rest = fleet.clone();
    let leaves = split(&mut rest);
    let mut parts = Vec::new();
    let mut names = Vec::with_capacity(leaves.len());
    for leaf in &leaves {
        names.push(add_part(&mut parts, serde_json::to_vec(leaf)?));
    }
    let mut index = Vec::new();
    for names in names.chunks(INDEX_ENTRIES) {
        index.push(add_part(&mut parts, serde_json::to_vec(names)?));
    }
    let head = encode_head(rest, nonce, index)?;
    Ok(Encoded { parts, head })
}

fn encode_head(fleet: Fleet, nonce: &str, index: Vec<String>) -> Result<Vec<u8>, DocumentError> {
    let nonce = nonce.to_owned();
    let head = Head {
        nonce,
        fleet,
        index,
    };
    Ok(serde_json::to_vec(&head)?)
}

/// Moves groups and callers into leaves selected by the hash of their names, so that a
/// change of one entry changes one leaf.
fn split(fleet: &mut Fleet) -> Vec<Leaf> {
    let entries = fleet.groups.len() + fleet.callers.len();
    // A power of two, so that a growing fleet is rarely redistributed.
    let n = (entries / LEAF_ENTRIES + 1).next_power_of_two() / 2;
    let n = n.max(1);
    let mut leaves: Vec<Leaf> = Vec::new();
    leaves.resize_with(n, Leaf::default);
    for (id, group) in std::mem::take(&mut fleet.groups) {
        leaves[bucket(id.as_str(), n)].groups.insert(id, group);
    }
    for (id, caller) in std::mem::take(&mut fleet.callers) {
        leaves[bucket(id.as_str(), n)].callers.insert(id, caller);
    }
    leaves
}

fn bucket(name: &str, n: usize) -> usize {
    let hash = sha2::Sha256::digest(name.as_bytes());
    let start = u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]);
    start as usize % n
}

fn add_part(parts: &mut Vec<Part>, value: Vec<u8>) -> String {
    let hash = sha2::Sha256::digest(&value);
    let name = URL_SAFE_NO_PAD.encode(&hash[..HASH_LEN]);
    let key = format!("{PARTS}{name}");
    parts.push(Part { key, value });
    name
}

/// Keys of all parts that a head refers to, as far as the available parts show.
pub fn referenced_keys<'a>(
    head: &[u8],
    part: impl Fn(&str) -> Option<&'a [u8]>,
) -> Result<Vec<String>, DocumentError> {
    let Some(head) = decode_head(head)? else {
        return Ok(Vec::new());
    };
    let mut keys = Vec::new();
    for name in head.index {
        let key = format!("{PARTS}{name}");
        if let Some(value) = part(&key) {
            let names: Vec<String> = serde_json::from_slice(value)?;
            keys.extend(names.iter().map(|name| format!("{PARTS}{name}")));
        }
        keys.push(key);
    }
    Ok(keys)
}

/// Decodes a stored configuration; `part` returns a part's value by its key.
///
/// A head may also be a plain configuration, for example one written by an operator's script.
pub fn decode<'a>(
    head: &[u8],
    part: impl Fn(&str) -> Option<&'a [u8]>,
) -> Result<Fleet, DocumentError> {
    Decoder::default().decode(head, part)
}

/// Decodes successive configurations; of each, it decodes only the leaves that the previous
/// one did not contain.
///
/// A fleet with 33,000 groups changes 37,000 times a day. Decoding all of it each time would
/// cost every proxy a fourteenth of a core.
#[derive(Clone, Debug, Default)]
pub struct Decoder {
    /// Leaves of the last configuration by name, with the entries of each.
    leaves: IndexMap<String, LeafEntries>,
    groups: IndexMap<GroupId, Group>,
    callers: IndexMap<CallerId, Caller>,
}

/// Entries of a leaf.
#[derive(Clone, Debug)]
struct LeafEntries {
    groups: Vec<GroupId>,
    callers: Vec<CallerId>,
}

impl Decoder {
    /// Decodes a stored configuration; an error does not affect the decoding of the next one.
    pub fn decode<'a>(
        &mut self,
        head: &[u8],
        part: impl Fn(&str) -> Option<&'a [u8]>,
    ) -> Result<Fleet, DocumentError> {
        let Some(head) = decode_head(head)? else {
            return Ok(serde_json::from_slice(head)?);
        };
        let get_part = |name: &String| {
            let key = format!("{PARTS}{name}");
            part(&key).ok_or_else(|| DocumentError::MissingPart(name.clone()))
        };
        let mut names = indexmap::IndexSet::new();
        for name in &head.index {
            let listed: Vec<String> = serde_json::from_slice(get_part(name)?)?;
            names.extend(listed);
        }
        let mut new = Vec::new();
        for name in names.iter().filter(|name| !self.leaves.contains_key(*name)) {
            let leaf: Leaf = serde_json::from_slice(get_part(name)?)?;
            new.push((name.clone(), leaf));
        }
        self.replace(&names, new);
        let mut fleet = head.fleet;
        fleet.groups.extend(self.groups.clone());
        fleet.callers.extend(self.callers.clone());
        Ok(fleet)
    }

    /// Removes the old leaves before it adds the new ones, since a changed entry is in both.
    fn replace(&mut self, names: &indexmap::IndexSet<String>, new: Vec<(String, Leaf)>) {
        let (groups, callers) = (&mut self.groups, &mut self.callers);
        self.leaves.retain(|name, entries| {
            let keep = names.contains(name);
            if !keep {
                for id in &entries.groups {
                    groups.swap_remove(id);
                }
                for id in &entries.callers {
                    callers.swap_remove(id);
                }
            }
            keep
        });
        for (name, leaf) in new {
            let entries = LeafEntries {
                groups: leaf.groups.keys().cloned().collect(),
                callers: leaf.callers.keys().cloned().collect(),
            };
            self.leaves.insert(name, entries);
            self.groups.extend(leaf.groups);
            self.callers.extend(leaf.callers);
        }
    }
}

fn decode_head(head: &[u8]) -> Result<Option<Head>, DocumentError> {
    let value: serde_json::Value = serde_json::from_slice(head)?;
    if value.get("nonce").is_none() {
        return Ok(None);
    }
    Ok(Some(serde_json::from_value(value)?))
}
