//! What a soak runs on: the stand-in, proxies as processes, and the wires between them.

use std::path::PathBuf;

use standin::managed::Managed;
use standin::managed::wire::Wire;
use tempfile::TempDir;

use crate::config;
use crate::env::process::Proxy;

/// Instances of the group.
pub(crate) const INSTANCES: usize = 3;

/// A proxy with the wires that lead to it and away from it.
pub(crate) struct Member {
    pub(crate) proxy: Proxy,
    /// Its callers connect here.
    pub(crate) callers: Wire,
    /// It connects to the store and gives orders here.
    pub(crate) store: Wire,
}

/// Everything that a soak runs on.
pub(crate) struct Bed {
    pub(crate) managed: Managed,
    pub(crate) members: Vec<Member>,
    /// All proxies connect to the instances here.
    pub(crate) instances: Vec<Wire>,
    folder: TempDir,
}

impl Bed {
    pub(crate) fn new(proxies: usize) -> Self {
        let managed = Managed::start(INSTANCES).unwrap();
        managed.configure(&config::configuration(1));
        let wires = (0..INSTANCES).map(|at| {
            let wire = Wire::to(managed.instance_address(at)).unwrap();
            managed.announce_at(at, wire.address());
            wire
        });
        let instances = wires.collect();
        let folder = tempfile::tempdir().unwrap();
        let members = (0..proxies).map(|n| {
            let store = Wire::to(managed.address()).unwrap();
            let name = format!("p{n}");
            let proxy = Proxy::start_with(&managed, folder.path(), &name, |settings| {
                let address = store.address().to_string();
                settings["store"] = address.clone().into();
                settings["orders"] = address.into();
            });
            let callers = Wire::to(proxy.listen).unwrap();
            Member {
                proxy,
                callers,
                store,
            }
        });
        let members = members.collect();
        Self {
            managed,
            members,
            instances,
            folder,
        }
    }

    /// Keeps the logs of a run that failed.
    pub(crate) fn keep_logs(self) -> PathBuf {
        self.folder.keep()
    }
}
