//! Asking replicas whether they hold writes that the primary has answered.

use std::rc::Rc;
use std::time::Duration;

use model::id::{GroupId, InstanceId};
use model::unit::{Span, Time};
use policy::pool::{ConnRequest, Kind};
use policy::replica_ack::{self, PendingAcks, Replica, Unresponsive, Write};

use super::{CheckedOut, Handle};
use crate::changes::Changes;
use crate::clock;

/// Longest wait for a replica's answer: a round trip between regions, and a slot that comes
/// free.
const ANSWER: Duration = Duration::from_millis(150);

/// First and longest pause after all replicas were asked in vain; it doubles. Load: replicas
/// that are behind for seconds. Harm without it: the questions of all proxies fill their
/// slots.
const PAUSES: (Span, Span) = (Span::from_millis(5), Span::from_millis(100));

/// Longest wait for the store's answer, while connections that do not count are held.
const CHECK: Duration = Duration::from_millis(100);

/// Least time between two questions to the store whether a change of primary is under way.
const CHECK_PAUSE: Span = Span::from_millis(60);

/// A write whose caller waits.
pub(super) struct Request {
    pub(super) write: Write,
    pub(super) give_up: Time,
    pub(super) reply: flume::Sender<bool>,
}

/// The task that proves a group's writes.
pub(super) struct Prover {
    group: Rc<GroupId>,
    handle: Handle,
    changes: Changes,
    unproven: PendingAcks<flume::Sender<bool>>,
    silent: Unresponsive,
    /// Before which time the store is not asked again.
    check_at: Time,
    pause: Span,
}

impl Prover {
    pub(super) fn new(group: Rc<GroupId>, handle: Handle, changes: Changes) -> Self {
        Self {
            group,
            handle,
            changes,
            unproven: PendingAcks::default(),
            silent: Unresponsive::default(),
            check_at: Time::default(),
            pause: PAUSES.0,
        }
    }

    /// Proves writes for as long as the process runs.
    pub(super) async fn run(mut self, rx: flume::Receiver<Request>) {
        while let Ok(request) = rx.recv_async().await {
            self.add(request);
            while !self.unproven.is_empty() {
                self.ask_all(&rx).await;
            }
        }
    }

    fn add(&mut self, request: Request) {
        let Request {
            write,
            give_up,
            reply,
        } = request;
        self.unproven.add(write, give_up, reply);
    }

    /// Asks one replica after the other until no write is left.
    async fn ask_all(&mut self, rx: &flume::Receiver<Request>) {
        let mut replicas = self.handle.replicas().await;
        replicas.retain(Replica::may_acknowledge);
        let mut left_out = Vec::new();
        for replica in replica_ack::by_preference(replicas, &self.silent, clock::now()) {
            let Some(lent) = self.lend(&replica.id).await else {
                continue;
            };
            if self.is_eligible(&lent) {
                self.ask(lent, rx).await;
            } else {
                left_out.push(lent);
            }
            if self.unproven.is_empty() {
                break;
            }
        }
        if !self.unproven.is_empty() && !left_out.is_empty() {
            self.check().await;
        }
        for lent in left_out {
            if !self.unproven.is_empty() && self.is_eligible(&lent) {
                self.ask(lent, rx).await;
            } else {
                lent.release();
            }
        }
        self.give_up();
        if !self.unproven.is_empty() {
            compio::time::sleep(self.pause.as_duration()).await;
            self.pause = self.pause.times(2).min(PAUSES.1);
        }
    }

    /// Asks a replica on a connection that counts.
    async fn ask(&mut self, mut lent: CheckedOut, rx: &flume::Receiver<Request>) {
        let id = lent.instance.clone();
        let Some(conn) = lent.conn() else { return };
        let end = match conn.log_end(ANSWER).await {
            Ok(end) => {
                lent.release();
                self.silent.remove(&id);
                end
            }
            Err(e) => {
                tracing::info!(group = %self.group, instance = %id, cause = %e, "a replica did not tell what it holds");
                self.silent.add(id.clone(), clock::now());
                None
            }
        };
        for request in rx.drain() {
            self.add(request);
        }
        if let Some(end) = end {
            let held = self.unproven.take_held(&id, end);
            if !held.is_empty() {
                self.pause = PAUSES.0;
            }
            tell(held, true);
        }
    }

    /// Answers those whose callers wait no longer.
    fn give_up(&mut self) {
        let expired = self.unproven.take_expired(clock::now());
        if !expired.is_empty() {
            tracing::warn!(group = %self.group, writes = expired.len(), "writes have an answer, but no replica is known to hold them");
        }
        tell(expired, false);
    }

    async fn lend(&mut self, id: &InstanceId) -> Option<CheckedOut> {
        let now = clock::now();
        let ask = ConnRequest {
            kind: Kind::Control(id.clone()),
            own_write: None,
            arrived: now,
            deadline: now + Span::from(ANSWER),
            priority: 0,
            avoid: None,
            may_wait: true,
        };
        let lent = self.handle.request(ask).await;
        if lent.is_err() {
            self.silent.add(id.clone(), clock::now());
        }
        lent.ok()
    }

    fn is_eligible(&self, lent: &CheckedOut) -> bool {
        let opened = lent.opened();
        opened.is_some_and(|opened| self.changes.is_eligible(&self.group, opened))
    }

    /// Asks the store whether a change of primary is under way, so that more connections may
    /// count.
    async fn check(&mut self) {
        let now = clock::now();
        if now < self.check_at {
            return;
        }
        self.check_at = now + CHECK_PAUSE;
        let answered = self.changes.ask();
        let answered = answered.recv_async();
        if compio::time::timeout(CHECK, answered).await.is_err() {
            tracing::info!(group = %self.group, "the store has not told yet whether a change of primary is under way");
        }
    }
}

fn tell(who: Vec<flume::Sender<bool>>, held: bool) {
    for reply in who {
        // The caller may have gone.
        let _ = reply.send(held);
    }
}
