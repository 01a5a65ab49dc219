//! The coordinator's questions and orders to the instances of one group.

use std::time::Duration;

use futures_util::future;
use indexmap::{IndexMap, IndexSet};
use model::entry::Entry;
use model::id::InstanceId;
use model::position::Revision;
use model::unit::{Span, Time};
use platform::line::Own;
use policy::pool::{ConnRequest, Kind};
use policy::takeover::{InstanceView, State};

use super::Coordinator;
use super::newcomers::{self, Start};
use crate::clock;
use crate::conn::ConnError;
use crate::group;

/// Longest wait for an instance's answer to a question or an order. A question waits for
/// a slot of the instance, behind statements of some tens of milliseconds.
const ANSWER: Duration = Duration::from_millis(500);

/// The same for an instance that did not answer before: a round trip between regions.
/// Each look waits for the slowest, and writes wait for the change.
const SILENT_ANSWER: Duration = Duration::from_millis(80);

/// The same for a primary that is doubted: it is likely to be gone, and the change waits for
/// its answer. One that lives answers within a round trip, or after some statements.
const DOUBTED_ANSWER: Duration = Duration::from_millis(150);

/// Asks the group's instances, for the whole change.
pub(super) struct Links {
    pub(super) group: group::Handle,
    /// The revision at which this proxy took the duty under which it acts.
    pub(super) duty: Revision,
    /// The primary that is doubted.
    doubted: Option<InstanceId>,
    /// Instances that refused the last question, for want of a slot for instance.
    refused: IndexSet<InstanceId>,
    /// Instances that left a question unanswered; the next looks wait less for them.
    silent: IndexSet<InstanceId>,
    /// When the last look began; orders to the platform rest on it.
    looked_at: Time,
    /// Instances that were announced at the last look, or answered it.
    found: IndexSet<Start>,
}

impl Links {
    pub(super) fn new(group: group::Handle, duty: Revision) -> Self {
        Self {
            group,
            duty,
            doubted: None,
            refused: IndexSet::new(),
            silent: IndexSet::new(),
            looked_at: clock::now(),
            found: IndexSet::new(),
        }
    }

    /// Links for replacing a primary that is doubted.
    pub(super) fn to_replace(group: group::Handle, duty: Revision, doubted: InstanceId) -> Self {
        Self {
            doubted: Some(doubted),
            ..Self::new(group, duty)
        }
    }

    /// When the last look began.
    pub(super) fn looked_at(&self) -> Time {
        self.looked_at
    }

    /// Instances that were announced at the last look, or answered it.
    pub(super) fn found(&self) -> &IndexSet<Start> {
        &self.found
    }

    /// Whether an instance left a question unanswered.
    pub(super) fn is_silent(&self, id: &InstanceId) -> bool {
        self.silent.contains(id)
    }

    fn limit(&self, id: &InstanceId) -> Duration {
        if self.is_silent(id) {
            SILENT_ANSWER
        } else if self.doubted.as_ref() == Some(id) {
            DOUBTED_ANSWER
        } else {
            ANSWER
        }
    }

    /// Sends a statement to each of the instances and gives what each answered.
    ///
    /// The connections come from the pool, before everything else that waits for one: an
    /// instance whose connections are all in use accepts no further one, and a replica
    /// that cannot be heard for that reason would hold up the whole change. They go back at
    /// once, since proofs of writes need them as well, and no new one counts for those.
    pub(super) async fn each(
        &mut self,
        entries: &[Entry],
        own: &Own<'_>,
    ) -> IndexMap<InstanceId, State> {
        let calls = entries.iter().map(|entry| {
            let limit = self.limit(&entry.id);
            let group = self.group.clone();
            async move {
                let lent = group.request(control(entry, limit)).await;
                let mut lent = lent.map_err(|_| ConnError::Silent)?;
                let conn = lent.conn().ok_or(ConnError::Silent)?;
                let state = conn.state(own, limit).await;
                if matches!(state, Ok(_) | Err(ConnError::Refused(_))) {
                    lent.release();
                }
                state
            }
        });
        let calls: Vec<_> = calls.collect();
        let answers = future::join_all(calls).await;
        let mut states = IndexMap::new();
        for (entry, answer) in entries.iter().zip(answers) {
            self.refused.shift_remove(&entry.id);
            match answer {
                Ok(state) => {
                    states.insert(entry.id.clone(), state);
                }
                Err(e) => {
                    let set = match e {
                        ConnError::Refused(_) => &mut self.refused,
                        _ => &mut self.silent,
                    };
                    set.insert(entry.id.clone());
                    let group = self.group.group();
                    tracing::info!(%group, instance = %entry.id, asked = ?own, cause = %e, "an instance did not answer the coordinator");
                }
            }
        }
        states
    }

    /// Sends a statement to some of the group's instances.
    pub(super) async fn some(
        &mut self,
        this: &Coordinator,
        who: &[InstanceId],
        own: &Own<'_>,
    ) -> IndexMap<InstanceId, State> {
        let known = self.entries(this).into_iter();
        let entries: Vec<_> = known
            .map(|(entry, _)| entry)
            .filter(|entry| who.contains(&entry.id))
            .collect();
        let states = self.each(&entries, own).await;
        for entry in &entries {
            let answered = states.contains_key(&entry.id);
            this.cx.metrics.told(own, answered);
        }
        states
    }

    /// The group's instances, and whether each is announced.
    pub(super) fn entries(&self, this: &Coordinator) -> Vec<(Entry, bool)> {
        this.directory.with(|s| s.instances(self.group.group()))
    }

    /// Asks instances for their states. `asked` says which of them, `near` which are in the
    /// region of the primary that is to be replaced.
    pub(super) async fn look(
        &mut self,
        this: &Coordinator,
        asked: impl Fn(&Entry) -> bool,
        near: impl Fn(&Entry) -> bool,
    ) -> Vec<InstanceView> {
        self.looked_at = clock::now();
        let known = self.entries(this);
        let to_ask: Vec<_> = known
            .iter()
            .filter(|(entry, _)| asked(entry))
            .map(|(entry, _)| entry.clone())
            .collect();
        let states = self.each(&to_ask, &Own::Status).await;
        let member = |(entry, listed): &(Entry, bool)| {
            let state = states.get(&entry.id).copied();
            InstanceView {
                id: entry.id.clone(),
                announced: *listed,
                leaving: entry.leaving,
                responded: state.is_some() || self.refused.contains(&entry.id),
                same_region: near(entry),
                state,
            }
        };
        let members: Vec<_> = known.iter().map(member).collect();
        let found = known
            .iter()
            .filter(|(entry, listed)| *listed || states.contains_key(&entry.id));
        self.found = found.map(|(entry, _)| newcomers::start(entry)).collect();
        this.note_look(self.group.group(), &members);
        members
    }
}

fn control(entry: &Entry, limit: Duration) -> ConnRequest {
    let now = clock::now();
    ConnRequest {
        kind: Kind::Control(entry.id.clone()),
        own_write: None,
        arrived: now,
        deadline: now + Span::from(limit),
        priority: 0,
        avoid: None,
        may_wait: true,
    }
}
