//! Changes of primary, by the proxy that holds the duty.

mod links;
mod newcomers;
mod noting;
mod order;
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
use crate::concern::Concern;
use crate::cx::Cx;
use crate::directory::Directory;
use crate::group;
use crate::member::Member;

/// Longest time between two looks; changes in the store cause a look at once.
const LOOK: Span = Span::from_millis(200);

/// Time between two looks for replicas that were left stopped. Each look costs every
/// instance a slot for a moment; a replica that is left stopped is passed over meanwhile.
const MEND: Span = Span::from_millis(3_000);

/// Longest wait for the platform's answer to an order. It carries one out in 600 to
/// 1,000 ms; whether it did is seen on the instance.
const ORDER: Duration = Duration::from_millis(1_500);

/// Pause between two looks at the instances, or two orders to the platform.
const PAUSE: Duration = Duration::from_millis(60);

/// Least time between two changes of a group's primary because its replicas lag. A change
/// leaves one replica that does not lag; where all of them lag for good, changing the
/// primary again and again helps nobody.
const LAG_PAUSE: Span = Span::from_millis(10_000);

/// The same after a change that came to nothing.
const LAG_RETRY: Span = Span::from_millis(1_500);

/// Before which time the primary of a group is not changed because its replicas lag.
#[derive(Clone, Default)]
pub struct LagHandled(Rc<RefCell<IndexMap<GroupId, Time>>>);

impl LagHandled {
    fn due(&self, group: &GroupId) -> bool {
        let next = self.0.borrow().get(group).copied();
        next.is_none_or(|next| clock::now() >= next)
    }

    fn note(&self, group: &GroupId, led: bool) {
        let pause = if led { LAG_PAUSE } else { LAG_RETRY };
        let next = clock::now() + pause;
        self.0.borrow_mut().insert(group.clone(), next);
    }
}

/// Time for which doubts about a new primary are not counted: by then every proxy has heard
/// of the change, or its doubt is a new one.
const SETTLES: Span = Span::from_millis(1_500);

/// The instance of each group that was made primary last, and when.
#[derive(Clone, Default)]
pub struct Named(Rc<RefCell<IndexMap<GroupId, (InstanceId, Time)>>>);

impl Named {
    fn note(&self, group: &GroupId, instance: &InstanceId) {
        let named = (instance.clone(), clock::now());
        self.0.borrow_mut().insert(group.clone(), named);
    }

    fn settling(&self, group: &GroupId) -> Option<InstanceId> {
        let named = self.0.borrow();
        let (instance, at) = named.get(group)?;
        (!over(*at, SETTLES)).then(|| instance.clone())
    }
}

/// Which primary of each group is accounted for by this proxy's orders.
#[derive(Clone, Default)]
pub struct Accounts(Rc<RefCell<IndexMap<GroupId, OrderTracker>>>);

impl Accounts {
    fn with<T>(&self, group: &GroupId, f: impl FnOnce(&mut OrderTracker) -> T) -> T {
        f(self.0.borrow_mut().entry(group.clone()).or_default())
    }
}

/// What the coordinator works with.
#[derive(Clone)]
pub struct Coordinator {
    /// Shared by all tasks.
    pub cx: Rc<Cx>,
    /// What the store tells.
    pub directory: Directory,
    /// This proxy's standing.
    pub member: Rc<Member>,
    /// The platform's store.
    pub store: Client,
    /// Takes orders.
    pub orders: Client,
    /// The token of the last order.
    pub last: Rc<Cell<Token>>,
    /// Who was made primary last.
    pub named: Named,
    /// Changes because of lagging replicas.
    pub lag_handled: LagHandled,
    /// Primaries that its orders account for.
    pub accounts: Accounts,
}

/// Groups that a task is at work on; one at a time for each.
#[derive(Clone, Default)]
struct Busy(Rc<RefCell<IndexSet<GroupId>>>);

/// A group that is at work on; dropping it frees the group.
struct Entered(Busy, GroupId);

impl Busy {
    fn enter(&self, group: &GroupId) -> Option<Entered> {
        let new = self.0.borrow_mut().insert(group.clone());
        new.then(|| Entered(self.clone(), group.clone()))
    }
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.0.0.borrow_mut().shift_remove(&self.1);
    }
}

impl Coordinator {
    /// Looks after all groups whenever this proxy holds the duty.
    pub async fn run(self, changed: flume::Receiver<()>) {
        let busy = Busy::default();
        let mut mend_at = clock::now();
        loop {
            // Nobody else sends, so an error is only the end of the wait.
            let _ = compio::time::timeout(LOOK.as_duration(), changed.recv_async()).await;
            let Some(duty) = self.member.duty(&self.directory) else {
                continue;
            };
            let mend = clock::now() >= mend_at;
            if mend {
                mend_at = clock::now() + MEND;
            }
            for group in self.cx.groups() {
                let Some(entered) = busy.enter(group.group()) else {
                    continue;
                };
                let trigger = self.trigger(&group).await;
                let this = self.clone();
                if let Some((instance, cause)) = trigger {
                    let change = async move {
                        takeover::run(&this, duty, group, instance, cause).await;
                        drop(entered);
                    };
                    compio::runtime::spawn(change).detach();
                } else if mend {
                    let mend = async move {
                        resume::mend(&this, duty, group).await;
                        drop(entered);
                    };
                    compio::runtime::spawn(mend).detach();
                }
            }
        }
    }

    /// Whether this proxy still holds the duty that it took at this revision. What was found
    /// out under an earlier one may have been changed by another coordinator since.
    fn holds(&self, duty: Revision) -> bool {
        self.member.duty(&self.directory) == Some(duty)
    }

    /// A token for the next order, higher than all before: an order that is carried out
    /// late is then refused once a newer one was seen. `None` without the duty.
    fn next_token(&self, duty: Revision) -> Option<Token> {
        if !self.holds(duty) {
            return None;
        }
        let token = Token::first(duty.0).max(self.last.get().next());
        self.last.set(token);
        Some(token)
    }

    /// Orders the platform to make an instance lead its group.
    async fn order(
        &self,
        purpose: Purpose,
        group: &GroupId,
        instance: &InstanceId,
        token: Token,
    ) -> Result<OrderResponse, Error> {
        let (holder, target) = (&self.member.id, (group, instance));
        let answer = platform::order::promote(&self.orders, holder, token, target, ORDER).await;
        let told = answer.as_ref().ok().copied();
        self.cx.metrics.ordered(purpose, told);
        if matches!(told, None | Some(OrderResponse::Accepted)) {
            self.accounts
                .with(group, |e| e.record_order(purpose, instance));
        }
        answer
    }

    /// Counts a primary that this proxy's last order does not account for.
    fn note_look(&self, group: &GroupId, members: &[policy::takeover::InstanceView]) {
        let Some(duty) = self.member.duty(&self.directory) else {
            return;
        };
        let holder = Token::first(duty.0);
        let late = self.accounts.with(group, |e| e.observe(holder, members));
        if let Some(UnexpectedPrimary {
            instance,
            last_purpose: after,
        }) = late
        {
            self.cx.metrics.order_late(after);
            tracing::warn!(%group, %instance, ?after, "an instance leads that the last order does not account for");
        }
    }

    /// Whether the group's primary is to be replaced, and why.
    async fn trigger(&self, group: &group::Handle) -> Option<(InstanceId, Cause)> {
        let view = group.view().await;
        let id = group.group();
        let told = self.cx.reports.about(id, clock::now());
        if let Some(doubted) = self.doubted(id, &told, view.primary.as_ref()) {
            return Some((doubted, Cause::Doubted));
        }
        let primary = view.primary?;
        if order::pending(self, id).is_some_and(|ordered| ordered != primary) {
            return Some((primary, Cause::Unfinished));
        }
        let members = self.directory.with(|s| s.instances(group.group()));
        let leaving = members.iter().any(|(e, _)| e.id == primary && e.leaving);
        let successor = members
            .iter()
            .any(|(e, listed)| e.id != primary && *listed && !e.leaving);
        if leaving && successor {
            return Some((primary, Cause::Leaving));
        }
        let lags = successor && self.lags(id, &told);
        lags.then_some((primary, Cause::Lagging))
    }

    /// The instance that enough proxies doubt, by the store or by their reports.
    fn doubted(
        &self,
        group: &GroupId,
        told: &[(ProxyId, Concern)],
        primary: Option<&InstanceId>,
    ) -> Option<InstanceId> {
        let reported = told.iter().filter_map(|(proxy, concern)| {
            let (instance, _) = concern.doubt.as_ref()?;
            Some((proxy.clone(), instance.clone()))
        });
        self.directory.with(|state| {
            let doubts = Suspicions {
                by_proxy: state.suspicions(group).chain(reported).collect(),
                primary: primary.cloned(),
                recently_promoted: self.named.settling(group),
                holders: state.holders(group) as usize,
            };
            quorum::suspected(&doubts, |id| state.is_announced(id))
        })
    }

    /// Whether enough proxies find that no replica holds what reads need.
    fn lags(&self, group: &GroupId, told: &[(ProxyId, Concern)]) -> bool {
        let lags = told.iter().filter(|(_, concern)| concern.lags).count();
        let holders = self.directory.with(|state| state.holders(group));
        lags >= quorum::required(holders as usize) && self.lag_handled.due(group)
    }
}

/// Whether some time has passed.
fn over(since: Time, limit: Span) -> bool {
    clock::now().since(since) >= limit
}
