//! The pool of one backend server: the face of the task that owns its idle connections.

pub mod core;
mod task;

use std::net::{IpAddr, SocketAddr};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::Instant;

use model::id::{InstanceId, ProxyId};

use crate::backend::{self, ConnectError, Login, Via};

/// Why there is no connection. Nothing was sent.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PoolError {
    /// A new connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(Rc<ConnectError>),
    /// All connections were taken until the deadline.
    #[error("no connection became free in time")]
    Deadline,
    /// The pool is closing.
    #[error("the pool is closing")]
    Stopping,
}

/// What a pool is started with.
#[derive(Clone)]
pub struct Setup {
    /// The backend server.
    pub instance: InstanceId,
    /// Its address.
    pub address: SocketAddr,
    /// Own address, to which connections are bound.
    pub local: IpAddr,
    /// The peer that relays to it, when it is out of reach from here.
    pub via: Option<Rc<Via>>,
    /// How to log in.
    pub login: Login,
    /// Connections that may be open at first.
    pub limit: u32,
}

/// A connection out of the pool.
///
/// Dropping it closes it; only [`Handle::release`] brings it back.
pub struct Conn {
    conn: backend::Conn,
    _lease: Lease,
}

impl Deref for Conn {
    type Target = backend::Conn;

    fn deref(&self) -> &backend::Conn {
        &self.conn
    }
}

impl DerefMut for Conn {
    fn deref_mut(&mut self) -> &mut backend::Conn {
        &mut self.conn
    }
}

/// Tells the pool when a connection is gone, so that the count stays right
/// however its holder ends.
struct Lease(flume::WeakSender<Request>);

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(tx) = self.0.upgrade() {
            let _ = tx.send(Request::Gone);
        }
    }
}

/// How many connections a pool has and needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Connections that are open or being opened.
    pub open: u32,
    /// Connections that are handed out or being opened for someone.
    pub busy: u32,
    /// Requests that wait for a connection.
    pub waiting: u32,
}

type Waiter = flume::Sender<Result<Conn, PoolError>>;

enum Request {
    Acquire(Waiter),
    Release(Box<Conn>),
    Opened(Box<Result<backend::Conn, ConnectError>>),
    Gone,
    Limit(u32),
    Usage(flume::Sender<Usage>),
    Purge,
}

/// Sends requests to the pool of one backend server.
#[derive(Clone)]
pub struct Handle {
    address: SocketAddr,
    via: Option<Rc<Via>>,
    tx: flume::Sender<Request>,
}

/// Starts a pool on the current runtime.
pub fn spawn(setup: Setup) -> Handle {
    let (tx, rx) = flume::unbounded();
    let (address, via) = (setup.address, setup.via.clone());
    compio::runtime::spawn(task::run(setup, tx.downgrade(), rx)).detach();
    Handle { address, via, tx }
}

impl Handle {
    /// Address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The peer that relays to the backend server, if one does.
    pub fn via(&self) -> Option<&ProxyId> {
        self.via.as_ref().map(|via| &via.peer)
    }

    /// Takes a connection, opening one if the limit allows.
    pub async fn acquire(&self, deadline: Instant) -> Result<Conn, PoolError> {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Request::Acquire(tx));
        match compio::time::timeout_at(deadline, rx.recv_async()).await {
            Ok(Ok(conn)) => conn,
            Ok(Err(_)) => Err(PoolError::Stopping),
            Err(_) => Err(PoolError::Deadline),
        }
    }

    /// Brings a connection back; one that is not clean is closed.
    pub fn release(&self, conn: Conn) {
        if conn.is_clean() {
            let _ = self.tx.send(Request::Release(Box::new(conn)));
        }
    }

    /// Changes how many connections may be open; idle ones above it are closed at once,
    /// others when they come back.
    pub fn set_limit(&self, limit: u32) {
        let _ = self.tx.send(Request::Limit(limit));
    }

    /// How many connections the pool has and needs.
    pub async fn usage(&self) -> Usage {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Request::Usage(tx));
        rx.recv_async().await.unwrap_or_default()
    }

    /// Closes the idle connections: the server broke one, and the rest have
    /// probably met the same end without having shown it yet.
    pub fn purge(&self) {
        let _ = self.tx.send(Request::Purge);
    }
}
