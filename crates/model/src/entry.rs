//! What instances announce of themselves.

use std::net::SocketAddr;

use crate::id::{DataCentre, GroupId, InstanceId};

/// An instance's announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Who announces.
    pub id: InstanceId,
    /// The group that it belongs to.
    pub group: GroupId,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Statements that it works on at once.
    pub slots: u32,
    /// Whether it is being taken out of service.
    pub leaving: bool,
    /// Whether it takes itself for the primary, which may be out of date.
    pub claims_primary: bool,
    /// Start of the process, in Unix milliseconds by its own clock; a restarted instance
    /// keeps its id and has another one, and knows nothing of before.
    pub started_at: u64,
}
