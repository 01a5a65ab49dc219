//! The permit of one operation, from its reservation until the operation has run.
//!
//! An operation gets its permit before a connection is requested for it: what is rejected costs
//! no connection. It gives the permit back when the connection takes long, and needs one again
//! when it has the connection.
//!
//! - Load: instances are saturated, and operations wait for connections longer than permits are
//!   valid.
//! - Harm: permits expire in the queue, while other operations of the customer are rejected.

use model::unit::{Span, Time};

use super::holder::Permit;

/// Longest time for which a permit is kept for an operation that waits for its connection. What
/// is left of its validity suffices for another operation.
const MAX_HOLD: Span = Span::from_millis(200);

/// The permit of one operation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reservation(Stage);

#[derive(Clone, Copy, Debug, Default)]
enum Stage {
    /// The operation has no permit.
    #[default]
    None,
    /// The permit has been kept since this time.
    Held(Permit, Time),
    /// The operation was sent. It may be sent again with the same permit if it did not run.
    Sent(Permit),
}

impl Reservation {
    /// Keeps a permit for the operation.
    pub fn hold(&mut self, permit: Permit, now: Time) {
        self.0 = Stage::Held(permit, now);
    }

    /// Whether the operation could be sent now.
    pub fn is_held(&self, now: Time) -> bool {
        matches!(self.0, Stage::Held(permit, _) if permit.is_valid(now))
    }

    /// When the permit is to be given back, if the operation has no connection by then.
    pub fn release_at(&self) -> Option<Time> {
        match self.0 {
            Stage::Held(_, since) => Some(since + MAX_HOLD),
            Stage::None | Stage::Sent(_) => None,
        }
    }

    /// The permit, if the operation was not sent with it; it is no longer kept.
    pub fn release(&mut self) -> Option<Permit> {
        let Stage::Held(permit, _) = self.0 else {
            return None;
        };
        self.0 = Stage::None;
        Some(permit)
    }

    /// Whether the operation may be sent now, with the permit that was kept for it.
    pub fn send(&mut self, now: Time) -> bool {
        match self.0 {
            Stage::Held(permit, _) if permit.is_valid(now) => {
                self.0 = Stage::Sent(permit);
                true
            }
            Stage::Held(..) | Stage::None | Stage::Sent(_) => false,
        }
    }

    /// Records that the operation was sent and certainly did not run.
    pub fn did_not_run(&mut self, now: Time) {
        if let Stage::Sent(permit) = self.0 {
            self.0 = Stage::Held(permit, now);
        }
    }
}
