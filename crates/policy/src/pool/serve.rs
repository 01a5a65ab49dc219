//! Grants connections to waiting requests, and opens new ones within this proxy's share.

use indexmap::IndexMap;
use model::id::{CustomerId, InstanceId};
use model::unit::Time;

use super::instance::Limits;
use super::{Action, ConnRequest, Grant, Instance, Kind, Pool};
use crate::proof::Need;

/// Connections per slot of an instance that idle connections leave free. Proxies that restart
/// after a power failure need them while the instance still holds their earlier connections.
const SPARE_PER_SLOT: u32 = 8;

/// The same where each connection serves one customer only. More of them are retained, since
/// the next statement of a customer without one opens it again; a few holders that restart
/// need fewer.
const SPARE_PER_SLOT_BY_CUSTOMER: u32 = 5;

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
        let spare_per_slot = if self.demand.is_empty() {
            SPARE_PER_SLOT
        } else {
            SPARE_PER_SLOT_BY_CUSTOMER
        };
        let unreserved = self.connections.saturating_sub(slots * spare_per_slot);
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
            instance.begin_open(None);
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
                instance.begin_open(None);
                actions.push(Action::Open(instance.id().clone(), None));
            }
        }
        actions
    }

    pub(super) fn serve_waiting(&mut self, now: Time) -> Vec<Action<C, W>> {
        self.queue.advance_passed_over();
        let mut actions = Vec::new();
        let mut at = 0;
        let mut waiters = Waiters::new();
        while at < self.queue.len() {
            let request = &self.queue[at].request;
            let need = self.need(request).unwrap_or(Need::Primary);
            match self.choose_instance(request, need, now) {
                Some(id) => {
                    let info = self.conn_info;
                    let usable = |owner: Option<&CustomerId>| request.may_use(owner);
                    let instance = self.instances.get_mut(&id);
                    let Some(conn) = instance.and_then(|i| i.take(info, usable)) else {
                        let customer = request.customer.clone();
                        self.ensure_opening(&id, customer, &mut waiters, now, &mut actions);
                        at += 1;
                        continue;
                    };
                    if let (Some(instance), Need::Holds(point)) =
                        (self.instances.get_mut(&id), need)
                    {
                        instance.record_read(point, now);
                    }
                    let pending = self.queue.take(at);
                    self.record_granted(pending.lane, now);
                    let grant = grant(id, conn, &pending.request.kind, need);
                    actions.push(Action::Grant(pending.waiter, grant));
                }
                None => at += 1,
            }
        }
        actions
    }

    /// Opens a connection to an instance for one more waiting request, unless enough are being
    /// opened. Where no further one may be open, an idle one of another customer is closed.
    fn ensure_opening(
        &mut self,
        id: &InstanceId,
        customer: Option<CustomerId>,
        waiters: &mut Waiters,
        now: Time,
        actions: &mut Vec<Action<C, W>>,
    ) {
        let (limits, info) = (self.limits(), self.conn_info);
        let waiting = waiters.entry((id.clone(), customer.clone())).or_default();
        *waiting += 1;
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        if *waiting <= instance.opening_for(|owner| owner == customer.as_ref()) {
            return;
        }
        if !instance.may_open(limits, now) {
            if !instance.may_replace(limits, now) {
                return;
            }
            actions.extend(
                instance
                    .evict(info, limits, &self.demand, now)
                    .map(Action::Close),
            );
        }
        instance.begin_open(customer.clone());
        actions.push(Action::Open(id.clone(), customer));
    }

    /// The instance that is expected to serve the request soonest.
    fn choose_instance(&self, request: &ConnRequest, need: Need, now: Time) -> Option<InstanceId> {
        if let Kind::Control(id) = &request.kind {
            let instance = self.instances.get(id)?;
            let mut limits = self.limits();
            limits.max += 1;
            let can = self.has_idle(instance, request) || instance.may_open(limits, now);
            return can.then(|| id.clone());
        }
        if need == Need::Primary {
            let id = self.primary.as_ref()?;
            let instance = self.instances.get(id)?;
            let can = self.has_idle(instance, request) || self.will_have_connection(instance, now);
            let serves = instance.serves_writes(now) && self.has_room(instance);
            return (can && serves).then(|| id.clone());
        }
        let limits = self.limits();
        let usable = self.instances.values().filter(|i| {
            let holds = match need {
                Need::Holds(point) => i.may_hold(point, self.queue.is_fair(), now),
                Need::Primary => true,
            };
            holds
                && i.serves_reads(now)
                && self.has_room(i)
                && request.avoid.as_ref() != Some(i.id())
                && (self.has_idle(i, request)
                    || i.may_open(limits, now)
                    || i.may_replace(limits, now)
                    || i.opening_for(|owner| request.may_use(owner)) > 0)
        });
        usable
            .min_by_key(|i| {
                let is_primary = self.primary.as_ref() == Some(i.id());
                i.expected_latency(is_primary, self.has_idle(i, request), now)
            })
            .map(|i| i.id().clone())
    }

    /// Whether the instance may be given one more statement. Without customers only reads are
    /// bounded.
    fn has_room(&self, instance: &Instance<C>) -> bool {
        !self.queue.is_fair() || instance.has_room(self.proxies)
    }

    /// Whether a connection is idle that the request may use.
    fn has_idle(&self, instance: &Instance<C>, request: &ConnRequest) -> bool {
        instance.has_idle(self.conn_info, |owner| request.may_use(owner))
    }

    fn will_have_connection(&self, instance: &Instance<C>, now: Time) -> bool {
        let limits = self.limits();
        instance.opening() > 0 || instance.count() < limits.max || instance.may_replace(limits, now)
    }
}

/// Requests that wait for a connection that is being opened, by instance and customer.
type Waiters = IndexMap<(InstanceId, Option<CustomerId>), u32>;

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
