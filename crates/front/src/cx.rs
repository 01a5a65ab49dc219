//! What all tasks of the process share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use indexmap::IndexMap;
use model::id::GroupId;
use model::route::Routes;

use crate::changes::Changes;
use crate::concern;
use crate::feed::Feed;
use crate::group;
use crate::lend::Roads;
use crate::logs;
use crate::metrics::Metrics;
use crate::place::Ways;
use crate::relay;
use crate::stop::Stop;

/// Shared by the tasks of one process; the directory's task writes, the others read.
pub struct Cx {
    routes: RefCell<Arc<Routes>>,
    groups: RefCell<IndexMap<GroupId, group::Handle>>,
    /// The ways to groups past this proxy's own pools.
    pub conn_sources: Roads,
    /// Speaks to other proxies.
    pub relay: relay::Client,
    sessions: Cell<usize>,
    /// What this proxy knows of the store, for its neighbours.
    pub feed: Feed,
    /// What proxies find wrong with primaries.
    pub reports: concern::Board,
    /// Tells whether changes of primary are under way.
    pub changes: Changes,
    distances: Ways,
    /// Bounds the lines about served statements.
    pub served_lines: logs::Budget,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// How far the shutdown is.
    pub stop: Stop,
}

impl Cx {
    /// A context without configuration.
    pub fn new(distances: Ways, metrics: Metrics, stop: Stop) -> Self {
        Self {
            routes: RefCell::default(),
            groups: RefCell::default(),
            conn_sources: Roads::default(),
            relay: relay::Client::default(),
            sessions: Cell::new(0),
            feed: Feed::default(),
            reports: concern::Board::default(),
            changes: Changes::default(),
            distances,
            served_lines: logs::Budget::default(),
            metrics,
            stop,
        }
    }

    /// The configuration in force.
    pub fn routes(&self) -> Arc<Routes> {
        self.routes.borrow().clone()
    }

    /// Puts a configuration into force.
    pub fn set_routes(&self, routes: Routes) {
        *self.routes.borrow_mut() = Arc::new(routes);
    }

    /// How far data centres are apart.
    pub fn distances(&self) -> &Ways {
        &self.distances
    }

    /// The task of a group, if the group is known.
    pub fn group(&self, group: &GroupId) -> Option<group::Handle> {
        self.groups.borrow().get(group).cloned()
    }

    /// Every group's task.
    pub fn groups(&self) -> Vec<group::Handle> {
        self.groups.borrow().values().cloned().collect()
    }

    /// The task of a group; it is started if it does not run yet.
    pub fn ensure_group(&self, group: &GroupId) -> group::Handle {
        if let Some(handle) = self.group(group) {
            return handle;
        }
        let reports = self.reports.clone();
        let handle = group::spawn(group::Setup {
            group: group.clone(),
            distances: self.distances.clone(),
            metrics: self.metrics.clone(),
            reports,
            changes: self.changes.clone(),
        });
        let mut groups = self.groups.borrow_mut();
        groups.insert(group.clone(), handle.clone());
        handle
    }

    /// Sessions that are open.
    pub fn sessions(&self) -> usize {
        self.sessions.get()
    }

    /// Counts a session for as long as the result lives.
    pub fn count_session(self: &Rc<Self>) -> SessionCount {
        self.sessions.set(self.sessions.get() + 1);
        SessionCount(self.clone())
    }
}

/// A session that is counted.
pub struct SessionCount(Rc<Cx>);

impl Drop for SessionCount {
    fn drop(&mut self) {
        self.0.sessions.set(self.0.sessions.get() - 1);
    }
}
