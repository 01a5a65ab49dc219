//! The status page of a proxy, read by operators and by `pomelo-ctl`.

use std::net::SocketAddr;

use model::id::{DataCentre, GroupId, InstanceId, ProxyId};
use model::position::{Revision, Term};

/// Path of the page.
pub const PATH: &str = "/status";

/// Path prefix of a group's recent decisions.
pub const EXPLAIN: &str = "/explain/";

/// What one proxy knows about itself and the fleet.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// This proxy.
    pub proxy: ProxyId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it is being stopped.
    #[serde(default)]
    pub draining: bool,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Whether it holds a watch on the store for its data centre.
    #[serde(default)]
    pub watching: bool,
    /// Every known proxy, itself included.
    #[serde(default)]
    pub members: Vec<Member>,
    /// The groups it serves.
    #[serde(default)]
    pub groups: Vec<Group>,
}

/// One proxy as another sees it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// The proxy.
    pub proxy: ProxyId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its address for peers and operators.
    pub address: SocketAddr,
    /// `live`, `suspected` or `gone`.
    pub state: String,
    /// Revision of the configuration that it last reported as in force.
    pub revision: Revision,
}

/// One group as a proxy sees it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Group {
    /// The group.
    pub group: GroupId,
    /// Its term.
    pub term: Term,
    /// Its primary, if one is known.
    pub primary: Option<InstanceId>,
}
