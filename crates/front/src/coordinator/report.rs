//! Log lines about the state of instances as the coordinator knows it: one for each instance.

use indexmap::IndexMap;
use model::id::{GroupId, InstanceId};
use policy::takeover::{InstanceView, State};

/// Logs the states with which instances responded to a command.
pub(super) fn log_states(group: &GroupId, states: &IndexMap<InstanceId, State>) {
    for (instance, state) in states {
        log_line(group, instance, Some(state), None);
    }
}

/// Logs what a survey of all instances found.
pub(super) fn log_instances(group: &GroupId, instances: &[InstanceView]) {
    for view in instances {
        log_line(group, &view.id, view.state.as_ref(), Some(view));
    }
}

fn log_line(
    group: &GroupId,
    instance: &InstanceId,
    state: Option<&State>,
    view: Option<&InstanceView>,
) {
    tracing::info!(
        %group,
        %instance,
        role = state.map(|s| tracing::field::debug(s.role)),
        term = state.map(|s| tracing::field::display(s.term)),
        received = state.map(|s| tracing::field::display(s.received)),
        paused = state.map(|s| tracing::field::display(s.paused)),
        listed = view.map(|m| m.announced),
        leaving = view.map(|m| m.leaving),
        alive = view.map(|m| m.responded),
        "an instance as the coordinator sees it"
    );
}
