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
use model::place::Place;
use model::settings::Settings;
use model::token;
use pg::classify;
use pg::startup::Key;
use policy::message::{Audience, Peer, PeerView};
use policy::route::Target;

use crate::backend::Login;
use crate::config::Config;
use crate::{admit, fleet, group, pool, registry, share};

/// Part of a backend server's connections that one proxy may hold until it is told
/// its share: six proxies fit the limit of the server.
const FIRST_SHARE: u32 = 6;

/// Views that wait to be sent to peers. They repeat several times a second while they
/// matter, so that one that finds no room is dropped.
const VIEWS: usize = 256;

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
    /// Accepts TLS towards callers.
    pub tls: Option<TlsAcceptor>,
    pub(crate) registry: registry::Handle,
    pub(crate) statements: RefCell<classify::Cache>,
    /// The platform's store.
    pub store: store::client::Client,
    /// Views of groups that peers are to be told.
    pub views: flume::Receiver<(Audience, PeerView)>,
    tell: flume::Sender<(Audience, PeerView)>,
    live: RefCell<Vec<Peer>>,
    groups: RefCell<IndexMap<GroupId, Rc<GroupCx>>>,
}

/// Handles to one group.
pub struct GroupCx {
    /// Routes and confirmations.
    pub routes: group::Handle,
    local: IpAddr,
    login: Login,
    settings: Settings,
    share: share::Handle,
    pools: RefCell<IndexMap<InstanceId, pool::Handle>>,
}

impl Cx {
    /// Collects the handles of a runtime.
    pub(crate) fn new(
        cfg: Config,
        me: ProxyId,
        fleet: fleet::Handle,
        admit: admit::Handle,
        share: share::Handle,
        tls: Option<TlsAcceptor>,
        store: store::client::Client,
    ) -> Self {
        let (tell, views) = flume::bounded(VIEWS);
        Self {
            key: token::Key::new(cfg.secret.0.as_bytes()),
            cfg,
            me,
            fleet,
            admit,
            share,
            tls,
            registry: registry::spawn(),
            statements: RefCell::default(),
            store,
            views,
            tell,
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

    fn start_group(&self, id: &GroupId, spec: &Group, fleet: &Fleet) -> Option<GroupCx> {
        let place: Place = fleet.place(&self.cfg.data_centre)?;
        let routes = group::spawn(group::Setup {
            group: id.clone(),
            me: self.me.clone(),
            place,
            address: self.cfg.address,
            fleet: Arc::new(fleet.clone()),
            store: self.store.clone(),
            tell: self.tell.clone(),
            seed: rand::random(),
        });
        routes.peers(self.live.borrow().clone());
        Some(GroupCx {
            routes,
            local: self.cfg.address,
            login: Login {
                user: spec.user.clone(),
                database: spec.database.clone(),
                password: spec.password.clone(),
            },
            settings: fleet.settings(id),
            share: self.share.clone(),
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
    pub fn peer_view(&self, view: PeerView) {
        if let Some(known) = self.groups.borrow().get(&view.group) {
            known.routes.peer_view(view);
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
            Some(pool) if pool.address() == target.address => pool.clone(),
            _ => {
                let pool = self.start_pool(target);
                pools.insert(target.instance.clone(), pool.clone());
                pool
            }
        }
    }

    fn start_pool(&self, target: &Target) -> pool::Handle {
        let share = (self.settings.connections / FIRST_SHARE).max(2);
        let pool = pool::spawn(pool::Setup {
            instance: target.instance.clone(),
            address: target.address,
            local: self.local,
            login: self.login.clone(),
            limit: share,
        });
        self.share.pool(&target.instance, pool.clone());
        pool
    }
}

/// A random key under which a connection's request can be cancelled.
pub(crate) fn new_key() -> Key {
    Key {
        pid: rand::random::<i32>() & i32::MAX,
        secret: rand::random(),
    }
}
