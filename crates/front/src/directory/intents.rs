//! Intents: records in the store of calls that may still take effect.
//!
//! A coordinator records an intent before it makes such a call, and deletes the intent once the
//! call can no longer take effect. Thus the next coordinator knows of the call as well.

use indexmap::IndexMap;
use model::id::{GroupId, InstanceId};
use model::position::Revision;
use model::unit::{Span, Time};

/// Time after which a resume command no longer takes effect. Instances may execute a command
/// without a response up to 12 s late; a second is added for the delivery of the intent.
const RESUME_PENDING: Span = Span::from_millis(13_000);

/// The same for a promotion order: it is sent for up to 2 s after its intent, and the platform
/// may accept a call up to 12 s late and need up to 1.5 s to execute it. A second is added as
/// above.
const PROMOTION_PENDING: Span = Span::from_millis(16_500);

/// An intent with this time is pending until it is deleted.
const FOREVER: Span = Span::from_micros(u64::MAX);

/// The kind of call that an intent announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentKind {
    /// A resume command to replicas of a group: they receive writes again.
    Receive,
    /// A promotion order for the instance that the intent names.
    Lead,
    /// A change of primary is under way: no connection becomes eligible for acknowledgements.
    Change,
}

impl IntentKind {
    pub(super) const ALL: [Self; 3] = [Self::Receive, Self::Lead, Self::Change];

    /// Prefix of the keys of its intents; the group follows.
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Receive => "pomelo/resume/",
            Self::Lead => "pomelo/order/",
            Self::Change => "pomelo/change/",
        }
    }

    /// The key of its intent for a group.
    pub(super) fn key(self, group: &GroupId) -> String {
        format!("{}{group}", self.prefix())
    }

    const fn pending_for(self) -> Span {
        match self {
            Self::Receive => RESUME_PENDING,
            Self::Lead => PROMOTION_PENDING,
            Self::Change => FOREVER,
        }
    }
}

/// An intent for one group.
#[derive(Clone, Debug)]
pub(super) struct Intent {
    /// The revision of its last change in the store.
    pub(super) revision: Revision,
    /// When this proxy received it.
    pub(super) learned_at: Time,
    /// Its value in the store.
    pub(super) value: Vec<u8>,
    /// When its call has taken effect at the latest, once the call was accepted.
    pub(super) settles_at: Option<Time>,
}

impl Intent {
    /// Whether its call may still take effect. Without a response this is counted from when this
    /// proxy received the intent.
    fn is_pending(&self, kind: IntentKind, now: Time) -> bool {
        match self.settles_at {
            Some(settles_at) => now < settles_at,
            None => now.since(self.learned_at) < kind.pending_for(),
        }
    }

    /// The instance that it names, if its value can be read.
    pub(super) fn instance(&self) -> Option<InstanceId> {
        std::str::from_utf8(&self.value).ok()?.parse().ok()
    }
}

/// Intents by kind and group.
#[derive(Debug, Default)]
pub(super) struct Intents {
    receive: IndexMap<GroupId, Intent>,
    lead: IndexMap<GroupId, Intent>,
    change: IndexMap<GroupId, Intent>,
}

impl Intents {
    const fn by_kind(&self, kind: IntentKind) -> &IndexMap<GroupId, Intent> {
        match kind {
            IntentKind::Receive => &self.receive,
            IntentKind::Lead => &self.lead,
            IntentKind::Change => &self.change,
        }
    }

    const fn by_kind_mut(&mut self, kind: IntentKind) -> &mut IndexMap<GroupId, Intent> {
        match kind {
            IntentKind::Receive => &mut self.receive,
            IntentKind::Lead => &mut self.lead,
            IntentKind::Change => &mut self.change,
        }
    }

    /// Stores an intent unless a newer one is known.
    pub(super) fn put(&mut self, kind: IntentKind, group: GroupId, intent: Intent) {
        let intents = self.by_kind_mut(kind);
        let known = intents.get(&group);
        if known.is_none_or(|known| known.revision < intent.revision) {
            intents.insert(group, intent);
        }
    }

    /// Removes an intent that was deleted at this revision.
    pub(super) fn remove(&mut self, kind: IntentKind, group: &GroupId, revision: Revision) {
        let intents = self.by_kind_mut(kind);
        let known = intents.get(group);
        if known.is_some_and(|known| known.revision <= revision) {
            intents.shift_remove(group);
        }
    }

    /// Keeps the intents whose keys are in a listing of this revision, and newer ones.
    pub(super) fn retain(&mut self, exists: impl Fn(&str) -> bool, listed_at: Revision) {
        for kind in IntentKind::ALL {
            self.by_kind_mut(kind)
                .retain(|group, intent| intent.revision > listed_at || exists(&kind.key(group)));
        }
    }

    /// The revision of a group's intent; 0 without one.
    pub(super) fn revision(&self, kind: IntentKind, group: &GroupId) -> Revision {
        let intent = self.by_kind(kind).get(group);
        intent.map_or(Revision(0), |intent| intent.revision)
    }

    /// Stores when the accepted call of an intent has taken effect at the latest.
    pub(super) fn settle(
        &mut self,
        kind: IntentKind,
        group: &GroupId,
        revision: Revision,
        settles_at: Time,
    ) {
        let intent = self.by_kind_mut(kind).get_mut(group);
        if let Some(intent) = intent.filter(|intent| intent.revision == revision) {
            intent.settles_at = Some(settles_at);
        }
    }

    /// A group's intent while its call may still take effect.
    pub(super) fn pending(&self, kind: IntentKind, group: &GroupId, now: Time) -> Option<&Intent> {
        let intent = self.by_kind(kind).get(group)?;
        intent.is_pending(kind, now).then_some(intent)
    }

    /// The revision of a group's intent whose call can no longer take effect.
    pub(super) fn expired(&self, kind: IntentKind, group: &GroupId, now: Time) -> Option<Revision> {
        let intent = self.by_kind(kind).get(group)?;
        (!intent.is_pending(kind, now)).then_some(intent.revision)
    }
}
