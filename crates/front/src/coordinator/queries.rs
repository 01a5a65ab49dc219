//! The coordinator's status queries and commands to the instances of one group.

use std::time::Duration;

use futures_util::future;
use indexmap::{IndexMap, IndexSet};
use model::customer::CustomerPriority;
use model::entry::Entry;
use model::id::InstanceId;
use model::position::Revision;
use model::unit::{Span, Time};
use platform::line::ProxyStatement;
use policy::pool::{ConnRequest, Kind};
use policy::takeover::{InstanceView, State};

use super::Coordinator;
use super::new_instances::{self, Start};
use crate::clock;
use crate::conn::ConnError;
use crate::group;

/// Longest wait for an instance's response to a query or command. A query waits for a slot of
/// the instance, behind statements of some tens of milliseconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The same for an instance that did not respond before: a round trip between regions.
/// Each survey waits for the slowest instance, and writes wait for the change of primary.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(80);

/// The same for a suspected primary: it has probably failed, and the change waits for its
/// response. One that runs responds within a round trip, or after some statements.
const SUSPECTED_TIMEOUT: Duration = Duration::from_millis(150);

/// Sends queries and commands to a group's instances throughout one change of primary.
pub(super) struct InstanceQueries {
    pub(super) group: group::Handle,
    /// The epoch of the coordinator role under which this proxy acts.
    pub(super) epoch: Revision,
    /// The suspected primary.
    suspected: Option<InstanceId>,
    /// Instances that refused the last query, for example because all slots were in use.
    refused: IndexSet<InstanceId>,
    /// Instances that left a query without a response; the next surveys wait less for them.
    unresponsive: IndexSet<InstanceId>,
    /// When the last survey began; orders to the platform are based on it.
    surveyed_at: Time,
    /// Instances that were announced at the last survey, or responded to it.
    found: IndexSet<Start>,
}

impl InstanceQueries {
    pub(super) fn new(group: group::Handle, epoch: Revision) -> Self {
        Self {
            group,
            epoch,
            suspected: None,
            refused: IndexSet::new(),
            unresponsive: IndexSet::new(),
            surveyed_at: clock::now(),
            found: IndexSet::new(),
        }
    }

    /// Queries for replacing a suspected primary.
    pub(super) fn for_suspected(
        group: group::Handle,
        epoch: Revision,
        suspected: InstanceId,
    ) -> Self {
        Self {
            suspected: Some(suspected),
            ..Self::new(group, epoch)
        }
    }

    /// When the last survey began.
    pub(super) fn surveyed_at(&self) -> Time {
        self.surveyed_at
    }

    /// Instances that were announced at the last survey, or responded to it.
    pub(super) fn found(&self) -> &IndexSet<Start> {
        &self.found
    }

    /// Whether an instance left a query without a response.
    pub(super) fn is_unresponsive(&self, id: &InstanceId) -> bool {
        self.unresponsive.contains(id)
    }

    fn timeout(&self, id: &InstanceId) -> Duration {
        if self.is_unresponsive(id) {
            UNRESPONSIVE_TIMEOUT
        } else if self.suspected.as_ref() == Some(id) {
            SUSPECTED_TIMEOUT
        } else {
            RESPONSE_TIMEOUT
        }
    }

    /// Sends a statement to each of the instances and returns the state in each response.
    ///
    /// The connections come from the pool, with priority over all other requests: an instance
    /// whose connections are all in use accepts no further one, and a replica that cannot be
    /// queried for that reason would block the whole change. They are returned at once, since
    /// replica acknowledgements need them too, and a new connection is not eligible for those.
    pub(super) async fn send_all(
        &mut self,
        entries: &[Entry],
        own: &ProxyStatement<'_>,
    ) -> IndexMap<InstanceId, State> {
        let requests = entries.iter().map(|entry| {
            let timeout = self.timeout(&entry.id);
            let group = self.group.clone();
            async move {
                let checkout = group.request(control_request(entry, timeout)).await;
                let mut checkout = checkout.map_err(|_| ConnError::Timeout)?;
                let conn = checkout.conn().ok_or(ConnError::Timeout)?;
                let state = conn.state(own, timeout).await;
                if matches!(state, Ok(_) | Err(ConnError::Refused(_))) {
                    checkout.release();
                }
                state
            }
        });
        let requests: Vec<_> = requests.collect();
        let responses = future::join_all(requests).await;
        let mut states = IndexMap::new();
        for (entry, response) in entries.iter().zip(responses) {
            self.refused.shift_remove(&entry.id);
            match response {
                Ok(state) => {
                    states.insert(entry.id.clone(), state);
                }
                Err(e) => {
                    let set = match e {
                        ConnError::Refused(_) => &mut self.refused,
                        _ => &mut self.unresponsive,
                    };
                    set.insert(entry.id.clone());
                    let group = self.group.group();
                    tracing::info!(%group, instance = %entry.id, asked = ?own, cause = %e, "an instance did not respond to the coordinator");
                }
            }
        }
        states
    }

    /// Sends a statement to some of the group's instances.
    pub(super) async fn send_to(
        &mut self,
        this: &Coordinator,
        ids: &[InstanceId],
        own: &ProxyStatement<'_>,
    ) -> IndexMap<InstanceId, State> {
        let known = self.entries(this).into_iter();
        let entries: Vec<_> = known
            .map(|(entry, _)| entry)
            .filter(|entry| ids.contains(&entry.id))
            .collect();
        let states = self.send_all(&entries, own).await;
        for entry in &entries {
            let responded = states.contains_key(&entry.id);
            this.cx.metrics.command_ended(own, responded);
        }
        states
    }

    /// The group's instances, and whether each is announced.
    pub(super) fn entries(&self, this: &Coordinator) -> Vec<(Entry, bool)> {
        this.directory.with(|s| s.instances(self.group.group()))
    }

    /// Queries the states of instances. `is_queried` selects them; `same_region` tells which are
    /// in the region of the primary that is to be replaced.
    pub(super) async fn survey(
        &mut self,
        this: &Coordinator,
        is_queried: impl Fn(&Entry) -> bool,
        same_region: impl Fn(&Entry) -> bool,
    ) -> Vec<InstanceView> {
        self.surveyed_at = clock::now();
        let known = self.entries(this);
        let to_query: Vec<_> = known
            .iter()
            .filter(|(entry, _)| is_queried(entry))
            .map(|(entry, _)| entry.clone())
            .collect();
        let states = self.send_all(&to_query, &ProxyStatement::Status).await;
        let instance_view = |(entry, announced): &(Entry, bool)| {
            let state = states.get(&entry.id).copied();
            InstanceView {
                id: entry.id.clone(),
                announced: *announced,
                leaving: entry.leaving,
                responded: state.is_some() || self.refused.contains(&entry.id),
                same_region: same_region(entry),
                state,
            }
        };
        let instances: Vec<_> = known.iter().map(instance_view).collect();
        let found = known
            .iter()
            .filter(|(entry, announced)| *announced || states.contains_key(&entry.id));
        self.found = found
            .map(|(entry, _)| new_instances::start(entry))
            .collect();
        this.observe_primary(self.group.group(), &instances);
        instances
    }
}

fn control_request(entry: &Entry, timeout: Duration) -> ConnRequest {
    let now = clock::now();
    ConnRequest {
        kind: Kind::Control(entry.id.clone()),
        customer: None,
        customer_priority: CustomerPriority::default(),
        own_write: None,
        arrived: now,
        objective: Span::from(timeout),
        deadline: now + Span::from(timeout),
        priority: 0,
        avoid: None,
        may_wait: true,
    }
}
