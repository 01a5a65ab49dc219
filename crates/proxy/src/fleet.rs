//! The fleet configuration in force.

use std::sync::Arc;

use model::config::Fleet;
use model::position::Revision;

/// A configuration with its revision.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Revision under which it was accepted.
    pub revision: Revision,
    /// The configuration.
    pub fleet: Fleet,
}

/// Gives out the configuration in force.
#[derive(Clone, Debug)]
pub struct Handle {
    current: Arc<Snapshot>,
}

impl Handle {
    /// A configuration that never changes.
    pub fn fixed(fleet: Fleet) -> Self {
        let revision = Revision::default();
        Self {
            current: Arc::new(Snapshot { revision, fleet }),
        }
    }

    /// The configuration in force.
    pub fn current(&self) -> Arc<Snapshot> {
        self.current.clone()
    }
}
