//! This project's own keys in the platform's store.

use std::net::SocketAddr;

use indexmap::IndexSet;
use model::id::{DataCentre, GroupId, ProxyId};
use serde::{Deserialize, Serialize};
use store::kv::{Listing, Record};

use super::intents::IntentKind;

/// Prefix of the keys of live proxies; the proxy's name follows.
pub const PROXIES: &str = "pomelo/proxy/";

/// Key of the proxy that coordinates changes of primary.
pub const COORDINATOR: &str = "pomelo/coordinator";

/// Prefix of doubts about primaries; group and proxy follow, the value is the instance.
pub const SUSPICIONS: &str = "pomelo/doubt/";

/// What a proxy announces of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announced {
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Where it lends connections to other proxies.
    pub relay: SocketAddr,
}

/// The call that a note is about, and the group.
pub(super) fn intent(key: &str) -> Option<(IntentKind, GroupId)> {
    let of = |call: IntentKind| Some((call, key.strip_prefix(call.prefix())?.parse().ok()?));
    IntentKind::ALL.into_iter().find_map(of)
}

/// The groups of the notes in a listing.
pub fn pending_changes(listing: &Listing) -> IndexSet<GroupId> {
    let group = |record: &Record| intent(&record.key).map(|(_, group)| group);
    listing.records.iter().filter_map(group).collect()
}

/// The group of a doubt, and who doubts.
pub(super) fn suspicion(key: &str) -> Option<(GroupId, ProxyId)> {
    let (group, proxy) = key.strip_prefix(SUSPICIONS)?.split_once('/')?;
    Some((group.parse().ok()?, proxy.parse().ok()?))
}
