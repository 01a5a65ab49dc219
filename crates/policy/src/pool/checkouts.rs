//! The connections of one instance that are lent, by when they were opened.

use model::unit::Time;

/// Connections on loan.
#[derive(Clone, Debug, Default)]
pub(super) struct Loans(Vec<Time>);

impl Loans {
    /// How many are lent.
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.0.len()).unwrap_or(u32::MAX)
    }

    /// When the oldest one was opened.
    pub(super) fn oldest_per_replica(&self) -> Option<Time> {
        self.0.iter().min().copied()
    }

    /// A connection that was opened at this time is lent.
    pub(super) fn begin(&mut self, opened: Time) {
        self.0.push(opened);
    }

    /// A loan ends. Without a connection that comes back, it is not known which one broke,
    /// and the oldest is taken for it: none that broke may pass for one that is open.
    pub(super) fn end(&mut self, opened: Option<Time>) {
        let at = self.0.iter().position(|lent| Some(*lent) == opened);
        let oldest = || (0..self.0.len()).min_by_key(|at| self.0[*at]);
        if let Some(at) = at.or_else(oldest) {
            self.0.swap_remove(at);
        }
    }

    /// The instance has started again: none of them is older than that.
    pub(super) fn renew(&mut self, now: Time) {
        self.0.fill(now);
    }
}
