//! The leadership record of a group in the platform's store.

use model::id::{GroupId, InstanceId, ProxyId};
use model::position::Term;

/// The newest claim on a group, made by compare-and-swap.
///
/// Invariant: terms only rise, and one term has one claimant. The claimant promotes at
/// most one instance under the term, so a term has at most one primary.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Claimed term.
    pub term: Term,
    /// Primary of the term; `None` until the promotion is published.
    pub primary: Option<InstanceId>,
    /// Proxy that claimed the term.
    pub claimant: ProxyId,
    /// Unique for each attempt; identifies a claim whose response was lost.
    pub nonce: u64,
}

/// Key of a group's leadership record in the store.
pub fn key(group: &GroupId) -> String {
    format!("pomeloscale/groups/{group}/leader")
}
