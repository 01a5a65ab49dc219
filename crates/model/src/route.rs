//! Routes from databases to groups, as the operators configure them.

use indexmap::IndexMap;

use crate::customer::{ApiKey, Customers};
use crate::id::{CustomerId, Database, GroupId};
use crate::unit::Span;

/// Writes that the reads of a session are guaranteed to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum Guarantee {
    /// Every acknowledged write of any session.
    Newest,
    /// Every write that was acknowledged longer than this duration ago.
    Bounded(Span),
    /// The same, and every write of the session itself.
    OwnWrites(Span),
}

/// Group that runs the statements of a database, with their limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The group that holds the database.
    pub group: GroupId,
    /// Guarantee for reads.
    pub guarantee: Guarantee,
    /// Time limit of one statement.
    pub time_limit: Span,
    /// Time within which callers expect a whole operation to complete.
    pub objective: Span,
    /// Priority under load; 0 is the highest.
    pub priority: u8,
    /// Whether callers without a known key may use it.
    pub public: bool,
}

/// Limits that apply to all instances of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupLimits {
    /// Connections that one instance accepts from all proxies together.
    pub connections: u32,
    /// Replicas that must hold a write before it is acknowledged.
    pub sync_replicas: u32,
}

/// One version of the operators' configuration.
///
/// Invariant: `routes` refers only to groups in `groups`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    /// Version number set by the operators; it only increases.
    pub version: u64,
    /// Routes by database.
    pub routes: IndexMap<Database, Route>,
    /// Limits of the groups.
    pub groups: IndexMap<GroupId, GroupLimits>,
    /// Customers and their keys; `None` if callers need no key.
    pub customers: Option<Customers>,
    /// Time without a statement after which an open transaction may be ended.
    pub idle_transaction: Span,
}

/// The key is unknown, and the route is not public.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the API key is unknown")]
pub struct UnknownKey;

impl Routes {
    /// The customer on whose behalf a caller with this key uses a route; `None` if the route is
    /// used without a customer.
    pub fn customer(
        &self,
        route: &Route,
        key: Option<&ApiKey>,
    ) -> Result<Option<CustomerId>, UnknownKey> {
        let Some(customers) = &self.customers else {
            return Ok(None);
        };
        match key.and_then(|key| customers.of_key(key)) {
            Some(customer) => Ok(Some(customer.clone())),
            None if route.public => Ok(None),
            None => Err(UnknownKey),
        }
    }
}
