//! Waiting for a backend server: deadline, silence, cancelling, and a caller that leaves.

use std::pin::pin;
use std::time::{Duration, Instant};

use futures_util::future::{self, Either};
use policy::route::Failure;

use super::link::Link;
use crate::backend::{self, Conn, Login};
use crate::registry::Control;

/// Time between two looks at what a wait depends on. Most answers come sooner, so
/// that the looks cost them nothing.
const TICK: Duration = Duration::from_millis(100);

/// Time for a byte that was on its way when a fresh connection proved that the server
/// answers: without it, an answer that comes just now would be thrown away.
const LAST_CHANCE: Duration = Duration::from_millis(10);

/// Time for looking whether the caller is still there.
const LOOK: Duration = Duration::from_millis(1);

/// Why the wait for an answer ended without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stop {
    /// The caller's connection ended.
    Caller,
    /// The server's connection failed.
    Server(Failure),
    /// The deadline passed.
    Deadline,
    /// The answer is larger than what may be held back.
    TooLarge,
}

/// What one wait depends on.
pub(super) struct Watch {
    pub(super) deadline: Instant,
    /// Time without a byte after which the connection is suspected.
    pub(super) patience: Duration,
    pub(super) login: Login,
    /// Whether the server refused a fresh connection when it was last asked.
    failing: bool,
}

impl Watch {
    pub(super) fn new(deadline: Instant, patience: Duration, login: Login) -> Self {
        Self {
            deadline,
            patience,
            login,
            failing: false,
        }
    }

    /// Waits for more bytes from the server.
    pub(super) async fn fill(&mut self, conn: &mut Conn, link: &mut Link) -> Result<(), Stop> {
        let (path, key) = (conn.path(), conn.key());
        let mut quiet_since = Instant::now();
        let mut condemned = false;
        let mut read = pin!(conn.fill());
        loop {
            let pause = if condemned { LAST_CHANCE } else { TICK };
            let tick = pin!(compio::time::sleep(pause));
            let control = link.control.recv_async();
            match future::select(read.as_mut(), future::select(control, tick)).await {
                Either::Left((Ok(()), _)) => return Ok(()),
                Either::Left((Err(_), _)) => return Err(Stop::Server(Failure::Broken)),
                Either::Right((Either::Left((Ok(Control::Cancel), _)), _)) => {
                    compio::runtime::spawn(backend::cancel(path, key)).detach();
                    continue;
                }
                Either::Right((Either::Left((Ok(Control::Drain), _)), _)) => {
                    link.draining = true;
                    continue;
                }
                // The registry is gone, and with it the process's runtime.
                Either::Right((Either::Left((Err(_), _)), _)) => return Err(Stop::Caller),
                Either::Right((Either::Right(((), _)), _)) => {}
            }
            if condemned {
                return Err(Stop::Server(Failure::Silent));
            }
            if Instant::now() >= self.deadline {
                compio::runtime::spawn(backend::cancel(path, key)).detach();
                return Err(Stop::Deadline);
            }
            if has_left(link).await {
                compio::runtime::spawn(backend::cancel(path, key)).detach();
                return Err(Stop::Caller);
            }
            if quiet_since.elapsed() >= self.patience {
                condemned = self.probe(path).await;
                quiet_since = Instant::now();
            }
        }
    }

    /// Asks the server by a fresh connection; returns whether it answers.
    ///
    /// Failure: something between the two ends has lost track of a connection. It
    /// shows as silence while new connections work. A server that is only busy or
    /// frozen answers a new connection late or not at all, and is waited for.
    async fn probe(&mut self, path: backend::Path) -> bool {
        let fresh = backend::connect(path, &self.login, self.patience).await;
        let answers = fresh.is_ok();
        self.failing = !answers;
        tracing::warn!(server = %path.remote, answers, "silent connection probed");
        answers
    }
}

/// Whether the caller closed its connection while it waits. Without the look, a
/// statement nobody waits for would hold a slot of the server to its end.
async fn has_left(link: &Link) -> bool {
    let peek = link.wire.socket().peek(Vec::with_capacity(1));
    match compio::time::timeout(LOOK, peek).await {
        Ok(compio::BufResult(Ok(n), _)) => n == 0,
        Ok(compio::BufResult(Err(_), _)) => true,
        Err(_) => false,
    }
}
