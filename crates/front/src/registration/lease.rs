//! Leases of the store, with the time until which their holder may count on them.

use std::time::Duration;

use model::unit::{Span, Time};
use platform::kv;
use store::client::Client;
use store::error::Error;
use store::lease::LeaseId;

use crate::clock;

/// Kept back of a lease: a holder stops before another can begin, also with clocks that
/// run a little differently.
const MARGIN: Span = Span::from_millis(300);

/// A lease that this process holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lease {
    /// Its number.
    pub(super) id: LeaseId,
    /// Until when it holds for certain: the store counts from the arrival of a call, which
    /// is not before the call was sent.
    pub(super) until: Time,
}

impl Lease {
    fn since(id: LeaseId, asked: Time, ttl: Duration) -> Self {
        let ttl = Span::from(ttl)
            .as_micros()
            .saturating_sub(MARGIN.as_micros());
        Self {
            id,
            until: asked + Span::from_micros(ttl),
        }
    }
}

/// Asks for a new lease.
pub(super) async fn grant(client: &Client, ttl: Duration) -> Result<Lease, Error> {
    let asked = clock::now();
    let id = kv::grant(client, ttl).await?;
    Ok(Lease::since(id, asked, ttl))
}

/// Renews a lease; `None` if it has ended.
pub(super) async fn renew(
    client: &Client,
    id: LeaseId,
    ttl: Duration,
) -> Result<Option<Lease>, Error> {
    let asked = clock::now();
    let kept = kv::keep(client, id).await?;
    Ok(kept.then(|| Lease::since(id, asked, ttl)))
}
