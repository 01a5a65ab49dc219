//! Permits handed out in order of arrival.

/// A fixed number of permits; waiters are served first come, first served.
#[derive(Clone)]
pub(crate) struct Permits {
    tx: flume::Sender<()>,
    rx: flume::Receiver<()>,
}

/// One permit, given back on drop.
pub(crate) struct Permit(flume::Sender<()>);

impl Permits {
    pub(crate) fn new(count: usize) -> Self {
        let (tx, rx) = flume::unbounded();
        for _ in 0..count {
            tx.send(()).expect("the receiver is held here");
        }
        Self { tx, rx }
    }

    pub(crate) async fn acquire(&self) -> Permit {
        self.rx.recv_async().await.expect("the sender is held here");
        Permit(self.tx.clone())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        // The receiver is gone only when the whole server is.
        let _ = self.0.send(());
    }
}
