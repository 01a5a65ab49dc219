//! Events that a group controller is driven by, and the actions that it asks for.

use model::id::{GroupId, InstanceId, ProxyId};
use model::location::Location;
use model::position::{Point, Position, Revision, Term};
use model::unit::{Span, Time};

use crate::decision::Decision;
use crate::leadership::Record;
use crate::route::{Failure, ReadNeed, RouteError, Target, Unconfirmed};
use crate::spec::Spec;
use crate::status::Status;

/// Names a request of a caller until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Names a question to an instance or to the store until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Query(pub u64);

/// A question or order to an instance; the answer is its status row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Its status at once.
    Status,
    /// Its status once it holds the position, or after the time.
    Wait {
        /// Position to wait for.
        position: Position,
        /// Longest wait.
        timeout: Span,
    },
    /// Promise the term.
    Fence(Term),
    /// Become the primary of the term.
    Promote(Term),
    /// Become a replica of the named instance under the term.
    Follow {
        /// Term of the primary.
        term: Term,
        /// The primary.
        primary: InstanceId,
    },
}

/// Connection that a question goes out on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// The long-lived one, behind earlier questions.
    Steady,
    /// A new one: an answer proves that the server accepts connections now. Orders also
    /// go this way, so that they never queue behind a waiting question.
    Fresh,
}

/// A request to the platform's store about the group's leadership record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// The record as it stands.
    Read,
    /// Write the record if its revision is still the expected one (0: absent).
    Swap {
        /// Revision that the record must have.
        expected: Revision,
        /// What to write.
        record: Record,
    },
}

/// The record with the revision of its last change; revision 0 when absent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versioned {
    /// Revision of the last change.
    pub revision: Revision,
    /// The record, if there is one.
    pub record: Option<Record>,
}

/// What the store answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The record as read, or as found by a swap that changed nothing.
    Found(Versioned),
    /// The swap took effect at this revision.
    Swapped(Revision),
    /// No answer: the store is down, or the answer was lost after the change took effect.
    Unknown,
}

/// What one proxy tells another about a group's primary.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PeerReport {
    /// The group.
    pub group: GroupId,
    /// The proxy that speaks.
    pub proxy: ProxyId,
    /// Where it runs.
    #[serde(rename = "place")]
    pub location: Location,
    /// Newest term that it knows to have a primary.
    pub term: Term,
    /// The primary of that term.
    pub primary: Option<InstanceId>,
    /// Time since the primary last answered it; `None` when it never did.
    pub heard: Option<Span>,
    /// Time for which its questions to the primary have gone without an answer.
    pub silent: Span,
    /// Whether it doubts the primary and wants the receiver's view in return.
    pub asks: bool,
}

/// A live proxy, as membership reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its id.
    pub id: ProxyId,
    /// Where it runs.
    pub location: Location,
}

/// An input of a group controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A newer configuration of the group.
    Configure(Box<Spec>),
    /// The live proxies, this one included or not.
    Peers(Vec<Peer>),
    /// Another proxy's view.
    Peer(PeerReport),
    /// An instance answered, or failed to.
    Answer {
        /// Question that was asked.
        query: Query,
        /// Status row, or how the connection failed.
        result: Result<Status, Failure>,
    },
    /// The store answered.
    Store {
        /// Request that was made.
        query: Query,
        /// Its outcome.
        answer: StoreReply,
    },
    /// News of the record from a watch or a peer.
    Record(Versioned),
    /// A request wants the primary.
    RouteWrite {
        /// The request.
        ticket: Ticket,
        /// Newest point of its session.
        point: Option<Point>,
        /// When the answer is worthless.
        deadline: Time,
    },
    /// A request wants to read.
    RouteRead {
        /// The request.
        ticket: Ticket,
        /// What it must see.
        need: ReadNeed,
        /// When the answer is worthless.
        deadline: Time,
    },
    /// A write ran; may it be acknowledged?
    Confirm {
        /// The request.
        ticket: Ticket,
        /// End of the write, under the term that it was routed to.
        point: Point,
        /// When the answer is worthless.
        deadline: Time,
    },
    /// A request on an instance ended after this time.
    Finished {
        /// The instance.
        instance: InstanceId,
        /// From sending to the whole answer.
        took: Span,
    },
    /// A request that was routed to an instance did not go there.
    Released {
        /// The instance.
        instance: InstanceId,
    },
    /// A request on an instance failed.
    Failed {
        /// The instance.
        instance: InstanceId,
        /// How.
        failure: Failure,
    },
}

/// Whom a view is meant for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// Every live proxy.
    All,
    /// One proxy.
    One(ProxyId),
}

/// An output of a group controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Put a question to an instance.
    Ask {
        /// Names the answer.
        query: Query,
        /// Whom to ask.
        instance: InstanceId,
        /// What to ask.
        ask: Ask,
        /// On which connection.
        channel: Channel,
    },
    /// Put a request to the store.
    Store {
        /// Names the answer.
        query: Query,
        /// What to ask.
        ask: StoreRequest,
    },
    /// Tell other proxies.
    Tell {
        /// Whom.
        to: Recipients,
        /// What.
        view: PeerReport,
    },
    /// Answer a routed request.
    Routed {
        /// The request.
        ticket: Ticket,
        /// Its route.
        result: Result<Target, RouteError>,
    },
    /// Answer a request for confirmation.
    Confirmed {
        /// The request.
        ticket: Ticket,
        /// Whether it may be acknowledged.
        result: Result<(), Unconfirmed>,
    },
    /// A decision was recorded; worth a line in the log.
    Decided(Decision),
}
