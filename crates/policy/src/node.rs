//! All decisions of one proxy about its groups: one controller for each group.

use std::sync::Arc;

use indexmap::IndexMap;
use model::config::Fleet;
use model::id::GroupId;
use model::unit::Time;

use crate::group::Group;
use crate::message::{Action, Event, Peer};
use crate::spec::{LocalProxy, Spec};

/// An input of the node.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// The configuration in force.
    Configure(Arc<Fleet>),
    /// The live proxies.
    Peers(Vec<Peer>),
    /// An event of one group.
    Group(GroupId, Event),
}

/// An output of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// The group concerned.
    pub group: GroupId,
    /// The action to carry out.
    pub action: Action,
}

/// The group controllers of one proxy.
#[derive(Debug)]
pub struct Node {
    local_proxy: LocalProxy,
    seed: u64,
    groups: IndexMap<GroupId, Group>,
    live_proxies: Vec<Peer>,
}

impl Node {
    /// Creates a node without groups; `seed` is the only source of randomness.
    pub fn new(local_proxy: LocalProxy, seed: u64) -> Self {
        Self {
            local_proxy,
            seed,
            groups: IndexMap::new(),
            live_proxies: Vec::new(),
        }
    }

    /// Processes one input and returns the resulting outputs.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.step_all(now, &Event::Tick),
            Input::Configure(fleet) => self.configure(now, &fleet),
            Input::Peers(live) => {
                self.live_proxies.clone_from(&live);
                self.step_all(now, &Event::Peers(live))
            }
            Input::Group(group, event) => match self.groups.get_mut(&group) {
                Some(controller) => outputs(&group, controller.step(now, event)),
                None => Vec::new(),
            },
        }
    }

    /// The controller of a group.
    pub fn group(&self, group: &GroupId) -> Option<&Group> {
        self.groups.get(group)
    }

    fn step_all(&mut self, now: Time, event: &Event) -> Vec<Output> {
        let mut out = Vec::new();
        for (id, group) in &mut self.groups {
            out.extend(outputs(id, group.step(now, event.clone())));
        }
        out
    }

    fn configure(&mut self, now: Time, fleet: &Fleet) -> Vec<Output> {
        self.groups.retain(|id, _| fleet.groups.contains_key(id));
        let mut out = Vec::new();
        for id in fleet.groups.keys() {
            let Some(spec) = Spec::new(fleet, id) else {
                continue;
            };
            match self.groups.get_mut(id) {
                Some(group) => {
                    let event = Event::Configure(Box::new(spec));
                    out.extend(outputs(id, group.step(now, event)));
                }
                None => out.extend(self.add_group(now, spec)),
            }
        }
        out
    }

    fn add_group(&mut self, now: Time, spec: Spec) -> Vec<Output> {
        let id = spec.group.clone();
        self.seed = self
            .seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let mut group = Group::new(now, self.local_proxy.clone(), spec, self.seed);
        let out = outputs(
            &id,
            group.step(now, Event::Peers(self.live_proxies.clone())),
        );
        self.groups.insert(id, group);
        out
    }
}

fn outputs(group: &GroupId, actions: Vec<Action>) -> Vec<Output> {
    let output = |action| Output {
        group: group.clone(),
        action,
    };
    actions.into_iter().map(output).collect()
}
