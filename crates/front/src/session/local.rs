//! Statements that the proxy answers itself: they reach an instance together with the
//! first statement that depends on them.

use std::rc::Rc;
use std::sync::Arc;

use model::statement::Shape;

use super::{Done, Failure, Session};

/// Session values, and prepared statements, that one session may hold, which bounds its
/// memory.
const MAX_NAMES: usize = 256;

impl Session {
    pub(super) fn set(&mut self, name: Arc<str>, value: Arc<str>) -> Result<Done, Failure> {
        if self.values.len() >= MAX_NAMES && !self.values.contains_key(&name) {
            return Err(Failure::Malformed);
        }
        Rc::make_mut(&mut self.values).insert(name, value);
        Ok(Done::default())
    }

    pub(super) fn prepare(&mut self, name: Arc<str>, shape: Shape) -> Result<Done, Failure> {
        if self.prepared.len() >= MAX_NAMES && !self.prepared.contains_key(&name) {
            return Err(Failure::Malformed);
        }
        self.prepared.insert(name, shape);
        Ok(Done::default())
    }

    pub(super) fn forget(&mut self, name: &str) -> Result<Done, Failure> {
        match self.prepared.swap_remove(name) {
            Some(_) => Ok(Done::default()),
            None => self.not_prepared(),
        }
    }

    pub(super) fn not_prepared(&mut self) -> Result<Done, Failure> {
        self.tx.mark_failed();
        Err(Failure::NotPrepared)
    }
}
