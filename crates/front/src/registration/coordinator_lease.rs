//! The coordinator role for changes of primary, which one proxy holds at a time.
//!
//! The role is a key of the store under a lease of its own. The lease is shorter than that of
//! the proxy's registration: no primary is replaced between a coordinator's failure and the
//! expiry of its lease.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use model::id::ProxyId;
use model::position::Revision;
use model::unit::Span;
use platform::kv;
use policy::election;
use rand::Rng as _;
use store::client::Client;
use store::error::Error;
use store::kv::{Outcome, Record};
use store::lease::LeaseId;

use super::lease::{self, Lease};
use crate::clock;
use crate::directory::{COORDINATOR, Directory};

/// Time without renewal after which a coordinator loses the role. With 4 s, a primary that failed
/// together with the coordinator was replaced after 5 s; with this value, after 3 s. With a
/// shorter one, a stall of the store of a few hundred milliseconds would cost the role.
const LEASE_TTL: Duration = Duration::from_millis(2_000);

/// Interval between two renewals: one may be lost, and the next may take the store's time limit
/// of 500 ms, before the lease expires.
const RENEW_INTERVAL: Span = Span::from_millis(600);

/// Interval between two checks of the key.
const CHECK_INTERVAL: Span = Span::from_millis(100);

/// Pause after a failure. Where the store rejects the requests of many proxies, each of them finds
/// the role vacant; without this pause, each would send ten requests a second, all of which the
/// operators pay for.
const RETRY_DELAY: Span = Span::from_millis(500);

/// This process's claim to the coordinator role.
pub(super) struct CoordinatorLease {
    id: ProxyId,
    /// Value of the key, which distinguishes this process from an earlier one of the same name.
    nonce: String,
    lease: Cell<Option<Lease>>,
    /// Whether the process is stopping, and must not take the role again after releasing it.
    stopping: Cell<bool>,
}

/// Who holds the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    Nobody,
    Ours,
    /// An earlier process of this proxy, which has exited.
    Predecessor(Revision),
    Another,
}

impl CoordinatorLease {
    /// A process without the role.
    pub(super) fn new(id: ProxyId) -> Self {
        let nonce = format!("{id} {:016x}", rand::rng().random::<u64>());
        Self {
            id,
            nonce,
            lease: Cell::new(None),
            stopping: Cell::new(false),
        }
    }

    /// The revision at which this process took the role. `None` unless it certainly holds the role
    /// now and its mirror includes all intents that its predecessors recorded before that.
    pub(super) fn epoch(&self, directory: &Directory) -> Option<Revision> {
        let lease = self.lease.get()?;
        if clock::now() >= lease.until {
            return None;
        }
        directory.with(|state| {
            let held = state.coordinator()?;
            let ours = self.holder(Some(held)) == Holder::Ours;
            (ours && state.revision() >= held.revision).then_some(held.revision)
        })
    }

    fn holder(&self, held: Option<&Record>) -> Holder {
        let Some(held) = held else {
            return Holder::Nobody;
        };
        if held.value == self.nonce.as_bytes() {
            return Holder::Ours;
        }
        let name = held.value.split(|b| *b == b' ').next();
        if name == Some(self.id.as_str().as_bytes()) {
            return Holder::Predecessor(held.revision);
        }
        Holder::Another
    }

    /// Takes the role whenever nobody holds it, and renews its lease.
    pub(super) async fn run(
        self: Rc<Self>,
        directory: Directory,
        client: Client,
        min_ttl: Duration,
    ) {
        let ttl = LEASE_TTL.max(min_ttl);
        let mut renew = clock::now();
        while !self.stopping.get() {
            let known = directory.with(|s| {
                let holder = self.holder(s.coordinator());
                (s.revision() > Revision(0)).then_some(holder)
            });
            let result = match known {
                Some(Holder::Ours) if clock::now() >= renew => {
                    renew = clock::now() + RENEW_INTERVAL;
                    self.renew(&client, ttl).await
                }
                Some(Holder::Nobody) => self.campaign(&directory, &client, ttl, Revision(0)).await,
                Some(Holder::Predecessor(at)) => self.campaign(&directory, &client, ttl, at).await,
                Some(Holder::Ours | Holder::Another) | None => Ok(()),
            };
            if let Err(e) = result {
                tracing::info!(cause = %e, "the coordinator's key or lease was not written");
                clock::sleep_until(clock::now() + RETRY_DELAY).await;
            }
            clock::sleep_until(clock::now() + CHECK_INTERVAL).await;
        }
    }

    async fn renew(&self, client: &Client, ttl: Duration) -> Result<(), Error> {
        let Some(held) = self.lease.get() else {
            return Ok(());
        };
        let renewed = lease::renew(client, held.id, ttl).await?;
        if renewed.is_none() {
            tracing::warn!("the coordinator's lease has expired");
        }
        self.lease.set(renewed);
        Ok(())
    }

    /// Runs as a candidate for the role, whose key was last changed at `expected`. The response may
    /// be lost; the key tells who holds the role.
    async fn campaign(
        &self,
        directory: &Directory,
        client: &Client,
        ttl: Duration,
        expected: Revision,
    ) -> Result<(), Error> {
        let delay = directory
            .with(|s| election::candidacy_delay(&self.id, s.proxy_ids(), &mut rand::rng()));
        compio::time::sleep(delay.as_duration()).await;
        let at = |record: &Record| record.revision;
        let taken = directory.with(|s| s.coordinator().map_or(Revision(0), at)) != expected;
        if taken || self.stopping.get() {
            return Ok(());
        }
        let lease = self.usable_lease(client, ttl).await?;
        if self.stopping.get() {
            self.end_lease(client, lease.id).await;
            return Ok(());
        }
        let nonce = self.nonce.as_bytes();
        // The watch may deliver the outcome a second later. Unless it is taken from the response,
        // the key would seem free until then, and this process would send another request.
        match kv::swap(client, COORDINATOR, expected, nonce, lease.id).await? {
            Outcome::Applied(revision) => {
                tracing::info!(%revision, "this proxy coordinates changes of primary");
                directory.update_coordinator(Record {
                    key: COORDINATOR.to_owned(),
                    value: nonce.to_vec(),
                    revision,
                    created: Revision::default(),
                });
            }
            Outcome::Conflict(held) => {
                let ours = self.holder(held.as_ref()) == Holder::Ours;
                if let Some(held) = held {
                    directory.update_coordinator(held);
                }
                if !ours {
                    self.end_lease(client, lease.id).await;
                }
            }
            Outcome::Unknown => {}
        }
        Ok(())
    }

    /// The lease of an earlier claim whose response was lost, as the key may have been written
    /// under it; otherwise a new one.
    async fn usable_lease(&self, client: &Client, ttl: Duration) -> Result<Lease, Error> {
        if let Some(lease) = self.lease.get().filter(|l| clock::now() < l.until) {
            return Ok(lease);
        }
        let lease = lease::grant(client, ttl).await?;
        self.lease.set(Some(lease));
        Ok(lease)
    }

    async fn end_lease(&self, client: &Client, lease: LeaseId) {
        self.lease.set(None);
        if let Err(e) = kv::revoke(client, lease).await {
            tracing::info!(cause = %e, "the coordinator's lease was not revoked; it will expire");
        }
    }

    /// Releases the role, so that another proxy can take it at once.
    pub(super) async fn leave(&self, client: &Client) {
        self.stopping.set(true);
        if let Some(lease) = self.lease.get() {
            self.end_lease(client, lease.id).await;
        }
    }
}
