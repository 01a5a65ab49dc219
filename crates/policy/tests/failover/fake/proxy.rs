//! A proxy process with the real controllers.

use std::sync::Arc;

use model::id::ProxyId;
use model::location::Location;
use policy::message::{Action, Event, Peer, PeerReport, QueryId, Recipients, StoreReply};
use policy::node::{Input, Node};
use policy::route::Failure;
use policy::spec::LocalProxy;
use policy::status::Status;
use rand::Rng as _;

use super::fault::Fault;
use super::{Message, ProxyProcess, SITES, STORE_SITE, World};

pub(crate) struct Proxy {
    pub(crate) site: usize,
    pub(crate) start: u64,
    pub(crate) id: ProxyId,
    pub(crate) alive: bool,
    pub(crate) paused: bool,
    pub(crate) node: Node,
    pub(crate) decisions: Vec<policy::decision::Decision>,
    inbox: Vec<Input>,
}

impl World {
    /// Starts or restarts a proxy with a new id and without any state.
    pub(crate) fn start_proxy(&mut self, at: usize) {
        let site = at % SITES;
        let start = self.proxies.get(at).map_or(0, |p| p.start + 1);
        let id: ProxyId = format!("p{at}-{start}").parse().unwrap();
        let me = LocalProxy {
            id: id.clone(),
            location: self.location(site),
        };
        let proxy = Proxy {
            site,
            start,
            id,
            alive: true,
            paused: false,
            node: Node::new(me, self.rng.random()),
            decisions: Vec::new(),
            inbox: Vec::new(),
        };
        if at < self.proxies.len() {
            self.proxies[at] = proxy;
        } else {
            self.proxies.push(proxy);
        }
        self.input(at, Input::Configure(self.fleet.clone()));
        self.publish_membership();
    }

    /// Sets whether an instance is leaving in the configuration of every proxy.
    pub(crate) fn set_leaving(&mut self, instance: usize, leaving: bool) {
        let declared = &self.fleet.groups[&self.group].instances[instance];
        if declared.leaving == leaving {
            return;
        }
        let fleet = Arc::make_mut(&mut self.fleet);
        let group = fleet.groups.get_mut(&self.group).unwrap();
        group.instances[instance].leaving = leaving;
        for at in 0..self.proxies.len() {
            self.input(at, Input::Configure(self.fleet.clone()));
        }
    }

    pub(crate) fn kill_proxy(&mut self, at: usize) {
        self.proxies[at].alive = false;
        self.publish_membership();
    }

    pub(crate) fn resume_proxy(&mut self, at: usize) {
        self.proxies[at].paused = false;
        for input in std::mem::take(&mut self.proxies[at].inbox) {
            self.input(at, input);
        }
    }

    fn location(&self, site: usize) -> Location {
        let centre = format!("d{site}").parse().unwrap();
        self.fleet.location(&centre).unwrap()
    }

    pub(crate) fn publish_membership(&mut self) {
        let live = self.proxies.iter().filter(|p| p.alive);
        let live: Vec<_> = live
            .map(|p| Peer {
                id: p.id.clone(),
                location: self.location(p.site),
            })
            .collect();
        for at in 0..self.proxies.len() {
            let no_peers = self.faults.contains(&Fault::SeesNoPeers(at));
            let known = if no_peers { Vec::new() } else { live.clone() };
            self.input(at, Input::Peers(known));
        }
    }

    pub(crate) fn event(&mut self, at: usize, event: Event) {
        let group = self.group.clone();
        self.input(at, Input::Group(group, event));
    }

    fn input(&mut self, at: usize, input: Input) {
        let proxy = &mut self.proxies[at];
        if !proxy.alive {
            return;
        }
        if proxy.paused {
            proxy.inbox.push(input);
            return;
        }
        for output in proxy.node.step(self.now, input) {
            self.perform(at, output.action);
        }
    }

    pub(crate) fn tick_proxies(&mut self) {
        for at in 0..self.proxies.len() {
            if !self.proxies[at].paused {
                self.input(at, Input::Tick);
            }
        }
    }

    fn perform(&mut self, at: usize, action: Action) {
        let site = self.proxies[at].site;
        let proxy = (at, self.proxies[at].start);
        match action {
            Action::Command {
                query,
                instance,
                command,
                ..
            } => {
                let to = instance.as_str()[1..].parse().unwrap();
                self.send(site, to, Message::Command(proxy, query, to, command));
            }
            Action::Store { query, request } => {
                self.send(
                    site,
                    STORE_SITE,
                    Message::StoreRequest(proxy, query, request),
                );
            }
            Action::Send { to, report } => self.send_report(at, &to, &report),
            Action::Routed { request, result } => self.routed(proxy, request, result),
            Action::Confirmed { request, result } => self.confirmed(proxy, request, result),
            Action::Decided(decision) => self.proxies[at].decisions.push(decision),
        }
    }

    fn send_report(&mut self, from: usize, to: &Recipients, report: &PeerReport) {
        for at in 0..self.proxies.len() {
            let meant = match to {
                Recipients::All => at != from,
                Recipients::One(id) => self.proxies[at].id == *id,
            };
            if meant {
                let (a, b) = (self.proxies[from].site, self.proxies[at].site);
                self.send(a, b, Message::Report(at, report.clone()));
            }
        }
    }

    pub(crate) fn report_received(&mut self, at: usize, report: PeerReport) {
        self.event(at, Event::PeerReport(report));
    }

    fn is_current(&self, proxy: ProxyProcess) -> bool {
        self.proxies[proxy.0].start == proxy.1
    }

    pub(crate) fn respond(
        &mut self,
        proxy: ProxyProcess,
        query: QueryId,
        result: Result<Status, Failure>,
    ) {
        if self.is_current(proxy) {
            self.event(proxy.0, Event::Response { query, result });
        }
    }

    pub(crate) fn store_replied(&mut self, proxy: ProxyProcess, query: QueryId, reply: StoreReply) {
        if self.is_current(proxy) {
            self.event(proxy.0, Event::Store { query, reply });
        }
    }
}
