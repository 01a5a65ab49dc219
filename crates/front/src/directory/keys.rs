//! This project's own keys in the platform's store.

use std::net::SocketAddr;

use indexmap::IndexSet;
use model::id::{DataCentre, GroupId, ProxyId};
use model::vm::VmSize;
use serde::{Deserialize, Serialize};
use store::kv::{Listing, Record};

use super::intents::IntentKind;

/// Prefix of the keys of live proxies; the proxy's name follows.
pub const PROXIES: &str = "pomelo/proxy/";

/// Key of the proxy that coordinates changes of primary.
pub const COORDINATOR: &str = "pomelo/coordinator";

/// Prefix of suspicions of primaries; group and proxy follow, the value is the instance.
pub const SUSPICIONS: &str = "pomelo/doubt/";

/// A proxy's announcement of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Address of its relay, which serves pooled connections and updates to other proxies.
    pub relay: SocketAddr,
    /// What its VM can carry; `None` if its settings do not state it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vm: Option<VmSize>,
}

/// The kind and group of an intent.
pub(super) fn intent(key: &str) -> Option<(IntentKind, GroupId)> {
    let of = |kind: IntentKind| Some((kind, key.strip_prefix(kind.prefix())?.parse().ok()?));
    IntentKind::ALL.into_iter().find_map(of)
}

/// The groups of the intents in a listing.
pub fn pending_changes(listing: &Listing) -> IndexSet<GroupId> {
    let group = |record: &Record| intent(&record.key).map(|(_, group)| group);
    listing.records.iter().filter_map(group).collect()
}

/// The group of a suspicion, and the proxy that suspects.
pub(super) fn suspicion(key: &str) -> Option<(GroupId, ProxyId)> {
    let (group, proxy) = key.strip_prefix(SUSPICIONS)?.split_once('/')?;
    Some((group.parse().ok()?, proxy.parse().ok()?))
}
