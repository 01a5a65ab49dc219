//! Which connections count for the proof that a replica holds a write: those that were open
//! at a moment without a change of primary, as the store tells.
//!
//! Load: hundreds of proxies restart at once, and none has a connection that counts. Harm when
//! each asks the store: some questions a second from every proxy. So a proxy asks the
//! neighbour that reads the store for its data centre, which asks once for all that wait.

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

/// Pause after the store did not answer.
const AFTER_FAILURE: Duration = Duration::from_millis(300);

/// How long a question that no write waits for may wait for others.
const GATHER: Span = Span::from_millis(200);

/// Pause between two such questions of one proxy.
const REFRESH_PAUSE: Duration = Duration::from_millis(1_000);

/// Groups with a change of primary under way.
pub type Noted = Rc<IndexSet<GroupId>>;

/// A question: who waits for its answer, and until when it may be put off.
type Question = (flume::Sender<Noted>, Time);

/// What the store told about changes of primary that are under way.
///
/// Only its answers to a question count, dated from when it was asked. A watch may be told
/// nothing for its whole wait, and a neighbour's news have no date of this process.
#[derive(Clone, Default)]
pub struct Changes {
    told: Rc<RefCell<Told>>,
    /// Questions of writes that wait.
    urgent: Queue,
    /// Questions that nobody waits for.
    refresh: Queue,
    /// Questions for the store itself.
    store: Queue,
}

/// Questions that are not asked yet.
#[derive(Clone)]
struct Queue {
    tx: flume::Sender<Question>,
    rx: flume::Receiver<Question>,
}

impl Default for Queue {
    fn default() -> Self {
        let (tx, rx) = flume::unbounded();
        Self { tx, rx }
    }
}

impl Queue {
    fn add(&self, by: Time) -> flume::Receiver<Noted> {
        let (tx, rx) = flume::bounded(1);
        // The other end is kept beside this one.
        let _ = self.tx.send((tx, by));
        rx
    }

    /// The questions that one answer will do for: it must be asked for after the last of them
    /// came.
    async fn next(&self) -> Option<Vec<flume::Sender<Noted>>> {
        let (first, mut by) = self.rx.recv_async().await.ok()?;
        let mut asking = vec![first];
        loop {
            for (tx, sooner) in self.rx.drain() {
                asking.push(tx);
                by = by.min(sooner);
            }
            let left = by.since(clock::now()).as_duration();
            if left.is_zero() {
                return Some(asking);
            }
            if let Ok(Ok((tx, sooner))) = compio::time::timeout(left, self.rx.recv_async()).await {
                asking.push(tx);
                by = by.min(sooner);
            }
        }
    }
}

#[derive(Default)]
struct Told {
    /// When the newest answer was asked for.
    asked: Time,
    counted: EligibleBefore,
    /// The same for groups with a change under way: as it was before.
    changing: IndexMap<GroupId, EligibleBefore>,
}

impl Told {
    fn take(&mut self, asked: Time, noted: &IndexSet<GroupId>) {
        if asked < self.asked {
            // A later answer has told more.
            return;
        }
        self.asked = asked;
        self.changing.retain(|group, _| noted.contains(group));
        for group in noted {
            let before = self.counted;
            self.changing.entry(group.clone()).or_insert(before);
        }
        self.counted.record_no_change(asked);
    }
}

impl Changes {
    /// Whether a connection to the group counts that was opened at this time.
    pub fn is_eligible(&self, group: &GroupId, opened: Time) -> bool {
        let told = self.told.borrow();
        let counted = told.changing.get(group).unwrap_or(&told.counted);
        counted.is_eligible(opened)
    }

    /// Takes over an answer of the store: it was asked at `asked` and held notes of changes of
    /// these groups.
    pub fn take(&self, asked: Time, noted: &IndexSet<GroupId>) {
        self.told.borrow_mut().take(asked, noted);
    }

    /// Asks on behalf of a write that waits. The receiver is closed without an answer if
    /// nobody can be asked.
    pub fn ask(&self) -> flume::Receiver<Noted> {
        self.urgent.add(clock::now())
    }

    /// Asks for the time when a write will need it.
    pub fn refresh(&self) {
        // Nobody waits for the answer.
        drop(self.refresh.add(clock::now()));
    }

    /// Asks the store itself, after at most `within`.
    pub fn ask_store(&self, within: Span) -> flume::Receiver<Noted> {
        self.store.add(clock::now() + within)
    }

    /// Asks for as long as the process runs; those who ask meanwhile share a question.
    /// `neighbour` asks the neighbour that reads the store, which may put the question off for
    /// the time given.
    pub async fn serve<F>(self, client: Client, neighbour: impl Fn(Span) -> F)
    where
        F: Future<Output = Option<Noted>>,
    {
        let client = client.counted_for(Purpose::Changes);
        futures_util::join!(
            self.serve_store(&client),
            self.serve_urgent(&neighbour),
            self.serve_refresh(&neighbour),
        );
    }

    async fn serve_store(&self, client: &Client) {
        while let Some(asking) = self.store.next().await {
            let asked = clock::now();
            let noted = noted(client).await.map(Rc::new);
            if let Some(noted) = &noted {
                self.take(asked, noted);
                for tx in asking {
                    // One that no longer waits needs no answer.
                    let _ = tx.send(noted.clone());
                }
            } else {
                drop(asking);
                compio::time::sleep(AFTER_FAILURE).await;
            }
        }
    }

    async fn serve_urgent<F>(&self, neighbour: impl Fn(Span) -> F)
    where
        F: Future<Output = Option<Noted>>,
    {
        while let Some(asking) = self.urgent.next().await {
            let noted = self.answer(Span::from_millis(0), &neighbour).await;
            for tx in asking {
                if let Some(noted) = &noted {
                    let _ = tx.send(noted.clone());
                }
            }
        }
    }

    async fn serve_refresh<F>(&self, neighbour: impl Fn(Span) -> F)
    where
        F: Future<Output = Option<Noted>>,
    {
        while self.refresh.next().await.is_some() {
            self.answer(GATHER, &neighbour).await;
            compio::time::sleep(REFRESH_PAUSE).await;
        }
    }

    /// Asks a neighbour, or else the store.
    async fn answer<F>(&self, within: Span, neighbour: impl Fn(Span) -> F) -> Option<Noted>
    where
        F: Future<Output = Option<Noted>>,
    {
        // The store is asked later than this, so an answer to the neighbour has this date.
        let asked = clock::now();
        if let Some(noted) = neighbour(within).await {
            self.take(asked, &noted);
            return Some(noted);
        }
        self.ask_store(within).recv_async().await.ok()
    }
}

async fn noted(client: &Client) -> Option<IndexSet<GroupId>> {
    match kv::list(client, directory::IntentKind::Change.prefix()).await {
        Ok(listing) => Some(directory::pending_changes(&listing)),
        Err(e) => {
            tracing::info!(cause = %e, "the store did not tell whether a change of primary is under way");
            None
        }
    }
}
