//! Orders to the platform that an instance lead its group.
//!
//! An order without an answer may be carried out seconds later. It is noted in the store
//! before it is given, so that whoever coordinates names no other instance meanwhile.

use model::id::{GroupId, InstanceId};
use model::position::Revision;
use model::unit::Time;
use policy::order;
use policy::order_tracker::Purpose;
use policy::takeover::OrderResponse;

use super::Coordinator;
use super::links::Links;
use crate::clock;
use crate::directory::IntentKind;

/// An order that was given.
pub(super) struct Given {
    /// Its note in the store.
    noted: Revision,
    /// Whether an order before it may still be carried out.
    earlier: bool,
    /// What the platform said; `None` without an answer.
    pub(super) answer: Option<OrderResponse>,
    /// When it was said, or no longer waited for.
    pub(super) at: Time,
}

/// What an order rests on.
pub(super) struct Basis {
    /// The group whose primary is changed.
    pub(super) group: GroupId,
    /// The revision at which the duty was taken.
    pub(super) duty: Revision,
    /// When the look began that showed whom to name.
    pub(super) looked_at: Time,
}

impl Basis {
    /// The last look of these links.
    pub(super) fn new(links: &Links) -> Self {
        Self {
            group: links.group.group().clone(),
            duty: links.duty,
            looked_at: links.looked_at(),
        }
    }

    fn look_age_ms(&self) -> u64 {
        clock::now().since(self.looked_at).as_millis()
    }
}

/// Notes an order and gives it; `None` if it was not given.
pub(super) async fn give(
    this: &Coordinator,
    purpose: Purpose,
    basis: &Basis,
    next: &InstanceId,
) -> Option<Given> {
    let Basis { group, duty, .. } = basis;
    let earlier = pending(this, group).is_some();
    let name = next.as_str().as_bytes();
    let noted = match this
        .directory
        .record_intent(&this.store, *duty, IntentKind::Lead, group, name)
        .await
    {
        Ok(noted) => noted,
        Err(e) => {
            tracing::warn!(%group, instance = %next, cause = %e, "an order was not noted and not given");
            return None;
        }
    };
    let token = this.next_token(*duty)?;
    let look_age_ms = basis.look_age_ms();
    match purpose {
        Purpose::Change => {
            tracing::warn!(%group, instance = %next, %token, look_age_ms, "an instance is made primary");
        }
        Purpose::VoidEarlier => {
            tracing::info!(%group, instance = %next, %token, look_age_ms, "the present primary is ordered");
        }
    }
    let answer = this.order(purpose, group, next, token).await;
    tracing::info!(%group, instance = %next, %token, ?answer, "the platform answered an order");
    let answer = match answer {
        Err(e) if e.had_no_effect() => Some(OrderResponse::NotNow),
        answer => answer.ok(),
    };
    Some(Given {
        noted,
        earlier,
        answer,
        at: clock::now(),
    })
}

impl Given {
    /// Deletes the note if neither this order nor one before it can have an effect any more.
    pub(super) async fn settle(self, this: &Coordinator, group: &GroupId, led: bool) {
        if led && self.answer == Some(OrderResponse::Accepted) && self.earlier {
            // It leads by the earlier order, and this one is about to take effect as well.
            clock::sleep_until(self.at + order::EFFECT_TIMEOUT).await;
        }
        let since = clock::now().since(self.at);
        if order::is_settled(self.answer, self.earlier, led, since) {
            forget(this, group, IntentKind::Lead, self.noted).await;
        }
    }
}

/// The instance of an order that may still be carried out.
pub(super) fn pending(this: &Coordinator, group: &GroupId) -> Option<InstanceId> {
    this.directory
        .with(|s| s.order_pending(group, clock::now()))
}

/// Whether the note of an order that may still be carried out cannot be read.
pub(super) fn unreadable(this: &Coordinator, group: &GroupId) -> bool {
    this.directory
        .with(|s| s.order_unreadable(group, clock::now()))
}

/// Makes the platform refuse earlier orders without an answer, which all name the primary:
/// whether they are carried out before this one or not, it leads and goes on leading. Says
/// whether none is pending any more.
///
/// One that is carried out after the primary was told to stop makes it lead again, and lets
/// replicas receive that the next order counts on as stopped.
pub(super) async fn void_earlier(this: &Coordinator, links: &Links, primary: &InstanceId) -> bool {
    let basis = Basis::new(links);
    match pending(this, &basis.group) {
        Some(ordered) if ordered == *primary => {}
        Some(_) => return false,
        None => return true,
    }
    let given = give(this, Purpose::VoidEarlier, &basis, primary).await;
    let Some(given) = given.filter(|given| given.answer == Some(OrderResponse::Accepted)) else {
        return false;
    };
    forget(this, &basis.group, IntentKind::Lead, given.noted).await;
    true
}

/// Forgets an order for an instance that has been replaced at its address: it does not run, and
/// does not come back under that id.
pub(super) async fn forget_replaced(this: &Coordinator, group: &GroupId) {
    let replaced = this
        .directory
        .with(|s| s.replaced_order(group, clock::now()));
    if let Some(noted) = replaced {
        tracing::info!(%group, "the ordered instance was replaced at its address: its order is void");
        forget(this, group, IntentKind::Lead, noted).await;
    }
}

/// Forgets the note of a call that cannot be carried out any more.
pub(super) async fn forget_expired(this: &Coordinator, group: &GroupId, call: IntentKind) {
    let expired = this
        .directory
        .with(|s| s.expired_intent(call, group, clock::now()));
    if let Some(noted) = expired {
        forget(this, group, call, noted).await;
    }
}

/// Deletes a note. One that stays lapses, and is deleted then; until then the call is taken for
/// pending.
pub(super) async fn forget(this: &Coordinator, group: &GroupId, call: IntentKind, noted: Revision) {
    let forgotten = this
        .directory
        .delete_intent(&this.store, call, group, noted)
        .await;
    if let Err(e) = forgotten {
        tracing::info!(%group, ?call, cause = %e, "a note was not deleted");
    }
}
