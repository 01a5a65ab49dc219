//! One instance: its log, its part in replication and its databases.
//!
//! All of a fleet's instances run on one thread; the cells are borrowed only
//! between awaits.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::id::InstanceId;
use model::position::{History, Point, Position, Term};
use model::unit::Span;

use super::database::{Database, Output, Shape};
use super::record::{Record, Statement};
use super::replicate::{self, Message, Role};
use super::slot::Permits;
use super::sql::{self, SqlError};
use crate::link::Net;
use crate::spec::Spec;

/// How often a replica asks its primary for records.
const PULL: Duration = Duration::from_millis(50);

/// Shapes of statements that an instance remembers.
const SHAPES: usize = 1_000;

/// Every instance of a fleet by its address.
pub(crate) type Peers = Rc<RefCell<IndexMap<SocketAddr, Rc<Server>>>>;

/// What a primary knows of a replica that pulls from it.
struct Follower {
    address: SocketAddr,
    sent: Position,
    pulled: Position,
}

/// Settings and faults that change while the instance runs.
pub(crate) struct Knobs {
    /// Time from receiving to applying a record.
    pub(crate) lag: Duration,
    /// Time that every statement takes besides its own work.
    pub(crate) service: Duration,
    /// Factor on `service`.
    pub(crate) slow: f64,
    pub(crate) paused_until: Option<Instant>,
    pub(crate) alive: bool,
    /// Connections with a smaller number are silent.
    pub(crate) silent_before: u64,
    /// Connections from these ports of their peer are silent.
    pub(crate) silent_ports: IndexSet<u16>,
    pub(crate) connect: Duration,
    pub(crate) limit: usize,
}

impl Knobs {
    pub(crate) fn new(spec: &Spec) -> Self {
        Self {
            lag: spec.lag.as_duration(),
            service: spec.service.as_duration(),
            slow: 1.0,
            paused_until: None,
            alive: true,
            silent_before: 0,
            silent_ports: IndexSet::new(),
            connect: spec.connect.as_duration(),
            limit: spec.connections,
        }
    }
}

struct State {
    role: Role,
    term: Term,
    fenced: Term,
    history: History,
    log: Vec<Record>,
    applied: usize,
    due: Vec<Instant>,
    heard: Instant,
    followers: IndexMap<InstanceId, Follower>,
    waiters: Vec<(Position, flume::Sender<()>)>,
    db: Database,
    scratch: Database,
    scratch_applied: usize,
    /// Counts rebuilds; a transaction of an older one cannot commit.
    generation: u64,
    shapes: IndexMap<String, Shape>,
    lost: Vec<Record>,
    executed: IndexMap<String, u64>,
}

/// One instance of a database group.
pub(crate) struct Server {
    pub(crate) id: InstanceId,
    pub(crate) address: SocketAddr,
    pub(crate) home: usize,
    pub(crate) net: Net,
    pub(crate) slots: Permits,
    pub(crate) writers: Permits,
    pub(crate) knobs: RefCell<Knobs>,
    pub(crate) cancels: RefCell<IndexMap<i32, flume::Sender<()>>>,
    state: RefCell<State>,
    peers: Peers,
    connections: std::cell::Cell<u64>,
}

/// The row that status functions answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Status {
    /// `primary` or `replica`.
    pub role: &'static str,
    /// Highest term promised.
    pub fenced: Term,
    /// Terms with their beginnings.
    pub history: History,
    /// End of the log.
    pub received: Position,
    /// End of the applied log.
    pub applied: Position,
    /// Time since the primary was heard.
    pub heard: Span,
}

impl Server {
    pub(crate) fn new(
        (id, address, home): (InstanceId, SocketAddr, usize),
        role: Role,
        knobs: Knobs,
        slots: usize,
        net: Net,
        peers: Peers,
    ) -> Rc<Self> {
        let history = History::new(vec![Point::new(1, 0)]).unwrap_or_default();
        let state = State {
            role,
            term: Term(1),
            fenced: Term(1),
            history,
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
        };
        Rc::new(Self {
            id,
            address,
            home,
            net,
            slots: Permits::new(slots),
            writers: Permits::new(1),
            knobs: RefCell::new(knobs),
            cancels: RefCell::default(),
            state: RefCell::new(state),
            peers,
            connections: std::cell::Cell::new(1),
        })
    }

    /// The number of a new connection.
    pub(crate) fn next_connection(&self) -> u64 {
        self.connections.replace(self.connections.get() + 1)
    }

    /// Cancels what the connection with this key runs.
    pub(crate) fn cancel(&self, key: i32) {
        if let Some(tx) = self.cancels.borrow().get(&key) {
            // A cancel that already waits serves for both.
            let _ = tx.try_send(());
        }
    }

    /// Waits while the instance is paused.
    pub(crate) async fn running(&self) {
        loop {
            let until = self.knobs.borrow().paused_until;
            match until {
                Some(until) if until > Instant::now() => compio::time::sleep_until(until).await,
                _ => return,
            }
        }
    }

    pub(crate) fn status(&self) -> Status {
        let state = self.state.borrow();
        let primary = state.role == Role::Primary;
        Status {
            role: if primary { "primary" } else { "replica" },
            fenced: state.fenced,
            history: state.history.clone(),
            received: state.received(),
            applied: Position(state.applied as u64),
            heard: if primary {
                Span::default()
            } else {
                state.heard.elapsed().into()
            },
        }
    }

    /// The end of the applied log under the term that wrote it.
    pub(crate) fn point(&self) -> Point {
        let state = self.state.borrow();
        let position = Position(state.applied as u64);
        let term = replicate::reached(&state.history, position).term();
        Point { term, position }
    }

    pub(crate) fn fence(&self, term: Term) {
        let mut state = self.state.borrow_mut();
        state.fenced = state.fenced.max(term);
    }

    pub(crate) fn promote(&self, term: Term) -> Result<(), SqlError> {
        let mut state = self.state.borrow_mut();
        if term != state.fenced {
            return Err(refused(state.fenced));
        }
        state.apply_until(None);
        let end = state.received();
        state.history.begin(term, end);
        state.role = Role::Primary;
        state.term = term;
        state.followers.clear();
        Ok(())
    }

    pub(crate) fn follow(self: &Rc<Self>, term: Term, address: SocketAddr) -> Result<(), SqlError> {
        {
            let mut state = self.state.borrow_mut();
            if term < state.fenced {
                return Err(refused(state.fenced));
            }
            state.fenced = term;
            state.term = term;
            state.role = Role::Replica(address);
            state.heard = Instant::now();
        }
        self.pull();
        Ok(())
    }

    /// Waits until the log reaches `position`, at most for `timeout`.
    pub(crate) async fn wait(&self, position: Position, timeout: Duration) {
        let rx = {
            let mut state = self.state.borrow_mut();
            if state.received() >= position {
                return;
            }
            let (tx, rx) = flume::bounded(1);
            state.waiters.retain(|(_, tx)| !tx.is_disconnected());
            state.waiters.push((position, tx));
            rx
        };
        // Both outcomes answer the same status row.
        let _ = compio::time::timeout(timeout, rx.recv_async()).await;
    }

    pub(crate) fn writable(&self) -> Result<(), SqlError> {
        let state = self.state.borrow();
        if state.role == Role::Primary && state.fenced <= state.term {
            Ok(())
        } else {
            Err(SqlError::read_only())
        }
    }

    pub(crate) fn shape(&self, text: &str, scratch: bool) -> Result<Shape, SqlError> {
        let mut state = self.state.borrow_mut();
        if let Some(shape) = state.shapes.get(text) {
            return Ok(shape.clone());
        }
        let db = if scratch { &state.scratch } else { &state.db };
        let shape = db.shape(text)?;
        if state.shapes.len() >= SHAPES {
            state.shapes.clear();
        }
        state.shapes.insert(text.to_owned(), shape.clone());
        Ok(shape)
    }

    /// Runs a read on the committed data, or inside the open write transaction.
    pub(crate) fn read(&self, statement: &Statement, scratch: bool) -> Result<Output, SqlError> {
        let state = self.state.borrow();
        let db = if scratch { &state.scratch } else { &state.db };
        db.run(&statement.text, &statement.values)
    }

    /// Runs and commits one statement; the caller holds the writers' permit.
    pub(crate) fn write(self: &Rc<Self>, statement: Statement) -> Result<Output, SqlError> {
        self.writable()?;
        let output = {
            let mut state = self.state.borrow_mut();
            state.count(&statement.text);
            let output = state.db.run(&statement.text, &statement.values)?;
            state.append(vec![statement]);
            output
        };
        self.push();
        Ok(output)
    }

    /// Opens the write transaction; the caller holds the writers' permit.
    pub(crate) fn begin(&self) -> u64 {
        let mut state = self.state.borrow_mut();
        let State {
            scratch,
            scratch_applied,
            log,
            applied,
            ..
        } = &mut *state;
        scratch.rollback();
        for record in &log[*scratch_applied..*applied] {
            scratch.replay(record);
        }
        *scratch_applied = *applied;
        scratch.begin();
        state.generation
    }

    pub(crate) fn write_in(&self, statement: &Statement) -> Result<Output, SqlError> {
        let mut state = self.state.borrow_mut();
        state.count(&statement.text);
        state.scratch.run(&statement.text, &statement.values)
    }

    pub(crate) fn rollback(&self) {
        let mut state = self.state.borrow_mut();
        state.scratch.rollback();
        state.shapes.clear();
    }

    /// Commits the write transaction opened in `generation`.
    pub(crate) fn commit(
        self: &Rc<Self>,
        generation: u64,
        statements: Vec<Statement>,
    ) -> Result<(), SqlError> {
        let refusal = self.writable().err();
        {
            let mut state = self.state.borrow_mut();
            if refusal.is_some() || state.generation != generation {
                state.scratch.rollback();
                return Err(refusal.unwrap_or_else(SqlError::read_only));
            }
            state.scratch.commit();
            if statements.is_empty() {
                return Ok(());
            }
            state.append(statements);
            let record = state.log.last().expect("just appended").clone();
            state.db.replay(&record);
            state.scratch_applied = state.applied;
        }
        self.push();
        Ok(())
    }

    /// Sends every replica the records that it has not been sent.
    fn push(self: &Rc<Self>) {
        let mut out = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let end = state.received();
            let (log, history, term) = (&state.log, state.history.clone(), state.term);
            let sent: Vec<_> = state
                .followers
                .values()
                .filter(|f| f.sent < end)
                .map(|f| (f.address, f.sent))
                .collect();
            for (address, after) in sent {
                let records = log[after.0 as usize..].to_vec();
                let history = history.clone();
                out.push((
                    address,
                    Message::Records {
                        term,
                        history,
                        after,
                        records,
                    },
                ));
            }
            for follower in state.followers.values_mut() {
                follower.sent = end;
            }
        }
        for (address, message) in out {
            self.send(address, message);
        }
    }

    /// Asks the primary for records, if this is a replica.
    fn pull(self: &Rc<Self>) {
        let state = self.state.borrow();
        let Role::Replica(primary) = state.role else {
            return;
        };
        let message = Message::Pull {
            from: self.id.clone(),
            address: self.address,
            term: state.term,
            history: state.history.clone(),
            received: state.received(),
        };
        drop(state);
        self.send(primary, message);
    }

    /// Pulls for as long as the fleet runs.
    pub(crate) async fn pull_forever(self: Rc<Self>) {
        loop {
            compio::time::sleep(PULL).await;
            self.running().await;
            if self.knobs.borrow().alive {
                self.pull();
            }
        }
    }

    fn send(self: &Rc<Self>, to: SocketAddr, message: Message) {
        let Some(peer) = self.peers.borrow().get(&to).cloned() else {
            return;
        };
        let (here, there) = (Some(self.home), Some(peer.home));
        let cut = || {
            self.net.isolated(&self.id)
                || self.net.isolated(&peer.id)
                || !self.net.open(here, there)
        };
        if cut() {
            return;
        }
        let due = self.net.arrival(here, there, message.size());
        compio::runtime::spawn(async move {
            if due > Instant::now() {
                compio::time::sleep_until(due).await;
            }
            peer.running().await;
            if peer.knobs.borrow().alive {
                peer.receive(message);
            }
        })
        .detach();
    }

    fn receive(self: &Rc<Self>, message: Message) {
        match message {
            Message::Pull {
                from,
                address,
                term,
                history,
                received,
            } => {
                let reply = self
                    .state
                    .borrow_mut()
                    .pulled(from, address, term, &history, received);
                if let Some(reply) = reply {
                    self.send(address, reply);
                }
            }
            Message::Records {
                term,
                history,
                after,
                records,
            } => {
                let lag = self.knobs.borrow().lag;
                let mut state = self.state.borrow_mut();
                if !state.take(term, &history, after, records, lag) {
                    return;
                }
                state.wake();
                if lag.is_zero() {
                    state.apply_until(None);
                    return;
                }
                drop(state);
                let server = Rc::clone(self);
                compio::runtime::spawn(async move {
                    compio::time::sleep(lag).await;
                    server.running().await;
                    let now = Instant::now();
                    server.state.borrow_mut().apply_until(Some(now));
                })
                .detach();
            }
        }
    }

    /// The log, for checks.
    pub(crate) fn log(&self) -> Vec<Record> {
        self.state.borrow().log.clone()
    }

    /// Records that a promotion cut off this instance's log.
    pub(crate) fn lost(&self) -> Vec<Record> {
        self.state.borrow().lost.clone()
    }

    /// Executions by statement text, committed or not.
    pub(crate) fn executed(&self) -> IndexMap<String, u64> {
        self.state.borrow().executed.clone()
    }
}

fn refused(fenced: Term) -> SqlError {
    SqlError::new("55000", format!("fenced at term {fenced}"))
}

fn changes_schema(statements: &[Statement]) -> bool {
    statements
        .iter()
        .any(|s| matches!(sql::verb(&s.text).as_str(), "CREATE" | "DROP" | "ALTER"))
}

impl State {
    fn received(&self) -> Position {
        Position(self.log.len() as u64)
    }

    fn count(&mut self, text: &str) {
        *self.executed.entry(text.to_owned()).or_default() += 1;
    }

    fn append(&mut self, statements: Vec<Statement>) {
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

    fn wake(&mut self) {
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
    fn apply_until(&mut self, now: Option<Instant>) {
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
    fn pulled(
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
    fn take(
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
    fn truncate(&mut self, end: Position, history: &History) {
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
