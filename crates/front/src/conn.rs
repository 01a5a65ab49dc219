//! A connection to an instance: runs one statement at a time, after it has set up the session
//! values and prepared statements that the statement needs.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compio::net::TcpStream;
use indexmap::IndexMap;
use model::id::{CustomerId, GroupId, InstanceId};
use model::position::Point;
use model::statement::{Access, Code, Shape, StatementId, TxState};
use model::unit::{Span, Time};
use platform::line::{self, ProxyStatement, Reply};
use platform::status;
use policy::proof::Proof;
use policy::takeover::State;

use crate::clock;
use crate::relay::Held;
use crate::stream::{self, Reader, StreamError, Writer};

/// Number of prepared statements on a connection above which all are dropped at once, which
/// bounds the instance's memory.
const MAX_PREPARED: usize = 64;

/// Why a connection has no response.
#[derive(Debug, thiserror::Error)]
pub enum ConnError {
    /// The connection is no longer usable.
    #[error(transparent)]
    Stream(#[from] StreamError),
    /// No response in time.
    #[error("no response in time")]
    Timeout,
    /// The response cannot be parsed.
    #[error(transparent)]
    Line(#[from] line::LineError),
    /// The instance returned an error.
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

/// The response to a statement.
#[derive(Clone, Debug)]
pub struct Response {
    /// The error, if the statement has no result.
    pub code: Option<Code>,
    /// Transaction state of the connection after the statement.
    pub state: TxState,
    /// End of the instance's log after the statement.
    pub point: Option<Point>,
    /// Rows and result, as received.
    pub lines: Vec<u8>,
}

/// An open connection to an instance.
pub struct Conn {
    reader: Reader,
    writer: Writer,
    /// The customer for which it was opened.
    customer: Option<CustomerId>,
    /// Session values that the instance holds.
    values: Values,
    /// Names of the prepared statements on this connection, by access and text.
    prepared: IndexMap<Shape, Arc<str>>,
    names: u64,
    /// The last proof of the end of the primary's log on this connection.
    proof: Option<Proof>,
    /// Whether a transaction is open on the connection.
    state: TxState,
    /// Response time of the last statement.
    took: Option<Span>,
    /// End of the instance's log, as its last response showed it.
    last_log_end: Option<Point>,
    /// When the connection was known to be open.
    opened: Time,
}

/// State that a statement needs on its connection.
#[derive(Clone, Copy, Debug)]
pub struct Setup<'a> {
    /// Values of the session; `None` leaves the connection's values unchanged.
    pub values: Option<&'a Values>,
    /// Statement to prepare.
    pub shape: Option<&'a Shape>,
    /// Transaction to open.
    pub begin: Option<(Access, Option<Point>)>,
    /// Whether the instance must first prove that it is the primary.
    pub verify_primary: bool,
}

impl Conn {
    /// Opens a connection for a customer, or for the proxy itself.
    pub async fn open(
        address: SocketAddr,
        group: &GroupId,
        customer: Option<CustomerId>,
        instance: &InstanceId,
        limit: Duration,
    ) -> Result<Self, ConnError> {
        let opening = async {
            let stream = TcpStream::connect(address).await;
            let stream = stream?;
            let (reader, mut writer) = stream::split(stream)?;
            let mut buf = Vec::new();
            let name = customer.as_ref().map(CustomerId::as_str);
            line::put_start(&mut buf, group.as_str(), name, instance.as_str());
            writer.send(buf).await?;
            let mut conn = Self::new(reader, writer, customer);
            match line::reply(conn.reader.line().await?)? {
                Reply::Ready { .. } => {
                    conn.opened = clock::now();
                    Ok(conn)
                }
                Reply::Error(code) => Err(ConnError::Refused(code)),
                Reply::Row | Reply::Done => Err(line::LineError::Word.into()),
            }
        };
        with_timeout(limit, opening).await
    }

    /// A connection to an instance through another proxy; there is no handshake.
    pub fn through_proxy(stream: TcpStream) -> Result<Self, ConnError> {
        let (reader, writer) = stream::split(stream)?;
        Ok(Self::new(reader, writer, None))
    }

    fn new(reader: Reader, writer: Writer, customer: Option<CustomerId>) -> Self {
        Self {
            reader,
            writer,
            customer,
            values: Values::new(),
            prepared: IndexMap::new(),
            names: 0,
            proof: None,
            state: TxState::Idle,
            took: None,
            last_log_end: None,
            opened: clock::now(),
        }
    }

    /// The customer for which it was opened.
    pub fn customer(&self) -> Option<&CustomerId> {
        self.customer.as_ref()
    }

    /// When the connection was known to be open.
    pub fn opened(&self) -> Time {
        self.opened
    }

    /// State that the instance holds for this connection.
    pub fn held(&self) -> Held {
        let prepared = self.prepared.iter();
        Held {
            values: self.values.clone(),
            prepared: prepared.map(|(s, name)| Held::prepared(s, name)).collect(),
            names: self.names,
        }
    }

    /// Sets the state that the instance holds, as another proxy reports it.
    pub fn set_held(&mut self, held: &Held) {
        self.values.clone_from(&held.values);
        self.prepared = held.shapes();
        self.names = held.names;
    }

    /// Sets the outcome of statements that another proxy ran.
    pub fn set_outcome(
        &mut self,
        proof: Option<Proof>,
        took: Option<Span>,
        last_log_end: Option<Point>,
    ) {
        self.proof = proof;
        self.took = took;
        self.last_log_end = last_log_end;
    }

    /// Takes the end of the instance's log, if a response showed it since the last call.
    pub fn take_log_end(&mut self) -> Option<Point> {
        self.last_log_end.take()
    }

    /// Both directions, for forwarding lines unchanged.
    pub fn halves(&mut self) -> (&mut Reader, &mut Writer) {
        (&mut self.reader, &mut self.writer)
    }

    /// Sends bytes unchanged.
    pub async fn send(&mut self, bytes: Vec<u8>) -> Result<(), ConnError> {
        Ok(self.writer.send(bytes).await?)
    }

    /// Waits for one line.
    pub async fn line(&mut self, limit: Duration) -> Result<&[u8], ConnError> {
        with_timeout(limit, async { Ok(self.reader.line().await?) }).await
    }

    /// Waits for a line that may be long, as [`Reader::long_line`] does.
    pub async fn long_line(
        &mut self,
        first_timeout: Span,
        next_timeout: Span,
    ) -> Result<&[u8], ConnError> {
        let (first, next) = (first_timeout.as_duration(), next_timeout.as_duration());
        Ok(self.reader.long_line(first, next).await?)
    }

    /// Whether no transaction is open on the connection.
    pub fn is_idle(&self) -> bool {
        self.state == TxState::Idle
    }

    /// Takes the proof of the end of the primary's log, if there is one since the last call.
    pub fn take_proof(&mut self) -> Option<Proof> {
        self.proof.take()
    }

    /// Takes the response time of the last statement, if one ran since the last call.
    pub fn take_duration(&mut self) -> Option<Span> {
        self.took.take()
    }

    /// Records that the response to a query of time `since` shows the instance to be the primary.
    pub fn record_proof(&mut self, since: Time, response: &Response) {
        if let Some(point) = response.point {
            self.proof = Some(Proof { since, point });
        }
    }

    /// Sets up the state that a statement needs. If the instance rejects a step, the first error
    /// is returned, and no statement of the caller has run.
    pub async fn set_up(
        &mut self,
        setup: Setup<'_>,
        limit: Duration,
    ) -> Result<SetupOutcome, ConnError> {
        let (buf, steps) = self.plan_setup(setup);
        if steps.is_empty() {
            return Ok(SetupOutcome::Ready);
        }
        let since = clock::now();
        with_timeout(limit, async {
            self.writer.send(buf).await?;
            let mut rejection = None;
            for step in steps {
                let response = self.read_response().await?;
                match (response.code, step) {
                    (Some(code), _) => rejection = rejection.or(Some(code)),
                    (None, SetupStep::Leadership) => self.record_proof(since, &response),
                    (None, SetupStep::Other) => {}
                }
            }
            Ok(rejection.map_or(SetupOutcome::Ready, SetupOutcome::Rejected))
        })
        .await
    }

    fn plan_setup(&mut self, setup: Setup<'_>) -> (Vec<u8>, Vec<SetupStep>) {
        let mut buf = Vec::new();
        let mut steps = Vec::new();
        let mut put = |own: &ProxyStatement<'_>, step| {
            line::put_proxy_statement(&mut buf, own);
            steps.push(step);
        };
        let has_removed = |values: &Values| self.values.keys().any(|k| !values.contains_key(k));
        let too_many = self.prepared.len() > MAX_PREPARED && self.state == TxState::Idle;
        if setup.values.is_some_and(has_removed) || too_many {
            put(&ProxyStatement::Reset, SetupStep::Other);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in setup.values.into_iter().flatten() {
            if self.values.get(name) != Some(value) {
                put(&ProxyStatement::Set(name, value), SetupStep::Other);
                self.values.insert(name.clone(), value.clone());
            }
        }
        if let Some(shape) = setup.shape.filter(|s| !self.prepared.contains_key(*s)) {
            self.names += 1;
            let name: Arc<str> = format!("p{}", self.names).into();
            put(&ProxyStatement::Prepare(&name, shape), SetupStep::Other);
            self.prepared.insert(shape.clone(), name);
        }
        if setup.verify_primary {
            put(
                &ProxyStatement::Begin(Access::Write, None),
                SetupStep::Leadership,
            );
            put(&ProxyStatement::Rollback, SetupStep::Other);
        }
        if let Some((access, after)) = setup.begin {
            let step = match access {
                Access::Write => SetupStep::Leadership,
                Access::Read => SetupStep::Other,
            };
            put(&ProxyStatement::Begin(access, after), step);
        }
        (buf, steps)
    }

    /// The name of a prepared statement on this connection.
    pub fn prepared_name(&self, shape: &Shape) -> Option<Arc<str>> {
        self.prepared.get(shape).cloned()
    }

    /// Called when the instance does not know a prepared statement that it was assumed to hold.
    pub fn clear_prepared(&mut self) {
        self.prepared.clear();
    }

    /// Sends one statement and waits for its response.
    pub async fn run(&mut self, buf: Vec<u8>, limit: Duration) -> Result<Response, ConnError> {
        let since = clock::now();
        let response = with_timeout(limit, async {
            self.writer.send(buf).await?;
            self.read_response().await
        });
        let response = response.await?;
        self.took = Some(clock::now().since(since));
        Ok(response)
    }

    /// Rolls back the open transaction.
    pub async fn roll_back(&mut self, limit: Duration) -> Result<(), ConnError> {
        let mut buf = Vec::new();
        line::put_proxy_statement(&mut buf, &ProxyStatement::Rollback);
        let response = with_timeout(limit, async {
            self.writer.send(buf).await?;
            self.read_response().await
        });
        match response.await?.state {
            TxState::Idle => Ok(()),
            TxState::Open | TxState::Failed => Err(ConnError::Timeout),
        }
    }

    /// Sends a status query or command; the response contains the instance's role and log.
    pub async fn state(
        &mut self,
        own: &ProxyStatement<'_>,
        limit: Duration,
    ) -> Result<State, ConnError> {
        let response = self.execute(own, limit).await?;
        match response.code {
            Some(code) => Err(ConnError::Refused(code)),
            None => parse_state(&response),
        }
    }

    /// A lower bound of the end of the instance's log: the end of what it has received or, if it
    /// has no free slot for the query, of what it has applied.
    pub async fn log_end(&mut self, limit: Duration) -> Result<Option<Point>, ConnError> {
        let response = self.execute(&ProxyStatement::Status, limit).await?;
        // This response time must not count as one of callers' statements.
        self.took = None;
        match response.code {
            Some(Code::Busy) => Ok(response.point),
            Some(code) => Err(ConnError::Refused(code)),
            None => parse_state(&response).map(|state| Some(state.received)),
        }
    }

    async fn execute(
        &mut self,
        own: &ProxyStatement<'_>,
        limit: Duration,
    ) -> Result<Response, ConnError> {
        let mut buf = Vec::new();
        line::put_proxy_statement(&mut buf, own);
        self.run(buf, limit).await
    }

    async fn read_response(&mut self) -> Result<Response, ConnError> {
        let mut lines = Vec::new();
        let mut code = None;
        loop {
            let text = self.reader.line().await?;
            match line::reply(text)? {
                Reply::Ready { state, point } => {
                    self.state = state;
                    self.last_log_end = point.or(self.last_log_end);
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

    /// Closes the connection as the protocol requires.
    pub async fn close(mut self) {
        let mut buf = Vec::new();
        line::put_bye(&mut buf);
        // Without this message the instance closes the connection as well.
        let _ = self.writer.send(buf).await;
        let _ = self.writer.finish().await;
    }
}

fn parse_state(response: &Response) -> Result<State, ConnError> {
    let row = response.lines.split(|b| *b == b'\r').next();
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
    /// The instance rejected a step.
    Rejected(Code),
}

#[derive(Clone, Copy)]
enum SetupStep {
    /// Success proves that the instance is the primary.
    Leadership,
    Other,
}

async fn with_timeout<T>(
    limit: Duration,
    exchange: impl Future<Output = Result<T, ConnError>>,
) -> Result<T, ConnError> {
    match compio::time::timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_) => Err(ConnError::Timeout),
    }
}

/// Appends a caller's statement in the form for this connection; `false` if it is not prepared
/// there.
pub fn put_statement(
    conn: &Conn,
    buf: &mut Vec<u8>,
    id: &StatementId,
    after: Option<Point>,
    payload: &Payload,
) -> bool {
    match payload {
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

/// The content of a caller's statement.
#[derive(Clone, Debug)]
pub enum Payload {
    /// A statement with its own text.
    Text(Arc<str>),
    /// A prepared statement, with the text that follows its name in the call.
    Prepared(Shape, Arc<str>),
}

impl Payload {
    /// The prepared statement that it needs.
    pub fn shape(&self) -> Option<&Shape> {
        match self {
            Self::Text(_) => None,
            Self::Prepared(shape, _) => Some(shape),
        }
    }
}
