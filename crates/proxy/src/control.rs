//! Membership, configuration and the HTTP listener, started together, and what they tell
//! the tasks of requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use axum::Router;
use compio::net::TcpListener;
use model::id::{GroupId, ProxyId};
use peer::auth::Key;
use peer::server::Routes;
use policy::config_mirror::Record;
use policy::leadership;
use policy::membership::table::MemberInfo;
use policy::message::{Peer, PeerReport, Recipients, Versioned};

use crate::config::Config;
use crate::cx::Cx;
use crate::http::Health;
use crate::member::{self, FleetEvent, Setup};
use crate::trace::Tracer;
use crate::{fleet, http, relay, share};

/// Views that wait to be sent to peers. They repeat several times a second while they
/// matter, so that one that finds no room is dropped.
const VIEWS: usize = 256;

/// Prefix of the groups' records in the store.
const GROUPS: &str = "pomeloscale/groups/";

/// Why the control side cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The address for peers cannot be listened on.
    #[error("cannot listen on {0}")]
    Listen(SocketAddr, #[source] std::io::Error),
    /// The client for peers cannot be made.
    #[error(transparent)]
    Peer(#[from] peer::client::Error),
}

/// The control side before it serves.
pub struct Control {
    members: member::Handle,
    health: Health,
    listener: Option<TcpListener>,
    routes: Routes,
    events: flume::Receiver<FleetEvent>,
    /// Sends reports about groups to peers.
    pub tell: flume::Sender<(Recipients, PeerReport)>,
}

/// The control side of a serving process.
#[derive(Clone)]
pub struct Running {
    members: member::Handle,
    health: Health,
}

impl Control {
    /// Opens the listener and starts membership; peers are answered from [`Control::serve`]
    /// on.
    pub async fn start(
        cfg: &Config,
        me: &model::id::ProxyId,
        store: &store::Client,
        fleet: &fleet::Handle,
        tracer: &Tracer,
    ) -> Result<Self, ControlError> {
        let listener = match cfg.peer_listen {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        let bound = listener.as_ref().and_then(|l| l.local_addr().ok());
        let address = cfg.advertise.or(bound).unwrap_or(cfg.listen);
        let (tell, views) = flume::bounded(VIEWS);
        let started = member::spawn(Setup {
            id: me.clone(),
            data_centre: cfg.data_centre.clone(),
            address,
            seeds: cfg.seeds.clone(),
            vm_list: cfg.vm_list.clone(),
            key: Key::new(cfg.secret.0.as_bytes()),
            store: store.clone(),
            fleet: fleet.clone(),
            tracer: tracer.clone(),
            views,
        })?;
        Ok(Self {
            members: started.handle,
            health: Health::default(),
            listener,
            routes: started.routes,
            events: started.events,
            tell,
        })
    }

    /// Sends requests to peers.
    pub fn client(&self) -> &peer::Client {
        self.members.client()
    }

    /// Where peers and operators connect.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref()?.local_addr().ok()
    }

    /// Serves peers and operators, and dispatches fleet events, until the runtime ends.
    pub fn serve(self, cx: &Rc<Cx>) -> Running {
        let running = Running {
            members: self.members,
            health: self.health,
        };
        let pages = http::routes(cx.clone(), running.members.clone(), running.health.clone());
        let routes = self.routes.route(share::PATH, cx.share.calls());
        let routes = routes.route(relay::PATH, cx.relay.calls());
        let router = routes.into_router().merge(pages);
        if let Some(listener) = self.listener {
            compio::runtime::spawn(serve_http(listener, router)).detach();
        }
        let changed = cx.fleet.changed();
        compio::runtime::spawn(apply_configurations(cx.clone(), changed)).detach();
        compio::runtime::spawn(dispatch(cx.clone(), self.events)).detach();
        running
    }
}

impl Running {
    /// Reports to the balancer and to peers that this process is shutting down.
    pub fn drain(&self) {
        self.health.drain();
        self.members.drain();
    }

    /// Notifies peers that this process ends.
    pub async fn leave(&self) {
        self.members.leave().await;
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ControlError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|e| ControlError::Listen(address, e))
}

async fn serve_http(listener: TcpListener, router: Router) {
    if let Err(e) = cyper_axum::serve(listener, router).await {
        tracing::error!(cause = %e, "listener for peers failed");
    }
}

async fn apply_configurations(cx: Rc<Cx>, changed: flume::Receiver<Arc<fleet::Snapshot>>) {
    while let Ok(snapshot) = changed.recv_async().await {
        cx.configure(&snapshot.fleet);
    }
}

async fn dispatch(cx: Rc<Cx>, events: flume::Receiver<FleetEvent>) {
    while let Ok(event) = events.recv_async().await {
        match event {
            FleetEvent::Peers(running) => {
                let addresses = running.iter().map(|info| (info.id.clone(), info.address));
                cx.relay.peers(addresses.collect());
                cx.share.peers(running.iter().map(live).collect());
                cx.peers(peers(&cx, running));
            }
            FleetEvent::View(view) => cx.peer_view(view),
            FleetEvent::Record(record) => dispatch_record(&cx, &record),
        }
    }
}

fn live(info: &MemberInfo) -> (ProxyId, share::Live) {
    let live = share::Live {
        data_centre: info.data_centre.clone(),
        address: info.address,
    };
    (info.id.clone(), live)
}

/// The running proxies with their places; one in an undeclared data centre has none.
fn peers(cx: &Cx, running: Vec<MemberInfo>) -> Vec<Peer> {
    let fleet = &cx.fleet.current().fleet;
    let peers = running.into_iter().filter_map(|info| {
        let location = fleet.location(&info.data_centre)?;
        Some(Peer {
            id: info.id,
            location,
        })
    });
    peers.collect()
}

fn dispatch_record(cx: &Cx, record: &Record) {
    let name = record.key.strip_prefix(GROUPS);
    let Some(group) = name.and_then(|name| name.split('/').next()) else {
        return;
    };
    let Ok(group) = group.parse::<GroupId>() else {
        return;
    };
    if record.key != leadership::key(&group) {
        return;
    }
    match serde_json::from_str(&record.value) {
        Ok(leadership) => cx.record(
            &group,
            Versioned {
                revision: record.revision,
                record: Some(leadership),
            },
        ),
        Err(e) => tracing::error!(key = %record.key, cause = %e, "record unreadable"),
    }
}
