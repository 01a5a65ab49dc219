//! The beginning of a connection: encryption refused, cancel requests, start-up.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use bytes::BytesMut;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::{self, SecretKey};
use pgwire::messages::{DecodeContext, PgWireBackendMessage as Back};
use pgwire::messages::{
    PgWireFrontendMessage as Front, ProtocolVersion, SslNegotiationMetaMessage,
};

use super::server::Server;
use super::session::{error, put, ready};
use super::sql::SqlError;
use super::wire::Wire;

/// A place among an instance's connections, given back when dropped.
pub(crate) struct Place(Rc<Cell<usize>>);

impl Place {
    fn take(taken: &Rc<Cell<usize>>) -> Self {
        taken.set(taken.get() + 1);
        Self(Rc::clone(taken))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection that has started up.
pub(crate) struct Opened {
    /// Its place among the instance's connections.
    pub(crate) place: Place,
    /// Bytes that came behind the start-up message.
    pub(crate) buf: BytesMut,
    pub(crate) cx: DecodeContext,
}

/// Starts a connection up; `None` when it asked for no session or is refused.
///
/// It counts among the `taken` places from its start-up message on. The socket of a
/// viewer that is cut off connects on loopback, where a real one would not: it must not
/// take a place before a byte has arrived.
pub(crate) async fn open(
    wire: &mut Wire,
    server: &Server,
    key: i32,
    taken: &Rc<Cell<usize>>,
) -> io::Result<Option<Opened>> {
    let mut cx = DecodeContext::default();
    let mut buf = BytesMut::new();
    if !first_message(wire, server, &mut buf, &mut cx).await? {
        return Ok(None);
    }
    let place = Place::take(taken);
    cx.awaiting_frontend_startup = false;
    cx.protocol_version = ProtocolVersion::PROTOCOL3_0;
    server.running().await;
    let (connect, limit) = {
        let knobs = server.knobs.borrow();
        (knobs.connect, knobs.limit)
    };
    compio::time::sleep(connect).await;
    let mut out = BytesMut::new();
    if taken.get() > limit {
        put(
            &mut out,
            &error(&SqlError::new("53300", "too many connections")),
        );
        wire.write(&mut out).await?;
        return Ok(None);
    }
    greet(&mut out, key);
    wire.write(&mut out).await?;
    Ok(Some(Opened { place, buf, cx }))
}

/// Reads up to the start-up message; false when the connection asked for something else.
async fn first_message(
    wire: &mut Wire,
    server: &Server,
    buf: &mut BytesMut,
    cx: &mut DecodeContext,
) -> io::Result<bool> {
    let mut out = BytesMut::new();
    loop {
        match Front::decode(buf, cx).map_err(io::Error::other)? {
            None => {
                if !wire.read(buf).await? {
                    return Ok(false);
                }
            }
            Some(Front::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                cx.awaiting_frontend_ssl = false;
            }
            Some(Front::SslNegotiation(_)) => {
                out.extend_from_slice(b"N");
                wire.write(&mut out).await?;
            }
            Some(Front::CancelRequest(cancel)) => {
                server.cancel(cancel.pid);
                return Ok(false);
            }
            Some(_) => return Ok(true),
        }
    }
}

fn greet(out: &mut BytesMut, key: i32) {
    put(out, &Back::Authentication(startup::Authentication::Ok));
    let parameters = [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        let status = startup::ParameterStatus::new(name.to_owned(), value.to_owned());
        put(out, &Back::ParameterStatus(status));
    }
    let data = startup::BackendKeyData::new(key, SecretKey::I32(key));
    put(out, &Back::BackendKeyData(data));
    put(out, &ready(TransactionStatus::Idle));
}
