//! A connection to an instance on which status rows are asked for and orders given.

use std::net::{IpAddr, SocketAddr};

use bytes::BytesMut;
use compio::buf::BufResult;
use compio::io::{AsyncRead as _, AsyncWriteExt as _};
use compio::net::TcpStream;
use model::unit::Span;
use pg::scram;
use pgwire::messages::startup::{Authentication, Password, SASLInitialResponse, SASLResponse};
use pgwire::messages::startup::{PasswordMessageFamily, Startup};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, data, simplequery,
};
use policy::route::Failure;
use policy::status::{Role, Status};

use crate::backend;

const READ_BUFFER: usize = 2 << 10;

/// Columns of a status row.
const COLUMNS: usize = 6;

/// Whom to connect to, and as whom.
#[derive(Clone, Debug)]
pub(super) struct Login {
    pub(super) address: SocketAddr,
    /// Own address that the connection comes from.
    pub(super) source: IpAddr,
    pub(super) user: String,
    pub(super) database: String,
    pub(super) password: Option<String>,
}

/// An open connection, ready for a question.
///
/// The two halves share the socket: questions may be written while answers are awaited.
pub(super) struct Connection {
    pub(super) tx: Writer,
    pub(super) rx: Reader,
}

/// The half that sends questions.
pub(super) struct Writer(TcpStream);

/// The half that receives answers, in the order of the questions.
pub(super) struct Reader {
    stream: TcpStream,
    buf: BytesMut,
}

impl Connection {
    pub(super) async fn open(login: &Login) -> Result<Self, Failure> {
        let stream = backend::dial(login.source, login.address)
            .await
            .map_err(|e| match e.kind() {
                std::io::ErrorKind::ConnectionRefused => Failure::Refused,
                _ => Failure::Timeout,
            })?;
        let tx = Writer(stream.clone());
        let buf = BytesMut::new();
        let mut connection = Self {
            tx,
            rx: Reader { stream, buf },
        };
        connection.start(login).await?;
        Ok(connection)
    }

    /// Asks one question and waits for its answer.
    pub(super) async fn ask(&mut self, sql: &str) -> Result<Status, Failure> {
        self.tx.send(sql).await?;
        self.rx.status().await
    }

    async fn start(&mut self, login: &Login) -> Result<(), Failure> {
        let mut startup = Startup::new();
        for (name, value) in [("user", &login.user), ("database", &login.database)] {
            startup.parameters.insert(name.to_owned(), value.clone());
        }
        self.tx
            .write(&PgWireFrontendMessage::Startup(startup))
            .await?;
        let mut scram = scram::Client::new();
        loop {
            match self.rx.message().await? {
                PgWireBackendMessage::Authentication(step) => {
                    self.authenticate(login, &mut scram, step).await?;
                }
                // A server without a free connection refuses like this; it is alive, but
                // of no use now.
                PgWireBackendMessage::ErrorResponse(_) => return Err(Failure::Protocol),
                PgWireBackendMessage::ReadyForQuery(_) => return Ok(()),
                _ => {}
            }
        }
    }

    async fn authenticate(
        &mut self,
        login: &Login,
        scram: &mut scram::Client,
        step: Authentication,
    ) -> Result<(), Failure> {
        let password = login.password.as_deref().unwrap_or_default();
        let reply = match step {
            Authentication::Ok => return Ok(()),
            Authentication::CleartextPassword => {
                PasswordMessageFamily::Password(Password::new(password.to_owned()))
            }
            Authentication::SASL(_) => {
                let data = scram.first().into_bytes().into();
                let mechanism = scram::MECHANISM.to_owned();
                let first = SASLInitialResponse::new(mechanism, Some(data));
                PasswordMessageFamily::SASLInitialResponse(first)
            }
            Authentication::SASLContinue(data) => {
                let answer = scram.answer(password, &data);
                let answer = answer.map_err(|_| Failure::Protocol)?;
                PasswordMessageFamily::SASLResponse(SASLResponse::new(answer.into_bytes().into()))
            }
            Authentication::SASLFinal(data) => {
                return scram.verify(&data).map_err(|_| Failure::Protocol);
            }
            _ => return Err(Failure::Protocol),
        };
        let reply = PgWireFrontendMessage::PasswordMessageFamily(reply);
        self.tx.write(&reply).await
    }
}

impl Writer {
    pub(super) async fn send(&mut self, sql: &str) -> Result<(), Failure> {
        let query = simplequery::Query::new(sql.to_owned());
        self.write(&PgWireFrontendMessage::Query(query)).await
    }

    async fn write(&mut self, message: &PgWireFrontendMessage) -> Result<(), Failure> {
        let mut buf = BytesMut::new();
        message.encode(&mut buf).map_err(|_| Failure::Protocol)?;
        let BufResult(res, _) = self.0.write_all(buf.freeze()).await;
        res.map_err(|_| Failure::Broken)
    }
}

impl Reader {
    /// Reads the answer to the oldest question without one.
    pub(super) async fn status(&mut self) -> Result<Status, Failure> {
        let mut result = Err(Failure::Protocol);
        loop {
            match self.message().await? {
                PgWireBackendMessage::DataRow(row) => {
                    result = status(&row).ok_or(Failure::Protocol);
                }
                PgWireBackendMessage::ReadyForQuery(_) => return result,
                _ => {}
            }
        }
    }

    async fn message(&mut self) -> Result<PgWireBackendMessage, Failure> {
        let cx = DecodeContext::default();
        loop {
            let message = PgWireBackendMessage::decode(&mut self.buf, &cx);
            if let Some(message) = message.map_err(|_| Failure::Protocol)? {
                return Ok(message);
            }
            let chunk = Vec::with_capacity(READ_BUFFER);
            let BufResult(res, chunk) = self.stream.read(chunk).await;
            match res {
                Ok(n) if n > 0 => self.buf.extend_from_slice(&chunk),
                _ => return Err(Failure::Broken),
            }
        }
    }
}

fn status(row: &data::DataRow) -> Option<Status> {
    let fields = fields(row)?;
    let [role, fenced, history, received, applied, heard] = fields.try_into().ok()?;
    Some(Status {
        role: match role.as_str() {
            "primary" => Role::Primary,
            "replica" => Role::Replica,
            _ => return None,
        },
        fenced: fenced.parse().ok()?,
        history: history.parse().ok()?,
        received: received.parse().ok()?,
        applied: applied.parse().ok()?,
        contact_age: Span::from_millis(heard.parse().ok()?),
    })
}

/// The text fields of a row: each a length of four bytes and the bytes themselves.
fn fields(row: &data::DataRow) -> Option<Vec<String>> {
    const LENGTH: usize = 4;
    let mut rest = &row.data[..];
    let mut out = Vec::with_capacity(COLUMNS);
    while let Some((length, tail)) = rest.split_first_chunk::<LENGTH>() {
        let length = usize::try_from(i32::from_be_bytes(*length)).ok()?;
        let (text, tail) = tail.split_at_checked(length)?;
        out.push(String::from_utf8(text.to_vec()).ok()?);
        rest = tail;
    }
    Some(out)
}
