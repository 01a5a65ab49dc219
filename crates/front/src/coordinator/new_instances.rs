//! Instances that are announced while a promotion order is sent and carried out.
//!
//! Such an instance could receive from the old primary and acknowledge writes that the next
//! primary lacks, so it is paused as soon as it is known. A restarted instance has lost its
//! pause, and is announced again under the same id.

use std::pin::pin;

use futures_util::{FutureExt as _, select_biased};
use indexmap::IndexSet;
use model::entry::Entry;
use model::id::InstanceId;
use model::position::Term;
use platform::line::ProxyStatement;

use super::queries::InstanceQueries;
use super::{Coordinator, POLL_INTERVAL, report};

/// One start of an instance: its id and the time of the start.
pub(super) type Start = (InstanceId, u64);

/// The start that an entry describes.
pub(super) fn start(entry: &Entry) -> Start {
    (entry.id.clone(), entry.started_at)
}

/// Pauses instances that the last survey did not find.
pub(super) struct NewInstances {
    /// The term of the pause commands; the next primary leads this term or a later one.
    pub(super) term: Term,
    /// Starts that the survey found, or that have been paused since.
    known: IndexSet<Start>,
}

impl NewInstances {
    /// Considers every instance new that the last survey did not find.
    pub(super) fn new(queries: &InstanceQueries, term: Term) -> Self {
        Self {
            term,
            known: queries.found().clone(),
        }
    }

    fn appeared(&self, this: &Coordinator, queries: &InstanceQueries) -> Vec<Start> {
        let announced = queries
            .entries(this)
            .into_iter()
            .filter(|(_, announced)| *announced);
        let starts = announced.map(|(entry, _)| start(&entry));
        starts.filter(|start| !self.known.contains(start)).collect()
    }

    /// Pauses the new instances; one that does not respond gets the command again at the next
    /// call.
    pub(super) async fn pause(&mut self, this: &Coordinator, queries: &mut InstanceQueries) {
        let new = self.appeared(this, queries);
        if new.is_empty() {
            return;
        }
        let ids: Vec<_> = new.iter().map(|(id, _)| id.clone()).collect();
        let states = queries
            .send_to(this, &ids, &ProxyStatement::Pause(self.term.0))
            .await;
        let group = queries.group.group();
        tracing::warn!(%group, "an instance was announced during a change of primary");
        report::log_states(group, &states);
        let paused = new.into_iter().filter(|(id, _)| states.contains_key(id));
        self.known.extend(paused);
    }

    /// Awaits `work`, and pauses instances that are announced meanwhile.
    pub(super) async fn pause_during<T>(
        &mut self,
        this: &Coordinator,
        queries: &mut InstanceQueries,
        work: impl Future<Output = T>,
    ) -> T {
        let mut work = pin!(work.fuse());
        loop {
            let check = async {
                self.pause(this, queries).await;
                compio::time::sleep(POLL_INTERVAL).await;
            };
            let mut check = pin!(check.fuse());
            select_biased! {
                done = work => return done,
                () = check => {}
            }
        }
    }
}
