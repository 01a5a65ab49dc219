//! Relays TCP between processes with the delay and the cuts of their link.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Instant;

use compio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};

use crate::group;
use crate::link::{Net, Site, Traffic};

const READ: usize = 64 << 10;

/// Opens a listener in the target's data centre that relays to `target`.
pub(crate) fn open(net: &Net, target: SocketAddr) -> io::Result<SocketAddr> {
    let socket = group::bind(SocketAddr::new(target.ip(), 0))?;
    let address = socket.local_addr()?;
    let listener = TcpListener::from_std(socket)?;
    let net = net.clone();
    compio::runtime::spawn(async move {
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                continue;
            };
            let relay = relay(net.clone(), stream, peer.ip(), target);
            compio::runtime::spawn(async move {
                if let Err(e) = relay.await {
                    tracing::debug!(error = %e, "relay ended");
                }
            })
            .detach();
        }
    })
    .detach();
    Ok(address)
}

async fn relay(net: Net, near: TcpStream, from: IpAddr, target: SocketAddr) -> io::Result<()> {
    let (from, to) = (net.site(from), net.site(target.ip()));
    net.wait_open(from, to).await;
    let far = TcpStream::connect(target).await?;
    // Both ends of a delayed link send small messages that must not wait.
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let there = pump(&net, near.clone(), far.clone(), (from, to));
    let back = pump(&net, far, near, (to, from));
    futures_util::future::join(there, back).await;
    Ok(())
}

/// Carries bytes in one direction until the sender ends.
async fn pump(net: &Net, mut reader: TcpStream, mut writer: TcpStream, (from, to): (Site, Site)) {
    let (tx, rx) = flume::unbounded::<(Instant, Vec<u8>)>();
    let read = async move {
        loop {
            let result = reader.read(Vec::with_capacity(READ)).await;
            let compio::buf::BufResult(Ok(len @ 1..), chunk) = result else {
                return;
            };
            if tx
                .send((net.arrival(Traffic::Relayed, from, to, len), chunk))
                .is_err()
            {
                return;
            }
        }
    };
    let write = async move {
        while let Ok((due, chunk)) = rx.recv_async().await {
            if due > Instant::now() {
                compio::time::sleep_until(due).await;
            }
            net.wait_open(from, to).await;
            if writer.write_all(chunk).await.0.is_err() {
                break;
            }
        }
        // The other end may have closed already.
        let _ = writer.shutdown().await;
    };
    futures_util::future::join(read, write).await;
}
