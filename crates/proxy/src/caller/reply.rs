//! Messages that the proxy writes itself.

use bytes::{BufMut as _, Bytes, BytesMut};
use pg::tag;

use crate::backend::Status;

/// Type of text columns.
const TEXT_OID: i32 = 25;

/// A message of a type and a body.
pub(super) fn message(tag: u8, body: &[u8]) -> Bytes {
    let mut buf = BytesMut::with_capacity(body.len() + 5);
    buf.put_u8(tag);
    buf.put_u32(u32::try_from(body.len() + 4).unwrap_or(u32::MAX));
    buf.put_slice(body);
    buf.freeze()
}

/// The server is ready for the next request.
pub(super) fn ready(status: Status) -> [u8; 6] {
    [tag::READY, 0, 0, 0, 5, status.byte()]
}

/// A parameter of the session.
pub(super) fn parameter(name: &str, value: &str) -> Bytes {
    let mut body = Vec::with_capacity(name.len() + value.len() + 2);
    for text in [name, value] {
        body.extend_from_slice(text.as_bytes());
        body.push(0);
    }
    message(tag::PARAMETER_STATUS, &body)
}

/// A statement is complete.
pub(super) fn complete(command: &str) -> Bytes {
    let mut body = command.as_bytes().to_vec();
    body.push(0);
    message(tag::COMMAND_COMPLETE, &body)
}

/// The description of one text column.
pub(super) fn column(name: &str) -> Bytes {
    let mut body = BytesMut::new();
    body.put_i16(1);
    body.put_slice(name.as_bytes());
    body.put_u8(0);
    body.put_i32(0);
    body.put_i16(0);
    body.put_i32(TEXT_OID);
    body.put_i16(-1);
    body.put_i32(-1);
    body.put_i16(0);
    message(tag::ROW_DESCRIPTION, &body)
}

/// A row of one text column.
pub(super) fn row(value: &str) -> Bytes {
    let mut body = BytesMut::new();
    body.put_i16(1);
    body.put_i32(i32::try_from(value.len()).unwrap_or(0));
    body.put_slice(value.as_bytes());
    message(tag::DATA_ROW, &body)
}

/// The parameters of a statement that takes none.
pub(super) fn no_parameters() -> Bytes {
    message(tag::PARAMETER_DESCRIPTION, &[0, 0])
}
