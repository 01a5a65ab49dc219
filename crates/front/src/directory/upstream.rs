//! Where this proxy gets updates of the store: from a store reader, or from the store itself.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::id::ProxyId;
use model::position::Revision;
use model::unit::{Span, Time};
use platform::kv;
use policy::store_reader::{self, Next, StoreReaders, Upstream};
use store::client::Client;
use store::error::Error;
use store::mirror::Update;

use super::{Directory, Known, PROXIES, State};
use crate::clock;
use crate::feed::StoreAccess;
use crate::pending_changes::ChangingGroups;
use crate::relay::FollowFailure;

/// On the first start of a fleet, time until its proxies have announced themselves.
///
/// Hundreds of proxies start at once and know of no other. Without this, each would read
/// everything from the store directly, half of them over the link between the regions.
const ANNOUNCE_WAIT: Duration = Duration::from_millis(500);

/// Timeout for the first update from a store reader that is starting as well and knows nothing
/// yet; it reads the store in some hundred milliseconds.
const FIRST_UPDATE_TIMEOUT: Span = Span::from_millis(1_000);

/// Wait of the first watch of a proxy that takes over from a store reader: its followers ask it
/// already, and wait for 200 ms until it reads the store.
const TAKEOVER_WAIT: Span = Span::from_millis(60);

/// Pause between two rounds of querying store readers about changes of primary while none of
/// them reads the store.
const POLL_INTERVAL: Span = Span::from_millis(200);

impl Directory {
    /// The next update, from a store reader or from the store itself.
    pub(super) async fn next_update(
        &self,
        client: &Client,
        known: &mut Known,
        first_start: bool,
    ) -> Result<Update, Error> {
        if *known == Known::Nothing {
            let next_call = self.direct.borrow().next_call();
            clock::sleep_until(next_call).await;
            self.list_proxies(client, first_start).await?;
            *known = Known::OtherProxies;
        }
        if let Some(update) = self.update_from_reader(*known).await {
            *known = Known::All;
            return Ok(update);
        }
        let update = if *known == Known::All {
            let after = self.state.borrow().revision();
            let wait = self.watch_wait();
            Update::Changes(kv::watch(client, "", after, wait.as_duration()).await?)
        } else {
            Update::Listing(kv::list(client, "").await?)
        };
        *known = Known::All;
        self.direct.borrow_mut().succeeded();
        self.cx.feed.set_access(StoreAccess::Reads);
        Ok(update)
    }

    /// How long a watch on the store waits.
    fn watch_wait(&self) -> Span {
        let wait = self.pacing.borrow().wait();
        let takes_over = self.cx.feed.access() != StoreAccess::Reads
            && store_reader::may_take_over(&self.me.id, &self.local_ids());
        if takes_over {
            wait.min(TAKEOVER_WAIT)
        } else {
            wait
        }
    }

    /// Lists the other proxies. A list that is some seconds old suffices, except on the first
    /// start of a fleet, when it would be empty.
    async fn list_proxies(&self, client: &Client, first_start: bool) -> Result<(), Error> {
        let proxies = if first_start {
            compio::time::sleep(ANNOUNCE_WAIT).await;
            kv::list(client, PROXIES).await?
        } else {
            kv::list_stale(client, PROXIES).await?
        };
        self.state.borrow_mut().add_proxies(proxies);
        Ok(())
    }

    fn local_ids(&self) -> Vec<ProxyId> {
        let local = self.with(|s| s.proxies_of(&self.me.data_centre));
        local.into_keys().collect()
    }

    /// The address of a proxy of this data centre.
    fn address(&self, id: &ProxyId) -> Option<SocketAddr> {
        self.with(|s| s.relay(id))
    }

    /// An update from a store reader; `None` if this proxy must read the store directly.
    async fn update_from_reader(&self, known: Known) -> Option<Update> {
        loop {
            let was_lost = self.direct.borrow().is_lost();
            let reader = match self.next_step() {
                Next::Call => return None,
                Next::WaitUntil(time) => {
                    clock::sleep_until(time).await;
                    continue;
                }
                Next::Follow(reader) => reader,
            };
            match self.follow_reader(&reader, known).await {
                Ok(update) => {
                    self.update_readers.borrow_mut().end_round();
                    self.set_followed(&reader);
                    return Some(update);
                }
                Err(e) => {
                    tracing::info!(%reader, cause = %e, "a store reader sent no usable update");
                    mark(&self.update_readers, &reader, &e);
                    // An unresponsive reader has cost so much time that the store is read next. When
                    // the whole fleet starts, readers that are not there yet cost none.
                    let costs_time = !matches!(e, FollowFailure::NotReading);
                    if !was_lost && known == Known::All && costs_time {
                        self.update_readers.borrow_mut().end_round();
                        return None;
                    }
                }
            }
        }
    }

    fn next_step(&self) -> Next {
        let ids = if (self.is_coordinator)(self) {
            Vec::new()
        } else {
            self.local_ids()
        };
        let mut readers = self.update_readers.borrow_mut();
        readers.next(&self.me.id, &ids, &self.direct.borrow(), clock::now())
    }

    async fn follow_reader(&self, reader: &ProxyId, known: Known) -> Result<Update, FollowFailure> {
        let address = self.address(reader).ok_or(FollowFailure::Unknown)?;
        let (after, wait) = match known {
            Known::All => (self.with(State::revision), self.pacing.borrow().wait()),
            Known::Nothing | Known::OtherProxies => (Revision(0), FIRST_UPDATE_TIMEOUT),
        };
        let call_due = self.update_readers.borrow().call_due(&self.me.id);
        let wait = call_due.map_or(wait, |due| wait.min(due.since(clock::now())));
        let update = self.cx.relay.follow(reader, address, after, wait).await?;
        if update.revision() < after {
            // It would revert this proxy's state.
            return Err(FollowFailure::Behind);
        }
        Ok(update)
    }

    /// Records that the updates come from another proxy.
    fn set_followed(&self, reader: &ProxyId) {
        let upstream =
            StoreReaders::default().upstream(&self.me.id, &self.local_ids(), clock::now());
        let is_first = upstream == Upstream::StoreReader(reader.clone());
        let mut direct = self.direct.borrow_mut();
        direct.followed(is_first);
        self.cx.feed.set_access(if direct.is_lost() {
            StoreAccess::Diverted
        } else {
            StoreAccess::Follows
        });
    }

    /// Records that a call to the store failed; `needs_listing` says that the store responded to
    /// a watch, and has to be listed.
    pub(super) async fn store_failed(&self, cause: &Error, needs_listing: bool) {
        let (now, mut rng) = (clock::now(), rand::rng());
        let delay = self.pacing.borrow_mut().failed(&mut rng);
        if needs_listing || matches!(cause, Error::WatchEnded) {
            compio::time::sleep(delay.as_duration()).await;
            return;
        }
        let ids = self.local_ids();
        let others_call = !(self.is_coordinator)(self)
            && !store_reader::is_reader(&self.me.id, &ids)
            && self
                .update_readers
                .borrow()
                .others_respond(&self.me.id, &ids);
        let mut direct = self.direct.borrow_mut();
        direct.failed(others_call, delay, &mut rng, now);
    }

    /// The store readers to query about changes of primary, and their addresses.
    fn change_readers(&self) -> Vec<(ProxyId, SocketAddr)> {
        if (self.is_coordinator)(self) {
            return Vec::new();
        }
        let (readers, is_lost) = (self.change_readers.borrow(), self.direct.borrow().is_lost());
        let ids = readers.available(&self.me.id, &self.local_ids(), is_lost, clock::now());
        let addresses = ids
            .into_iter()
            .filter_map(|id| Some((id.clone(), self.address(&id)?)));
        addresses.collect()
    }

    /// Queries the store readers which groups have a change of primary under way; `None` if
    /// this proxy must query the store directly.
    pub async fn query_changes(&self, within: Span) -> Option<ChangingGroups> {
        loop {
            // Each is queried once: the first one would be due again after slow responses of the
            // others, and the store would never be queried.
            for (reader, address) in self.change_readers() {
                match self.cx.relay.changes(&reader, address, within).await {
                    Ok(changing) => return Some(Rc::new(changing)),
                    Err(e) => {
                        tracing::info!(%reader, cause = %e, "a store reader did not report the changes of primary in progress");
                        mark(&self.change_readers, &reader, &e);
                    }
                }
            }
            // While the store does not respond to this proxy, it is called for updates only.
            let others = store_reader::has_followers(self.local_ids().len());
            if !others || !self.direct.borrow().is_lost() {
                return None;
            }
            clock::sleep_until(clock::now() + POLL_INTERVAL).await;
        }
    }
}

/// Records why a store reader was of no use.
fn mark(readers: &RefCell<StoreReaders>, reader: &ProxyId, failure: &FollowFailure) {
    let (mut readers, now): (_, Time) = (readers.borrow_mut(), clock::now());
    match failure {
        FollowFailure::NotReading => readers.mark_without_updates(reader, now),
        FollowFailure::Unknown
        | FollowFailure::Behind
        | FollowFailure::Silent
        | FollowFailure::Conn(_)
        | FollowFailure::Pack(_) => {
            readers.mark_failed(reader, now);
        }
    }
}
