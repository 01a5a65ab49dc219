//! Routes and confirmations for one database group: the face of its group task.

mod client;
mod link;
mod log;
mod record;
mod round_trip;
mod task;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexMap;
use model::config::Fleet;
use model::id::{GroupId, InstanceId, ProxyId};
use model::location::Location;
use model::position::{Point, Term};
use model::unit::{Span, Time};
use policy::decision::Decision;
use policy::group::Leadership;
use policy::message::{Peer, PeerReport, Recipients, Versioned};
use policy::route::{Failure, ReadNeed, RouteError, Target, Unconfirmed};
use policy::status::Observation;

use crate::admit;
use crate::trace::Tracer;

/// A message to a group task.
enum Request {
    Write {
        point: Option<Point>,
        deadline: Instant,
        tx: flume::Sender<Result<Target, RouteError>>,
    },
    Read {
        need: ReadNeed,
        deadline: Instant,
        tx: flume::Sender<Result<Target, RouteError>>,
    },
    Confirm {
        point: Point,
        deadline: Instant,
        tx: flume::Sender<Result<(), Unconfirmed>>,
    },
    Replaced(Term, flume::Sender<()>),
    Finished(InstanceId, Span),
    Failed(InstanceId, Failure),
    Released(InstanceId),
    Configure(Arc<Fleet>),
    Update(Update),
    Snapshot(flume::Sender<Snapshot>),
}

/// An update from other proxies or from the watch on the store.
enum Update {
    Peers(Vec<Peer>),
    View(PeerReport),
    Record(Versioned),
}

/// What a group task knows and has decided.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Current time on the clock of this task; all other times refer to it.
    pub now: Time,
    /// The newest known primary.
    pub lead: Leadership,
    /// Newest observation of each instance.
    pub seen: IndexMap<InstanceId, Observation>,
    /// Newest decisions, oldest first.
    pub decisions: Vec<Decision>,
}

/// What a group task needs.
#[derive(Clone)]
pub struct Setup {
    /// The group.
    pub group: GroupId,
    /// This proxy.
    pub me: ProxyId,
    /// Where this proxy runs.
    pub location: Location,
    /// Address that outgoing connections are bound to.
    pub address: IpAddr,
    /// Receives the round-trip time to each instance.
    pub admit: admit::Handle,
    /// The configuration in force.
    pub fleet: Arc<Fleet>,
    /// The platform's store, which keeps the leadership record.
    pub store: store::client::Client,
    /// Reports to send to other proxies.
    pub tell: flume::Sender<(Recipients, PeerReport)>,
    /// Starts the spans of changes of primary.
    pub tracer: Tracer,
    /// Source of the controller's randomness.
    pub seed: u64,
}

/// Starts the task of one group on the current runtime.
pub fn spawn(setup: Setup) -> Handle {
    let (tx, rx) = flume::unbounded();
    let group = setup.group.clone();
    compio::runtime::spawn(task::run(setup, rx)).detach();
    Handle { group, tx }
}

/// Sends requests to the task of one group.
#[derive(Clone)]
pub struct Handle {
    group: GroupId,
    tx: flume::Sender<Request>,
}

impl Handle {
    /// The group.
    pub fn group(&self) -> &GroupId {
        &self.group
    }

    /// The primary, once there is one that the session may write to.
    ///
    /// `point` is the session's newest point: a proxy that knows only an older term than
    /// the point's asks for news first. A request that certainly did not run waits here
    /// through a change of primary, until `deadline` at most.
    pub async fn route_write(
        &self,
        point: Option<Point>,
        deadline: Instant,
    ) -> Result<Target, RouteError> {
        let (tx, rx) = flume::bounded(1);
        let req = Request::Write {
            point,
            deadline,
            tx,
        };
        self.ask(req, &rx)
            .await
            .unwrap_or(Err(RouteError::Stopping))
    }

    /// An instance that is fresh enough for the read.
    pub async fn route_read(
        &self,
        need: ReadNeed,
        deadline: Instant,
    ) -> Result<Target, RouteError> {
        let (tx, rx) = flume::bounded(1);
        let req = Request::Read { need, deadline, tx };
        self.ask(req, &rx)
            .await
            .unwrap_or(Err(RouteError::Stopping))
    }

    /// Waits until a majority holds the write that ran on `target` up to `point`.
    ///
    /// Only `Ok` allows the write to be acknowledged; after any error its outcome is
    /// unknown.
    pub async fn confirm(
        &self,
        target: &Target,
        point: Point,
        deadline: Instant,
    ) -> Result<(), Unconfirmed> {
        // A primary that was fenced, made a replica and rebuilt between the commit and the
        // question for its point names a point of the newer term, which says nothing
        // about the commit.
        if point.term != target.term {
            return Err(Unconfirmed::OtherTerm);
        }
        let (tx, rx) = flume::bounded(1);
        let req = Request::Confirm {
            point,
            deadline,
            tx,
        };
        self.ask(req, &rx)
            .await
            .unwrap_or(Err(Unconfirmed::Stopping))
    }

    /// Completes once a primary of a later term than `term` is known.
    ///
    /// Failure: a primary is cut off with requests in flight, which stay silent until
    /// their deadlines although their writes can no longer be confirmed. Whoever waits
    /// for such a primary waits for this too.
    pub async fn replaced(&self, term: Term) {
        let (tx, rx) = flume::bounded(1);
        if self.ask(Request::Replaced(term, tx), &rx).await.is_none() {
            // The task has ended, which says nothing about the primary.
            std::future::pending::<()>().await;
        }
    }

    /// Reports how long a request took on an instance, for later choices.
    pub fn finished(&self, instance: &InstanceId, took: Span) {
        let _ = self.tx.send(Request::Finished(instance.clone(), took));
    }

    /// Reports that a routed request did not go to its instance after all.
    ///
    /// Every route is followed by exactly one of `finished`, `failed` and `released`;
    /// otherwise the instance would seem ever more loaded.
    pub fn released(&self, instance: &InstanceId) {
        let _ = self.tx.send(Request::Released(instance.clone()));
    }

    /// Reports that an instance failed a request.
    pub fn failed(&self, instance: &InstanceId, failure: Failure) {
        let _ = self.tx.send(Request::Failed(instance.clone(), failure));
    }

    /// Passes on a newer configuration.
    pub fn configure(&self, fleet: Arc<Fleet>) {
        let _ = self.tx.send(Request::Configure(fleet));
    }

    /// Passes on the list of live proxies.
    pub fn peers(&self, live: Vec<Peer>) {
        let _ = self.tx.send(Request::Update(Update::Peers(live)));
    }

    /// Passes on another proxy's report about the group.
    pub fn peer_view(&self, view: PeerReport) {
        let _ = self.tx.send(Request::Update(Update::View(view)));
    }

    /// Passes on the leadership record as a watch or a peer reported it.
    pub fn record(&self, versioned: Versioned) {
        let _ = self.tx.send(Request::Update(Update::Record(versioned)));
    }

    /// What the group task knows and has decided; `None` while it shuts down.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        let (tx, rx) = flume::bounded(1);
        self.ask(Request::Snapshot(tx), &rx).await
    }

    async fn ask<T>(&self, req: Request, rx: &flume::Receiver<T>) -> Option<T> {
        self.tx.send_async(req).await.ok()?;
        rx.recv_async().await.ok()
    }
}
