//! A bare byte forwarder: the least that a process between caller and server can cost.

use std::net::SocketAddr;
use std::{io, thread};

use compio::BufResult;
use compio::io::{AsyncRead as _, AsyncWriteExt as _};
use compio::net::{TcpListener, TcpStream};

use super::thread_time::Clock;

const BUFFER: usize = 16 << 10;

/// A running forwarder. Its thread ends with the process.
pub(super) struct Forwarder {
    address: SocketAddr,
    clock: Clock,
}

impl Forwarder {
    /// Starts a forwarder to `target` on a thread of its own.
    pub(super) fn start(target: SocketAddr) -> io::Result<Self> {
        let (tx, rx) = flume::bounded(1);
        thread::Builder::new()
            .name("forwarder".to_owned())
            .spawn(move || {
                let runtime = compio::runtime::Runtime::new()?;
                runtime.block_on(serve(target, &tx))
            })?;
        let (address, clock) = rx.recv().map_err(|_| io::ErrorKind::BrokenPipe)?;
        Ok(Self { address, clock })
    }

    /// Where it listens.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The clock of its thread.
    pub(super) fn clock(&self) -> Clock {
        self.clock.clone()
    }
}

async fn serve(target: SocketAddr, started: &flume::Sender<(SocketAddr, Clock)>) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let _ = started.send((listener.local_addr()?, Clock::start()));
    loop {
        let (caller, _) = listener.accept().await?;
        let server = TcpStream::connect(target).await?;
        caller.set_nodelay(true)?;
        server.set_nodelay(true)?;
        compio::runtime::spawn(copy(caller.clone(), server.clone())).detach();
        compio::runtime::spawn(copy(server, caller)).detach();
    }
}

async fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buf = Vec::with_capacity(BUFFER);
    loop {
        let BufResult(read, filled) = from.read(buf).await;
        if !matches!(read, Ok(1..)) {
            return;
        }
        let BufResult(written, back) = to.write_all(filled).await;
        if written.is_err() {
            return;
        }
        buf = back;
        buf.clear();
    }
}
