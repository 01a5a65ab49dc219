//! Which connections count for the proof that a replica holds a write: those that were open
//! at a moment without a change of primary, as the store tells.

use std::cell::RefCell;
use std::iter;
use std::rc::Rc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::id::GroupId;
use model::unit::Time;
use platform::kv;
use policy::receipt::Counted;
use store::calls::Purpose;
use store::client::Client;

use crate::clock;
use crate::directory;

/// Pause after the store did not answer.
const AFTER_FAILURE: Duration = Duration::from_millis(300);

/// What the store told about changes of primary that are under way.
///
/// Only its answers to a question count, dated from when it was asked. A watch may be told
/// nothing for its whole wait, and a neighbour's news have no date of this process.
#[derive(Clone)]
pub struct Changes {
    told: Rc<RefCell<Told>>,
    tx: flume::Sender<flume::Sender<()>>,
    rx: flume::Receiver<flume::Sender<()>>,
}

#[derive(Default)]
struct Told {
    counted: Counted,
    /// The same for groups with a change under way: as it was before.
    changing: IndexMap<GroupId, Counted>,
}

impl Told {
    fn take(&mut self, asked: Time, noted: &IndexSet<GroupId>) {
        self.changing.retain(|group, _| noted.contains(group));
        for group in noted {
            let before = self.counted;
            self.changing.entry(group.clone()).or_insert(before);
        }
        self.counted.checked(asked);
    }
}

impl Default for Changes {
    fn default() -> Self {
        let (tx, rx) = flume::unbounded();
        Self {
            told: Rc::default(),
            tx,
            rx,
        }
    }
}

impl Changes {
    /// Whether a connection to the group counts that was opened at this time.
    pub fn counts(&self, group: &GroupId, opened: Time) -> bool {
        let told = self.told.borrow();
        let counted = told.changing.get(group).unwrap_or(&told.counted);
        counted.counts(opened)
    }

    /// Takes over an answer of the store: it was asked at `asked` and held notes of changes of
    /// these groups.
    pub fn take(&self, asked: Time, noted: &IndexSet<GroupId>) {
        self.told.borrow_mut().take(asked, noted);
    }

    /// Asks the store. The receiver is closed once it has answered or cannot be reached.
    pub fn ask(&self) -> flume::Receiver<()> {
        let (tx, rx) = flume::bounded(1);
        // The other end is kept beside this one.
        let _ = self.tx.send(tx);
        rx
    }

    /// Asks for as long as the process runs; those who ask meanwhile share a question.
    pub async fn serve(self, client: Client) {
        let client = client.counted_for(Purpose::Changes);
        while let Ok(first) = self.rx.recv_async().await {
            // Dropping them tells those who ask.
            let asking: Vec<_> = iter::once(first).chain(self.rx.drain()).collect();
            let asked = clock::now();
            match noted(&client).await {
                Some(noted) => self.take(asked, &noted),
                None => compio::time::sleep(AFTER_FAILURE).await,
            }
            drop(asking);
        }
    }
}

async fn noted(client: &Client) -> Option<IndexSet<GroupId>> {
    match kv::list(client, directory::Call::Change.prefix()).await {
        Ok(listing) => Some(directory::noted(&listing)),
        Err(e) => {
            tracing::info!(cause = %e, "the store did not tell whether a change of primary is under way");
            None
        }
    }
}
