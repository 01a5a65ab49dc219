//! Reports of proxies to the coordinator about problems with the groups' primaries.
//!
//! Each group's task stores its own findings here; a report loop sends them directly to the
//! coordinator, since the store may be unreachable while the coordinator is not.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::IndexMap;
use model::id::{GroupId, InstanceId, ProxyId};
use model::unit::{Span, Time};
use policy::primary_monitor::Suspicion;
use serde::{Deserialize, Serialize};

/// Time for which a report is valid: a few times the interval between two reports.
const REPORT_VALIDITY: Span = Span::from_millis(1_000);

/// Time without delivery of the reports to the coordinator after which they are written to the
/// store: two attempts. Each suspicion that is written there wakes every proxy twice.
const STORE_FALLBACK_DELAY: Span = Span::from_millis(300);

/// The problems that a proxy finds in a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The suspected primary, and why it is suspected.
    #[serde(rename = "doubt")]
    pub suspicion: Option<(InstanceId, Suspicion)>,
    /// Whether no replica holds the writes that reads need.
    pub lags: bool,
}

/// Reports by group; groups without problems are left out.
pub type Reports = IndexMap<GroupId, GroupReport>;

/// This proxy's own reports, and those that it received from others.
#[derive(Clone, Default)]
pub struct ReportBoard(Rc<Inner>);

#[derive(Default)]
struct Inner {
    own: RefCell<Reports>,
    received: RefCell<IndexMap<ProxyId, (Reports, Time)>>,
    /// Since when this proxy's reports have not been delivered to the coordinator.
    undelivered_since: Cell<Option<Time>>,
}

impl ReportBoard {
    /// Sets this proxy's report about a group, and logs what changed.
    pub fn set_own(&self, group: &GroupId, report: GroupReport) {
        let mut own = self.0.own.borrow_mut();
        let known = own.get(group).cloned().unwrap_or_default();
        if known != report {
            log_change(group, &known, &report);
        }
        if report == GroupReport::default() {
            own.shift_remove(group);
        } else {
            own.insert(group.clone(), report);
        }
    }

    /// This proxy's reports.
    pub fn own(&self) -> Reports {
        self.0.own.borrow().clone()
    }

    /// Records whether this proxy's reports were delivered to the coordinator.
    pub fn set_delivered(&self, delivered: bool, now: Time) {
        let since = self.0.undelivered_since.get();
        let since = if delivered { None } else { since.or(Some(now)) };
        self.0.undelivered_since.set(since);
    }

    /// This proxy's reports if they could not be delivered for a while, so that they are written
    /// to the store.
    pub fn undelivered(&self, now: Time) -> Reports {
        let since = self.0.undelivered_since.get();
        if since.is_some_and(|at| now.since(at) >= STORE_FALLBACK_DELAY) {
            self.own()
        } else {
            Reports::default()
        }
    }

    /// Replaces all reports of a proxy by those that it sent.
    pub fn receive(&self, by: ProxyId, reports: Reports, now: Time) {
        let mut received = self.0.received.borrow_mut();
        let known = received.get(&by);
        if known.is_none_or(|(known, _)| *known != reports) {
            log_report(&by, &reports);
        }
        received.insert(by, (reports, now));
    }

    /// The valid reports about a group, with the proxies that sent them.
    pub fn for_group(&self, group: &GroupId, now: Time) -> Vec<(ProxyId, GroupReport)> {
        let received = self.0.received.borrow();
        let fresh = received
            .iter()
            .filter(|(_, (_, at))| now.since(*at) <= REPORT_VALIDITY);
        let of_group = fresh
            .filter_map(|(proxy, (reports, _))| Some((proxy.clone(), reports.get(group)?.clone())));
        of_group.collect()
    }
}

fn log_change(group: &GroupId, known: &GroupReport, new: &GroupReport) {
    match (&known.suspicion, &new.suspicion) {
        (None, None) => {}
        (Some((instance, _)), None) => {
            tracing::info!(%group, %instance, "this proxy no longer suspects the primary");
        }
        (_, Some((instance, cause))) => {
            tracing::warn!(%group, %instance, ?cause, "this proxy suspects the primary");
        }
    }
    if known.lags != new.lags {
        let lags = new.lags;
        tracing::info!(%group, lags, "whether all replicas lag behind what reads need has changed");
    }
}

/// Logs one line for each group in the reports of a proxy.
fn log_report(by: &ProxyId, reports: &Reports) {
    if reports.is_empty() {
        tracing::info!(%by, "a proxy reports that nothing is wrong");
    }
    for (group, report) in reports {
        let suspicion = report.suspicion.as_ref();
        let (instance, cause) = suspicion.map(|(id, cause)| (id, cause)).unzip();
        tracing::info!(
            %by,
            %group,
            instance = instance.map(tracing::field::display),
            cause = cause.map(tracing::field::debug),
            lags = report.lags,
            "a proxy reports"
        );
    }
}
