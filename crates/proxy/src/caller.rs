//! One caller connection: login, then requests until it ends.

mod answer;
mod attempt;
mod batch;
mod execute;
mod link;
mod local;
mod login;
mod observe;
mod prepared;
mod render;
mod reply;
mod request;
mod send;
mod session;
mod settle;
mod transaction;
mod watch;
mod within;

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpStream;
use futures_util::future::{self, Either};
use pg::frame::Frame;
use pg::report::{self, Report};
use pg::wire::{Stream, Wire};

use crate::cx::{Cx, GroupCx};
use crate::registry::Control;
use crate::trace::Span;
use batch::{Batch, Input};
use link::{Closed, Link};
use request::Mode;
use session::Session;
use transaction::Transaction;

/// Pause between a caller's last answer and the word that its connection ends.
///
/// Failure: a client library that finds both at once reports the second in place of
/// the first, so that a commit which was acknowledged looks like an error. The pause
/// lets the answer be taken up by itself.
const GOODBYE_PAUSE: Duration = Duration::from_millis(100);

/// A caller that is logged in.
struct Caller {
    cx: Rc<Cx>,
    group: Rc<GroupCx>,
    link: Link,
    session: Session,
    transaction: Transaction,
    /// Messages of a request that is not complete yet.
    batch: Batch,
    /// The span of the request that is being served.
    span: Span,
}

/// Serves one connection until it ends.
pub(crate) async fn serve(cx: Rc<Cx>, tcp: TcpStream) {
    let limit = cx.cfg.limits.login.as_duration();
    // Boxed, so that its memory is given back once the login is over.
    let login = Box::pin(login::login(cx.clone(), tcp));
    match compio::time::timeout(limit, login).await {
        Ok(Ok(caller)) => Box::new(caller).run().await,
        Ok(Err(e)) => tracing::info!(reason = %e, "login failed"),
        Err(_) => tracing::info!(reason = "timeout", "login failed"),
    }
}

/// Tells a caller that there is no place for it.
pub(crate) async fn turn_away(tcp: TcpStream) {
    let text = "too many connections to this proxy";
    let report = Report::fatal(report::TOO_MANY, text).retry_after(TURNED_AWAY);
    let mut wire = Wire::new(Stream::Plain(tcp));
    let _ = compio::time::timeout(TURNED_AWAY, wire.write(report.encode())).await;
}

/// When a caller that found no place may come back; also the longest time it takes
/// to tell it so, as it must not cost what it was refused.
const TURNED_AWAY: Duration = Duration::from_secs(1);

/// What an idle caller meets next.
enum Next {
    Input(Input),
    /// The process is shutting down.
    Drain,
    /// The transaction waited for its caller for too long.
    TooLong,
}

impl Caller {
    async fn run(mut self: Box<Self>) {
        if let Err(Closed) = self.serve_requests().await {
            tracing::debug!(caller = %self.session.caller, "caller left");
        }
    }

    async fn serve_requests(&mut self) -> Result<(), Closed> {
        loop {
            match self.next().await? {
                Next::Input(Input::Terminate) => return Ok(()),
                // Boxed, so that an idle caller does not hold the memory of a request.
                Next::Input(Input::Request(messages)) => {
                    self.request_until_abort(messages).await?;
                    if self.link.draining && self.transaction.is_none() {
                        compio::time::sleep(GOODBYE_PAUSE).await;
                        return self.say_goodbye().await;
                    }
                }
                Next::Drain => return self.say_goodbye().await,
                Next::TooLong => return self.end_transaction().await,
            }
        }
    }

    /// Runs a request. One that is still in progress when the process has to exit gets the error
    /// that is known to be true then, and its connection ends.
    async fn request_until_abort(&mut self, messages: Vec<Frame>) -> Result<(), Closed> {
        let Some(mode) = messages.last().map(Mode::of) else {
            return Ok(());
        };
        self.link.begin_request();
        let (cx, in_transaction) = (self.cx.clone(), self.transaction.is_open());
        let request = Box::pin(self.request(messages));
        if let Either::Left((result, _)) = future::select(request, pin!(cx.abort.begun())).await {
            return result;
        }
        let may_take_effect = self.link.may_take_effect;
        tracing::warn!(caller = %self.session.caller, may_take_effect, "a request was aborted");
        if self.link.has_replied {
            // The part that was sent may end inside of a message.
            return Err(Closed);
        }
        self.link.discard();
        if in_transaction {
            self.transaction = Transaction::Lost;
        }
        let report = match may_take_effect {
            true => {
                let text = "outcome unknown: this proxy is shutting down";
                Report::error(report::OUTCOME_UNKNOWN, text)
            }
            false => Report::error(report::SHUTDOWN, "this proxy is shutting down"),
        };
        self.refuse(mode, &report).await?;
        compio::time::sleep(GOODBYE_PAUSE).await;
        self.say_goodbye().await?;
        Err(Closed)
    }

    /// Waits for the next whole request.
    async fn next(&mut self) -> Result<Next, Closed> {
        loop {
            let limit = self.link.limits.request.as_bytes();
            match self.batch.take(self.link.wire.buf(), limit) {
                Ok(Some(input)) => return Ok(Next::Input(input)),
                Ok(None) => {}
                Err(report) => {
                    self.link.fatal(&report).await;
                    return Err(Closed);
                }
            }
            if let Some(next) = self.wait().await? {
                return Ok(next);
            }
        }
    }

    /// Waits for more bytes of the next request; returns what came instead, if anything.
    async fn wait(&mut self) -> Result<Option<Next>, Closed> {
        let end = self.transaction.idle_end(&self.session.settings);
        // The read is kept through the other events, and dropped only where the
        // connection ends.
        let mut fill = pin!(self.link.wire.fill());
        loop {
            let other = pin!(other(self.link.control.recv_async(), end));
            match future::select(fill.as_mut(), other).await {
                Either::Left((filled, _)) => {
                    return filled.map(|_| None).map_err(|_| Closed);
                }
                // Nothing runs that could be cancelled.
                Either::Right((Some(Control::Cancel), _)) => {}
                Either::Right((Some(Control::Drain), _))
                    if self.transaction.is_open() && !self.cx.abort.has_begun() =>
                {
                    self.link.draining = true;
                }
                Either::Right((Some(Control::Drain), _)) => return Ok(Some(Next::Drain)),
                Either::Right((None, _)) => return Ok(Some(Next::TooLong)),
            }
        }
    }

    async fn say_goodbye(&mut self) -> Result<(), Closed> {
        let report = Report::fatal(report::SHUTDOWN, "this proxy is shutting down")
            .hint("connect again: another proxy will answer");
        self.link.fatal(&report).await;
        Ok(())
    }

    /// Ends a transaction whose caller is silent. Load: a caller that holds locks and
    /// a connection while it does something else; harm: both are scarce, and everyone
    /// who needs them waits for this one caller.
    async fn end_transaction(&mut self) -> Result<(), Closed> {
        let text = "the transaction waited too long for its caller and was rolled back";
        let report = Report::fatal(report::TRANSACTION_LIMIT, text);
        self.link.fatal(&report).await;
        Ok(())
    }
}

/// Waits for a message, or for the end of a wait; `None` for the latter.
async fn other(
    control: flume::r#async::RecvFut<'_, Control>,
    end: Option<Instant>,
) -> Option<Control> {
    let end = pin!(async {
        match end {
            Some(end) => compio::time::sleep_until(end).await,
            None => future::pending().await,
        }
    });
    match future::select(control, end).await {
        Either::Left((control, _)) => Some(control.unwrap_or(Control::Drain)),
        Either::Right(((), _)) => None,
    }
}
