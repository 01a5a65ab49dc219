//! The task of one group: it owns the pool of connections, looks after the primary, and
//! carries out what the pool decides.

mod checked_out;
mod handle;
mod probe;
mod replica_ack;

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt as _;
use model::entry::Entry;
use model::id::{GroupId, InstanceId};
use model::position::Point;
use model::unit::{Span, Time};
use policy::pool::{self, Action, ConnRequest, Grant, OpenError, Pool, Rejection};
use policy::primary_monitor::PrimaryMonitor;
use policy::proof::Proof;
use policy::replica_ack::Replica;

use crate::changes::Changes;
use crate::clock;
use crate::concern::{self, Concern};
use crate::conn::{Conn, ConnError};
use crate::metrics::Metrics;
use crate::place::Ways;
pub use checked_out::CheckedOut;
pub use handle::Handle;
use replica_ack::Prover;

/// Longest time for opening a connection. Load: an instance whose slots are full makes a
/// handshake wait behind some statements; harm of a shorter one: half-open connections.
const OPEN_LIMIT: Duration = Duration::from_millis(600);

/// Time between two looks at the pool and the primary.
const TICK: Span = Span::from_millis(50);

/// Time for which no replica must have held what reads need before the coordinator is
/// told. Shorter takes a burst of writes for a lag.
const LAGS: Span = Span::from_millis(300);

/// Pause between two looks at the connections that count.
const PREPARE_PAUSE: Span = Span::from_millis(500);

type Reply = flume::Sender<Result<Grant<Conn>, Rejection>>;

/// A message to the group's task.
enum Message {
    Ask(ConnRequest, Reply),
    GiveBack(Returned),
    Opened(InstanceId, Result<Conn, OpenError>),
    /// Announced instances, and since when they may have been so.
    Entries(Vec<Entry>, Time),
    Shares(Shares),
    Probed(probe::Report),
    Feedback(InstanceId, Feedback),
    View(flume::Sender<View>),
    Replicas(flume::Sender<Vec<Replica>>),
    Primary(InstanceId),
    Release,
}

/// What a session learned about an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Feedback {
    /// It may not write.
    ReadOnly,
    /// Its log lacked this point.
    Lacks(Point),
    /// It had no slot and no room to wait.
    Busy,
    /// It did not answer, or the connection broke.
    Silent,
    /// A write has been without an answer for long.
    WriteStalls,
    /// A write was acknowledged.
    Wrote,
}

struct Returned {
    instance: InstanceId,
    conn: Option<Conn>,
    proof: Option<Proof>,
    took: Option<Span>,
    shown: Option<Point>,
}

/// Who holds connections to the group's instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Connections that one instance accepts.
    pub connections: u32,
    /// Proxies that hold some.
    pub holders: u32,
    /// Whether this proxy is one of them.
    pub is_holder: bool,
}

/// What the task knows, for those who ask.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The instance that last proved that it leads.
    pub primary: Option<InstanceId>,
    /// End of the primary's log, as seen last.
    pub end: Option<Point>,
    /// Statements that wait for a connection.
    pub waiting: usize,
    /// Connections open or lent.
    pub connections: u32,
}

/// What a group's tasks work with.
pub struct Setup {
    /// Which group.
    pub group: GroupId,
    /// How far data centres are apart.
    pub distances: Ways,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Where the tasks put up what is wrong with the group.
    pub reports: concern::Board,
    /// Tells whether a change of primary is under way.
    pub changes: Changes,
}

struct Group {
    id: Rc<GroupId>,
    pool: Pool<Conn, Reply>,
    watch: PrimaryMonitor,
    /// Whether this proxy holds connections of its own.
    own: bool,
    /// Whether it is known who holds connections.
    shared: bool,
    distances: Ways,
    metrics: Metrics,
    reports: concern::Board,
    changes: Changes,
    /// When to see next to connections that count.
    prepare_at: Time,
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
        pool: Pool::new().prefer_oldest(Conn::opened),
        watch: PrimaryMonitor::default(),
        own: true,
        shared: false,
        distances,
        metrics,
        reports,
        changes: changes.clone(),
        prepare_at: Time::default(),
        tx: tx.clone(),
    };
    compio::runtime::spawn(task.run(rx)).detach();
    let (proofs, requests) = flume::unbounded();
    let handle = Handle {
        tx,
        proofs,
        group: id.clone(),
    };
    let prover = Prover::new(id, handle.clone(), changes);
    compio::runtime::spawn(prover.run(requests)).detach();
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
            if let Some(message) = message {
                self.take(message, now);
            }
            if now >= tick || now >= due {
                let actions = self.pool.tick(now);
                self.act(actions);
            }
            if now >= tick {
                tick = now + TICK;
                self.look(now);
                self.voice(now);
                self.prepare(now);
            }
        }
    }

    fn take(&mut self, message: Message, now: Time) {
        let actions = match message {
            Message::Ask(ask, reply) => self.pool.request(ask, reply, now),
            Message::GiveBack(returned) => self.returned(returned, now),
            Message::Opened(id, result) => {
                if matches!(result, Err(OpenError::Unreachable)) {
                    self.pool.pause_reads(&id, now + probe::REST);
                }
                self.pool.open_completed(&id, result, now)
            }
            Message::Entries(entries, since) => self.entries(&entries, since, now),
            Message::Shares(shares) => {
                self.share(shares);
                Vec::new()
            }
            Message::Probed(report) => self.probed(report, now),
            Message::Feedback(id, note) => {
                self.noted(&id, note, now);
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
            Message::Release => self.pool.reject_unreachable(now),
            Message::Primary(id) => {
                self.watch.expect_primary(&id);
                self.look(now);
                Vec::new()
            }
        };
        self.act(actions);
    }

    fn returned(&mut self, returned: Returned, now: Time) -> Vec<Action<Conn, Reply>> {
        if let Some(proof) = returned.proof {
            self.proved(&returned.instance, proof);
        }
        if let Some(point) = returned.shown {
            self.pool.record_log_end(&returned.instance, point);
        }
        let conn = returned.conn;
        self.pool
            .release(&returned.instance, conn, returned.took, now)
    }

    fn proved(&mut self, id: &InstanceId, proof: Proof) {
        if self.watch.record_proof(id, proof.since) {
            tracing::info!(group = %self.id, instance = %id, "the primary is well again");
        }
        if self.pool.record_proof(id, proof) {
            tracing::info!(
                group = %self.id,
                instance = %id,
                point = %proof.point,
                asked = %proof.since,
                "an instance proved that it leads"
            );
        }
    }

    fn disproved(&mut self, id: &InstanceId, cause: &'static str) {
        if self.pool.clear_primary(id) {
            tracing::warn!(group = %self.id, instance = %id, cause, "the primary is no longer taken to lead");
        }
    }

    fn entries(&mut self, entries: &[Entry], since: Time, now: Time) -> Vec<Action<Conn, Reply>> {
        let distances = self.distances.clone();
        let way = |e: &Entry| distances.round_trip(&e.data_centre);
        let actions = self.pool.set_entries_since(entries, way, since, now);
        self.watch.set_entries(entries);
        self.look(now);
        actions
    }

    fn share(&mut self, shares: Shares) {
        let Shares {
            connections,
            holders,
            is_holder,
        } = shares;
        self.pool.set_shares(connections, holders, is_holder);
        if self.own != shares.is_holder {
            if self.shared {
                tracing::info!(group = %self.id, own = shares.is_holder, holders = shares.holders, "who holds connections has changed");
            }
            self.own = shares.is_holder;
            // A proxy that no longer looks must not go on doubting.
            self.watch.reset();
        }
        self.shared = true;
    }

    fn noted(&mut self, id: &InstanceId, note: Feedback, now: Time) {
        match note {
            Feedback::ReadOnly => {
                self.disproved(id, "it refused a write");
                self.look(now);
            }
            Feedback::Busy => self.pool.record_overload(id, now),
            Feedback::Lacks(point) => self.pool.record_lack(id, point, now),
            Feedback::Silent => {
                self.pool.pause_reads(id, now + probe::REST);
                self.watch.connection_failed(id, now);
                self.look(now);
            }
            Feedback::WriteStalls => self.watch.record_stall(id, now),
            Feedback::Wrote => self.watch.record_write(id),
        }
    }

    fn view(&self) -> View {
        View {
            primary: self.pool.primary().cloned(),
            end: self.pool.newest_proof().map(|p| p.point),
            waiting: self.pool.waiting(),
            connections: self.pool.instances().map(pool::Instance::count).sum(),
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

    /// Sees to it that there is a connection that counts to each replica before it is needed:
    /// opens one, and asks the store.
    ///
    /// Load: a primary is lost, and the replica that proved writes leads next. Harm without it:
    /// connections to the other one do not count before the change is over, and the first
    /// writes are in doubt.
    fn prepare(&mut self, now: Time) {
        if now < self.prepare_at {
            return;
        }
        self.prepare_at = now + PREPARE_PAUSE;
        let actions = self.pool.open_missing(now);
        self.act(actions);
        let is_eligible = |opened| self.changes.is_eligible(&self.id, opened);
        if !self.pool.oldest_per_replica().all(is_eligible) {
            self.changes.refresh();
        }
    }

    /// Puts up what is wrong with the group, if anything is.
    fn voice(&self, now: Time) {
        let lags_for = self.pool.lagging_for(now);
        let concern = Concern {
            doubt: self.watch.suspicion(now),
            lags: lags_for.is_some_and(|lags| lags >= LAGS),
        };
        self.reports.set_own(&self.id, concern);
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
                Action::Reject(reply, refused) => {
                    let _ = reply.send(Err(refused));
                }
                Action::Open(id) => self.open(&id),
                Action::Close(conn) => compio::runtime::spawn(conn.close()).detach(),
            }
        }
    }

    fn open(&self, id: &InstanceId) {
        let Some(instance) = self.pool.instance(id) else {
            return;
        };
        let address = instance.entry().address;
        let (tx, group, id) = (self.tx.clone(), self.id.clone(), id.clone());
        let metrics = self.metrics.clone();
        compio::runtime::spawn(async move {
            let opened = Conn::open(address, &group, &id, OPEN_LIMIT).await;
            metrics.opened(opened.is_ok());
            let result = opened.map_err(|e| open_fault(&group, &id, &e));
            let _ = tx.send(Message::Opened(id, result));
        })
        .detach();
    }
}

fn open_fault(group: &GroupId, id: &InstanceId, e: &ConnError) -> OpenError {
    let full = matches!(
        e,
        ConnError::Refused(model::statement::Code::TooManyConnections)
    );
    tracing::info!(%group, instance = %id, cause = %e, "no connection could be opened");
    if full {
        OpenError::Full
    } else {
        OpenError::Unreachable
    }
}
