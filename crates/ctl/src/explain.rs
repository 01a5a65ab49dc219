//! Recent decisions of a proxy about a group.

use model::id::GroupId;
use peer::status;
use serde_json::Value;

use crate::error::Failure;
use crate::pages;

/// Reads the decisions, oldest first.
pub async fn read(proxies: &[String], group: &GroupId) -> Result<Vec<Value>, Failure> {
    pages::read(proxies, &format!("{}{group}", status::EXPLAIN)).await
}

/// One decision as a line of `key=value` pairs.
pub fn line(decision: &Value) -> String {
    let Value::Object(fields) = decision else {
        return decision.to_string();
    };
    let pairs = fields.iter().filter(|(_, value)| !value.is_null());
    let pairs = pairs.map(|(key, value)| match value {
        Value::String(text) => format!("{key}={text}"),
        other => format!("{key}={other}"),
    });
    pairs.collect::<Vec<_>>().join(" ")
}
