//! A connection on loan.

use std::cell::RefCell;
use std::rc::Rc;

use model::id::InstanceId;
use model::position::Point;
use model::unit::Time;
use policy::pool::Grant;
use policy::replica_ack::Write;

use super::{Feedback, Handle, Message, Returned, probe};
use crate::conn::Conn;
use crate::relay::WayBack;

/// A connection on loan; dropping it unreturned counts it as lost.
pub struct CheckedOut {
    home: Home,
    /// Whose connection it is.
    pub instance: InstanceId,
    /// The read must carry this point.
    pub after: Option<Point>,
    /// The instance must first prove that it leads.
    pub verify_primary: bool,
    conn: Option<Conn>,
}

/// Where a connection comes from.
enum Home {
    /// The group's task of this process.
    Here(Handle),
    /// Another proxy; what was learned goes back with the connection.
    Relayed(WayBack, Rc<RefCell<Vec<Feedback>>>),
}

impl CheckedOut {
    /// A loan of this process's own.
    pub(super) fn here(handle: Handle, grant: Grant<Conn>) -> Self {
        Self {
            home: Home::Here(handle),
            instance: grant.instance,
            after: grant.after,
            verify_primary: grant.verify_primary,
            conn: Some(grant.conn),
        }
    }

    /// A loan of another proxy.
    pub fn relayed(
        way_back: WayBack,
        instance: InstanceId,
        after: Option<Point>,
        verify_primary: bool,
        conn: Conn,
    ) -> Self {
        Self {
            home: Home::Relayed(way_back, Rc::default()),
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

    /// Gives the connection back for others to use.
    pub fn release(mut self) {
        if let Some(conn) = self.conn.take() {
            self.send(conn, true);
        }
    }

    /// Gives the connection back after a write, and waits until a replica is known to hold
    /// it; `false` if none is until `give_up`.
    pub async fn release_and_await_ack(mut self, point: Point, give_up: Time) -> bool {
        let Some(conn) = self.conn.take() else {
            return false;
        };
        let write = Write {
            primary: self.instance.clone(),
            point,
        };
        match &self.home {
            Home::Here(handle) => {
                let handle = handle.clone();
                self.send(conn, true);
                handle.await_ack(write, give_up).await
            }
            Home::Relayed(way_back, notes) => {
                let notes = notes.take();
                way_back.prove(conn, notes, write, give_up).await
            }
        }
    }

    /// Tells what the session learned about the instance.
    pub fn record_feedback(&self, note: Feedback) {
        self.feedback_sender()(note);
    }

    /// The same, for as long as the connection is in use.
    pub fn feedback_sender(&self) -> impl Fn(Feedback) + use<> {
        let instance = self.instance.clone();
        let (here, notes) = match &self.home {
            Home::Here(handle) => (Some(handle.clone()), None),
            Home::Relayed(_, notes) => (None, Some(notes.clone())),
        };
        move |note| match (&here, &notes) {
            (Some(handle), _) => handle.record_feedback(&instance, note),
            (None, Some(notes)) => notes.borrow_mut().push(note),
            (None, None) => {}
        }
    }

    fn send(&mut self, mut conn: Conn, usable: bool) {
        match &self.home {
            Home::Here(handle) => {
                let returned = Returned {
                    instance: self.instance.clone(),
                    proof: conn.take_proof(),
                    took: conn.take_time(),
                    shown: conn.take_shown(),
                    conn: usable.then_some(conn),
                };
                handle.send(Message::GiveBack(returned));
            }
            Home::Relayed(way_back, notes) => {
                way_back.give_back(conn, usable, notes.take());
            }
        }
    }

    /// Tells the group early what the connection proved, while it stays on loan. The proof
    /// of a loan from another proxy goes back with it.
    pub fn report_proof(&mut self) {
        let Home::Here(handle) = &self.home else {
            return;
        };
        let proof = self.conn.as_mut().and_then(Conn::take_proof);
        if let Some(proof) = proof {
            let report = probe::Report::proved(self.instance.clone(), proof);
            handle.send(Message::Probed(report));
        }
    }
}

impl Drop for CheckedOut {
    fn drop(&mut self) {
        if let Some(conn) = self.conn.take() {
            self.send(conn, false);
        }
    }
}
