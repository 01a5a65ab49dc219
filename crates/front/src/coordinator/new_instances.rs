//! Instances that appear while an order is given and carried out.
//!
//! One could receive from the old primary and acknowledge what the next one lacks, so it is
//! told to stop receiving as soon as it is known. A restarted one has forgotten that it was
//! stopped, and appears anew under its id.

use std::pin::pin;

use futures_util::{FutureExt as _, select_biased};
use indexmap::IndexSet;
use model::entry::Entry;
use model::id::InstanceId;
use model::position::Term;
use platform::line::Own;

use super::queries::Links;
use super::{Coordinator, PAUSE, report};

/// A start of an instance.
pub(super) type Start = (InstanceId, u64);

/// The start that an entry tells of.
pub(super) fn start(entry: &Entry) -> Start {
    (entry.id.clone(), entry.started_at)
}

/// Watches for instances that a look did not find.
pub(super) struct Newcomers {
    /// The term under which they are told to stop, which the next primary leads at least.
    pub(super) term: Term,
    /// Starts that the look found, or that have been stopped since.
    known: IndexSet<Start>,
}

impl Newcomers {
    /// Those that appear after the last look of these links.
    pub(super) fn new(links: &Links, term: Term) -> Self {
        Self {
            term,
            known: links.found().clone(),
        }
    }

    fn appeared(&self, this: &Coordinator, links: &Links) -> Vec<Start> {
        let listed = links
            .entries(this)
            .into_iter()
            .filter(|(_, listed)| *listed);
        let starts = listed.map(|(entry, _)| start(&entry));
        starts.filter(|start| !self.known.contains(start)).collect()
    }

    /// Tells those that have appeared to stop receiving; one that does not answer is told
    /// again the next time.
    pub(super) async fn stop(&mut self, this: &Coordinator, links: &mut Links) {
        let new = self.appeared(this, links);
        if new.is_empty() {
            return;
        }
        let ids: Vec<_> = new.iter().map(|(id, _)| id.clone()).collect();
        let states = links.some(this, &ids, &Own::Pause(self.term.0)).await;
        let group = links.group.group();
        tracing::warn!(%group, "an instance appeared during a change of primary");
        report::states(group, &states);
        let stopped = new.into_iter().filter(|(id, _)| states.contains_key(id));
        self.known.extend(stopped);
    }

    /// Does some work, and tells those that appear meanwhile to stop.
    pub(super) async fn stop_during<T>(
        &mut self,
        this: &Coordinator,
        links: &mut Links,
        work: impl Future<Output = T>,
    ) -> T {
        let mut work = pin!(work.fuse());
        loop {
            let look = async {
                self.stop(this, links).await;
                compio::time::sleep(PAUSE).await;
            };
            let mut look = pin!(look.fuse());
            select_biased! {
                done = work => return done,
                () = look => {}
            }
        }
    }
}
