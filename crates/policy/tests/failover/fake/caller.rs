//! Callers: sessions that write and read through any proxy.

use model::position::Point;
use model::unit::{Span, Time};
use policy::message::{Event, Ticket};
use policy::route::{ReadNeed, RouteError, Target, Unconfirmed};
use policy::status::Role;

use super::oracle::{Begun, Violation};
use super::{Message, Who, World};

/// Time that a caller gives a request.
const PATIENCE: Span = Span::from_millis(5_000);

/// How a read states what it must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Marks {
    /// With the session's token.
    Token,
    /// Without anything: the session must see its writes all the same.
    Nothing,
    /// With an accepted age in milliseconds, and the token.
    Age(u64),
}

/// A request of a caller that has no final answer.
#[derive(Clone, Debug)]
pub(crate) struct Open {
    pub(crate) ticket: Ticket,
    pub(crate) session: usize,
    pub(crate) write: Option<u64>,
    pub(crate) begun: Begun,
    pub(crate) target: Option<Target>,
    pub(crate) point: Point,
}

/// A statement on its way to an instance.
#[derive(Clone, Debug)]
pub(crate) struct Exec {
    pub(crate) who: Who,
    pub(crate) ticket: Ticket,
    pub(crate) instance: usize,
    pub(crate) write: Option<u64>,
}

/// Its result on the way back.
#[derive(Clone, Debug)]
pub(crate) struct Executed {
    pub(crate) exec: Exec,
    pub(crate) point: Option<Point>,
    pub(crate) shown: Vec<u64>,
}

/// A session with its token.
#[derive(Clone, Debug, Default)]
pub(crate) struct Session {
    pub(crate) token: Point,
    pub(crate) writes: Vec<u64>,
}

/// Counts of final answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Told {
    pub(crate) acked: usize,
    pub(crate) refused: usize,
    pub(crate) unknown: usize,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Callers {
    pub(crate) sessions: Vec<Session>,
    pub(crate) open: Vec<Open>,
    pub(crate) told: Told,
    next: u64,
}

impl World {
    fn ticket(&mut self) -> Ticket {
        self.oracle.callers.next += 1;
        Ticket(self.oracle.callers.next)
    }

    pub(crate) fn session(&mut self, at: usize) -> &mut Session {
        let sessions = &mut self.oracle.callers.sessions;
        if sessions.len() <= at {
            sessions.resize(at + 1, Session::default());
        }
        &mut sessions[at]
    }

    /// Sends a write of the session through a proxy; its number names it.
    pub(crate) fn write(&mut self, proxy: usize, session: usize) -> u64 {
        let ticket = self.ticket();
        let token = self.session(session).token;
        let open = Open {
            ticket,
            session,
            write: Some(ticket.0),
            begun: self.oracle.begin(),
            target: None,
            point: Point::default(),
        };
        self.oracle.callers.open.push(open);
        let deadline = self.now + PATIENCE;
        let point = Some(token);
        self.event(
            proxy,
            Event::RouteWrite {
                ticket,
                point,
                deadline,
            },
        );
        ticket.0
    }

    /// Sends a read of the session through a proxy.
    pub(crate) fn read(&mut self, proxy: usize, session: usize, marks: Marks) {
        let ticket = self.ticket();
        let Session { token, writes } = self.session(session).clone();
        let mut begun = self.oracle.begin();
        begun.shows = match marks {
            Marks::Token => writes,
            Marks::Nothing => self.oracle.acked_until(self.now.as_micros()),
            Marks::Age(ms) => {
                let at = self.now.as_micros().saturating_sub(ms * 1_000);
                let mut shows = self.oracle.acked_until(at);
                shows.extend(writes);
                shows
            }
        };
        self.oracle.callers.open.push(Open {
            ticket,
            session,
            write: None,
            begun,
            target: None,
            point: token,
        });
        let need = ReadNeed {
            point: (marks != Marks::Nothing).then_some(token),
            max_age: match marks {
                Marks::Age(ms) => Some(Span::from_millis(ms)),
                Marks::Token | Marks::Nothing => None,
            },
        };
        let deadline = self.now + PATIENCE;
        self.event(
            proxy,
            Event::RouteRead {
                ticket,
                need,
                deadline,
            },
        );
    }

    fn find(&mut self, ticket: Ticket) -> Option<&mut Open> {
        let mut open = self.oracle.callers.open.iter_mut();
        open.find(|o| o.ticket == ticket)
    }

    fn close(&mut self, ticket: Ticket) -> Option<Open> {
        let open = &mut self.oracle.callers.open;
        let at = open.iter().position(|o| o.ticket == ticket)?;
        Some(open.swap_remove(at))
    }

    pub(crate) fn routed(&mut self, who: Who, ticket: Ticket, result: Result<Target, RouteError>) {
        let target = match result {
            Ok(target) => target,
            Err(refusal) => {
                self.oracle.callers.told.refused += 1;
                if let RouteError::Forked { point } = refusal {
                    self.oracle.violations.push(Violation::Forked(point));
                }
                self.close(ticket);
                return;
            }
        };
        let Some(open) = self.find(ticket) else {
            return;
        };
        open.target = Some(target.clone());
        let write = open.write;
        let instance = target.instance.as_str()[1..].parse().unwrap();
        let exec = Exec {
            who,
            ticket,
            instance,
            write,
        };
        let home = self.proxies[who.0].site;
        self.send_once(home, instance, Message::Exec(exec));
    }

    /// Statements travel on a connection: they may be lost, but not doubled.
    fn send_once(&mut self, from: usize, to: usize, message: Message) {
        let loss = std::mem::take(&mut self.loss);
        self.send(from, to, message);
        self.loss = loss;
    }

    pub(crate) fn execute(&mut self, exec: Exec) {
        let instance = &mut self.instances[exec.instance];
        if !instance.up {
            return;
        }
        let point = exec.write.and_then(|w| instance.write(w));
        let visible = &instance.log[..instance.applied];
        let shown = visible.iter().map(|(_, w)| *w).collect();
        let (from, to) = (exec.instance, self.proxies[exec.who.0].site);
        let done = Executed { exec, point, shown };
        self.send_once(from, to, Message::Executed(done));
    }

    pub(crate) fn executed(&mut self, done: Executed) {
        let Executed { exec, point, shown } = done;
        let (ticket, at) = (exec.ticket, exec.who.0);
        if self.proxies[at].start != exec.who.1 {
            return;
        }
        let Some(open) = self.find(ticket).cloned() else {
            return;
        };
        let target = open.target.clone().unwrap();
        match (open.write, point) {
            (None, _) => {
                self.oracle.read(&shown, &open.begun);
                let replica = target.role == Role::Replica;
                self.oracle.replica_reads += usize::from(replica);
                self.close(ticket);
            }
            (Some(_), Some(point)) if point.term == target.term => {
                self.find(ticket).unwrap().point = point;
                let deadline = self.now + PATIENCE;
                let event = Event::Confirm {
                    ticket,
                    point,
                    deadline,
                };
                self.event(at, event);
            }
            (Some(_), _) => {
                self.close(ticket);
            }
        }
        let instance = target.instance;
        let took = Span::from_millis(1);
        self.event(at, Event::Finished { instance, took });
    }

    pub(crate) fn confirmed(&mut self, _who: Who, ticket: Ticket, result: Result<(), Unconfirmed>) {
        let Some(open) = self.close(ticket) else {
            return;
        };
        let (Ok(()), Some(write)) = (result, open.write) else {
            self.oracle.callers.told.unknown += 1;
            return;
        };
        self.oracle.callers.told.acked += 1;
        let target = open.target.unwrap();
        let by = target.instance.as_str()[1..].parse().unwrap();
        let at: Time = self.now;
        self.oracle
            .ack(write, open.point, by, &open.begun, at.as_micros());
        let session = self.session(open.session);
        session.token = session.token.max(open.point);
        session.writes.push(write);
    }
}
