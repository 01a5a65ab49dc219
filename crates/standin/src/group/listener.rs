//! Accepts connections to one instance.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::{TcpListener, TcpStream};
use futures_util::future::{self, Either};

use super::server::Server;
use super::session;
use super::wire::Origin;

/// The open listener of an instance; dropping it closes its connections too.
pub(crate) struct Listener {
    _task: compio::runtime::JoinHandle<()>,
    _alive: flume::Sender<()>,
}

/// Binds an address; port 0 takes any.
pub(crate) fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

impl Listener {
    /// Serves `server` on a bound socket.
    pub(crate) fn start(server: Rc<Server>, socket: std::net::TcpListener) -> io::Result<Self> {
        let listener = TcpListener::from_std(socket)?;
        let (alive, dead) = flume::bounded(0);
        let task = compio::runtime::spawn(accept(server, listener, dead));
        Ok(Self {
            _task: task,
            _alive: alive,
        })
    }
}

async fn accept(server: Rc<Server>, listener: TcpListener, dead: flume::Receiver<()>) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            continue;
        };
        let number = server.next_connection();
        let origin = Origin {
            server: Rc::clone(&server),
            number,
            port: peer.port(),
            viewer: server.net.site(peer.ip()),
        };
        compio::runtime::spawn(attend(origin, stream, Rc::clone(&open), dead.clone())).detach();
    }
}

/// Serves one connection until it ends, goes silent for too long, or the instance dies.
async fn attend(
    origin: Origin,
    stream: TcpStream,
    open: Rc<Cell<usize>>,
    dead: flume::Receiver<()>,
) {
    let server = Rc::clone(&origin.server);
    let port = origin.port;
    server.ports.borrow_mut().insert(port);
    let socket = stream.clone();
    let silent = {
        let watched = origin.clone();
        let given_up = std::pin::pin!(watched.given_up());
        let dead = std::pin::pin!(dead.recv_async());
        let serve = std::pin::pin!(serve(origin, stream, &open));
        let ended = future::select(serve, dead);
        matches!(future::select(ended, given_up).await, Either::Right(_))
    };
    server.ports.borrow_mut().shift_remove(&port);
    if silent {
        // Closing the socket would tell the other end, which must hear nothing.
        let _ = dead.recv_async().await;
    }
    drop(socket);
    // The port may come back with another connection.
    server.knobs.borrow_mut().silent_ports.shift_remove(&port);
}

async fn serve(origin: Origin, stream: TcpStream, open: &Rc<Cell<usize>>) {
    // Small answers follow each other; without this they wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    if let Err(e) = session::run(origin, stream, open).await {
        tracing::debug!(error = %e, "connection ended");
    }
}
