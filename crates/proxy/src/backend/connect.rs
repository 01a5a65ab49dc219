//! Opening connections to backend servers, and cancelling what runs on one.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::{Buf as _, BytesMut};
use compio::net::{TcpSocket, TcpStream};
use indexmap::{IndexMap, IndexSet};
use pg::frame::{Frame, Splitter};
use pg::scram::{self, ScramError};
use pg::startup::{self, Key};
use pg::wire::{Stream, Wire, WireError};
use pg::{report, tag};
use pgwire::messages::{self, startup as message};

use super::{Conn, Login, MESSAGE_LIMIT, Path, Tracker};
use crate::relay::RelayError;

/// Most messages of a server before it is ready; it bounds a login that never ends.
const MAX_MESSAGES: usize = 200;

/// Time for sending a cancel request; it is sent without being awaited.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The socket failed or broke the protocol.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// There was no connection in time.
    #[error("no connection within {} ms", .0.as_millis())]
    Timeout(Duration),
    /// The server refuses the session.
    #[error("the server refuses the session: {code} {message}")]
    Refused {
        /// SQLSTATE.
        code: String,
        /// The server's message.
        message: String,
    },
    /// There is no way through the peer that reaches the server.
    #[error("no way through a peer: {0}")]
    Relay(#[from] RelayError),
    /// The server's password exchange failed.
    #[error("password exchange with the server: {0}")]
    Scram(#[from] ScramError),
    /// The server asks for a password and none is configured.
    #[error("the server asks for a password and none is configured")]
    NoPassword,
    /// The server asks for another kind of login.
    #[error("the server asks for a login that is not supported")]
    Unsupported,
    /// The server's messages make no sense.
    #[error("the server breaks the protocol")]
    Protocol,
}

impl From<io::Error> for ConnectError {
    fn from(e: io::Error) -> Self {
        Self::Wire(WireError::Io(e))
    }
}

/// Opens a connection and logs in, within `limit`.
pub async fn connect(path: Path, login: &Login, limit: Duration) -> Result<Conn, ConnectError> {
    let opened = compio::time::timeout(limit, open(path, login)).await;
    opened.unwrap_or(Err(ConnectError::Timeout(limit)))
}

async fn reach(path: &Path) -> Result<TcpStream, ConnectError> {
    match &path.via {
        Some(via) => Ok(via.relay.open(path.local, &via.peer, &via.goal).await?),
        None => Ok(dial(path.local, path.remote).await?),
    }
}

/// Opens a socket from the own address.
pub(crate) async fn dial(local: IpAddr, remote: SocketAddr) -> io::Result<TcpStream> {
    let socket = match remote {
        SocketAddr::V4(_) => TcpSocket::new_v4().await?,
        SocketAddr::V6(_) => TcpSocket::new_v6().await?,
    };
    if local.is_ipv4() == remote.is_ipv4() {
        socket.bind(SocketAddr::new(local, 0)).await?;
    }
    socket.set_nodelay(true)?;
    socket.connect(remote).await
}

async fn open(path: Path, login: &Login) -> Result<Conn, ConnectError> {
    let mut wire = Wire::new(Stream::Plain(reach(&path).await?));
    let params: IndexMap<_, _> = [
        ("user", login.user.as_str()),
        ("database", &login.database),
        ("client_encoding", "UTF8"),
        ("application_name", "pomelo-proxy"),
    ]
    .map(|(name, value)| (name.to_owned(), value.to_owned()))
    .into();
    wire.write(startup::encode(&params)).await?;
    authenticate(&mut wire, login).await?;
    let key = await_ready(&mut wire).await?;
    Ok(Conn {
        wire,
        splitter: Splitter::default(),
        tracker: Tracker::default(),
        path,
        key,
        opened: Instant::now(),
        prepared: IndexSet::new(),
        vars: IndexMap::new(),
    })
}

/// Reads up to the server's acceptance of the login.
async fn authenticate(wire: &mut Wire, login: &Login) -> Result<(), ConnectError> {
    let mut client = scram::Client::new();
    for _ in 0..MAX_MESSAGES {
        let frame = checked(wire.frame(MESSAGE_LIMIT).await?)?;
        if frame.tag != tag::AUTHENTICATION {
            continue;
        }
        let mut body = frame.body();
        if body.len() < 4 {
            return Err(ConnectError::Protocol);
        }
        let code = body.get_u32();
        if code == AUTH_OK {
            return Ok(());
        }
        let password = login.password.as_ref().ok_or(ConnectError::NoPassword)?;
        match code {
            AUTH_CLEARTEXT => {
                let answer = message::Password::new(password.clone());
                send(wire, &answer).await?;
            }
            AUTH_SASL => {
                let first = client.first().into();
                let name = scram::MECHANISM.to_owned();
                let answer = message::SASLInitialResponse::new(name, Some(first));
                send(wire, &answer).await?;
            }
            AUTH_SASL_CONTINUE => {
                let proof = client.answer(password, &body)?;
                send(wire, &message::SASLResponse::new(proof.into())).await?;
            }
            AUTH_SASL_FINAL => client.verify(&body)?,
            _ => return Err(ConnectError::Unsupported),
        }
    }
    Err(ConnectError::Protocol)
}

const AUTH_OK: u32 = 0;
const AUTH_CLEARTEXT: u32 = 3;
const AUTH_SASL: u32 = 10;
const AUTH_SASL_CONTINUE: u32 = 11;
const AUTH_SASL_FINAL: u32 = 12;

/// Reads up to the first ready message; returns the key for cancelling.
async fn await_ready(wire: &mut Wire) -> Result<Key, ConnectError> {
    let mut key = Key::default();
    for _ in 0..MAX_MESSAGES {
        let frame = checked(wire.frame(MESSAGE_LIMIT).await?)?;
        let mut body = frame.body();
        match frame.tag {
            tag::KEY_DATA if body.len() >= 8 => {
                key.pid = body.get_i32();
                key.secret = body.get_i32();
            }
            tag::READY => return Ok(key),
            _ => {}
        }
    }
    Err(ConnectError::Protocol)
}

fn checked(frame: Frame) -> Result<Frame, ConnectError> {
    if frame.tag != tag::ERROR {
        return Ok(frame);
    }
    let body = frame.body();
    let field = |name| report::field(&body, name).unwrap_or_default().to_owned();
    Err(ConnectError::Refused {
        code: field(b'C'),
        message: field(b'M'),
    })
}

async fn send<M: messages::Message>(wire: &mut Wire, message: &M) -> Result<(), ConnectError> {
    let mut buf = BytesMut::new();
    message
        .encode(&mut buf)
        .map_err(|_| ConnectError::Protocol)?;
    Ok(wire.write(buf.freeze()).await?)
}

/// Asks the server to cancel what runs on the connection with this key.
pub async fn cancel(path: Path, key: Key) {
    let sent = compio::time::timeout(CANCEL_TIMEOUT, async {
        let mut wire = Wire::new(Stream::Plain(reach(&path).await?));
        Ok::<_, ConnectError>(wire.write(startup::encode_cancel(key)).await?)
    });
    if !matches!(sent.await, Ok(Ok(()))) {
        tracing::warn!(server = %path.remote, "cancel request failed");
    }
}
