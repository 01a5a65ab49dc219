//! What a coordinator does next, and which of its intents are recorded in the store.

use model::position::Point;
use policy::takeover::Cause;

use crate::survey::Next;
use crate::world::{Id, Set};

/// The recorded intent of a promotion order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Promotion {
    pub(crate) instance: Id,
    /// The incarnation of the instance.
    pub(crate) incarnation: u8,
    /// The token of the order; it also distinguishes the intents.
    pub(crate) token: u8,
}

/// The recorded intents of calls that may still take effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Intents {
    /// A resume command; by which coordinator.
    pub(crate) resume: Option<usize>,
    pub(crate) promotion: Option<Promotion>,
    /// A change of primary; the number of the one recorded last.
    pub(crate) change: Option<u8>,
}

/// Why a primary is replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Kind {
    Doubted,
    Leaving,
    Unfinished,
}

impl Kind {
    pub(crate) const fn cause(self) -> Cause {
        match self {
            Self::Doubted => Cause::Doubted,
            Self::Leaving => Cause::Leaving,
            Self::Unfinished => Cause::Unfinished,
        }
    }
}

/// A change of primary under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Change {
    pub(crate) old: Id,
    /// The incarnation of the instance.
    pub(crate) incarnation: u8,
    pub(crate) kind: Kind,
    /// Whether the old primary was sent a demote command.
    pub(crate) demoted: bool,
    /// Whether the old primary did not respond to a query.
    pub(crate) unresponsive: bool,
    /// Whether it has recorded an order: the change ends before that intent lapses.
    pub(crate) order_recorded: bool,
    /// Whether the store holds the intent of the change.
    pub(crate) recorded: bool,
}

/// The decision after a survey.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Decision {
    Pause(u8, Set),
    Demote(u8, Id),
    /// The instance, the term in which it will lead, and the instances that are known.
    Promote(Id, u8, Set),
}

/// The purpose of a promotion order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Purpose {
    /// To make an instance primary in this term, while instances that are not in the set of
    /// known ones are paused.
    Promote(Change, u8, Set),
    /// To void earlier orders, and then to carry out the decision.
    VoidThenAct(Change, Option<Decision>),
    /// To void earlier orders, and then to resume these replicas.
    VoidThenResume(Set),
}

/// A promotion order whose intent is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct GivenOrder {
    pub(crate) purpose: Purpose,
    pub(crate) next: Id,
    pub(crate) token: u8,
    /// Whether an earlier order may still take effect.
    pub(crate) earlier: bool,
    /// Whether the platform accepted it, once it has decided; the response is in flight.
    pub(crate) accepted: Option<bool>,
}

/// The next task of a coordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) enum Task {
    #[default]
    Idle,
    /// To survey the instances.
    Change(Change),
    /// To act on the survey.
    Decided(Change, Decision),
    /// To order the present primary again.
    Void(Purpose, Id),
    /// To send the recorded order.
    Recorded(GivenOrder),
    /// To receive the platform's response, and to observe that the instance leads.
    Ordered(GivenOrder),
    /// To check whether replicas need to be resumed.
    Resume,
    /// To record the intent of resuming these replicas.
    RecordResume { paused: Set },
    /// To send the resume commands.
    SendResume { paused: Set, earlier: bool },
    /// To receive the responses to them.
    ResumeSent { earlier: bool },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Coordinator {
    pub(crate) task: Task,
    /// Its copy of the intents.
    pub(crate) intents: Intents,
    /// Newest end of the primary's log that it knows.
    pub(crate) known_end: Point,
    /// The recorded change that it ends, as known before its last survey.
    pub(crate) ending_change: Option<u8>,
    /// The token of its accepted order for the present primary, until that has taken effect.
    pub(crate) voiding: Option<u8>,
}

impl Default for Coordinator {
    fn default() -> Self {
        Self {
            task: Task::Idle,
            intents: Intents::default(),
            known_end: Point::new(1, 0),
            ending_change: None,
            voiding: None,
        }
    }
}

/// A step of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// A change of primary begins.
    Begin(Id, Kind),
    /// The intent of the change is recorded.
    RecordChange,
    /// No quorum suspects the primary any more, or the change times out.
    Abort,
    Survey(Next),
    /// It acts on its last survey; an order is recorded first.
    Act,
    /// It sends the recorded order.
    SendOrder,
    /// It pauses newly announced instances.
    PauseNew,
    /// The ordered instance leads; whether the platform's response was received.
    ObservesLeader(bool),
    /// It stops waiting for that; whether the response was received.
    StopsWaiting(bool),
    /// It checks for paused replicas.
    Repair,
    /// It records the intent of resuming replicas.
    RecordResume,
    SendResume,
    AllResponded,
    NotAllResponded,
    /// The intent is so old that no command can be in flight any more.
    IntentExpires,
    /// No change is in progress any more.
    End,
    /// The order for the present primary has taken effect.
    Settled,
}
