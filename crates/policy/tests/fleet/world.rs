//! Simulated proxies, each with a membership controller and a configuration mirror, connected by
//! a message queue.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use model::document;
use model::id::{DataCentre, ProxyId};
use model::position::Revision;
use model::unit::{Span, Time};
use policy::config_mirror::{ConfigMirror, Delta, Record};
use policy::membership::Membership;
use policy::membership::message::{Action, Compare, Failure, Heartbeat, Peer, Tables};
use policy::membership::table::{MemberInfo, State};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

const STEP: Span = Span::from_millis(50);
const DELAYS_MS: std::ops::Range<u64> = 1..120;
const TIMEOUT: Span = Span::from_millis(500);

pub(crate) struct Proxy {
    pub(crate) membership: Membership,
    pub(crate) mirror: ConfigMirror,
    pub(crate) data_centre: usize,
    pub(crate) alive: bool,
    pub(crate) paused_until: Time,
    watching: bool,
    store_due: Time,
}

#[derive(Clone)]
enum Body {
    Heartbeat(Heartbeat),
    HeartbeatResponse(Heartbeat),
    Compare(Compare),
    Tables(Tables),
    Fetch(Revision),
    Delta(Delta),
    Failed(Peer, Failure, bool),
}

struct Message {
    due: Time,
    from: usize,
    to: usize,
    body: Body,
}

pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) proxies: Vec<Proxy>,
    /// Pairs of data centres that cannot reach each other.
    pub(crate) partitions: BTreeSet<(usize, usize)>,
    /// Data centres that cannot reach the store.
    pub(crate) without_store: BTreeSet<usize>,
    /// Share of lost messages, in percent.
    pub(crate) loss_percent: u32,
    pub(crate) head: Record,
    queue: VecDeque<Message>,
    rng: StdRng,
}

fn data_centre_id(data_centre: usize) -> DataCentre {
    format!("dc{data_centre}").parse().unwrap()
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 0], u16::try_from(index + 1).unwrap()))
}

pub(crate) fn head(revision: u64) -> Record {
    let fleet = format!(
        r#"{{ "data_centres": {{}}, "groups": {{}}, "callers": {{}}, "defaults": {{ "queue": {revision} }} }}"#
    );
    Record {
        key: document::HEAD.into(),
        value: Arc::from(fleet),
        revision: Revision(revision),
    }
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            now: Time::from_millis(1_000),
            proxies: Vec::new(),
            partitions: BTreeSet::new(),
            without_store: BTreeSet::new(),
            loss_percent: 0,
            head: head(1),
            queue: VecDeque::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn start(&mut self, data_centre: usize) -> usize {
        let index = self.proxies.len();
        let me = MemberInfo {
            id: format!("p{index}").parse::<ProxyId>().unwrap(),
            data_centre: data_centre_id(data_centre),
            address: address(index),
            incarnation: 0,
            state: State::Live,
            draining: false,
            store_unreachable: false,
        };
        let seeds = (0..index).map(address).collect();
        self.proxies.push(Proxy {
            membership: Membership::new(self.now, me, seeds, self.rng.random()),
            mirror: ConfigMirror::default(),
            data_centre,
            alive: true,
            paused_until: Time::default(),
            watching: false,
            store_due: self.now,
        });
        index
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = &Proxy> {
        self.proxies.iter().filter(|p| p.alive)
    }

    pub(crate) fn apply(&mut self) {
        self.head = head(self.head.revision.0 + 1);
    }

    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let due: Vec<_> = self.take_due();
        for message in due {
            self.deliver(message);
        }
        for index in 0..self.proxies.len() {
            if self.is_awake(index) {
                let actions = self.proxies[index].membership.tick(self.now);
                self.perform(index, actions);
                self.read_store(index);
            }
        }
    }

    fn take_due(&mut self) -> Vec<Message> {
        let (due, rest) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition::<Vec<_>, _>(|m| m.due <= self.now);
        self.queue = rest.into();
        due
    }

    fn is_awake(&self, index: usize) -> bool {
        self.proxies[index].alive && self.now >= self.proxies[index].paused_until
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let (a, b) = (self.proxies[from].data_centre, self.proxies[to].data_centre);
        !self.partitions.contains(&(a.min(b), a.max(b)))
    }

    fn perform(&mut self, me: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Heartbeat(peer, msg) => self.call(me, &peer, &Body::Heartbeat(msg), true),
                Action::Compare(peer, compare) => {
                    self.call(me, &peer, &Body::Compare(compare), false);
                }
                Action::Fetch(peer, after) => self.call(me, &peer, &Body::Fetch(after), false),
                Action::Watch(watch) => self.proxies[me].watching = watch,
                Action::Changed => {}
            }
        }
    }

    fn call(&mut self, from: usize, peer: &Peer, body: &Body, heartbeat: bool) {
        let to = usize::from(peer.address.port()) - 1;
        let unresponsive = !self.can_reach(from, to) || self.is_lost() || !self.is_awake(to);
        if self.proxies[to].alive && !unresponsive {
            self.send(from, to, body);
            return;
        }
        let failure = if self.proxies[to].alive || !self.can_reach(from, to) {
            Failure::Unresponsive
        } else {
            Failure::Refused
        };
        self.queue.push_back(Message {
            due: self.now + TIMEOUT,
            from: to,
            to: from,
            body: Body::Failed(peer.clone(), failure, heartbeat),
        });
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_range(0..100) < self.loss_percent
    }

    fn send(&mut self, from: usize, to: usize, body: &Body) {
        // Some messages arrive twice, the second time late.
        let copies = if self.rng.random_range(0..20) == 0 {
            2
        } else {
            1
        };
        for copy in 0..copies {
            let delay = self.rng.random_range(DELAYS_MS) * (1 + copy * 20);
            let due = self.now + Span::from_millis(delay);
            let body = body.clone();
            self.queue.push_back(Message {
                due,
                from,
                to,
                body,
            });
        }
    }

    fn deliver(&mut self, message: Message) {
        let Message { from, to, body, .. } = message;
        if !self.is_awake(to) {
            return;
        }
        let now = self.now;
        let proxy = &mut self.proxies[to];
        let actions = match body {
            Body::Heartbeat(heartbeat) => {
                let (response, actions) = proxy.membership.receive(now, heartbeat);
                self.respond(to, from, &Body::HeartbeatResponse(response));
                actions
            }
            Body::HeartbeatResponse(response) => proxy.membership.response_received(now, response),
            Body::Compare(compare) => {
                let tables = proxy.membership.differing_tables(&compare);
                self.respond(to, from, &Body::Tables(tables));
                Vec::new()
            }
            Body::Tables(tables) => proxy.membership.tables_received(now, tables),
            Body::Fetch(after) => {
                let delta = proxy.mirror.changes_since(after);
                self.respond(to, from, &Body::Delta(delta));
                Vec::new()
            }
            Body::Delta(delta) => return self.merge(to, from, delta),
            Body::Failed(p, failure, true) => proxy.membership.heartbeat_failed(now, &p, failure),
            Body::Failed(peer, _, false) => proxy.membership.fetch_finished(now, &peer, false),
        };
        self.perform(to, actions);
    }

    fn respond(&mut self, from: usize, to: usize, body: &Body) {
        if self.can_reach(from, to) && !self.is_lost() {
            self.send(from, to, body);
        }
    }

    fn merge(&mut self, index: usize, from: usize, delta: Delta) {
        let peer = Peer {
            id: None,
            address: address(from),
        };
        let now = self.now;
        let proxy = &mut self.proxies[index];
        let more = delta.more;
        proxy.mirror.merge(delta);
        let complete = proxy.mirror.complete();
        let mut actions = proxy.membership.revision_advanced(now, complete);
        actions.extend(proxy.membership.fetch_finished(now, &peer, more));
        self.perform(index, actions);
    }

    /// A watching proxy reads the store, or reports to its controller that the store failed.
    fn read_store(&mut self, index: usize) {
        let now = self.now;
        let unreachable = self
            .without_store
            .contains(&self.proxies[index].data_centre);
        let proxy = &mut self.proxies[index];
        if !proxy.watching || now < proxy.store_due {
            return;
        }
        proxy.store_due = now + TIMEOUT;
        let actions = if unreachable {
            proxy.membership.store_failed(now)
        } else {
            proxy.membership.store_responded(now);
            proxy.mirror.merge(Delta {
                after: proxy.mirror.complete(),
                records: vec![self.head.clone()],
                complete: self.head.revision,
                more: false,
            });
            proxy.membership.revision_advanced(now, self.head.revision)
        };
        self.perform(index, actions);
    }
}
