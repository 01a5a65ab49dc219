//! The connections of one instance that are checked out, by when they were opened.

use model::unit::Time;

/// Opening times of the connections that are checked out.
#[derive(Clone, Debug, Default)]
pub(super) struct Checkouts(Vec<Time>);

impl Checkouts {
    /// How many are checked out.
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.0.len()).unwrap_or(u32::MAX)
    }

    /// When the oldest one was opened.
    pub(super) fn oldest(&self) -> Option<Time> {
        self.0.iter().min().copied()
    }

    /// Adds a connection that was opened at this time.
    pub(super) fn begin(&mut self, opened: Time) {
        self.0.push(opened);
    }

    /// Removes a connection that came back or broke. If it broke, it is not known which one it
    /// was; the oldest is removed, since a broken connection must not be taken for an open one.
    pub(super) fn end(&mut self, opened: Option<Time>) {
        let at = self.0.iter().position(|out| Some(*out) == opened);
        let oldest = || (0..self.0.len()).min_by_key(|at| self.0[*at]);
        if let Some(at) = at.or_else(oldest) {
            self.0.swap_remove(at);
        }
    }

    /// Handles a restart of the instance: no connection counts as opened before it.
    pub(super) fn reset_ages(&mut self, now: Time) {
        self.0.fill(now);
    }
}
