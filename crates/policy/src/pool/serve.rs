//! Grants connections to waiting requests, and opens new ones within this proxy's share.

use indexmap::IndexMap;
use model::id::InstanceId;
use model::unit::Time;

use super::instance::Limits;
use super::{Action, ConnRequest, Grant, Instance, Kind, OpenedAt, Pool};
use crate::proof::Need;

/// Connections per slot of an instance that idle connections leave free. Proxies that restart
/// after a power failure need them while the instance still holds their earlier connections.
const SPARE_PER_SLOT: u32 = 8;

impl<C, W> Pool<C, W> {
    /// This proxy's share of an instance's connections.
    fn share(&self) -> u32 {
        (self.connections / self.proxies).max(1)
    }

    /// Number of connections to an instance that stay open while idle.
    ///
    /// After a power failure all proxies are back within a second, but the instance drops their
    /// earlier connections only seconds later. If these were all of its connections, nobody
    /// would be served until then. So all proxies together leave [`SPARE_PER_SLOT`] connections
    /// free per slot and retain at most two thirds of all connections. They retain at least a
    /// third, since opening a connection costs as much as a statement.
    pub(super) fn retained(&self, slots: u32) -> u32 {
        if !self.is_holder {
            return 0;
        }
        let unreserved = self.connections.saturating_sub(slots * SPARE_PER_SLOT);
        let retained_by_all = unreserved.clamp(self.connections / 3, self.connections * 2 / 3);
        (retained_by_all / self.proxies).max(1)
    }

    /// Number of connections to an instance that this proxy may hold.
    ///
    /// Writes and writing transactions all use one instance of three; limited to its share, a
    /// proxy would make them wait although other proxies leave connections unused. With a much
    /// higher limit, the first proxies after a restart of all took every connection, and the
    /// others had none for seconds. Connections beyond the share are closed once they are idle
    /// for a moment.
    fn limits(&self) -> Limits {
        let share = self.share();
        let max = (share + (share / 2).max(1)).min(self.connections);
        Limits { share, max }
    }

    /// Starts to open a connection that no request waits for yet; returns whether one may be
    /// opened. Pass the result to [`Pool::open_completed`].
    pub fn begin_open(&mut self, id: &InstanceId, now: Time) -> bool {
        let limits = self.limits();
        let Some(instance) = self.instances.get_mut(id) else {
            return false;
        };
        let may = instance.may_open(limits, now);
        if may {
            instance.begin_open();
        }
        may
    }

    /// Opens a connection to each instance that is not leaving and has none, if this proxy
    /// holds connections.
    ///
    /// When the store becomes unavailable while a fleet is idle, connections that are opened
    /// with the first statements are not eligible for replica acknowledgements until the store
    /// is back, and the writes would end in doubt.
    pub fn open_missing(&mut self, now: Time) -> Vec<Action<C, W>> {
        if !self.is_holder {
            return Vec::new();
        }
        let limits = self.limits();
        let mut actions = Vec::new();
        for instance in self.instances.values_mut() {
            let is_missing = instance.count() == 0 && !instance.entry().leaving;
            if is_missing && instance.may_open(limits, now) {
                instance.begin_open();
                actions.push(Action::Open(instance.id().clone()));
            }
        }
        actions
    }

    pub(super) fn serve_waiting(&mut self, now: Time) -> Vec<Action<C, W>> {
        let mut actions = Vec::new();
        let mut at = 0;
        // Requests waiting for a connection that is being opened, by instance.
        let mut waiters_by_instance: IndexMap<InstanceId, u32> = IndexMap::new();
        while at < self.waiting.len() {
            let request = &self.waiting[at].request;
            let need = self.need(request).unwrap_or(Need::Primary);
            match self.choose_instance(request, need, now) {
                Some(id) => {
                    let Some(conn) = take(&mut self.instances, &id, self.opened_at) else {
                        self.ensure_opening(&id, &mut waiters_by_instance, now, &mut actions);
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

    /// Opens a connection to an instance for one more waiting request, unless enough are being
    /// opened.
    fn ensure_opening(
        &mut self,
        id: &InstanceId,
        waiters_by_instance: &mut IndexMap<InstanceId, u32>,
        now: Time,
        actions: &mut Vec<Action<C, W>>,
    ) {
        let limits = self.limits();
        let waiters = waiters_by_instance.entry(id.clone()).or_default();
        *waiters += 1;
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        if *waiters > instance.opening() && instance.may_open(limits, now) {
            instance.begin_open();
            actions.push(Action::Open(id.clone()));
        }
    }

    /// The instance that is expected to serve the request soonest.
    fn choose_instance(&self, request: &ConnRequest, need: Need, now: Time) -> Option<InstanceId> {
        if let Kind::Control(id) = &request.kind {
            let instance = self.instances.get(id)?;
            let mut limits = self.limits();
            limits.max += 1;
            let can = instance.has_idle() || instance.may_open(limits, now);
            return can.then(|| id.clone());
        }
        if need == Need::Primary {
            let id = self.primary.as_ref()?;
            let instance = self.instances.get(id)?;
            let can = instance.has_idle() || self.will_have_connection(instance);
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
            .min_by_key(|i| i.expected_latency(self.primary.as_ref() == Some(i.id()), now))
            .map(|i| i.id().clone())
    }

    fn will_have_connection(&self, instance: &Instance<C>) -> bool {
        instance.opening() > 0 || instance.count() < self.limits().max
    }
}

fn take<C>(
    instances: &mut IndexMap<InstanceId, Instance<C>>,
    id: &InstanceId,
    opened_at: OpenedAt<C>,
) -> Option<C> {
    instances.get_mut(id)?.take(opened_at)
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
