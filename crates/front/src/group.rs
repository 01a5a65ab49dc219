//! The task of one group: it owns the connection pool, monitors the primary, and executes
//! the actions that the pool returns.

mod checked_out;
mod handle;
mod probe;
mod replica_ack;

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt as _;
use model::entry::Entry;
use model::id::{CustomerId, GroupId, InstanceId};
use model::position::Point;
use model::unit::{Span, Time};
use policy::pool::{self, Action, ConnRequest, Grant, OpenError, Pool, Rejection};
use policy::primary_monitor::PrimaryMonitor;
use policy::proof::Proof;
use policy::replica_ack::Replica;

use crate::clock;
use crate::conn::{Conn, ConnError};
use crate::distance::Distances;
use crate::health::{self, GroupReport};
use crate::metrics::Metrics;
use crate::pending_changes::Changes;
pub use checked_out::CheckedOut;
pub use handle::Handle;
use replica_ack::AckCollector;

/// Timeout for opening a connection. On an instance whose slots are full, the handshake waits
/// behind some statements; a shorter timeout would leave half-open connections.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval between two checks of the pool and the primary.
const TICK: Span = Span::from_millis(50);

/// Time for which no replica has held the point that reads need before this is reported to
/// the coordinator. A shorter time would report a mere burst of writes as a lag.
const LAG_REPORT_AFTER: Span = Span::from_millis(300);

/// Interval between two log lines about waiting statements that were rejected.
const REJECTIONS_LOGGED_EVERY: Span = Span::from_millis(1_000);

/// Interval between two checks that each replica has an eligible connection.
const PREPARE_INTERVAL: Span = Span::from_millis(500);

type Reply = flume::Sender<Result<Grant<Conn>, Rejection>>;

/// A message to the group's task.
enum Message {
    Request(ConnRequest, Reply),
    Returned(Returned),
    Opened(InstanceId, Option<CustomerId>, Result<Conn, OpenError>),
    /// Announced instances, and the time from which they may have been announced.
    Entries(Vec<Entry>, Time),
    Shares(Shares),
    Probed(probe::Report),
    Feedback(InstanceId, Feedback),
    View(flume::Sender<View>),
    Replicas(flume::Sender<Vec<Replica>>),
    ExpectPrimary(InstanceId),
    RejectUnreachable,
}

/// What a session observed on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Feedback {
    /// It rejected a write: it is no primary.
    ReadOnly,
    /// Its log does not reach this point.
    Lacks(Point),
    /// Its slots and its queue were full.
    Busy,
    /// It did not respond, or the connection broke.
    Silent,
    /// A write has had no reply for a long time.
    WriteStalls,
    /// A write was acknowledged.
    Wrote,
}

struct Returned {
    instance: InstanceId,
    conn: Option<Conn>,
    proof: Option<Proof>,
    service_time: Option<Span>,
    log_end: Option<Point>,
}

/// How the connections to the group's instances are divided among proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Connections that one instance accepts.
    pub connections: u32,
    /// Number of proxies that hold connections.
    pub holders: u32,
    /// Whether this proxy is one of them.
    pub is_holder: bool,
    /// Whether callers belong to customers.
    pub by_customer: bool,
}

/// A snapshot of the task's state.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The instance with the newest proof that it is the primary.
    pub primary: Option<InstanceId>,
    /// Last known end of the primary's log.
    pub end: Option<Point>,
    /// Statements that wait for a connection.
    pub waiting: usize,
    /// Connections that are open or checked out.
    pub connections: u32,
    /// What happened to statements that waited.
    pub queue: pool::QueueStats,
}

/// What a group's tasks need.
pub struct Setup {
    /// Which group.
    pub group: GroupId,
    /// Round trips between data centres.
    pub distances: Distances,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Where the task publishes problems of the group.
    pub reports: health::ReportBoard,
    /// Groups with a change of primary under way.
    pub changes: Changes,
}

struct Group {
    id: Rc<GroupId>,
    pool: Pool<Conn, Reply>,
    monitor: PrimaryMonitor,
    /// Whether this proxy holds connections of its own.
    is_holder: bool,
    /// Whether the proxies that hold connections are known.
    shares_known: bool,
    distances: Distances,
    metrics: Metrics,
    reports: health::ReportBoard,
    changes: Changes,
    /// When to check next for eligible connections.
    prepare_acks_at: Time,
    /// Rejections of waiting statements that were logged, and when.
    logged: (pool::QueueStats, Time),
    tx: flume::Sender<Message>,
}

/// Starts the tasks of a group.
pub fn spawn(setup: Setup) -> Handle {
    let Setup {
        group,
        distances,
        metrics,
        reports,
        changes,
    } = setup;
    let (tx, rx) = flume::unbounded();
    let id = Rc::new(group);
    let task = Group {
        id: id.clone(),
        pool: Pool::new()
            .prefer_oldest(Conn::opened)
            .separate_owners(Conn::customer),
        monitor: PrimaryMonitor::default(),
        is_holder: true,
        shares_known: false,
        distances,
        metrics,
        reports,
        changes: changes.clone(),
        prepare_acks_at: Time::default(),
        logged: Default::default(),
        tx: tx.clone(),
    };
    compio::runtime::spawn(task.run(rx)).detach();
    let (acks, requests) = flume::unbounded();
    let handle = Handle {
        tx,
        acks,
        group: id.clone(),
    };
    let collector = AckCollector::new(id, handle.clone(), changes);
    compio::runtime::spawn(collector.run(requests)).detach();
    handle
}

impl Group {
    async fn run(mut self, rx: flume::Receiver<Message>) {
        let mut tick = clock::now() + TICK;
        loop {
            let due = self.pool.next_tick().map_or(tick, |at| at.min(tick));
            let message = {
                let recv = rx.recv_async().fuse();
                let timer = clock::sleep_until(due).fuse();
                futures_util::pin_mut!(recv, timer);
                futures_util::select_biased! {
                    message = recv => message.ok(),
                    () = timer => None,
                }
            };
            let now = clock::now();
            self.monitor.record_run(now);
            if let Some(message) = message {
                self.handle_message(message, now);
            }
            if now >= tick || now >= due {
                let actions = self.pool.tick(now);
                self.act(actions);
            }
            if now >= tick {
                tick = now + TICK;
                self.probe_due(now);
                self.publish_report(now);
                self.log_rejections(now);
                self.prepare_acks(now);
            }
        }
    }

    fn handle_message(&mut self, message: Message, now: Time) {
        let actions = match message {
            Message::Request(request, reply) => self.pool.request(request, reply, now),
            Message::Returned(returned) => self.connection_returned(returned, now),
            Message::Opened(id, customer, result) => {
                if matches!(result, Err(OpenError::Unreachable)) {
                    self.pool.pause_reads(&id, now + probe::READ_PAUSE);
                }
                self.pool
                    .open_completed(&id, customer.as_ref(), result, now)
            }
            Message::Entries(entries, since) => self.set_entries(&entries, since, now),
            Message::Shares(shares) => {
                self.set_shares(shares);
                Vec::new()
            }
            Message::Probed(report) => self.probe_ended(report, now),
            Message::Feedback(id, feedback) => {
                self.apply_feedback(&id, feedback, now);
                Vec::new()
            }
            Message::View(reply) => {
                let _ = reply.send(self.view());
                Vec::new()
            }
            Message::Replicas(reply) => {
                let _ = reply.send(self.replicas());
                Vec::new()
            }
            Message::RejectUnreachable => self.pool.reject_unreachable(now),
            Message::ExpectPrimary(id) => {
                self.monitor.expect_primary(&id);
                self.probe_due(now);
                Vec::new()
            }
        };
        self.act(actions);
    }

    fn connection_returned(&mut self, returned: Returned, now: Time) -> Vec<Action<Conn, Reply>> {
        if let Some(proof) = returned.proof {
            self.record_proof(&returned.instance, proof);
        }
        if let Some(point) = returned.log_end {
            self.pool.record_log_end(&returned.instance, point);
        }
        let conn = returned.conn;
        self.pool
            .release(&returned.instance, conn, returned.service_time, now)
    }

    fn record_proof(&mut self, id: &InstanceId, proof: Proof) {
        if self.monitor.record_proof(id, proof.since) {
            tracing::info!(group = %self.id, instance = %id, "the primary is no longer suspected");
        }
        if self.pool.record_proof(id, proof) {
            tracing::info!(
                group = %self.id,
                instance = %id,
                point = %proof.point,
                asked = %proof.since,
                "an instance proved that it is the primary"
            );
        }
    }

    fn clear_primary(&mut self, id: &InstanceId, cause: &'static str) {
        if self.pool.clear_primary(id) {
            tracing::warn!(group = %self.id, instance = %id, cause, "the primary is no longer known");
        }
    }

    fn set_entries(
        &mut self,
        entries: &[Entry],
        since: Time,
        now: Time,
    ) -> Vec<Action<Conn, Reply>> {
        let distances = self.distances.clone();
        let round_trip = |e: &Entry| distances.round_trip(&e.data_centre);
        let actions = self.pool.set_entries_since(entries, round_trip, since, now);
        self.monitor.set_entries(entries);
        self.probe_due(now);
        actions
    }

    fn set_shares(&mut self, shares: Shares) {
        let Shares {
            connections,
            holders,
            is_holder,
            by_customer,
        } = shares;
        self.pool.set_by_customer(by_customer);
        self.pool.set_shares(connections, holders, is_holder);
        if self.is_holder != shares.is_holder {
            if self.shares_known {
                tracing::info!(group = %self.id, own = shares.is_holder, holders = shares.holders, "the proxies that hold connections have changed");
            }
            self.is_holder = shares.is_holder;
            // A proxy that no longer probes the primary must not keep suspecting it.
            self.monitor.reset();
        }
        self.shares_known = true;
    }

    fn apply_feedback(&mut self, id: &InstanceId, feedback: Feedback, now: Time) {
        match feedback {
            Feedback::ReadOnly => {
                self.clear_primary(id, "it rejected a write");
                self.probe_due(now);
            }
            Feedback::Busy => self.pool.record_overload(id, now),
            Feedback::Lacks(point) => self.pool.record_lack(id, point, now),
            Feedback::Silent => {
                self.pool.pause_reads(id, now + probe::READ_PAUSE);
                self.monitor.connection_failed(id, now);
                self.probe_due(now);
            }
            Feedback::WriteStalls => self.monitor.record_stall(id, now),
            Feedback::Wrote => self.monitor.record_write(id),
        }
    }

    fn view(&self) -> View {
        View {
            primary: self.pool.primary().cloned(),
            end: self.pool.newest_proof().map(|p| p.point),
            waiting: self.pool.waiting(),
            connections: self.pool.instances().map(pool::Instance::count).sum(),
            queue: self.pool.queue_stats(),
        }
    }

    fn replicas(&self) -> Vec<Replica> {
        let primary = self.pool.primary();
        let others = self.pool.instances().filter(|i| Some(i.id()) != primary);
        let replica = |i: &pool::Instance<Conn>| Replica {
            id: i.id().clone(),
            round_trip: self.distances.round_trip(&i.entry().data_centre),
            leaving: i.entry().leaving,
        };
        others.map(replica).collect()
    }

    /// Keeps an eligible connection to each replica before it is needed: opens missing ones,
    /// and refreshes the pending changes from the store.
    ///
    /// When a primary is lost, the replica that acknowledged writes becomes the next primary.
    /// Without this, connections to the other replica would be eligible only after the change
    /// is over, and the first writes would be in doubt.
    fn prepare_acks(&mut self, now: Time) {
        if now < self.prepare_acks_at {
            return;
        }
        self.prepare_acks_at = now + PREPARE_INTERVAL;
        let actions = self.pool.open_missing(now);
        self.act(actions);
        let is_eligible = |opened| self.changes.is_eligible(&self.id, opened);
        if !self.pool.oldest_per_replica().all(is_eligible) {
            self.changes.refresh();
        }
    }

    /// Publishes whether the primary is suspected and whether replicas lag.
    fn publish_report(&self, now: Time) {
        let lagging_for = self.pool.lagging_for(now);
        let report = GroupReport {
            suspicion: self.monitor.suspicion(now),
            lags: lagging_for.is_some_and(|lagging| lagging >= LAG_REPORT_AFTER),
        };
        self.reports.set_own(&self.id, report);
    }

    /// Logs how many waiting statements were rejected, at most once a second.
    fn log_rejections(&mut self, now: Time) {
        let (logged, at) = self.logged;
        let stats = self.pool.queue_stats();
        let rejected = |stats: pool::QueueStats| (stats.hopeless, stats.expired);
        if rejected(stats) == rejected(logged) || now.since(at) < REJECTIONS_LOGGED_EVERY {
            return;
        }
        tracing::info!(
            group = %self.id,
            hopeless = stats.hopeless - logged.hopeless,
            at_deadline = stats.expired - logged.expired,
            late = stats.late - logged.late,
            advanced = stats.advanced - logged.advanced,
            waiting = self.pool.waiting(),
            "waiting statements were rejected"
        );
        self.logged = (stats, now);
    }

    fn act(&mut self, actions: Vec<Action<Conn, Reply>>) {
        let mut queue = actions;
        while let Some(action) = queue.pop() {
            match action {
                Action::Grant(reply, grant) => {
                    let id = grant.instance.clone();
                    if let Err(flume::SendError(Ok(grant))) = reply.send(Ok(grant)) {
                        let now = clock::now();
                        queue.extend(self.pool.release(&id, Some(grant.conn), None, now));
                    }
                }
                Action::Reject(reply, rejection) => {
                    let _ = reply.send(Err(rejection));
                }
                Action::Open(id, customer) => self.open(&id, customer),
                Action::Close(conn) => compio::runtime::spawn(conn.close()).detach(),
            }
        }
    }

    fn open(&self, id: &InstanceId, customer: Option<CustomerId>) {
        let Some(instance) = self.pool.instance(id) else {
            return;
        };
        let address = instance.entry().address;
        let (tx, group, id) = (self.tx.clone(), self.id.clone(), id.clone());
        let metrics = self.metrics.clone();
        compio::runtime::spawn(async move {
            let opened = Conn::open(address, &group, customer.clone(), &id, OPEN_TIMEOUT).await;
            metrics.connection_attempted(opened.is_ok());
            let result = opened.map_err(|e| open_error(&group, &id, &e));
            let _ = tx.send(Message::Opened(id, customer, result));
        })
        .detach();
    }
}

fn open_error(group: &GroupId, id: &InstanceId, e: &ConnError) -> OpenError {
    let full = matches!(
        e,
        ConnError::Refused(model::statement::Code::TooManyConnections)
    );
    tracing::info!(%group, instance = %id, cause = %e, "a connection could not be opened");
    if full {
        OpenError::Full
    } else {
        OpenError::Unreachable
    }
}
