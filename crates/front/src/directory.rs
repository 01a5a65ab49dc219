//! Keeps the state of the platform's store up to date: the configuration, the instances, the
//! other proxies and the coordinator.

mod intents;
mod keys;
mod state;
mod upstream;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use model::id::{GroupId, ProxyId};
use model::position::Revision;
use model::unit::{Span, Time};
use platform::{kv, routes};
use policy::direct_access::DirectAccess;
use policy::pooler::Proxy;
use policy::store_reader::StoreReaders;
use policy::store_watch::WatchPacing;
use store::client::Client;
use store::error::Error;
use store::kv::{Outcome, Record};
use store::mirror::Update;
use store::watch::Change;

use crate::checkout::{Pooler, Poolers};
use crate::clock;
use crate::cx::Cx;
use crate::feed::StoreAccess;
use crate::group::Shares;
use crate::pending_changes::Changes;
pub use intents::IntentKind;
pub use keys::{Announced, COORDINATOR, PROXIES, SUSPICIONS, pending_changes};
use state::Placement;
pub use state::State;

/// Interval between two checks for deletions that are due.
const SWEEP_INTERVAL: Span = Span::from_millis(250);

/// Tries to write an intent whose known revision is outdated; each failed one returns the
/// current revision.
const INTENT_TRIES: u32 = 3;

/// HTTP status of a store that rejects calls for want of capacity.
const TOO_MANY_REQUESTS: u16 = 429;

/// Why an intent is not known to be in the store.
#[derive(Debug, thiserror::Error)]
pub enum IntentError {
    /// The store did not respond, or refused.
    #[error(transparent)]
    Store(#[from] Error),
    /// Another proxy has become coordinator.
    #[error("another proxy has become coordinator")]
    Superseded,
    /// The store holds an intent that was not known.
    #[error("another intent is recorded already")]
    Other,
}

/// How much of the store is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Known {
    Nothing,
    /// Only which other proxies there are.
    OtherProxies,
    All,
}

/// The state of the store, kept up to date.
#[derive(Clone)]
pub struct Directory {
    cx: Rc<Cx>,
    state: Rc<RefCell<State>>,
    changed: flume::Sender<()>,
    me: Proxy,
    pacing: Rc<RefCell<WatchPacing>>,
    /// Whether the store responds to this proxy.
    direct: Rc<RefCell<DirectAccess>>,
    /// The store readers that this proxy gets updates from.
    update_readers: Rc<RefCell<StoreReaders>>,
    /// While the first update after an outage is applied: the time up to which all updates
    /// had been received.
    complete_until: Rc<Cell<Option<Time>>>,
    /// The store readers that it queries about changes of primary. They are kept apart from
    /// `update_readers`: one that is late with a large update may still answer a query, and
    /// one that is late with a response must still be used for updates.
    change_readers: Rc<RefCell<StoreReaders>>,
    is_coordinator: Rc<dyn Fn(&Directory) -> bool>,
}

impl Directory {
    /// An empty directory; `changed` gets a message after each change of proxies, coordinator
    /// or suspicions. Changes must be in force within `in_force_within`; `is_coordinator`
    /// returns whether this proxy is the coordinator.
    pub fn new(
        cx: Rc<Cx>,
        me: Proxy,
        changed: flume::Sender<()>,
        in_force_within: Duration,
        is_coordinator: impl Fn(&Self) -> bool + 'static,
    ) -> Self {
        Self {
            me,
            direct: Rc::default(),
            update_readers: Rc::default(),
            complete_until: Rc::default(),
            change_readers: Rc::default(),
            pacing: Rc::new(RefCell::new(WatchPacing::new(Span::from(in_force_within)))),
            is_coordinator: Rc::new(is_coordinator),
            cx,
            state: Rc::default(),
            changed,
        }
    }

    /// The pending changes of primary.
    pub fn changes(&self) -> Changes {
        self.cx.changes.clone()
    }

    /// Reads the state.
    pub fn with<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.state.borrow())
    }

    /// Updates the coordinator's key from the response to a call.
    pub fn update_coordinator(&self, record: Record) {
        self.state.borrow_mut().update_coordinator(record);
    }

    /// Records in the store the intent to make a call for a group, if the coordinator's key
    /// still has the revision `epoch`; returns the intent's revision.
    ///
    /// Without this condition, an intent of a former coordinator could replace one of its
    /// successor, or be written after the successor has read the store.
    pub async fn record_intent(
        &self,
        client: &Client,
        epoch: Revision,
        kind: IntentKind,
        group: &GroupId,
        value: &[u8],
    ) -> Result<Revision, IntentError> {
        let key = kind.key(group);
        for _ in 0..INTENT_TRIES {
            let known = self.with(|s| s.intent_revision(kind, group));
            let guard = (COORDINATOR, epoch);
            let outcome = kv::swap_guarded(client, guard, &key, known, value).await?;
            let mut state = self.state.borrow_mut();
            let mut put = |revision, value| {
                state.put_intent(kind, group.clone(), revision, value, clock::now());
            };
            match outcome {
                Outcome::Applied(intent) => {
                    put(intent, value.to_vec());
                    return Ok(intent);
                }
                Outcome::Conflict(Some(current)) if current.revision != known => {
                    let same = current.value == value;
                    put(current.revision, current.value);
                    if !same {
                        return Err(IntentError::Other);
                    }
                }
                Outcome::Conflict(None) if known != Revision(0) => {
                    state.forget_intent(kind, group, known);
                }
                Outcome::Conflict(_) | Outcome::Unknown => return Err(IntentError::Superseded),
            }
        }
        Err(IntentError::Superseded)
    }

    /// Stores when an accepted promotion order has taken effect at the latest: from then on, its
    /// intent counts as expired.
    pub fn order_accepted(&self, group: &GroupId, intent: Revision, settles_at: Time) {
        self.state
            .borrow_mut()
            .order_accepted(group, intent, settles_at);
    }

    /// Deletes an intent, unless a newer one has replaced it.
    pub async fn delete_intent(
        &self,
        client: &Client,
        kind: IntentKind,
        group: &GroupId,
        intent: Revision,
    ) -> Result<(), Error> {
        kv::delete(client, &kind.key(group), intent).await?;
        self.state.borrow_mut().forget_intent(kind, group, intent);
        Ok(())
    }

    /// Follows the store for as long as the process runs; `first_start` means that the whole
    /// fleet starts for the first time.
    pub async fn follow(self, client: Client, first_start: bool) {
        let sweeper = self.clone();
        compio::runtime::spawn(async move { sweeper.sweep().await }).detach();
        let mut lost_at: Option<Time> = None;
        let mut received_at = clock::now();
        let mut known = Known::Nothing;
        loop {
            match self.next_update(&client, &mut known, first_start).await {
                Ok(update) => {
                    if let Some(since) = lost_at.take() {
                        let out_ms = clock::now().since(since).as_millis();
                        tracing::info!(out_ms, touch = ?self.cx.feed.access(), "the store is reachable again");
                        self.complete_until.set(Some(received_at));
                    }
                    received_at = clock::now();
                    self.pacing.borrow_mut().succeeded();
                    self.apply(update).await;
                    self.complete_until.set(None);
                }
                Err(e) => {
                    self.cx.feed.set_access(StoreAccess::Lost);
                    let needs_listing = known == Known::All && is_unusable(&e);
                    if needs_listing {
                        known = Known::OtherProxies;
                    }
                    if lost_at.is_none() {
                        lost_at = Some(clock::now());
                        tracing::warn!(cause = %e, "the store is unreachable");
                    }
                    self.store_failed(&e, needs_listing).await;
                }
            }
        }
    }

    /// Applies an update, and waits so that the next changes arrive as one batch.
    async fn apply(&self, mut update: Update) {
        if matches!(&update, Update::Changes(batch) if batch.changes.is_empty()) {
            return;
        }
        remove_keys(&mut update);
        self.cx.feed.take(&update);
        match update {
            Update::Listing(listing) => self.state.borrow_mut().replace(listing, clock::now()),
            Update::Changes(batch) => self.state.borrow_mut().apply(batch, clock::now()),
        }
        self.distribute();
        let readers = self.with(State::readers);
        let follows = matches!(
            self.cx.feed.access(),
            StoreAccess::Follows | StoreAccess::Diverted
        );
        let urgent = (self.is_coordinator)(self) || follows;
        let pause = self.pacing.borrow().batch_delay(readers, urgent);
        compio::time::sleep(pause.as_duration()).await;
    }

    async fn sweep(&self) {
        loop {
            clock::sleep_until(clock::now() + SWEEP_INTERVAL).await;
            if self.state.borrow_mut().sweep(clock::now()) {
                self.distribute();
            }
        }
    }

    /// Distributes what changed to the tasks that use it.
    fn distribute(&self) {
        let since = self.complete_until.get().unwrap_or_else(clock::now);
        let is_coordinator = (self.is_coordinator)(self);
        let mut state = self.state.borrow_mut();
        if let Some(routes) = state.take_routes() {
            tracing::info!(
                version = routes.version,
                routes = routes.routes.len(),
                "a configuration is in force"
            );
            self.cx.set_routes(routes);
        }
        self.distribute_proxies(&state);
        let routes = self.cx.routes();
        state.update_proxies(routes.groups.len(), clock::now());
        for (group, limits) in &routes.groups {
            let handle = self.cx.ensure_group(group);
            let distances = self.cx.distances();
            let placement = state.take_placement(group, &routes, &self.me, distances);
            if let Some(placement) = placement {
                self.set_placement(&state, group, &placement);
            }
            let shares = Shares {
                connections: limits.connections,
                holders: state.holders(group),
                is_holder: state.is_holder(group) || is_coordinator,
                by_customer: routes.customers.is_some(),
            };
            // Set before the entries: a group that does not know its share must not probe
            // its instances.
            handle.set_shares(shares);
            if let Some(entries) = state.take_entries(group) {
                handle.set_entries(entries, since);
            }
        }
        // A pending message means the same.
        let _ = self.changed.try_send(());
    }

    /// Sets the live proxies among which customers' limits are divided.
    fn distribute_proxies(&self, state: &State) {
        if !self.cx.quotas.are_in_use() {
            return;
        }
        let distances = self.cx.distances();
        let live = state.announcements();
        let place = |id: &ProxyId| {
            let announced = state.announced(id)?;
            let round_trip = distances.round_trip(&announced.data_centre);
            Some((id.clone(), (announced.relay, round_trip)))
        };
        let addresses = live.keys().filter_map(place).collect();
        self.cx.quotas.set_live(live, addresses, state.revision());
    }

    /// Sets the proxies through which a group is reached.
    fn set_placement(&self, state: &State, group: &GroupId, placement: &Placement) {
        let pooler = |proxy: &ProxyId| Pooler {
            proxy: proxy.clone(),
            address: state.relay(proxy).filter(|_| *proxy != self.me.id),
        };
        let poolers = Poolers {
            proxies: placement.plan.poolers.iter().map(pooler).collect(),
            partitions: placement.plan.partitions,
        };
        self.cx.conn_sources.set_poolers(group, poolers);
        let address = |peer: &ProxyId| Some((peer.clone(), state.relay(peer)?));
        let peers = placement.peers.iter().filter_map(address).collect();
        self.cx.conn_sources.set_peers(group, peers);
    }
}

/// Whether a watch brought a response of no use, and would again if it was repeated: the changes
/// since the known revision are no longer kept, for example, or too large for one response.
fn is_unusable(e: &Error) -> bool {
    match e {
        Error::WatchEnded | Error::TooLarge(_) | Error::Decode(_) => true,
        Error::Status(status) => (400..500).contains(status) && *status != TOO_MANY_REQUESTS,
        Error::NoEndpoint
        | Error::Unreachable(_)
        | Error::Connection(_)
        | Error::Timeout(_)
        | Error::Address(_) => false,
    }
}

/// Replaces the API keys in an update by their digests, before it is kept or passed on.
fn remove_keys(update: &mut Update) {
    let records: Vec<&mut Record> = match update {
        Update::Listing(listing) => listing.records.iter_mut().collect(),
        Update::Changes(batch) => batch
            .changes
            .iter_mut()
            .filter_map(Change::record_mut)
            .collect(),
    };
    for record in records {
        if record.key == routes::KEY
            && let Some(value) = routes::without_keys(&record.value)
        {
            record.value = value;
        }
    }
}
