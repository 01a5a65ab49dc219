//! Follows the platform's store: the configuration, the instances, the other proxies and
//! the coordinator.

mod intents;
mod keys;
mod state;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::id::{GroupId, ProxyId};
use model::position::Revision;
use model::unit::{Span, Time};
use platform::kv;
use policy::pooler::Proxy;
use policy::store_reader::{StoreReaders, Upstream};
use policy::store_watch::WatchPacing;
use store::client::Client;
use store::error::Error;
use store::kv::{Outcome, Record};
use store::mirror::Update;

use crate::changes::{self, Changes};
use crate::clock;
use crate::cx::Cx;
use crate::feed::StoreAccess;
use crate::group::Shares;
use crate::lend::Carrier;
pub use intents::IntentKind;
pub use keys::{Announced, COORDINATOR, PROXIES, SUSPICIONS, pending_changes};
use state::Placement;
pub use state::State;

/// Time between two looks at deletions that are due.
const SWEEP: Span = Span::from_millis(250);

/// Wait of a fleet that starts for the first time until its proxies have announced themselves.
///
/// Load: hundreds of proxies start at once and know of no other. Harm without it: each reads
/// everything from the store itself, half of them over the link between the regions.
const ANNOUNCING: Duration = Duration::from_millis(500);

/// Wait for a neighbour that starts as well and knows nothing yet; it reads the store in
/// some hundred milliseconds.
const FIRST_WAIT: Span = Span::from_millis(1_000);

/// Tries to write a note whose last change was known wrongly; each tells the right one.
const NOTE_TRIES: u32 = 3;

/// Why a note is not known to be in the store.
#[derive(Debug, thiserror::Error)]
pub enum IntentError {
    /// The store did not answer, or refused.
    #[error(transparent)]
    Store(#[from] Error),
    /// Another proxy has the duty to coordinate.
    #[error("the duty to coordinate has changed hands")]
    Superseded,
    /// A call that was not known is noted already.
    #[error("another call is noted already")]
    Other,
}

/// How much of the store is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Known {
    Nothing,
    /// Which other proxies there are.
    Others,
    All,
}

/// What the store tells, kept up to date.
#[derive(Clone)]
pub struct Directory {
    cx: Rc<Cx>,
    state: Rc<RefCell<State>>,
    changed: flume::Sender<()>,
    me: Proxy,
    follow: Rc<RefCell<WatchPacing>>,
    /// Whom this proxy follows.
    followed: Rc<RefCell<StoreReaders>>,
    /// While news are taken over after an outage: up to when everything had been heard.
    complete_until: Rc<Cell<Option<Time>>>,
    /// Whom it asks about changes of primary: one that is late with large news may still
    /// answer, and one that is late with an answer must still be followed.
    asked: Rc<RefCell<StoreReaders>>,
    coordinates: Rc<dyn Fn(&Directory) -> bool>,
}

impl Directory {
    /// A directory that knows nothing yet; `changed` gets a message after each change of
    /// proxies, coordinator or doubts. Changes must be in force within `in_force_within`;
    /// `coordinates` tells whether this proxy holds the coordinator's duty.
    pub fn new(
        cx: Rc<Cx>,
        me: Proxy,
        changed: flume::Sender<()>,
        in_force_within: Duration,
        coordinates: impl Fn(&Self) -> bool + 'static,
    ) -> Self {
        Self {
            me,
            followed: Rc::default(),
            complete_until: Rc::default(),
            asked: Rc::default(),
            follow: Rc::new(RefCell::new(WatchPacing::new(Span::from(in_force_within)))),
            coordinates: Rc::new(coordinates),
            cx,
            state: Rc::default(),
            changed,
        }
    }

    /// What the store tells about changes of primary.
    pub fn changes(&self) -> Changes {
        self.cx.changes.clone()
    }

    /// Reads the state.
    pub fn with<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.state.borrow())
    }

    /// Takes over what a call's answer told about the coordinator's key.
    pub fn update_coordinator(&self, record: Record) {
        self.state.borrow_mut().update_coordinator(record);
    }

    /// Notes in the store that a call is made for a group, if the duty to coordinate is still
    /// the one that was taken at the revision `duty`; gives the note's revision.
    ///
    /// A note of a former coordinator would replace one of its successor, or come after the
    /// successor has read the store.
    pub async fn record_intent(
        &self,
        client: &Client,
        duty: Revision,
        call: IntentKind,
        group: &GroupId,
        value: &[u8],
    ) -> Result<Revision, IntentError> {
        let key = call.key(group);
        for _ in 0..NOTE_TRIES {
            let known = self.with(|s| s.intent_revision(call, group));
            let guard = (COORDINATOR, duty);
            let outcome = kv::swap_guarded(client, guard, &key, known, value).await?;
            let mut state = self.state.borrow_mut();
            let mut learn = |revision, value| {
                state.put_intent(call, group.clone(), revision, value, clock::now());
            };
            match outcome {
                Outcome::Applied(noted) => {
                    learn(noted, value.to_vec());
                    return Ok(noted);
                }
                Outcome::Conflict(Some(current)) if current.revision != known => {
                    let same = current.value == value;
                    learn(current.revision, current.value);
                    if !same {
                        return Err(IntentError::Other);
                    }
                }
                Outcome::Conflict(None) if known != Revision(0) => {
                    state.forget_intent(call, group, known);
                }
                Outcome::Conflict(_) | Outcome::Unknown => return Err(IntentError::Superseded),
            }
        }
        Err(IntentError::Superseded)
    }

    /// Deletes that note, unless a newer one has taken its place.
    pub async fn delete_intent(
        &self,
        client: &Client,
        call: IntentKind,
        group: &GroupId,
        noted: Revision,
    ) -> Result<(), Error> {
        kv::delete(client, &call.key(group), noted).await?;
        self.state.borrow_mut().forget_intent(call, group, noted);
        Ok(())
    }

    /// Follows the store for as long as the process runs; `first_start` says that the whole
    /// fleet starts for the first time.
    pub async fn follow(self, client: Client, first_start: bool) {
        let sweeper = self.clone();
        compio::runtime::spawn(async move { sweeper.sweep().await }).detach();
        let mut lost: Option<Time> = None;
        let mut heard = clock::now();
        let mut known = Known::Nothing;
        loop {
            match self.hear(&client, &mut known, first_start).await {
                Ok(news) => {
                    if let Some(since) = lost.take() {
                        let out_ms = clock::now().since(since).as_millis();
                        tracing::info!(out_ms, touch = ?self.cx.feed.access(), "the store is in reach again");
                        self.complete_until.set(Some(heard));
                    }
                    heard = clock::now();
                    self.follow.borrow_mut().succeeded();
                    self.take(news).await;
                    self.complete_until.set(None);
                }
                Err(e) => {
                    self.cx.feed.set_access(StoreAccess::Lost);
                    if matches!(e, Error::WatchEnded) {
                        known = known.min(Known::Others);
                    }
                    if lost.is_none() {
                        lost = Some(clock::now());
                        tracing::warn!(cause = %e, "the store is out of reach");
                    }
                    let pause = self.follow.borrow_mut().failed(&mut rand::rng());
                    compio::time::sleep(pause.as_duration()).await;
                }
            }
        }
    }

    /// The next news, from a neighbour that reads the store or from the store itself.
    async fn hear(
        &self,
        client: &Client,
        known: &mut Known,
        first_start: bool,
    ) -> Result<Update, Error> {
        if *known == Known::Nothing {
            self.meet_others(client, first_start).await?;
            *known = Known::Others;
        }
        if let Some(news) = self.hear_neighbour(*known).await {
            self.cx.feed.set_access(StoreAccess::Follows);
            *known = Known::All;
            return Ok(news);
        }
        let news = if *known == Known::All {
            let after = self.state.borrow().revision();
            let wait = self.follow.borrow().wait();
            Update::Changes(kv::watch(client, "", after, wait.as_duration()).await?)
        } else {
            Update::Listing(kv::list(client, "").await?)
        };
        *known = Known::All;
        self.cx.feed.set_access(StoreAccess::Reads);
        Ok(news)
    }

    /// Learns which other proxies there are. Names of some seconds ago will do, but for a
    /// fleet that had none then.
    async fn meet_others(&self, client: &Client, first_start: bool) -> Result<(), Error> {
        let proxies = if first_start {
            compio::time::sleep(ANNOUNCING).await;
            kv::list(client, PROXIES).await?
        } else {
            kv::list_stale(client, PROXIES).await?
        };
        self.state.borrow_mut().add_proxies(proxies);
        Ok(())
    }

    /// The neighbour to ask for what the store holds; `None` if this proxy is to ask it.
    fn reader(&self, neighbours: &RefCell<StoreReaders>) -> Option<(ProxyId, SocketAddr)> {
        if (self.coordinates)(self) {
            return None;
        }
        let here = self.with(|s| s.proxies_of(&self.me.data_centre));
        let ids: Vec<_> = here.keys().cloned().collect();
        let source = neighbours
            .borrow()
            .upstream(&self.me.id, &ids, clock::now());
        match source {
            Upstream::StoreReader(reader) => here.get(&reader).map(|address| (reader, *address)),
            Upstream::Store => None,
        }
    }

    /// What a neighbour tells; `None` if this proxy is to ask the store.
    async fn hear_neighbour(&self, known: Known) -> Option<Update> {
        let (reader, address) = self.reader(&self.followed)?;
        let (after, wait) = match known {
            Known::All => (self.with(State::revision), self.follow.borrow().wait()),
            Known::Nothing | Known::Others => (Revision(0), FIRST_WAIT),
        };
        let news = self.cx.relay.follow(&reader, address, after, wait).await;
        // A reader that is behind what this proxy knows would take it back.
        let news = news.filter(|news| news.revision() >= after);
        if news.is_none() {
            tracing::info!(%reader, "a neighbour is passed over: the store is asked itself");
            let mut followed = self.followed.borrow_mut();
            followed.mark_failed(&reader, clock::now());
        }
        news
    }

    /// Asks the neighbours that read the store which groups have a change of primary under way;
    /// `None` if this proxy is to ask the store.
    pub async fn query_changes(&self, within: Span) -> Option<changes::Noted> {
        while let Some((reader, address)) = self.reader(&self.asked) {
            let noted = self.cx.relay.changes(&reader, address, within).await;
            if let Some(noted) = noted {
                return Some(Rc::new(noted));
            }
            let mut asked = self.asked.borrow_mut();
            asked.mark_failed(&reader, clock::now());
        }
        None
    }

    /// Takes news over, and gathers what comes next.
    async fn take(&self, news: Update) {
        if matches!(&news, Update::Changes(batch) if batch.changes.is_empty()) {
            return;
        }
        self.cx.feed.take(&news);
        match news {
            Update::Listing(listing) => self.state.borrow_mut().replace(listing, clock::now()),
            Update::Changes(batch) => self.state.borrow_mut().apply(batch, clock::now()),
        }
        self.hand_out();
        let readers = self.with(State::readers);
        let at_once = (self.coordinates)(self) || self.cx.feed.access() == StoreAccess::Follows;
        let pause = self.follow.borrow().batch_delay(readers, at_once);
        compio::time::sleep(pause.as_duration()).await;
    }

    async fn sweep(&self) {
        loop {
            clock::sleep_until(clock::now() + SWEEP).await;
            if self.state.borrow_mut().sweep(clock::now()) {
                self.hand_out();
            }
        }
    }

    /// Passes on what changed to those whom it concerns.
    fn hand_out(&self) {
        let since = self.complete_until.get().unwrap_or_else(clock::now);
        let coordinates = (self.coordinates)(self);
        let mut state = self.state.borrow_mut();
        if let Some(routes) = state.take_routes() {
            tracing::info!(
                version = routes.version,
                routes = routes.routes.len(),
                "a configuration is in force"
            );
            self.cx.set_routes(routes);
        }
        let routes = self.cx.routes();
        for (group, limits) in &routes.groups {
            let handle = self.cx.ensure_group(group);
            if let Some(placement) = state.take_placement(group, limits.connections, &self.me) {
                self.place(&state, group, &placement);
            }
            let shares = Shares {
                connections: limits.connections,
                holders: state.holders(group),
                is_holder: state.is_holder(group) || coordinates,
            };
            // A group that does not know its share must not ask its instances who leads.
            handle.set_shares(shares);
            if let Some(entries) = state.take_entries(group) {
                handle.set_entries(entries, since);
            }
        }
        // A message that waits already says the same.
        let _ = self.changed.try_send(());
    }

    /// Takes over through which proxies a group is reached.
    fn place(&self, state: &State, group: &GroupId, placement: &Placement) {
        let carrier = |proxy: &ProxyId| Carrier {
            proxy: proxy.clone(),
            address: state.relay(proxy).filter(|_| *proxy != self.me.id),
        };
        let through = placement.plan.poolers.iter().map(carrier).collect();
        self.cx.conn_sources.set_through(group, through);
        let address = |peer: &ProxyId| Some((peer.clone(), state.relay(peer)?));
        let peers = placement.peers.iter().filter_map(address).collect();
        self.cx.conn_sources.set_peers(group, peers);
    }
}
