//! What a coordinator is about to do, and what is noted of it in the store.

use model::position::Point;
use policy::takeover::Cause;

use crate::look::Next;
use crate::world::{Id, Set};

/// A note in the store that an instance is ordered to lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Lead {
    pub(crate) instance: Id,
    /// Which of its ids.
    pub(crate) born: u8,
    /// The token of the order, which also tells one note from another.
    pub(crate) token: u8,
}

/// What is noted of calls that may still be carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Notes {
    /// Replicas are told to receive again; by whom.
    pub(crate) receive: Option<usize>,
    pub(crate) lead: Option<Lead>,
    /// A change of primary is under way; which one was noted last.
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
    /// Which of its ids.
    pub(crate) born: u8,
    pub(crate) kind: Kind,
    /// Whether the old primary was told to stop leading.
    pub(crate) told: bool,
    /// Whether the old primary left a question unanswered.
    pub(crate) silent: bool,
    /// Whether it has noted an order: its time is over before that note lapses.
    pub(crate) noted: bool,
    /// Whether the store holds the note that it is under way.
    pub(crate) in_store: bool,
}

/// What a look led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Decision {
    Pause(u8, Set),
    Demote(u8, Id),
    /// The instance, the term in which it will lead, and the instances that are known.
    Promote(Id, u8, Set),
}

/// What an order is given for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Purpose {
    /// To make an instance lead in this term, while those that are not known are stopped.
    Promote(Change, u8, Set),
    /// To make earlier ones void, and then to do what was decided.
    Leave(Change, Option<Decision>),
    /// The same, and then to let these receive again.
    Receive(Set),
}

/// An order that is noted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Given {
    pub(crate) purpose: Purpose,
    pub(crate) next: Id,
    pub(crate) token: u8,
    /// Whether one before it may still be carried out.
    pub(crate) earlier: bool,
    /// Whether the platform took it; its answer is on the way.
    pub(crate) taken: Option<bool>,
}

/// What a coordinator is about to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) enum Doing {
    #[default]
    Idle,
    /// To look at the instances.
    Change(Change),
    /// To act on what it saw.
    Decided(Change, Decision),
    /// To order the primary that it saw.
    Void(Purpose, Id),
    /// To give an order that it has noted.
    Noted(Given),
    /// To hear the platform's answer, and to see that the instance leads.
    Ordered(Given),
    /// To look whether replicas are to receive again.
    Resume,
    /// To note that these are told to receive again.
    Note { stopped: Set },
    /// To tell them.
    Tell { stopped: Set, earlier: bool },
    /// To hear their answers.
    Told { earlier: bool },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Coordinator {
    pub(crate) doing: Doing,
    /// Its copy of the notes.
    pub(crate) notes: Notes,
    /// Newest end of the primary's log that it saw.
    pub(crate) end: Point,
    /// The note of a change that it ends, as it was before its last look.
    pub(crate) ends: Option<u8>,
}

impl Default for Coordinator {
    fn default() -> Self {
        Self {
            doing: Doing::Idle,
            notes: Notes::default(),
            end: Point::new(1, 0),
            ends: None,
        }
    }
}

/// One step of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// A change of primary begins.
    Begin(Id, Kind),
    /// It is noted that the change is under way.
    NoteChange,
    /// Nobody doubts the primary any more, or the change took too long.
    GiveUp,
    Look(Next),
    /// It acts on its last look; an order is noted first.
    Act,
    /// The order that is noted is given.
    Give,
    /// Instances that appeared are told to stop receiving.
    Watch,
    /// The ordered instance leads; whether the platform's answer was heard.
    SeesLead(bool),
    /// It does not wait for that any more.
    StopsWaiting(bool),
    /// It looks after stopped replicas.
    Mend,
    /// It notes that replicas are told to receive again.
    Note,
    Tell,
    AllAnswered,
    NotAllAnswered,
    /// The note is so old that nothing is on its way any more.
    NoteExpires,
    /// No change is under way any more.
    End,
}
