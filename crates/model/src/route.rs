//! Routes from databases to groups, as the operators declare them.

use indexmap::IndexMap;

use crate::id::{Database, GroupId};
use crate::unit::Span;

/// What a session may rely on when it reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum Guarantee {
    /// Every write acknowledged to anyone.
    Newest,
    /// Every write that was acknowledged longer ago than the span.
    Bounded(Span),
    /// The same, and every write of the session itself.
    OwnWrites(Span),
}

/// Where the statements of a database go, and within which limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The group that holds the database.
    pub group: GroupId,
    /// What reads rely on.
    pub guarantee: Guarantee,
    /// Longest time that one statement may take.
    pub time_limit: Span,
    /// Time within which callers want a whole operation answered.
    pub objective: Span,
    /// Rank under load; 0 goes first.
    pub priority: u8,
}

/// What holds for all instances of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupLimits {
    /// Connections that one instance accepts from all proxies together.
    pub connections: u32,
    /// Replicas that hold a write before it is acknowledged.
    pub sync_replicas: u32,
}

/// One version of the operators' configuration.
///
/// Invariant: `routes` leads only to groups in `groups`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes {
    /// Version that the operators gave it; it only rises.
    pub version: u64,
    /// Routes by database.
    pub routes: IndexMap<Database, Route>,
    /// Groups with their limits.
    pub groups: IndexMap<GroupId, GroupLimits>,
    /// Time after which an open transaction without a statement may be ended.
    pub idle_transaction: Span,
}
