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

/// What one proxy knows about the granters.
#[derive(Clone, Debug)]
pub struct Authority {
    me: ProxyId,
    /// The revision of this proxy's announcement of itself.
    announced_at: Option<Revision>,
    /// Until when this proxy's registration is certainly valid.
    valid_until: Time,
    /// Live proxies with the revisions of their announcements.
    live: IndexMap<ProxyId, Revision>,
    /// Revision up to which `live` is complete.
    revision: Revision,
    /// Customers with displaced granters that know of this proxy's announcement.
    informed: IndexSet<(CustomerId, ProxyId)>,
    /// Rankings since `live` or `announced_at` changed; they cost a hash for each proxy.
    ranked: IndexMap<CustomerId, Ranking>,
}

/// The holders of the parts of one customer's limit.
#[derive(Clone, Debug)]
struct Ranking {
    /// Each once, among the live proxies.
    granters: IndexSet<ProxyId>,
    /// For each part that this proxy holds in its own view, in which it is always live: the
    /// live proxy that it displaced when it announced itself.
    mine: Vec<Option<ProxyId>>,
    /// Live proxies that this proxy displaced as holder of a part, whoever holds it now.
    displaced: IndexSet<ProxyId>,
}

impl Authority {
    /// Knows of no other proxy.
    pub fn new(me: ProxyId) -> Self {
        Self {
            me,
            announced_at: None,
            valid_until: Time::default(),
            live: IndexMap::new(),
            revision: Revision(0),
            informed: IndexSet::new(),
            ranked: IndexMap::new(),
        }
    }

    /// Sets the live proxies, complete up to a revision.
    pub fn set_live(&mut self, live: IndexMap<ProxyId, Revision>, revision: Revision) {
        if self.live != live {
            self.informed.retain(|(_, id)| live.contains_key(id));
            self.live = live;
            self.ranked.clear();
        }
        self.revision = revision;
        // A write of the announcement without a response may be carried out after a later one.
        let seen = self.live.get(&self.me).copied();
        if self.announced_at.is_some() && self.announced_at < seen {
            self.set_announced(seen);
        }
    }

    /// The revision up to which the live proxies are known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Sets the revision of this proxy's announcement; `None` when it is withdrawn.
    pub fn set_announced(&mut self, at: Option<Revision>) {
        self.announced_at = at;
        self.informed.clear();
        self.ranked.clear();
    }

    /// Sets until when this proxy's registration is certainly valid.
    pub fn set_valid_until(&mut self, until: Time) {
        self.valid_until = until;
    }

    /// Records that a granter of a customer knows of this proxy's announcement at `revision`.
    pub fn set_informed(&mut self, customer: CustomerId, id: ProxyId, revision: Revision) {
        if self.announced_at == Some(revision) {
            self.informed.insert((customer, id));
        }
    }

    /// Whether this proxy knows of an announcement at `revision`, and all granters of the
    /// customer that it displaced know of this proxy.
    pub fn knows(&mut self, customer: &CustomerId, revision: Revision) -> bool {
        let is_announced = self.announced_at.is_some_and(|at| self.revision >= at);
        is_announced && self.revision >= revision && self.uninformed(customer).is_empty()
    }

    /// The granters of a customer.
    pub fn granters(&mut self, customer: &CustomerId) -> &IndexSet<ProxyId> {
        &self.ranking(customer).granters
    }

    /// The parts of a customer's limit that this proxy holds.
    pub fn parts(&mut self, customer: &CustomerId, now: Time) -> Parts {
        let is_known = self.announced_at.is_some_and(|at| self.revision >= at);
        let is_registered = is_known && now < self.valid_until;
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

    /// Granters of `customers` that must learn of this proxy's announcement before it is
    /// confirmed, and the announcement's revision.
    pub fn to_inform<'a>(
        &mut self,
        customers: impl IntoIterator<Item = &'a CustomerId>,
    ) -> Option<(Vec<(CustomerId, ProxyId)>, Revision)> {
        let announced_at = self.announced_at?;
        let mut uninformed = Vec::new();
        for customer in customers {
            let of = self.uninformed(customer).into_iter();
            uninformed.extend(of.map(|id| (customer.clone(), id)));
        }
        Some((uninformed, announced_at))
    }

    /// Granters of a customer that this proxy displaced, and that may not know of it.
    fn uninformed(&mut self, customer: &CustomerId) -> Vec<ProxyId> {
        let displaced = self.ranking(customer).displaced.clone().into_iter();
        let uninformed = displaced.map(|id| (customer.clone(), id));
        let uninformed = uninformed.filter(|at| !self.informed.contains(at));
        uninformed.map(|(_, id)| id).collect()
    }

    fn ranking(&mut self, customer: &CustomerId) -> &Ranking {
        let Self {
            me,
            live,
            announced_at,
            ranked,
            ..
        } = self;
        ranked.entry(customer.clone()).or_insert_with(|| {
            let announced_at = announced_at.unwrap_or_default();
            let earlier = live
                .iter()
                .filter(|(id, at)| **at < announced_at && *id != me);
            let earlier: Vec<_> = earlier.map(|(id, _)| id).collect();
            let mut ranking = Ranking {
                granters: IndexSet::new(),
                mine: Vec::new(),
                displaced: IndexSet::new(),
            };
            for part in 0..PARTS {
                let first = |ids: &mut dyn Iterator<Item = &ProxyId>| {
                    let key = format!("{RANK_KEY}{part}/{customer}");
                    rank::first(&key, ids).cloned()
                };
                let displaced = first(&mut earlier.iter().copied());
                let entered = first(&mut earlier.iter().copied().chain([&*me]));
                let displaced = displaced.filter(|_| entered.as_ref() == Some(me));
                let holder = first(&mut live.keys());
                if first(&mut live.keys().chain([&*me])).as_ref() == Some(me) {
                    ranking.mine.push(displaced.clone());
                }
                ranking.granters.extend(holder);
                ranking.displaced.extend(displaced);
            }
            ranking
        })
    }
}
