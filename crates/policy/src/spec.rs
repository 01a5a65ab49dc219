//! A database group from the view of its controllers: instances with locations, settings.

use std::net::SocketAddr;

use indexmap::IndexMap;
use model::config::Fleet;
use model::id::{GroupId, InstanceId, ProxyId};
use model::location::Location;
use model::settings::Settings;

/// One instance of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Address for callers' statements and status queries.
    pub address: SocketAddr,
    /// Where it runs.
    pub location: Location,
    /// Whether it is being decommissioned.
    pub leaving: bool,
}

/// A group as declared in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Name of the group.
    pub group: GroupId,
    /// Its instances; the first is the primary of term 1.
    pub members: IndexMap<InstanceId, Member>,
    /// Settings in force for the group.
    pub settings: Settings,
}

impl Spec {
    /// Reads the group from a configuration; `None` if the group, or a data centre of its
    /// instances, is not declared there.
    pub fn new(fleet: &Fleet, group: &GroupId) -> Option<Self> {
        let declared = fleet.groups.get(group)?;
        let mut members = IndexMap::new();
        for (id, instance) in &declared.instances {
            let member = Member {
                address: instance.address,
                location: fleet.location(&instance.data_centre)?,
                leaving: instance.leaving,
            };
            members.insert(id.clone(), member);
        }
        Some(Self {
            group: group.clone(),
            members,
            settings: fleet.settings(group),
        })
    }

    /// Number of instances in a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// The proxy that runs a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalProxy {
    /// Its id.
    pub id: ProxyId,
    /// Where it runs.
    pub location: Location,
}
