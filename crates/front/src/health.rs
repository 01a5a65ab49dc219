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
pub struct Concern {
    /// The doubt about the primary.
    pub doubt: Option<(InstanceId, Suspicion)>,
    /// Whether no replica holds what reads need.
    pub lags: bool,
}

/// Concerns by group; groups without any are left out.
pub type Concerns = IndexMap<GroupId, Concern>;

/// The concerns of this proxy, and those that others told it.
#[derive(Clone, Default)]
pub struct Board(Rc<Inner>);

#[derive(Default)]
struct Inner {
    own: RefCell<Concerns>,
    told: RefCell<IndexMap<ProxyId, (Concerns, Time)>>,
    /// Since when the coordinator has not heard this proxy's concerns.
    unheard_since: Cell<Option<Time>>,
}

impl Board {
    /// Takes over this proxy's concern about a group.
    pub fn set_own(&self, group: &GroupId, concern: Concern) {
        let mut own = self.0.own.borrow_mut();
        let known = own.get(group).cloned().unwrap_or_default();
        if known != concern {
            note(group, &known, &concern);
        }
        if concern == Concern::default() {
            own.shift_remove(group);
        } else {
            own.insert(group.clone(), concern);
        }
    }

    /// This proxy's concerns.
    pub fn own(&self) -> Concerns {
        self.0.own.borrow().clone()
    }

    /// Notes whether the coordinator heard this proxy's concerns.
    pub fn set_heard(&self, heard: bool, now: Time) {
        let since = self.0.unheard_since.get();
        let since = if heard { None } else { since.or(Some(now)) };
        self.0.unheard_since.set(since);
    }

    /// This proxy's concerns, if the coordinator has not heard them for a while: they go
    /// through the store then.
    pub fn unheard(&self, now: Time) -> Concerns {
        let since = self.0.unheard_since.get();
        if since.is_some_and(|at| now.since(at) >= UNHEARD) {
            self.own()
        } else {
            Concerns::default()
        }
    }

    /// Takes over another proxy's concerns, all of them.
    pub fn told(&self, by: ProxyId, concerns: Concerns, now: Time) {
        let mut told = self.0.told.borrow_mut();
        let known = told.get(&by);
        if known.is_none_or(|(known, _)| *known != concerns) {
            note_report(&by, &concerns);
        }
        told.insert(by, (concerns, now));
    }

    /// What proxies told about a group a short time ago.
    pub fn about(&self, group: &GroupId, now: Time) -> Vec<(ProxyId, Concern)> {
        let told = self.0.told.borrow();
        let fresh = told.iter().filter(|(_, (_, at))| now.since(*at) <= KEPT);
        let about = fresh.filter_map(|(proxy, (concerns, _))| {
            Some((proxy.clone(), concerns.get(group)?.clone()))
        });
        about.collect()
    }
}

fn note(group: &GroupId, known: &Concern, new: &Concern) {
    match (&known.doubt, &new.doubt) {
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
fn note_report(by: &ProxyId, concerns: &Concerns) {
    if concerns.is_empty() {
        tracing::info!(%by, "a proxy reports that nothing is wrong");
    }
    for (group, concern) in concerns {
        let doubt = concern.doubt.as_ref();
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
