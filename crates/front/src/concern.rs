//! What proxies find wrong with the groups' primaries, for the coordinator.
//!
//! Each group's task puts its own findings up here; a report loop sends them straight to
//! the coordinator, since the way through the store may be cut while the one to the
//! coordinator is not.

use std::cell::RefCell;
use std::rc::Rc;

use indexmap::IndexMap;
use model::id::{GroupId, InstanceId, ProxyId};
use model::unit::{Span, Time};
use policy::watch::Doubt;
use serde::{Deserialize, Serialize};

/// Time for which a report counts: a few of the pauses between two of them.
const KEPT: Span = Span::from_millis(1_000);

/// What a proxy finds wrong with a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Concern {
    /// The doubt about the primary.
    pub doubt: Option<(InstanceId, Doubt)>,
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
}

impl Board {
    /// Takes over this proxy's concern about a group.
    pub fn set_own(&self, group: &GroupId, concern: Concern) {
        let mut own = self.0.own.borrow_mut();
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

    /// Takes over another proxy's concerns, all of them.
    pub fn told(&self, by: ProxyId, concerns: Concerns, now: Time) {
        let mut told = self.0.told.borrow_mut();
        let known = told.get(&by);
        if known.is_none_or(|(known, _)| *known != concerns) {
            tracing::info!(%by, ?concerns, "a proxy reports");
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
