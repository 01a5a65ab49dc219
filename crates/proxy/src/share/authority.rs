//! The right to lend the connections of one data centre's backend servers: a key in the
//! platform's store, held under a lease.
//!
//! One key for each data centre, so that calls to the store grow with data centres and
//! not with proxies or backend servers.

use std::time::{Duration, Instant};

use model::id::{DataCentre, ProxyId};
use model::position::Revision;
use policy::share::LEASE_MARGIN_DIVISOR;
use store::Client;
use store::kv::Outcome;
use store::lease::LeaseId;

use super::Request;

/// Span of the lease. Failure: the lender dies; its borrowers' loans must outlast the
/// lease, or connections in use are lost although the next lender would confirm them.
/// The store counts in whole seconds.
const LEASE: Duration = Duration::from_secs(2);

/// Time between two renewals: two may be lost before the lease lapses. Each lender
/// costs two calls a second.
const RENEW: Duration = Duration::from_millis(500);

/// Prefix of the keys; the data centre follows.
const PREFIX: &str = "pomeloscale/lending/";

/// Value of a key. The nonce tells apart two writes of one proxy.
#[derive(serde::Serialize)]
struct Claim<'a> {
    proxy: &'a ProxyId,
    nonce: u64,
}

/// What the holder of a key is started with.
pub(super) struct Setup {
    /// Client of the store.
    pub(super) store: Client,
    /// This proxy.
    pub(super) me: ProxyId,
    /// Whose backend servers are lent.
    pub(super) data_centre: DataCentre,
    /// Tells this hold from earlier ones of the same key.
    pub(super) hold: u64,
    /// Where the authority is reported.
    pub(super) tx: flume::WeakSender<Request>,
}

/// Holds a key until `stopped` closes, then gives it back.
pub(super) async fn hold(setup: Setup, stopped: flume::Receiver<()>) {
    let mut lease = None;
    loop {
        // Counted from before the call: the store counts from later.
        let sent = Instant::now();
        let renewed = match lease {
            Some(held) => renew(&setup.store, held).await,
            None => take(&setup).await,
        };
        lease = match renewed {
            Renewed::Sure(held) => {
                setup.report(sent + LEASE - LEASE / LEASE_MARGIN_DIVISOR as u32);
                Some(held)
            }
            Renewed::Unclear => lease,
            Renewed::Lost => None,
        };
        let wait = compio::time::timeout(RENEW, stopped.recv_async());
        if wait.await.is_ok() {
            break;
        }
    }
    if let Some(held) = lease {
        let _ = setup.store.revoke(held).await;
    }
}

impl Setup {
    fn report(&self, until: Instant) {
        if let Some(tx) = self.tx.upgrade() {
            let _ = tx.send(Request::Authority {
                data_centre: self.data_centre.clone(),
                hold: self.hold,
                until,
            });
        }
    }
}

/// What became of a renewal.
enum Renewed {
    /// The lease lives, counted from when the renewal was sent.
    Sure(LeaseId),
    /// No answer came; the authority ends by itself unless a later renewal is sure.
    Unclear,
    /// Somebody else holds the key, or nobody.
    Lost,
}

async fn renew(store: &Client, held: LeaseId) -> Renewed {
    match store.keep_alive(held).await {
        Ok(Some(_)) => Renewed::Sure(held),
        Ok(None) => Renewed::Lost,
        Err(_) => Renewed::Unclear,
    }
}

/// Takes the key if nobody holds it.
async fn take(setup: &Setup) -> Renewed {
    let Ok(lease) = setup.store.grant(LEASE).await else {
        return Renewed::Lost;
    };
    let claim = Claim {
        proxy: &setup.me,
        nonce: rand::random(),
    };
    let value = serde_json::to_vec(&claim).unwrap_or_default();
    let data_centre = &setup.data_centre;
    let key = format!("{PREFIX}{data_centre}");
    let taken = setup.store.swap_leased(&key, Revision(0), value, lease);
    if matches!(taken.await, Ok(Outcome::Applied(_))) {
        tracing::info!(%data_centre, "lending");
        return Renewed::Sure(lease);
    }
    // Without this the lease, and the key if it was written after all, would stay.
    let _ = setup.store.revoke(lease).await;
    Renewed::Lost
}
