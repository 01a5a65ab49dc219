//! The task that grants tickets, and the connections that redeem them.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::time::{Duration, Instant};

use compio::io::{AsyncRead as _, AsyncReadExt as _, AsyncWriteExt as _};
use compio::net::{TcpListener, TcpStream};
use futures_util::future;
use indexmap::IndexMap;
use model::id::ProxyId;
use peer::server::Call;

use super::{Goal, Granted, Request, TICKET, Ticket};
use crate::{backend, fleet};

/// Time within which a ticket must be redeemed: a round trip between regions many times
/// over. Longer would keep more of them, shorter would fail on a lost packet.
const VALID: Duration = Duration::from_secs(5);

/// Tickets that wait to be redeemed. Load: every proxy of a cut-off data centre asks for
/// its connections at once, 9 proxies for 20 connections to each of a few servers; harm:
/// without a bound, a peer that asks and never connects fills the memory.
const MAX_TICKETS: usize = 1_000;

/// Bytes copied in one step.
const CHUNK: usize = 16 << 10;

/// A ticket that was given out.
struct Pending {
    server: SocketAddr,
    until: Instant,
}

pub(super) struct Task {
    /// Where tickets are redeemed.
    listener: SocketAddr,
    fleet: fleet::Handle,
    peers: IndexMap<ProxyId, SocketAddr>,
    /// Tickets by their secret, oldest first; at most [`MAX_TICKETS`].
    pending: IndexMap<[u8; TICKET], Pending>,
    /// Connections that are being relayed.
    open: usize,
    /// Told when the last of them has ended; nothing new is relayed from then on.
    draining: Option<flume::Sender<()>>,
}

impl Task {
    pub(super) fn new(listener: SocketAddr, fleet: fleet::Handle) -> Self {
        Self {
            listener,
            fleet,
            peers: IndexMap::new(),
            pending: IndexMap::new(),
            open: 0,
            draining: None,
        }
    }

    /// Serves requests until every handle is gone.
    pub(super) async fn run(
        mut self,
        rx: flume::Receiver<Request>,
        calls: flume::Receiver<Call<Goal, Granted>>,
    ) {
        loop {
            futures_util::select! {
                req = rx.recv_async() => match req {
                    Ok(req) => self.handle(req),
                    Err(flume::RecvError::Disconnected) => return,
                },
                call = calls.recv_async() => {
                    if let Ok(call) = call {
                        let granted = self.grant(&call.req);
                        let _ = call.reply.send(granted);
                    }
                }
            }
        }
    }

    fn handle(&mut self, req: Request) {
        match req {
            Request::Peers(live) => self.peers = live,
            Request::Address(peer, tx) => {
                let _ = tx.send(self.peers.get(&peer).copied());
            }
            Request::Redeem(secret, tx) => {
                let pending = self.pending.shift_remove(&secret);
                let valid = pending.filter(|p| p.until >= Instant::now());
                let server = valid.filter(|_| self.draining.is_none()).map(|p| p.server);
                if tx.send(server).is_ok() && server.is_some() {
                    self.open += 1;
                }
            }
            Request::Ended => self.open -= 1,
            Request::Drain(tx) => self.draining = Some(tx),
        }
        if let Some(tx) = self.draining.as_ref().filter(|_| self.open == 0) {
            let _ = tx.try_send(());
        }
    }

    /// Only backend servers of the configuration are relayed to: a peer must not become
    /// a way to any other address of the network.
    fn grant(&mut self, goal: &Goal) -> Granted {
        if self.draining.is_some() {
            return None;
        }
        let snapshot = self.fleet.current();
        let group = snapshot.fleet.groups.get(&goal.group)?;
        let server = group.instances.get(&goal.instance)?.address;
        let now = Instant::now();
        self.pending.retain(|_, p| p.until >= now);
        if self.pending.len() >= MAX_TICKETS {
            tracing::warn!(instance = %goal.instance, "too many relay tickets");
            return None;
        }
        let secret = rand::random();
        let until = now + VALID;
        self.pending.insert(secret, Pending { server, until });
        Some(Ticket {
            address: self.listener,
            secret,
        })
    }
}

/// Accepts connections until the task is gone.
pub(super) async fn accept(listener: TcpListener, local: IpAddr, tx: flume::WeakSender<Request>) {
    while let Ok((stream, peer)) = listener.accept().await {
        let Some(tx) = tx.upgrade() else {
            return;
        };
        let serving = async move {
            if let Err(e) = serve(stream, local, tx).await {
                tracing::debug!(%peer, cause = %e, "relay ended");
            }
        };
        compio::runtime::spawn(serving).detach();
    }
}

/// Tells the task when a relayed connection has ended.
struct Open(flume::WeakSender<Request>);

impl Drop for Open {
    fn drop(&mut self) {
        if let Some(tx) = self.0.upgrade() {
            let _ = tx.send(Request::Ended);
        }
    }
}

async fn serve(mut stream: TcpStream, local: IpAddr, tx: flume::Sender<Request>) -> io::Result<()> {
    let refused = || io::Error::from(io::ErrorKind::PermissionDenied);
    let presented = stream.read_exact(Vec::with_capacity(TICKET));
    let read = compio::time::timeout(VALID, presented).await;
    let compio::BufResult(read, secret) = read.map_err(|_| refused())?;
    read?;
    let secret = secret.try_into().map_err(|_| refused())?;
    let (reply, server) = flume::bounded(1);
    let _ = tx.send(Request::Redeem(secret, reply));
    let server = server.recv_async().await.ok().flatten();
    let server = server.ok_or_else(refused)?;
    // A relay must not keep the task alive after its handles are gone.
    let _open = Open(tx.downgrade());
    drop(tx);
    stream.set_nodelay(true)?;
    let onward = backend::dial(local, server).await?;
    splice(stream, onward).await
}

/// Copies both ways until one end closes; then both are closed, since a half-open
/// session of the PostgreSQL protocol is of no use to either end.
async fn splice(a: TcpStream, b: TcpStream) -> io::Result<()> {
    let there = pin!(copy(a.clone(), b.clone()));
    let back = pin!(copy(b, a));
    future::select(there, back).await.factor_first().0
}

async fn copy(mut from: TcpStream, mut to: TcpStream) -> io::Result<()> {
    let mut buf = Vec::with_capacity(CHUNK);
    loop {
        let compio::BufResult(read, filled) = from.read(buf).await;
        if read? == 0 {
            return Ok(());
        }
        let compio::BufResult(written, sent) = to.write_all(filled).await;
        written?;
        buf = sent;
        buf.clear();
    }
}
