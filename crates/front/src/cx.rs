//! What all tasks of the process share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use indexmap::IndexMap;
use model::id::GroupId;
use model::route::Routes;

use crate::checkout::ConnSources;
use crate::distance::Distances;
use crate::feed::Feed;
use crate::group;
use crate::health;
use crate::logs;
use crate::metrics::Metrics;
use crate::pending_changes::Changes;
use crate::relay;
use crate::stop::StopSignal;

/// Shared by the tasks of one process; the directory's task writes, the others read.
pub struct Cx {
    routes: RefCell<Arc<Routes>>,
    groups: RefCell<IndexMap<GroupId, group::Handle>>,
    /// The ways to groups past this proxy's own pools.
    pub sources: ConnSources,
    /// Speaks to other proxies.
    pub relay: relay::Client,
    sessions: Cell<usize>,
    /// What this proxy knows of the store, for its neighbours.
    pub feed: Feed,
    /// What proxies find wrong with primaries.
    pub reports: health::ReportBoard,
    /// Tells whether changes of primary are under way.
    pub changes: Changes,
    distances: Distances,
    /// Bounds the lines about served statements.
    pub served_lines: logs::LineBudget,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// How far the shutdown is.
    pub stop: StopSignal,
}

impl Cx {
    /// A context without configuration.
    pub fn new(distances: Distances, metrics: Metrics, stop: StopSignal) -> Self {
        Self {
            routes: RefCell::default(),
            groups: RefCell::default(),
            sources: ConnSources::default(),
            relay: relay::Client::default(),
            sessions: Cell::new(0),
            feed: Feed::default(),
            reports: health::ReportBoard::default(),
            changes: Changes::default(),
            distances,
            served_lines: logs::LineBudget::default(),
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
    pub fn distances(&self) -> &Distances {
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
        let board = self.reports.clone();
        let handle = group::spawn(group::Setup {
            group: group.clone(),
            distances: self.distances.clone(),
            metrics: self.metrics.clone(),
            board,
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
    pub fn enter(self: &Rc<Self>) -> Entered {
        self.sessions.set(self.sessions.get() + 1);
        Entered(self.clone())
    }
}

/// A session that is counted.
pub struct Entered(Rc<Cx>);

impl Drop for Entered {
    fn drop(&mut self) {
        self.0.sessions.set(self.0.sessions.get() - 1);
    }
}
