//! Which proxies grant a customer's permits, and whether a proxy may use its whole part.
//!
//! Granters are the first live proxies by rendezvous hash. Proxies see changes of the live
//! ones at different times, so two proxies may take themselves for holder of the same part.
//! A granter is confirmed, and uses its whole part, only when no other one can be:
//!
//! - One that vanishes from the store has stopped: it grants only while its own registration is
//!   certainly valid. So the next one by rank needs no confirmation.
//! - One that appears displaces others, which may not know of it yet. It waits until those
//!   that were granters before it know of its announcement, or have vanished. They answer only
//!   when those that they displaced in turn know of them: of several that appear at once, each
//!   may displace another one that is itself not confirmed yet.

use indexmap::{IndexMap, IndexSet};
use model::id::{CustomerId, ProxyId};
use model::position::Revision;
use model::unit::Time;

use super::GRANTERS;
use crate::rank;

/// Prefix of the key under which proxies are ranked as granters.
const RANK_KEY: &str = "quota/";

/// Whether a proxy may grant permits to a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is no granter.
    Other,
    /// It is a granter by its own view; another proxy may hold the same part.
    Unconfirmed,
    /// It is the only holder of its part.
    Confirmed,
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

/// The granters of one customer.
#[derive(Clone, Debug)]
struct Ranking {
    /// By rank, among the live proxies.
    granters: Vec<ProxyId>,
    /// Whether this proxy is a granter in its own view, in which it is always live.
    includes_me: bool,
    /// Live proxies that were granters before this proxy announced itself, if it became a
    /// granter then.
    displaced: Vec<ProxyId>,
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

    /// The granters of a customer, by rank.
    pub fn granters(&mut self, customer: &CustomerId) -> &[ProxyId] {
        &self.ranking(customer).granters
    }

    /// Whether this proxy may grant permits to a customer.
    pub fn standing(&mut self, customer: &CustomerId, now: Time) -> Standing {
        if !self.ranking(customer).includes_me {
            return Standing::Other;
        }
        let is_known = self.announced_at.is_some_and(|at| self.revision >= at);
        let is_registered = is_known && now < self.valid_until;
        if is_registered && self.uninformed(customer).is_empty() {
            Standing::Confirmed
        } else {
            Standing::Unconfirmed
        }
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
            let entered = top(customer, earlier.iter().copied().chain([&*me])).contains(me);
            let with_me: IndexSet<_> = live.keys().chain([&*me]).collect();
            Ranking {
                granters: top(customer, live.keys()),
                includes_me: top(customer, with_me).contains(me),
                displaced: if entered {
                    top(customer, earlier)
                } else {
                    Vec::new()
                },
            }
        })
    }
}

/// The first proxies by rank.
fn top<'a>(customer: &CustomerId, ids: impl IntoIterator<Item = &'a ProxyId>) -> Vec<ProxyId> {
    let mut ids: Vec<_> = ids.into_iter().collect();
    rank::sort(&format!("{RANK_KEY}{customer}"), &mut ids);
    ids.into_iter().take(GRANTERS).cloned().collect()
}
