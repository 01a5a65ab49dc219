//! Callers: sessions that write and read through any of the proxies.

use model::position::Point;
use model::unit::{Span, Time};
use policy::message::{Event, RequestId};
use policy::route::{ReadNeed, RouteError, Target, Unconfirmed};
use policy::status::Role;

use super::oracle::{Expectations, Violation};
use super::{Message, ProxyProcess, World};

/// Time from a request to its deadline.
const REQUEST_TIMEOUT: Span = Span::from_millis(5_000);

/// What a read states about the data that it must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requirement {
    /// The session's token.
    Token,
    /// Nothing: the read must then see all writes acknowledged before it, the session's own
    /// included.
    Unstated,
    /// The accepted age in milliseconds, and the token.
    MaxAge(u64),
}

/// A request of a caller without an outcome yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) request: RequestId,
    pub(crate) session: usize,
    pub(crate) write: Option<u64>,
    pub(crate) expectations: Expectations,
    pub(crate) target: Option<Target>,
    pub(crate) point: Point,
}

/// A statement in transit to an instance.
#[derive(Clone, Debug)]
pub(crate) struct Statement {
    pub(crate) proxy: ProxyProcess,
    pub(crate) request: RequestId,
    pub(crate) instance: usize,
    pub(crate) write: Option<u64>,
}

/// The result of a statement in transit to the proxy.
#[derive(Clone, Debug)]
pub(crate) struct Executed {
    pub(crate) statement: Statement,
    pub(crate) point: Option<Point>,
    pub(crate) shown: Vec<u64>,
}

/// A session with its token and its acknowledged writes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Session {
    pub(crate) token: Point,
    pub(crate) writes: Vec<u64>,
}

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) acknowledged: usize,
    pub(crate) rejected: usize,
    pub(crate) unknown: usize,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Callers {
    pub(crate) sessions: Vec<Session>,
    pub(crate) pending: Vec<PendingRequest>,
    pub(crate) outcomes: Outcomes,
    next: u64,
}

impl World {
    fn request_id(&mut self) -> RequestId {
        self.oracle.callers.next += 1;
        RequestId(self.oracle.callers.next)
    }

    pub(crate) fn session(&mut self, at: usize) -> &mut Session {
        let sessions = &mut self.oracle.callers.sessions;
        if sessions.len() <= at {
            sessions.resize(at + 1, Session::default());
        }
        &mut sessions[at]
    }

    /// Sends a write of the session through a proxy and returns the number of the write.
    pub(crate) fn write(&mut self, proxy: usize, session: usize) -> u64 {
        let request = self.request_id();
        let token = self.session(session).token;
        let pending = PendingRequest {
            request,
            session,
            write: Some(request.0),
            expectations: self.oracle.expectations(),
            target: None,
            point: Point::default(),
        };
        self.oracle.callers.pending.push(pending);
        let deadline = self.now + REQUEST_TIMEOUT;
        let point = Some(token);
        self.event(
            proxy,
            Event::RouteWrite {
                request,
                point,
                deadline,
            },
        );
        request.0
    }

    /// Sends a read of the session through a proxy.
    pub(crate) fn read(&mut self, proxy: usize, session: usize, requirement: Requirement) {
        let request = self.request_id();
        let Session { token, writes } = self.session(session).clone();
        let mut expectations = self.oracle.expectations();
        expectations.must_show = match requirement {
            Requirement::Token => writes,
            Requirement::Unstated => self.oracle.acked_until(self.now.as_micros()),
            Requirement::MaxAge(ms) => {
                let at = self.now.as_micros().saturating_sub(ms * 1_000);
                let mut must_show = self.oracle.acked_until(at);
                must_show.extend(writes);
                must_show
            }
        };
        self.oracle.callers.pending.push(PendingRequest {
            request,
            session,
            write: None,
            expectations,
            target: None,
            point: token,
        });
        let need = ReadNeed {
            point: (requirement != Requirement::Unstated).then_some(token),
            max_age: match requirement {
                Requirement::MaxAge(ms) => Some(Span::from_millis(ms)),
                Requirement::Token | Requirement::Unstated => None,
            },
        };
        let deadline = self.now + REQUEST_TIMEOUT;
        self.event(
            proxy,
            Event::RouteRead {
                request,
                need,
                deadline,
            },
        );
    }

    fn find(&mut self, request: RequestId) -> Option<&mut PendingRequest> {
        let mut pending = self.oracle.callers.pending.iter_mut();
        pending.find(|o| o.request == request)
    }

    fn close(&mut self, request: RequestId) -> Option<PendingRequest> {
        let pending = &mut self.oracle.callers.pending;
        let at = pending.iter().position(|o| o.request == request)?;
        Some(pending.swap_remove(at))
    }

    pub(crate) fn routed(
        &mut self,
        proxy: ProxyProcess,
        request: RequestId,
        result: Result<Target, RouteError>,
    ) {
        let target = match result {
            Ok(target) => target,
            Err(refusal) => {
                self.oracle.callers.outcomes.rejected += 1;
                if let RouteError::Forked { point } = refusal {
                    self.oracle.violations.push(Violation::Forked(point));
                }
                self.close(request);
                return;
            }
        };
        let Some(pending) = self.find(request) else {
            return;
        };
        pending.target = Some(target.clone());
        let write = pending.write;
        let instance = target.instance.as_str()[1..].parse().unwrap();
        let statement = Statement {
            proxy,
            request,
            instance,
            write,
        };
        let home = self.proxies[proxy.0].site;
        self.send_once(home, instance, Message::Statement(statement));
    }

    /// Sends a statement or its result. It may be lost, but is never duplicated, as it is sent
    /// on a connection.
    fn send_once(&mut self, from: usize, to: usize, message: Message) {
        let loss = std::mem::take(&mut self.loss);
        self.send(from, to, message);
        self.loss = loss;
    }

    pub(crate) fn execute(&mut self, statement: Statement) {
        let instance = &mut self.instances[statement.instance];
        if !instance.up {
            return;
        }
        let point = statement.write.and_then(|w| instance.write(w));
        let visible = &instance.log[..instance.applied];
        let shown = visible.iter().map(|(_, w)| *w).collect();
        let (from, to) = (statement.instance, self.proxies[statement.proxy.0].site);
        let executed = Executed {
            statement,
            point,
            shown,
        };
        self.send_once(from, to, Message::Executed(executed));
    }

    pub(crate) fn executed(&mut self, executed: Executed) {
        let Executed {
            statement,
            point,
            shown,
        } = executed;
        let (request, at) = (statement.request, statement.proxy.0);
        if self.proxies[at].start != statement.proxy.1 {
            return;
        }
        let Some(pending) = self.find(request).cloned() else {
            return;
        };
        let target = pending.target.clone().unwrap();
        match (pending.write, point) {
            (None, _) => {
                self.oracle.check_read(&shown, &pending.expectations);
                let replica = target.role == Role::Replica;
                self.oracle.replica_reads += usize::from(replica);
                self.close(request);
            }
            (Some(_), Some(point)) if point.term == target.term => {
                self.find(request).unwrap().point = point;
                let deadline = self.now + REQUEST_TIMEOUT;
                let event = Event::Confirm {
                    request,
                    point,
                    deadline,
                };
                self.event(at, event);
            }
            (Some(_), _) => {
                self.close(request);
            }
        }
        let instance = target.instance;
        let took = Span::from_millis(1);
        self.event(at, Event::Finished { instance, took });
    }

    pub(crate) fn confirmed(
        &mut self,
        _proxy: ProxyProcess,
        request: RequestId,
        result: Result<(), Unconfirmed>,
    ) {
        let Some(pending) = self.close(request) else {
            return;
        };
        let (Ok(()), Some(write)) = (result, pending.write) else {
            self.oracle.callers.outcomes.unknown += 1;
            return;
        };
        self.oracle.callers.outcomes.acknowledged += 1;
        let target = pending.target.unwrap();
        let by = target.instance.as_str()[1..].parse().unwrap();
        let at: Time = self.now;
        self.oracle.record_ack(
            write,
            pending.point,
            by,
            &pending.expectations,
            at.as_micros(),
        );
        let session = self.session(pending.session);
        session.token = session.token.max(pending.point);
        session.writes.push(write);
    }
}
