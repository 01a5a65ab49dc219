//! Where a proxy reads the contents of the store: from the store itself, or from a store
//! reader, a proxy of its data centre that reads the store for the others.
//!
//! Under load, 34 proxies run in a region without the store, and a configuration has half a
//! megabyte. If each of them fetched every version itself, the link between the regions would
//! be full for seconds, calls over it would time out, and healthy primaries would be
//! suspected. So one proxy of each data centre reads the store and the others follow it: the
//! bytes between regions and the calls to the store grow with the number of data centres.
//! Proxies that know the same live proxies choose the same reader. While they differ, or if
//! neither the reader nor its backup has updates, a proxy reads the store itself. One that the
//! store does not respond to follows any other that has updates. However the others respond, a
//! proxy that gets no update calls the store within [`QUERY_TIME`].

use indexmap::IndexMap;
use model::id::ProxyId;
use model::unit::{Span, Time};

use crate::direct_access::DirectAccess;
use crate::rank;

/// Key under which proxies are ranked as store readers.
const RANK_KEY: &str = "store";

/// Proxies of one data centre that others may follow: the reader, and a backup for as long as
/// the reader cannot read the store.
const MAX_READERS: usize = 2;

/// Proxies of one data centre that others may follow once the readers have lost the store: one of
/// them that still reads it serves the others.
const MAX_ALTERNATIVES: usize = 4;

/// Number of proxies in a data centre up to which each reads the store itself: so few do not
/// fill the link, and updates arrive one hop sooner.
const MAX_DIRECT: usize = 4;

/// Time for which a reader that sent nothing is skipped. This costs the store a few calls; a
/// reader that lost the store reaches it again within about this time.
const SKIP_FOR: Span = Span::from_millis(1_500);

/// Time for which a reader is skipped that responded without updates, because the store does
/// not respond to it. Asking it again costs a message within the data centre.
const SKIP_WITHOUT_UPDATES_FOR: Span = Span::from_millis(400);

/// Pause between two rounds of asking the readers while none of them has updates.
const POLL_INTERVAL: Span = Span::from_millis(200);

/// Shortest and longest time for which a proxy queries others without an update before it calls
/// the store, though one of them may still respond with updates at any moment.
///
/// Failure: a proxy that was frozen does not know the present reader. The others follow that one,
/// and each responds that it has no updates. The time differs between proxies, so that hundreds
/// that wake together do not call the store at the same moment.
const QUERY_TIME: (Span, Span) = (Span::from_millis(1_000), Span::from_millis(2_000));

/// Where a proxy reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// From the store.
    Store,
    /// From this proxy of its data centre, which reads the store.
    StoreReader(ProxyId),
}

/// What a proxy does next to get updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Follows this proxy of its data centre.
    Follow(ProxyId),
    /// Calls the store.
    Call,
    /// Waits, since neither has updates now.
    WaitUntil(Time),
}

/// The store readers of one data centre, as one of its proxies sees them.
#[derive(Clone, Debug, Default)]
pub struct StoreReaders {
    skipped: IndexMap<ProxyId, Skipped>,
    /// When the first of the readers failed or had no updates since the last update or call of
    /// the store.
    without_since: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Skipped {
    until: Time,
    /// Whether it responded, though without updates.
    responds: bool,
}

impl StoreReaders {
    /// Where `me` reads next; `local` are the live proxies of its data centre.
    pub fn upstream(&self, me: &ProxyId, local: &[ProxyId], now: Time) -> Upstream {
        let before = ranked(local, MAX_READERS).take_while(|id| *id != me);
        self.choose(before, now)
    }

    /// Where `me` reads next while the store does not respond to it: others that rank behind it
    /// may still read the store.
    pub fn alternative(&self, me: &ProxyId, local: &[ProxyId], now: Time) -> Upstream {
        let others = ranked(local, MAX_ALTERNATIVES).filter(|id| *id != me);
        self.choose(others, now)
    }

    /// What `me` does next to get updates; `direct` says whether the store responds to it.
    pub fn next(
        &mut self,
        me: &ProxyId,
        local: &[ProxyId],
        direct: &DirectAccess,
        now: Time,
    ) -> Next {
        let next = if self.call_due(me).is_some_and(|due| due <= now) {
            Next::Call
        } else {
            self.choose_next(me, local, direct, now)
        };
        if next == Next::Call {
            self.end_round();
        }
        next
    }

    /// When `me` calls the store unless it gets an update before; `None` while the readers have
    /// updates.
    pub fn call_due(&self, me: &ProxyId) -> Option<Time> {
        let (shortest, longest) = QUERY_TIME;
        let range = longest.saturating_sub(shortest).as_micros();
        let extra = Span::from_micros(rank::score(RANK_KEY, me) % range);
        self.without_since.map(|since| since + shortest + extra)
    }

    fn choose_next(
        &self,
        me: &ProxyId,
        local: &[ProxyId],
        direct: &DirectAccess,
        now: Time,
    ) -> Next {
        let upstream = match (direct.is_lost(), direct.may_call(now)) {
            (true, true) => Upstream::Store,
            (true, false) => self.alternative(me, local, now),
            (false, _) => match self.upstream(me, local, now) {
                Upstream::Store if self.others_respond(me, local) => {
                    let before = ranked(local, MAX_ALTERNATIVES).take_while(|id| *id != me);
                    self.choose(before, now)
                }
                upstream => upstream,
            },
        };
        match upstream {
            Upstream::StoreReader(reader) => Next::Follow(reader),
            Upstream::Store if direct.may_call(now) => Next::Call,
            Upstream::Store => Next::WaitUntil(direct.next_call().min(now + POLL_INTERVAL)),
        }
    }

    /// The proxies that `me` queries in turn about the store, before the store itself; `is_lost`
    /// says that the store does not respond to `me`.
    pub fn available(
        &self,
        me: &ProxyId,
        local: &[ProxyId],
        is_lost: bool,
        now: Time,
    ) -> Vec<ProxyId> {
        let available = |id: &&ProxyId| self.is_available(id, now);
        if is_lost {
            let others = ranked(local, MAX_ALTERNATIVES).filter(|id| *id != me);
            others.filter(available).cloned().collect()
        } else {
            let before = ranked(local, MAX_READERS).take_while(|id| *id != me);
            before.filter(available).cloned().collect()
        }
    }

    fn choose<'a>(&self, mut candidates: impl Iterator<Item = &'a ProxyId>, now: Time) -> Upstream {
        let reader = candidates.find(|id| self.is_available(id, now));
        reader.map_or(Upstream::Store, |id| Upstream::StoreReader(id.clone()))
    }

    fn is_available(&self, id: &ProxyId, now: Time) -> bool {
        self.skipped.get(id).is_none_or(|s| s.until <= now)
    }

    /// Records that an update arrived, or that the store is called.
    pub fn end_round(&mut self) {
        self.without_since = None;
    }

    /// Records that a reader is unresponsive.
    pub fn mark_failed(&mut self, reader: &ProxyId, now: Time) {
        let until = now + SKIP_FOR;
        let responds = false;
        self.skip(reader, Skipped { until, responds }, now);
    }

    /// Records that a reader responded, but has no updates: the store does not respond to it.
    pub fn mark_without_updates(&mut self, reader: &ProxyId, now: Time) {
        let until = now + SKIP_WITHOUT_UPDATES_FOR;
        let responds = true;
        self.skip(reader, Skipped { until, responds }, now);
    }

    /// Whether a reader other than `me` has responded lately without updates.
    pub fn others_respond(&self, me: &ProxyId, local: &[ProxyId]) -> bool {
        let responds = |id: &ProxyId| self.skipped.get(id).is_some_and(|s| s.responds);
        ranked(local, MAX_READERS).any(|id| id != me && responds(id))
    }

    fn skip(&mut self, reader: &ProxyId, skipped: Skipped, now: Time) {
        self.without_since.get_or_insert(now);
        self.skipped.retain(|_, s| s.until > now);
        self.skipped.insert(reader.clone(), skipped);
    }
}

/// The first proxies of a data centre by rank; none where each reads the store itself.
fn ranked(local: &[ProxyId], count: usize) -> impl Iterator<Item = &ProxyId> {
    let mut ranked: Vec<_> = local.iter().collect();
    rank::sort(RANK_KEY, &mut ranked);
    let count = if has_followers(local.len()) { count } else { 0 };
    ranked.into_iter().take(count)
}

/// Whether `me` is the reader of its data centre or its backup, where others follow a reader.
pub fn is_reader(me: &ProxyId, local: &[ProxyId]) -> bool {
    ranked(local, MAX_READERS).any(|id| id == me)
}

/// Whether others follow `me` once the proxies that rank before it have lost the store.
pub fn may_take_over(me: &ProxyId, local: &[ProxyId]) -> bool {
    ranked(local, MAX_ALTERNATIVES).any(|id| id == me)
}

/// Whether proxies follow a reader in a data centre with `local` live ones.
pub const fn has_followers(local: usize) -> bool {
    local > MAX_DIRECT
}

/// How many proxies read the store in a data centre with `local` live ones.
pub fn readers(local: usize) -> usize {
    if has_followers(local) { 1 } else { local }
}
