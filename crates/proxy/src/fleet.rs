//! The fleet configuration in force.

use std::sync::{Arc, Mutex, PoisonError};

use model::config::Fleet;
use model::position::Revision;
pub use policy::config_mirror::Snapshot;

/// Gives out the configuration in force; readable from any thread.
#[derive(Clone, Debug, Default)]
pub struct Handle {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    current: Arc<Snapshot>,
    /// Whether any configuration was adopted.
    known: bool,
    subscribers: Vec<flume::Sender<Arc<Snapshot>>>,
}

impl Handle {
    /// A configuration that is in force until a store or a peer has another one.
    pub fn fixed(fleet: Fleet) -> Self {
        let handle = Self::default();
        handle.set(Snapshot {
            revision: Revision::default(),
            fleet: Arc::new(fleet),
        });
        handle
    }

    /// The configuration in force; an empty one before the first is known.
    pub fn current(&self) -> Arc<Snapshot> {
        self.lock().current.clone()
    }

    /// Whether a configuration is known.
    pub fn is_known(&self) -> bool {
        self.lock().known
    }

    /// Every later configuration; the one in force comes first, if there is one.
    pub fn changed(&self) -> flume::Receiver<Arc<Snapshot>> {
        let (tx, rx) = flume::unbounded();
        let mut shared = self.lock();
        if shared.known {
            let _ = tx.send(shared.current.clone());
        }
        shared.subscribers.push(tx);
        rx
    }

    pub(crate) fn set(&self, snapshot: Snapshot) {
        let mut shared = self.lock();
        let snapshot = Arc::new(snapshot);
        shared.current = snapshot.clone();
        shared.known = true;
        shared
            .subscribers
            .retain(|tx| tx.send(snapshot.clone()).is_ok());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
