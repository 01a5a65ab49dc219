//! JSON messages of etcd v3's gateway: 64-bit numbers as text, keys and values in base64.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Blob(pub(crate) Vec<u8>);

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(serde::de::Error::custom)?;
        Ok(Self(bytes))
    }
}

/// A 64-bit number; written as text, read as text or number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Int(pub(crate) u64);

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Number(u64),
            Text(String),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(n) => Ok(Self(n)),
            Form::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct RangeRequest {
    pub(crate) key: Blob,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) range_end: Option<Blob>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    pub(crate) revision: Int,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct KeyValue {
    pub(crate) key: Blob,
    pub(crate) value: Blob,
    pub(crate) mod_revision: Int,
    pub(crate) create_revision: Int,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    pub(crate) kvs: Vec<KeyValue>,
}

#[derive(Clone, Debug, Serialize)]
pub(crate) struct PutRequest {
    pub(crate) key: Blob,
    pub(crate) value: Blob,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) lease: Option<Int>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct PutResponse {
    pub(crate) header: Header,
}

#[derive(Clone, Debug, Serialize)]
pub(crate) struct Compare {
    pub(crate) key: Blob,
    pub(crate) target: &'static str,
    pub(crate) result: &'static str,
    pub(crate) mod_revision: Int,
}

impl Compare {
    /// True while the key's last change has this revision; 0 denotes an absent key.
    pub(crate) fn unchanged(key: &str, revision: u64) -> Self {
        Self {
            key: Blob(key.into()),
            target: "MOD",
            result: "EQUAL",
            mod_revision: Int(revision),
        }
    }
}

#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Operation {
    RequestPut(PutRequest),
    RequestRange(RangeRequest),
}

#[derive(Clone, Debug, Serialize)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<Operation>,
    pub(crate) failure: Vec<Operation>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
    pub(crate) responses: Vec<OperationResponse>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct OperationResponse {
    pub(crate) response_range: Option<RangeResponse>,
}

#[derive(Clone, Debug, Serialize)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreate,
}

#[derive(Clone, Debug, Serialize)]
pub(crate) struct WatchCreate {
    pub(crate) key: Blob,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) range_end: Option<Blob>,
    pub(crate) start_revision: Int,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchMessage {
    pub(crate) result: WatchResult,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResult {
    pub(crate) header: Header,
    pub(crate) canceled: bool,
    pub(crate) events: Vec<WatchEvent>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchEvent {
    #[serde(rename = "type")]
    pub(crate) kind: Option<String>,
    pub(crate) kv: KeyValue,
}

#[derive(Clone, Debug, Serialize)]
pub(crate) struct LeaseGrantRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl: Int,
}

#[derive(Clone, Debug, Serialize)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(crate) id: Int,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub(crate) id: Int,
    #[serde(rename = "TTL")]
    pub(crate) ttl: Int,
}

/// The keep-alive endpoint is a stream, so its messages are wrapped in `result`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct KeepAliveMessage {
    pub(crate) result: LeaseResponse,
}

/// The first key after all keys with the given prefix.
pub(crate) fn prefix_end(prefix: &str) -> Blob {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Blob(end);
        }
    }
    Blob(vec![0])
}
