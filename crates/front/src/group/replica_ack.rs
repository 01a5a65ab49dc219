//! Queries replicas whether they hold writes that the primary has confirmed.

use std::rc::Rc;
use std::time::Duration;

use model::customer::CustomerPriority;
use model::id::{GroupId, InstanceId};
use model::unit::{Span, Time};
use policy::pool::{ConnRequest, Kind};
use policy::replica_ack::{self, PendingAcks, Replica, Unresponsive, Write};

use super::{CheckedOut, Handle};
use crate::clock;
use crate::pending_changes::Changes;

/// Timeout of a query to a replica: a round trip between regions and the wait for a free slot.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// First and longest delay after all replicas were queried without success; it doubles.
/// Replicas may lag for seconds; without the delay, the queries of all proxies would fill
/// their slots.
const RETRY_DELAYS: (Span, Span) = (Span::from_millis(5), Span::from_millis(100));

/// Longest wait for the pending changes from the store while ineligible connections are
/// checked out.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(100);

/// Shortest interval between two refreshes of the pending changes from the store.
const REFRESH_INTERVAL: Span = Span::from_millis(60);

/// A write whose caller waits for an acknowledgement.
pub(super) struct Request {
    pub(super) write: Write,
    pub(super) deadline: Time,
    pub(super) reply: flume::Sender<bool>,
}

/// The task that collects the replicas' acknowledgements of a group's writes.
pub(super) struct AckCollector {
    group: Rc<GroupId>,
    handle: Handle,
    changes: Changes,
    pending: PendingAcks<flume::Sender<bool>>,
    unresponsive: Unresponsive,
    /// When the pending changes may be refreshed again.
    refresh_at: Time,
    retry_delay: Span,
}

impl AckCollector {
    pub(super) fn new(group: Rc<GroupId>, handle: Handle, changes: Changes) -> Self {
        Self {
            group,
            handle,
            changes,
            pending: PendingAcks::default(),
            unresponsive: Unresponsive::default(),
            refresh_at: Time::default(),
            retry_delay: RETRY_DELAYS.0,
        }
    }

    /// Collects acknowledgements for as long as the process runs.
    pub(super) async fn run(mut self, rx: flume::Receiver<Request>) {
        while let Ok(request) = rx.recv_async().await {
            self.add(request);
            while !self.pending.is_empty() {
                self.query_all(&rx).await;
            }
        }
    }

    fn add(&mut self, request: Request) {
        let Request {
            write,
            deadline,
            reply,
        } = request;
        self.pending.add(write, deadline, reply);
    }

    /// Queries one replica after the other until no write is pending.
    async fn query_all(&mut self, rx: &flume::Receiver<Request>) {
        let mut replicas = self.handle.replicas().await;
        replicas.retain(Replica::may_acknowledge);
        let mut ineligible = Vec::new();
        for replica in replica_ack::by_preference(replicas, &self.unresponsive, clock::now()) {
            let Some(checkout) = self.checkout(&replica.id).await else {
                continue;
            };
            if self.is_eligible(&checkout) {
                self.query(checkout, rx).await;
            } else {
                ineligible.push(checkout);
            }
            if self.pending.is_empty() {
                break;
            }
        }
        if !self.pending.is_empty() && !ineligible.is_empty() {
            self.refresh().await;
        }
        for checkout in ineligible {
            if !self.pending.is_empty() && self.is_eligible(&checkout) {
                self.query(checkout, rx).await;
            } else {
                checkout.release();
            }
        }
        self.reply_expired();
        if !self.pending.is_empty() {
            compio::time::sleep(self.retry_delay.as_duration()).await;
            self.retry_delay = self.retry_delay.times(2).min(RETRY_DELAYS.1);
        }
    }

    /// Queries a replica on an eligible connection.
    async fn query(&mut self, mut checkout: CheckedOut, rx: &flume::Receiver<Request>) {
        let id = checkout.instance.clone();
        let Some(conn) = checkout.conn() else { return };
        let end = match conn.log_end(RESPONSE_TIMEOUT).await {
            Ok(end) => {
                checkout.release();
                self.unresponsive.remove(&id);
                end
            }
            Err(e) => {
                tracing::info!(group = %self.group, instance = %id, cause = %e, "a replica did not report its log end");
                self.unresponsive.add(id.clone(), clock::now());
                None
            }
        };
        for request in rx.drain() {
            self.add(request);
        }
        if let Some(end) = end {
            let held = self.pending.take_held(&id, end);
            if !held.is_empty() {
                self.retry_delay = RETRY_DELAYS.0;
            }
            reply_all(held, true);
        }
    }

    /// Reports failure for the writes whose deadline has passed.
    fn reply_expired(&mut self) {
        let expired = self.pending.take_expired(clock::now());
        if !expired.is_empty() {
            tracing::warn!(group = %self.group, writes = expired.len(), "the primary confirmed writes, but no replica acknowledged them");
        }
        reply_all(expired, false);
    }

    async fn checkout(&mut self, id: &InstanceId) -> Option<CheckedOut> {
        let now = clock::now();
        let request = ConnRequest {
            kind: Kind::Control(id.clone()),
            customer: None,
            customer_priority: CustomerPriority::default(),
            own_write: None,
            arrived: now,
            objective: Span::from(RESPONSE_TIMEOUT),
            deadline: now + Span::from(RESPONSE_TIMEOUT),
            priority: 0,
            avoid: None,
            may_wait: true,
        };
        let checkout = self.handle.request(request).await;
        if checkout.is_err() {
            self.unresponsive.add(id.clone(), clock::now());
        }
        checkout.ok()
    }

    fn is_eligible(&self, checkout: &CheckedOut) -> bool {
        let opened = checkout.opened();
        opened.is_some_and(|opened| self.changes.is_eligible(&self.group, opened))
    }

    /// Refreshes the pending changes of primary from the store, so that more connections may
    /// become eligible.
    async fn refresh(&mut self) {
        let now = clock::now();
        if now < self.refresh_at {
            return;
        }
        self.refresh_at = now + REFRESH_INTERVAL;
        let refreshed = self.changes.query();
        let refreshed = refreshed.recv_async();
        if compio::time::timeout(REFRESH_TIMEOUT, refreshed)
            .await
            .is_err()
        {
            tracing::info!(group = %self.group, "the store has not responded yet whether a change of primary is under way");
        }
    }
}

fn reply_all(replies: Vec<flume::Sender<bool>>, held: bool) {
    for reply in replies {
        // The caller may no longer wait.
        let _ = reply.send(held);
    }
}
