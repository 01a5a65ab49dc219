//! Waiting for a backend server: deadline, silence, cancelling, and a caller that leaves.

use std::pin::pin;
use std::time::{Duration, Instant};

use futures_util::future::{self, Either};
use model::position::Term;
use policy::route::{Failure, Target};
use policy::status::Role;

use super::link::Link;
use crate::backend::{self, Conn, ConnectError, Login};
use crate::group;
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
    /// The primary was replaced while it stayed silent.
    Replaced,
    /// The deadline passed.
    Deadline,
    /// The answer is larger than what may be held back.
    TooLarge,
}

/// The primary that a request is meant for, and how to learn that it is replaced.
pub(super) struct Reign {
    routes: group::Handle,
    /// Its term; `None` for a replica, which a change of primary does not concern.
    term: Option<Term>,
}

impl Reign {
    pub(super) fn new(routes: &group::Handle, target: &Target) -> Self {
        Self {
            routes: routes.clone(),
            term: (target.role == Role::Primary).then_some(target.term),
        }
    }

    /// Completes once the primary is replaced, never for a replica.
    async fn end(&self) {
        match self.term {
            Some(term) => self.routes.replaced(term).await,
            None => future::pending().await,
        }
    }

    /// Runs `f` unless the primary is replaced before it completes.
    pub(super) async fn during<T>(&self, f: impl Future<Output = T>) -> Option<T> {
        let end = async {
            // Most waits are over by then and cost no message.
            compio::time::sleep(TICK).await;
            self.end().await;
        };
        match future::select(pin!(f), pin!(end)).await {
            Either::Left((value, _)) => Some(value),
            Either::Right(_) => None,
        }
    }
}

/// What interrupts a wait for bytes.
enum Event {
    Control(Option<Control>),
    Replaced,
    Tick,
}

/// What became of a fresh connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    /// It is open.
    Answers,
    /// The server is there but has no place for it.
    Refuses,
    /// It could not be opened.
    Silent,
}

/// What one wait depends on.
pub(super) struct Watch {
    pub(super) deadline: Instant,
    /// Time without a byte after which the connection is suspected.
    pub(super) patience: Duration,
    pub(super) login: Login,
    pub(super) reign: Reign,
}

impl Watch {
    pub(super) fn new(deadline: Instant, patience: Duration, login: Login, reign: Reign) -> Self {
        Self {
            deadline,
            patience,
            login,
            reign,
        }
    }

    /// Waits for more bytes from the server. A request that `may_move` is idempotent
    /// and was not answered in part, so that another server may run it.
    pub(super) async fn fill(
        &mut self,
        conn: &mut Conn,
        link: &mut Link,
        may_move: bool,
    ) -> Result<(), Stop> {
        let (path, key) = (conn.path(), conn.key());
        let mut quiet_since = Instant::now();
        let mut condemned = false;
        let mut ticked = false;
        let mut read = pin!(conn.fill());
        loop {
            let pause = if condemned { LAST_CHANCE } else { TICK };
            let event = {
                let event = pin!(self.event(link, ticked, pause));
                match future::select(read.as_mut(), event).await {
                    Either::Left((Ok(()), _)) => return Ok(()),
                    Either::Left((Err(_), _)) => return Err(Stop::Server(Failure::Broken)),
                    Either::Right((event, _)) => event,
                }
            };
            match event {
                Event::Control(Some(Control::Cancel)) => {
                    compio::runtime::spawn(backend::cancel(path.clone(), key)).detach();
                    continue;
                }
                Event::Control(Some(Control::Drain)) => {
                    link.draining = true;
                    continue;
                }
                // The registry is gone, and with it the process's runtime.
                Event::Control(None) => return Err(Stop::Caller),
                Event::Replaced => return Err(Stop::Replaced),
                Event::Tick => ticked = true,
            }
            if condemned {
                return Err(Stop::Server(Failure::Timeout));
            }
            if Instant::now() >= self.deadline {
                compio::runtime::spawn(backend::cancel(path.clone(), key)).detach();
                return Err(Stop::Deadline);
            }
            if has_left(link).await {
                compio::runtime::spawn(backend::cancel(path.clone(), key)).detach();
                return Err(Stop::Caller);
            }
            if quiet_since.elapsed() >= self.patience {
                match self.probe(path.clone()).await {
                    Probe::Answers => condemned = true,
                    // The server is gone or cut off. A write has to wait for what
                    // becomes of its primary; a read is better off elsewhere.
                    Probe::Silent if may_move => return Err(Stop::Server(Failure::Timeout)),
                    Probe::Silent | Probe::Refuses => {}
                }
                quiet_since = Instant::now();
            }
        }
    }

    async fn event(&self, link: &Link, ticked: bool, pause: Duration) -> Event {
        let tick = pin!(compio::time::sleep(pause));
        let control = link.control.recv_async();
        let replaced = pin!(async {
            // Most answers come before the first tick and cost no message.
            match ticked {
                true => self.reign.end().await,
                false => future::pending().await,
            }
        });
        match future::select(future::select(control, replaced), tick).await {
            Either::Left((Either::Left((control, _)), _)) => Event::Control(control.ok()),
            Either::Left((Either::Right(_), _)) => Event::Replaced,
            Either::Right(_) => Event::Tick,
        }
    }

    /// Asks the server by a fresh connection.
    ///
    /// Failure: something between the two ends has lost track of a connection. It
    /// shows as silence while new connections work. A server that is only busy or
    /// frozen answers a new connection late or not at all, and is waited for.
    async fn probe(&self, path: backend::Path) -> Probe {
        let remote = path.remote;
        let fresh = backend::connect(path, &self.login, self.patience).await;
        let probe = match fresh {
            Ok(_) => Probe::Answers,
            Err(ConnectError::Timeout(_) | ConnectError::Wire(_)) => Probe::Silent,
            Err(_) => Probe::Refuses,
        };
        tracing::warn!(server = %remote, ?probe, "silent connection probed");
        probe
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
