//! Shares of the backend servers' connections: the interface of the task that borrows and
//! lends them.

mod authority;
mod task;

use std::net::SocketAddr;
use std::time::Instant;

use indexmap::IndexMap;
use model::id::{DataCentre, InstanceId, ProxyId};
use peer::server::Call;
use policy::share::{LoanRequest, LoanResponse};

use crate::{admit, fleet, pool};

/// Path of requests to the lender.
pub const PATH: &str = "/peer/share";

/// One proxy's requests for all backend servers that the lender lends.
pub type Requests = Vec<LoanRequest>;

/// Responses to the requests that arrived in time.
pub type Responses = Vec<LoanResponse>;

/// What the task needs.
pub struct Setup {
    /// This proxy.
    pub me: ProxyId,
    /// The configuration in force.
    pub fleet: fleet::Handle,
    /// Receives this proxy's share of each backend server.
    pub admit: admit::Handle,
    /// Sends requests to peers.
    pub client: peer::Client,
    /// The store, whose keys name the lenders.
    pub store: store::Client,
}

/// A live proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Live {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address for requests from peers.
    pub address: SocketAddr,
}

enum Request {
    Pool(InstanceId, pool::Handle),
    Peers(IndexMap<ProxyId, Live>),
    Responded(ProxyId, Responses),
    Authority {
        data_centre: DataCentre,
        hold: u64,
        until: Instant,
    },
    Leave,
    Shares(flume::Sender<IndexMap<InstanceId, u32>>),
}

/// Starts the task on the current runtime.
///
/// Until [`Handle::peers`] is called it changes nothing: a proxy that knows no peers
/// keeps the limits that its pools were started with.
pub fn spawn(setup: Setup) -> Handle {
    let (tx, rx) = flume::unbounded();
    let (calls_tx, calls) = flume::bounded(peer::server::QUEUE_CAPACITY);
    compio::runtime::spawn(task::run(setup, tx.downgrade(), rx, calls)).detach();
    Handle {
        tx,
        calls: calls_tx,
    }
}

/// Sends requests to the share task.
#[derive(Clone)]
pub struct Handle {
    tx: flume::Sender<Request>,
    calls: flume::Sender<Call<Requests, Responses>>,
}

impl Handle {
    /// Channel for requests of peers under [`PATH`].
    pub fn calls(&self) -> flume::Sender<Call<Requests, Responses>> {
        self.calls.clone()
    }

    /// Sets the pool of a backend server; its limit follows the share.
    pub fn pool(&self, instance: &InstanceId, pool: pool::Handle) {
        let _ = self.tx.send(Request::Pool(instance.clone(), pool));
    }

    /// The live proxies, this one included.
    pub fn peers(&self, live: IndexMap<ProxyId, Live>) {
        let _ = self.tx.send(Request::Peers(live));
    }

    /// Connections that this proxy may hold at each backend server.
    pub async fn shares(&self) -> IndexMap<InstanceId, u32> {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Request::Shares(tx));
        rx.recv_async().await.unwrap_or_default()
    }

    /// Returns all borrowed connections with the next requests, since this proxy shuts down.
    pub fn leave(&self) {
        let _ = self.tx.send(Request::Leave);
    }
}
