//! The log of one instance and how replication changes it; free of input and output.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::id::InstanceId;
use model::position::{History, Point, Position, Term};

use super::database::{Database, Shape};
use super::record::{Record, Statement};
use super::replicate::{self, Message, Role};
use super::sql;

/// What a primary knows of a replica that pulls from it.
pub(super) struct Follower {
    pub(super) address: SocketAddr,
    pub(super) sent: Position,
    pub(super) pulled: Position,
}

/// Everything of an instance that replication changes.
pub(super) struct State {
    pub(super) role: Role,
    pub(super) term: Term,
    pub(super) fenced: Term,
    pub(super) history: History,
    pub(super) log: Vec<Record>,
    pub(super) applied: usize,
    pub(super) due: Vec<Instant>,
    pub(super) heard: Instant,
    pub(super) followers: IndexMap<InstanceId, Follower>,
    pub(super) waiters: Vec<(Position, flume::Sender<()>)>,
    pub(super) db: Database,
    pub(super) scratch: Database,
    pub(super) scratch_applied: usize,
    /// Counts rebuilds; a transaction of an older one cannot commit.
    pub(super) generation: u64,
    pub(super) shapes: IndexMap<String, Shape>,
    pub(super) lost: Vec<Record>,
    pub(super) executed: IndexMap<String, u64>,
}

fn changes_schema(statements: &[Statement]) -> bool {
    statements
        .iter()
        .any(|s| matches!(sql::verb(&s.text).as_str(), "CREATE" | "DROP" | "ALTER"))
}

impl State {
    /// An empty log in term 1.
    pub(super) fn new(role: Role) -> Self {
        Self {
            role,
            term: Term(1),
            fenced: Term(1),
            history: History::new(vec![Point::new(1, 0)]).unwrap_or_default(),
            log: Vec::new(),
            applied: 0,
            due: Vec::new(),
            heard: Instant::now(),
            followers: IndexMap::new(),
            waiters: Vec::new(),
            db: Database::new(),
            scratch: Database::new(),
            scratch_applied: 0,
            generation: 0,
            shapes: IndexMap::new(),
            lost: Vec::new(),
            executed: IndexMap::new(),
        }
    }

    pub(super) fn received(&self) -> Position {
        Position(self.log.len() as u64)
    }

    pub(super) fn count(&mut self, text: &str) {
        *self.executed.entry(text.to_owned()).or_default() += 1;
    }

    pub(super) fn append(&mut self, statements: Vec<Statement>) {
        if changes_schema(&statements) {
            self.shapes.clear();
        }
        self.log.push(Record {
            term: self.term,
            statements,
        });
        self.due.push(Instant::now());
        self.applied = self.log.len();
        self.wake();
    }

    pub(super) fn wake(&mut self) {
        let end = self.received();
        self.waiters.retain(|(position, tx)| {
            let waits = *position > end;
            if !waits {
                // A waiter that has timed out no longer listens.
                let _ = tx.try_send(());
            }
            waits
        });
    }

    /// Applies received records that are due at `now`, or all of them.
    pub(super) fn apply_until(&mut self, now: Option<Instant>) {
        while self.applied < self.log.len() && now.is_none_or(|now| self.due[self.applied] <= now) {
            let record = &self.log[self.applied];
            self.db.replay(record);
            if changes_schema(&record.statements) {
                self.shapes.clear();
            }
            self.applied += 1;
        }
    }

    /// Answers a replica's pull.
    pub(super) fn pulled(
        &mut self,
        from: InstanceId,
        address: SocketAddr,
        term: Term,
        history: &History,
        received: Position,
    ) -> Option<Message> {
        if self.role != Role::Primary || term != self.term {
            return None;
        }
        let end = self.received();
        let after = replicate::common(&self.history, end, history, received);
        let known = self.followers.get(&from);
        let stuck = known.is_none_or(|f| f.pulled == received && f.sent > received);
        let sent = known.map_or(after, |f| f.sent);
        let after = if stuck || after < received {
            after
        } else {
            sent.max(after)
        };
        let records = self.log[after.0 as usize..].to_vec();
        let follower = Follower {
            address,
            sent: end,
            pulled: received,
        };
        self.followers.insert(from, follower);
        let history = self.history.clone();
        Some(Message::Records {
            term,
            history,
            after,
            records,
        })
    }

    /// Takes a primary's records; false when they are refused.
    pub(super) fn take(
        &mut self,
        term: Term,
        history: &History,
        after: Position,
        records: Vec<Record>,
        lag: Duration,
    ) -> bool {
        if self.role == Role::Primary || term != self.term {
            return false;
        }
        self.heard = Instant::now();
        if term < self.fenced {
            return false;
        }
        let end = self.received();
        let agreed = replicate::common(&self.history, end, history, Position(u64::MAX));
        if agreed < end {
            self.truncate(agreed, history);
        }
        let end = self.received();
        if after > end {
            // A message before this one is still on its way or lost; the next pull tells.
            return false;
        }
        let due = Instant::now() + lag;
        for record in records.into_iter().skip((end.0 - after.0) as usize) {
            self.log.push(record);
            self.due.push(due);
        }
        self.history = replicate::reached(history, self.received());
        true
    }

    /// Drops a divergent tail and rebuilds the data without it.
    pub(super) fn truncate(&mut self, end: Position, history: &History) {
        let at = end.0 as usize;
        self.lost.extend(self.log.split_off(at));
        self.due.truncate(at);
        self.history = replicate::reached(history, end);
        if self.applied > at {
            self.db = Database::new();
            self.scratch = Database::new();
            self.scratch_applied = 0;
            self.generation += 1;
            self.applied = 0;
            while self.applied < at {
                self.db.replay(&self.log[self.applied]);
                self.applied += 1;
            }
            self.shapes.clear();
        }
        tracing::info!(end = %end, lost = self.lost.len(), "divergent tail dropped");
    }
}
