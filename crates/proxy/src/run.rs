//! Starting, serving and shutting down.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::{fs, io, thread};

use compio::net::{TcpListener, TcpStream};
use compio::tls::TlsAcceptor;
use futures_util::future;
use model::id::ProxyId;
use model::source::Source;

use crate::config::{Config, Tls};
use crate::control::{self, Control, Running};
use crate::cx::{self, Cx, Services};
use crate::metrics::{self, Metrics};
use crate::trace::Tracer;
use crate::{admit, caller, fleet, relay, share};

/// Why a proxy cannot start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {0}")]
    Listen(SocketAddr, #[source] io::Error),
    /// A file cannot be read.
    #[error("cannot read {}", .0.display())]
    File(PathBuf, #[source] io::Error),
    /// The fleet's configuration cannot be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Fleet(#[from] Box<model::source::LocatedError>),
    /// There is no way to learn the fleet's configuration.
    #[error("neither a store nor seeds nor a fleet_file is set")]
    NoFleet,
    /// The certificate or its key cannot be used.
    #[error("the certificate cannot be used")]
    Certificate(#[from] rustls::Error),
    /// A PEM file holds no private key.
    #[error("{} holds no private key", .0.display())]
    NoKey(PathBuf),
    /// The client of the platform's store cannot be made.
    #[error("the store's client cannot be made")]
    Store(#[from] store::error::Error),
    /// The control side cannot be started.
    #[error(transparent)]
    Control(#[from] control::ControlError),
    /// The metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] metrics::MetricsError),
    /// The runtime or its thread cannot be started.
    #[error("the runtime cannot be started")]
    Runtime(#[source] io::Error),
}

/// A proxy that has its sockets and does not serve yet.
pub struct Server {
    cx: Rc<Cx>,
    listener: TcpListener,
    control: Running,
    peer_address: Option<SocketAddr>,
}

impl Server {
    /// Reads what the settings name and opens the sockets.
    pub async fn bind(cfg: Config) -> Result<Self, StartError> {
        let tls = cfg.tls.as_ref().map(acceptor).transpose()?;
        let fleet = first_fleet(&cfg)?;
        let me = cfg.id.clone().unwrap_or_else(random_id);
        let store = store::client::Client::new(cfg.store.clone())?;
        let traces = cfg.traces.as_ref();
        let tracer = traces.map_or_else(Tracer::off, |t| Tracer::start(t, &me));
        let control = Control::start(&cfg, &me, &store, &fleet, &tracer).await?;
        let known = fleet.changed();
        let admit = admit::spawn(cx::first_limits(&fleet.current().fleet.defaults));
        let share = share::spawn(share::Setup {
            me: me.clone(),
            fleet: fleet.clone(),
            admit: admit.clone(),
            client: control.client().clone(),
            store: store.clone(),
        });
        let local = cfg.address;
        let relay = relay::spawn(relay::Setup {
            local,
            fleet: fleet.clone(),
            client: control.client().clone(),
        });
        let relay = relay
            .await
            .map_err(|e| StartError::Listen(SocketAddr::new(local, 0), e))?;
        let services = Services {
            admit,
            share,
            relay,
            tell: control.tell.clone(),
            metrics: Metrics::new()?,
            tracer,
            fleet,
            tls,
            store,
        };
        let cx = Rc::new(Cx::new(cfg, me, services));
        let peer_address = control.address();
        let control = control.serve(&cx);
        // Callers are let in once there is a configuration to serve them by.
        let _ = known.recv_async().await;
        let listen = cx.cfg.listen;
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|e| StartError::Listen(listen, e))?;
        Ok(Self {
            cx,
            listener,
            control,
            peer_address,
        })
    }

    /// Where peers and operators connect.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer_address
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        let bound = self.listener.local_addr();
        bound.unwrap_or(self.cx.cfg.listen)
    }

    /// Serves until `shutdown` completes, then until the requests in flight are done.
    pub async fn serve(self, shutdown: impl Future<Output = ()>) {
        tracing::info!(proxy = %self.cx.me, listen = %self.address(), "serving");
        let Self {
            cx,
            listener,
            control,
            ..
        } = self;
        // The listener is closed before anything else, so that the platform's balancer
        // and new callers turn to other proxies while the requests in flight finish.
        let accepting = Box::pin(accept(cx.clone(), listener));
        future::select(accepting, pin!(shutdown)).await;
        tracing::info!(proxy = %cx.me, "draining");
        cx.share.leave();
        control.drain();
        let limit = cx.cfg.limits.drain.as_duration();
        let reserve = ABORT_RESERVE.min(limit / 4);
        let finished = future::join(cx.registry.drain(), cx.relay.drain());
        let drained = compio::time::timeout(limit - reserve, finished).await;
        if drained.is_err() {
            cx.abort.begin();
            let aborted = compio::time::timeout(reserve, cx.registry.drain()).await;
            let complete = aborted.is_ok();
            tracing::warn!(proxy = %cx.me, complete, "requests in progress were aborted");
        }
        control.leave().await;
        tracing::info!(proxy = %cx.me, complete = drained.is_ok(), "stopped");
    }
}

async fn accept(cx: Rc<Cx>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((tcp, peer)) => admit_caller(&cx, tcp, peer),
            // Out of file descriptors, mostly: without the pause the loop would
            // spin until some caller leaves.
            Err(e) => {
                tracing::warn!(error = %e, "accept failed");
                compio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Time before the end of the time for shutting down at which requests in progress are aborted, so
/// that their errors are still sent; with a short time it is a quarter of it.
const ABORT_RESERVE: std::time::Duration = std::time::Duration::from_millis(700);

const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

fn admit_caller(cx: &Rc<Cx>, tcp: TcpStream, peer: SocketAddr) {
    let _ = tcp.set_nodelay(true);
    let place = cx.callers.clone();
    let limit = cx.cfg.limits.callers as usize;
    // The process itself and this new one hold a place as well.
    if Rc::strong_count(&place) - 2 >= limit {
        tracing::warn!(%peer, limit, "too many callers");
        compio::runtime::spawn(caller::turn_away(tcp)).detach();
        return;
    }
    let serve = caller::serve(cx.clone(), tcp);
    compio::runtime::spawn(async move {
        serve.await;
        drop(place);
    })
    .detach();
}

fn random_id() -> ProxyId {
    let text = format!("proxy-{:08x}", rand::random::<u32>());
    text.parse().expect("the text is an identifier")
}

/// The configuration to start with: the file's, until the store or a peer has one.
fn first_fleet(cfg: &Config) -> Result<fleet::Handle, StartError> {
    let Some(path) = &cfg.fleet_file else {
        return match cfg.store.is_empty() && cfg.seeds.is_empty() {
            true => Err(StartError::NoFleet),
            false => Ok(fleet::Handle::default()),
        };
    };
    let text = read(path)?;
    let text = String::from_utf8_lossy(&text).into_owned();
    let fleet = Source::new(path.display().to_string(), text).parse()?;
    Ok(fleet::Handle::fixed(fleet))
}

fn read(path: &PathBuf) -> Result<Vec<u8>, StartError> {
    fs::read(path).map_err(|e| StartError::File(path.clone(), e))
}

fn acceptor(tls: &Tls) -> Result<TlsAcceptor, StartError> {
    let chain = read(&tls.certificate)?;
    let chain: Result<Vec<_>, _> = rustls_pemfile::certs(&mut &chain[..]).collect();
    let chain = chain.map_err(|e| StartError::File(tls.certificate.clone(), e))?;
    let key = read(&tls.key)?;
    let key = rustls_pemfile::private_key(&mut &key[..])
        .map_err(|e| StartError::File(tls.key.clone(), e))?
        .ok_or_else(|| StartError::NoKey(tls.key.clone()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let server = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(chain, key)?;
    Ok(TlsAcceptor::from(Arc::new(server)))
}

/// A proxy on a thread of its own; dropping it shuts it down gracefully.
pub struct Embedded {
    address: SocketAddr,
    peer_address: Option<SocketAddr>,
    stop: Option<flume::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Embedded {
    /// Starts a proxy; returns once it accepts callers.
    pub fn start(cfg: Config) -> Result<Self, StartError> {
        let (stop, stopped) = flume::bounded::<()>(1);
        let (tx, started) = flume::bounded(1);
        let thread = thread::Builder::new()
            .name("proxy".to_owned())
            .spawn(move || run_embedded(cfg, &tx, &stopped))
            .map_err(StartError::Runtime)?;
        let ended = StartError::Runtime(io::ErrorKind::BrokenPipe.into());
        let (address, peer_address) = started.recv().unwrap_or(Err(ended))?;
        Ok(Self {
            address,
            peer_address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where peers and operators connect.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer_address
    }

    /// Begins the shutdown without waiting for its end.
    pub fn shutdown(&mut self) {
        self.stop = None;
    }
}

impl Drop for Embedded {
    fn drop(&mut self) {
        self.shutdown();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Addresses for callers and for peers.
type Started = flume::Sender<Result<(SocketAddr, Option<SocketAddr>), StartError>>;

fn run_embedded(cfg: Config, started: &Started, stopped: &flume::Receiver<()>) {
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            let _ = started.send(Err(StartError::Runtime(e)));
            return;
        }
    };
    runtime.block_on(async {
        match Server::bind(cfg).await {
            Ok(server) => {
                let _ = started.send(Ok((server.address(), server.peer_address())));
                let stop = async {
                    let _ = stopped.recv_async().await;
                };
                server.serve(stop).await;
            }
            Err(e) => {
                let _ = started.send(Err(e));
            }
        }
    });
}
