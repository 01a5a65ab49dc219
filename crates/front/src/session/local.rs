//! Statements that the proxy handles by itself; their effect is sent to an instance before
//! the first statement that depends on them.

use std::rc::Rc;
use std::sync::Arc;

use model::statement::Shape;

use super::{Failure, Outcome, Session};

/// Most session values, and most prepared statements, of one session; bounds its memory.
const MAX_NAMES: usize = 256;

impl Session {
    pub(super) fn set(&mut self, name: Arc<str>, value: Arc<str>) -> Result<Outcome, Failure> {
        if self.values.len() >= MAX_NAMES && !self.values.contains_key(&name) {
            return Err(Failure::Malformed);
        }
        Rc::make_mut(&mut self.values).insert(name, value);
        Ok(Outcome::default())
    }

    pub(super) fn prepare(&mut self, name: Arc<str>, shape: Shape) -> Result<Outcome, Failure> {
        if self.prepared.len() >= MAX_NAMES && !self.prepared.contains_key(&name) {
            return Err(Failure::Malformed);
        }
        self.prepared.insert(name, shape);
        Ok(Outcome::default())
    }

    pub(super) fn deallocate(&mut self, name: &str) -> Result<Outcome, Failure> {
        match self.prepared.swap_remove(name) {
            Some(_) => Ok(Outcome::default()),
            None => self.not_prepared(),
        }
    }

    pub(super) fn not_prepared(&mut self) -> Result<Outcome, Failure> {
        self.tx.mark_failed();
        Err(Failure::NotPrepared)
    }
}
