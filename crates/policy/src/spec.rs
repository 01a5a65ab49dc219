//! A database group as its controllers see it: instances with places, and settings.

use std::net::SocketAddr;

use indexmap::IndexMap;
use model::config::Fleet;
use model::id::{GroupId, InstanceId, ProxyId};
use model::location::Location;
use model::settings::Settings;

/// One instance of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Address that callers' statements and status questions go to.
    pub address: SocketAddr,
    /// Where it runs.
    pub location: Location,
    /// Whether it is being taken out of service.
    pub leaving: bool,
}

/// The declared group.
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
    /// Takes the group out of a configuration; `None` if it is not declared there.
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

    /// Instances that make a majority.
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
