//! What operators ask of a process by signals.
//!
//! The handlers stay for the life of the process. With the default action back in place, a
//! signal that follows another one would end the process at once.

use std::{io, thread};

use futures_util::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator;

/// Signals that wait to be taken. Those of one kind that arrive while the queue is full count
/// as one.
const QUEUE: usize = 16;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// Complete what was begun, then exit: SIGTERM or SIGINT.
    Stop,
    /// The settings may have changed: SIGHUP.
    Reload,
}

/// The requests to this process, in the order of their arrival.
#[derive(Clone, Debug)]
pub struct Requests(flume::Receiver<Request>);

/// Handles SIGTERM, SIGINT and SIGHUP from now on, and for the life of the process.
///
/// # Errors
///
/// The handlers or the thread that waits for signals cannot be set up.
pub fn requests() -> io::Result<Requests> {
    let mut signals = iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (tx, requests) = channel();
    let waiting = move || {
        for signal in signals.forever() {
            let req = match signal {
                SIGHUP => Request::Reload,
                _ => Request::Stop,
            };
            // Once nobody takes requests, they have no meaning.
            let _ = tx.send(req);
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(waiting)?;
    Ok(requests)
}

/// Requests that do not come from signals, for a proxy inside of another process.
#[must_use]
pub fn channel() -> (flume::Sender<Request>, Requests) {
    let (tx, rx) = flume::bounded(QUEUE);
    (tx, Requests(rx))
}

impl Requests {
    /// Waits for the next request; never returns if none can come any more.
    pub async fn next(&self) -> Request {
        match self.0.recv_async().await {
            Ok(req) => req,
            Err(flume::RecvError::Disconnected) => future::pending().await,
        }
    }

    /// Waits for a request to stop. Requests to reload are logged and change nothing: processes
    /// keep the settings with which they started.
    pub async fn stop(&self) {
        while self.next().await != Request::Stop {
            log_reload();
        }
    }

    /// Logs the requests that come while the process stops.
    pub async fn log(self) {
        loop {
            match self.next().await {
                Request::Stop => {
                    tracing::info!("another request to stop: the process stops already");
                }
                Request::Reload => log_reload(),
            }
        }
    }
}

fn log_reload() {
    tracing::info!("reload requested: the settings stay in force");
}
