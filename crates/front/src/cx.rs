//! The context that all tasks of the process share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use indexmap::IndexMap;
use model::id::{GroupId, ProxyId};
use model::route::Routes;
use policy::quota::Terms;

use crate::checkout::ConnSources;
use crate::distance::Distances;
use crate::feed::Feed;
use crate::group;
use crate::health;
use crate::logs;
use crate::metrics::Metrics;
use crate::pending_changes::Changes;
use crate::quota::Quotas;
use crate::relay;
use crate::running::Running;
use crate::stop::StopSignal;

/// The context of one process; the directory's task updates it, the others read it.
pub struct Cx {
    routes: RefCell<Arc<Routes>>,
    groups: RefCell<IndexMap<GroupId, group::Handle>>,
    /// Where connections to groups come from besides this proxy's own pools.
    pub conn_sources: ConnSources,
    /// The client for other proxies' relays.
    pub relay: relay::Client,
    sessions: Cell<usize>,
    /// The updates of the store that this proxy serves to peers of its data centre.
    pub feed: Feed,
    /// What proxies report about groups: suspected primaries and lagging replicas.
    pub reports: health::ReportBoard,
    /// The groups with a change of primary under way.
    pub changes: Changes,
    /// The customers' rate limits.
    pub quotas: Quotas,
    distances: Distances,
    /// The callers' statements in progress.
    pub running: Running,
    /// Limits the log lines about served statements.
    pub served_lines: logs::LineBudget,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// The phase of the shutdown.
    pub stop: StopSignal,
}

impl Cx {
    /// A context without configuration.
    pub fn new(
        me: ProxyId,
        terms: Terms,
        distances: Distances,
        metrics: Metrics,
        stop: StopSignal,
    ) -> Self {
        let relay = relay::Client::default();
        Self {
            quotas: Quotas::new(me, terms, relay.clone()),
            relay,
            routes: RefCell::default(),
            groups: RefCell::default(),
            conn_sources: ConnSources::default(),
            sessions: Cell::new(0),
            feed: Feed::default(),
            reports: health::ReportBoard::default(),
            changes: Changes::default(),
            distances,
            running: Running::default(),
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
        self.quotas.set_customers(routes.customers.as_ref());
        self.conn_sources.set_customers(routes.customers.as_ref());
        *self.routes.borrow_mut() = Arc::new(routes);
    }

    /// Assumed round trips between data centres.
    pub fn distances(&self) -> &Distances {
        &self.distances
    }

    /// The task of a group, if the group is known.
    pub fn group(&self, group: &GroupId) -> Option<group::Handle> {
        self.groups.borrow().get(group).cloned()
    }

    /// The tasks of all groups.
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

    /// Number of open sessions.
    pub fn sessions(&self) -> usize {
        self.sessions.get()
    }

    /// Counts a session until the result is dropped.
    pub fn count_session(self: &Rc<Self>) -> SessionCount {
        self.sessions.set(self.sessions.get() + 1);
        SessionCount(self.clone())
    }
}

/// Guard of a counted session.
pub struct SessionCount(Rc<Cx>);

impl Drop for SessionCount {
    fn drop(&mut self) {
        self.0.sessions.set(self.0.sessions.get() - 1);
    }
}
