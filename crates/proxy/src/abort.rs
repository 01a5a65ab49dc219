//! The end of the time for shutting down.

use std::cell::RefCell;

/// A moment for which tasks wait.
pub(crate) struct Abort {
    /// Dropped at the moment.
    tx: RefCell<Option<flume::Sender<()>>>,
    rx: flume::Receiver<()>,
}

impl Default for Abort {
    fn default() -> Self {
        let (tx, rx) = flume::bounded(1);
        let tx = RefCell::new(Some(tx));
        Self { tx, rx }
    }
}

impl Abort {
    /// Begins to abort requests.
    pub(crate) fn begin(&self) {
        self.tx.take();
    }

    /// Whether requests are being aborted.
    pub(crate) fn has_begun(&self) -> bool {
        self.rx.is_disconnected()
    }

    /// Completes once requests are being aborted.
    pub(crate) async fn begun(&self) {
        // Nothing is ever sent: `recv` returns an error once the sender is dropped.
        let _ = self.rx.recv_async().await;
    }
}
