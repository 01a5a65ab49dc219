//! One caller's session: reads its statements, runs them one after the other, and sends
//! exactly one reply to each.

mod attempt;
mod local;
mod read;
mod tx;

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;

use compio::net::TcpStream;
use futures_util::FutureExt as _;
use futures_util::future::{self, Either};
use indexmap::IndexMap;
use model::customer::{ApiKey, CustomerPriority};
use model::id::{CustomerId, Database, InstanceId};
use model::position::Point;
use model::route::{Route, UnknownKey};
use model::statement::{Code, Shape, Statement, StatementId, TxState};
use model::unit::{Span, Time};
use platform::line::{self, Request};
use policy::pool::{ConnRequest, Rejection};
use policy::quota::QuotaRejection;

use crate::clock;
use crate::conn::{Payload, Values};
use crate::cx::{Cx, SessionCount};
use crate::group::CheckedOut;
use crate::quota::Admission;
use crate::stop::Phase;
use crate::stream::{self, Reader, StreamError, Writer};

/// Longest wait for the first message of a connection; an open connection that sends
/// nothing occupies a file descriptor.
const START_TIMEOUT: Span = Span::from_millis(10_000);

/// Longest wait of a new session for the first configuration. When all proxies restart at
/// once, sessions would otherwise be rejected until the configuration is known, and would
/// use up their retries. It is below the 2 s for which callers wait for the reply.
const CONFIG_TIMEOUT: Span = Span::from_millis(1_500);

/// Why statements and transactions are aborted during the shutdown.
const STOPPING: &str = "the proxy stops";

/// Why a statement has no result, for the caller and for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// No connection could be checked out; the statement did not run.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// The instance returned an error.
    #[error("the instance answered {0:?}")]
    Instance(Code),
    /// The customer's rate limit is reached; the statement did not run.
    #[error(transparent)]
    OverQuota(#[from] QuotaRejection),
    /// The response was lost; the statement had no lasting effect.
    #[error("no answer came, and nothing of it is kept")]
    LostNoEffect,
    /// The response was lost; the statement may have taken effect.
    #[error("no answer came, and it may have taken effect")]
    LostInDoubt,
    /// The instance acknowledged the write, but no replica is known to hold it.
    #[error("no replica is known to hold it, and it may be lost")]
    Unacknowledged,
    /// The transaction was aborted because it was idle for too long, or the proxy stops.
    #[error("the transaction was ended: {0}")]
    Aborted(&'static str),
    /// The session has no prepared statement of this name.
    #[error("no such prepared statement")]
    NotPrepared,
    /// The statement cannot be parsed, or is invalid in this state of the session.
    #[error("it makes no sense here")]
    Malformed,
    /// No route has the database.
    #[error("no route has this database")]
    NoDatabase,
    /// The caller's key is unknown, or was revoked.
    #[error(transparent)]
    Forbidden(#[from] UnknownKey),
    /// The proxy stops; the statement did not run, and other proxies serve it.
    #[error("the proxy stops; retry after 0 ms")]
    Stopping,
}

impl Failure {
    const fn code(self) -> Code {
        match self {
            Self::Rejected(_) | Self::OverQuota(_) | Self::Stopping => Code::Busy,
            Self::Instance(code) => code,
            Self::LostNoEffect | Self::Aborted(_) => Code::Aborted,
            Self::LostInDoubt | Self::Unacknowledged => Code::InDoubt,
            Self::NotPrepared => Code::NotPrepared,
            Self::Malformed => Code::Malformed,
            Self::NoDatabase => Code::NoDatabase,
            Self::Forbidden(_) => Code::Forbidden,
        }
    }
}

/// A result for the caller.
#[derive(Debug, Default)]
struct Outcome {
    /// Rows and result as the instance sent them; empty if the proxy replies by itself.
    lines: Vec<u8>,
    /// End of the instance's log.
    point: Option<Point>,
    /// The instance that ran it.
    instance: Option<InstanceId>,
}

/// A statement with its id and the time when it arrived.
#[derive(Clone)]
struct Job {
    id: StatementId,
    text: Arc<str>,
    arrived: Time,
    /// Whether it was sent to an instance and has a lasting effect if it runs there.
    may_take_effect: Rc<Cell<bool>>,
}

/// Where an operation runs, and for whom; fixed when it starts.
#[derive(Clone, Debug)]
struct Target {
    route: Route,
    /// `None` if callers need no key there.
    customer: Option<CustomerId>,
    customer_priority: CustomerPriority,
}

/// A session.
///
/// Invariant: `tx` holds a connection if and only if a transaction is open on that connection.
struct Session {
    cx: Rc<Cx>,
    database: Database,
    key: Option<ApiKey>,
    /// Shared with reads that still run after a hedged attempt has returned first.
    values: Rc<Values>,
    prepared: IndexMap<Arc<str>, Shape>,
    /// The session's newest own write.
    own_write: Option<Point>,
    tx: tx::Tx,
    /// Whether the caller's key was revoked, which ends the session.
    forbidden: bool,
    /// The phase of the shutdown that the session has entered.
    phase: Phase,
}

/// Serves one caller until it disconnects.
pub async fn serve(cx: Rc<Cx>, stream: TcpStream) {
    let Ok((mut reader, mut writer)) = stream::split(stream) else {
        return;
    };
    let started = start(&cx, &mut reader, &mut writer);
    let Ok(Some(Started {
        database,
        key,
        _count,
    })) = compio::time::timeout(START_TIMEOUT.as_duration(), started).await
    else {
        return;
    };
    let mut session = Session {
        cx,
        database,
        key,
        values: Rc::default(),
        prepared: IndexMap::new(),
        own_write: None,
        tx: tx::Tx::None,
        forbidden: false,
        phase: Phase::Serving,
    };
    let ended = session.run(&mut reader, &mut writer).await;
    session.tx.abandon("the session ended").await;
    if let Err(e) = ended {
        tracing::debug!(database = %session.database, cause = %e, "a session ended");
    }
    let _ = writer.finish().await;
}

/// A session that was let in.
struct Started {
    database: Database,
    key: Option<ApiKey>,
    _count: SessionCount,
}

/// Replies to the first message; `None` if the session does not start.
async fn start(cx: &Rc<Cx>, reader: &mut Reader, writer: &mut Writer) -> Option<Started> {
    let line = reader.line().await.ok()?;
    let mut buf = Vec::new();
    let (database, key) = match line::request(line) {
        Ok(Request::Start { database, key }) => (database.parse::<Database>().ok(), key),
        Ok(Request::Query { .. } | Request::Bye) | Err(_) => {
            line::put_error(&mut buf, Code::Malformed, "a session begins with START");
            let _ = writer.send(buf).await;
            return None;
        }
    };
    wait_for_routes(cx).await;
    let routes = cx.routes();
    let route = database.as_ref().and_then(|d| routes.routes.get(d));
    let customer = route.map(|route| routes.customer(route, key.as_ref()));
    let stopping = cx.stop.phase() >= Phase::Ending;
    match customer {
        _ if stopping => {
            tracing::info!("a session was rejected: the proxy stops");
            line::put_error(&mut buf, Code::Busy, &Failure::Stopping.to_string());
        }
        Some(Ok(_)) => line::put_ready(&mut buf, TxState::Idle, None),
        Some(Err(e)) => {
            tracing::info!(version = routes.version, cause = %e, "a session was rejected");
            line::put_error(&mut buf, Code::Forbidden, &e.to_string());
        }
        None if routes.version == 0 => {
            tracing::warn!("a session was rejected: no configuration is known yet");
            line::put_error(&mut buf, Code::Busy, "retry after 500 ms");
        }
        None => {
            tracing::info!(
                version = routes.version,
                "a session was rejected: no such database"
            );
            line::put_error(&mut buf, Code::NoDatabase, "no route has this database");
        }
    }
    let accepted = !stopping && customer.is_some_and(|customer| customer.is_ok());
    let count = accepted.then(|| cx.count_session());
    writer.send(buf).await.ok()?;
    Some(Started {
        database: database?,
        key,
        _count: count?,
    })
}

/// Waits up to `CONFIG_TIMEOUT` for the first configuration.
async fn wait_for_routes(cx: &Cx) {
    let end = clock::now() + CONFIG_TIMEOUT;
    while cx.routes().version == 0 && clock::now() < end {
        clock::sleep_until(clock::now() + Span::from_millis(25)).await;
    }
}

/// What a session waits for.
enum Event {
    Line(Result<Request, line::LineError>),
    Idle,
    Phase,
}

impl Session {
    async fn run(&mut self, reader: &mut Reader, writer: &mut Writer) -> Result<(), StreamError> {
        loop {
            let mut served = false;
            match self.next(reader).await? {
                Event::Line(Ok(Request::Query { id, text })) => {
                    let _running = self.cx.running.begin(&id);
                    let job = Job {
                        id,
                        text,
                        arrived: clock::now(),
                        may_take_effect: Rc::default(),
                    };
                    let reply = self.respond(&job).await;
                    writer.send(reply).await?;
                    served = true;
                }
                Event::Line(Ok(Request::Bye)) => return Ok(()),
                Event::Line(Ok(Request::Start { .. }) | Err(_)) => {
                    let mut buf = Vec::new();
                    line::put_error(&mut buf, Code::Malformed, "expected a query");
                    line::put_ready(&mut buf, self.tx.state(), None);
                    writer.send(buf).await?;
                }
                Event::Idle => self.tx.abort("it was idle for too long").await,
                Event::Phase => {}
            }
            self.enter_phase().await;
            if self.forbidden {
                return Ok(());
            }
            if !reader.has_line() && self.may_close(served) {
                return self.dismiss(reader, writer).await;
            }
        }
    }

    /// Enters the current phase of the shutdown, which may have begun during a statement.
    async fn enter_phase(&mut self) {
        self.phase = self.cx.stop.phase();
        if self.phase >= Phase::Ending {
            self.tx.abort(STOPPING).await;
        }
    }

    /// Whether the caller is to end the session now.
    fn may_close(&self, served: bool) -> bool {
        match self.phase {
            Phase::Serving | Phase::Leaving => false,
            Phase::Closing => served && self.tx.is_none(),
            Phase::Ending => self.tx.is_none(),
            Phase::Aborting => true,
        }
    }

    /// Makes the caller end the session, and rejects what it sends until then.
    ///
    /// Callers end a session at an error that replies to nothing. For a statement that was on its
    /// way, that error is the reply: it needs only the session's state to be whole.
    async fn dismiss(
        &mut self,
        reader: &mut Reader,
        writer: &mut Writer,
    ) -> Result<(), StreamError> {
        let failure = Failure::Stopping;
        let mut buf = Vec::new();
        line::put_error(&mut buf, failure.code(), &failure.to_string());
        loop {
            writer.send(std::mem::take(&mut buf)).await?;
            match line::request(reader.line().await?) {
                Ok(Request::Bye) => return Ok(()),
                Ok(Request::Query { id, .. }) => self.record_failure(&id, failure, Span::default()),
                Ok(Request::Start { .. }) | Err(_) => {}
            }
            line::put_ready(&mut buf, self.tx.state(), None);
            line::put_error(&mut buf, failure.code(), &failure.to_string());
        }
    }

    async fn next(&self, reader: &mut Reader) -> Result<Event, StreamError> {
        let line = async { reader.line().await.map(line::request) }.fuse();
        let idle = self.idle_limit().fuse();
        let phase = self.cx.stop.after(self.phase).fuse();
        futures_util::pin_mut!(line, idle, phase);
        futures_util::select_biased! {
            line = line => Ok(Event::Line(line?)),
            () = phase => Ok(Event::Phase),
            () = idle => Ok(Event::Idle),
        }
    }

    /// Completes when the open transaction has been idle for too long.
    async fn idle_limit(&self) {
        if self.tx.holds_connection() {
            let limit = self.cx.routes().idle_transaction;
            clock::sleep_until(clock::now() + limit).await;
        } else {
            futures_util::future::pending::<()>().await;
        }
    }

    /// Runs a statement and returns its whole reply.
    async fn respond(&mut self, job: &Job) -> Vec<u8> {
        let result = self.run_until_aborted(job).await;
        self.forbidden = matches!(result, Err(Failure::Forbidden(_)));
        let took = clock::now().since(job.arrived);
        let mut buf = Vec::new();
        let mut point = None;
        match &result {
            Ok(outcome) => {
                point = outcome.point;
                self.log_served(job, outcome, took);
                self.cx.metrics.statement_ended(None, took);
                if outcome.lines.is_empty() {
                    line::put_done(&mut buf);
                } else {
                    buf.extend_from_slice(&outcome.lines);
                }
            }
            Err(failure) => {
                line::put_error(&mut buf, failure.code(), &failure.to_string());
                self.record_failure(&job.id, *failure, took);
            }
        }
        line::put_ready(&mut buf, self.tx.state(), point);
        buf
    }

    /// Logs and counts a statement without a result.
    fn record_failure(&self, id: &StatementId, failure: Failure, took: Span) {
        tracing::warn!(
            %id,
            database = %self.database,
            customer = self.customer().map(tracing::field::display),
            code = line::code_word(failure.code()),
            cause = %failure,
            took_ms = took.as_millis(),
            version = self.cx.routes().version,
            "a statement failed"
        );
        let metrics = &self.cx.metrics;
        metrics.statement_ended(Some(failure.code()), took);
    }

    /// Logs what is needed to trace a served statement, within the limit for such lines.
    fn log_served(&self, job: &Job, outcome: &Outcome, took: Span) {
        let Some(instance) = &outcome.instance else {
            return;
        };
        match self.cx.served_lines.take(clock::now()) {
            Some(left_out) => tracing::info!(
                id = %job.id,
                database = %self.database,
                %instance,
                point = outcome.point.map(tracing::field::display),
                took_ms = took.as_millis(),
                left_out,
                "served"
            ),
            None => self.cx.metrics.line_dropped(),
        }
    }

    /// Runs a statement. One that is still in progress when the process has to exit gets the
    /// failure that is known to be true then.
    async fn run_until_aborted(&mut self, job: &Job) -> Result<Outcome, Failure> {
        let stop = self.cx.stop.clone();
        let aborted = pin!(stop.reached(Phase::Aborting));
        let run = Box::pin(self.run_job(job));
        if let Either::Left((result, _)) = future::select(run, aborted).await {
            return result;
        }
        let failure = match (job.may_take_effect.get(), self.tx.is_none()) {
            (true, _) => Failure::LostInDoubt,
            (false, true) => Failure::LostNoEffect,
            (false, false) => Failure::Aborted(STOPPING),
        };
        // A response may be on its way on the transaction's connection.
        self.tx.mark_failed();
        Err(failure)
    }

    async fn run_job(&mut self, job: &Job) -> Result<Outcome, Failure> {
        match line::statement(&job.text) {
            Ok(statement) => self.execute(job, statement).await,
            Err(_) => Err(Failure::Malformed),
        }
    }

    async fn execute(&mut self, job: &Job, statement: Statement) -> Result<Outcome, Failure> {
        if self.tx.has_failed() && !matches!(statement, Statement::Commit | Statement::Rollback) {
            let aborted = self.tx.take_abort_cause().map(Failure::Aborted);
            return Err(aborted.unwrap_or(Failure::Malformed));
        }
        if self.tx.is_none() {
            self.target()?;
        }
        match statement {
            Statement::Begin(access) => self.begin(job, access),
            Statement::Commit => self.commit(job).await,
            Statement::Rollback => self.roll_back().await,
            Statement::Run(access) => {
                let payload = Payload::Text(job.text.clone());
                self.run_statement(job, access, payload).await
            }
            Statement::Execute { name, args } => {
                let Some(shape) = self.prepared.get(&name).cloned() else {
                    return self.not_prepared();
                };
                let access = shape.access;
                self.run_statement(job, access, Payload::Prepared(shape, args))
                    .await
            }
            Statement::Set { name, value } => self.set(name, value),
            Statement::Prepare { name, shape } => self.prepare(name, shape),
            Statement::Deallocate { name } => self.deallocate(&name),
        }
    }

    fn admit(&self, target: &Target) -> Result<Admission, Failure> {
        Ok(self.cx.quotas.admit(target.customer.as_ref())?)
    }

    /// Checks out a connection for an attempt that is sent at once, within the customer's rate
    /// limit. The permit comes first, and a connection is not held while one is waited for. An
    /// additional attempt does not wait for its permit.
    async fn checkout(
        &self,
        target: &Target,
        request: ConnRequest,
        admission: &mut Admission,
        is_additional: bool,
    ) -> Result<CheckedOut, Failure> {
        loop {
            if !admission.try_reserve() {
                if is_additional {
                    let retry_after = Span::from_millis(0);
                    return Err(QuotaRejection { retry_after }.into());
                }
                admission.reserve().await?;
            }
            let checkout = self.cx.checkout(&target.route.group, request.clone());
            let checkout = admission.hold(checkout).await;
            let checkout = checkout.map_err(|rejection| self.spread(rejection))?;
            if admission.send().await {
                return Ok(checkout);
            }
            checkout.release();
        }
    }

    /// With customers, the rejection with a retry hint that differs between callers.
    fn spread(&self, rejection: Rejection) -> Rejection {
        match self.cx.routes().customers {
            Some(_) => rejection.spread(rand::random()),
            None => rejection,
        }
    }

    /// Until when a successful write waits for a replica's acknowledgement; `None` if writes
    /// to this group need none.
    fn ack_deadline(&self, route: &Route, deadline: Time) -> Option<Time> {
        let routes = self.cx.routes();
        let limits = routes.groups.get(&route.group);
        let needs = limits.is_none_or(|limits| limits.sync_replicas > 0);
        needs.then_some(deadline)
    }

    /// The customer to which the caller's key belongs now.
    fn customer(&self) -> Option<CustomerId> {
        let routes = self.cx.routes();
        let customers = routes.customers.as_ref()?;
        customers.of_key(self.key.as_ref()?).cloned()
    }

    /// Where a statement or transaction that starts now runs, by the configuration in force.
    fn target(&self) -> Result<Target, Failure> {
        let routes = self.cx.routes();
        let route = routes.routes.get(&self.database);
        let route = route.ok_or(Failure::NoDatabase)?;
        let customer = routes.customer(route, self.key.as_ref())?;
        let customers = routes.customers.as_ref().zip(customer.as_ref());
        let priority = customers.map(|(customers, id)| customers.priority(id));
        Ok(Target {
            route: route.clone(),
            customer_priority: priority.unwrap_or_default(),
            customer,
        })
    }
}
