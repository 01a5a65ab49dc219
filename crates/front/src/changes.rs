//! Which connections count for the proof that a replica holds a write: those that were open
//! at a moment without a change of primary, as the store tells.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::id::GroupId;
use model::unit::Time;
use platform::kv;
use policy::receipt::Counted;
use store::client::Client;

use crate::clock;
use crate::directory;

/// Pause after the store did not answer.
const AFTER_FAILURE: Duration = Duration::from_millis(300);

/// What the store told about changes of primary that are under way.
///
/// Its answers are dated from when it was asked. What it tells a neighbour has no such date:
/// a change may have begun since.
#[derive(Clone)]
pub struct Changes {
    counted: Rc<RefCell<IndexMap<GroupId, Counted>>>,
    tx: flume::Sender<Question>,
    rx: flume::Receiver<Question>,
}

/// Whoever asked waits for the other end to be dropped.
struct Question {
    group: GroupId,
    _done: flume::Sender<()>,
}

impl Default for Changes {
    fn default() -> Self {
        let (tx, rx) = flume::unbounded();
        Self {
            counted: Rc::default(),
            tx,
            rx,
        }
    }
}

impl Changes {
    /// Whether a connection to the group counts that was opened at this time.
    pub fn counts(&self, group: &GroupId, opened: Time) -> bool {
        let counted = self.counted.borrow();
        counted.get(group).is_some_and(|c| c.counts(opened))
    }

    /// The store was asked at `asked` and held no note of a change of the group's primary.
    pub fn none_noted(&self, group: &GroupId, asked: Time) {
        let mut counted = self.counted.borrow_mut();
        counted.entry(group.clone()).or_default().checked(asked);
    }

    /// Asks the store whether a change is noted. The receiver is closed once it has answered
    /// or cannot be reached.
    pub fn ask(&self, group: &GroupId) -> flume::Receiver<()> {
        let (tx, rx) = flume::bounded(1);
        let question = Question {
            group: group.clone(),
            _done: tx,
        };
        // The other end is kept beside this one.
        let _ = self.tx.send(question);
        rx
    }

    /// Answers for as long as the process runs; those who ask meanwhile share a question.
    pub async fn serve(self, client: Client) {
        while let Ok(first) = self.rx.recv_async().await {
            let mut questions = vec![first];
            questions.extend(self.rx.drain());
            let asked = clock::now();
            let noted = noted(&client).await;
            if noted.is_none() {
                compio::time::sleep(AFTER_FAILURE).await;
            }
            for Question { group, .. } in &questions {
                if noted.as_ref().is_some_and(|noted| !noted.contains(group)) {
                    self.none_noted(group, asked);
                }
            }
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
