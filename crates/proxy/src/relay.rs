//! Ways to a backend server through a peer: the face of the task that grants them.
//!
//! A proxy that cannot reach a primary which a peer still reaches asks that peer for a
//! ticket by an authenticated request, opens a connection to the peer's relay listener,
//! presents the ticket, and from then on speaks to the backend server.

mod task;

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use compio::io::AsyncWriteExt as _;
use compio::net::{TcpListener, TcpStream};
use indexmap::IndexMap;
use model::id::{GroupId, InstanceId, ProxyId};
use peer::server::Call;

use crate::{backend, fleet};

/// Path under which peers ask for a ticket.
pub const PATH: &str = "/peer/relay";

/// Longest wait for a peer's answer, between regions with a lost packet.
const ASK: Duration = Duration::from_millis(500);

/// Bytes of a ticket.
const TICKET: usize = 16;

/// The backend server that a connection is to be relayed to.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Goal {
    /// Its group.
    pub group: GroupId,
    /// The backend server.
    pub instance: InstanceId,
}

/// Permission for one connection, for a few seconds.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Ticket {
    /// Where to connect.
    pub address: SocketAddr,
    /// What to present there first.
    pub secret: [u8; TICKET],
}

/// Answer to a request for a ticket; `None` when the peer relays nothing there.
pub type Granted = Option<Ticket>;

/// Why there is no way through a peer. Nothing was sent to the backend server.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// The peer is not known to run.
    #[error("proxy {0} is not known to run")]
    UnknownPeer(ProxyId),
    /// The peer gave no usable answer.
    #[error(transparent)]
    Peer(#[from] peer::client::Error),
    /// The peer relays nothing there.
    #[error("proxy {0} does not relay to this server")]
    Refused(ProxyId),
    /// The socket failed.
    #[error("the socket failed")]
    Io(#[from] io::Error),
}

/// What the task is started with.
pub struct Setup {
    /// Own address; the listener takes a free port there.
    pub local: IpAddr,
    /// The configuration in force: only its backend servers are relayed to.
    pub fleet: fleet::Handle,
    /// Sends requests to peers.
    pub client: peer::Client,
}

enum Request {
    Peers(IndexMap<ProxyId, SocketAddr>),
    Address(ProxyId, flume::Sender<Option<SocketAddr>>),
    Redeem([u8; TICKET], flume::Sender<Option<SocketAddr>>),
    Ended,
    Drain(flume::Sender<()>),
}

/// Opens the listener and starts the task on the current runtime.
pub async fn spawn(setup: Setup) -> io::Result<Handle> {
    let listener = TcpListener::bind(SocketAddr::new(setup.local, 0)).await?;
    let address = listener.local_addr()?;
    let (tx, rx) = flume::unbounded();
    let (calls_tx, calls) = flume::bounded(peer::server::QUEUE_CAPACITY);
    let handle = Handle {
        tx,
        calls: calls_tx,
        client: setup.client,
    };
    let task = task::Task::new(address, setup.fleet);
    compio::runtime::spawn(task.run(rx, calls)).detach();
    let redeem = handle.tx.downgrade();
    compio::runtime::spawn(task::accept(listener, setup.local, redeem)).detach();
    Ok(handle)
}

/// Opens ways through peers.
#[derive(Clone)]
pub struct Handle {
    tx: flume::Sender<Request>,
    calls: flume::Sender<Call<Goal, Granted>>,
    client: peer::Client,
}

impl Handle {
    /// Where requests of peers under [`PATH`] go.
    pub fn calls(&self) -> flume::Sender<Call<Goal, Granted>> {
        self.calls.clone()
    }

    /// The live proxies and where they hear peers.
    pub fn peers(&self, live: IndexMap<ProxyId, SocketAddr>) {
        let _ = self.tx.send(Request::Peers(live));
    }

    /// Relays nothing new, and completes when no relayed connection is left.
    ///
    /// Failure: this process is stopped while it carries a peer's request, whose outcome
    /// the peer could then not tell. Peers stop routing through a process that is being
    /// stopped, and close their connections as these come back.
    pub async fn drain(&self) {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Request::Drain(tx));
        let _ = rx.recv_async().await;
    }

    /// Opens a connection to a backend server through `peer`.
    pub async fn open(
        &self,
        local: IpAddr,
        peer: &ProxyId,
        goal: &Goal,
    ) -> Result<TcpStream, RelayError> {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Request::Address(peer.clone(), tx));
        let address = rx.recv_async().await.ok().flatten();
        let address = address.ok_or_else(|| RelayError::UnknownPeer(peer.clone()))?;
        let granted: Granted = self.client.call(address, PATH, goal, ASK, None).await?;
        let ticket = granted.ok_or_else(|| RelayError::Refused(peer.clone()))?;
        let mut stream = backend::dial(local, ticket.address).await?;
        stream
            .write_all(Bytes::copy_from_slice(&ticket.secret))
            .await
            .0?;
        Ok(stream)
    }
}
