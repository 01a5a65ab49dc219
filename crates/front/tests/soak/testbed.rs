//! Test bed of a soak run: the simulated platform, proxies as processes, and the wires between
//! them.

use std::path::PathBuf;
use std::time::Duration;

use standin::managed::Managed;
use standin::managed::wire::Wire;
use tempfile::TempDir;

use crate::config;
use crate::env::process::Proxy;

/// Instances of the group.
pub(crate) const INSTANCES: usize = 3;

/// The grace period of the proxies; short, so that many stops fit into a run.
pub(crate) const GRACE: Duration = Duration::from_secs(2);

/// A proxy with its incoming and outgoing wires.
pub(crate) struct Node {
    pub(crate) proxy: Proxy,
    /// Callers connect to the proxy through it.
    pub(crate) callers: Wire,
    /// The proxy connects to the store and sends orders through it.
    pub(crate) store: Wire,
}

/// Everything that a soak run needs.
pub(crate) struct Testbed {
    pub(crate) managed: Managed,
    pub(crate) nodes: Vec<Node>,
    /// All proxies connect to the instances through these, one for each.
    pub(crate) instances: Vec<Wire>,
    folder: TempDir,
}

impl Testbed {
    pub(crate) fn new(proxies: usize) -> Self {
        let managed = Managed::start(INSTANCES).unwrap();
        managed.configure(&config::configuration(1));
        let wires = (0..INSTANCES).map(|instance| {
            let wire = Wire::to(managed.instance_address(instance)).unwrap();
            managed.announce_at(instance, wire.address());
            wire
        });
        let instances = wires.collect();
        let folder = tempfile::tempdir().unwrap();
        let nodes = (0..proxies).map(|n| {
            let store = Wire::to(managed.address()).unwrap();
            let name = format!("p{n}");
            let proxy = Proxy::start_with(&managed, folder.path(), &name, |settings| {
                let address = store.address().to_string();
                settings["store"] = address.clone().into();
                settings["orders"] = address.into();
                settings["grace_s"] = GRACE.as_secs().into();
            });
            let callers = Wire::to(proxy.listen).unwrap();
            Node {
                proxy,
                callers,
                store,
            }
        });
        let nodes = nodes.collect();
        Self {
            managed,
            nodes,
            instances,
            folder,
        }
    }

    /// Keeps the logs and returns their folder.
    pub(crate) fn keep_logs(self) -> PathBuf {
        self.folder.keep()
    }
}
