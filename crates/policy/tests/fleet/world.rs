//! A few membership controllers and adopters, joined by a queue of messages.

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
const DELAY_MS: std::ops::Range<u64> = 1..120;
const GIVE_UP: Span = Span::from_millis(500);

pub(crate) struct Proxy {
    pub(crate) member: Membership,
    pub(crate) adopter: ConfigMirror,
    pub(crate) site: usize,
    pub(crate) alive: bool,
    pub(crate) paused_until: Time,
    watching: bool,
    store_due: Time,
}

#[derive(Clone)]
enum Body {
    Beat(Heartbeat),
    BeatAnswer(Heartbeat),
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
    /// Pairs of data centres that do not reach each other.
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    /// Data centres that do not reach the store.
    pub(crate) storeless: BTreeSet<usize>,
    /// Share of messages that are lost, in percent.
    pub(crate) loss: u32,
    pub(crate) head: Record,
    queue: VecDeque<Message>,
    rng: StdRng,
}

fn centre(site: usize) -> DataCentre {
    format!("dc{site}").parse().unwrap()
}

fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 0], u16::try_from(at + 1).unwrap()))
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
            cuts: BTreeSet::new(),
            storeless: BTreeSet::new(),
            loss: 0,
            head: head(1),
            queue: VecDeque::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn start(&mut self, site: usize) -> usize {
        let at = self.proxies.len();
        let me = MemberInfo {
            id: format!("p{at}").parse::<ProxyId>().unwrap(),
            data_centre: centre(site),
            address: address(at),
            incarnation: 0,
            state: State::Live,
            draining: false,
            store_unreachable: false,
        };
        let seeds = (0..at).map(address).collect();
        self.proxies.push(Proxy {
            member: Membership::new(self.now, me, seeds, self.rng.random()),
            adopter: ConfigMirror::default(),
            site,
            alive: true,
            paused_until: Time::default(),
            watching: false,
            store_due: self.now,
        });
        at
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
        for at in 0..self.proxies.len() {
            if self.awake(at) {
                let actions = self.proxies[at].member.tick(self.now);
                self.perform(at, actions);
                self.visit_store(at);
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

    fn awake(&self, at: usize) -> bool {
        self.proxies[at].alive && self.now >= self.proxies[at].paused_until
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (a, b) = (self.proxies[from].site, self.proxies[to].site);
        !self.cuts.contains(&(a.min(b), a.max(b)))
    }

    fn perform(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Heartbeat(peer, beat) => self.request(at, &peer, &Body::Beat(beat), true),
                Action::Compare(peer, compare) => {
                    self.request(at, &peer, &Body::Compare(compare), false);
                }
                Action::Fetch(peer, after) => self.request(at, &peer, &Body::Fetch(after), false),
                Action::Watch(watch) => self.proxies[at].watching = watch,
                Action::Changed => {}
            }
        }
    }

    fn request(&mut self, from: usize, peer: &Peer, body: &Body, beat: bool) {
        let to = usize::from(peer.address.port()) - 1;
        let silent = !self.reaches(from, to) || self.lost() || !self.awake(to);
        if self.proxies[to].alive && !silent {
            self.send(from, to, body);
            return;
        }
        let failure = if self.proxies[to].alive || !self.reaches(from, to) {
            Failure::Unresponsive
        } else {
            Failure::Refused
        };
        self.queue.push_back(Message {
            due: self.now + GIVE_UP,
            from: to,
            to: from,
            body: Body::Failed(peer.clone(), failure, beat),
        });
    }

    fn lost(&mut self) -> bool {
        self.rng.random_range(0..100) < self.loss
    }

    fn send(&mut self, from: usize, to: usize, body: &Body) {
        // Now and then a message arrives twice, the second time late.
        let copies = if self.rng.random_range(0..20) == 0 {
            2
        } else {
            1
        };
        for copy in 0..copies {
            let delay = self.rng.random_range(DELAY_MS) * (1 + copy * 20);
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
        if !self.awake(to) {
            return;
        }
        let now = self.now;
        let proxy = &mut self.proxies[to];
        let actions = match body {
            Body::Beat(beat) => {
                let (answer, actions) = proxy.member.receive(now, beat);
                self.answer(to, from, &Body::BeatAnswer(answer));
                actions
            }
            Body::BeatAnswer(answer) => proxy.member.response_received(now, answer),
            Body::Compare(compare) => {
                let tables = proxy.member.differing_tables(&compare);
                self.answer(to, from, &Body::Tables(tables));
                Vec::new()
            }
            Body::Tables(tables) => proxy.member.tables_received(now, tables),
            Body::Fetch(after) => {
                let delta = proxy.adopter.changes_since(after);
                self.answer(to, from, &Body::Delta(delta));
                Vec::new()
            }
            Body::Delta(delta) => return self.merge(to, from, delta),
            Body::Failed(peer, failure, true) => proxy.member.heartbeat_failed(now, &peer, failure),
            Body::Failed(peer, _, false) => proxy.member.fetch_finished(now, &peer, false),
        };
        self.perform(to, actions);
    }

    fn answer(&mut self, from: usize, to: usize, body: &Body) {
        if self.reaches(from, to) && !self.lost() {
            self.send(from, to, body);
        }
    }

    fn merge(&mut self, at: usize, from: usize, delta: Delta) {
        let peer = Peer {
            id: None,
            address: address(from),
        };
        let now = self.now;
        let proxy = &mut self.proxies[at];
        let more = delta.more;
        proxy.adopter.merge(delta);
        let complete = proxy.adopter.complete();
        let mut actions = proxy.member.revision_advanced(now, complete);
        actions.extend(proxy.member.fetch_finished(now, &peer, more));
        self.perform(at, actions);
    }

    /// A watching proxy reads the store; without an answer it says so.
    fn visit_store(&mut self, at: usize) {
        let now = self.now;
        let down = self.storeless.contains(&self.proxies[at].site);
        let proxy = &mut self.proxies[at];
        if !proxy.watching || now < proxy.store_due {
            return;
        }
        proxy.store_due = now + GIVE_UP;
        let actions = if down {
            proxy.member.store_failed(now)
        } else {
            proxy.member.store_responded(now);
            proxy.adopter.merge(Delta {
                after: proxy.adopter.complete(),
                records: vec![self.head.clone()],
                complete: self.head.revision,
                more: false,
            });
            proxy.member.revision_advanced(now, self.head.revision)
        };
        self.perform(at, actions);
    }
}
