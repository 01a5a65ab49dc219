//! Requests to peers, each as a small task that reports its end.

use std::net::SocketAddr;
use std::time::Duration;

use peer::client::Error;
use policy::config_mirror::Delta;
use policy::membership::message::{Compare, Failure, Heartbeat, Peer, Tables};

use crate::trace::Tracer;

use super::{BEAT, COMPARE, Empty, Fetch, RECORDS, VIEW};

/// Longest wait for the answer to a heartbeat: well above a round trip between regions
/// and below the time between two heartbeats.
const BEAT_LIMIT: Duration = Duration::from_millis(500);

/// Longest wait for records or tables, which may be long.
const BULK_LIMIT: Duration = Duration::from_millis(2_500);

/// How an exchange ended.
pub(super) enum End {
    Beat(Heartbeat),
    Failed(Peer, Failure),
    Tables(Tables),
    Delta(Peer, Delta),
    NoDelta(Peer),
}

/// Sends requests and reports their ends.
#[derive(Clone)]
pub(super) struct Exchanges {
    pub(super) client: peer::Client,
    pub(super) ends: flume::Sender<End>,
    pub(super) tracer: Tracer,
}

impl Exchanges {
    pub(super) fn beat(&self, peer: Peer, heartbeat: Heartbeat) {
        let Self { client, ends, .. } = self.clone();
        compio::runtime::spawn(async move {
            let answer = client.call(peer.address, BEAT, &heartbeat, BEAT_LIMIT, None);
            let end = match answer.await {
                Ok(answer) => End::Beat(answer),
                Err(e) => {
                    tracing::debug!(peer = %peer.address, cause = %e, "heartbeat failed");
                    End::Failed(peer, failure(&e))
                }
            };
            let _ = ends.send(end);
        })
        .detach();
    }

    pub(super) fn compare(&self, address: SocketAddr, compare: Compare) {
        let Self { client, ends, .. } = self.clone();
        compio::runtime::spawn(async move {
            let answer = client.call(address, COMPARE, &compare, BULK_LIMIT, None);
            if let Ok(tables) = answer.await {
                let _ = ends.send(End::Tables(tables));
            }
        })
        .detach();
    }

    pub(super) fn fetch(&self, peer: Peer, fetch: Fetch) {
        let Self {
            client,
            ends,
            tracer,
        } = self.clone();
        compio::runtime::spawn(async move {
            let mut span = tracer.incoming("adopt", None);
            span.set("peer.address", &peer.address);
            let cx = span.context();
            let answer = client.call(peer.address, RECORDS, &fetch, BULK_LIMIT, cx);
            let end = match answer.await {
                Ok(delta) => End::Delta(peer, delta),
                Err(e) => {
                    tracing::info!(peer = %peer.address, cause = %e, "records not fetched");
                    End::NoDelta(peer)
                }
            };
            let _ = ends.send(end);
        })
        .detach();
    }

    /// Sends a report; the sender repeats it while it is relevant.
    pub(super) fn send_report(&self, address: SocketAddr, view: policy::message::PeerReport) {
        let client = self.client.clone();
        compio::runtime::spawn(async move {
            let answer = client.call(address, VIEW, &view, BEAT_LIMIT, None);
            let result: Result<Empty, _> = answer.await;
            if let Err(e) = result {
                tracing::debug!(peer = %address, cause = %e, "report not delivered");
            }
        })
        .detach();
    }
}

fn failure(e: &Error) -> Failure {
    match e {
        Error::Unreachable(_) => Failure::Refused,
        _ => Failure::Unresponsive,
    }
}
