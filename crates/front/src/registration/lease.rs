//! Leases of the store, with the time until which their holder may rely on them.

use std::time::Duration;

use model::unit::{Span, Time};
use platform::kv;
use store::client::Client;
use store::error::Error;
use store::lease::LeaseId;

use crate::clock;

/// Subtracted from a lease's duration, so that a holder stops before another can begin even if
/// their clocks run at slightly different rates.
const SAFETY_MARGIN: Span = Span::from_millis(300);

/// A lease that this process holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lease {
    /// Its id in the store.
    pub(super) id: LeaseId,
    /// Until when it is certainly valid: the store measures from the arrival of a call, which is
    /// not before the call was sent.
    pub(super) until: Time,
}

impl Lease {
    fn starting_at(id: LeaseId, sent_at: Time, ttl: Duration) -> Self {
        let ttl = Span::from(ttl)
            .as_micros()
            .saturating_sub(SAFETY_MARGIN.as_micros());
        Self {
            id,
            until: sent_at + Span::from_micros(ttl),
        }
    }
}

/// Requests a new lease.
pub(super) async fn grant(client: &Client, ttl: Duration) -> Result<Lease, Error> {
    let sent_at = clock::now();
    let id = kv::grant(client, ttl).await?;
    Ok(Lease::starting_at(id, sent_at, ttl))
}

/// Renews a lease; `None` if it has expired.
pub(super) async fn renew(
    client: &Client,
    id: LeaseId,
    ttl: Duration,
) -> Result<Option<Lease>, Error> {
    let sent_at = clock::now();
    let renewed = kv::keep_alive(client, id).await?;
    Ok(renewed.then(|| Lease::starting_at(id, sent_at, ttl)))
}
