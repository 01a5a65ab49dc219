//! Changes of primary, by the proxy that holds the duty.

mod links;
mod resume;
mod takeover;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use model::id::{GroupId, InstanceId};
use model::unit::Span;
use policy::takeover::{Answer, Cause, Token};
use store::client::Client;
use store::error::Error;

use crate::clock;
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
            if self.member.duty(&self.directory).is_none() {
                continue;
            }
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
                        takeover::run(&this, group, instance, cause).await;
                        drop(entered);
                    };
                    compio::runtime::spawn(change).detach();
                } else if mend {
                    let mend = async move {
                        resume::mend(&this, group).await;
                        drop(entered);
                    };
                    compio::runtime::spawn(mend).detach();
                }
            }
        }
    }

    /// A token for the next order, higher than all before: an order that is carried out
    /// late is then refused once a newer one was seen. `None` without the duty.
    fn next_token(&self) -> Option<Token> {
        let first = self.member.duty(&self.directory)?;
        let token = first.max(self.last.get().next());
        self.last.set(token);
        Some(token)
    }

    /// Orders the platform to make an instance lead its group.
    async fn order(
        &self,
        group: &GroupId,
        instance: &InstanceId,
        token: Token,
    ) -> Result<Answer, Error> {
        let (holder, target) = (&self.member.id, (group, instance));
        platform::order::promote(&self.orders, holder, token, target, ORDER).await
    }

    /// Whether the group's primary is to be replaced, and why.
    async fn trigger(&self, group: &group::Handle) -> Option<(InstanceId, Cause)> {
        let view = group.view().await;
        if let Some(doubted) = self.doubted(group.group(), view.primary.as_ref()) {
            return Some((doubted, Cause::Doubted));
        }
        let primary = view.primary?;
        let members = self.directory.with(|s| s.members(group.group()));
        let leaving = members.iter().any(|(e, _)| e.id == primary && e.leaving);
        let successor = members
            .iter()
            .any(|(e, listed)| e.id != primary && *listed && !e.leaving);
        (leaving && successor).then_some((primary, Cause::Leaving))
    }

    /// The instance that a third of the proxies doubt which hold connections to the group,
    /// two at least.
    ///
    /// One proxy alone may be cut off itself, and its callers can reach another proxy. A
    /// third of the callers without writes is worth a change, which costs all of them less
    /// than a second. A proxy that is alone decides alone.
    fn doubted(&self, group: &GroupId, primary: Option<&InstanceId>) -> Option<InstanceId> {
        self.directory.with(|state| {
            let doubts: Vec<_> = state.doubts(group).collect();
            // While a primary is known, doubts about another instance are late: they come
            // from proxies that have not heard of the change yet.
            let newest = match primary {
                Some(primary) => doubts.iter().find(|i| **i == primary)?,
                None => doubts.first()?,
            };
            let same = doubts.iter().filter(|i| *i == newest).count();
            let holders = state.holders(group) as usize;
            let needed = holders.div_ceil(3).max(2.min(holders));
            (same >= needed).then(|| (**newest).clone())
        })
    }
}

/// Whether some time has passed.
fn over(since: model::unit::Time, limit: Span) -> bool {
    clock::now().since(since) >= limit
}
