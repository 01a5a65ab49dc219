//! The handle through which other tasks use a group's task.

use std::rc::Rc;

use model::entry::Entry;
use model::id::{GroupId, InstanceId};
use model::unit::{Span, Time};
use policy::pool::{ConnRequest, Reason, Rejection};
use policy::replica_ack::{Replica, Write};

use super::replica_ack::Request;
use super::{CheckedOut, Feedback, Message, Shares, View};

/// Sends messages to a group's task.
#[derive(Clone)]
pub struct Handle {
    pub(super) tx: flume::Sender<Message>,
    pub(super) acks: flume::Sender<Request>,
    pub(super) group: Rc<GroupId>,
}

impl Handle {
    pub(super) fn send(&self, message: Message) {
        // The task ends only with the process.
        let _ = self.tx.send(message);
    }

    /// The group.
    pub fn group(&self) -> &GroupId {
        &self.group
    }

    /// Waits for a connection or a rejection.
    pub async fn request(&self, request: ConnRequest) -> Result<CheckedOut, Rejection> {
        let (tx, rx) = flume::bounded(1);
        self.send(Message::Request(request, tx));
        let stopped = Rejection {
            reason: Reason::NoInstance,
            retry_after: Span::from_millis(0),
        };
        let grant = rx.recv_async().await.unwrap_or(Err(stopped))?;
        Ok(CheckedOut::local(self.clone(), grant))
    }

    /// Sets the announced instances, which may have been announced from `since` on.
    pub fn set_entries(&self, entries: Vec<Entry>, since: Time) {
        self.send(Message::Entries(entries, since));
    }

    /// Sets how connections are divided among proxies.
    pub fn set_shares(&self, shares: Shares) {
        self.send(Message::Shares(shares));
    }

    /// Passes on what a session observed on an instance.
    pub fn record_feedback(&self, instance: &InstanceId, feedback: Feedback) {
        self.send(Message::Feedback(instance.clone(), feedback));
    }

    /// Expects an instance to be the new primary, so that it is probed first.
    pub fn expect_primary(&self, instance: &InstanceId) {
        self.send(Message::ExpectPrimary(instance.clone()));
    }

    /// Rejects the requests that wait for unreachable instances, since another proxy reaches
    /// the group and can serve them.
    pub fn reject_unreachable(&self) {
        self.send(Message::RejectUnreachable);
    }

    /// Waits until a replica acknowledges a write; `false` if none does before `deadline`.
    pub async fn await_ack(&self, write: Write, deadline: Time) -> bool {
        let (reply, rx) = flume::bounded(1);
        let request = Request {
            write,
            deadline,
            reply,
        };
        // The task ends only with the process.
        let _ = self.acks.send(request);
        rx.recv_async().await.unwrap_or(false)
    }

    pub(super) async fn replicas(&self) -> Vec<Replica> {
        let (tx, rx) = flume::bounded(1);
        self.send(Message::Replicas(tx));
        rx.recv_async().await.unwrap_or_default()
    }

    /// Returns a snapshot of the task's state.
    pub async fn view(&self) -> View {
        let (tx, rx) = flume::bounded(1);
        self.send(Message::View(tx));
        rx.recv_async().await.unwrap_or_default()
    }
}
