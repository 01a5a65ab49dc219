//! Checkout of connections from another proxy.
//!
//! A proxy without connections of its own to a group (the client proxy) requests one from a
//! pooler, exchanges statements with the instance through the pooler, and returns the
//! connection. Each checkout in progress uses one TCP connection between the two proxies,
//! which is reused afterwards. Messages between the proxies are lines that begin with
//! [`MARK`], which no line of an instance does; all other lines are forwarded unchanged.

mod client;
mod pooler;

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::customer::CustomerPriority;
use model::id::{CustomerId, GroupId, InstanceId, ProxyId};
use model::position::{Point, Revision};
use model::route::Guarantee;
use model::statement::{Access, Shape};
use model::unit::{Span, Time};
use policy::pool::{ConnRequest, Kind, Rejection};
use policy::quota::Answer;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::feed::Packed;
use crate::group::Feedback;
use crate::health::Reports;

pub use client::{CheckoutFailure, Client, FollowFailure, ReturnPath};
pub use pooler::serve;

/// First byte of a message between proxies.
const MARK: u8 = b'!';

/// Longest wait until the pooler confirms that it has received a request. It is in the same
/// data centre or region and confirms within some milliseconds; one that doesn't is skipped.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(150);

/// Kind of a relayed request; a coordinator's queries are not relayed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum WireKind {
    Write,
    Read(Guarantee),
}

/// A message to the pooler.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum ToPooler {
    /// Requests a connection.
    Ask {
        group: GroupId,
        kind: WireKind,
        /// The customer on whose behalf the statement runs.
        #[serde(default)]
        customer: Option<CustomerId>,
        /// The customer's priority.
        #[serde(default)]
        customer_priority: CustomerPriority,
        own: Option<Point>,
        /// Time since the statement arrived. The pooler subtracts it from the time at which it
        /// reads the message, so the arrival that it assumes is later than the true one: reads
        /// get fresher data than they need, never older.
        waited: Span,
        /// Time until the request is rejected.
        left: Span,
        /// Time from the arrival within which the caller expects the operation to complete; the
        /// request is rejected at the same time if it is missing.
        #[serde(default)]
        objective: Option<Span>,
        priority: u8,
        avoid: Option<InstanceId>,
        /// Whether the request may wait for an unreachable instance.
        #[serde(default)]
        patient: bool,
    },
    /// Returns the connection.
    Return(Returned),
    /// Queries the store's updates after a revision, and waits up to `wait` for them. The
    /// response is `Heard`, and then `News` or `Elsewhere`.
    Follow { after: Revision, wait: Span },
    /// Queries whether a replica holds a write that ran on a connection of the pooler. The
    /// response is `Proved`.
    Prove {
        group: GroupId,
        primary: InstanceId,
        point: Point,
        /// Time until the query times out.
        left: Span,
    },
    /// Queries which groups have a change of primary in progress, as the store reports after the
    /// receipt of this message; the receiver may delay its query to the store by up to `within`.
    /// The response is `Heard`, and then `Changing` or `Elsewhere`.
    Changes { within: Span },
    /// Requests permits for a customer's operations on the sender. The response is `Permits`.
    Permits { customer: CustomerId, count: u32 },
    /// Queries whether the receiver, a granter of the customer's permits, knows of the sender's
    /// announcement at a revision. The response is `Knows`.
    Knows {
        customer: CustomerId,
        revision: Revision,
    },
    /// Reports what the sender finds wrong with the groups. The response is `Heard`.
    Report { by: ProxyId, concerns: Reports },
}

/// State of a returned connection, and what the client proxy learned on it.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Returned {
    /// Whether it can be reused; if not, the pooler closes it.
    usable: bool,
    held: Held,
    /// End of the primary's log, if the instance proved during the checkout that it leads. The
    /// pooler dates the proof from when it granted the connection: by either clock this was
    /// earlier, so reads get fresher data than they need, never older.
    proof: Option<Point>,
    took: Option<Span>,
    /// End of the instance's log, as its last response showed it.
    shown: Option<Point>,
    notes: Vec<Feedback>,
}

/// State that an instance holds for a connection.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Held {
    /// Session values.
    pub values: IndexMap<Arc<str>, Arc<str>>,
    /// Prepared statements: whether they write, their text, and their name on the connection.
    pub prepared: Vec<(bool, Arc<str>, Arc<str>)>,
    /// Number of names assigned so far.
    pub names: u64,
}

/// A message from the pooler.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum FromPooler {
    /// The request has been received.
    Heard,
    /// The connection follows.
    Granted {
        instance: InstanceId,
        after: Option<Point>,
        prove: bool,
        held: Held,
    },
    /// Whether a replica holds the write.
    Proved(bool),
    /// The request is rejected.
    Refused(Rejection),
    /// Groups with a change of primary in progress.
    Changing(IndexSet<GroupId>),
    /// Permits for a customer's operations.
    Permits(Answer),
    /// Whether the announcement is known.
    Knows(bool),
    /// Updates of the store.
    News(Packed),
    /// The pooler does not know the group yet.
    Starting,
    /// The pooler reaches no instance that could serve the request.
    OutOfReach,
    /// The pooler stops, or does not reach the store; another proxy may be queried.
    Elsewhere,
}

impl Held {
    /// A prepared statement in its serialised form.
    pub fn prepared(shape: &Shape, name: &Arc<str>) -> (bool, Arc<str>, Arc<str>) {
        let writes = shape.access == Access::Write;
        (writes, shape.text.clone(), name.clone())
    }

    /// The prepared statements.
    pub fn shapes(&self) -> IndexMap<Shape, Arc<str>> {
        let shape = |(writes, text, name): &(bool, Arc<str>, Arc<str>)| {
            let access = if *writes { Access::Write } else { Access::Read };
            let text = text.clone();
            (Shape { access, text }, name.clone())
        };
        self.prepared.iter().map(shape).collect()
    }
}

fn to_wire(group: &GroupId, request: &ConnRequest) -> Option<ToPooler> {
    let now = clock::now();
    let kind = match &request.kind {
        Kind::Write => WireKind::Write,
        Kind::Read(guarantee) => WireKind::Read(*guarantee),
        Kind::Control(_) => return None,
    };
    Some(ToPooler::Ask {
        group: group.clone(),
        kind,
        customer: request.customer.clone(),
        customer_priority: request.customer_priority,
        own: request.own_write,
        waited: now.since(request.arrived),
        left: request.deadline.since(now),
        objective: Some(request.objective),
        priority: request.priority,
        avoid: request.avoid.clone(),
        patient: request.may_wait,
    })
}

fn from_wire(message: ToPooler) -> Option<(GroupId, ConnRequest)> {
    let ToPooler::Ask {
        group,
        kind,
        customer,
        customer_priority,
        own,
        waited,
        left,
        objective,
        priority,
        avoid,
        patient,
    } = message
    else {
        return None;
    };
    let now = clock::now();
    let kind = match kind {
        WireKind::Write => Kind::Write,
        WireKind::Read(guarantee) => Kind::Read(guarantee),
    };
    let arrived = now.as_micros().saturating_sub(waited.as_micros());
    let request = ConnRequest {
        kind,
        customer,
        customer_priority,
        own_write: own,
        arrived: Time::from_micros(arrived),
        objective: objective.unwrap_or(waited + left),
        deadline: now + left,
        priority,
        avoid,
        may_wait: patient,
    };
    Some((group, request))
}

fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut line = vec![MARK];
    // Messages contain only texts and numbers, so serialisation cannot fail.
    line.extend(serde_json::to_vec(message).unwrap_or_default());
    line.extend_from_slice(platform::line::END);
    line
}

fn decode<T: for<'de> Deserialize<'de>>(line: &[u8]) -> Option<T> {
    let body = line.strip_prefix(&[MARK])?;
    match serde_json::from_slice(body) {
        Ok(message) => Some(message),
        Err(e) => {
            tracing::warn!(cause = %e, "a message from another proxy cannot be parsed");
            None
        }
    }
}
