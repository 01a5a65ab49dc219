//! The callers' statements that this process has read and not answered yet.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use model::statement::StatementId;
use model::unit::Time;

use crate::clock;

/// The statements in progress.
#[derive(Clone, Debug, Default)]
pub struct Running(Rc<RefCell<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    /// Ids and times of arrival; ids of two callers may be the same.
    statements: IndexMap<u64, (StatementId, Time)>,
    begun: u64,
}

/// Guard of a statement in progress; dropped once its whole reply was sent.
#[derive(Debug)]
pub struct Guard {
    running: Running,
    key: u64,
}

impl Running {
    /// Counts a statement until the result is dropped.
    pub fn begin(&self, id: &StatementId) -> Guard {
        let mut inner = self.0.borrow_mut();
        inner.begun += 1;
        let key = inner.begun;
        inner.statements.insert(key, (id.clone(), clock::now()));
        drop(inner);
        let running = self.clone();
        Guard { running, key }
    }

    /// Number of statements in progress.
    pub fn count(&self) -> usize {
        self.0.borrow().statements.len()
    }

    /// Logs each statement in progress, which gets no reply any more.
    pub fn log_cut(&self) {
        for (id, arrived) in self.0.borrow().statements.values() {
            let took_ms = clock::now().since(*arrived).as_millis();
            tracing::warn!(%id, took_ms, "a statement was cut off: the process ends");
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut inner = self.running.0.borrow_mut();
        inner.statements.swap_remove(&self.key);
    }
}
