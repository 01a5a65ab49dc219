//! Starting, serving and stopping.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use compio::net::TcpListener;
use futures_util::FutureExt as _;
use model::unit::Span;
use policy::pooler::Proxy;
use store::calls::Purpose;
use store::client::Client;

use crate::config::Config;
use crate::coordinator::Coordinator;
use crate::cx::Cx;
use crate::directory::{Announced, Directory};
use crate::member::Member;
use crate::metrics::{self, Metrics};
use crate::place::Ways;
use crate::stop::{self, Phase, Stopper};
use crate::{clock, pages, relay, session};

const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

/// Why the process cannot start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {0}")]
    Listen(SocketAddr, #[source] io::Error),
    /// The client of the platform cannot be made.
    #[error("the platform's client cannot be made")]
    Store(#[from] store::error::Error),
    /// The metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] metrics::MetricsError),
}

/// Serves until the process is told to stop.
pub async fn run(cfg: Config) -> Result<(), StartError> {
    tracing::info!(proxy = %cfg.proxy, data_centre = %cfg.data_centre, listen = %cfg.listen, store = %cfg.store, "starting");
    let (stopper, stop) = stop::pair();
    let ways = Ways::new(cfg.data_centre.clone(), cfg.data_centres.clone());
    let cx = Rc::new(Cx::new(ways, Metrics::new()?, stop));
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
    };
    let member = Rc::new(Member::new(cfg.proxy.clone(), announced));
    let holder = member.clone();
    let is_coordinator = move |directory: &Directory| holder.duty(directory).is_some();
    let directory = Directory::new(
        cx.clone(),
        me,
        changed,
        cfg.in_force_within_ms,
        is_coordinator,
    );
    compio::runtime::spawn(directory.clone().follow(store.clone(), cfg.first_start)).detach();
    compio::runtime::spawn(serve_changes(directory.clone(), store.clone())).detach();
    let least = cfg.least_lease_ms;
    let keep = member
        .clone()
        .keep(cx.clone(), directory.clone(), store.clone(), least);
    compio::runtime::spawn(keep).detach();
    let coordinator = Coordinator {
        cx: cx.clone(),
        directory,
        member: member.clone(),
        store: store.counted_for(Purpose::Intents),
        orders,
        last: Rc::default(),
        named: Default::default(),
        lag_handled: Default::default(),
        accounts: Default::default(),
    };
    compio::runtime::spawn(coordinator.run(changes)).detach();
    compio::runtime::spawn(become_ready(cx.clone(), ready.clone())).detach();
    compio::runtime::spawn(accept(cx.clone(), listener)).detach();
    compio::runtime::spawn(note_reloads()).detach();

    told_to_stop().await;
    tracing::info!(sessions = cx.sessions(), "stopping");
    ready.store(false, Ordering::Relaxed);
    member.leave(&store).await;
    drain(&cfg, &cx, stopper).await;
    tracing::info!(sessions = cx.sessions(), "stopped");
    Ok(())
}

async fn drain(cfg: &Config, cx: &Cx, stopper: Stopper) {
    stopper.run(Span::from(cfg.grace_s), || cx.sessions()).await;
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|e| StartError::Listen(address, e))
}

/// Asks about changes of primary, of a neighbour where there is one.
async fn serve_changes(directory: Directory, store: Client) {
    let changes = directory.changes();
    let neighbour = |within| directory.query_changes(within);
    changes.serve(store, neighbour).await;
}

/// Callers are sent here once there is a configuration to serve them by.
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
                let (cx, entered) = (cx.clone(), cx.count_session());
                compio::runtime::spawn(async move {
                    session::serve(cx, stream).await;
                    drop(entered);
                })
                .detach();
            }
            Err(e) => {
                // Out of descriptors, for instance: sessions that end free some.
                tracing::error!(cause = %e, "a caller was not accepted");
                clock::sleep_until(clock::now() + Span::from_millis(20)).await;
            }
        }
    }
}

async fn told_to_stop() {
    let term = compio::signal::unix::signal(SIGTERM).fuse();
    let int = compio::signal::unix::signal(SIGINT).fuse();
    futures_util::pin_mut!(term, int);
    futures_util::select_biased! {
        _ = term => (),
        _ = int => (),
    }
}

/// Everything that can change while the process runs comes from the store; the settings
/// hold addresses, which a running process keeps.
async fn note_reloads() {
    while compio::signal::unix::signal(SIGHUP).await.is_ok() {
        tracing::info!(
            "asked to reload: the settings in force stay, all else comes from the store"
        );
    }
}
