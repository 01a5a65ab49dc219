//! Which connection a statement gets, and when connections are opened and closed.
//!
//! One pool serves one group. Instances accept few connections, shared with all other
//! proxies, so a connection belongs to a statement or a transaction only while it runs.
//! Who cannot get one waits in order of rank and arrival; who cannot get one in time is
//! refused at once. `C` is an open connection, `W` stands for who waits.

mod checkouts;
mod instance;
mod request;
mod serve;

use indexmap::IndexMap;
use model::entry::Entry;
use model::id::InstanceId;
use model::position::Point;
use model::route::Guarantee;
use model::unit::{Span, Time};

use crate::proof::{Need, Proof, Proofs};
pub use instance::Instance;
pub use request::{Action, ConnRequest, Grant, Kind, OpenError, Reason, Rejection};

/// Least hint to come back, so that refused callers do not spin.
const MIN_RETRY: Span = Span::from_millis(50);

/// Hint while no primary is known: a change of primary takes about this long.
const FAILOVER_RETRY: Span = Span::from_millis(1_000);

/// Time within which a change of primary is usually over: 0.7 s to doubt, 0.2 s to look,
/// up to 1 s until the next one leads.
const CHANGE_TAKES: Span = Span::from_millis(2_500);

/// Time for which an age that a read accepted counts.
const ACCEPTED_KEPT: Span = Span::from_millis(1_000);

/// Time for which no primary must have been known before other proxies are asked. A primary
/// that was just lost is lost to all of them, mostly.
const LOST_FOR: Span = Span::from_millis(300);

/// Statements that may wait for one group at once. Load: a burst at several times the
/// capacity. Harm without it: all of it waits, and is refused late. At 3 instances with 3
/// slots and 20 ms a statement this many wait for about a second.
const MAX_WAITING: usize = 400;

struct Pending<W> {
    request: ConnRequest,
    waiter: W,
}

/// Connections of one proxy to one group.
pub struct Pool<C, W> {
    instances: IndexMap<InstanceId, Instance<C>>,
    waiting: Vec<Pending<W>>,
    primary: Option<InstanceId>,
    /// Since when no primary is known.
    lost_since: Option<Time>,
    proofs: Proofs,
    /// Connections of one instance that all proxies share.
    connections: u32,
    /// Proxies that share them.
    proxies: u32,
    /// Whether this proxy is one of those.
    is_holder: bool,
    /// Since when no replica holds what reads need, if so.
    lagging_since: Option<Time>,
    /// Greatest age that a read accepted lately, and when it was asked for.
    accepted: (Span, Time),
    opened: Opened<C>,
}

/// When a connection was opened.
type Opened<C> = fn(&C) -> Time;

impl<C, W> Pool<C, W> {
    /// A pool without instances.
    pub fn new() -> Self {
        Self {
            instances: IndexMap::new(),
            waiting: Vec::new(),
            primary: None,
            lost_since: None,
            proofs: Proofs::default(),
            connections: 1,
            proxies: 1,
            is_holder: true,
            lagging_since: None,
            accepted: Default::default(),
            opened: |_| Time::default(),
        }
    }

    /// Uses the connection that was opened first, and closes the one that was opened last.
    ///
    /// Load: bursts that need a second connection now and then. Harm without it: each burst
    /// leaves another connection open, and one that counts for proofs of writes is closed.
    #[must_use]
    pub fn prefer_oldest(mut self, opened: fn(&C) -> Time) -> Self {
        self.opened = opened;
        self
    }

    /// Takes over how many connections an instance accepts, how many proxies share them,
    /// and whether this proxy is one of those; if not, it keeps none while they are idle.
    pub fn set_shares(&mut self, connections: u32, proxies: u32, is_holder: bool) {
        self.connections = connections.max(1);
        self.proxies = proxies.max(1);
        self.is_holder = is_holder;
    }

    /// Takes over the announced instances; `way` is the usual round trip to each.
    pub fn set_entries(
        &mut self,
        entries: &[Entry],
        round_trip: impl Fn(&Entry) -> Span,
        now: Time,
    ) -> Vec<Action<C, W>> {
        self.set_entries_since(entries, round_trip, now, now)
    }

    /// The same, where what changed may have changed as early as `since`.
    ///
    /// Load: a proxy is cut off from the store while a primary begins to leave. Harm without
    /// it: it goes on writing there for as long again once it hears of it, and the instance
    /// ends meanwhile.
    pub fn set_entries_since(
        &mut self,
        entries: &[Entry],
        round_trip: impl Fn(&Entry) -> Span,
        since: Time,
        now: Time,
    ) -> Vec<Action<C, W>> {
        let mut actions = Vec::new();
        let listed = |id: &InstanceId| entries.iter().any(|e| e.id == *id);
        let gone: Vec<_> = self
            .instances
            .keys()
            .filter(|id| !listed(id))
            .cloned()
            .collect();
        for id in gone {
            if let Some(gone) = self.instances.shift_remove(&id) {
                actions.extend(gone.into_idle().map(Action::Close));
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

    /// The instances.
    pub fn instances(&self) -> impl Iterator<Item = &Instance<C>> {
        self.instances.values()
    }

    /// One instance.
    pub fn instance(&self, id: &InstanceId) -> Option<&Instance<C>> {
        self.instances.get(id)
    }

    /// When the oldest connection to each replica was opened, idle or lent; a replica without
    /// one is left out.
    pub fn oldest_per_replica(&self) -> impl Iterator<Item = Time> {
        let replicas = self.instances.values();
        let replicas = replicas.filter(|i| self.primary.as_ref() != Some(i.id()));
        replicas.filter_map(|i| i.oldest_per_replica(self.opened))
    }

    /// The instance that last proved that it leads.
    pub fn primary(&self) -> Option<&InstanceId> {
        self.primary.as_ref()
    }

    /// The newest proof about the primary's log.
    pub fn newest_proof(&self) -> Option<Proof> {
        self.proofs.newest()
    }

    /// Statements that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// An instance proved that it leads.
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

    /// An instance does not lead, or is out of reach; says whether it was taken to lead.
    pub fn clear_primary(&mut self, id: &InstanceId) -> bool {
        self.primary.take_if(|p| p == id).is_some()
    }

    /// Asks for a connection.
    pub fn request(&mut self, request: ConnRequest, waiter: W, now: Time) -> Vec<Action<C, W>> {
        self.note_age(&request.kind, now);
        if !request.may_wait && self.is_unreachable(&request, now) {
            let refused = unreachable();
            return vec![Action::Reject(waiter, refused)];
        }
        if self.waiting.len() >= MAX_WAITING || self.is_futile(&request, now) {
            let refused = self.refusal(&request);
            return vec![Action::Reject(waiter, refused)];
        }
        let at = self
            .waiting
            .partition_point(|w| w.request.rank() <= request.rank());
        self.waiting.insert(at, Pending { request, waiter });
        self.settle(now)
    }

    /// Refuses everybody who waits for instances that are out of reach, since another proxy
    /// was found that reaches them.
    pub fn reject_unreachable(&mut self, now: Time) -> Vec<Action<C, W>> {
        let mut actions = Vec::new();
        let mut at = 0;
        while at < self.waiting.len() {
            if self.is_unreachable(&self.waiting[at].request, now) {
                let pending = self.waiting.remove(at);
                actions.push(Action::Reject(pending.waiter, unreachable()));
            } else {
                at += 1;
            }
        }
        actions
    }

    /// Whether no instance that could serve the request is in reach of this proxy, while
    /// another proxy may reach one.
    fn is_unreachable(&self, request: &ConnRequest, now: Time) -> bool {
        match self.need(request) {
            None => false,
            Some(Need::Primary) => match &self.primary {
                None => self.lost_since.is_some_and(|at| now.since(at) >= LOST_FOR),
                Some(id) => self.instances.get(id).is_none_or(Instance::is_unreachable),
            },
            Some(Need::Holds(point)) => self
                .instances
                .values()
                .all(|i| i.is_unreachable() || i.lacks_certainly(point, now)),
        }
    }

    /// What the request's instance must be or hold; `None` for a question to a certain one.
    fn need(&self, req: &ConnRequest) -> Option<Need> {
        match req.kind {
            Kind::Control(_) => None,
            Kind::Write => Some(Need::Primary),
            Kind::Read(guarantee) => Some(self.proofs.need(guarantee, req.own_write, req.arrived)),
        }
    }

    /// Whether a request that needs a primary would wait for nothing.
    ///
    /// Load: a group without a primary for longer than a change of primary takes, for
    /// instance because the store is away. Harm without it: all of its callers wait until
    /// their time is up and learn only then that they must come back.
    fn is_futile(&mut self, request: &ConnRequest, now: Time) -> bool {
        self.note_loss(now);
        let long = self
            .lost_since
            .is_some_and(|at| now.since(at) >= CHANGE_TAKES);
        long && matches!(request.kind, Kind::Write | Kind::Read(Guarantee::Newest))
    }

    /// A connection comes back; `None` when it cannot be used again.
    pub fn release(
        &mut self,
        id: &InstanceId,
        conn: Option<C>,
        took: Option<Span>,
        now: Time,
    ) -> Vec<Action<C, W>> {
        let mut actions = Vec::new();
        match self.instances.get_mut(id) {
            Some(instance) => instance.release(conn, took, self.opened, now),
            None => actions.extend(conn.map(Action::Close)),
        }
        actions.extend(self.settle(now));
        actions
    }

    /// A connection that was to be opened is open, or is not.
    pub fn open_completed(
        &mut self,
        id: &InstanceId,
        result: Result<C, OpenError>,
        now: Time,
    ) -> Vec<Action<C, W>> {
        let mut actions = Vec::new();
        match self.instances.get_mut(id) {
            Some(instance) => instance.open_completed(result, now),
            None => actions.extend(result.ok().map(Action::Close)),
        }
        actions.extend(self.settle(now));
        actions
    }

    /// Takes an idle connection for a probe; it comes back by [`Pool::give_back`].
    pub fn take_idle(&mut self, id: &InstanceId) -> Option<C> {
        self.instances.get_mut(id)?.take(self.opened)
    }

    /// The instance is not to be given reads for a while: it lags, or did not answer.
    pub fn pause_reads(&mut self, id: &InstanceId, until: Time) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.pause_reads(until);
        }
    }

    /// The instance's log lacked a point that a read asked for.
    pub fn record_lack(&mut self, id: &InstanceId, point: Point, now: Time) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.record_lack(point, now);
        }
    }

    /// An answer of the instance showed the end of its log.
    pub fn record_log_end(&mut self, id: &InstanceId, point: Point) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.record_log_end(point);
        }
    }

    /// For how long no replica has held what the most tolerant reads need, so that the
    /// primary must serve all of them.
    pub fn lagging_for(&self, now: Time) -> Option<Span> {
        self.lagging_since.map(|since| now.since(since))
    }

    fn note_loss(&mut self, now: Time) {
        if self.primary.is_none() {
            self.lost_since.get_or_insert(now);
        }
    }

    fn note_lag(&mut self, now: Time) {
        let lagging = self.lags(now);
        match (lagging, self.lagging_since) {
            (true, None) => self.lagging_since = Some(now),
            (false, Some(_)) => self.lagging_since = None,
            _ => {}
        }
    }

    fn lags(&self, now: Time) -> bool {
        let (age, asked) = self.accepted;
        if self.primary.is_none() || now.since(asked) > ACCEPTED_KEPT {
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
        replicas.peek().is_some() && replicas.all(|i| i.lacks_certainly(point, now))
    }

    /// Remembers what age reads accept: the greatest one of late.
    fn note_age(&mut self, kind: &Kind, now: Time) {
        let Kind::Read(Guarantee::Bounded(age) | Guarantee::OwnWrites(age)) = *kind else {
            return;
        };
        let (known, asked) = self.accepted;
        if age >= known || now.since(asked) > ACCEPTED_KEPT {
            self.accepted = (age, now);
        }
    }

    /// The instance refused a statement for want of capacity.
    pub fn record_overload(&mut self, id: &InstanceId, now: Time) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.record_overload(now);
        }
    }

    /// Refuses whose time is up, closes what is not needed, and serves who can be served.
    pub fn tick(&mut self, now: Time) -> Vec<Action<C, W>> {
        let mut actions = Vec::new();
        let late = self.waiting.extract_if(.., |w| w.request.deadline <= now);
        let late: Vec<_> = late.collect();
        for w in late {
            let refused = self.refusal(&w.request);
            actions.push(Action::Reject(w.waiter, refused));
        }
        self.note_loss(now);
        self.note_lag(now);
        let kept: Vec<_> = self
            .instances
            .values()
            .map(|i| self.kept(i.entry().slots))
            .collect();
        for (instance, kept) in self.instances.values_mut().zip(kept) {
            actions.extend(instance.trim(kept, self.opened, now).map(Action::Close));
            let leads = self.primary.as_ref() == Some(instance.id());
            if instance.entry().leaving && !leads {
                // One stays: what the instance holds may be the only proof of a write.
                let spare = instance.drain_spare(self.opened);
                actions.extend(spare.into_iter().map(Action::Close));
            }
        }
        actions.extend(self.settle(now));
        actions
    }

    /// When [`Pool::tick`] must be called next for those who wait.
    pub fn next_tick(&self) -> Option<Time> {
        self.waiting.iter().map(|w| w.request.deadline).min()
    }

    fn refusal(&self, request: &ConnRequest) -> Rejection {
        let reason = match (&request.kind, &self.primary) {
            (Kind::Write | Kind::Read(Guarantee::Newest), None) => Reason::NoPrimary,
            _ if self.instances.is_empty() => Reason::NoInstance,
            _ => Reason::Busy,
        };
        let retry_after = match reason {
            Reason::NoPrimary | Reason::NoInstance | Reason::Unreachable => FAILOVER_RETRY,
            Reason::Busy => MIN_RETRY.times(1 + self.waiting.len() as u64 / 4),
        };
        Rejection {
            reason,
            retry_after,
        }
    }
}

impl<C, W> Default for Pool<C, W> {
    fn default() -> Self {
        Self::new()
    }
}

fn unreachable() -> Rejection {
    Rejection {
        reason: Reason::Unreachable,
        retry_after: MIN_RETRY,
    }
}
