//! A small PostgreSQL client: simple queries, text results, session token.

use std::net;

use bytes::BytesMut;
use compio::buf::BufResult;
use compio::io::{AsyncRead as _, AsyncWriteExt as _};
use compio::net::{TcpSocket, TcpStream};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use pgwire::messages::{data, response, simplequery, startup};

const READ_BUFFER: usize = 16 << 10;

/// Why a request brought no result.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection failed; the fate of a request under way is not known.
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    /// The other end closed the connection.
    #[error("connection closed")]
    Closed,
    /// The other end broke the protocol.
    #[error("protocol: {0}")]
    Protocol(#[from] pgwire::error::PgWireError),
    /// The server asks for a way to log in that this client does not have.
    #[error("the server asks for a password")]
    Password,
    /// The server answered with an error.
    #[error("{0}")]
    Server(ServerError),
}

/// The fields of an error response that callers act on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {message}")]
pub struct ServerError {
    /// SQLSTATE.
    pub code: String,
    /// Message for people.
    pub message: String,
    /// Hint, if any; a refusal names here when to come back.
    pub hint: Option<String>,
}

impl From<response::ErrorResponse> for ServerError {
    fn from(e: response::ErrorResponse) -> Self {
        let field = |tag| {
            let found = e.fields.iter().find(|(t, _)| *t == tag);
            found.map(|(_, text)| text.clone())
        };
        Self {
            code: field(b'C').unwrap_or_default(),
            message: field(b'M').unwrap_or_default(),
            hint: field(b'H'),
        }
    }
}

impl ClientError {
    /// The SQLSTATE, if the server sent one.
    pub fn code(&self) -> Option<&str> {
        match self {
            Self::Server(e) => Some(&e.code),
            _ => None,
        }
    }
}

/// One row of a result, in text.
pub type Row = Vec<Option<String>>;

/// Whom to log in as, and from where.
#[derive(Clone, Debug)]
pub struct Login {
    /// Server address.
    pub address: net::SocketAddr,
    /// Own address, when the test bed tells data centres apart by it.
    pub source: Option<net::IpAddr>,
    /// User name.
    pub user: String,
    /// Database name.
    pub database: String,
    /// Session token of an earlier connection.
    pub session: Option<String>,
}

/// An open connection.
///
/// Invariant: between two calls the server has answered everything that was sent.
#[derive(Debug)]
pub struct Client {
    stream: TcpStream,
    inbox: BytesMut,
    session: Option<String>,
}

impl Client {
    /// Connects and logs in without a password.
    pub async fn connect(login: &Login) -> Result<Self, ClientError> {
        let stream = open(login).await?;
        stream.set_nodelay(true)?;
        let mut client = Self {
            stream,
            inbox: BytesMut::new(),
            session: None,
        };
        client.start(login).await?;
        Ok(client)
    }

    /// The newest session token that the server reported.
    pub fn session(&self) -> Option<&str> {
        self.session.as_deref()
    }

    /// Runs one simple query and returns its rows.
    pub async fn query(&mut self, sql: &str) -> Result<Vec<Row>, ClientError> {
        let query = simplequery::Query::new(sql.to_owned());
        self.send(&PgWireFrontendMessage::Query(query)).await?;
        self.collect().await
    }

    async fn start(&mut self, login: &Login) -> Result<(), ClientError> {
        let mut message = startup::Startup::new();
        let mut set = |name: &str, value: &str| {
            message.parameters.insert(name.to_owned(), value.to_owned());
        };
        set("user", &login.user);
        set("database", &login.database);
        if let Some(token) = &login.session {
            set("options", &format!("-c pomelo.session={token}"));
        }
        self.send(&PgWireFrontendMessage::Startup(message)).await?;
        self.collect().await.map(drop)
    }

    async fn send(&mut self, message: &PgWireFrontendMessage) -> Result<(), ClientError> {
        let mut buf = BytesMut::new();
        message.encode(&mut buf)?;
        let BufResult(res, _) = self.stream.write_all(buf.freeze()).await;
        Ok(res?)
    }

    /// Reads up to the next ready message.
    async fn collect(&mut self) -> Result<Vec<Row>, ClientError> {
        let mut rows = Vec::new();
        let mut failure = None;
        loop {
            let message = match (self.receive().await, failure.take()) {
                // A refused login is an error message followed by the end of the stream.
                (Err(ClientError::Closed), Some(e)) => return Err(ClientError::Server(e)),
                (message, earlier) => {
                    failure = earlier;
                    message?
                }
            };
            match message {
                PgWireBackendMessage::DataRow(row) => rows.push(text_row(&row)),
                PgWireBackendMessage::ErrorResponse(e) => {
                    failure.get_or_insert(ServerError::from(e));
                }
                PgWireBackendMessage::ParameterStatus(p) if p.name == "pomelo.session" => {
                    self.session = Some(p.value);
                }
                PgWireBackendMessage::Authentication(startup::Authentication::Ok) => {}
                PgWireBackendMessage::Authentication(_) => return Err(ClientError::Password),
                PgWireBackendMessage::ReadyForQuery(_) => break,
                _ => {}
            }
        }
        failure.map_or(Ok(rows), |e| Err(ClientError::Server(e)))
    }

    async fn receive(&mut self) -> Result<PgWireBackendMessage, ClientError> {
        let cx = pgwire::messages::DecodeContext::default();
        loop {
            if let Some(message) = PgWireBackendMessage::decode(&mut self.inbox, &cx)? {
                return Ok(message);
            }
            let chunk = Vec::with_capacity(READ_BUFFER);
            let BufResult(res, chunk) = self.stream.read(chunk).await;
            if res? == 0 {
                return Err(ClientError::Closed);
            }
            self.inbox.extend_from_slice(&chunk);
        }
    }
}

async fn open(login: &Login) -> Result<TcpStream, ClientError> {
    let Some(source) = login.source else {
        return Ok(TcpStream::connect(login.address).await?);
    };
    let socket = TcpSocket::new_v4().await?;
    socket.bind(net::SocketAddr::new(source, 0)).await?;
    Ok(socket.connect(login.address).await?)
}

fn text_row(row: &data::DataRow) -> Row {
    let mut rest = &row.data[..];
    let mut out = Vec::with_capacity(usize::try_from(row.field_count).unwrap_or(0));
    while let Some((len, tail)) = rest.split_first_chunk::<4>() {
        let len = usize::try_from(i32::from_be_bytes(*len)).ok();
        let (field, tail) = tail.split_at(len.unwrap_or(0).min(tail.len()));
        out.push(len.map(|_| String::from_utf8_lossy(field).into_owned()));
        rest = tail;
    }
    out
}
