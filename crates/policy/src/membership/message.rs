//! What proxies tell each other about membership, and the events and actions of the
//! controller.

use std::net::SocketAddr;

use indexmap::IndexMap;
use model::id::{DataCentre, ProxyId};
use model::position::Revision;

use crate::membership::table::MemberInfo;

/// A heartbeat, and likewise its answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: MemberInfo,
    /// News of others.
    #[serde(rename = "news", default)]
    pub updates: Vec<MemberInfo>,
    /// Revision up to which the sender knows every record of the store.
    #[serde(default)]
    pub complete: Revision,
    /// Between keepers of links: the turns that the sender heard of, by data centre.
    #[serde(rename = "turns", default, skip_serializing_if = "IndexMap::is_empty")]
    pub rounds: IndexMap<DataCentre, u64>,
}

/// A comparison of tables: hashes of what the sender knows, by data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The hashes.
    pub digests: IndexMap<DataCentre, u64>,
}

/// The answer to [`Compare`]: the table of each data centre whose hash differs.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Tables {
    /// Every proxy of those data centres.
    #[serde(rename = "news")]
    pub members: Vec<MemberInfo>,
}

/// How an exchange with a peer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The peer's VM refused: no process listens there.
    Refused,
    /// No answer.
    Unresponsive,
}

/// A proxy to send to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its id; unknown for a seed.
    pub id: Option<ProxyId>,
    /// Its address.
    pub address: SocketAddr,
}

/// What the controller wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat and report its answer.
    Heartbeat(Peer, Heartbeat),
    /// Compare tables and report the answer.
    Compare(Peer, Compare),
    /// Ask a peer for records after a revision.
    Fetch(Peer, Revision),
    /// Begin or end watching the store for the data centre.
    Watch(bool),
    /// The running proxies changed.
    Changed,
}
