//! What proxies find wrong with the groups' primaries, for the coordinator.
//!
//! Each group's task puts its own findings up here; a report loop sends them straight to
//! the coordinator, since the way through the store may be cut while the one to the
//! coordinator is not.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::IndexMap;
use model::id::{GroupId, InstanceId, ProxyId};
use model::unit::{Span, Time};
use policy::primary_monitor::Suspicion;
use serde::{Deserialize, Serialize};

/// Time for which a report counts: a few of the pauses between two of them.
const KEPT: Span = Span::from_millis(1_000);

/// Time for which the coordinator must not have heard the concerns before they are written
/// to the store: two tries. Each doubt that is written there wakes every proxy twice.
const UNHEARD: Span = Span::from_millis(300);

/// What a proxy finds wrong with a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The doubt about the primary.
    #[serde(rename = "doubt")]
    pub suspicion: Option<(InstanceId, Suspicion)>,
    /// Whether no replica holds what reads need.
    pub lags: bool,
}

/// Concerns by group; groups without any are left out.
pub type Reports = IndexMap<GroupId, GroupReport>;

/// The concerns of this proxy, and those that others told it.
#[derive(Clone, Default)]
pub struct ReportBoard(Rc<Inner>);

#[derive(Default)]
struct Inner {
    own: RefCell<Reports>,
    told: RefCell<IndexMap<ProxyId, (Reports, Time)>>,
    /// Since when the coordinator has not heard this proxy's concerns.
    unheard_since: Cell<Option<Time>>,
}

impl ReportBoard {
    /// Takes over this proxy's concern about a group.
    pub fn set_own(&self, group: &GroupId, concern: GroupReport) {
        let mut own = self.0.own.borrow_mut();
        let known = own.get(group).cloned().unwrap_or_default();
        if known != concern {
            note(group, &known, &concern);
        }
        if concern == GroupReport::default() {
            own.shift_remove(group);
        } else {
            own.insert(group.clone(), concern);
        }
    }

    /// This proxy's concerns.
    pub fn own(&self) -> Reports {
        self.0.own.borrow().clone()
    }

    /// Notes whether the coordinator heard this proxy's concerns.
    pub fn set_delivered(&self, heard: bool, now: Time) {
        let since = self.0.unheard_since.get();
        let since = if heard { None } else { since.or(Some(now)) };
        self.0.unheard_since.set(since);
    }

    /// This proxy's concerns, if the coordinator has not heard them for a while: they go
    /// through the store then.
    pub fn undelivered(&self, now: Time) -> Reports {
        let since = self.0.unheard_since.get();
        if since.is_some_and(|at| now.since(at) >= UNHEARD) {
            self.own()
        } else {
            Reports::default()
        }
    }

    /// Takes over another proxy's concerns, all of them.
    pub fn receive(&self, by: ProxyId, reports: Reports, now: Time) {
        let mut told = self.0.told.borrow_mut();
        let known = told.get(&by);
        if known.is_none_or(|(known, _)| *known != reports) {
            note_report(&by, &reports);
        }
        told.insert(by, (reports, now));
    }

    /// What proxies told about a group a short time ago.
    pub fn for_group(&self, group: &GroupId, now: Time) -> Vec<(ProxyId, GroupReport)> {
        let told = self.0.told.borrow();
        let fresh = told.iter().filter(|(_, (_, at))| now.since(*at) <= KEPT);
        let about = fresh
            .filter_map(|(proxy, (reports, _))| Some((proxy.clone(), reports.get(group)?.clone())));
        about.collect()
    }
}

fn note(group: &GroupId, known: &GroupReport, new: &GroupReport) {
    match (&known.suspicion, &new.suspicion) {
        (None, None) => {}
        (Some((instance, _)), None) => {
            tracing::info!(%group, %instance, "this proxy no longer doubts the primary");
        }
        (_, Some((instance, cause))) => {
            tracing::warn!(%group, %instance, ?cause, "this proxy doubts the primary");
        }
    }
    if known.lags != new.lags {
        let lags = new.lags;
        tracing::info!(%group, lags, "whether no replica holds what reads need has changed");
    }
}

/// One line for each group that a proxy reports about.
fn note_report(by: &ProxyId, reports: &Reports) {
    if reports.is_empty() {
        tracing::info!(%by, "a proxy reports that nothing is wrong");
    }
    for (group, concern) in reports {
        let doubt = concern.suspicion.as_ref();
        let (instance, cause) = doubt.map(|(id, cause)| (id, cause)).unzip();
        tracing::info!(
            %by,
            %group,
            instance = instance.map(tracing::field::display),
            cause = cause.map(tracing::field::debug),
            lags = concern.lags,
            "a proxy reports"
        );
    }
}
