//! What the tasks of one runtime share: handles to other tasks, and nothing that is
//! decided upon.

use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;

use compio::tls::TlsAcceptor;
use indexmap::IndexMap;
use model::config::{Fleet, Group};
use model::id::{GroupId, InstanceId, ProxyId};
use model::location::Location;
use model::settings::Settings;
use model::token;
use model::unit::Span;
use pg::classify;
use pg::startup::Key;
use policy::admission::Limits;
use policy::message::{Peer, PeerReport, Recipients, Versioned};
use policy::retry;
use policy::route::Target;
use policy::slots::Share;

use crate::abort::Abort;
use crate::backend::{Login, Via};
use crate::config::Config;
use crate::metrics::Metrics;
use crate::trace::Tracer;
use crate::{admit, fleet, group, pool, registry, relay, share};

/// Part of a backend server's connections that one proxy may hold until it is told
/// its share: six proxies fit the limit of the server.
const FIRST_SHARE: u32 = 6;

/// Handles that every task of a runtime needs.
pub struct Cx {
    /// Settings of the process.
    pub cfg: Config,
    /// Name of the process.
    pub me: ProxyId,
    /// Signs session tokens.
    pub key: token::Key,
    /// The configuration in force.
    pub fleet: fleet::Handle,
    /// Admission to the backend servers.
    pub admit: admit::Handle,
    /// Shares of the backend servers' connections.
    pub share: share::Handle,
    /// Ways to backend servers through peers.
    pub relay: relay::Handle,
    /// Accepts TLS towards callers.
    pub tls: Option<TlsAcceptor>,
    pub(crate) registry: registry::Handle,
    /// Ends requests that are in progress when the process has to exit.
    pub(crate) abort: Abort,
    pub(crate) statements: RefCell<classify::Cache>,
    /// The platform's store.
    pub store: store::client::Client,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Starts the spans of requests.
    pub tracer: Tracer,
    /// Held once by each caller connection: its count bounds them.
    pub(crate) callers: Rc<()>,
    tell: flume::Sender<(Recipients, PeerReport)>,
    live: RefCell<Vec<Peer>>,
    groups: RefCell<IndexMap<GroupId, Rc<GroupCx>>>,
}

/// What a runtime's tasks are given when it starts.
pub(crate) struct Services {
    pub(crate) fleet: fleet::Handle,
    pub(crate) admit: admit::Handle,
    pub(crate) share: share::Handle,
    pub(crate) relay: relay::Handle,
    pub(crate) tls: Option<TlsAcceptor>,
    pub(crate) store: store::client::Client,
    pub(crate) tell: flume::Sender<(Recipients, PeerReport)>,
    pub(crate) metrics: Metrics,
    pub(crate) tracer: Tracer,
}

/// Handles to one group.
pub struct GroupCx {
    /// Routes and confirmations.
    pub routes: group::Handle,
    local: IpAddr,
    login: Login,
    settings: Settings,
    share: share::Handle,
    relay: relay::Handle,
    /// Second attempts that the group's callers may cause.
    pub(crate) retries: RefCell<retry::Budget>,
    pools: RefCell<IndexMap<InstanceId, pool::Handle>>,
}

impl Cx {
    /// Collects the handles of a runtime.
    pub(crate) fn new(cfg: Config, me: ProxyId, services: Services) -> Self {
        Self {
            key: token::Key::new(cfg.secret.0.as_bytes()),
            cfg,
            me,
            fleet: services.fleet,
            admit: services.admit,
            share: services.share,
            relay: services.relay,
            tls: services.tls,
            registry: registry::spawn(),
            abort: Abort::default(),
            statements: RefCell::default(),
            callers: Rc::default(),
            store: services.store,
            metrics: services.metrics,
            tracer: services.tracer,
            tell: services.tell,
            live: RefCell::default(),
            groups: RefCell::default(),
        }
    }

    /// The handles of a group; its tasks start with its first caller, so that a
    /// process watches only the groups that it serves.
    pub fn group(&self, id: &GroupId) -> Option<Rc<GroupCx>> {
        if let Some(known) = self.groups.borrow().get(id) {
            return Some(known.clone());
        }
        let snapshot = self.fleet.current();
        let spec = snapshot.fleet.groups.get(id)?;
        let made = Rc::new(self.start_group(id, spec, &snapshot.fleet)?);
        self.groups.borrow_mut().insert(id.clone(), made.clone());
        Some(made)
    }

    fn start_group(&self, id: &GroupId, spec: &Group, fleet: &Arc<Fleet>) -> Option<GroupCx> {
        let location: Location = fleet.location(&self.cfg.data_centre)?;
        let routes = group::spawn(group::Setup {
            admit: self.admit.clone(),
            group: id.clone(),
            me: self.me.clone(),
            location,
            address: self.cfg.address,
            fleet: fleet.clone(),
            store: self.store.clone(),
            tell: self.tell.clone(),
            tracer: self.tracer.clone(),
            seed: rand::random(),
        });
        routes.peers(self.live.borrow().clone());
        let settings = fleet.settings(id);
        for instance in spec.instances.keys() {
            self.admit.set_limits(instance, first_limits(&settings));
        }
        Some(GroupCx {
            routes,
            local: self.cfg.address,
            login: Login {
                user: spec.user.clone(),
                database: spec.database.clone(),
                password: spec.password.clone(),
            },
            settings,
            share: self.share.clone(),
            relay: self.relay.clone(),
            retries: RefCell::default(),
            pools: RefCell::default(),
        })
    }

    /// Hands the list of live proxies to every group.
    pub fn peers(&self, live: Vec<Peer>) {
        for known in self.groups.borrow().values() {
            known.routes.peers(live.clone());
        }
        *self.live.borrow_mut() = live;
    }

    /// Hands a peer's view to its group, if this process serves it.
    pub fn peer_view(&self, view: PeerReport) {
        if let Some(known) = self.groups.borrow().get(&view.group) {
            known.routes.peer_view(view);
        }
    }

    /// Hands a leadership record to its group, if this process serves it.
    pub fn record(&self, group: &GroupId, versioned: Versioned) {
        if let Some(known) = self.groups.borrow().get(group) {
            known.routes.record(versioned);
        }
    }

    /// The routes of every group that this process serves.
    pub fn routes(&self) -> Vec<group::Handle> {
        let groups = self.groups.borrow();
        groups.values().map(|g| g.routes.clone()).collect()
    }

    /// Forgets the tasks of groups whose login changed and hands the rest the new
    /// configuration.
    pub fn configure(&self, fleet: &Arc<Fleet>) {
        self.groups.borrow_mut().retain(|id, known| {
            let Some(spec) = fleet.groups.get(id) else {
                self.metrics.forget(id.as_str());
                return false;
            };
            known.routes.configure(fleet.clone());
            known.login.is_of(spec) && known.settings == fleet.settings(id)
        });
    }
}

impl GroupCx {
    /// How to log in to the group's backend servers.
    pub(crate) fn login(&self) -> &Login {
        &self.login
    }

    /// The pool of the target's backend server.
    pub fn pool(&self, target: &Target) -> pool::Handle {
        let mut pools = self.pools.borrow_mut();
        match pools.get(&target.instance) {
            Some(pool) if is_way(pool, target) => pool.clone(),
            _ => {
                let pool = self.start_pool(target);
                pools.insert(target.instance.clone(), pool.clone());
                pool
            }
        }
    }

    fn via(&self, target: &Target, peer: &ProxyId) -> Via {
        Via {
            relay: self.relay.clone(),
            peer: peer.clone(),
            goal: relay::Goal {
                group: self.routes.group().clone(),
                instance: target.instance.clone(),
            },
        }
    }

    fn start_pool(&self, target: &Target) -> pool::Handle {
        let share = (self.settings.connections / FIRST_SHARE).max(2);
        let pool = pool::spawn(pool::Setup {
            instance: target.instance.clone(),
            address: target.address,
            via: target
                .via
                .as_ref()
                .map(|peer| Rc::new(self.via(target, peer))),
            local: self.local,
            login: self.login.clone(),
            limit: share,
        });
        self.share.pool(&target.instance, pool.clone());
        pool
    }
}

/// Whether the connections of a pool go where, and through whom, the target says.
fn is_way(pool: &pool::Handle, target: &Target) -> bool {
    pool.address() == target.address && pool.via() == target.via.as_ref()
}

/// Assumed before one was measured: between data centres of a region.
const FIRST_ROUND_TRIP: Span = Span::from_millis(1);

/// Limits for a backend server until this proxy is told its share.
pub(crate) fn first_limits(settings: &Settings) -> Limits {
    let held = (settings.connections / FIRST_SHARE).max(2);
    Limits {
        share: Share {
            slots: settings.slots,
            // Without word of another proxy, the slots are this one's.
            total_connections: held,
            connections: held,
            round_trip: FIRST_ROUND_TRIP,
        },
        queue: settings.queue,
    }
}

/// A random key under which a connection's request can be cancelled.
pub(crate) fn new_key() -> Key {
    Key {
        pid: rand::random::<i32>() & i32::MAX,
        secret: rand::random(),
    }
}
