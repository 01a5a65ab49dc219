//! Letting replicas receive again that were told to stop.

use model::id::InstanceId;
use model::position::Revision;
use platform::line::Own;
use policy::takeover::{self, InstanceView, Role};

use super::links::Links;
use super::report;
use super::{Coordinator, order};
use crate::directory::IntentKind;
use crate::{clock, group};

/// Lets replicas receive that were told to stop by a change of primary that did not end.
///
/// A coordinator may die, or lose its duty, between stopping them and the order; an order
/// to stop may be carried out seconds late. Such a replica receives nothing any more, its
/// reads are refused, and with all of them stopped no write ends.
pub(super) async fn mend(this: &Coordinator, duty: Revision, group: group::Handle) {
    for call in [IntentKind::Receive, IntentKind::Lead] {
        order::forget_expired(this, group.group(), call).await;
    }
    let mut links = Links::new(group, duty);
    resume(this, &mut links).await;
}

/// Lets replicas receive that were told to stop, unless an order may still be carried out.
///
/// Such an order was right while they were stopped: once they receive again, one of them may
/// acknowledge what its instance lacks. It cannot be made void by ordering the present primary
/// instead: if it is carried out first, or was taken and is about to be, that takes the lead
/// back from its instance. So they stay stopped until its instance leads or the order has
/// lapsed; meanwhile the change is completed.
pub(super) async fn resume(this: &Coordinator, links: &mut Links) {
    let group = links.group.group().clone();
    order::forget_replaced(this, &group).await;
    let noted = this
        .directory
        .with(|s| s.intent_revision(IntentKind::Change, &group));
    // Without the duty it may be the note of a successor's change.
    let noted = Some(noted).filter(|noted| *noted > Revision(0) && this.holds(links.duty));
    // An order that lapses during the look may have been carried out after its answers.
    let ordered = order::pending(this, &group);
    let members = links.look(this, |_| true, |_| true).await;
    let Some(primary) = takeover::leader(&members) else {
        return;
    };
    if let Some(ordered) = ordered.filter(|ordered| *ordered != primary.id) {
        tracing::info!(%group, instance = %ordered, "replicas stay stopped: an order may still be carried out");
        return;
    }
    if order::unreadable(this, &group) {
        return;
    }
    // No order for another instance is pending, so that replicas which have forgotten that
    // they were stopped may count again.
    if let Some(noted) = noted {
        order::forget(this, &group, IntentKind::Change, noted).await;
    }
    order::void_earlier(this, links, &primary.id).await;
    let stopped = stopped(&members);
    if !stopped.is_empty() {
        receive_again(this, links, &stopped).await;
    }
}

/// Replicas that were told to stop.
fn stopped(members: &[InstanceView]) -> Vec<InstanceId> {
    let is_stopped = |m: &&InstanceView| {
        let state = m.state;
        state.is_some_and(|s| s.role == Role::Replica && s.paused.0 > 0)
    };
    let stopped = members.iter().filter(is_stopped);
    stopped.map(|m| m.id.clone()).collect()
}

/// Tells replicas to receive again.
///
/// Such an order may have no answer and be carried out seconds late, in the middle of the
/// next change of primary, whose coordinator may be another one. So it is noted in the
/// store before it is given, and the note goes only when every replica has answered.
async fn receive_again(this: &Coordinator, links: &mut Links, stopped: &[InstanceId]) {
    let group = links.group.group().clone();
    let earlier = this
        .directory
        .with(|s| s.resume_pending(&group, clock::now()));
    let noted = match this
        .directory
        .record_intent(&this.store, links.duty, IntentKind::Receive, &group, &[])
        .await
    {
        Ok(noted) => noted,
        Err(e) => {
            tracing::warn!(%group, cause = %e, "replicas stay stopped: the order to receive was not noted");
            return;
        }
    };
    // A paused process may have lost the duty since; the note stands until it lapses.
    if !this.holds(links.duty) {
        return;
    }
    let states = links.some(this, stopped, &Own::Resume).await;
    tracing::info!(%group, "replicas were told to receive again");
    report::states(&group, &states);
    if states.len() == stopped.len() && !earlier {
        order::forget(this, &group, IntentKind::Receive, noted).await;
    }
}
