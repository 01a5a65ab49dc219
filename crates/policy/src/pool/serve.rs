//! Giving connections to those who wait, and opening new ones within this proxy's part.

use indexmap::IndexMap;
use model::id::InstanceId;
use model::unit::Time;

use super::instance::Limits;
use super::{Action, ConnRequest, Grant, Instance, Kind, Opened, Pool};
use crate::proof::Need;

/// Connections for each slot of an instance that idle ones leave free, for proxies that
/// come back after a loss of power while the instance still holds those of before.
const SPARE_FOR_SLOT: u32 = 8;

impl<C, W> Pool<C, W> {
    /// This proxy's part of an instance's connections.
    fn share(&self) -> u32 {
        (self.connections / self.proxies).max(1)
    }

    /// Connections to an instance that stay open while they are idle.
    ///
    /// Load: all proxies lose power and are back a second later. Harm with more: the
    /// instance still holds the connections of before, and drops them only after seconds;
    /// with all of them taken, nobody is served until then. So all proxies together leave
    /// [`SPARE_FOR_SLOT`] free for each slot, of which two thirds at least are idle, and
    /// keep at least a third of them all: opening one costs as much as a statement.
    pub(super) fn kept(&self, slots: u32) -> u32 {
        if !self.is_holder {
            return 0;
        }
        let spared = self.connections.saturating_sub(slots * SPARE_FOR_SLOT);
        let all = spared.clamp(self.connections / 3, self.connections * 2 / 3);
        (all / self.proxies).max(1)
    }

    /// Connections to an instance that this proxy may hold.
    ///
    /// Load: writes and writing transactions all go to one instance of three. Harm with
    /// no more than the part: they wait although other proxies leave theirs unused. Harm
    /// with much more: after a restart of all, the first proxies take everything, and the
    /// others had no connection for seconds. What is beyond the part is closed as soon as
    /// it is idle for a moment.
    fn limits(&self) -> Limits {
        let part = self.share();
        let most = (part + (part / 2).max(1)).min(self.connections);
        Limits { part, most }
    }

    /// Begins to open a connection that nobody waits for yet; says whether there may be
    /// one. Its outcome goes to [`Pool::opened`].
    pub fn begin_open(&mut self, id: &InstanceId, now: Time) -> bool {
        let limits = self.limits();
        let Some(instance) = self.instances.get_mut(id) else {
            return false;
        };
        let may = instance.may_open(limits, now);
        if may {
            instance.open();
        }
        may
    }

    /// Opens a connection to each instance that stays and to which a proxy that holds
    /// connections has none.
    ///
    /// Load: the store goes away while a fleet is idle. Harm without it: the connections that
    /// are opened with the first statements do not count for proofs of writes until the store
    /// is back, and the writes are in doubt.
    pub fn open_missing(&mut self, now: Time) -> Vec<Action<C, W>> {
        if !self.is_holder {
            return Vec::new();
        }
        let limits = self.limits();
        let mut actions = Vec::new();
        for instance in self.instances.values_mut() {
            let lacks = instance.count() == 0 && !instance.entry().leaving;
            if lacks && instance.may_open(limits, now) {
                instance.open();
                actions.push(Action::Open(instance.id().clone()));
            }
        }
        actions
    }

    pub(super) fn settle(&mut self, now: Time) -> Vec<Action<C, W>> {
        let mut actions = Vec::new();
        let mut at = 0;
        // Connections that will come without another one being opened, by instance.
        let mut coming: IndexMap<InstanceId, u32> = IndexMap::new();
        while at < self.waiting.len() {
            let request = &self.waiting[at].request;
            let need = self.need(request).unwrap_or(Need::Primary);
            match self.place(request, need, now) {
                Some(id) => {
                    let Some(conn) = take(&mut self.instances, &id, self.opened) else {
                        self.expect(&id, &mut coming, now, &mut actions);
                        at += 1;
                        continue;
                    };
                    let pending = self.waiting.remove(at);
                    let grant = grant(id, conn, &pending.request.kind, need);
                    actions.push(Action::Grant(pending.waiter, grant));
                }
                None => at += 1,
            }
        }
        actions
    }

    /// A waiter is meant for an instance without an idle connection: one is opened, unless
    /// enough of them are on the way.
    fn expect(
        &mut self,
        id: &InstanceId,
        coming: &mut IndexMap<InstanceId, u32>,
        now: Time,
        actions: &mut Vec<Action<C, W>>,
    ) {
        let limits = self.limits();
        let expected = coming.entry(id.clone()).or_default();
        *expected += 1;
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        if *expected > instance.opening() && instance.may_open(limits, now) {
            instance.open();
            actions.push(Action::Open(id.clone()));
        }
    }

    /// The instance that would serve the request soonest.
    fn place(&self, request: &ConnRequest, need: Need, now: Time) -> Option<InstanceId> {
        if let Kind::Control(id) = &request.kind {
            let instance = self.instances.get(id)?;
            let mut limits = self.limits();
            limits.most += 1;
            let can = instance.has_idle() || instance.may_open(limits, now);
            return can.then(|| id.clone());
        }
        if need == Need::Primary {
            let id = self.primary.as_ref()?;
            let instance = self.instances.get(id)?;
            let can = instance.has_idle() || self.can_wait_for(instance);
            return (can && instance.serves_writes(now)).then(|| id.clone());
        }
        let limits = self.limits();
        let usable = self.instances.values().filter(|i| {
            let holds = match need {
                Need::Holds(point) => i.may_hold(point, now),
                Need::Primary => true,
            };
            holds
                && i.serves_reads(now)
                && request.avoid.as_ref() != Some(i.id())
                && (i.has_idle() || i.may_open(limits, now) || i.opening() > 0)
        });
        usable
            .min_by_key(|i| i.expected(self.primary.as_ref() == Some(i.id()), now))
            .map(|i| i.id().clone())
    }

    fn can_wait_for(&self, instance: &Instance<C>) -> bool {
        instance.opening() > 0 || instance.count() < self.limits().most
    }
}

fn take<C>(
    instances: &mut IndexMap<InstanceId, Instance<C>>,
    id: &InstanceId,
    opened: Opened<C>,
) -> Option<C> {
    instances.get_mut(id)?.take(opened)
}

fn grant<C>(instance: InstanceId, conn: C, kind: &Kind, need: Need) -> Grant<C> {
    let after = match need {
        Need::Holds(point) => Some(point),
        Need::Primary => None,
    };
    Grant {
        instance,
        conn,
        after,
        verify_primary: matches!(kind, Kind::Read(_)) && need == Need::Primary,
    }
}
