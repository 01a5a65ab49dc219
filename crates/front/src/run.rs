//! Starts the process, serves until a stop signal, and drains the sessions.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use compio::net::TcpListener;
use model::unit::Span;
use policy::pooler::Proxy;
use signal::Requests;
use store::calls::Purpose;
use store::client::Client;

use crate::config::Config;
use crate::coordinator::Coordinator;
use crate::cx::Cx;
use crate::directory::{Announced, Directory};
use crate::distance::Distances;
use crate::metrics::{self, Metrics};
use crate::registration::Registration;
use crate::stop::{self, Phase, Schedule, StopController, StopSignal};
use crate::{clock, pages, relay, session};

/// Why the process cannot start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// The process cannot listen on an address.
    #[error("cannot listen on {0}")]
    Listen(SocketAddr, #[source] io::Error),
    /// The client for the platform cannot be created.
    #[error("cannot create the client for the platform")]
    Store(#[from] store::error::Error),
    /// The size of the VM is impossible.
    #[error("vm: {0}")]
    Vm(#[from] model::vm::VmSizeError),
    /// The metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] metrics::MetricsError),
}

/// Serves until the process is asked to stop.
pub async fn run(cfg: Config, requests: Requests) -> Result<(), StartError> {
    let (stopper, stop) = stop::pair();
    let grace = Span::from(cfg.grace_s);
    let server = start(cfg, stop).await?;
    requests.stop().await;
    compio::runtime::spawn(requests.log()).detach();
    server.shut_down(stopper, grace).await;
    Ok(())
}

/// A proxy that serves.
struct Server {
    cx: Rc<Cx>,
    registration: Rc<Registration>,
    store: Client,
    ready: Arc<AtomicBool>,
}

/// Opens the sockets and starts the tasks.
async fn start(cfg: Config, stop: StopSignal) -> Result<Server, StartError> {
    tracing::info!(proxy = %cfg.proxy, data_centre = %cfg.data_centre, listen = %cfg.listen, store = %cfg.store, "starting");
    let cx = context(&cfg, stop)?;
    let store = Client::new(vec![format!("http://{}", cfg.store)])?;
    let orders = Client::new(vec![format!("http://{}", cfg.orders)])?;
    let listener = listen(cfg.listen).await?;
    let ready_listener = listen(cfg.ready_listen).await?;
    let ready = Arc::new(AtomicBool::new(false));
    compio::runtime::spawn(pages::serve_ready(ready_listener, ready.clone())).detach();
    let pages = pages::serve_metrics(cfg.metrics_listen, cx.clone(), store.clone());
    compio::runtime::spawn(pages).detach();

    let (changed, changes) = flume::bounded(1);
    let relay_listener = listen(cfg.relay_listen).await?;
    compio::runtime::spawn(relay::serve(cx.clone(), relay_listener)).detach();
    let me = Proxy {
        id: cfg.proxy.clone(),
        data_centre: cfg.data_centre.clone(),
    };
    let announced = Announced {
        data_centre: cfg.data_centre.clone(),
        relay: cfg.relay_listen,
        vm: cfg.vm_size()?,
    };
    let registration = Rc::new(Registration::new(cfg.proxy.clone(), announced));
    let lease_holder = registration.clone();
    let has_lease =
        move |directory: &Directory| lease_holder.coordinator_epoch(directory).is_some();
    let directory = Directory::new(cx.clone(), me, changed, cfg.in_force_within_ms, has_lease);
    compio::runtime::spawn(directory.clone().follow(store.clone(), cfg.first_start)).detach();
    compio::runtime::spawn(serve_changes(directory.clone(), store.clone())).detach();
    let min_lease = cfg.least_lease_ms;
    let keep = registration
        .clone()
        .run(cx.clone(), directory.clone(), store.clone(), min_lease);
    compio::runtime::spawn(keep).detach();
    let coordinator = Coordinator {
        cx: cx.clone(),
        directory,
        registration: registration.clone(),
        store: store.counted_for(Purpose::Intents),
        orders,
        last_token: Rc::default(),
        promotions: Default::default(),
        lag_backoff: Default::default(),
        order_trackers: Default::default(),
    };
    compio::runtime::spawn(coordinator.run(changes)).detach();
    compio::runtime::spawn(become_ready(cx.clone(), ready.clone())).detach();
    compio::runtime::spawn(accept(cx.clone(), listener)).detach();
    compio::runtime::spawn(cx.quotas.clone().run()).detach();
    Ok(Server {
        cx,
        registration,
        store,
        ready,
    })
}

impl Server {
    /// Ends the sessions and the registration within the grace period, which begins now.
    async fn shut_down(self, mut stopper: StopController, grace: Span) {
        let (cx, started) = (self.cx, clock::now());
        let counts = || (cx.sessions(), cx.running.count());
        let (sessions, statements) = counts();
        tracing::info!(sessions, statements, "stopping");
        stopper.leave();
        self.ready.store(false, Ordering::Relaxed);
        compio::runtime::spawn(leave(self.registration, cx.clone(), self.store)).detach();
        let schedule = Schedule::new(started, grace);
        stopper.run(schedule, || cx.sessions()).await;
        cx.running.log_cut();
        let (sessions, statements) = counts();
        let took_ms = clock::now().since(started).as_millis();
        tracing::info!(sessions, statements, took_ms, "stopped");
    }
}

fn context(cfg: &Config, stop: StopSignal) -> Result<Rc<Cx>, StartError> {
    let distances = Distances::new(cfg.data_centre.clone(), cfg.data_centres.clone());
    let (me, terms) = (cfg.proxy.clone(), cfg.quota_terms());
    let cx = Cx::new(me, terms, distances, Metrics::new()?, stop);
    Ok(Rc::new(cx))
}

/// Ends the registration. The store may take any time for it, and the exit does not wait.
async fn leave(registration: Rc<Registration>, cx: Rc<Cx>, store: Client) {
    registration.leave(&cx, &store).await;
    tracing::info!("the registration has ended");
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|e| StartError::Listen(address, e))
}

/// Keeps the pending changes of primary up to date, from a store reader where there is one.
async fn serve_changes(directory: Directory, store: Client) {
    let changes = directory.changes();
    let readers = |within| directory.query_changes(within);
    changes.serve(store, readers).await;
}

/// Reports the process as ready once a configuration is known, so that callers are sent here.
async fn become_ready(cx: Rc<Cx>, ready: Arc<AtomicBool>) {
    while cx.routes().version == 0 {
        clock::sleep_until(clock::now() + Span::from_millis(50)).await;
    }
    if cx.stop.phase() == Phase::Serving {
        ready.store(true, Ordering::Relaxed);
        tracing::info!(version = cx.routes().version, "ready for callers");
    }
}

async fn accept(cx: Rc<Cx>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                compio::runtime::spawn(session::serve(cx.clone(), stream)).detach();
            }
            Err(e) => {
                // For instance out of file descriptors: sessions that end free some.
                tracing::error!(cause = %e, "a caller's connection could not be accepted");
                clock::sleep_until(clock::now() + Span::from_millis(20)).await;
            }
        }
    }
}
