//! The task that owns the idle connections of one backend server.

use std::collections::VecDeque;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{self, Either};

use super::core::{Action, Core};
use super::{Conn, Lease, PoolError, Request, Setup, Waiter};
use crate::backend::{self, Path};

/// Longest time for opening a connection: many times the 30 ms that it takes, and
/// short against a request's deadline, so that there is time for another server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which idle connections that nobody needed are closed.
const TRIM: Duration = Duration::from_secs(30);

struct Task {
    setup: Rc<Setup>,
    core: Core<Box<Conn>, Waiter>,
    tx: flume::WeakSender<Request>,
}

/// Serves requests until every handle is gone.
pub(super) async fn run(
    setup: Setup,
    tx: flume::WeakSender<Request>,
    rx: flume::Receiver<Request>,
) {
    let limit = setup.limit as usize;
    let mut task = Task {
        setup: Rc::new(setup),
        core: Core::new(limit),
        tx,
    };
    let mut trim = pin!(compio::time::sleep(TRIM));
    loop {
        let actions = match future::select(rx.recv_async(), trim.as_mut()).await {
            Either::Left((Ok(req), _)) => task.handle(req),
            Either::Left((Err(_), _)) => return,
            Either::Right(((), _)) => {
                trim.set(compio::time::sleep(TRIM));
                task.core.trim()
            }
        };
        task.perform(actions);
    }
}

type Actions = Vec<Action<Box<Conn>, Waiter>>;

impl Task {
    fn handle(&mut self, req: Request) -> Actions {
        match req {
            Request::Acquire(waiter) => self.core.acquire(waiter),
            Request::Release(conn) => self.core.released(conn),
            Request::Opened(opened) => match *opened {
                Ok(conn) => {
                    let _lease = Lease(self.tx.clone());
                    self.core.opened(Box::new(Conn { conn, _lease }))
                }
                Err(e) => self.failed(e),
            },
            Request::Gone => self.core.gone(),
            Request::Limit(limit) => self.core.set_limit(limit as usize),
            Request::Usage(tx) => {
                let _ = tx.send(self.core.usage());
                Vec::new()
            }
            Request::Purge => self.core.purge(),
        }
    }

    fn failed(&mut self, e: backend::ConnectError) -> Actions {
        let instance = &self.setup.instance;
        tracing::warn!(%instance, address = %self.setup.address, error = %e, "connect failed");
        let e = Rc::new(e);
        let mut rest = Vec::new();
        for action in self.core.failed() {
            match action {
                Action::Fail(waiter) => {
                    let _ = waiter.send(Err(PoolError::Connect(e.clone())));
                }
                action => rest.push(action),
            }
        }
        rest
    }

    fn perform(&mut self, actions: Actions) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Open => self.open(),
                Action::Give(waiter, conn) => {
                    // A waiter whose deadline passed has left; its connection goes on.
                    if let Err(flume::SendError(Ok(conn))) = waiter.send(Ok(*conn)) {
                        queue.extend(self.core.released(Box::new(conn)));
                    }
                }
                Action::Fail(waiter) => {
                    let _ = waiter.send(Err(PoolError::Stopping));
                }
                Action::Close(conn) => drop(conn),
            }
        }
    }

    fn open(&self) {
        let (setup, tx) = (self.setup.clone(), self.tx.clone());
        let path = Path {
            local: setup.local,
            remote: setup.address,
            via: setup.via.clone(),
        };
        let opening = async move {
            let opened = backend::connect(path, &setup.login, CONNECT_TIMEOUT).await;
            if let Some(tx) = tx.upgrade() {
                let _ = tx.send(Request::Opened(Box::new(opened)));
            }
        };
        compio::runtime::spawn(opening).detach();
    }
}
