//! A connection that is checked out of a pool.

use std::cell::RefCell;
use std::rc::Rc;

use model::id::InstanceId;
use model::position::Point;
use model::unit::Time;
use policy::pool::Grant;
use policy::replica_ack::Write;

use super::{Feedback, Handle, Message, Returned, probe};
use crate::conn::Conn;
use crate::relay::ReturnPath;

/// A checked-out connection; one that is dropped without a release counts as lost.
pub struct CheckedOut {
    origin: Origin,
    /// The instance that it is connected to.
    pub instance: InstanceId,
    /// The position that the log must have reached before a read.
    pub after: Option<Point>,
    /// Whether the instance must first prove that it is the primary.
    pub verify_primary: bool,
    conn: Option<Conn>,
}

/// The pool that a connection belongs to.
enum Origin {
    /// The pool of the group's task in this process.
    Local(Handle),
    /// The pool of another proxy; feedback is sent when the connection is returned.
    Relayed(ReturnPath, Rc<RefCell<Vec<Feedback>>>),
}

impl CheckedOut {
    /// A connection from the pool of this process.
    pub(super) fn local(handle: Handle, grant: Grant<Conn>) -> Self {
        Self {
            origin: Origin::Local(handle),
            instance: grant.instance,
            after: grant.after,
            verify_primary: grant.verify_primary,
            conn: Some(grant.conn),
        }
    }

    /// A connection from the pool of another proxy.
    pub fn relayed(
        way_back: ReturnPath,
        instance: InstanceId,
        after: Option<Point>,
        verify_primary: bool,
        conn: Conn,
    ) -> Self {
        Self {
            origin: Origin::Relayed(way_back, Rc::default()),
            instance,
            after,
            verify_primary,
            conn: Some(conn),
        }
    }

    /// The connection.
    pub fn conn(&mut self) -> Option<&mut Conn> {
        self.conn.as_mut()
    }

    /// When the connection was known to be open.
    pub fn opened(&self) -> Option<Time> {
        self.conn.as_ref().map(Conn::opened)
    }

    /// Returns the connection to its pool for reuse.
    pub fn release(mut self) {
        if let Some(conn) = self.conn.take() {
            self.return_conn(conn, true);
        }
    }

    /// Returns the connection after a write, and waits until a replica acknowledges the write;
    /// `false` if none does before `deadline`.
    pub async fn release_and_await_ack(mut self, point: Point, deadline: Time) -> bool {
        let Some(conn) = self.conn.take() else {
            return false;
        };
        let write = Write {
            primary: self.instance.clone(),
            point,
        };
        match &self.origin {
            Origin::Local(handle) => {
                let handle = handle.clone();
                self.return_conn(conn, true);
                handle.await_ack(write, deadline).await
            }
            Origin::Relayed(way_back, feedback) => {
                let feedback = feedback.take();
                way_back
                    .release_acknowledged(conn, feedback, write, deadline)
                    .await
            }
        }
    }

    /// Passes on what the session observed on the instance.
    pub fn record_feedback(&self, feedback: Feedback) {
        self.feedback_sender()(feedback);
    }

    /// A function that does the same while the connection is borrowed elsewhere.
    pub fn feedback_sender(&self) -> impl Fn(Feedback) + use<> {
        let instance = self.instance.clone();
        let (local, feedback) = match &self.origin {
            Origin::Local(handle) => (Some(handle.clone()), None),
            Origin::Relayed(_, feedback) => (None, Some(feedback.clone())),
        };
        move |observed| match (&local, &feedback) {
            (Some(handle), _) => handle.record_feedback(&instance, observed),
            (None, Some(feedback)) => feedback.borrow_mut().push(observed),
            (None, None) => {}
        }
    }

    fn return_conn(&mut self, mut conn: Conn, is_usable: bool) {
        match &self.origin {
            Origin::Local(handle) => {
                let returned = Returned {
                    instance: self.instance.clone(),
                    proof: conn.take_proof(),
                    service_time: conn.take_duration(),
                    log_end: conn.take_log_end(),
                    conn: is_usable.then_some(conn),
                };
                handle.send(Message::Returned(returned));
            }
            Origin::Relayed(way_back, feedback) => {
                way_back.release(conn, is_usable, feedback.take());
            }
        }
    }

    /// Reports the connection's freshness proof while it stays checked out. The proof of a
    /// connection from another proxy is sent when the connection is returned.
    pub fn report_proof(&mut self) {
        let Origin::Local(handle) = &self.origin else {
            return;
        };
        let proof = self.conn.as_mut().and_then(Conn::take_proof);
        if let Some(proof) = proof {
            let report = probe::Report::from_session(self.instance.clone(), proof);
            handle.send(Message::Probed(report));
        }
    }
}

impl Drop for CheckedOut {
    fn drop(&mut self) {
        if let Some(conn) = self.conn.take() {
            self.return_conn(conn, false);
        }
    }
}
