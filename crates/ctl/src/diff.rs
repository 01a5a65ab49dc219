//! Differences between two configurations.

use std::fmt;

use model::config::Fleet;
use serde_json::Value;

/// Keys whose values are secret; a difference shows only that they differ.
const SECRET_KEYS: [&str; 2] = ["password", "verifier"];

/// One place where two configurations differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Keys and indexes from the root, joined by dots.
    pub path: String,
    /// Value before; `None` when added.
    pub before: Option<String>,
    /// Value after; `None` when removed.
    pub after: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.path),
            (None, Some(after)) => write!(f, "+ {}: {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (None, None) => write!(f, "= {}", self.path),
        }
    }
}

/// Every difference from `before` to `after`, in the order of the document.
pub fn compare(before: &Fleet, after: &Fleet) -> Result<Vec<Difference>, serde_json::Error> {
    let (before, after) = (serde_json::to_value(before)?, serde_json::to_value(after)?);
    let mut differences = Vec::new();
    walk("", Some(&before), Some(&after), &mut differences);
    Ok(differences)
}

fn walk(path: &str, before: Option<&Value>, after: Option<&Value>, out: &mut Vec<Difference>) {
    if before == after {
        return;
    }
    match (before, after) {
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            for key in old
                .keys()
                .chain(new.keys().filter(|k| !old.contains_key(*k)))
            {
                walk(&join(path, key), old.get(key), new.get(key), out);
            }
        }
        (Some(Value::Array(old)), Some(Value::Array(new))) => {
            for at in 0..old.len().max(new.len()) {
                walk(&join(path, &at.to_string()), old.get(at), new.get(at), out);
            }
        }
        _ => out.push(Difference {
            path: path.to_owned(),
            before: before.map(|v| shown(path, v)),
            after: after.map(|v| shown(path, v)),
        }),
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn shown(path: &str, value: &Value) -> String {
    let key = path.rsplit('.').next().unwrap_or(path);
    if SECRET_KEYS.contains(&key) {
        return "(hidden)".to_owned();
    }
    masked(value).to_string()
}

/// A copy of the value without secrets in it.
fn masked(value: &Value) -> Value {
    let Value::Object(object) = value else {
        return value.clone();
    };
    let entries = object.iter().map(|(key, value)| {
        let secret = SECRET_KEYS.contains(&key.as_str());
        let value = if secret {
            Value::from("(hidden)")
        } else {
            masked(value)
        };
        (key.clone(), value)
    });
    Value::Object(entries.collect())
}
