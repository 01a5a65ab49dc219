//! Log lines about what instances told the coordinator: one for each instance.

use indexmap::IndexMap;
use model::id::{GroupId, InstanceId};
use policy::takeover::{InstanceView, State};

/// What instances answered to an order.
pub(super) fn states(group: &GroupId, states: &IndexMap<InstanceId, State>) {
    for (instance, state) in states {
        line(group, instance, Some(state), None);
    }
}

/// What a look at all instances found.
pub(super) fn members(group: &GroupId, members: &[InstanceView]) {
    for member in members {
        line(group, &member.id, member.state.as_ref(), Some(member));
    }
}

fn line(
    group: &GroupId,
    instance: &InstanceId,
    state: Option<&State>,
    member: Option<&InstanceView>,
) {
    tracing::info!(
        %group,
        %instance,
        role = state.map(|s| tracing::field::debug(s.role)),
        term = state.map(|s| tracing::field::display(s.term)),
        received = state.map(|s| tracing::field::display(s.received)),
        paused = state.map(|s| tracing::field::display(s.paused)),
        listed = member.map(|m| m.announced),
        leaving = member.map(|m| m.leaving),
        alive = member.map(|m| m.responded),
        "an instance as the coordinator sees it"
    );
}
