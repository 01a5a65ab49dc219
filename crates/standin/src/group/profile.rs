//! The replication functions that an instance answers.

use std::net::SocketAddr;
use std::time::Duration;

use model::position::{Position, Term};

use super::sql::SqlError;

/// Columns of the status row, all of type text.
pub(crate) const COLUMNS: [&str; 6] = [
    "role", "fenced", "history", "received", "applied", "heard_ms",
];

/// One call of a replication function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    Status,
    Wait(Position, Duration),
    Point,
    Fence(Term),
    Promote(Term),
    Follow(Term, SocketAddr),
}

/// Reads a call; `None` when the statement calls no replication function.
pub(crate) fn parse(sql: &str) -> Option<Result<Call, SqlError>> {
    let rest = sql.split_once("replication_")?.1;
    let (name, rest) = rest.split_once('(')?;
    let (args, _) = rest.split_once(')')?;
    let args: Vec<&str> = args
        .split(',')
        .map(|arg| arg.trim().trim_matches('\''))
        .filter(|arg| !arg.is_empty())
        .collect();
    Some(call(name, &args))
}

fn call(name: &str, args: &[&str]) -> Result<Call, SqlError> {
    let number = |at: usize| -> Result<u64, SqlError> {
        let arg = args.get(at).ok_or_else(SqlError::parameter)?;
        arg.parse().map_err(|_| SqlError::parameter())
    };
    Ok(match name {
        "status" => Call::Status,
        "wait" => Call::Wait(Position(number(0)?), Duration::from_millis(number(1)?)),
        "point" => Call::Point,
        "fence" => Call::Fence(Term(number(0)?)),
        "promote" => Call::Promote(Term(number(0)?)),
        "follow" => {
            let address = args.get(1).ok_or_else(SqlError::parameter)?;
            let address = address.parse().map_err(|_| SqlError::parameter())?;
            Call::Follow(Term(number(0)?), address)
        }
        other => return Err(SqlError::undefined_function(other)),
    })
}
