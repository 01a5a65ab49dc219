//! How others talk to a group's task.

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
    pub(super) proofs: flume::Sender<Request>,
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

    /// Waits for a connection or a refusal.
    pub async fn request(&self, ask: ConnRequest) -> Result<CheckedOut, Rejection> {
        let (tx, rx) = flume::bounded(1);
        self.send(Message::Ask(ask, tx));
        let stopped = Rejection {
            reason: Reason::NoInstance,
            retry_after: Span::from_millis(0),
        };
        let grant = rx.recv_async().await.unwrap_or(Err(stopped))?;
        Ok(CheckedOut::here(self.clone(), grant))
    }

    /// Takes over the announced instances, which may have been so since this time.
    pub fn set_entries(&self, entries: Vec<Entry>, since: Time) {
        self.send(Message::Entries(entries, since));
    }

    /// Takes over who holds connections.
    pub fn set_shares(&self, shares: Shares) {
        self.send(Message::Shares(shares));
    }

    /// Tells what was learned about an instance.
    pub fn record_feedback(&self, instance: &InstanceId, note: Feedback) {
        self.send(Message::Feedback(instance.clone(), note));
    }

    /// An instance was made primary: it is looked at first.
    pub fn expect_primary(&self, instance: &InstanceId) {
        self.send(Message::Primary(instance.clone()));
    }

    /// Another proxy reaches the group: who waits here for instances out of reach goes there.
    pub fn release(&self) {
        self.send(Message::Release);
    }

    /// Waits until a replica is known to hold a write; `false` if none is until `give_up`.
    pub async fn await_ack(&self, write: Write, give_up: Time) -> bool {
        let (reply, rx) = flume::bounded(1);
        let request = Request {
            write,
            give_up,
            reply,
        };
        // The task ends only with the process.
        let _ = self.proofs.send(request);
        rx.recv_async().await.unwrap_or(false)
    }

    pub(super) async fn replicas(&self) -> Vec<Replica> {
        let (tx, rx) = flume::bounded(1);
        self.send(Message::Replicas(tx));
        rx.recv_async().await.unwrap_or_default()
    }

    /// What the task knows.
    pub async fn view(&self) -> View {
        let (tx, rx) = flume::bounded(1);
        self.send(Message::View(tx));
        rx.recv_async().await.unwrap_or_default()
    }
}
