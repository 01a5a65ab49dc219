//! What is known of every proxy, and which of two contradicting news counts.

use std::net::SocketAddr;

use indexmap::IndexMap;
use model::hash;
use model::id::{DataCentre, ProxyId};
use model::unit::Time;

/// State of a proxy, ordered by which one counts when two arrive under one incarnation.
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
    /// It answers heartbeats.
    #[default]
    Live,
    /// It left heartbeats without an answer and may still contradict.
    Suspected,
    /// It did not contradict in time, or said goodbye.
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

/// News of one proxy, as proxies pass it on.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberInfo {
    /// The proxy.
    pub id: ProxyId,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Raised by the proxy itself, to contradict older news of it.
    pub incarnation: u64,
    /// Its state.
    #[serde(default)]
    pub state: State,
    /// Whether it is being stopped: it takes on no duties.
    #[serde(default)]
    pub draining: bool,
    /// Whether it lately failed to reach the store: another one should watch.
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
    /// What is known of it.
    pub info: MemberInfo,
    /// When its state last changed here.
    pub since: Time,
}

/// Every proxy that is known, also the gone ones: forgetting them at once would let late
/// news bring them back.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: IndexMap<ProxyId, Entry>,
}

impl Table {
    /// Takes in news; returns whether it was newer than what was known.
    pub fn take(&mut self, now: Time, info: MemberInfo) -> bool {
        let known = self.entries.get(&info.id);
        if known.is_some_and(|entry| entry.info.rank() >= info.rank()) {
            return false;
        }
        let changed = known.is_none_or(|entry| entry.info.state != info.state);
        let since = known.filter(|_| !changed).map_or(now, |entry| entry.since);
        self.entries.insert(info.id.clone(), Entry { info, since });
        true
    }

    /// What is known of a proxy.
    pub fn get(&self, id: &ProxyId) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Every entry.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Proxies that count as running: live ones, and suspected ones until they are gone.
    pub fn running(&self) -> impl Iterator<Item = &MemberInfo> {
        let info = self.entries.values().map(|entry| &entry.info);
        info.filter(|info| info.state != State::Gone)
    }

    /// Running proxies of a data centre.
    pub fn running_in<'a>(&'a self, place: &'a DataCentre) -> impl Iterator<Item = &'a MemberInfo> {
        self.running()
            .filter(move |info| info.data_centre == *place)
    }

    /// Every known data centre, in a common order.
    pub fn data_centres(&self) -> Vec<DataCentre> {
        let names = self.entries.values().map(|e| &e.info.data_centre);
        let mut names: Vec<_> = names.cloned().collect();
        names.sort();
        names.dedup();
        names
    }

    /// Drops gone proxies whose state has not changed since `before`.
    pub fn forget(&mut self, before: Time) {
        self.entries
            .retain(|_, e| e.info.state != State::Gone || e.since >= before);
    }

    /// A hash of what is known of each data centre's running proxies, to find out cheaply
    /// whether two tables agree.
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
