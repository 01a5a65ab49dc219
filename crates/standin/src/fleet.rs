//! Starts the stand-ins on a thread of their own.

use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::thread;

use indexmap::IndexMap;
use model::config;
use model::id::{DataCentre, GroupId, InstanceId};

use crate::control::{Command, Control};
use crate::group::{self, Listener, Peers, Role, Server};
use crate::link::Net;
use crate::platform::{self, Service};
use crate::spec::Spec;

/// Why the stand-ins did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A socket or the runtime could not be opened.
    #[error("cannot open sockets for the stand-ins")]
    Io(#[from] io::Error),
    /// The thread ended before it was ready.
    #[error("the stand-ins' thread ended early")]
    Thread,
}

/// One instance as started.
#[derive(Clone, Debug)]
pub struct Placed {
    /// Its group.
    pub group: GroupId,
    /// Its address.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentre,
}

/// Where everything listens.
#[derive(Clone, Debug, Default)]
pub struct Addresses {
    /// Instances, the first of each group being its first primary.
    pub instances: IndexMap<InstanceId, Placed>,
    /// The platform's services, as seen from each data centre.
    pub platform: IndexMap<DataCentre, SocketAddr>,
}

/// Proxies that a configuration of stand-ins allows for, unless it is changed.
const PROXIES: u32 = 3;

/// Everything on the fleet's thread.
pub(crate) struct World {
    pub(crate) spec: Spec,
    pub(crate) net: Net,
    pub(crate) servers: IndexMap<InstanceId, Rc<Server>>,
    pub(crate) listeners: RefCell<IndexMap<InstanceId, Listener>>,
    pub(crate) platform: Rc<Service>,
}

/// Running stand-ins; dropping them stops them.
pub struct Fleet {
    spec: Spec,
    addresses: Addresses,
    control: Control,
    thread: Option<thread::JoinHandle<()>>,
}

impl Fleet {
    /// Starts the stand-ins.
    pub fn start(spec: Spec) -> Result<Self, StartError> {
        let (tx, rx) = flume::unbounded::<Command>();
        let (ready_tx, ready) = flume::bounded(1);
        let theirs = spec.clone();
        let thread = thread::Builder::new()
            .name("standin".to_owned())
            .spawn(move || run(theirs, &ready_tx, &rx))?;
        let addresses = ready.recv().map_err(|_| StartError::Thread)??;
        Ok(Self {
            spec,
            addresses,
            control: Control::new(tx),
            thread: Some(thread),
        })
    }

    /// Where everything listens.
    pub fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// The handle for faults and observations.
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// URL of the key-value service as seen from a data centre.
    pub fn store_url(&self, data_centre: &DataCentre) -> Option<String> {
        let address = self.addresses.platform.get(data_centre)?;
        Some(format!("http://{address}"))
    }

    /// URL of the VM list as seen from a data centre.
    pub fn vm_list_url(&self, data_centre: &DataCentre) -> Option<String> {
        self.store_url(data_centre).map(|url| url + "/vms")
    }

    /// A configuration that describes these stand-ins: a caller `app` without
    /// a password reaches every group.
    pub fn document(&self) -> config::Fleet {
        let mut fleet = config::Fleet::default();
        for centre in &self.spec.data_centres {
            fleet
                .data_centres
                .insert(centre.name.clone(), centre.region.clone());
        }
        for (id, placed) in &self.addresses.instances {
            let group = fleet
                .groups
                .entry(placed.group.clone())
                .or_insert_with(|| config::Group {
                    instances: IndexMap::new(),
                    database: "pomelo".to_owned(),
                    user: "pomelo".to_owned(),
                    password: None,
                });
            let instance = config::Instance {
                address: placed.address,
                data_centre: placed.data_centre.clone(),
                leaving: false,
            };
            group.instances.insert(id.clone(), instance);
        }
        for (class, weight) in [("payment", 8), ("lookup", 4), ("listing", 1)] {
            let class = class.parse().expect("a plain identifier");
            fleet.classes.insert(class, config::ClassSpec { weight });
        }
        let caller = config::Caller {
            verifier: None,
            groups: self.spec.groups.clone(),
            weight: 1,
            class: None,
        };
        fleet
            .callers
            .insert("app".parse().expect("a plain identifier"), caller);
        fleet.defaults.slots = u32::try_from(self.spec.slots).unwrap_or(u32::MAX);
        fleet.defaults.proxies = PROXIES;
        fleet.defaults.connections = u32::try_from(self.spec.connections).unwrap_or(u32::MAX);
        fleet
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.control.stop();
        if let Some(thread) = self.thread.take() {
            // A panic there has already been printed.
            let _ = thread.join();
        }
    }
}

type Ready = flume::Sender<Result<Addresses, StartError>>;

fn run(spec: Spec, ready: &Ready, rx: &flume::Receiver<Command>) {
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            let _ = ready.send(Err(e.into()));
            return;
        }
    };
    runtime.block_on(async {
        match start(spec) {
            Ok((world, addresses)) => {
                let _ = ready.send(Ok(addresses));
                while let Ok(command) = rx.recv_async().await {
                    if command(&world).is_break() {
                        break;
                    }
                }
            }
            Err(e) => {
                let _ = ready.send(Err(e.into()));
            }
        }
    });
}

fn start(spec: Spec) -> io::Result<(World, Addresses)> {
    let net = Net::new(&spec);
    let mut addresses = Addresses::default();
    let names = spec.data_centres.iter().map(|d| d.name.clone()).collect();
    let platform = Service::new(net.clone(), names);
    start_platform(&spec, &platform, &mut addresses)?;
    let mut world = World {
        net,
        servers: IndexMap::new(),
        listeners: RefCell::default(),
        platform,
        spec,
    };
    let peers = Peers::default();
    for at in 0..world.spec.groups.len() {
        start_group(&mut world, at, &peers, &mut addresses)?;
    }
    Ok((world, addresses))
}

/// Any port on the data centre's address.
pub(crate) fn any_port(site: usize) -> SocketAddr {
    let k = u8::try_from(site + 1).unwrap_or(u8::MAX);
    SocketAddrV4::new(Ipv4Addr::new(127, 0, k, 1), 0).into()
}

fn start_platform(
    spec: &Spec,
    platform: &Rc<Service>,
    addresses: &mut Addresses,
) -> io::Result<()> {
    let (tx, rx) = flume::unbounded();
    compio::runtime::spawn(Rc::clone(platform).run(rx)).detach();
    compio::runtime::spawn(Rc::clone(platform).expire_forever()).detach();
    for (site, centre) in spec.data_centres.iter().enumerate() {
        let socket = group::bind(any_port(site))?;
        addresses
            .platform
            .insert(centre.name.clone(), socket.local_addr()?);
        let listener = compio::net::TcpListener::from_std(socket)?;
        let serve = platform::serve(listener, site, tx.clone());
        compio::runtime::spawn(async move {
            if let Err(e) = serve.await {
                tracing::error!(error = %e, "platform listener ended");
            }
        })
        .detach();
    }
    Ok(())
}

/// Sites of a group's instances: the primary starts in the first region, in
/// turn over its data centres; the others follow in order.
fn sites(spec: &Spec, group: usize) -> Vec<usize> {
    let region = spec.data_centres.first().map(|d| &d.region);
    let near = spec
        .data_centres
        .iter()
        .filter(|d| Some(&d.region) == region)
        .count();
    let first = group % near.max(1);
    let rest = (0..spec.data_centres.len()).filter(|site| *site != first);
    let order: Vec<usize> = std::iter::once(first).chain(rest).collect();
    order.into_iter().cycle().take(spec.instances).collect()
}

fn start_group(
    world: &mut World,
    at: usize,
    peers: &Peers,
    addresses: &mut Addresses,
) -> io::Result<()> {
    let group = world.spec.groups[at].clone();
    let mut primary = None;
    for (number, site) in sites(&world.spec, at).into_iter().enumerate() {
        let socket = group::bind(any_port(site))?;
        let address = socket.local_addr()?;
        let id: InstanceId = format!("{group}-{}", number + 1)
            .parse()
            .map_err(io::Error::other)?;
        let role = primary.map_or(Role::Primary, Role::Replica);
        primary.get_or_insert(address);
        let server = Server::new(
            (id.clone(), address, site),
            role,
            group::Knobs::new(&world.spec),
            world.spec.slots,
            world.net.clone(),
            Rc::clone(peers),
        );
        peers.borrow_mut().insert(address, Rc::clone(&server));
        compio::runtime::spawn(Rc::clone(&server).pull_forever()).detach();
        let listener = Listener::start(Rc::clone(&server), socket)?;
        world.listeners.borrow_mut().insert(id.clone(), listener);
        let placed = Placed {
            group: group.clone(),
            address,
            data_centre: world.spec.data_centres[site].name.clone(),
        };
        addresses.instances.insert(id.clone(), placed);
        world.servers.insert(id, server);
    }
    Ok(())
}
