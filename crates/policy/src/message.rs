//! Events that a group controller processes, and the actions that it returns.

use model::id::{GroupId, InstanceId, ProxyId};
use model::location::Location;
use model::position::{Point, Position, Revision, Term};
use model::unit::{Span, Time};

use crate::decision::Decision;
use crate::leadership::Record;
use crate::route::{Failure, ReadNeed, RouteError, Target, Unconfirmed};
use crate::spec::Spec;
use crate::status::Status;

/// Identifies a request of a caller until its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies a query or command to an instance, or a request to the store, until its
/// response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueryId(pub u64);

/// A status query or a command to an instance; the response is its status row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Return the status at once.
    Status,
    /// Return the status once the log reaches the position, or after the timeout.
    Wait {
        /// Position to wait for.
        position: Position,
        /// Longest wait.
        timeout: Span,
    },
    /// Promise the term, and accept nothing of a lower one.
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

/// Connection on which a command is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// The long-lived one, behind earlier queries.
    Persistent,
    /// A separate one: for a status query a new one, as its response then proves that the
    /// server accepts connections now. Commands use one too, so that they never queue behind
    /// a waiting query.
    Fresh,
}

/// A request to the platform's store about the group's leadership record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Read the record.
    Read,
    /// Write the record if its revision is still the expected one (0: absent).
    Swap {
        /// Revision that the record must have for the swap to take effect.
        expected: Revision,
        /// The record to write.
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

/// The response of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The record as read, or as found by a swap that changed nothing.
    Found(Versioned),
    /// The swap took effect at this revision.
    Swapped(Revision),
    /// No response: the store is down, or the response was lost after the change took effect.
    Unknown,
}

/// What one proxy reports to another about a group's primary.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PeerReport {
    /// The group.
    pub group: GroupId,
    /// The reporting proxy.
    pub proxy: ProxyId,
    /// Where it runs.
    #[serde(rename = "place")]
    pub location: Location,
    /// Newest term that it knows to have a primary.
    pub term: Term,
    /// The primary of that term.
    pub primary: Option<InstanceId>,
    /// Time since the primary last responded to it; `None` if it never did.
    #[serde(rename = "heard")]
    pub contact_age: Option<Span>,
    /// Time for which the primary has not responded to its queries.
    #[serde(rename = "silent")]
    pub unresponsive_for: Span,
    /// Whether it suspects the primary and requests the receiver's report in return.
    #[serde(rename = "asks")]
    pub wants_reply: bool,
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
    /// The configuration of the group in force.
    Configure(Box<Spec>),
    /// The live proxies, with or without this one.
    Peers(Vec<Peer>),
    /// A report of another proxy.
    PeerReport(PeerReport),
    /// An instance responded, or the query failed.
    Response {
        /// The query or command.
        query: QueryId,
        /// Status row, or how the connection failed.
        result: Result<Status, Failure>,
    },
    /// The store replied.
    Store {
        /// The request to the store.
        query: QueryId,
        /// Its reply.
        reply: StoreReply,
    },
    /// A state of the record, from a watch or a peer.
    Record(Versioned),
    /// A request needs a route to the primary.
    RouteWrite {
        /// The request.
        request: RequestId,
        /// Newest point of its session.
        point: Option<Point>,
        /// Time after which the response is useless.
        deadline: Time,
    },
    /// A request needs a route for a read.
    RouteRead {
        /// The request.
        request: RequestId,
        /// The state that it must see.
        need: ReadNeed,
        /// Time after which the response is useless.
        deadline: Time,
    },
    /// A write ran, and its caller waits for the acknowledgement.
    Confirm {
        /// The request.
        request: RequestId,
        /// End of the write in the log, under the term that it was routed to.
        point: Point,
        /// Time after which the response is useless.
        deadline: Time,
    },
    /// A request on an instance completed.
    Finished {
        /// The instance.
        instance: InstanceId,
        /// Time from sending to the complete response.
        took: Span,
    },
    /// A request that was routed to an instance was not sent there.
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

/// Recipients of a report.
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
    /// Send a command to an instance.
    Command {
        /// Identifies the response.
        query: QueryId,
        /// The instance.
        instance: InstanceId,
        /// The command.
        command: Command,
        /// The connection to use.
        channel: Channel,
    },
    /// Send a request to the store.
    Store {
        /// Identifies the response.
        query: QueryId,
        /// The request.
        request: StoreRequest,
    },
    /// Send a report to other proxies.
    Send {
        /// The recipients.
        to: Recipients,
        /// The report.
        report: PeerReport,
    },
    /// Return the route of a request.
    Routed {
        /// The request.
        request: RequestId,
        /// Its route, or why there is none.
        result: Result<Target, RouteError>,
    },
    /// Return the outcome of a confirmation.
    Confirmed {
        /// The request.
        request: RequestId,
        /// Whether it may be acknowledged.
        result: Result<(), Unconfirmed>,
    },
    /// Log a decision.
    Decided(Decision),
}
