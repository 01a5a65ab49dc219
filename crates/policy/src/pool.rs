//! Selects the connection for each statement, and decides when connections are opened and
//! closed.
//!
//! One pool serves one group. Instances accept few connections, which all proxies share, so a
//! statement or a transaction holds a connection only while it runs. Requests that find none
//! wait in order of priority and arrival; those that cannot get one in time are rejected at
//! once. `C` is an open connection, `W` identifies a waiting caller.

mod checkouts;
mod demand;
mod forecast;
mod instance;
mod lag;
mod queue;
mod refuse;
mod request;
mod serve;
mod window;

use indexmap::IndexMap;
use model::entry::Entry;
use model::id::{CustomerId, InstanceId};
use model::position::Point;
use model::route::Guarantee;
use model::unit::{Span, Time};

use crate::proof::{Need, Proof, Proofs};
use demand::Demand;
use forecast::Forecast;
pub use instance::Instance;
use queue::Queue;
pub use refuse::QueueStats;
pub use request::{Action, ConnRequest, Grant, Kind, OpenError, Reason, Rejection};

/// Time within which a change of primary is usually over: 0.7 s to suspect the primary, 0.2 s
/// to query the instances, up to 1 s until the next one leads.
const CHANGE_DURATION: Span = Span::from_millis(2_500);

/// How long a maximum age accepted by a read is remembered.
const ACCEPTED_AGE_KEPT: Span = Span::from_millis(1_000);

/// How long no primary must have been known before requests are sent to other proxies. A
/// primary that has just failed is usually unreachable from all of them.
const FALLBACK_AFTER: Span = Span::from_millis(300);

/// Connections of one proxy to one group.
pub struct Pool<C, W> {
    instances: IndexMap<InstanceId, Instance<C>>,
    queue: Queue<W>,
    /// Forecasts by lane of the queue.
    forecasts: [Forecast; 2],
    stats: QueueStats,
    primary: Option<InstanceId>,
    /// Time from which no primary has been known.
    lost_since: Option<Time>,
    proofs: Proofs,
    /// Connections to one instance that all proxies share.
    connections: u32,
    /// Number of proxies that share them.
    proxies: u32,
    /// Whether this proxy is one of them.
    is_holder: bool,
    /// Time from which no replica has held what reads need, if none does.
    lagging_since: Option<Time>,
    /// Greatest age that a read accepted recently, and when that read was requested.
    accepted_age: (Span, Time),
    /// How often customers need connections.
    demand: Demand,
    conn_info: ConnInfo<C>,
}

/// What a pool needs to know about its connections.
#[derive(Debug)]
pub struct ConnInfo<C> {
    /// When a connection was opened.
    pub opened_at: fn(&C) -> Time,
    /// The customer for which it was opened.
    pub owner: fn(&C) -> Option<&CustomerId>,
}

impl<C> Clone for ConnInfo<C> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<C> Copy for ConnInfo<C> {}

impl<C> Default for ConnInfo<C> {
    fn default() -> Self {
        Self {
            opened_at: |_| Time::default(),
            owner: |_| None,
        }
    }
}

impl<C, W> Pool<C, W> {
    /// Creates a pool without instances.
    pub fn new() -> Self {
        Self {
            instances: IndexMap::new(),
            queue: Queue::new(),
            forecasts: Default::default(),
            stats: QueueStats::default(),
            primary: None,
            lost_since: None,
            proofs: Proofs::default(),
            connections: 1,
            proxies: 1,
            is_holder: true,
            lagging_since: None,
            accepted_age: Default::default(),
            demand: Demand::default(),
            conn_info: ConnInfo::default(),
        }
    }

    /// Prefers the connection that was opened first, and closes the one that was opened last.
    ///
    /// Under bursts that now and then need a second connection, each burst would otherwise
    /// leave another connection open, and one that is eligible for replica acknowledgements
    /// would be closed.
    #[must_use]
    pub fn prefer_oldest(mut self, opened_at: fn(&C) -> Time) -> Self {
        self.conn_info.opened_at = opened_at;
        self
    }

    /// Uses a connection only for the customer for which it was opened: instances are told the
    /// customer when a connection is opened, and cannot be told of another one later.
    #[must_use]
    pub fn separate_owners(mut self, owner: fn(&C) -> Option<&CustomerId>) -> Self {
        self.conn_info.owner = owner;
        self
    }

    /// Sets how many connections an instance accepts, how many proxies share them, and whether
    /// this proxy is one of them; if it is not, it keeps no idle connections.
    pub fn set_shares(&mut self, connections: u32, proxies: u32, is_holder: bool) {
        self.connections = connections.max(1);
        self.proxies = proxies.max(1);
        self.is_holder = is_holder;
    }

    /// Sets whether callers belong to customers. Requests are then ordered by customer and
    /// objective as well, hopeless ones are rejected early, and all work in flight is bounded.
    pub fn set_by_customer(&mut self, by_customer: bool) {
        self.queue.set_fair(by_customer);
    }

    /// Replaces the announced instances; `round_trip` is the usual round trip to each.
    pub fn set_entries(
        &mut self,
        entries: &[Entry],
        round_trip: impl Fn(&Entry) -> Span,
        now: Time,
    ) -> Vec<Action<C, W>> {
        self.set_entries_since(entries, round_trip, now, now)
    }

    /// Like [`Pool::set_entries`], for changes that may have been made as early as `since`.
    ///
    /// A proxy that is disconnected from the store while a primary starts to leave learns of it
    /// late. If the time for which it may still write there began only then, the instance would
    /// stop before that time is over.
    pub fn set_entries_since(
        &mut self,
        entries: &[Entry],
        round_trip: impl Fn(&Entry) -> Span,
        since: Time,
        now: Time,
    ) -> Vec<Action<C, W>> {
        let mut actions = Vec::new();
        let is_announced = |id: &InstanceId| entries.iter().any(|e| e.id == *id);
        let removed: Vec<_> = self
            .instances
            .keys()
            .filter(|id| !is_announced(id))
            .cloned()
            .collect();
        for id in removed {
            if let Some(removed) = self.instances.shift_remove(&id) {
                actions.extend(removed.into_idle().map(Action::Close));
            }
            self.primary.take_if(|p| *p == id);
        }
        for entry in entries {
            match self.instances.get_mut(&entry.id) {
                Some(known) => {
                    let stale = known.update(entry, round_trip(entry), since, now);
                    actions.extend(stale.into_iter().map(Action::Close));
                }
                None => {
                    let new = Instance::new(entry.clone(), round_trip(entry), since);
                    self.instances.insert(entry.id.clone(), new);
                }
            }
        }
        actions
    }

    /// All instances.
    pub fn instances(&self) -> impl Iterator<Item = &Instance<C>> {
        self.instances.values()
    }

    /// Returns one instance.
    pub fn instance(&self, id: &InstanceId) -> Option<&Instance<C>> {
        self.instances.get(id)
    }

    /// When the oldest connection to each replica was opened, idle or checked out; replicas
    /// without a connection are left out.
    pub fn oldest_per_replica(&self) -> impl Iterator<Item = Time> {
        let replicas = self.instances.values();
        let replicas = replicas.filter(|i| self.primary.as_ref() != Some(i.id()));
        replicas.filter_map(|i| i.oldest(self.conn_info))
    }

    /// The instance that last proved that it leads.
    pub fn primary(&self) -> Option<&InstanceId> {
        self.primary.as_ref()
    }

    /// The newest proof about the primary's log.
    pub fn newest_proof(&self) -> Option<Proof> {
        self.proofs.newest()
    }

    /// Number of statements that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Records that an instance proved that it leads; returns whether the primary has changed.
    pub fn record_proof(&mut self, id: &InstanceId, proof: Proof) -> bool {
        self.proofs.add(proof);
        let newest = self.proofs.newest().is_some_and(|p| p.since == proof.since);
        if !newest || self.primary.as_ref() == Some(id) {
            return false;
        }
        self.primary = Some(id.clone());
        self.lost_since = None;
        true
    }

    /// Records that an instance does not lead or is unreachable; returns whether it was the
    /// known primary.
    pub fn clear_primary(&mut self, id: &InstanceId) -> bool {
        self.primary.take_if(|p| p == id).is_some()
    }

    /// Requests a connection.
    pub fn request(&mut self, request: ConnRequest, waiter: W, now: Time) -> Vec<Action<C, W>> {
        self.track_accepted_age(&request.kind, now);
        if let Some(customer) = &request.customer {
            self.demand.record(customer, now);
        }
        if !request.may_wait && self.is_unreachable(&request, now) {
            let rejection = refuse::unreachable();
            return vec![Action::Reject(waiter, rejection)];
        }
        if self.is_full() || self.is_futile(&request, now) {
            let rejection = self.rejection(&request, now);
            return vec![Action::Reject(waiter, rejection)];
        }
        if let Some(lane) = queue::Lane::of(&request.kind) {
            self.forecasts[lane.index()].arrived(request.priority, now);
        }
        self.queue.insert(request, waiter, now);
        let mut actions = self.serve_waiting(now);
        actions.extend(self.reject_hopeless(now));
        actions
    }

    /// Rejects all requests that wait for unreachable instances, once another proxy was found
    /// that reaches them.
    pub fn reject_unreachable(&mut self, now: Time) -> Vec<Action<C, W>> {
        let mut actions = Vec::new();
        let mut at = 0;
        while at < self.queue.len() {
            if self.is_unreachable(&self.queue[at].request, now) {
                let pending = self.queue.reject(at);
                actions.push(Action::Reject(pending.waiter, refuse::unreachable()));
            } else {
                at += 1;
            }
        }
        actions
    }

    /// Whether this proxy reaches no instance that could serve the request, while another proxy
    /// may reach one.
    fn is_unreachable(&self, request: &ConnRequest, now: Time) -> bool {
        match self.need(request) {
            None => false,
            Some(Need::Primary) => match &self.primary {
                None => self
                    .lost_since
                    .is_some_and(|at| now.since(at) >= FALLBACK_AFTER),
                Some(id) => self.instances.get(id).is_none_or(Instance::is_unreachable),
            },
            Some(Need::Holds(point)) => self
                .instances
                .values()
                .all(|i| i.is_unreachable() || i.known_to_lack(point, now)),
        }
    }

    /// What the request's instance must be or hold; `None` for a query to a particular
    /// instance.
    fn need(&self, req: &ConnRequest) -> Option<Need> {
        match req.kind {
            Kind::Control(_) => None,
            Kind::Write => Some(Need::Primary),
            Kind::Read(guarantee) => Some(self.proofs.need(guarantee, req.own_write, req.arrived)),
        }
    }

    /// Whether a request that needs a primary would wait in vain.
    ///
    /// When a group has had no primary for longer than a change of primary takes, for instance
    /// because the store is unavailable, callers would otherwise wait until their deadlines and
    /// learn only then that they must retry.
    fn is_futile(&mut self, request: &ConnRequest, now: Time) -> bool {
        self.track_primary_loss(now);
        let overdue = self
            .lost_since
            .is_some_and(|at| now.since(at) >= CHANGE_DURATION);
        overdue && matches!(request.kind, Kind::Write | Kind::Read(Guarantee::Newest))
    }

    /// Returns a connection to the pool; `conn` is `None` if it cannot be used again.
    pub fn release(
        &mut self,
        id: &InstanceId,
        conn: Option<C>,
        took: Option<Span>,
        now: Time,
    ) -> Vec<Action<C, W>> {
        let mut actions = Vec::new();
        match self.instances.get_mut(id) {
            Some(instance) => instance.release(conn, took, self.conn_info, now),
            None => actions.extend(conn.map(Action::Close)),
        }
        actions.extend(self.serve_waiting(now));
        actions
    }

    /// Handles the result of opening a connection for `owner`.
    pub fn open_completed(
        &mut self,
        id: &InstanceId,
        owner: Option<&CustomerId>,
        result: Result<C, OpenError>,
        now: Time,
    ) -> Vec<Action<C, W>> {
        let mut actions = Vec::new();
        match self.instances.get_mut(id) {
            Some(instance) => instance.open_completed(owner, result, now),
            None => actions.extend(result.ok().map(Action::Close)),
        }
        actions.extend(self.serve_waiting(now));
        actions
    }

    /// Takes an idle connection for a probe; [`Pool::release`] returns it.
    pub fn take_idle(&mut self, id: &InstanceId) -> Option<C> {
        let info = self.conn_info;
        self.instances.get_mut(id)?.take(info, |_| true)
    }

    /// Sends no reads to the instance until `until`: it lags, or did not respond.
    pub fn pause_reads(&mut self, id: &InstanceId, until: Time) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.pause_reads(until);
        }
    }

    /// Records that the instance's log lacked a point that a read required.
    pub fn record_lack(&mut self, id: &InstanceId, point: Point, now: Time) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.record_lack(point, now);
        }
    }

    /// Records the end of the instance's log, as a response showed it.
    pub fn record_log_end(&mut self, id: &InstanceId, point: Point) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.record_log_end(point);
        }
    }

    /// How long no replica has held what the most tolerant reads need, so that the primary must
    /// serve all reads.
    pub fn lagging_for(&self, now: Time) -> Option<Span> {
        self.lagging_since.map(|since| now.since(since))
    }

    fn track_primary_loss(&mut self, now: Time) {
        if self.primary.is_none() {
            self.lost_since.get_or_insert(now);
        }
    }

    fn track_lag(&mut self, now: Time) {
        let lagging = self.is_lagging(now);
        match (lagging, self.lagging_since) {
            (true, None) => self.lagging_since = Some(now),
            (false, Some(_)) => self.lagging_since = None,
            _ => {}
        }
    }

    fn is_lagging(&self, now: Time) -> bool {
        let (age, requested_at) = self.accepted_age;
        if self.primary.is_none() || now.since(requested_at) > ACCEPTED_AGE_KEPT {
            return false;
        }
        let Some(point) = self.proofs.end_before(age, now) else {
            return false;
        };
        let mut replicas = self
            .instances
            .values()
            .filter(|i| self.primary.as_ref() != Some(i.id()) && !i.entry().leaving)
            .peekable();
        replicas.peek().is_some() && replicas.all(|i| i.known_to_lack(point, now))
    }

    /// Remembers the greatest age that reads accepted recently.
    fn track_accepted_age(&mut self, kind: &Kind, now: Time) {
        let Kind::Read(Guarantee::Bounded(age) | Guarantee::OwnWrites(age)) = *kind else {
            return;
        };
        let (known, requested_at) = self.accepted_age;
        if age >= known || now.since(requested_at) > ACCEPTED_AGE_KEPT {
            self.accepted_age = (age, now);
        }
    }

    /// Records that the instance refused a statement for lack of capacity.
    pub fn record_overload(&mut self, id: &InstanceId, now: Time) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.record_overload(now);
        }
    }

    /// Rejects requests past their deadline, closes unneeded connections, and serves waiting
    /// requests.
    pub fn tick(&mut self, now: Time) -> Vec<Action<C, W>> {
        let mut actions = self.reject_expired(now);
        self.track_primary_loss(now);
        self.track_lag(now);
        let retained: Vec<_> = self
            .instances
            .values()
            .map(|i| self.retained(i.entry().slots))
            .collect();
        for (instance, retained) in self.instances.values_mut().zip(retained) {
            actions.extend(
                instance
                    .trim(retained, self.conn_info, &self.demand, now)
                    .map(Action::Close),
            );
            let is_primary = self.primary.as_ref() == Some(instance.id());
            if instance.entry().leaving && !is_primary {
                // One is kept: what the instance holds may be the only proof of a write.
                let spare = instance.drain_spare(self.conn_info);
                actions.extend(spare.into_iter().map(Action::Close));
            }
        }
        actions.extend(self.serve_waiting(now));
        actions.extend(self.reject_hopeless(now));
        actions
    }

    /// When [`Pool::tick`] must be called next for the waiting requests.
    pub fn next_tick(&self) -> Option<Time> {
        self.queue.iter().map(|w| w.request.deadline).min()
    }
}

impl<C, W> Default for Pool<C, W> {
    fn default() -> Self {
        Self::new()
    }
}
