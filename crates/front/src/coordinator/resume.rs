//! Resumes paused replicas, so that they receive from the primary again.

use model::id::InstanceId;
use model::position::Revision;
use platform::line::ProxyStatement;
use policy::takeover::{self, InstanceView, Role};

use super::queries::InstanceQueries;
use super::report;
use super::{Coordinator, order};
use crate::directory::IntentKind;
use crate::{clock, group};

/// Resumes replicas that were paused by a change of primary that did not finish.
///
/// A coordinator may fail, or lose its role, between pausing them and the promotion order; a
/// pause command may be carried out seconds late. A replica that stays paused receives nothing,
/// its reads are refused, and with all replicas paused no write completes.
pub(super) async fn repair(this: &Coordinator, epoch: Revision, group: group::Handle) {
    for call in [IntentKind::Receive, IntentKind::Lead] {
        order::delete_expired(this, group.group(), call).await;
    }
    let mut queries = InstanceQueries::new(group, epoch);
    resume(this, &mut queries).await;
}

/// Resumes paused replicas, unless a promotion order may still be carried out.
///
/// Such an order is safe only while they are paused: once they receive again, one of them may
/// acknowledge writes that the instance to promote lacks. An order for the present primary
/// cannot void it: if the pending order is carried out first, or was accepted and is about to be
/// carried out, the new order takes the lead away from its instance. So the replicas stay paused
/// until that instance leads or the order has expired; meanwhile the change is completed.
pub(super) async fn resume(this: &Coordinator, queries: &mut InstanceQueries) {
    let group = queries.group.group().clone();
    order::delete_replaced(this, &group).await;
    let intent = this
        .directory
        .with(|s| s.intent_revision(IntentKind::Change, &group));
    // Without the coordinator role it may be the intent of a successor's change.
    let intent =
        Some(intent).filter(|intent| *intent > Revision(0) && this.holds_role(queries.epoch));
    // Read before the survey: an order that expires during the survey may have been carried out
    // after the instances responded.
    let pending_order = order::pending(this, &group);
    let instances = queries.survey(this, |_| true, |_| true).await;
    let Some(primary) = takeover::leader(&instances) else {
        return;
    };
    if let Some(pending_order) = pending_order.filter(|pending_order| *pending_order != primary.id)
    {
        tracing::info!(%group, instance = %pending_order, "replicas stay paused: a promotion order may still be carried out");
        return;
    }
    if order::unreadable(this, &group) {
        return;
    }
    // No order for another instance is pending, so connections to replicas that lost their pause
    // by a restart may be eligible again.
    if let Some(intent) = intent {
        order::delete_intent(this, &group, IntentKind::Change, intent).await;
    }
    order::void_earlier(this, queries, &primary.id).await;
    let paused = paused(&instances);
    if !paused.is_empty() {
        send_resume(this, queries, &paused).await;
    }
}

/// Replicas that are paused.
fn paused(instances: &[InstanceView]) -> Vec<InstanceId> {
    let is_paused = |m: &&InstanceView| {
        let state = m.state;
        state.is_some_and(|s| s.role == Role::Replica && s.paused.0 > 0)
    };
    let paused = instances.iter().filter(is_paused);
    paused.map(|m| m.id.clone()).collect()
}

/// Sends replicas the resume command.
///
/// A command without a response may be carried out seconds late, in the middle of the next
/// change of primary, whose coordinator may be another one. So its intent is recorded in the
/// store before it is sent, and deleted only when every replica has responded.
async fn send_resume(this: &Coordinator, queries: &mut InstanceQueries, paused: &[InstanceId]) {
    let group = queries.group.group().clone();
    let earlier_pending = this
        .directory
        .with(|s| s.resume_pending(&group, clock::now()));
    let intent = match this
        .directory
        .record_intent(&this.store, queries.epoch, IntentKind::Receive, &group, &[])
        .await
    {
        Ok(intent) => intent,
        Err(e) => {
            tracing::warn!(%group, cause = %e, "replicas stay paused: the intent to resume them was not recorded");
            return;
        }
    };
    // A process that was suspended may have lost the role since; the intent then stays until it
    // expires.
    if !this.holds_role(queries.epoch) {
        return;
    }
    let states = queries.send_to(this, paused, &ProxyStatement::Resume).await;
    tracing::info!(%group, "replicas were sent the resume command");
    report::log_states(&group, &states);
    if states.len() == paused.len() && !earlier_pending {
        order::delete_intent(this, &group, IntentKind::Receive, intent).await;
    }
}
