//! Where a proxy reads the contents of the store: from the store itself, or from a store
//! reader, a proxy of its data centre that reads the store for the others.
//!
//! Under load, 34 proxies run in a region without the store, and a configuration has half a
//! megabyte. If each of them fetched every version itself, the link between the regions would
//! be full for seconds, calls over it would time out, and healthy primaries would be
//! suspected. So one proxy of each data centre reads the store and the others follow it: the
//! bytes between regions and the calls to the store grow with the number of data centres.
//! Proxies that know the same live proxies choose the same reader. While they differ, or if
//! neither the reader nor its backup has updates, a proxy reads the store itself.

use indexmap::IndexMap;
use model::id::ProxyId;
use model::unit::{Span, Time};

use crate::rank;

/// Key under which proxies are ranked as store readers.
const RANK_KEY: &str = "store";

/// Proxies of one data centre that others may follow: the reader, and a backup for as long as
/// the reader cannot read the store.
const MAX_READERS: usize = 2;

/// Number of proxies in a data centre up to which each reads the store itself: so few do not
/// fill the link, and updates arrive one hop sooner.
const MAX_DIRECT: usize = 4;

/// Time for which a reader that sent nothing is skipped. This costs the store a few calls; a
/// reader that lost the store reaches it again within about this time.
const SKIP_FOR: Span = Span::from_millis(1_500);

/// Where a proxy reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// From the store.
    Store,
    /// From this proxy of its data centre, which reads the store.
    StoreReader(ProxyId),
}

/// The store readers of one data centre, as one of its proxies sees them.
#[derive(Clone, Debug, Default)]
pub struct StoreReaders {
    skipped: IndexMap<ProxyId, Time>,
}

impl StoreReaders {
    /// Where `me` reads next; `local` are the live proxies of its data centre.
    pub fn upstream(&self, me: &ProxyId, local: &[ProxyId], now: Time) -> Upstream {
        if local.len() <= MAX_DIRECT {
            return Upstream::Store;
        }
        let mut ranked: Vec<_> = local.iter().collect();
        rank::sort(RANK_KEY, &mut ranked);
        let mut candidates = ranked
            .into_iter()
            .take(MAX_READERS)
            .take_while(|id| *id != me);
        let available = |id: &&ProxyId| self.skipped.get(*id).is_none_or(|until| *until <= now);
        let reader = candidates.find(available);
        reader.map_or(Upstream::Store, |id| Upstream::StoreReader(id.clone()))
    }

    /// Records that a reader sent nothing: it is unresponsive, or has lost the store.
    pub fn mark_failed(&mut self, reader: &ProxyId, now: Time) {
        self.skipped.retain(|_, until| *until > now);
        self.skipped.insert(reader.clone(), now + SKIP_FOR);
    }
}

/// How many proxies read the store in a data centre with `local` live ones.
pub fn readers(local: usize) -> usize {
    if local <= MAX_DIRECT { local } else { 1 }
}
