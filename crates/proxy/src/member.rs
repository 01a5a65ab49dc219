//! Membership and configuration: the interface of the task that owns both.

mod exchange;
mod task;
mod watch;

use std::net::SocketAddr;

use model::id::{DataCentre, ProxyId};
use model::position::Revision;
use peer::auth::Key;
use peer::server::{Call, Routes, Traffic};
use policy::config_mirror::{Delta, Record};
use policy::membership::message::{Compare, Heartbeat, Tables};
use policy::membership::table::MemberInfo;
use policy::message::{PeerReport, Recipients};

use crate::fleet;
use crate::trace::Tracer;

/// Path of heartbeats.
pub const BEAT: &str = "/peer/heartbeat";
/// Path of comparisons of membership tables.
pub const COMPARE: &str = "/peer/compare";
/// Path of requests for configuration records.
pub const RECORDS: &str = "/peer/records";
/// Path of views of groups.
pub const VIEW: &str = "/peer/view";
/// Path of requests for a proxy's own state.
pub const OWN: &str = "/peer/own";

/// A request for the records that changed after a revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Fetch {
    /// The revision.
    pub after: Revision,
}

/// An empty message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Empty {}

/// A proxy's own state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct OwnState {
    /// Revision of the configuration in force.
    pub revision: Revision,
}

/// What the task needs.
pub struct Setup {
    /// This proxy.
    pub id: ProxyId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Addresses of the first peers to contact.
    pub seeds: Vec<SocketAddr>,
    /// URL of the platform's list of VMs.
    pub vm_list: Option<String>,
    /// Authenticates requests and responses.
    pub key: Key,
    /// The platform's store.
    pub store: store::Client,
    /// Receives each configuration that comes into force.
    pub fleet: fleet::Handle,
    /// Starts the spans of exchanges with peers.
    pub tracer: Tracer,
    /// Reports about groups to send to peers.
    pub views: flume::Receiver<(Recipients, PeerReport)>,
}

/// A change in the fleet, for other tasks.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// The running proxies changed.
    Peers(Vec<MemberInfo>),
    /// A peer's report about a group.
    View(PeerReport),
    /// A record of the store that is not part of the configuration.
    Record(Record),
}

/// What the task knows of the fleet.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// This proxy.
    pub me: MemberInfo,
    /// Every proxy that is known, this one included.
    pub members: Vec<MemberInfo>,
    /// Whether this proxy holds its data centre's watch on the store.
    pub watching: bool,
    /// Revision up to which every record is known.
    pub complete: Revision,
}

enum Request {
    Snapshot(flume::Sender<Snapshot>),
    Drain,
    Leave(flume::Sender<()>),
}

/// Channels on which peers' requests reach the task.
struct Inbox {
    beats: flume::Receiver<Call<Heartbeat, Heartbeat>>,
    compares: flume::Receiver<Call<Compare, Tables>>,
    fetches: flume::Receiver<Call<Fetch, Delta>>,
    views: flume::Receiver<Call<PeerReport, Empty>>,
    owns: flume::Receiver<Call<Empty, OwnState>>,
}

/// Sends requests to the task.
#[derive(Clone)]
pub struct Handle {
    tx: flume::Sender<Request>,
    traffic: Traffic,
    client: peer::Client,
}

/// A started task with what belongs to it.
pub struct Started {
    /// Sends requests to the task.
    pub handle: Handle,
    /// The paths on which peers reach it.
    pub routes: Routes,
    /// Changes in the fleet.
    pub events: flume::Receiver<FleetEvent>,
}

/// Starts the task on the current runtime.
pub fn spawn(setup: Setup) -> Result<Started, peer::client::Error> {
    let traffic = Traffic::default();
    let client = peer::Client::with_traffic(setup.key.clone(), traffic.clone())?;
    let (beat_tx, beats) = flume::bounded(peer::server::QUEUE_CAPACITY);
    let (compare_tx, compares) = flume::bounded(peer::server::QUEUE_CAPACITY);
    let (fetch_tx, fetches) = flume::bounded(peer::server::QUEUE_CAPACITY);
    let (view_tx, views) = flume::bounded(peer::server::QUEUE_CAPACITY);
    let (own_tx, owns) = flume::bounded(peer::server::QUEUE_CAPACITY);
    let routes = Routes::new(setup.key.clone(), traffic.clone())
        .route(BEAT, beat_tx)
        .route(COMPARE, compare_tx)
        .route(RECORDS, fetch_tx)
        .route(VIEW, view_tx)
        .route(OWN, own_tx);
    let inbox = Inbox {
        beats,
        compares,
        fetches,
        views,
        owns,
    };
    let (tx, rx) = flume::unbounded();
    let (events_tx, events) = flume::unbounded();
    compio::runtime::spawn(task::run(setup, client.clone(), inbox, rx, events_tx)).detach();
    let handle = Handle {
        tx,
        traffic,
        client,
    };
    Ok(Started {
        handle,
        routes,
        events,
    })
}

impl Handle {
    /// What the task knows; `None` once it has ended.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        let (tx, rx) = flume::bounded(1);
        self.tx.send(Request::Snapshot(tx)).ok()?;
        rx.recv_async().await.ok()
    }

    /// Hands duties to others: the process is being stopped.
    pub fn drain(&self) {
        let _ = self.tx.send(Request::Drain);
    }

    /// Notifies peers that the process ends, and waits until they can have received it.
    pub async fn leave(&self) {
        let (tx, rx) = flume::bounded(1);
        if self.tx.send(Request::Leave(tx)).is_ok() {
            let _ = rx.recv_async().await;
        }
    }

    /// Bytes of requests between proxies.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Sends requests to peers.
    pub fn client(&self) -> &peer::Client {
        &self.client
    }
}
