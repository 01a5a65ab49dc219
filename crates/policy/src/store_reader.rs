//! Whom a proxy asks for what is in the store: the store itself, or a neighbour that reads it.
//!
//! Load: 34 proxies in a region without the store, and a configuration of half a megabyte.
//! Harm when each fetches every version itself: the link between the regions is full for
//! seconds, calls behind it time out, and primaries are doubted that live. So one proxy of
//! each data centre reads the store and the others follow it: bytes between regions and
//! calls of the store grow with the data centres. All that know the same live proxies
//! come to the same reader; where they do not, or the reader and the one that stands in for
//! it have nothing to tell, a proxy asks the store itself.

use indexmap::IndexMap;
use model::id::ProxyId;
use model::unit::{Span, Time};

use crate::rank;

/// What proxies are ranked for here, beside the groups.
const RANKED_FOR: &str = "store";

/// Proxies of one data centre that others follow: the reader, and the one that stands in
/// for it as long as the reader does not hear the store.
const FOLLOWED: usize = 2;

/// Proxies of a data centre up to which each reads the store itself: with few of them the
/// link is not at stake, and news arrive a hop sooner.
const FEW: usize = 4;

/// Time for which a neighbour that told nothing is passed over. The store pays for it with a
/// few calls; a reader that lost the store finds it again within about this time.
const PASS_OVER: Span = Span::from_millis(1_500);

/// Whom to ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// The store.
    Store,
    /// A proxy of this data centre that reads it.
    StoreReader(ProxyId),
}

/// The readers of one data centre, as one of its proxies finds them.
#[derive(Clone, Debug, Default)]
pub struct StoreReaders {
    passed_over: IndexMap<ProxyId, Time>,
}

impl StoreReaders {
    /// Whom `me` asks next; `here` are the live proxies of its data centre.
    pub fn upstream(&self, me: &ProxyId, here: &[ProxyId], now: Time) -> Upstream {
        if here.len() <= FEW {
            return Upstream::Store;
        }
        let mut ranked: Vec<_> = here.iter().collect();
        rank::sort(RANKED_FOR, &mut ranked);
        let mut before_me = ranked.into_iter().take(FOLLOWED).take_while(|id| *id != me);
        let open = |id: &&ProxyId| self.passed_over.get(*id).is_none_or(|until| *until <= now);
        let reader = before_me.find(open);
        reader.map_or(Upstream::Store, |id| Upstream::StoreReader(id.clone()))
    }

    /// A reader told nothing: it does not answer, or has lost the store.
    pub fn mark_failed(&mut self, reader: &ProxyId, now: Time) {
        self.passed_over.retain(|_, until| *until > now);
        self.passed_over.insert(reader.clone(), now + PASS_OVER);
    }
}

/// How many proxies read the store in a data centre with so many live ones.
pub fn readers(here: usize) -> usize {
    if here <= FEW { here } else { 1 }
}
