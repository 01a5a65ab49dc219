//! What instances of one group tell each other.

use std::net::SocketAddr;

use model::id::InstanceId;
use model::position::{History, Position, Term};

use super::record::Record;

/// Part that an instance plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows the server at this address.
    Replica(SocketAddr),
}

/// A message between instances.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// A replica asks its primary for records after `received`, and shows that it lives.
    Pull {
        from: InstanceId,
        address: SocketAddr,
        term: Term,
        history: History,
        received: Position,
    },
    /// A primary's records from `after` on; without any it is a sign of life.
    Records {
        term: Term,
        /// The primary's history, by which a replica finds a divergent tail.
        history: History,
        after: Position,
        records: Vec<Record>,
    },
}

impl Message {
    /// Rough size on a link, in bytes.
    pub(crate) fn size(&self) -> usize {
        const FIXED: usize = 64;
        match self {
            Self::Pull { .. } => FIXED,
            Self::Records { records, .. } => {
                FIXED + records.iter().map(Record::size).sum::<usize>()
            }
        }
    }
}

/// The last position up to which two logs agree.
pub(crate) fn common(a: &History, a_end: Position, b: &History, b_end: Position) -> Position {
    let shared = a
        .starts()
        .iter()
        .zip(b.starts())
        .take_while(|(x, y)| x == y)
        .count();
    let end = |history: &History, end: Position| {
        let next = history.starts().get(shared);
        next.map_or(end, |start| start.position.min(end))
    };
    if shared == 0 {
        return Position(0);
    }
    end(a, a_end).min(end(b, b_end))
}

/// The part of a history that a log of this length has reached.
pub(crate) fn reached(history: &History, end: Position) -> History {
    let starts = history
        .starts()
        .iter()
        .filter(|start| start.position <= end)
        .copied()
        .collect();
    History::new(starts).unwrap_or_default()
}
