//! A connection to an instance: one statement at a time, with the session's values and
//! prepared statements brought into place first.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compio::net::TcpStream;
use indexmap::IndexMap;
use model::id::{GroupId, InstanceId};
use model::position::Point;
use model::statement::{Access, Code, Shape, StatementId, TxState};
use model::unit::{Span, Time};
use platform::line::{self, Own, Reply};
use platform::status;
use policy::proof::Proof;
use policy::takeover::State;

use crate::clock;
use crate::relay::Held;
use crate::stream::{self, Reader, StreamError, Writer};

/// Statements that stay prepared on a connection; beyond them all are forgotten at once,
/// which bounds the instance's memory.
const MAX_PREPARED: usize = 64;

/// Why a connection gives no answer.
#[derive(Debug, thiserror::Error)]
pub enum ConnError {
    /// The connection cannot be used any more.
    #[error(transparent)]
    Stream(#[from] StreamError),
    /// No answer came in time.
    #[error("no answer in time")]
    Timeout,
    /// The answer cannot be read.
    #[error(transparent)]
    Line(#[from] line::LineError),
    /// The instance refused.
    #[error("refused with {0:?}")]
    Refused(Code),
}

impl From<io::Error> for ConnError {
    fn from(e: io::Error) -> Self {
        Self::Stream(e.into())
    }
}

/// Values of a session by name.
pub type Values = IndexMap<Arc<str>, Arc<str>>;

/// How a statement ended.
#[derive(Clone, Debug)]
pub struct Response {
    /// The failure, if it has no result.
    pub code: Option<Code>,
    /// State of the connection after it.
    pub state: TxState,
    /// End of the instance's log after it.
    pub point: Option<Point>,
    /// Rows and result, as they came.
    pub lines: Vec<u8>,
}

/// An open connection to an instance.
pub struct Conn {
    reader: Reader,
    writer: Writer,
    /// Session values that the instance holds.
    values: Values,
    /// Prepared statements, by what they run, with the connection's own names for them.
    prepared: IndexMap<Shape, Arc<str>>,
    names: u64,
    /// What the connection proved about the primary's log last.
    proof: Option<Proof>,
    /// Whether a transaction is open on it.
    state: TxState,
    /// Time of the last statement that an instance worked on.
    took: Option<Span>,
    /// End of the instance's log, as its last answer showed it.
    shown: Option<Point>,
    /// When it was known to be open.
    opened: Time,
}

/// What a connection must hold before a statement runs on it.
#[derive(Clone, Copy, Debug)]
pub struct Setup<'a> {
    /// Values of the session; `None` leaves what the connection holds.
    pub values: Option<&'a Values>,
    /// Statement that must be prepared.
    pub shape: Option<&'a Shape>,
    /// Transaction to open.
    pub begin: Option<(Access, Option<Point>)>,
    /// Whether the instance must prove that it leads.
    pub verify_primary: bool,
}

impl Conn {
    /// Opens a connection.
    pub async fn open(
        address: SocketAddr,
        group: &GroupId,
        instance: &InstanceId,
        limit: Duration,
    ) -> Result<Self, ConnError> {
        let opening = async {
            let stream = TcpStream::connect(address).await;
            let stream = stream?;
            let (reader, mut writer) = stream::split(stream)?;
            let mut buf = Vec::new();
            line::put_start(&mut buf, group.as_str(), instance.as_str());
            writer.send(buf).await?;
            let mut conn = Self::new(reader, writer);
            match line::reply(conn.reader.line().await?)? {
                Reply::Ready { .. } => {
                    conn.opened = clock::now();
                    Ok(conn)
                }
                Reply::Error(code) => Err(ConnError::Refused(code)),
                Reply::Row | Reply::Done => Err(line::LineError::Word.into()),
            }
        };
        within(limit, opening).await
    }

    /// A connection that leads to an instance through another proxy.
    pub fn bare(stream: TcpStream) -> Result<Self, ConnError> {
        let (reader, writer) = stream::split(stream)?;
        Ok(Self::new(reader, writer))
    }

    fn new(reader: Reader, writer: Writer) -> Self {
        Self {
            reader,
            writer,
            values: Values::new(),
            prepared: IndexMap::new(),
            names: 0,
            proof: None,
            state: TxState::Idle,
            took: None,
            shown: None,
            opened: clock::now(),
        }
    }

    /// When it was known to be open.
    pub fn opened(&self) -> Time {
        self.opened
    }

    /// What the instance holds for this connection.
    pub fn held(&self) -> Held {
        let prepared = self.prepared.iter();
        Held {
            values: self.values.clone(),
            prepared: prepared.map(|(s, name)| Held::prepared(s, name)).collect(),
            names: self.names,
        }
    }

    /// Takes over what the instance holds, as another proxy tells it.
    pub fn set_held(&mut self, held: &Held) {
        self.values.clone_from(&held.values);
        self.prepared = held.shapes();
        self.names = held.names;
    }

    /// Takes over what came of statements that another proxy ran.
    pub fn set_outcome(&mut self, proof: Option<Proof>, took: Option<Span>, shown: Option<Point>) {
        self.proof = proof;
        self.took = took;
        self.shown = shown;
    }

    /// End of the instance's log, if an answer showed it since the last call.
    pub fn take_log_end(&mut self) -> Option<Point> {
        self.shown.take()
    }

    /// Both directions, for passing lines on as they are.
    pub fn halves(&mut self) -> (&mut Reader, &mut Writer) {
        (&mut self.reader, &mut self.writer)
    }

    /// Sends bytes as they are.
    pub async fn send(&mut self, bytes: Vec<u8>) -> Result<(), ConnError> {
        Ok(self.writer.send(bytes).await?)
    }

    /// Waits for one line.
    pub async fn line(&mut self, limit: Duration) -> Result<&[u8], ConnError> {
        within(limit, async { Ok(self.reader.line().await?) }).await
    }

    /// Waits for a line that may be long, as [`Reader::long_line`] does.
    pub async fn long_line(&mut self, begin: Span, go_on: Span) -> Result<&[u8], ConnError> {
        let (begin, go_on) = (begin.as_duration(), go_on.as_duration());
        Ok(self.reader.long_line(begin, go_on).await?)
    }

    /// Whether no transaction is open on it.
    pub fn is_idle(&self) -> bool {
        self.state == TxState::Idle
    }

    /// What it proved about the primary's log since the last call.
    pub fn take_proof(&mut self) -> Option<Proof> {
        self.proof.take()
    }

    /// Time of the last statement, if one ran since the last call.
    pub fn take_duration(&mut self) -> Option<Span> {
        self.took.take()
    }

    /// Notes that the answer shows the instance leading when it was asked at `since`.
    pub fn record_proof(&mut self, since: Time, answer: &Response) {
        if let Some(point) = answer.point {
            self.proof = Some(Proof { since, point });
        }
    }

    /// Brings the connection into the state that a statement needs; a refusal of any part
    /// is the answer. Nothing of the caller has run then.
    pub async fn set_up(
        &mut self,
        setup: Setup<'_>,
        limit: Duration,
    ) -> Result<SetupOutcome, ConnError> {
        let (buf, expected) = self.plan(setup);
        if expected.is_empty() {
            return Ok(SetupOutcome::Ready);
        }
        let since = clock::now();
        within(limit, async {
            self.writer.send(buf).await?;
            let mut refused = None;
            for what in expected {
                let answer = self.read_answer().await?;
                match (answer.code, what) {
                    (Some(code), _) => refused = refused.or(Some(code)),
                    (None, Part::Lead) => self.record_proof(since, &answer),
                    (None, Part::Other) => {}
                }
            }
            Ok(refused.map_or(SetupOutcome::Ready, SetupOutcome::Refused))
        })
        .await
    }

    fn plan(&mut self, setup: Setup<'_>) -> (Vec<u8>, Vec<Part>) {
        let mut buf = Vec::new();
        let mut parts = Vec::new();
        let mut put = |own: &Own<'_>, part| {
            line::put_own(&mut buf, own);
            parts.push(part);
        };
        let gone = |values: &Values| self.values.keys().any(|k| !values.contains_key(k));
        let crowded = self.prepared.len() > MAX_PREPARED && self.state == TxState::Idle;
        if setup.values.is_some_and(gone) || crowded {
            put(&Own::Reset, Part::Other);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in setup.values.into_iter().flatten() {
            if self.values.get(name) != Some(value) {
                put(&Own::Set(name, value), Part::Other);
                self.values.insert(name.clone(), value.clone());
            }
        }
        if let Some(shape) = setup.shape.filter(|s| !self.prepared.contains_key(*s)) {
            self.names += 1;
            let name: Arc<str> = format!("p{}", self.names).into();
            put(&Own::Prepare(&name, shape), Part::Other);
            self.prepared.insert(shape.clone(), name);
        }
        if setup.verify_primary {
            put(&Own::Begin(Access::Write, None), Part::Lead);
            put(&Own::Rollback, Part::Other);
        }
        if let Some((access, after)) = setup.begin {
            let part = match access {
                Access::Write => Part::Lead,
                Access::Read => Part::Other,
            };
            put(&Own::Begin(access, after), part);
        }
        (buf, parts)
    }

    /// The connection's own name of a prepared statement.
    pub fn prepared_name(&self, shape: &Shape) -> Option<Arc<str>> {
        self.prepared.get(shape).cloned()
    }

    /// The instance does not know a statement that it was taken to hold.
    pub fn forget_prepared(&mut self) {
        self.prepared.clear();
    }

    /// Sends one statement and waits for its answer.
    pub async fn run(&mut self, buf: Vec<u8>, limit: Duration) -> Result<Response, ConnError> {
        let since = clock::now();
        let answer = within(limit, async {
            self.writer.send(buf).await?;
            self.read_answer().await
        });
        let answer = answer.await?;
        self.took = Some(clock::now().since(since));
        Ok(answer)
    }

    /// Drops the open transaction.
    pub async fn roll_back(&mut self, limit: Duration) -> Result<(), ConnError> {
        let mut buf = Vec::new();
        line::put_own(&mut buf, &Own::Rollback);
        let answer = within(limit, async {
            self.writer.send(buf).await?;
            self.read_answer().await
        });
        match answer.await?.state {
            TxState::Idle => Ok(()),
            TxState::Open | TxState::Failed => Err(ConnError::Timeout),
        }
    }

    /// Sends a statement that is answered with the instance's role and log.
    pub async fn state(&mut self, own: &Own<'_>, limit: Duration) -> Result<State, ConnError> {
        let answer = self.tell(own, limit).await?;
        match answer.code {
            Some(code) => Err(ConnError::Refused(code)),
            None => parse_state(&answer),
        }
    }

    /// End of the log that the instance holds at least: what it has received, or without a
    /// slot for the question what it has applied of that.
    pub async fn log_end(&mut self, limit: Duration) -> Result<Option<Point>, ConnError> {
        let answer = self.tell(&Own::Status, limit).await?;
        // The time says nothing about callers' statements.
        self.took = None;
        match answer.code {
            Some(Code::Busy) => Ok(answer.point),
            Some(code) => Err(ConnError::Refused(code)),
            None => parse_state(&answer).map(|state| Some(state.received)),
        }
    }

    async fn tell(&mut self, own: &Own<'_>, limit: Duration) -> Result<Response, ConnError> {
        let mut buf = Vec::new();
        line::put_own(&mut buf, own);
        self.run(buf, limit).await
    }

    async fn read_answer(&mut self) -> Result<Response, ConnError> {
        let mut lines = Vec::new();
        let mut code = None;
        loop {
            let text = self.reader.line().await?;
            match line::reply(text)? {
                Reply::Ready { state, point } => {
                    self.state = state;
                    self.shown = point.or(self.shown);
                    return Ok(Response {
                        code,
                        state,
                        point,
                        lines,
                    });
                }
                Reply::Error(failure) => code = Some(failure),
                Reply::Row | Reply::Done => {}
            }
            lines.extend_from_slice(text);
            lines.extend_from_slice(line::END);
        }
    }

    /// Closes the connection in the way that the protocol asks for.
    pub async fn close(mut self) {
        let mut buf = Vec::new();
        line::put_bye(&mut buf);
        // The instance drops the connection as well if it does not read this.
        let _ = self.writer.send(buf).await;
        let _ = self.writer.finish().await;
    }
}

fn parse_state(answer: &Response) -> Result<State, ConnError> {
    let row = answer.lines.split(|b| *b == b'\r').next();
    let row = row.and_then(|r| std::str::from_utf8(r).ok());
    let row = row.and_then(|r| r.strip_prefix("ROW "));
    let state = row.and_then(status::parse);
    state.ok_or_else(|| line::LineError::Field.into())
}

/// Outcome of [`Conn::set_up`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetupOutcome {
    /// The statement may be sent.
    Ready,
    /// The instance refused a part.
    Refused(Code),
}

#[derive(Clone, Copy)]
enum Part {
    /// Shows that the instance leads.
    Lead,
    Other,
}

async fn within<T>(
    limit: Duration,
    exchange: impl Future<Output = Result<T, ConnError>>,
) -> Result<T, ConnError> {
    match compio::time::timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_) => Err(ConnError::Timeout),
    }
}

/// Appends a caller's statement in the form that this connection needs.
pub fn put_statement(
    conn: &Conn,
    buf: &mut Vec<u8>,
    id: &StatementId,
    after: Option<Point>,
    what: &Payload,
) -> bool {
    match what {
        Payload::Text(text) => match after {
            Some(point) => line::put_query_after(buf, id, point, text),
            None => line::put_query(buf, id, text),
        },
        Payload::Prepared(shape, args) => {
            let Some(name) = conn.prepared_name(shape) else {
                return false;
            };
            line::put_execute(buf, id, after, &name, args);
        }
    }
    true
}

/// What a caller's statement runs.
#[derive(Clone, Debug)]
pub enum Payload {
    /// Its own text.
    Text(Arc<str>),
    /// A prepared statement with what follows its name.
    Prepared(Shape, Arc<str>),
}

impl Payload {
    /// The statement that must be prepared for it.
    pub fn shape(&self) -> Option<&Shape> {
        match self {
            Self::Text(_) => None,
            Self::Prepared(shape, _) => Some(shape),
        }
    }
}
