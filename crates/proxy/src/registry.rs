//! The task that knows every caller connection: for cancelling and for shutting down.

use indexmap::IndexMap;
use pg::startup::Key;

/// A message to a caller's task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Control {
    /// Cancel the request in flight.
    Cancel,
    /// End at the next transaction boundary.
    Drain,
}

/// Messages that wait for one caller's task; a cancel that finds them full repeats
/// one that is there already.
const CONTROLS: usize = 2;

enum Request {
    Enter(Key, flume::Sender<Control>),
    Leave(Key),
    Cancel(Key),
    Drain(flume::Sender<()>),
    Count(flume::Sender<u64>),
}

/// Sends requests to the registry.
#[derive(Clone)]
pub(crate) struct Handle(flume::Sender<Request>);

/// A caller's place in the registry; dropping it gives the place back.
pub(crate) struct Entry {
    handle: Handle,
    /// Under which the caller's request can be cancelled.
    pub(crate) key: Key,
    /// Messages for the caller's task.
    pub(crate) control: flume::Receiver<Control>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.handle.0.send(Request::Leave(self.key));
    }
}

/// Starts the registry on the current runtime.
pub(crate) fn spawn() -> Handle {
    let (tx, rx) = flume::unbounded();
    compio::runtime::spawn(run(rx)).detach();
    Handle(tx)
}

impl Handle {
    /// Enters a caller under its key.
    pub(crate) fn enter(&self, key: Key) -> Entry {
        let (tx, control) = flume::bounded(CONTROLS);
        let _ = self.0.send(Request::Enter(key, tx));
        Entry {
            handle: self.clone(),
            key,
            control,
        }
    }

    /// Cancels the request of the connection with this key, if there is one.
    pub(crate) fn cancel(&self, key: Key) {
        let _ = self.0.send(Request::Cancel(key));
    }

    /// How many callers are connected.
    pub(crate) async fn count(&self) -> u64 {
        let (tx, rx) = flume::bounded(1);
        let _ = self.0.send(Request::Count(tx));
        rx.recv_async().await.unwrap_or_default()
    }

    /// Asks every caller's task to end; completes when all have.
    pub(crate) async fn drain(&self) {
        let (tx, rx) = flume::bounded(1);
        let _ = self.0.send(Request::Drain(tx));
        let _ = rx.recv_async().await;
    }
}

async fn run(rx: flume::Receiver<Request>) {
    let mut callers: IndexMap<Key, flume::Sender<Control>> = IndexMap::new();
    let mut drained: Option<flume::Sender<()>> = None;
    while let Ok(req) = rx.recv_async().await {
        match req {
            Request::Enter(key, tx) => {
                if drained.is_some() {
                    let _ = tx.try_send(Control::Drain);
                }
                callers.insert(key, tx);
            }
            Request::Leave(key) => {
                callers.swap_remove(&key);
            }
            Request::Cancel(key) => {
                if let Some(tx) = callers.get(&key) {
                    let _ = tx.try_send(Control::Cancel);
                }
            }
            Request::Count(tx) => {
                let _ = tx.send(callers.len() as u64);
            }
            Request::Drain(tx) => {
                for caller in callers.values() {
                    let _ = caller.try_send(Control::Drain);
                }
                drained = Some(tx);
            }
        }
        if let Some(tx) = drained.as_ref().filter(|_| callers.is_empty()) {
            let _ = tx.try_send(());
        }
    }
}
