//! Which connections are eligible for replica acknowledgements: those that were open at a time
//! when the store showed no pending change of primary.
//!
//! When hundreds of proxies restart at once, none has an eligible connection. If each queried
//! the store, it would receive several queries a second from every proxy. So a proxy queries the
//! store reader of its data centre, which sends one query on behalf of all that wait.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::id::GroupId;
use model::unit::{Span, Time};
use platform::kv;
use policy::replica_ack::EligibleBefore;
use store::calls::Purpose;
use store::client::Client;

use crate::clock;
use crate::directory;

/// Pause after the store did not respond.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// How long a query that no write waits for may be delayed, to be batched with others.
const BATCH_DELAY: Span = Span::from_millis(200);

/// The same for a query through a store reader. Each proxy of its data centre sends one a second,
/// and with the shorter delay the reader would call the store several times a second.
const SHARED_BATCH_DELAY: Span = Span::from_millis(600);

/// Interval between two such queries of one proxy.
const REFRESH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Groups with a pending change of primary.
pub type ChangingGroups = Rc<IndexSet<GroupId>>;

/// A query: the sender for its reply, and the time until which it may be delayed.
type Query = (flume::Sender<ChangingGroups>, Time);

/// What the store reported about pending changes of primary.
///
/// Only replies to a query are used, dated by the time at which the query was sent. A watch may
/// receive nothing for its whole wait, and the updates of a store reader carry no time of this
/// process's clock.
#[derive(Clone, Default)]
pub struct Changes {
    state: Rc<RefCell<State>>,
    /// Queries on behalf of waiting writes.
    urgent: Queue,
    /// Queries whose reply nobody waits for.
    refresh: Queue,
    /// Queries to the store itself.
    store: Queue,
}

/// Queries that are not sent yet.
#[derive(Clone)]
struct Queue {
    tx: flume::Sender<Query>,
    rx: flume::Receiver<Query>,
}

impl Default for Queue {
    fn default() -> Self {
        let (tx, rx) = flume::unbounded();
        Self { tx, rx }
    }
}

impl Queue {
    fn add(&self, send_by: Time) -> flume::Receiver<ChangingGroups> {
        let (tx, rx) = flume::bounded(1);
        // Sending can't fail: the queue holds the receiver too.
        let _ = self.tx.send((tx, send_by));
        rx
    }

    /// Waits for queries that one reply can serve, and returns their senders. The shared query must
    /// be sent after the last of them arrived.
    async fn next(&self) -> Option<Vec<flume::Sender<ChangingGroups>>> {
        let (first, mut send_by) = self.rx.recv_async().await.ok()?;
        let mut waiters = vec![first];
        loop {
            for (tx, earlier) in self.rx.drain() {
                waiters.push(tx);
                send_by = send_by.min(earlier);
            }
            let remaining = send_by.since(clock::now()).as_duration();
            if remaining.is_zero() {
                return Some(waiters);
            }
            if let Ok(Ok((tx, earlier))) =
                compio::time::timeout(remaining, self.rx.recv_async()).await
            {
                waiters.push(tx);
                send_by = send_by.min(earlier);
            }
        }
    }
}

#[derive(Default)]
struct State {
    /// When the query of the newest reply was sent.
    queried_at: Time,
    eligible: EligibleBefore,
    /// The same for groups with a pending change: the state before the change.
    changing: IndexMap<GroupId, EligibleBefore>,
}

impl State {
    fn record_reply(&mut self, queried_at: Time, changing: &IndexSet<GroupId>) {
        if queried_at < self.queried_at {
            // The reply to a later query is already recorded.
            return;
        }
        self.queried_at = queried_at;
        self.changing.retain(|group, _| changing.contains(group));
        for group in changing {
            let previous = self.eligible;
            self.changing.entry(group.clone()).or_insert(previous);
        }
        self.eligible.record_no_change(queried_at);
    }
}

impl Changes {
    /// Whether a connection to the group that was opened at this time is eligible.
    pub fn is_eligible(&self, group: &GroupId, opened: Time) -> bool {
        let state = self.state.borrow();
        let eligible = state.changing.get(group).unwrap_or(&state.eligible);
        eligible.is_eligible(opened)
    }

    /// Records a reply of the store to a query sent at `queried_at`, which listed intents to change
    /// the primaries of these groups.
    pub fn record_reply(&self, queried_at: Time, changing: &IndexSet<GroupId>) {
        self.state.borrow_mut().record_reply(queried_at, changing);
    }

    /// Sends a query on behalf of a waiting write. The receiver is closed without a reply if
    /// neither the store reader nor the store responds.
    pub fn query(&self) -> flume::Receiver<ChangingGroups> {
        self.urgent.add(clock::now())
    }

    /// Sends a query in advance, before a write needs the reply.
    pub fn refresh(&self) {
        // Nobody waits for the reply.
        drop(self.refresh.add(clock::now()));
    }

    /// Queries the store itself, after at most `within`.
    pub fn query_store(&self, within: Span) -> flume::Receiver<ChangingGroups> {
        self.store.add(clock::now() + within)
    }

    /// Sends queries for as long as the process runs; callers that wait at the same time share one.
    /// `store_reader` queries the store reader, which may delay the query for the time given.
    pub async fn serve<F>(self, client: Client, store_reader: impl Fn(Span) -> F)
    where
        F: Future<Output = Option<ChangingGroups>>,
    {
        let client = client.counted_for(Purpose::Changes);
        futures_util::join!(
            self.serve_store(&client),
            self.serve_urgent(&store_reader),
            self.serve_refresh(&store_reader),
        );
    }

    async fn serve_store(&self, client: &Client) {
        while let Some(waiters) = self.store.next().await {
            let queried_at = clock::now();
            let changing = list_changing(client).await.map(Rc::new);
            if let Some(changing) = &changing {
                self.record_reply(queried_at, changing);
                for tx in waiters {
                    // Fails only if the caller no longer waits.
                    let _ = tx.send(changing.clone());
                }
            } else {
                drop(waiters);
                compio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn serve_urgent<F>(&self, store_reader: impl Fn(Span) -> F)
    where
        F: Future<Output = Option<ChangingGroups>>,
    {
        while let Some(waiters) = self.urgent.next().await {
            let at_once = Span::from_millis(0);
            let changing = self.fetch(at_once, at_once, &store_reader).await;
            for tx in waiters {
                if let Some(changing) = &changing {
                    let _ = tx.send(changing.clone());
                }
            }
        }
    }

    async fn serve_refresh<F>(&self, store_reader: impl Fn(Span) -> F)
    where
        F: Future<Output = Option<ChangingGroups>>,
    {
        while self.refresh.next().await.is_some() {
            self.fetch(BATCH_DELAY, SHARED_BATCH_DELAY, &store_reader)
                .await;
            compio::time::sleep(REFRESH_INTERVAL).await;
        }
    }

    /// Queries the store reader, which may delay the query by `shared_within`, or else the store.
    async fn fetch<F>(
        &self,
        within: Span,
        shared_within: Span,
        store_reader: impl Fn(Span) -> F,
    ) -> Option<ChangingGroups>
    where
        F: Future<Output = Option<ChangingGroups>>,
    {
        // The store is queried later than this, so the store reader's reply is valid as of now.
        let queried_at = clock::now();
        if let Some(changing) = store_reader(shared_within).await {
            self.record_reply(queried_at, &changing);
            return Some(changing);
        }
        self.query_store(within).recv_async().await.ok()
    }
}

async fn list_changing(client: &Client) -> Option<IndexSet<GroupId>> {
    match kv::list(client, directory::IntentKind::Change.prefix()).await {
        Ok(listing) => Some(directory::pending_changes(&listing)),
        Err(e) => {
            tracing::info!(cause = %e, "the pending changes of primary could not be read from the store");
            None
        }
    }
}
