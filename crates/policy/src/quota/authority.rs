//! Which proxies grant a customer's permits, and which parts of its limit a proxy may use.
//!
//! The first live proxy by rendezvous hash holds a part. Proxies see changes of the live ones at
//! different times, so two proxies may take themselves for holder of the same part. A part is
//! confirmed, and used in full, only when no other proxy can hold it:
//!
//! - A holder that vanishes from the store has stopped: it grants only while its own
//!   registration is certainly valid. So the next one by rank needs no confirmation.
//! - A proxy that appears displaces the holder, which may not know of it yet. It waits until
//!   that one knows of its announcement, or has vanished. The holder answers only when those
//!   that it displaced in turn know of it: of several proxies that appear at once, each may
//!   displace another one that is itself not confirmed yet.
//! - A proxy that restarts before its key has lapsed has not appeared: its earlier process has
//!   stopped, and the others see its key without interruption. So proxies are ordered by the
//!   creation of their keys. Each process writes its key and uses its parts only with a view of
//!   the store that includes that write, so whoever has written its key after another one was
//!   created knows of that one, and needs no question.

use indexmap::{IndexMap, IndexSet};
use model::id::{CustomerId, ProxyId};
use model::position::Revision;
use model::unit::Time;

use super::PARTS;
use crate::rank;

/// Prefix of the key under which proxies are ranked as granters.
const RANK_KEY: &str = "quota/";

/// Numbers of parts of a customer's limit that a proxy holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Parts {
    /// Parts that no other proxy can hold.
    pub confirmed: u32,
    /// Parts that another proxy may hold as well.
    pub unconfirmed: u32,
}

impl Parts {
    /// Number of all parts.
    pub const fn all(self) -> u32 {
        self.confirmed + self.unconfirmed
    }
}

/// A proxy's announcement of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// When its key was created; the key has existed without interruption since then.
    pub created: Revision,
    /// When it was last written; not before `created`. Each process of the proxy writes it when
    /// it starts, and a call of an earlier process that is carried out late has no effect.
    pub written: Revision,
}

/// What one proxy knows about the granters.
#[derive(Clone, Debug)]
pub struct Authority {
    me: ProxyId,
    /// When this process wrote its announcement.
    written_at: Option<Revision>,
    /// Until when this proxy's registration is certainly valid.
    valid_until: Time,
    /// Live proxies.
    live: IndexMap<ProxyId, Announcement>,
    /// Revision up to which `live` is complete.
    revision: Revision,
    /// Customers with displaced granters that know of this proxy's announcement.
    informed: IndexSet<(CustomerId, ProxyId)>,
    /// Rankings since `live` or `written_at` changed; they cost a hash for each proxy.
    ranked: IndexMap<CustomerId, Ranking>,
}

/// The holders of the parts of one customer's limit.
#[derive(Clone, Debug)]
struct Ranking {
    /// Each once, among the live proxies.
    granters: IndexSet<ProxyId>,
    /// For each part that this proxy holds in its own view, in which it is always live: the
    /// live proxy that it displaced when its key was created, if that one must be asked.
    mine: Vec<Option<ProxyId>>,
    /// Live proxies that this proxy displaced as holder of a part and that must be asked,
    /// whoever holds the part now.
    displaced: IndexSet<ProxyId>,
}

impl Authority {
    /// Knows of no other proxy.
    pub fn new(me: ProxyId) -> Self {
        Self {
            me,
            written_at: None,
            valid_until: Time::default(),
            live: IndexMap::new(),
            revision: Revision(0),
            informed: IndexSet::new(),
            ranked: IndexMap::new(),
        }
    }

    /// Sets the live proxies, complete up to a revision.
    pub fn set_live(&mut self, live: IndexMap<ProxyId, Announcement>, revision: Revision) {
        let created = self.created();
        if self.live != live {
            self.informed.retain(|(_, id)| live.contains_key(id));
            self.live = live;
            self.ranked.clear();
        }
        self.revision = revision;
        self.reset_unless_created(created);
    }

    /// The revision up to which the live proxies are known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Sets when this process wrote its announcement; `None` when it is withdrawn.
    pub fn set_announced(&mut self, at: Option<Revision>) {
        let created = self.created();
        self.written_at = at;
        self.reset_unless_created(created);
    }

    /// When this proxy's key was created. `None` unless the view of the store includes the
    /// announcement of this process, and thus all proxies that an earlier process of this one
    /// may have answered to.
    fn created(&self) -> Option<Revision> {
        let written_at = self.written_at?;
        let mine = self
            .live
            .get(&self.me)
            .filter(|_| self.revision >= written_at);
        mine.map(|mine| mine.created)
    }

    /// Forgets what others know of this proxy if its key was not created at `known`.
    fn reset_unless_created(&mut self, known: Option<Revision>) {
        if self.created() != known {
            self.informed.clear();
            self.ranked.clear();
        }
    }

    /// Sets until when this proxy's registration is certainly valid.
    pub fn set_valid_until(&mut self, until: Time) {
        self.valid_until = until;
    }

    /// Records that a granter of a customer knows of this proxy's key, created at `revision`.
    pub fn set_informed(&mut self, customer: CustomerId, id: ProxyId, revision: Revision) {
        if self.created() == Some(revision) {
            self.informed.insert((customer, id));
        }
    }

    /// Whether this proxy knows of a key created at `revision`, and all granters of the
    /// customer that it displaced know of this proxy.
    pub fn knows(&mut self, customer: &CustomerId, revision: Revision) -> bool {
        let is_announced = self.created().is_some();
        is_announced && self.revision >= revision && self.uninformed(customer).is_empty()
    }

    /// The granters of a customer.
    pub fn granters(&mut self, customer: &CustomerId) -> &IndexSet<ProxyId> {
        &self.ranking(customer).granters
    }

    /// The parts of a customer's limit that this proxy holds.
    pub fn parts(&mut self, customer: &CustomerId, now: Time) -> Parts {
        let is_registered = self.created().is_some() && now < self.valid_until;
        let mine = self.ranking(customer).mine.clone();
        let mut parts = Parts::default();
        for displaced in mine {
            let is_informed = |id| self.informed.contains(&(customer.clone(), id));
            if is_registered && displaced.is_none_or(is_informed) {
                parts.confirmed += 1;
            } else {
                parts.unconfirmed += 1;
            }
        }
        parts
    }

    /// Granters of `customers` that must learn of this proxy's key before it is confirmed, and
    /// the revision at which it was created.
    pub fn to_inform<'a>(
        &mut self,
        customers: impl IntoIterator<Item = &'a CustomerId>,
    ) -> Option<(Vec<(CustomerId, ProxyId)>, Revision)> {
        let created = self.created()?;
        let mut uninformed = Vec::new();
        for customer in customers {
            let of = self.uninformed(customer).into_iter();
            uninformed.extend(of.map(|id| (customer.clone(), id)));
        }
        Some((uninformed, created))
    }

    /// Granters of a customer that this proxy displaced, and that may not know of it.
    fn uninformed(&mut self, customer: &CustomerId) -> Vec<ProxyId> {
        let displaced = self.ranking(customer).displaced.clone().into_iter();
        let uninformed = displaced.map(|id| (customer.clone(), id));
        let uninformed = uninformed.filter(|at| !self.informed.contains(at));
        uninformed.map(|(_, id)| id).collect()
    }

    fn ranking(&mut self, customer: &CustomerId) -> &Ranking {
        let created = self.created();
        let Self {
            me, live, ranked, ..
        } = self;
        ranked.entry(customer.clone()).or_insert_with(|| {
            let mut by_age: Vec<_> = live.iter().collect();
            by_age.sort_by_key(|(_, announcement)| announcement.created);
            let mut ranking = Ranking {
                granters: IndexSet::new(),
                mine: Vec::new(),
                displaced: IndexSet::new(),
            };
            for part in 0..PARTS {
                let key = format!("{RANK_KEY}{part}/{customer}");
                let succession = Succession::new(&key, me, &by_age, created);
                if succession.is_mine {
                    ranking.mine.push(succession.displaced.clone());
                }
                ranking.granters.extend(succession.holder);
                ranking.displaced.extend(succession.displaced);
            }
            ranking
        })
    }
}

/// Who holds one part, and whom this proxy displaced.
struct Succession {
    /// The first live proxy by rank.
    holder: Option<ProxyId>,
    /// Whether that is this proxy, counted as live.
    is_mine: bool,
    /// The proxy that held the part when this one's key was created, if this one ranks before
    /// it and it may not know of this one.
    displaced: Option<ProxyId>,
}

impl Succession {
    /// `by_age` are the live proxies, the one with the oldest key first; `created` says when the
    /// key of `me` was created.
    fn new(
        key: &str,
        me: &ProxyId,
        by_age: &[(&ProxyId, &Announcement)],
        created: Option<Revision>,
    ) -> Self {
        let my_score = rank::score(key, me);
        let mut holder: Option<(&ProxyId, u64)> = None;
        // The last of the proxies before this one that each displaced the one before, and
        // whether each of them knows of its successor.
        let mut last: Option<(&ProxyId, &Announcement)> = None;
        let (mut last_score, mut are_known) = (0, true);
        for &(id, announcement) in by_age {
            let score = rank::score(key, id);
            if holder.is_none_or(|(_, first)| score >= first) {
                holder = Some((id, score));
            }
            let is_earlier = id != me && created.is_some_and(|at| announcement.created < at);
            if is_earlier && (last.is_none() || score >= last_score) {
                are_known &= last.is_none_or(|(_, l)| l.written >= announcement.created);
                last = Some((id, announcement));
                last_score = score;
            }
        }
        let displaced = last.filter(|_| my_score >= last_score);
        let is_uninformed = |(_, l): &(&ProxyId, &Announcement)| {
            let knows_me = created.is_some_and(|at| l.written >= at);
            !(are_known && knows_me)
        };
        let displaced = displaced.filter(is_uninformed).map(|(id, _)| id.clone());
        Self {
            is_mine: holder.is_none_or(|(id, score)| id == me || my_score >= score),
            holder: holder.map(|(id, _)| id.clone()),
            displaced,
        }
    }
}
