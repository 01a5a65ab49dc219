//! The duty to coordinate changes of primary, which one proxy holds at a time.
//!
//! It is a key of the store under a lease of its own. The lease is shorter than that of the
//! proxy's place: while a coordinator is dead and its lease runs, no primary is replaced.

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

/// Time after which a silent coordinator loses the duty. With 4 s, a primary that went
/// together with the coordinator was replaced 5 s later, with this 3 s. Shorter would lose
/// the duty in a pause of the store of a few hundred milliseconds.
const LEASE: Duration = Duration::from_millis(2_000);

/// Pause between two renewals: one may be lost, and the next takes the store's time limit
/// of 500 ms, before the lease ends.
const RENEW: Span = Span::from_millis(600);

/// Pause between two looks at the key.
const LOOK: Span = Span::from_millis(100);

/// Pause after a failure. Load: the store turns many proxies away, and each finds the duty
/// empty. Harm without it: each asks ten times a second, and the operators pay for all.
const AFTER_FAILURE: Span = Span::from_millis(500);

/// This process's claim to the duty.
pub(super) struct Duty {
    id: ProxyId,
    /// Written into the key: tells this process from an earlier one of the same name.
    nonce: String,
    lease: Cell<Option<Lease>>,
    /// Whether the process stops: it must not take the duty again that it gives up.
    left: Cell<bool>,
}

/// Whose the key is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    Nobody,
    Ours,
    /// An earlier process of this proxy, which has ended.
    Predecessor(Revision),
    Another,
}

impl Duty {
    /// A process without the duty.
    pub(super) fn new(id: ProxyId) -> Self {
        let nonce = format!("{id} {:016x}", rand::rng().random::<u64>());
        Self {
            id,
            nonce,
            lease: Cell::new(None),
            left: Cell::new(false),
        }
    }

    /// The revision at which this process took the duty, while it is sure to hold it and knows
    /// what its predecessors had noted by then.
    pub(super) fn held(&self, directory: &Directory) -> Option<Revision> {
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

    /// Takes the duty whenever nobody has it, and keeps it.
    pub(super) async fn keep(
        self: Rc<Self>,
        directory: Directory,
        client: Client,
        least: Duration,
    ) {
        let ttl = LEASE.max(least);
        let mut renew = clock::now();
        while !self.left.get() {
            let known = directory.with(|s| {
                let holder = self.holder(s.coordinator());
                (s.revision() > Revision(0)).then_some(holder)
            });
            let done = match known {
                Some(Holder::Ours) if clock::now() >= renew => {
                    renew = clock::now() + RENEW;
                    self.renew(&client, ttl).await
                }
                Some(Holder::Nobody) => self.stand(&directory, &client, ttl, Revision(0)).await,
                Some(Holder::Predecessor(at)) => self.stand(&directory, &client, ttl, at).await,
                Some(Holder::Ours | Holder::Another) | None => Ok(()),
            };
            if let Err(e) = done {
                tracing::info!(cause = %e, "the coordinator's key or lease was not written");
                clock::sleep_until(clock::now() + AFTER_FAILURE).await;
            }
            clock::sleep_until(clock::now() + LOOK).await;
        }
    }

    async fn renew(&self, client: &Client, ttl: Duration) -> Result<(), Error> {
        let Some(held) = self.lease.get() else {
            return Ok(());
        };
        let kept = lease::renew(client, held.id, ttl).await?;
        if kept.is_none() {
            tracing::warn!("the coordinator's lease has ended");
        }
        self.lease.set(kept);
        Ok(())
    }

    /// Asks for the duty, whose key was changed last at `expected`. The answer may be lost;
    /// whoever holds the duty is read from the key.
    async fn stand(
        &self,
        directory: &Directory,
        client: &Client,
        ttl: Duration,
        expected: Revision,
    ) -> Result<(), Error> {
        let pause = directory
            .with(|s| election::candidacy_delay(&self.id, s.proxy_ids(), &mut rand::rng()));
        compio::time::sleep(pause.as_duration()).await;
        let at = |record: &Record| record.revision;
        let taken = directory.with(|s| s.coordinator().map_or(Revision(0), at)) != expected;
        if taken || self.left.get() {
            return Ok(());
        }
        let lease = self.usable_lease(client, ttl).await?;
        let nonce = self.nonce.as_bytes();
        // The watch may tell of the outcome a second later: without taking it over from
        // the answer, the key would seem free until then and be asked for again.
        match kv::swap(client, COORDINATOR, expected, nonce, lease.id).await? {
            Outcome::Applied(revision) => {
                tracing::info!(%revision, "this proxy coordinates changes of primary");
                directory.update_coordinator(Record {
                    key: COORDINATOR.to_owned(),
                    value: nonce.to_vec(),
                    revision,
                });
            }
            Outcome::Conflict(held) => {
                let ours = self.holder(held.as_ref()) == Holder::Ours;
                if let Some(held) = held {
                    directory.update_coordinator(held);
                }
                if !ours {
                    self.give_up(client, lease.id).await;
                }
            }
            Outcome::Unknown => {}
        }
        Ok(())
    }

    /// The lease of an earlier claim whose answer was lost, as the key may be written under
    /// it, or a new one.
    async fn usable_lease(&self, client: &Client, ttl: Duration) -> Result<Lease, Error> {
        if let Some(lease) = self.lease.get().filter(|l| clock::now() < l.until) {
            return Ok(lease);
        }
        let lease = lease::grant(client, ttl).await?;
        self.lease.set(Some(lease));
        Ok(lease)
    }

    async fn give_up(&self, client: &Client, lease: LeaseId) {
        self.lease.set(None);
        if let Err(e) = kv::end(client, lease).await {
            tracing::info!(cause = %e, "a lease was not ended; it lapses");
        }
    }

    /// Gives the duty up, so that another proxy can take it at once.
    pub(super) async fn leave(&self, client: &Client) {
        self.left.set(true);
        if let Some(lease) = self.lease.get() {
            self.give_up(client, lease.id).await;
        }
    }
}
