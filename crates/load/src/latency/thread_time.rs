//! Processor time of a thread, asked of a task that runs on it.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Asks a thread for its processor time.
#[derive(Clone)]
pub(super) struct Clock(flume::Sender<flume::Sender<Duration>>);

impl Clock {
    /// Starts the task that answers, on the current thread's runtime.
    pub(super) fn start() -> Self {
        let (tx, rx) = flume::unbounded::<flume::Sender<Duration>>();
        compio::runtime::spawn(async move {
            while let Ok(asker) = rx.recv_async().await {
                let _ = asker.send(now());
            }
        })
        .detach();
        Self(tx)
    }

    /// Processor time of the thread so far.
    pub(super) async fn read(&self) -> Duration {
        let (tx, rx) = flume::bounded(1);
        let _ = self.0.send(tx);
        rx.recv_async().await.unwrap_or_default()
    }
}

fn now() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
