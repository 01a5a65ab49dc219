//! This proxy's place in the store: its lease, its key, its doubts, and the duty to
//! coordinate changes of primary, which one proxy holds at a time.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use model::id::{GroupId, InstanceId, ProxyId};
use model::position::Revision;
use model::unit::{Span, Time};
use platform::kv;
use policy::takeover::Token;
use rand::Rng as _;
use store::client::Client;
use store::error::Error;
use store::kv::Outcome;
use store::lease::LeaseId;

use crate::clock;
use crate::cx::Cx;
use crate::directory::{Announced, COORDINATOR, DOUBTS, Directory, PROXIES};

/// Time after which a silent proxy loses its place. Shorter means that a dead coordinator
/// is replaced sooner; a proxy that pauses for less keeps its place.
const LEASE: Duration = Duration::from_millis(4_000);

/// Pause between two renewals: two may be lost before the lease ends.
const RENEW: Span = Span::from_millis(1_200);

/// Pause between two looks at doubts and at the coordinator's key.
const LOOK: Span = Span::from_millis(100);

/// Kept back of the lease: a holder stops before another can begin, also with clocks that
/// run a little differently.
const MARGIN: Span = Span::from_millis(300);

/// Longest random pause before an empty duty is taken, so that not all ask at once.
const SPREAD_MS: u64 = 60;

/// This proxy's standing.
pub struct Member {
    /// Its name.
    pub id: ProxyId,
    /// Written into the coordinator's key: tells this process from an earlier one of the
    /// same name.
    nonce: String,
    announced_as: Announced,
    lease: Cell<Option<(LeaseId, Time)>>,
    /// Doubts in the store, with the revisions that they were written at.
    doubts: RefCell<IndexMap<GroupId, (InstanceId, Revision)>>,
    announced: Cell<bool>,
}

impl Member {
    /// A proxy without a place yet.
    pub fn new(id: ProxyId, announced_as: Announced) -> Self {
        let nonce = format!("{id} {:016x}", rand::rng().random::<u64>());
        Self {
            id,
            nonce,
            announced_as,
            lease: Cell::new(None),
            doubts: RefCell::default(),
            announced: Cell::new(false),
        }
    }

    /// The first token of this holder, while this proxy is sure to hold the duty.
    pub fn duty(&self, directory: &Directory) -> Option<Token> {
        let (_, until) = self.lease.get()?;
        if clock::now() >= until {
            return None;
        }
        directory.with(|state| {
            let held = state.coordinator()?;
            let ours = held.value == self.nonce.as_bytes();
            ours.then(|| Token::first(held.revision.0))
        })
    }

    /// Keeps the place for as long as the process runs.
    pub async fn keep(
        self: Rc<Self>,
        cx: Rc<Cx>,
        directory: Directory,
        client: Client,
        least: Duration,
    ) {
        let ttl = LEASE.max(least);
        let mut renew = clock::now();
        let mut lost: Option<Time> = None;
        loop {
            let now = clock::now();
            if now >= renew {
                renew = now + RENEW;
                let renewed = self.renew(&client, ttl).await;
                note(&mut lost, now, renewed.err());
            }
            let placed = lost.is_none() && self.lease.get().is_some();
            if placed && let Err(e) = self.look(&cx, &directory, &client).await {
                tracing::info!(cause = %e, "a key was not written");
            }
            clock::sleep_until(clock::now() + LOOK).await;
        }
    }

    async fn renew(&self, client: &Client, ttl: Duration) -> Result<(), Error> {
        let asked = clock::now();
        if let Some((lease, _)) = self.lease.get() {
            if kv::keep(client, lease).await? {
                self.hold(lease, asked, ttl);
                return Ok(());
            }
            tracing::warn!(lease = lease.0, "the lease has ended");
            self.lease.set(None);
        }
        let lease = kv::grant(client, ttl).await?;
        self.hold(lease, asked, ttl);
        self.announced.set(false);
        self.doubts.borrow_mut().clear();
        Ok(())
    }

    fn hold(&self, lease: LeaseId, asked: Time, ttl: Duration) {
        let ttl = Span::from(ttl).as_micros() - MARGIN.as_micros();
        self.lease
            .set(Some((lease, asked + Span::from_micros(ttl))));
    }

    async fn look(&self, cx: &Cx, directory: &Directory, client: &Client) -> Result<(), Error> {
        let Some((lease, _)) = self.lease.get() else {
            return Ok(());
        };
        if !self.announced.get() {
            let key = format!("{PROXIES}{}", self.id);
            let value = serde_json::to_vec(&self.announced_as).map_err(Error::Decode)?;
            kv::put(client, &key, &value, lease).await?;
            self.announced.set(true);
        }
        for group in cx.groups() {
            let doubt = group.view().await.doubt;
            self.tell(client, group.group(), doubt, lease).await?;
        }
        if directory.with(|s| s.revision() > Revision(0) && s.coordinator().is_none()) {
            self.stand(directory, client, lease).await?;
        }
        Ok(())
    }

    async fn tell(
        &self,
        client: &Client,
        group: &GroupId,
        doubt: Option<(InstanceId, policy::watch::Doubt)>,
        lease: LeaseId,
    ) -> Result<(), Error> {
        let told = self.doubts.borrow().get(group).cloned();
        let key = format!("{DOUBTS}{group}/{}", self.id);
        match (told, doubt) {
            (told, Some((instance, cause)))
                if told.as_ref().is_none_or(|(told, _)| *told != instance) =>
            {
                let written = kv::put(client, &key, instance.as_str().as_bytes(), lease).await?;
                tracing::warn!(%group, %instance, ?cause, "this proxy doubts the primary");
                let mut doubts = self.doubts.borrow_mut();
                doubts.insert(group.clone(), (instance, written));
            }
            (Some((instance, written)), None) => {
                tracing::info!(%group, %instance, "this proxy no longer doubts the primary");
                kv::delete(client, &key, written).await?;
                self.doubts.borrow_mut().shift_remove(group);
            }
            _ => {}
        }
        Ok(())
    }

    /// Asks for the duty. The answer may be lost; whoever holds it is read from the key.
    async fn stand(
        &self,
        directory: &Directory,
        client: &Client,
        lease: LeaseId,
    ) -> Result<(), Error> {
        let pause = rand::rng().random_range(0..=SPREAD_MS);
        compio::time::sleep(Duration::from_millis(pause)).await;
        if directory.with(|s| s.coordinator().is_some()) {
            return Ok(());
        }
        let nonce = self.nonce.as_bytes();
        let outcome = kv::swap(client, COORDINATOR, Revision(0), nonce, lease).await?;
        if let Outcome::Applied(revision) = outcome {
            tracing::info!(%revision, "this proxy coordinates changes of primary");
        }
        Ok(())
    }

    /// Gives the place up, so that another proxy can take the duty at once.
    pub async fn leave(&self, client: &Client) {
        let Some((lease, _)) = self.lease.take() else {
            return;
        };
        if let Err(e) = kv::end(client, lease).await {
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
