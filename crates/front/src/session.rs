//! One caller's session: reads its statements, carries them out one after the other, and
//! answers each with exactly one answer.

mod attempt;
mod local;
mod read;
mod tx;

use std::rc::Rc;
use std::sync::Arc;

use compio::net::TcpStream;
use futures_util::FutureExt as _;
use indexmap::IndexMap;
use model::id::{Database, InstanceId};
use model::position::Point;
use model::route::Route;
use model::statement::{Code, Shape, Statement, StatementId, TxState};
use model::unit::{Span, Time};
use platform::line::{self, Request};
use policy::pool::Rejection;

use crate::clock;
use crate::conn::{Values, What};
use crate::cx::Cx;
use crate::stop::Phase;
use crate::stream::{self, Reader, StreamError, Writer};

/// Longest wait for the first message of a connection; an open connection that says
/// nothing costs a descriptor.
const START_LIMIT: Span = Span::from_millis(10_000);

/// Longest wait of a new session for the first configuration. Load: all proxies start
/// again at once. Harm without it: sessions that come in the first moments are refused
/// and use up their tries; callers wait 2 s for the answer.
const ROUTES_LIMIT: Span = Span::from_millis(1_500);

/// Why a statement has no result, for the caller and for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// No connection could be lent; it did not run.
    #[error(transparent)]
    Refused(#[from] Rejection),
    /// The instance said why.
    #[error("the instance answered {0:?}")]
    Instance(Code),
    /// The answer was lost; nothing of it is kept.
    #[error("no answer came, and nothing of it is kept")]
    LostUnkept,
    /// The answer was lost.
    #[error("no answer came, and it may have taken effect")]
    LostInDoubt,
    /// The instance answered, but no replica is known to hold the write.
    #[error("no replica is known to hold it, and it may be lost")]
    Unproven,
    /// The transaction was ended because it was idle, or the proxy stops.
    #[error("the transaction was ended: {0}")]
    Ended(&'static str),
    /// The session's name means no prepared statement.
    #[error("no such prepared statement")]
    NotPrepared,
    /// It cannot be read, or not in this state of the session.
    #[error("it makes no sense here")]
    Malformed,
    /// No route has the database.
    #[error("no route has this database")]
    NoDatabase,
}

impl Failure {
    const fn code(self) -> Code {
        match self {
            Self::Refused(_) => Code::Busy,
            Self::Instance(code) => code,
            Self::LostUnkept | Self::Ended(_) => Code::Aborted,
            Self::LostInDoubt | Self::Unproven => Code::InDoubt,
            Self::NotPrepared => Code::NotPrepared,
            Self::Malformed => Code::Malformed,
            Self::NoDatabase => Code::NoDatabase,
        }
    }
}

/// A result for the caller.
#[derive(Debug, Default)]
struct Done {
    /// Rows and result as the instance sent them; empty if the proxy answers itself.
    lines: Vec<u8>,
    /// End of the instance's log.
    point: Option<Point>,
    /// The instance that ran it.
    instance: Option<InstanceId>,
}

/// A statement with what belongs to it.
#[derive(Clone)]
struct Job {
    id: StatementId,
    text: Arc<str>,
    arrived: Time,
}

/// A session.
///
/// Invariant: `tx` holds a connection exactly while a transaction is open on it.
struct Session {
    cx: Rc<Cx>,
    database: Database,
    /// Shared with a read that goes on after another one overtook it.
    values: Rc<Values>,
    prepared: IndexMap<Arc<str>, Shape>,
    /// The session's newest own write.
    own: Option<Point>,
    tx: tx::Tx,
}

/// Serves one caller until it leaves.
pub async fn serve(cx: Rc<Cx>, stream: TcpStream) {
    let Ok((mut reader, mut writer)) = stream::split(stream) else {
        return;
    };
    let started = start(&cx, &mut reader, &mut writer);
    let Ok(Some(database)) = compio::time::timeout(START_LIMIT.as_duration(), started).await else {
        return;
    };
    let mut session = Session {
        cx,
        database,
        values: Rc::default(),
        prepared: IndexMap::new(),
        own: None,
        tx: tx::Tx::None,
    };
    let ended = session.run(&mut reader, &mut writer).await;
    session.tx.give_up("the session ended").await;
    if let Err(e) = ended {
        tracing::debug!(database = %session.database, cause = %e, "a session ended");
    }
    let _ = writer.finish().await;
}

/// Answers the first message; `None` when the session does not begin.
async fn start(cx: &Cx, reader: &mut Reader, writer: &mut Writer) -> Option<Database> {
    let line = reader.line().await.ok()?;
    let mut buf = Vec::new();
    let database = match line::request(line) {
        Ok(Request::Start { database }) => database.parse::<Database>().ok(),
        Ok(Request::Query { .. } | Request::Bye) | Err(_) => {
            line::put_error(&mut buf, Code::Malformed, "a session begins with START");
            let _ = writer.send(buf).await;
            return None;
        }
    };
    wait_for_routes(cx).await;
    let routes = cx.routes();
    let known = database.filter(|d| routes.routes.contains_key(d));
    match &known {
        Some(_) => line::put_ready(&mut buf, TxState::Idle, None),
        None if routes.version == 0 => {
            tracing::warn!("a session was refused: no configuration is known yet");
            line::put_error(&mut buf, Code::Busy, "retry after 500 ms");
        }
        None => {
            tracing::info!(
                version = routes.version,
                "a session was refused: no such database"
            );
            line::put_error(&mut buf, Code::NoDatabase, "no route has this database");
        }
    }
    writer.send(buf).await.ok()?;
    known
}

/// Waits a while for the first configuration.
async fn wait_for_routes(cx: &Cx) {
    let end = clock::now() + ROUTES_LIMIT;
    while cx.routes().version == 0 && clock::now() < end {
        clock::sleep_until(clock::now() + Span::from_millis(25)).await;
    }
}

/// What a session wakes up for.
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
                    let arrived = clock::now();
                    let job = Job { id, text, arrived };
                    let answer = self.answer(&job).await;
                    writer.send(answer).await?;
                    served = true;
                }
                Event::Line(Ok(Request::Bye)) => return Ok(()),
                Event::Line(Ok(Request::Start { .. }) | Err(_)) => {
                    let mut buf = Vec::new();
                    line::put_error(&mut buf, Code::Malformed, "expected a query");
                    line::put_ready(&mut buf, self.tx.state(), None);
                    writer.send(buf).await?;
                }
                Event::Idle => self.tx.fail("it was idle for too long").await,
                Event::Phase => {
                    if self.cx.stop.phase() == Phase::Ending {
                        self.tx.fail("the proxy stops").await;
                    }
                }
            }
            if self.tx.is_none() && !reader.has_line() && self.may_end(served) {
                return Ok(());
            }
        }
    }

    /// Whether the session may end between two statements.
    ///
    /// A statement that the caller sends while its session is being closed is lost. Just
    /// after an answer the caller has none on the way, so that is when a session ends;
    /// one that stays idle ends only when the time runs out.
    fn may_end(&self, served: bool) -> bool {
        match self.cx.stop.phase() {
            Phase::Serving => false,
            Phase::Closing => served,
            Phase::Ending => true,
        }
    }

    async fn next(&self, reader: &mut Reader) -> Result<Event, StreamError> {
        let line = async { reader.line().await.map(line::request) }.fuse();
        let idle = self.idle_limit().fuse();
        let phase = self.cx.stop.changed().fuse();
        futures_util::pin_mut!(line, idle, phase);
        futures_util::select_biased! {
            line = line => Ok(Event::Line(line?)),
            () = phase => Ok(Event::Phase),
            () = idle => Ok(Event::Idle),
        }
    }

    /// Ends when the open transaction has been idle for too long.
    async fn idle_limit(&self) {
        if self.tx.holds_connection() {
            let limit = self.cx.routes().idle_transaction;
            clock::sleep_until(clock::now() + limit).await;
        } else {
            futures_util::future::pending::<()>().await;
        }
    }

    /// Carries a statement out and writes its whole answer.
    async fn answer(&mut self, job: &Job) -> Vec<u8> {
        let result = match line::statement(&job.text) {
            Ok(statement) => self.carry_out(job, statement).await,
            Err(_) => Err(Failure::Malformed),
        };
        let took = clock::now().since(job.arrived);
        let mut buf = Vec::new();
        let mut point = None;
        match &result {
            Ok(done) => {
                point = done.point;
                self.note_served(job, done, took);
                if done.lines.is_empty() {
                    line::put_done(&mut buf);
                } else {
                    buf.extend_from_slice(&done.lines);
                }
            }
            Err(failure) => {
                line::put_error(&mut buf, failure.code(), &failure.to_string());
                tracing::warn!(
                    id = %job.id,
                    database = %self.database,
                    code = line::code_word(failure.code()),
                    cause = %failure,
                    took_ms = took.as_millis(),
                    version = self.cx.routes().version,
                    "a statement has no result"
                );
            }
        }
        self.cx
            .metrics
            .statement_ended(result.as_ref().err().map(|f| f.code()), took);
        line::put_ready(&mut buf, self.tx.state(), point);
        buf
    }

    /// Logs what it takes to find a served statement again.
    fn note_served(&self, job: &Job, done: &Done, took: Span) {
        let Some(instance) = &done.instance else {
            return;
        };
        match self.cx.served_lines.take(clock::now()) {
            Some(left_out) => tracing::info!(
                id = %job.id,
                database = %self.database,
                %instance,
                point = done.point.map(tracing::field::display),
                took_ms = took.as_millis(),
                left_out,
                "served"
            ),
            None => self.cx.metrics.line_dropped(),
        }
    }

    async fn carry_out(&mut self, job: &Job, statement: Statement) -> Result<Done, Failure> {
        if self.tx.has_failed() && !matches!(statement, Statement::Commit | Statement::Rollback) {
            return Err(Failure::Malformed);
        }
        match statement {
            Statement::Begin(access) => self.begin(job, access),
            Statement::Commit => self.commit(job).await,
            Statement::Rollback => self.roll_back().await,
            Statement::Run(access) => {
                let what = What::Text(job.text.clone());
                self.run_one(job, access, what).await
            }
            Statement::Execute { name, args } => {
                let Some(shape) = self.prepared.get(&name).cloned() else {
                    return self.not_prepared();
                };
                let access = shape.access;
                self.run_one(job, access, What::Prepared(shape, args)).await
            }
            Statement::Set { name, value } => self.set(name, value),
            Statement::Prepare { name, shape } => self.prepare(name, shape),
            Statement::Deallocate { name } => self.forget(&name),
        }
    }

    /// Until when the success of a write waits for the proof that a replica holds it; `None`
    /// where writes need none.
    fn prove_until(&self, route: &Route, give_up: Time) -> Option<Time> {
        let routes = self.cx.routes();
        let limits = routes.groups.get(&route.group);
        let needs = limits.is_none_or(|limits| limits.sync_replicas > 0);
        needs.then_some(give_up)
    }

    /// The route in force, for what begins now.
    fn route(&self) -> Result<Route, Failure> {
        let routes = self.cx.routes();
        let route = routes.routes.get(&self.database);
        route.cloned().ok_or(Failure::NoDatabase)
    }
}
