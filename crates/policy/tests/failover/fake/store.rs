//! The platform's store, reduced to one record and its revision.

use model::position::Revision;
use policy::message::{StoreReply, StoreRequest, Versioned};
use rand::Rng as _;
use rand::rngs::SmallRng;

#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    pub(crate) held: Versioned,
    /// Whether requests are ignored: none takes effect, and none gets a reply.
    pub(crate) down: bool,
    /// Percentage of requests that take effect but whose reply is lost.
    pub(crate) lose_replies: u32,
    /// Terms of successful claims; each term may appear only once.
    pub(crate) claims: Vec<u64>,
}

impl Store {
    pub(crate) fn handle(
        &mut self,
        request: StoreRequest,
        rng: &mut SmallRng,
    ) -> Option<StoreReply> {
        if self.down {
            return None;
        }
        let reply = match request {
            StoreRequest::Swap { expected, record } if expected == self.held.revision => {
                if record.primary.is_none() {
                    self.claims.push(record.term.0);
                }
                let revision = Revision(self.held.revision.0 + 1);
                let record = Some(record);
                self.held = Versioned { revision, record };
                StoreReply::Swapped(revision)
            }
            StoreRequest::Read | StoreRequest::Swap { .. } => StoreReply::Found(self.held.clone()),
        };
        let lost = rng.random_range(0..100) < self.lose_replies;
        Some(if lost { StoreReply::Unknown } else { reply })
    }
}
