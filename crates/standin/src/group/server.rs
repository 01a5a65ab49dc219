//! One instance: its log, its part in replication and its databases.
//!
//! All of a fleet's instances run on one thread; the cells are borrowed only
//! between awaits.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::id::InstanceId;
use model::position::{History, Point, Position, Term};
use model::unit::Span;

use super::database::{Output, Shape};
use super::knobs::Knobs;
use super::record::{Record, Statement};
use super::replicate::{self, Role};
use super::slot::Permits;
use super::sql::SqlError;
use super::state::State;
use crate::link::Net;

/// Shapes of statements that an instance remembers.
const SHAPES: usize = 1_000;

/// How often a paused instance looks whether the pause is over.
const PAUSE_POLL: Duration = Duration::from_millis(2);

/// Every instance of a fleet by its address.
pub(crate) type Peers = Rc<RefCell<IndexMap<SocketAddr, Rc<Server>>>>;

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
    pub(super) state: RefCell<State>,
    pub(super) peers: Peers,
    connections: Cell<u64>,
    reads: Cell<u64>,
    /// Ports of the other ends of open connections, oldest first.
    pub(crate) ports: RefCell<IndexSet<u16>>,
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
        Rc::new(Self {
            id,
            address,
            home,
            net,
            slots: Permits::new(slots),
            writers: Permits::new(1),
            knobs: RefCell::new(knobs),
            cancels: RefCell::default(),
            state: RefCell::new(State::new(role)),
            peers,
            connections: Cell::new(1),
            reads: Cell::default(),
            ports: RefCell::default(),
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

    /// Waits while the instance is paused; a pause may be ended early.
    pub(crate) async fn running(&self) {
        let paused = || {
            self.knobs
                .borrow()
                .paused_until
                .is_some_and(|u| u > Instant::now())
        };
        while paused() {
            compio::time::sleep(PAUSE_POLL).await;
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
            let role = Role::Replica(address);
            // Following the same primary again is no sign of life from it.
            if state.role != role || state.term != term {
                state.heard = Instant::now();
            }
            state.fenced = term;
            state.term = term;
            state.role = role;
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
        self.reads.set(self.reads.get() + 1);
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

    /// The log, for checks.
    pub(crate) fn log(&self) -> Vec<Record> {
        self.state.borrow().log.clone()
    }

    /// Records that a promotion cut off this instance's log.
    pub(crate) fn lost(&self) -> Vec<Record> {
        self.state.borrow().lost.clone()
    }

    /// Reading statements run so far.
    pub(crate) fn reads(&self) -> u64 {
        self.reads.get()
    }

    /// Executions by statement text, committed or not.
    pub(crate) fn executed(&self) -> IndexMap<String, u64> {
        self.state.borrow().executed.clone()
    }
}

fn refused(fenced: Term) -> SqlError {
    SqlError::new("55000", format!("fenced at term {fenced}"))
}
