//! The store of the simulation: announcements with leases, and every earlier state.

use indexmap::IndexMap;
use model::id::ProxyId;
use model::position::Revision;
use model::unit::{Span, Time};
use policy::quota::Announcement;

/// Time without renewal after which an announcement is deleted.
pub(crate) const LEASE: Span = Span::from_millis(6_000);

/// How much earlier a proxy takes its lease for expired.
pub(crate) const MARGIN: Span = Span::from_millis(300);

type Live = IndexMap<ProxyId, Announcement>;

/// Announcements of live proxies.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    live: Live,
    leases: IndexMap<ProxyId, Time>,
    /// The live proxies at each revision.
    history: Vec<Live>,
}

impl Store {
    pub(crate) fn revision(&self) -> Revision {
        Revision(self.history.len() as u64)
    }

    /// The live proxies at a revision.
    pub(crate) fn at(&self, revision: Revision) -> Live {
        let index = usize::try_from(revision.0).unwrap();
        match index.checked_sub(1) {
            Some(index) => self.history[index].clone(),
            None => Live::new(),
        }
    }

    fn record(&mut self) {
        self.history.push(self.live.clone());
    }

    /// Writes a proxy's announcement; returns its revision. A key that exists stays the same
    /// one, under the new lease.
    pub(crate) fn announce(&mut self, id: &ProxyId, now: Time) -> Revision {
        let revision = self.revision().next();
        let known = self.live.get(id);
        let announcement = Announcement {
            created: known.map_or(revision, |known| known.created),
            written: revision,
        };
        self.live.insert(id.clone(), announcement);
        self.leases.insert(id.clone(), now + LEASE);
        self.record();
        revision
    }

    /// Renews a proxy's lease; `false` if it has expired.
    pub(crate) fn renew(&mut self, id: &ProxyId, now: Time) -> bool {
        match self.leases.get_mut(id) {
            Some(until) => {
                *until = now + LEASE;
                true
            }
            None => false,
        }
    }

    pub(crate) fn withdraw(&mut self, id: &ProxyId) {
        if self.leases.shift_remove(id).is_some() {
            self.live.shift_remove(id);
            self.record();
        }
    }

    /// Deletes the announcements whose leases have expired.
    pub(crate) fn expire(&mut self, now: Time) {
        let expired = self.leases.iter().filter(|(_, until)| **until <= now);
        let expired: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.withdraw(&id);
        }
    }
}
