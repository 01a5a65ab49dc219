//! Notes in the store about calls that may still be carried out.
//!
//! A coordinator notes such a call before it makes it, and deletes the note once the call can
//! have no effect any more; so the next coordinator knows of it as well.

use indexmap::IndexMap;
use model::id::{GroupId, InstanceId};
use model::position::Revision;
use model::unit::{Span, Time};

/// Time after which an order to receive again is no longer carried out. Instances carry
/// orders that had no answer out up to 12 s later; a second is added for the note's way.
const RECEIVE_PENDING: Span = Span::from_millis(13_000);

/// The same for an order to lead: it is sent for up to 2 s after its note, the platform takes
/// calls up to 12 s late and up to 1.5 s to carry an order out.
const LEAD_PENDING: Span = Span::from_millis(16_500);

/// What is noted stands until the note is deleted.
const FOREVER: Span = Span::from_micros(u64::MAX);

/// A call that may be carried out long after it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentKind {
    /// Replicas of a group are told to receive again.
    Receive,
    /// An instance, which the note names, is ordered to lead its group.
    Lead,
    /// A change of primary is under way: no connection begins to count for proofs of writes.
    Change,
}

impl IntentKind {
    pub(super) const ALL: [Self; 3] = [Self::Receive, Self::Lead, Self::Change];

    /// Prefix of the keys of its notes; the group follows.
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Receive => "pomelo/resume/",
            Self::Lead => "pomelo/order/",
            Self::Change => "pomelo/change/",
        }
    }

    /// The key of its note about a group.
    pub(super) fn key(self, group: &GroupId) -> String {
        format!("{}{group}", self.prefix())
    }

    const fn pending(self) -> Span {
        match self {
            Self::Receive => RECEIVE_PENDING,
            Self::Lead => LEAD_PENDING,
            Self::Change => FOREVER,
        }
    }
}

/// A note about one group.
#[derive(Clone, Debug)]
pub(super) struct Intent {
    /// Its last change in the store.
    pub(super) revision: Revision,
    /// When this proxy learned of it.
    pub(super) learned: Time,
    /// What it says.
    pub(super) value: Vec<u8>,
}

impl Intent {
    /// The instance that it names, if it can be read.
    pub(super) fn instance(&self) -> Option<InstanceId> {
        std::str::from_utf8(&self.value).ok()?.parse().ok()
    }
}

/// Notes by call and group.
#[derive(Debug, Default)]
pub(super) struct Intents {
    receive: IndexMap<GroupId, Intent>,
    lead: IndexMap<GroupId, Intent>,
    change: IndexMap<GroupId, Intent>,
}

impl Intents {
    const fn of(&self, call: IntentKind) -> &IndexMap<GroupId, Intent> {
        match call {
            IntentKind::Receive => &self.receive,
            IntentKind::Lead => &self.lead,
            IntentKind::Change => &self.change,
        }
    }

    const fn of_mut(&mut self, call: IntentKind) -> &mut IndexMap<GroupId, Intent> {
        match call {
            IntentKind::Receive => &mut self.receive,
            IntentKind::Lead => &mut self.lead,
            IntentKind::Change => &mut self.change,
        }
    }

    /// Takes a note over unless a newer one is known.
    pub(super) fn put(&mut self, call: IntentKind, group: GroupId, note: Intent) {
        let notes = self.of_mut(call);
        let known = notes.get(&group);
        if known.is_none_or(|known| known.revision < note.revision) {
            notes.insert(group, note);
        }
    }

    /// The note of this revision is deleted.
    pub(super) fn forget(&mut self, call: IntentKind, group: &GroupId, revision: Revision) {
        let notes = self.of_mut(call);
        let known = notes.get(group);
        if known.is_some_and(|known| known.revision <= revision) {
            notes.shift_remove(group);
        }
    }

    /// Keeps the notes whose keys a listing of this revision has, and those written since.
    pub(super) fn retain(&mut self, has: impl Fn(&str) -> bool, listed: Revision) {
        for call in IntentKind::ALL {
            self.of_mut(call)
                .retain(|group, note| note.revision > listed || has(&call.key(group)));
        }
    }

    /// The last change of a group's note; 0 without one.
    pub(super) fn revision(&self, call: IntentKind, group: &GroupId) -> Revision {
        let note = self.of(call).get(group);
        note.map_or(Revision(0), |note| note.revision)
    }

    /// The note about a group, while the call may still be carried out: for so long after
    /// this proxy learned of it.
    pub(super) fn pending(&self, call: IntentKind, group: &GroupId, now: Time) -> Option<&Intent> {
        let note = self.of(call).get(group)?;
        (now.since(note.learned) < call.pending()).then_some(note)
    }

    /// The note that no longer says anything.
    pub(super) fn expired(&self, call: IntentKind, group: &GroupId, now: Time) -> Option<Revision> {
        let note = self.of(call).get(group)?;
        (now.since(note.learned) >= call.pending()).then_some(note.revision)
    }
}
