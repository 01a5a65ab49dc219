//! Changes of primary, which the proxy with the coordinator role carries out.

mod change_intent;
mod new_instances;
mod order;
mod queries;
mod report;
mod resume;
mod takeover;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::id::{GroupId, InstanceId, ProxyId};
use model::position::Revision;
use model::unit::{Span, Time};
use policy::order_tracker::{OrderTracker, Purpose, UnexpectedPrimary};
use policy::quorum::{self, Suspicions};
use policy::takeover::{Cause, OrderResponse, Token};
use store::client::Client;
use store::error::Error;

use crate::clock;
use crate::cx::Cx;
use crate::directory::Directory;
use crate::group;
use crate::health::GroupReport;
use crate::registration::Registration;

/// Longest time between two checks of all groups; a change in the store causes a check at once.
const CHECK_INTERVAL: Span = Span::from_millis(200);

/// Time between two surveys for replicas that were left paused. Each survey briefly takes a slot
/// of every instance; a replica that is left paused is not used meanwhile.
const RESUME_INTERVAL: Span = Span::from_millis(3_000);

/// Longest wait for the platform's response to a promotion order. The platform takes 600 to
/// 1,000 ms to carry one out; the instance's state shows whether it did.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause between two surveys of the instances, or two orders to the platform.
const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Minimum time between two changes of a group's primary because its replicas lag. After a
/// change, one replica does not lag; where all of them lag permanently, repeated changes of
/// primary improve nothing.
const LAG_CHANGE_INTERVAL: Span = Span::from_millis(10_000);

/// The same after a change that did not replace the primary.
const LAG_RETRY_INTERVAL: Span = Span::from_millis(1_500);

/// Time of each group before which its primary is not changed again because replicas lag.
#[derive(Clone, Default)]
pub struct LagBackoff(Rc<RefCell<IndexMap<GroupId, Time>>>);

impl LagBackoff {
    fn due(&self, group: &GroupId) -> bool {
        let next = self.0.borrow().get(group).copied();
        next.is_none_or(|next| clock::now() >= next)
    }

    fn record(&self, group: &GroupId, promoted: bool) {
        let pause = if promoted {
            LAG_CHANGE_INTERVAL
        } else {
            LAG_RETRY_INTERVAL
        };
        let next = clock::now() + pause;
        self.0.borrow_mut().insert(group.clone(), next);
    }
}

/// Time for which suspicions of a new primary are not counted. After it, every proxy has
/// learnt of the change, so that a suspicion is a new one.
const PROMOTION_GRACE: Span = Span::from_millis(1_500);

/// The instance that was promoted last in each group, and when.
#[derive(Clone, Default)]
pub struct RecentPromotions(Rc<RefCell<IndexMap<GroupId, (InstanceId, Time)>>>);

impl RecentPromotions {
    fn record(&self, group: &GroupId, instance: &InstanceId) {
        let promoted = (instance.clone(), clock::now());
        self.0.borrow_mut().insert(group.clone(), promoted);
    }

    fn recently_promoted(&self, group: &GroupId) -> Option<InstanceId> {
        let promoted = self.0.borrow();
        let (instance, at) = promoted.get(group)?;
        (!has_elapsed(*at, PROMOTION_GRACE)).then(|| instance.clone())
    }
}

/// Which primary of each group is explained by this proxy's orders.
#[derive(Clone, Default)]
pub struct OrderTrackers(Rc<RefCell<IndexMap<GroupId, OrderTracker>>>);

impl OrderTrackers {
    fn with<T>(&self, group: &GroupId, f: impl FnOnce(&mut OrderTracker) -> T) -> T {
        f(self.0.borrow_mut().entry(group.clone()).or_default())
    }
}

/// State and clients of the coordinator.
#[derive(Clone)]
pub struct Coordinator {
    /// Shared by all tasks.
    pub cx: Rc<Cx>,
    /// This proxy's mirror of the store.
    pub directory: Directory,
    /// This proxy's registration in the store, with its coordinator role.
    pub registration: Rc<Registration>,
    /// The platform's store.
    pub store: Client,
    /// The platform's API for promotion orders.
    pub orders: Client,
    /// The token of the last order.
    pub last_token: Rc<Cell<Token>>,
    /// The last promotion of each group.
    pub promotions: RecentPromotions,
    /// Limits how often lagging replicas cause a change.
    pub lag_backoff: LagBackoff,
    /// Primaries that this proxy's orders explain.
    pub order_trackers: OrderTrackers,
}

/// Groups that a task is working on; at most one task per group.
#[derive(Clone, Default)]
struct GroupLocks(Rc<RefCell<IndexSet<GroupId>>>);

/// The lock of one group, released on drop.
struct GroupLock(GroupLocks, GroupId);

impl GroupLocks {
    fn try_lock(&self, group: &GroupId) -> Option<GroupLock> {
        let new = self.0.borrow_mut().insert(group.clone());
        new.then(|| GroupLock(self.clone(), group.clone()))
    }
}

impl Drop for GroupLock {
    fn drop(&mut self) {
        self.0.0.borrow_mut().shift_remove(&self.1);
    }
}

impl Coordinator {
    /// Checks all groups while this proxy holds the coordinator role.
    pub async fn run(self, changed: flume::Receiver<()>) {
        let locks = GroupLocks::default();
        let mut next_repair = clock::now();
        loop {
            // An error only means that the wait timed out: the sender is never dropped.
            let _ = compio::time::timeout(CHECK_INTERVAL.as_duration(), changed.recv_async()).await;
            let Some(epoch) = self.registration.coordinator_epoch(&self.directory) else {
                continue;
            };
            let repair = clock::now() >= next_repair;
            if repair {
                next_repair = clock::now() + RESUME_INTERVAL;
            }
            for group in self.cx.groups() {
                let Some(lock) = locks.try_lock(group.group()) else {
                    continue;
                };
                let trigger = self.trigger(&group).await;
                let this = self.clone();
                if let Some((instance, cause)) = trigger {
                    let change = async move {
                        takeover::run(&this, epoch, group, instance, cause).await;
                        drop(lock);
                    };
                    compio::runtime::spawn(change).detach();
                } else if repair {
                    let repair = async move {
                        resume::repair(&this, epoch, group).await;
                        drop(lock);
                    };
                    compio::runtime::spawn(repair).detach();
                }
            }
        }
    }

    /// Whether this proxy still holds the coordinator role of this epoch. Another coordinator may
    /// since have changed what was found out in an earlier epoch.
    fn holds_role(&self, epoch: Revision) -> bool {
        self.registration.coordinator_epoch(&self.directory) == Some(epoch)
    }

    /// A token for the next order, higher than all before: the platform rejects a delayed order
    /// once it has received a newer one. `None` without the coordinator role.
    fn next_token(&self, epoch: Revision) -> Option<Token> {
        if !self.holds_role(epoch) {
            return None;
        }
        let token = Token::first(epoch.0).max(self.last_token.get().next());
        self.last_token.set(token);
        Some(token)
    }

    /// Orders the platform to promote an instance.
    async fn send_order(
        &self,
        purpose: Purpose,
        group: &GroupId,
        instance: &InstanceId,
        token: Token,
    ) -> Result<OrderResponse, Error> {
        let (holder, target) = (&self.registration.id, (group, instance));
        let result =
            platform::order::promote(&self.orders, holder, token, target, ORDER_TIMEOUT).await;
        let response = result.as_ref().ok().copied();
        self.cx.metrics.order_ended(purpose, response);
        if matches!(response, None | Some(OrderResponse::Accepted)) {
            self.order_trackers
                .with(group, |e| e.record_order(purpose, instance));
        }
        result
    }

    /// Counts and logs a primary that this proxy's last order does not explain.
    fn observe_primary(&self, group: &GroupId, instances: &[policy::takeover::InstanceView]) {
        let Some(epoch) = self.registration.coordinator_epoch(&self.directory) else {
            return;
        };
        let holder = Token::first(epoch.0);
        let unexpected = self
            .order_trackers
            .with(group, |e| e.observe(holder, instances));
        if let Some(UnexpectedPrimary {
            instance,
            last_purpose: after,
        }) = unexpected
        {
            self.cx.metrics.unexpected_primary(after);
            tracing::warn!(%group, %instance, ?after, "unexpected primary: not the result of this coordinator's last order");
        }
    }

    /// The primary to replace and why, if there is a reason.
    async fn trigger(&self, group: &group::Handle) -> Option<(InstanceId, Cause)> {
        let view = group.view().await;
        let id = group.group();
        let reports = self.cx.reports.for_group(id, clock::now());
        if let Some(suspected) = self.suspected(id, &reports, view.primary.as_ref()) {
            return Some((suspected, Cause::Doubted));
        }
        let primary = view.primary?;
        if order::pending(self, id).is_some_and(|pending| pending != primary) {
            return Some((primary, Cause::Unfinished));
        }
        let instances = self.directory.with(|s| s.instances(group.group()));
        let leaving = instances.iter().any(|(e, _)| e.id == primary && e.leaving);
        let successor = instances
            .iter()
            .any(|(e, announced)| e.id != primary && *announced && !e.leaving);
        if leaving && successor {
            return Some((primary, Cause::Leaving));
        }
        let lags = successor && self.lags(id, &reports);
        lags.then_some((primary, Cause::Lagging))
    }

    /// The instance that a quorum of proxies suspects, by the store or by their reports.
    fn suspected(
        &self,
        group: &GroupId,
        reports: &[(ProxyId, GroupReport)],
        primary: Option<&InstanceId>,
    ) -> Option<InstanceId> {
        let reported = reports.iter().filter_map(|(proxy, report)| {
            let (instance, _) = report.suspicion.as_ref()?;
            Some((proxy.clone(), instance.clone()))
        });
        self.directory.with(|state| {
            let suspicions = Suspicions {
                by_proxy: state.suspicions(group).chain(reported).collect(),
                primary: primary.cloned(),
                recently_promoted: self.promotions.recently_promoted(group),
                holders: state.holders(group) as usize,
            };
            quorum::suspected(&suspicions, |id| state.is_announced(id))
        })
    }

    /// Whether a quorum of proxies reports that no replica holds the writes that reads need.
    fn lags(&self, group: &GroupId, reports: &[(ProxyId, GroupReport)]) -> bool {
        let lags = reports.iter().filter(|(_, report)| report.lags).count();
        let holders = self.directory.with(|state| state.holders(group));
        lags >= quorum::required(holders as usize) && self.lag_backoff.due(group)
    }
}

/// Whether this much time has passed.
fn has_elapsed(since: Time, limit: Span) -> bool {
    clock::now().since(since) >= limit
}
