//! Lending connections to another proxy of the data centre.
//!
//! A proxy without connections of its own to a group asks a carrier for one, speaks to the
//! instance through it, and returns it. Between the two runs one TCP connection for each
//! loan under way; it is used again for the next one. Messages of the proxies are lines
//! that begin with [`MARK`], which no line of an instance does; all other lines are passed
//! on as they are.

mod carrier;
mod client;

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::id::{GroupId, InstanceId, ProxyId};
use model::position::{Point, Revision};
use model::route::Guarantee;
use model::statement::{Access, Shape};
use model::unit::{Span, Time};
use policy::pool::{ConnRequest, Kind, Rejection};
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::concern::Concerns;
use crate::feed::Packed;
use crate::group::Feedback;

pub use carrier::serve;
pub use client::{Client, Miss, WayBack};

/// Begins a message between proxies.
const MARK: u8 = b'!';

/// Longest wait until the carrier has heard a request. It is in the same data centre and
/// answers within a millisecond; one that stands still is passed over.
const HEARD: Duration = Duration::from_millis(150);

/// What a statement needs of its connection; a coordinator's questions are not relayed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum WireKind {
    Write,
    Read(Guarantee),
}

/// A message to the carrier.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum ToCarrier {
    /// Asks for a connection.
    Ask {
        group: GroupId,
        kind: WireKind,
        own: Option<Point>,
        /// Time since the statement arrived. The carrier counts from when it reads the
        /// message, later than the statement arrived, so that reads get fresher data than
        /// they need, never older.
        waited: Span,
        /// Time until the caller is refused.
        left: Span,
        priority: u8,
        avoid: Option<InstanceId>,
        /// Whether the statement waits for an instance that is out of reach.
        #[serde(default)]
        patient: bool,
    },
    /// Gives it back.
    Return(Returned),
    /// Asks for what the store told after a revision, within a time; it is answered by
    /// `Heard`, and then by `News` or `Elsewhere`.
    Follow { after: Revision, wait: Span },
    /// Asks whether a replica holds a write that ran on a lent connection; it is answered by
    /// `Proved`.
    Prove {
        group: GroupId,
        primary: InstanceId,
        point: Point,
        /// Time until the caller waits no longer.
        left: Span,
    },
    /// Asks which groups have a change of primary under way, as the store tells after it has
    /// read this; the question may be put off for some time. It is answered by `Heard`, and
    /// then by `Changing` or `Elsewhere`.
    Changes { within: Span },
    /// Tells what the sender finds wrong with the groups; it is answered by `Heard`.
    Report { by: ProxyId, concerns: Concerns },
}

/// What is known of a connection that comes back.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Returned {
    /// Whether it can be used again; if not, the carrier closes it.
    usable: bool,
    held: Held,
    /// End of the primary's log, if the instance proved during the loan that it leads. The
    /// carrier dates the proof from when it lent the connection: both clocks agree that
    /// this was earlier, so reads get fresher data than they need, never older.
    proof: Option<Point>,
    took: Option<Span>,
    /// End of the instance's log, as its last answer showed it.
    shown: Option<Point>,
    notes: Vec<Feedback>,
}

/// What an instance holds for a connection.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Held {
    /// Session values.
    pub values: IndexMap<Arc<str>, Arc<str>>,
    /// Prepared statements: whether they write, what they run, and the connection's name.
    pub prepared: Vec<(bool, Arc<str>, Arc<str>)>,
    /// Names given out so far.
    pub names: u64,
}

/// A message of the carrier.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum FromCarrier {
    /// The request has been read.
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
    /// There is none.
    Refused(Rejection),
    /// Groups with a change of primary under way.
    Changing(IndexSet<GroupId>),
    /// What the store told.
    News(Packed),
    /// The carrier does not know the group yet.
    Starting,
    /// The carrier reaches no instance that could serve the request.
    OutOfReach,
    /// The carrier stops, or does not reach the store: ask another one.
    Elsewhere,
}

impl Held {
    /// A prepared statement in the form that is sent.
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

fn to_wire(group: &GroupId, ask: &ConnRequest) -> Option<ToCarrier> {
    let now = clock::now();
    let kind = match &ask.kind {
        Kind::Write => WireKind::Write,
        Kind::Read(guarantee) => WireKind::Read(*guarantee),
        Kind::Control(_) => return None,
    };
    Some(ToCarrier::Ask {
        group: group.clone(),
        kind,
        own: ask.own_write,
        waited: now.since(ask.arrived),
        left: ask.deadline.since(now),
        priority: ask.priority,
        avoid: ask.avoid.clone(),
        patient: ask.may_wait,
    })
}

fn from_wire(message: ToCarrier) -> Option<(GroupId, ConnRequest)> {
    let ToCarrier::Ask {
        group,
        kind,
        own,
        waited,
        left,
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
    let ask = ConnRequest {
        kind,
        own_write: own,
        arrived: Time::from_micros(arrived),
        deadline: now + left,
        priority,
        avoid,
        may_wait: patient,
    };
    Some((group, ask))
}

fn encode(message: &impl Serialize) -> Vec<u8> {
    let mut line = vec![MARK];
    // The messages hold only texts and numbers, which always can be written.
    line.extend(serde_json::to_vec(message).unwrap_or_default());
    line.extend_from_slice(platform::line::END);
    line
}

fn decode<T: for<'de> Deserialize<'de>>(line: &[u8]) -> Option<T> {
    let body = line.strip_prefix(&[MARK])?;
    match serde_json::from_slice(body) {
        Ok(message) => Some(message),
        Err(e) => {
            tracing::warn!(cause = %e, "a message of another proxy cannot be read");
            None
        }
    }
}
