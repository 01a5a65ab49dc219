//! Entries in the store by which instances announce themselves.

use std::net::SocketAddr;

use crate::id::{DataCentre, GroupId, InstanceId};

/// Entry of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its id.
    pub id: InstanceId,
    /// Group that it belongs to.
    pub group: GroupId,
    /// Address at which it accepts connections.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Statements that it runs concurrently.
    pub slots: u32,
    /// Whether it is being decommissioned.
    pub leaving: bool,
    /// Whether it claims to be the primary; the claim may be out of date.
    pub claims_primary: bool,
    /// Start of the process, in Unix milliseconds by its own clock. A restarted instance
    /// keeps its id, has another start time, and knows nothing of earlier connections and
    /// commands.
    pub started_at: u64,
}
