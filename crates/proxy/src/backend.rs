//! Connections to backend servers.

mod connect;
mod state;

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use model::config::Group;
use model::id::ProxyId;
use pg::frame::{FrameError, Piece, Splitter};
use pg::startup::Key;
use pg::wire::{Wire, WireError};

use crate::relay;

pub(crate) use connect::dial;
pub use connect::{ConnectError, cancel, connect};
pub use state::{Status, Tracker};

/// Largest message of a backend server that is not row data, such as a row
/// description or an error; it is held whole.
const MESSAGE_LIMIT: usize = 1 << 20;

/// Identifies a prepared statement's text on every connection.
pub type StatementId = [u8; 16];

/// How to log in to a group's backend servers.
#[derive(Clone, PartialEq, Eq)]
pub struct Login {
    /// User name.
    pub user: String,
    /// Database name.
    pub database: String,
    /// Password, if the server asks for one.
    pub password: Option<String>,
}

impl Login {
    /// Whether this is the login of the group's declaration.
    pub fn is_of(&self, spec: &Group) -> bool {
        (&self.user, &self.database, &self.password) == (&spec.user, &spec.database, &spec.password)
    }
}

/// Where a connection goes, and from which address.
#[derive(Clone)]
pub struct Path {
    /// Own address.
    pub local: IpAddr,
    /// Address of the backend server.
    pub remote: SocketAddr,
    /// The peer that relays to it, when it is out of reach from here.
    pub via: Option<Rc<Via>>,
}

/// A peer that relays to a backend server.
pub struct Via {
    /// Opens the way.
    pub relay: relay::Handle,
    /// The peer.
    pub peer: ProxyId,
    /// The backend server.
    pub goal: relay::Goal,
}

/// One connection to a backend server.
///
/// Invariant: only the task that holds it reads or writes it.
pub struct Conn {
    wire: Wire,
    splitter: Splitter,
    tracker: Tracker,
    path: Path,
    key: Key,
    opened: Instant,
    /// Statements prepared on it, oldest first.
    pub prepared: IndexSet<StatementId>,
    /// Settings that differ from the connection's beginnings.
    pub vars: IndexMap<String, String>,
}

impl Conn {
    /// Whether the next session may use it: nothing is awaited, no transaction is
    /// open, nothing was left behind, and no byte was read ahead.
    pub fn is_clean(&self) -> bool {
        self.tracker.is_clean() && self.wire.is_drained() && !self.splitter.inside()
    }

    /// Marks it as not fit for another session.
    pub fn taint(&mut self) {
        self.tracker.taint();
    }

    /// State of the transaction as last reported.
    pub fn status(&self) -> Status {
        self.tracker.status()
    }

    /// Where it goes.
    pub fn path(&self) -> Path {
        self.path.clone()
    }

    /// Key for cancelling what runs on it.
    pub fn key(&self) -> Key {
        self.key
    }

    /// When it was opened.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// Sends messages that the server will answer with `readies` ready messages.
    ///
    /// Until then the connection counts as busy; dropping the future leaves it so,
    /// and it is closed instead of reused.
    pub async fn send(&mut self, bytes: Bytes, readies: u32) -> Result<(), WireError> {
        self.tracker.sent(readies);
        self.wire.write(bytes).await
    }

    /// Sends messages after which the server waits for more, with no ready message due.
    ///
    /// `readies` counts the ready messages of what was sent ahead of them.
    pub async fn send_open(&mut self, bytes: Bytes, readies: u32) -> Result<(), WireError> {
        self.tracker.sent(readies);
        self.tracker.open();
        self.wire.write(bytes).await
    }

    /// The next piece of the answer that has already arrived.
    pub fn piece(&mut self) -> Result<Option<Piece>, FrameError> {
        let piece = self.splitter.take(self.wire.buf(), MESSAGE_LIMIT)?;
        if let Some(Piece::Frame(frame)) = &piece {
            self.tracker.received(frame);
        }
        Ok(piece)
    }

    /// Waits for more bytes of the answer. Keep the future until it completes, or
    /// drop the connection: bytes may be lost with it.
    pub async fn fill(&mut self) -> Result<(), WireError> {
        self.wire.fill().await.map(drop)
    }

    /// Whether a row was passed on in part only.
    pub fn inside_row(&self) -> bool {
        self.splitter.inside()
    }
}
