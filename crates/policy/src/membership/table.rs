//! The known state of every proxy, and which of two contradicting updates applies.

use std::net::SocketAddr;

use indexmap::IndexMap;
use model::hash;
use model::id::{DataCentre, ProxyId};
use model::unit::Time;

/// State of a proxy. With the same incarnation, the greater state overrides the other.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It responds to heartbeats.
    #[default]
    Live,
    /// It did not respond to heartbeats and may still refute the suspicion.
    Suspected,
    /// It did not refute in time, or announced that it exits.
    Gone,
}

impl State {
    /// Stable name for pages and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Suspected => "suspected",
            Self::Gone => "gone",
        }
    }
}

/// State of one proxy, as gossiped between proxies.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberInfo {
    /// The proxy.
    pub id: ProxyId,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// The address for its peers.
    pub address: SocketAddr,
    /// Raised by the proxy itself, to override older updates about it.
    pub incarnation: u64,
    /// Its state.
    #[serde(default)]
    pub state: State,
    /// Whether it is being stopped: it takes no roles.
    #[serde(default)]
    pub draining: bool,
    /// Whether it recently failed to reach the store: another one should watch it.
    #[serde(rename = "storeless", default)]
    pub store_unreachable: bool,
}

impl MemberInfo {
    fn rank(&self) -> (u64, State) {
        (self.incarnation, self.state)
    }
}

/// A proxy with the time of the last change of its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The last known state.
    pub info: MemberInfo,
    /// When the state last changed in this table.
    pub since: Time,
}

/// All known proxies, including the gone ones: if they were removed at once, late updates
/// would add them again.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: IndexMap<ProxyId, Entry>,
}

impl Table {
    /// Merges an update; returns whether it was newer than the entry.
    pub fn merge(&mut self, now: Time, info: MemberInfo) -> bool {
        let known = self.entries.get(&info.id);
        if known.is_some_and(|entry| entry.info.rank() >= info.rank()) {
            return false;
        }
        let changed = known.is_none_or(|entry| entry.info.state != info.state);
        let since = known.filter(|_| !changed).map_or(now, |entry| entry.since);
        self.entries.insert(info.id.clone(), Entry { info, since });
        true
    }

    /// The entry of a proxy.
    pub fn get(&self, id: &ProxyId) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Running proxies: the live ones, and suspected ones until they are gone.
    pub fn running(&self) -> impl Iterator<Item = &MemberInfo> {
        let info = self.entries.values().map(|entry| &entry.info);
        info.filter(|info| info.state != State::Gone)
    }

    /// Running proxies of a data centre.
    pub fn running_in<'a>(
        &'a self,
        data_centre: &'a DataCentre,
    ) -> impl Iterator<Item = &'a MemberInfo> {
        self.running()
            .filter(move |info| info.data_centre == *data_centre)
    }

    /// All known data centres, in the same order on each proxy.
    pub fn data_centres(&self) -> Vec<DataCentre> {
        let names = self.entries.values().map(|entry| &entry.info.data_centre);
        let mut names: Vec<_> = names.cloned().collect();
        names.sort();
        names.dedup();
        names
    }

    /// Removes gone proxies whose state has not changed since `before`.
    pub fn forget(&mut self, before: Time) {
        self.entries
            .retain(|_, entry| entry.info.state != State::Gone || entry.since >= before);
    }

    /// A hash of the entries of each data centre's running proxies, to compare two tables
    /// cheaply.
    pub fn digests(&self) -> IndexMap<DataCentre, u64> {
        let mut digests = IndexMap::new();
        for info in self.running() {
            let name = info.data_centre.clone();
            let state = info.state.name();
            let parts = [info.id.as_str(), &info.incarnation.to_string(), state].map(str::to_owned);
            let hash = hash::of(parts.iter().map(String::as_str));
            let digest: &mut u64 = digests.entry(name).or_default();
            // Addition does not depend on the order of the entries.
            *digest = digest.wrapping_add(hash);
        }
        digests
    }
}
