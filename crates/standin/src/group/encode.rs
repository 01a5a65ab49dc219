//! Values on the wire, in text and binary form.

use bytes::Bytes;
use bytes::{BufMut, BytesMut};
use pgwire::messages::data;
use rusqlite::types::Value;

use super::sql::SqlError;

/// Type numbers of PostgreSQL's catalogue.
pub(crate) mod oid {
    pub(crate) const BOOL: u32 = 16;
    pub(crate) const BYTEA: u32 = 17;
    pub(crate) const INT8: u32 = 20;
    pub(crate) const INT2: u32 = 21;
    pub(crate) const INT4: u32 = 23;
    pub(crate) const TEXT: u32 = 25;
    pub(crate) const FLOAT4: u32 = 700;
    pub(crate) const FLOAT8: u32 = 701;
    pub(crate) const VARCHAR: u32 = 1043;
}

/// Binary in a format code.
pub(crate) const BINARY: i16 = 1;

/// The format of one column or parameter, as format code lists abbreviate it.
pub(crate) fn format_at(codes: &[i16], at: usize) -> i16 {
    match codes {
        [] => 0,
        [one] => *one,
        many => many.get(at).copied().unwrap_or(0),
    }
}

/// Reads a parameter.
pub(crate) fn decode(raw: Option<&Bytes>, oid: u32, format: i16) -> Result<Value, SqlError> {
    let Some(raw) = raw else {
        return Ok(Value::Null);
    };
    if format == BINARY {
        return decode_binary(raw, oid);
    }
    let text = std::str::from_utf8(raw).map_err(|_| SqlError::parameter())?;
    decode_text(text, oid)
}

fn decode_text(text: &str, oid: u32) -> Result<Value, SqlError> {
    let bad = |_| SqlError::parameter();
    Ok(match oid {
        oid::INT2 | oid::INT4 | oid::INT8 => Value::Integer(text.trim().parse().map_err(bad)?),
        oid::FLOAT4 | oid::FLOAT8 => {
            Value::Real(text.trim().parse().map_err(|_| SqlError::parameter())?)
        }
        oid::BOOL => Value::Integer(i64::from(matches!(text, "t" | "true" | "1" | "on" | "yes"))),
        _ => Value::Text(text.to_owned()),
    })
}

fn fixed<const N: usize>(raw: &[u8]) -> Result<[u8; N], SqlError> {
    raw.try_into().map_err(|_| SqlError::parameter())
}

fn decode_binary(raw: &[u8], oid: u32) -> Result<Value, SqlError> {
    Ok(match oid {
        oid::BOOL => Value::Integer(i64::from(fixed::<1>(raw)?[0])),
        oid::INT2 => Value::Integer(i16::from_be_bytes(fixed(raw)?).into()),
        oid::INT4 => Value::Integer(i32::from_be_bytes(fixed(raw)?).into()),
        oid::INT8 => Value::Integer(i64::from_be_bytes(fixed(raw)?)),
        oid::FLOAT4 => Value::Real(f32::from_be_bytes(fixed(raw)?).into()),
        oid::FLOAT8 => Value::Real(f64::from_be_bytes(fixed(raw)?)),
        oid::BYTEA => Value::Blob(raw.to_vec()),
        _ => {
            let text = std::str::from_utf8(raw).map_err(|_| SqlError::parameter())?;
            Value::Text(text.to_owned())
        }
    })
}

/// Writes one row.
pub(crate) fn row(values: &[Value], oids: &[u32], formats: &[i16]) -> data::DataRow {
    let mut buf = BytesMut::new();
    for (at, value) in values.iter().enumerate() {
        let oid = oids.get(at).copied().unwrap_or(oid::TEXT);
        let start = buf.len();
        buf.put_i32(-1);
        if matches!(value, Value::Null) {
            continue;
        }
        if format_at(formats, at) == BINARY {
            put_binary(&mut buf, value, oid);
        } else {
            put_text(&mut buf, value, oid);
        }
        let len = i32::try_from(buf.len() - start - 4).unwrap_or(i32::MAX);
        buf[start..start + 4].copy_from_slice(&len.to_be_bytes());
    }
    data::DataRow::new(buf, i16::try_from(values.len()).unwrap_or(i16::MAX))
}

fn put_text(buf: &mut BytesMut, value: &Value, oid: u32) {
    match value {
        Value::Null => {}
        Value::Integer(n) if oid == oid::BOOL => buf.put_u8(if *n != 0 { b't' } else { b'f' }),
        Value::Integer(n) => buf.put_slice(n.to_string().as_bytes()),
        Value::Real(x) => buf.put_slice(x.to_string().as_bytes()),
        Value::Text(text) => buf.put_slice(text.as_bytes()),
        Value::Blob(bytes) => {
            buf.put_slice(b"\\x");
            for byte in bytes {
                buf.put_slice(format!("{byte:02x}").as_bytes());
            }
        }
    }
}

fn put_binary(buf: &mut BytesMut, value: &Value, oid: u32) {
    match (oid, value) {
        (oid::BOOL, Value::Integer(n)) => buf.put_u8(u8::from(*n != 0)),
        (oid::INT2, Value::Integer(n)) => buf.put_i16(i16::try_from(*n).unwrap_or(i16::MAX)),
        (oid::INT4, Value::Integer(n)) => buf.put_i32(i32::try_from(*n).unwrap_or(i32::MAX)),
        (oid::INT8, Value::Integer(n)) => buf.put_i64(*n),
        (oid::FLOAT4, Value::Real(x)) => buf.put_f32(*x as f32),
        (oid::FLOAT8, Value::Real(x)) => buf.put_f64(*x),
        (oid::FLOAT8, Value::Integer(n)) => buf.put_f64(*n as f64),
        (_, Value::Blob(bytes)) => buf.put_slice(bytes),
        _ => put_text(buf, value, oid),
    }
}
