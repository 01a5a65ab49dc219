//! This proxy's registration in the store: its lease, its key, its suspicions, and the
//! coordinator role for changes of primary.

mod coordinator_lease;
mod lease;
mod report;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use model::id::{GroupId, InstanceId, ProxyId};
use model::position::Revision;
use model::unit::{Span, Time};
use platform::kv;
use store::calls::Purpose;
use store::client::Client;
use store::error::Error;
use store::kv::Outcome;
use store::lease::LeaseId;

use crate::clock;
use crate::cx::Cx;
use crate::directory::{Announced, Directory, PROXIES, SUSPICIONS};
use coordinator_lease::CoordinatorLease;
use lease::Lease;

/// Time without renewal after which a proxy loses its registration; one that is suspended for a
/// shorter time keeps it.
const LEASE_TTL: Duration = Duration::from_millis(6_000);

/// Interval between two renewals: two may be lost before the lease expires.
const RENEW_INTERVAL: Span = Span::from_millis(1_800);

/// Interval between two checks for suspicions to write or delete.
const CHECK_INTERVAL: Span = Span::from_millis(100);

/// Tries to write the announcement. The first one may not know of the announcement of an
/// earlier process, which the response shows; that one may lapse meanwhile.
const ANNOUNCE_TRIES: u32 = 3;

/// This proxy's registration and its coordinator role.
pub struct Registration {
    /// The proxy's name.
    pub id: ProxyId,
    announced_as: Announced,
    lease: Cell<Option<Lease>>,
    coordinator_lease: Rc<CoordinatorLease>,
    /// Suspicions in the store, with the revisions at which they were written.
    suspicions: RefCell<IndexMap<GroupId, (InstanceId, Revision)>>,
    announced: Cell<bool>,
    /// Whether the process is stopping, and must not announce itself again.
    stopping: Cell<bool>,
}

impl Registration {
    /// A proxy that is not registered yet.
    pub fn new(id: ProxyId, announced_as: Announced) -> Self {
        let coordinator_lease = Rc::new(CoordinatorLease::new(id.clone()));
        Self {
            id,
            coordinator_lease,
            announced_as,
            lease: Cell::new(None),
            suspicions: RefCell::default(),
            announced: Cell::new(false),
            stopping: Cell::new(false),
        }
    }

    /// The epoch of this proxy's coordinator role: the revision at which it took the role. `None`
    /// unless it certainly holds the role now.
    pub fn coordinator_epoch(&self, directory: &Directory) -> Option<Revision> {
        self.coordinator_lease.epoch(directory)
    }

    /// Maintains the registration until the process stops.
    pub async fn run(
        self: Rc<Self>,
        cx: Rc<Cx>,
        directory: Directory,
        client: Client,
        min_ttl: Duration,
    ) {
        let client = client.counted_for(Purpose::Registration);
        let coordinator_lease = self.coordinator_lease.clone();
        let hold_role = coordinator_lease.run(
            directory.clone(),
            client.counted_for(Purpose::CoordinatorRole),
            min_ttl,
        );
        compio::runtime::spawn(hold_role).detach();
        let report = report::run(self.id.clone(), cx.clone(), directory.clone());
        compio::runtime::spawn(report).detach();
        let ttl = LEASE_TTL.max(min_ttl);
        let mut renew = clock::now();
        let mut failing_since: Option<Time> = None;
        while !self.stopping.get() {
            let now = clock::now();
            if now >= renew {
                renew = now + RENEW_INTERVAL;
                let renewed = self.renew(&cx, &client, ttl).await;
                log_renewal(&mut failing_since, now, renewed.err());
            }
            // The stop may have begun during the renewal.
            if self.stopping.get() {
                break;
            }
            let registered = failing_since.is_none() && self.lease.get().is_some();
            if registered && let Err(e) = self.write_keys(&cx, &directory, &client).await {
                tracing::info!(cause = %e, "a key of this proxy was not written");
            }
            clock::sleep_until(clock::now() + CHECK_INTERVAL).await;
        }
    }

    async fn renew(&self, cx: &Cx, client: &Client, ttl: Duration) -> Result<(), Error> {
        if let Some(held) = self.lease.get() {
            let renewed = lease::renew(client, held.id, ttl).await?;
            if self.stopping.get() {
                return Ok(());
            }
            self.lease.set(renewed);
            if let Some(renewed) = renewed {
                cx.quotas.set_valid_until(renewed.until);
                return Ok(());
            }
            tracing::warn!(lease = held.id.0, "the lease has expired");
        }
        cx.quotas.set_announced(None);
        let lease = lease::grant(client, ttl).await?;
        if self.stopping.get() {
            return kv::revoke(client, lease.id).await;
        }
        cx.quotas.set_valid_until(lease.until);
        self.lease.set(Some(lease));
        self.announced.set(false);
        self.suspicions.borrow_mut().clear();
        Ok(())
    }

    async fn write_keys(
        &self,
        cx: &Cx,
        directory: &Directory,
        client: &Client,
    ) -> Result<(), Error> {
        let Some(Lease { id: lease, .. }) = self.lease.get() else {
            return Ok(());
        };
        if !self.announced.get() {
            let replaced = directory.with(|s| s.announcement_revision(&self.id));
            let announced_at = self.announce(client, lease, replaced).await?;
            if self.stopping.get() {
                return Ok(());
            }
            cx.quotas.set_announced(announced_at);
            self.announced.set(announced_at.is_some());
        }
        let reports = cx.reports.undelivered(clock::now());
        let mut groups: Vec<_> = self.suspicions.borrow().keys().cloned().collect();
        groups.extend(reports.keys().cloned());
        let client = client.counted_for(Purpose::Suspicions);
        for group in groups {
            let suspicion = reports.get(&group).and_then(|c| c.suspicion.clone());
            self.write_suspicion(&client, &group, suspicion, lease)
                .await?;
        }
        Ok(())
    }

    /// Writes this proxy's announcement, in place of the one that was written at `replaced`; 0:
    /// there is none. Returns its revision, or `None` if the key changed meanwhile.
    ///
    /// A write without this condition that an earlier process sent could be carried out late:
    /// it would tie the key to that process's lease, and look like a start of this proxy.
    async fn announce(
        &self,
        client: &Client,
        lease: LeaseId,
        replaced: Revision,
    ) -> Result<Option<Revision>, Error> {
        let key = format!("{PROXIES}{}", self.id);
        let value = serde_json::to_vec(&self.announced_as).map_err(Error::Decode)?;
        let mut expected = replaced;
        for _ in 0..ANNOUNCE_TRIES {
            match kv::swap(client, &key, expected, &value, lease).await? {
                Outcome::Applied(announced_at) => return Ok(Some(announced_at)),
                Outcome::Conflict(held) => expected = held.map_or(Revision(0), |r| r.revision),
                Outcome::Unknown => break,
            }
        }
        Ok(None)
    }

    async fn write_suspicion(
        &self,
        client: &Client,
        group: &GroupId,
        suspicion: Option<(InstanceId, policy::primary_monitor::Suspicion)>,
        lease: LeaseId,
    ) -> Result<(), Error> {
        let previous = self.suspicions.borrow().get(group).cloned();
        let key = format!("{SUSPICIONS}{group}/{}", self.id);
        match (previous, suspicion) {
            (previous, Some((instance, cause)))
                if previous
                    .as_ref()
                    .is_none_or(|(previous, _)| *previous != instance) =>
            {
                let written = kv::put(client, &key, instance.as_str().as_bytes(), lease).await?;
                tracing::info!(%group, %instance, ?cause, "a suspicion was written to the store: it could not be delivered to the coordinator");
                let mut suspicions = self.suspicions.borrow_mut();
                suspicions.insert(group.clone(), (instance, written));
            }
            (Some((instance, written)), None) => {
                kv::delete(client, &key, written).await?;
                tracing::info!(%group, %instance, "a suspicion was deleted from the store");
                self.suspicions.borrow_mut().shift_remove(group);
            }
            _ => {}
        }
        Ok(())
    }

    /// Ends the registration, so that another proxy can take the coordinator role at once.
    pub async fn leave(&self, cx: &Cx, client: &Client) {
        self.stopping.set(true);
        cx.quotas.set_announced(None);
        self.coordinator_lease.leave(client).await;
        let Some(lease) = self.lease.take() else {
            return;
        };
        if let Err(e) = kv::revoke(client, lease.id).await {
            tracing::info!(cause = %e, "the lease was not revoked; it will expire");
        }
    }
}

/// Logs when renewals begin to fail and when they succeed again.
fn log_renewal(failing_since: &mut Option<Time>, now: Time, failure: Option<Error>) {
    match (failure, &failing_since) {
        (Some(e), None) => {
            *failing_since = Some(now);
            tracing::warn!(cause = %e, "the lease was not renewed");
        }
        (None, Some(since)) => {
            let out_ms = now.since(*since).as_millis();
            tracing::info!(out_ms, "the lease is renewed again");
            *failing_since = None;
        }
        _ => {}
    }
}
