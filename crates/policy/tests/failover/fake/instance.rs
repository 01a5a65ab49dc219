//! A backend server with a log that carries out replication commands.

use model::position::{History, Point, Position, Term};
use model::unit::Time;
use policy::message::Command;
use policy::route::Failure;
use policy::status::{Role, Status};

/// One record: the term that wrote it and the write's number.
pub(crate) type Record = (Term, u64);

#[derive(Clone, Debug)]
pub(crate) struct Instance {
    pub(crate) up: bool,
    pub(crate) frozen: bool,
    pub(crate) role: Role,
    pub(crate) term: Term,
    pub(crate) fenced: Term,
    pub(crate) history: History,
    pub(crate) log: Vec<Record>,
    pub(crate) applied: usize,
    pub(crate) follows: Option<usize>,
    pub(crate) last_contact: Time,
}

impl Instance {
    pub(crate) fn new(at: usize) -> Self {
        let primary = at == 0;
        Self {
            up: true,
            frozen: false,
            role: if primary {
                Role::Primary
            } else {
                Role::Replica
            },
            term: Term(1),
            fenced: Term(1),
            history: History::new(vec![Point::new(1, 0)]).unwrap(),
            log: Vec::new(),
            applied: 0,
            follows: (!primary).then_some(0),
            last_contact: Time::default(),
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        self.up && !self.frozen
    }

    pub(crate) fn end(&self) -> Position {
        Position(self.log.len() as u64)
    }

    pub(crate) fn status(&self, now: Time) -> Status {
        let primary = self.role == Role::Primary;
        Status {
            role: self.role,
            fenced: self.fenced,
            history: self.history.clone(),
            received: self.end(),
            applied: Position(self.applied as u64),
            contact_age: if primary {
                Default::default()
            } else {
                now.since(self.last_contact)
            },
        }
    }

    /// Carries out a command. A wait returns at once, which the protocol allows.
    pub(crate) fn handle(&mut self, now: Time, command: &Command) -> Result<Status, Failure> {
        match command {
            Command::Status | Command::Wait { .. } => {}
            Command::Fence(term) => self.fenced = self.fenced.max(*term),
            Command::Promote(term) if *term == self.fenced => {
                self.role = Role::Primary;
                self.follows = None;
                self.term = *term;
                self.history.begin(*term, self.end());
                self.applied = self.log.len();
            }
            Command::Follow { term, primary } if *term >= self.fenced => {
                self.fenced = *term;
                self.term = *term;
                self.role = Role::Replica;
                self.follows = primary.as_str()[1..].parse().ok();
                self.last_contact = now;
            }
            Command::Promote(_) | Command::Follow { .. } => return Err(Failure::Protocol),
        }
        Ok(self.status(now))
    }

    /// Commits a write, if the instance is a primary without a later promise.
    pub(crate) fn write(&mut self, write: u64) -> Option<Point> {
        if self.role != Role::Primary || self.fenced > self.term {
            return None;
        }
        self.log.push((self.term, write));
        self.applied = self.log.len();
        Some(Point {
            term: self.term,
            position: self.end(),
        })
    }

    /// Copies up to `limit` records from its primary, and drops those that the primary lacks.
    pub(crate) fn replicate_from(&mut self, now: Time, primary: &Self, limit: usize) {
        if primary.role != Role::Primary || primary.term != self.term {
            return;
        }
        self.last_contact = now;
        if self.fenced > primary.term {
            return;
        }
        let pairs = self.log.iter().zip(&primary.log);
        let shared = pairs.take_while(|(a, b)| a == b).count();
        self.log.truncate(shared);
        self.applied = self.applied.min(shared);
        let more = primary.log[shared..].iter().take(limit);
        self.log.extend(more);
        let end = self.end();
        let starts = primary.history.starts().iter();
        let reached = starts.filter(|s| s.position <= end).copied().collect();
        self.history = History::new(reached).unwrap();
    }

    pub(crate) fn apply(&mut self, limit: usize) {
        self.applied = self.log.len().min(self.applied + limit);
    }
}
