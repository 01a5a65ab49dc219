//! Bytes of one connection, delayed and cut as its link is.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;

use super::server::Server;
use crate::link::{Direction, Site, Traffic};

const READ: usize = 16 << 10;

/// How often a connection looks whether it has been made silent.
const SILENCE_POLL: Duration = Duration::from_secs(1);

/// Time after which a server gives up a connection that does not answer its probes.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Which connection this is, and from where.
#[derive(Clone)]
pub(crate) struct Origin {
    pub(crate) server: Rc<Server>,
    pub(crate) number: u64,
    pub(crate) port: u16,
    pub(crate) viewer: Site,
}

impl Origin {
    fn silent(&self) -> bool {
        let knobs = self.server.knobs.borrow();
        self.number < knobs.silent_before || knobs.silent_ports.contains(&self.port)
    }

    /// Waits until the connection is silent and the server has noticed. Its end is
    /// then that of a keep-alive probe without an answer: the server gives the session
    /// up, while the other end hears nothing.
    pub(crate) async fn given_up(&self) {
        while !self.silent() {
            compio::time::sleep(SILENCE_POLL).await;
        }
        compio::time::sleep(KEEP_ALIVE).await;
    }

    /// Waits while no bytes pass; a silent connection waits for good.
    async fn passes(&self, direction: Direction) {
        if self.silent() {
            std::future::pending::<()>().await;
        }
        let server = &self.server;
        server
            .net
            .wait_reach(self.viewer, server.home, &server.id, direction)
            .await;
    }
}

type Chunk = (Instant, Vec<u8>);

/// A connection; without delay it reads and writes the socket directly.
pub(crate) struct Wire {
    origin: Origin,
    stream: TcpStream,
    delayed: Option<Delayed>,
}

struct Delayed {
    rx: flume::Receiver<Chunk>,
    tx: flume::Sender<Chunk>,
    // Dropped with the connection, which ends them.
    _reader: compio::runtime::JoinHandle<()>,
    _writer: compio::runtime::JoinHandle<()>,
}

impl Wire {
    pub(crate) fn new(origin: Origin, stream: TcpStream) -> Self {
        let home = Some(origin.server.home);
        let delay = origin.server.net.delay(origin.viewer, home);
        let delayed = (!delay.is_zero()).then(|| {
            let (in_tx, rx) = flume::unbounded();
            let (tx, out_rx) = flume::unbounded();
            let reader = read_ahead(origin.clone(), stream.clone(), in_tx);
            let writer = write_behind(origin.clone(), stream.clone(), out_rx);
            Delayed {
                rx,
                tx,
                _reader: compio::runtime::spawn(reader),
                _writer: compio::runtime::spawn(writer),
            }
        });
        Self {
            origin,
            stream,
            delayed,
        }
    }

    /// Reads at least one byte into `buf`; false at the end of the stream.
    pub(crate) async fn read(&mut self, buf: &mut BytesMut) -> io::Result<bool> {
        let chunk = match &self.delayed {
            Some(delayed) => {
                let Ok((due, chunk)) = delayed.rx.recv_async().await else {
                    return Ok(false);
                };
                compio::time::sleep_until(due).await;
                chunk
            }
            None => {
                let (len, chunk) = read_chunk(&mut self.stream).await?;
                self.count(len);
                chunk
            }
        };
        self.origin.passes(Direction::In).await;
        buf.extend_from_slice(&chunk);
        Ok(!chunk.is_empty())
    }

    fn count(&self, len: usize) {
        let origin = &self.origin;
        origin.server.net.arrival(
            Traffic::Queries,
            origin.viewer,
            Some(origin.server.home),
            len,
        );
    }

    /// Sends `buf` and empties it.
    pub(crate) async fn write(&mut self, buf: &mut BytesMut) -> io::Result<()> {
        let chunk = buf.split().to_vec();
        self.origin.passes(Direction::Out).await;
        let origin = &self.origin;
        let due = origin.server.net.arrival(
            Traffic::Queries,
            Some(origin.server.home),
            origin.viewer,
            chunk.len(),
        );
        match &self.delayed {
            Some(delayed) => {
                let gone = |_| io::Error::from(io::ErrorKind::BrokenPipe);
                delayed.tx.send((due, chunk)).map_err(gone)
            }
            None => (&self.stream).write_all(chunk).await.0,
        }
    }
}

async fn read_chunk(stream: &mut TcpStream) -> io::Result<(usize, Vec<u8>)> {
    let compio::buf::BufResult(len, chunk) = stream.read(Vec::with_capacity(READ)).await;
    Ok((len?, chunk))
}

async fn read_ahead(origin: Origin, mut stream: TcpStream, tx: flume::Sender<Chunk>) {
    while let Ok((len, chunk)) = read_chunk(&mut stream).await {
        if len == 0 {
            return;
        }
        let home = Some(origin.server.home);
        let due = origin
            .server
            .net
            .arrival(Traffic::Queries, origin.viewer, home, len);
        if tx.send((due, chunk)).is_err() {
            return;
        }
    }
}

async fn write_behind(origin: Origin, stream: TcpStream, rx: flume::Receiver<Chunk>) {
    while let Ok((due, chunk)) = rx.recv_async().await {
        compio::time::sleep_until(due).await;
        origin.passes(Direction::Out).await;
        if (&stream).write_all(chunk).await.0.is_err() {
            return;
        }
    }
}
