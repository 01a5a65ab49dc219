//! Promotion orders to the platform.
//!
//! An order without a response may be carried out seconds later. Its intent is recorded in the
//! store before it is sent, so that no coordinator promotes another instance meanwhile.

use model::id::{GroupId, InstanceId};
use model::position::Revision;
use model::unit::Time;
use policy::order;
use policy::order_tracker::Purpose;
use policy::takeover::OrderResponse;

use super::Coordinator;
use super::queries::InstanceQueries;
use crate::clock;
use crate::directory::IntentKind;

/// An order that was sent.
pub(super) struct SentOrder {
    /// The revision of its intent in the store.
    intent: Revision,
    /// Whether an order before it may still be carried out.
    earlier_pending: bool,
    /// The platform's response; `None` without one.
    pub(super) response: Option<OrderResponse>,
    /// When the response arrived, or the wait for it ended.
    pub(super) at: Time,
}

/// The facts on which an order is based.
pub(super) struct OrderBasis {
    /// The group whose primary is changed.
    pub(super) group: GroupId,
    /// The epoch of the coordinator role.
    pub(super) epoch: Revision,
    /// When the survey began by which the next primary was chosen.
    pub(super) surveyed_at: Time,
}

impl OrderBasis {
    /// Based on the last survey.
    pub(super) fn new(queries: &InstanceQueries) -> Self {
        Self {
            group: queries.group.group().clone(),
            epoch: queries.epoch,
            surveyed_at: queries.surveyed_at(),
        }
    }

    fn look_age_ms(&self) -> u64 {
        clock::now().since(self.surveyed_at).as_millis()
    }
}

/// Records the intent of an order and sends it; `None` if it was not sent.
pub(super) async fn send(
    this: &Coordinator,
    purpose: Purpose,
    basis: &OrderBasis,
    next: &InstanceId,
) -> Option<SentOrder> {
    let OrderBasis { group, epoch, .. } = basis;
    let earlier_pending = pending(this, group).is_some();
    let name = next.as_str().as_bytes();
    let intent = match this
        .directory
        .record_intent(&this.store, *epoch, IntentKind::Lead, group, name)
        .await
    {
        Ok(intent) => intent,
        Err(e) => {
            tracing::warn!(%group, instance = %next, cause = %e, "an order was not sent: its intent was not recorded");
            return None;
        }
    };
    let token = this.next_token(*epoch)?;
    let look_age_ms = basis.look_age_ms();
    match purpose {
        Purpose::Change => {
            tracing::warn!(%group, instance = %next, %token, look_age_ms, "ordering the platform to promote an instance");
        }
        Purpose::VoidEarlier => {
            tracing::info!(%group, instance = %next, %token, look_age_ms, "ordering the platform to promote the present primary, which voids earlier orders");
        }
    }
    let response = this.send_order(purpose, group, next, token).await;
    tracing::info!(%group, instance = %next, %token, answer = ?response, "the platform responded to an order");
    let response = match response {
        Err(e) if e.had_no_effect() => Some(OrderResponse::NotNow),
        response => response.ok(),
    };
    Some(SentOrder {
        intent,
        earlier_pending,
        response,
        at: clock::now(),
    })
}

impl SentOrder {
    /// Deletes the intent if neither this order nor one before it can take effect any more.
    pub(super) async fn settle(self, this: &Coordinator, group: &GroupId, promoted: bool) {
        if promoted && self.response == Some(OrderResponse::Accepted) && self.earlier_pending {
            // It leads by the earlier order, and this one is about to take effect too.
            clock::sleep_until(self.at + order::EFFECT_TIMEOUT).await;
        }
        let since = clock::now().since(self.at);
        if order::is_settled(self.response, self.earlier_pending, promoted, since) {
            delete_intent(this, group, IntentKind::Lead, self.intent).await;
        }
    }
}

/// The instance of an order that may still be carried out.
pub(super) fn pending(this: &Coordinator, group: &GroupId) -> Option<InstanceId> {
    this.directory
        .with(|s| s.order_pending(group, clock::now()))
}

/// Whether there is an unreadable intent of an order that may still be carried out.
pub(super) fn unreadable(this: &Coordinator, group: &GroupId) -> bool {
    this.directory
        .with(|s| s.order_unreadable(group, clock::now()))
}

/// Makes the platform reject earlier orders without a response, which are all for the primary.
///
/// An order takes effect even if its instance leads when the platform accepts it: once demoted,
/// the instance leads again, and the replicas resume that have to stay paused for the next order.
/// So the orders stay pending, and the primary must not be replaced, until the returned time.
/// `None` if the platform did not accept the order.
pub(super) async fn void_earlier(
    this: &Coordinator,
    queries: &InstanceQueries,
    primary: &InstanceId,
) -> Option<Time> {
    let basis = OrderBasis::new(queries);
    let group = &basis.group;
    if pending(this, group).as_ref() != Some(primary) {
        return None;
    }
    let now = clock::now();
    let settles_at = this.directory.with(|s| s.order_settles_at(group, now));
    if settles_at.is_some() {
        return settles_at;
    }
    let sent = send(this, Purpose::VoidEarlier, &basis, primary).await?;
    if sent.response != Some(OrderResponse::Accepted) {
        return None;
    }
    let settles_at = sent.at + order::EFFECT_TIMEOUT;
    this.directory
        .order_accepted(group, sent.intent, settles_at);
    Some(settles_at)
}

/// Deletes the intent of an order for an instance that has been replaced at its address: that
/// instance no longer runs, and does not return under its id.
pub(super) async fn delete_replaced(this: &Coordinator, group: &GroupId) {
    let replaced = this
        .directory
        .with(|s| s.replaced_order(group, clock::now()));
    if let Some(intent) = replaced {
        tracing::info!(%group, "the instance to promote was replaced at its address: its order is void");
        delete_intent(this, group, IntentKind::Lead, intent).await;
    }
}

/// Deletes the intent of a call that can no longer be carried out.
pub(super) async fn delete_expired(this: &Coordinator, group: &GroupId, call: IntentKind) {
    let expired = this
        .directory
        .with(|s| s.expired_intent(call, group, clock::now()));
    if let Some(intent) = expired {
        delete_intent(this, group, call, intent).await;
    }
}

/// Deletes an intent. If that fails, the call counts as pending until the intent expires, and the
/// intent is deleted then.
pub(super) async fn delete_intent(
    this: &Coordinator,
    group: &GroupId,
    call: IntentKind,
    intent: Revision,
) {
    let deleted = this
        .directory
        .delete_intent(&this.store, call, group, intent)
        .await;
    if let Err(e) = deleted {
        tracing::info!(%group, ?call, cause = %e, "an intent was not deleted");
    }
}
