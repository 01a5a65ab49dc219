//! This proxy's place in the store: its lease, its key, its doubts, and the duty to
//! coordinate changes of primary.

mod duty;
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
use store::lease::LeaseId;

use crate::clock;
use crate::cx::Cx;
use crate::directory::{Announced, Directory, PROXIES, SUSPICIONS};
use duty::Duty;
use lease::Lease;

/// Time after which a silent proxy loses its place; one that pauses for less keeps it.
const LEASE: Duration = Duration::from_millis(6_000);

/// Pause between two renewals: two may be lost before the lease ends.
const RENEW: Span = Span::from_millis(1_800);

/// Pause between two looks at doubts.
const LOOK: Span = Span::from_millis(100);

/// This proxy's standing.
pub struct Member {
    /// Its name.
    pub id: ProxyId,
    announced_as: Announced,
    lease: Cell<Option<Lease>>,
    duty: Rc<Duty>,
    /// Doubts in the store, with the revisions that they were written at.
    doubts: RefCell<IndexMap<GroupId, (InstanceId, Revision)>>,
    announced: Cell<bool>,
    /// Whether the process stops: it must not announce itself again.
    left: Cell<bool>,
}

impl Member {
    /// A proxy without a place yet.
    pub fn new(id: ProxyId, announced_as: Announced) -> Self {
        let duty = Rc::new(Duty::new(id.clone()));
        Self {
            id,
            duty,
            announced_as,
            lease: Cell::new(None),
            doubts: RefCell::default(),
            announced: Cell::new(false),
            left: Cell::new(false),
        }
    }

    /// The revision at which this proxy took the duty to coordinate, while it is sure to
    /// hold it.
    pub fn duty(&self, directory: &Directory) -> Option<Revision> {
        self.duty.held(directory)
    }

    /// Keeps the place for as long as the process runs.
    pub async fn keep(
        self: Rc<Self>,
        cx: Rc<Cx>,
        directory: Directory,
        client: Client,
        least: Duration,
    ) {
        let client = client.counted_for(Purpose::Registration);
        let duty = self.duty.clone();
        let keep_duty = duty.keep(
            directory.clone(),
            client.counted_for(Purpose::CoordinatorRole),
            least,
        );
        compio::runtime::spawn(keep_duty).detach();
        let report = report::run(self.id.clone(), cx.clone(), directory);
        compio::runtime::spawn(report).detach();
        let ttl = LEASE.max(least);
        let mut renew = clock::now();
        let mut lost: Option<Time> = None;
        while !self.left.get() {
            let now = clock::now();
            if now >= renew {
                renew = now + RENEW;
                let renewed = self.renew(&client, ttl).await;
                note(&mut lost, now, renewed.err());
            }
            let placed = lost.is_none() && self.lease.get().is_some();
            if placed && let Err(e) = self.look(&cx, &client).await {
                tracing::info!(cause = %e, "a key was not written");
            }
            clock::sleep_until(clock::now() + LOOK).await;
        }
    }

    async fn renew(&self, client: &Client, ttl: Duration) -> Result<(), Error> {
        if let Some(held) = self.lease.get() {
            let kept = lease::renew(client, held.id, ttl).await?;
            self.lease.set(kept);
            if kept.is_some() {
                return Ok(());
            }
            tracing::warn!(lease = held.id.0, "the lease has ended");
        }
        self.lease.set(Some(lease::grant(client, ttl).await?));
        self.announced.set(false);
        self.doubts.borrow_mut().clear();
        Ok(())
    }

    async fn look(&self, cx: &Cx, client: &Client) -> Result<(), Error> {
        let Some(Lease { id: lease, .. }) = self.lease.get() else {
            return Ok(());
        };
        if !self.announced.get() {
            let key = format!("{PROXIES}{}", self.id);
            let value = serde_json::to_vec(&self.announced_as).map_err(Error::Decode)?;
            kv::put(client, &key, &value, lease).await?;
            self.announced.set(true);
        }
        let concerns = cx.reports.unheard(clock::now());
        let mut groups: Vec<_> = self.doubts.borrow().keys().cloned().collect();
        groups.extend(concerns.keys().cloned());
        for group in groups {
            let doubt = concerns.get(&group).and_then(|c| c.doubt.clone());
            self.tell(client, &group, doubt, lease).await?;
        }
        Ok(())
    }

    async fn tell(
        &self,
        client: &Client,
        group: &GroupId,
        doubt: Option<(InstanceId, policy::primary_monitor::Suspicion)>,
        lease: LeaseId,
    ) -> Result<(), Error> {
        let told = self.doubts.borrow().get(group).cloned();
        let key = format!("{SUSPICIONS}{group}/{}", self.id);
        match (told, doubt) {
            (told, Some((instance, cause)))
                if told.as_ref().is_none_or(|(told, _)| *told != instance) =>
            {
                let written = kv::put(client, &key, instance.as_str().as_bytes(), lease).await?;
                tracing::info!(%group, %instance, ?cause, "a doubt was written to the store: the coordinator does not hear it");
                let mut doubts = self.doubts.borrow_mut();
                doubts.insert(group.clone(), (instance, written));
            }
            (Some((instance, written)), None) => {
                kv::delete(client, &key, written).await?;
                tracing::info!(%group, %instance, "a doubt was taken back from the store");
                self.doubts.borrow_mut().shift_remove(group);
            }
            _ => {}
        }
        Ok(())
    }

    /// Gives the place up, so that another proxy can take the duty at once.
    pub async fn leave(&self, client: &Client) {
        self.left.set(true);
        self.duty.leave(client).await;
        let Some(lease) = self.lease.take() else {
            return;
        };
        if let Err(e) = kv::end(client, lease.id).await {
            tracing::info!(cause = %e, "the lease was not ended; it lapses");
        }
    }
}

/// Logs when renewals begin to fail and when they work again.
fn note(lost: &mut Option<Time>, now: Time, failure: Option<Error>) {
    match (failure, &lost) {
        (Some(e), None) => {
            *lost = Some(now);
            tracing::warn!(cause = %e, "the lease was not renewed");
        }
        (None, Some(since)) => {
            let out_ms = now.since(*since).as_millis();
            tracing::info!(out_ms, "the lease is renewed again");
            *lost = None;
        }
        _ => {}
    }
}
