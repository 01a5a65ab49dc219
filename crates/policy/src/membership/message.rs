//! Membership messages between proxies, and the actions of the controller.

use std::net::SocketAddr;

use indexmap::IndexMap;
use model::id::{DataCentre, ProxyId};
use model::position::Revision;

use crate::membership::table::MemberInfo;

/// A heartbeat; the response has the same form.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: MemberInfo,
    /// Updates about other proxies.
    #[serde(rename = "news", default)]
    pub updates: Vec<MemberInfo>,
    /// Revision up to which the sender has all records of the store.
    #[serde(default)]
    pub complete: Revision,
    /// Highest round that the sender knows of each data centre; sent to other gateways and to
    /// other data centres only.
    #[serde(rename = "turns", default, skip_serializing_if = "IndexMap::is_empty")]
    pub rounds: IndexMap<DataCentre, u64>,
}

/// Request to compare tables: hashes of the sender's entries, by data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The hashes.
    pub digests: IndexMap<DataCentre, u64>,
}

/// Response to [`Compare`]: the entries of each data centre whose hash differs.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Tables {
    /// All known proxies of those data centres.
    #[serde(rename = "news")]
    pub members: Vec<MemberInfo>,
}

/// How an exchange with a peer failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The peer's VM refused the connection: no process listens there.
    Refused,
    /// No response.
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

/// What the controller orders its task to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat and report the response.
    Heartbeat(Peer, Heartbeat),
    /// Compare tables and report the response.
    Compare(Peer, Compare),
    /// Fetch the records after a revision from a peer.
    Fetch(Peer, Revision),
    /// Start or stop watching the store for the data centre.
    Watch(bool),
    /// The known proxies or their states changed.
    Changed,
}
