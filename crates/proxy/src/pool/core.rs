//! Which connection goes to whom, apart from sockets and channels.

use std::collections::VecDeque;

use super::Usage;

/// Idle connections that stay open without being used. Load: bursts after quiet
/// times; harm: 10 to 30 ms for a new connection before the first statement. One
/// covers the first request while others are opened.
const WARM: usize = 1;

/// What to do next. `C` is a connection, `W` one that waits for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<C, W> {
    /// Open another connection.
    Open,
    /// Hand the connection over.
    Give(W, C),
    /// Tell the waiter that no connection can be opened.
    Fail(W),
    /// Close the connection.
    Close(C),
}

/// The state of one pool.
///
/// Invariants: `idle`, `opening` and those handed out make up `open`; a connection
/// is in `idle` or with one holder, never both; with anyone waiting, `idle` is empty.
#[derive(Debug)]
pub struct Core<C, W> {
    limit: usize,
    open: usize,
    opening: usize,
    idle: Vec<C>,
    waiting: VecDeque<W>,
    /// Fewest idle connections since the last trim.
    spare: usize,
}

impl<C, W> Core<C, W> {
    /// An empty pool.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: 0,
            opening: 0,
            idle: Vec::new(),
            waiting: VecDeque::new(),
            spare: 0,
        }
    }

    /// Connections that are open or being opened.
    pub fn open(&self) -> usize {
        self.open
    }

    /// How many connections there are and are needed.
    pub fn usage(&self) -> Usage {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Usage {
            open: count(self.open),
            busy: count(self.open - self.idle.len()),
            waiting: count(self.waiting.len().saturating_sub(self.opening)),
        }
    }

    /// Someone asks for a connection.
    pub fn acquire(&mut self, waiter: W) -> Vec<Action<C, W>> {
        // The connection used last has the warmest caches, and the others can age out.
        if let Some(conn) = self.idle.pop() {
            self.spare = self.spare.min(self.idle.len());
            return vec![Action::Give(waiter, conn)];
        }
        self.waiting.push_back(waiter);
        self.grow()
    }

    /// A connection was opened.
    pub fn opened(&mut self, conn: C) -> Vec<Action<C, W>> {
        self.opening -= 1;
        self.place(conn)
    }

    /// A connection could not be opened: everyone who waits for one hears so at
    /// once, because another server may serve them.
    pub fn failed(&mut self) -> Vec<Action<C, W>> {
        self.opening -= 1;
        self.open -= 1;
        if self.open > self.opening {
            // Others hold connections that will come back.
            return self
                .waiting
                .pop_front()
                .map(Action::Fail)
                .into_iter()
                .collect();
        }
        self.waiting.drain(..).map(Action::Fail).collect()
    }

    /// A clean connection came back.
    pub fn released(&mut self, conn: C) -> Vec<Action<C, W>> {
        self.place(conn)
    }

    /// A connection is gone: closed by its holder, or by this pool.
    pub fn gone(&mut self) -> Vec<Action<C, W>> {
        self.open -= 1;
        self.grow()
    }

    /// The limit changed.
    pub fn set_limit(&mut self, limit: usize) -> Vec<Action<C, W>> {
        self.limit = limit;
        let over = self.open.saturating_sub(limit).min(self.idle.len());
        let mut actions: Vec<_> = self.idle.drain(..over).map(Action::Close).collect();
        self.spare = self.spare.min(self.idle.len());
        actions.extend(self.grow());
        actions
    }

    /// Closes every idle connection.
    pub fn purge(&mut self) -> Vec<Action<C, W>> {
        self.spare = 0;
        self.idle.drain(..).map(Action::Close).collect()
    }

    /// Closes idle connections that nobody needed since the last call.
    pub fn trim(&mut self) -> Vec<Action<C, W>> {
        let over = self.spare.saturating_sub(WARM).min(self.idle.len());
        let actions = self.idle.drain(..over).map(Action::Close).collect();
        self.spare = self.idle.len();
        actions
    }

    fn place(&mut self, conn: C) -> Vec<Action<C, W>> {
        if self.open > self.limit {
            return vec![Action::Close(conn)];
        }
        if let Some(waiter) = self.waiting.pop_front() {
            return vec![Action::Give(waiter, conn)];
        }
        self.idle.push(conn);
        Vec::new()
    }

    /// Opens as many connections as there are waiters without one on its way.
    fn grow(&mut self) -> Vec<Action<C, W>> {
        let mut actions = Vec::new();
        while self.open < self.limit && self.opening < self.waiting.len() {
            self.open += 1;
            self.opening += 1;
            actions.push(Action::Open);
        }
        actions
    }
}
