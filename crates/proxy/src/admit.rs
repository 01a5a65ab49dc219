//! Admission to the backend servers: the face of the task that owns every queue.

mod task;

use std::time::Instant;

use indexmap::IndexMap;
use model::id::{CallerId, Class, InstanceId};
use model::unit::{Span, Time};
use policy::admission::{Completion, Limits, Rejection};
use policy::queue::Key;
use policy::service_time::Shape;

/// A request that asks for a slot of a backend server.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Who asks.
    pub caller: CallerId,
    /// The caller's share against other callers.
    pub weight: u32,
    /// Class of the request.
    pub class: Class,
    /// The class's share against other classes of the caller.
    pub class_weight: u32,
    /// Shape of the statement, by which its cost is learned.
    pub cost: Shape,
    /// Moment after which the answer is useless to the caller.
    pub deadline: Instant,
}

/// Why a request was not admitted. It did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EnterError {
    /// There is more work than the backend server can do in time.
    #[error(transparent)]
    Refused(#[from] Rejection),
    /// The proxy is shutting down.
    #[error("the proxy is shutting down")]
    Stopping,
}

/// What the admission to one backend server looks like at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that wait.
    pub queued: u32,
    /// Requests in flight.
    pub busy: u32,
    /// Requests that may be in flight.
    pub limit: u32,
    /// Median service time.
    pub median: Span,
}

/// A message to the admission task.
enum Request {
    Enter {
        instance: InstanceId,
        ticket: Ticket,
        tx: flume::Sender<Result<Permit, EnterError>>,
    },
    End {
        instance: InstanceId,
        key: Key,
        end: Completion,
    },
    Limits(InstanceId, Limits),
    RoundTrip(InstanceId, Span),
    Returned(InstanceId),
    Loads(flume::Sender<IndexMap<InstanceId, Load>>),
}

/// Starts the admission task on the current runtime.
///
/// `limits` bounds every backend server that [`Handle::set_limits`] never named.
pub fn spawn(limits: Limits) -> Handle {
    let (tx, rx) = flume::unbounded();
    compio::runtime::spawn(task::run(limits, tx.downgrade(), rx)).detach();
    Handle { tx }
}

/// Sends requests to the admission task.
#[derive(Clone)]
pub struct Handle {
    tx: flume::Sender<Request>,
}

/// The right to have one request in flight at a backend server.
///
/// Dropping it frees the slot and leaves the time unlearned, as after a failure.
#[derive(Debug)]
pub struct Permit {
    tx: flume::Sender<Request>,
    instance: InstanceId,
    key: Key,
    end: Completion,
}

impl Permit {
    /// Frees the slot after an answer, whose time is learned from.
    pub fn answered(mut self) {
        self.end = Completion::Responded;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let req = Request::End {
            instance: self.instance.clone(),
            key: self.key,
            end: self.end,
        };
        let _ = self.tx.send(req);
    }
}

impl Handle {
    /// Waits for a slot of `instance`.
    ///
    /// A refusal comes at the moment at which it is certain, mostly at once.
    pub async fn enter(&self, ticket: Ticket, instance: &InstanceId) -> Result<Permit, EnterError> {
        let (tx, rx) = flume::bounded(1);
        let req = Request::Enter {
            instance: instance.clone(),
            ticket,
            tx,
        };
        self.tx.send(req).map_err(|_| EnterError::Stopping)?;
        rx.recv_async().await.unwrap_or(Err(EnterError::Stopping))
    }

    /// Changes what may be in flight at, and queued for, a backend server.
    pub fn set_limits(&self, instance: &InstanceId, limits: Limits) {
        let _ = self.tx.send(Request::Limits(instance.clone(), limits));
    }

    /// Tells the measured time on the way to a backend server and back, which replaces
    /// the one in its limits.
    pub fn round_trip(&self, instance: &InstanceId, way: Span) {
        let _ = self.tx.send(Request::RoundTrip(instance.clone(), way));
    }

    /// Tells that a backend server came back; it is loaded gradually.
    pub fn returned(&self, instance: &InstanceId) {
        let _ = self.tx.send(Request::Returned(instance.clone()));
    }

    /// The load of every backend server that was asked for.
    pub async fn loads(&self) -> IndexMap<InstanceId, Load> {
        let (tx, rx) = flume::bounded(1);
        let _ = self.tx.send(Request::Loads(tx));
        rx.recv_async().await.unwrap_or_default()
    }
}

/// This process's clock for the policy, counted from the task's start.
#[derive(Clone, Copy, Debug)]
struct Clock(Instant);

impl Clock {
    fn time(self, at: Instant) -> Time {
        Time::default() + Span::from(at.saturating_duration_since(self.0))
    }

    fn now(self) -> Time {
        self.time(Instant::now())
    }
}
