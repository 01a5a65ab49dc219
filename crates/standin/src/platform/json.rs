//! Requests and answers of the etcd v3 JSON gateway: bytes in base64, 64-bit
//! numbers as strings, fields in either spelling.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use super::kv::{Compare, Entry, Event, Keys, Op, OpResult, Relation, Target};

/// Why a request cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Malformed {
    #[error("{0} is not base64")]
    Bytes(&'static str),
    #[error("{0} is not a number")]
    Number(&'static str),
    #[error("{0} is not known")]
    Name(&'static str),
}

fn field<'a>(body: &'a Value, name: &str) -> &'a Value {
    match &body[name] {
        Value::Null => &body[camel(name)],
        found => found,
    }
}

fn camel(name: &str) -> String {
    let mut parts = name.split('_');
    let mut out = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        out.push_str(&part[..1].to_uppercase());
        out.push_str(&part[1..]);
    }
    out
}

pub(crate) fn bytes(body: &Value, name: &'static str) -> Result<Vec<u8>, Malformed> {
    match field(body, name) {
        Value::Null => Ok(Vec::new()),
        Value::String(text) => STANDARD.decode(text).map_err(|_| Malformed::Bytes(name)),
        _ => Err(Malformed::Bytes(name)),
    }
}

pub(crate) fn number(body: &Value, name: &'static str) -> Result<i64, Malformed> {
    match field(body, name) {
        Value::Null => Ok(0),
        Value::String(text) => text.parse().map_err(|_| Malformed::Number(name)),
        Value::Number(n) => n.as_i64().ok_or(Malformed::Number(name)),
        _ => Err(Malformed::Number(name)),
    }
}

pub(crate) fn keys(body: &Value) -> Result<Keys, Malformed> {
    let to = bytes(body, "range_end")?;
    Ok(Keys {
        from: bytes(body, "key")?,
        to: (!to.is_empty()).then_some(to),
    })
}

pub(crate) fn put(body: &Value) -> Result<Op, Malformed> {
    Ok(Op::Put {
        key: bytes(body, "key")?,
        value: bytes(body, "value")?,
        lease: number(body, "lease")?,
    })
}

pub(crate) fn ops(body: &Value, name: &str) -> Result<Vec<Op>, Malformed> {
    let Some(list) = field(body, name).as_array() else {
        return Ok(Vec::new());
    };
    list.iter()
        .map(|op| {
            if let range @ Value::Object(_) = field(op, "request_range") {
                keys(range).map(Op::Range)
            } else if let body @ Value::Object(_) = field(op, "request_put") {
                put(body)
            } else if let range @ Value::Object(_) = field(op, "request_delete_range") {
                keys(range).map(Op::Delete)
            } else {
                Err(Malformed::Name("operation"))
            }
        })
        .collect()
}

pub(crate) fn compares(body: &Value) -> Result<Vec<Compare>, Malformed> {
    let Some(list) = field(body, "compare").as_array() else {
        return Ok(Vec::new());
    };
    list.iter().map(compare).collect()
}

fn compare(body: &Value) -> Result<Compare, Malformed> {
    let target = match field(body, "target").as_str().unwrap_or("VERSION") {
        "VERSION" => Target::Version(number(body, "version")?),
        "CREATE" => Target::Created(number(body, "create_revision")?),
        "MOD" => Target::Modified(number(body, "mod_revision")?),
        "LEASE" => Target::Lease(number(body, "lease")?),
        "VALUE" => Target::Value(bytes(body, "value")?),
        _ => return Err(Malformed::Name("target")),
    };
    let relation = match field(body, "result").as_str().unwrap_or("EQUAL") {
        "EQUAL" => Relation::Equal,
        "NOT_EQUAL" => Relation::NotEqual,
        "GREATER" => Relation::Greater,
        "LESS" => Relation::Less,
        _ => return Err(Malformed::Name("result")),
    };
    Ok(Compare {
        key: bytes(body, "key")?,
        relation,
        target,
    })
}

/// The header that every answer carries.
pub(crate) fn header(revision: i64) -> Value {
    json!({ "revision": revision.to_string() })
}

fn kv(key: &[u8], entry: &Entry) -> Value {
    let mut out = json!({
        "key": STANDARD.encode(key),
        "create_revision": entry.created.to_string(),
        "mod_revision": entry.modified.to_string(),
        "version": entry.version.to_string(),
        "value": STANDARD.encode(&entry.value),
    });
    if entry.lease != 0 {
        out["lease"] = json!(entry.lease.to_string());
    }
    out
}

/// The answer to one operation, without its name.
pub(crate) fn result(result: &OpResult, revision: i64) -> Value {
    let mut out = json!({ "header": header(revision) });
    match result {
        OpResult::Range(entries) if entries.is_empty() => {}
        OpResult::Range(entries) => {
            out["kvs"] = entries.iter().map(|(key, entry)| kv(key, entry)).collect();
            out["count"] = json!(entries.len().to_string());
        }
        OpResult::Put => {}
        OpResult::Delete(count) => out["deleted"] = json!(count.to_string()),
    }
    out
}

/// The answer to a transaction.
pub(crate) fn txn(succeeded: bool, results: &[OpResult], revision: i64) -> Value {
    let responses: Vec<Value> = results
        .iter()
        .map(|r| {
            let name = match r {
                OpResult::Range(_) => "response_range",
                OpResult::Put => "response_put",
                OpResult::Delete(_) => "response_delete_range",
            };
            json!({ name: result(r, revision) })
        })
        .collect();
    let mut out = json!({ "header": header(revision), "responses": responses });
    if succeeded {
        out["succeeded"] = json!(true);
    }
    out
}

/// One message of a watch.
pub(crate) fn event(event: &Event) -> Value {
    let body = match &event.entry {
        Some(entry) => json!({ "kv": kv(&event.key, entry) }),
        None => json!({
            "type": "DELETE",
            "kv": { "key": STANDARD.encode(&event.key), "mod_revision": event.revision.to_string() },
        }),
    };
    json!({ "result": { "header": header(event.revision), "events": [body] } })
}
