//! The three ways to order requests that are compared.

use std::collections::VecDeque;

use indexmap::IndexMap;
use model::id::InstanceId;
use model::unit::Time;
use policy::admission::{self, Admission, Completion, Limits};
use policy::outlier::{Eligibility, LatencyScores};
use policy::queue::{Key, Request};
use policy::{service_time, slots};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use super::workload::{self, Arrival};

/// Which discipline a run uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Name {
    /// The policy of the proxy.
    Fair,
    /// One shared queue per server, first come first served.
    FirstCome,
    /// Callers take turns; each has an equal fixed share of the connections.
    StaticShares,
}

impl Name {
    /// Every discipline.
    pub const ALL: [Self; 3] = [Self::Fair, Self::FirstCome, Self::StaticShares];

    /// Name in tables.
    pub fn text(self) -> &'static str {
        match self {
            Self::Fair => "fair",
            Self::FirstCome => "first-come",
            Self::StaticShares => "static-shares",
        }
    }
}

/// What to do with a request, named by its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send it to a server.
    Start {
        /// The request.
        request: usize,
        /// The server.
        server: usize,
    },
    /// Answer its caller now.
    Refuse(usize),
}

/// What a discipline is made for.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Servers that can serve each request.
    pub servers: usize,
    /// Callers.
    pub callers: usize,
    /// Connections to each server.
    pub held: u32,
    /// Connections that all proxies hold together.
    pub shared: u32,
}

/// One proxy's ordering of requests.
pub enum Discipline {
    /// See [`Name::Fair`].
    Fair(Box<Fair>),
    /// See [`Name::FirstCome`] and [`Name::StaticShares`].
    Turns(Turns),
}

impl Discipline {
    /// An idle proxy.
    pub fn new(name: Name, setup: Setup) -> Self {
        match name {
            Name::Fair => Self::Fair(Box::new(Fair::new(setup))),
            Name::FirstCome => Self::Turns(Turns::new(setup, 1)),
            Name::StaticShares => Self::Turns(Turns::new(setup, setup.callers)),
        }
    }

    /// A request arrives.
    pub fn enter(&mut self, request: usize, arrival: &Arrival, now: Time) -> Vec<Action> {
        match self {
            Self::Fair(fair) => fair.enter(request, arrival, now),
            Self::Turns(turns) => turns.enter(request, arrival, now),
        }
    }

    /// A started request was answered.
    pub fn finished(&mut self, request: usize, now: Time) -> Vec<Action> {
        match self {
            Self::Fair(fair) => fair.finished(request, now),
            Self::Turns(turns) => turns.finished(request, now),
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        match self {
            Self::Fair(fair) => fair.tick(now),
            Self::Turns(_) => Vec::new(),
        }
    }

    /// When [`Discipline::tick`] is due.
    pub fn next_tick(&self, now: Time) -> Option<Time> {
        match self {
            Self::Fair(fair) => fair.next_tick(now),
            Self::Turns(_) => None,
        }
    }
}

/// The policy: an admission per server, and scores to choose among them.
pub struct Fair {
    admissions: Vec<Admission>,
    scores: LatencyScores,
    names: Vec<InstanceId>,
    waiting: IndexMap<(usize, Key), usize>,
    running: IndexMap<usize, (usize, Key, Time)>,
    rng: SmallRng,
}

impl Fair {
    fn new(setup: Setup) -> Self {
        let limits = Limits {
            share: slots::Share {
                slots: workload::SLOTS,
                total_connections: setup.shared,
                connections: setup.held,
                round_trip: workload::LINK.times(2),
            },
            queue: 2_000,
        };
        let name = |at: usize| format!("db-{at}").parse().expect("a plain identifier");
        Self {
            admissions: (0..setup.servers).map(|_| Admission::new(limits)).collect(),
            scores: LatencyScores::default(),
            names: (0..setup.servers).map(name).collect(),
            waiting: IndexMap::new(),
            running: IndexMap::new(),
            rng: SmallRng::seed_from_u64(1),
        }
    }

    fn enter(&mut self, request: usize, arrival: &Arrival, now: Time) -> Vec<Action> {
        let ticket = ticket(arrival);
        let server = self.choose(&ticket, now);
        let (key, actions) = self.admissions[server].submit(ticket, now, &mut self.rng);
        self.waiting.insert((server, key), request);
        self.perform(server, actions, now)
    }

    fn choose(&mut self, ticket: &Request, now: Time) -> usize {
        let mut best = (Eligibility::Ejected, u64::MAX, 0);
        for (server, name) in self.names.iter().enumerate() {
            let standing = self.scores.eligibility(name, now);
            if standing == Eligibility::Trial {
                return server;
            }
            let admission = &self.admissions[server];
            let service = admission
                .service_times()
                .expected(&ticket.class, ticket.shape);
            let wait = admission.expected_wait(ticket, now).as_micros() + service.as_micros();
            let better = best.0 == standing && wait < best.1;
            if better || (best.0 == Eligibility::Ejected && standing == Eligibility::Normal) {
                best = (standing, wait, server);
            }
        }
        best.2
    }

    fn finished(&mut self, request: usize, now: Time) -> Vec<Action> {
        let Some((server, key, since)) = self.running.swap_remove(&request) else {
            return Vec::new();
        };
        let name = &self.names[server];
        self.scores
            .response_received(name, since, now, &mut self.rng);
        let actions = self.admissions[server].finished(key, Completion::Responded, now);
        self.perform(server, actions, now)
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut all = Vec::new();
        for server in 0..self.admissions.len() {
            let actions = self.admissions[server].tick(now, &mut self.rng);
            all.extend(self.perform(server, actions, now));
        }
        all
    }

    fn next_tick(&self, now: Time) -> Option<Time> {
        let ticks = self.admissions.iter().filter_map(|a| a.next_tick(now));
        ticks.min()
    }

    fn perform(
        &mut self,
        server: usize,
        actions: Vec<admission::Action>,
        now: Time,
    ) -> Vec<Action> {
        let mut out = Vec::with_capacity(actions.len());
        for action in actions {
            match action {
                admission::Action::Start(key) => {
                    let request = self.waiting.swap_remove(&(server, key));
                    let request = request.expect("a started request was waiting");
                    self.running.insert(request, (server, key, now));
                    self.scores.started(&self.names[server], now);
                    out.push(Action::Start { request, server });
                }
                admission::Action::Reject(key, _) => {
                    let request = self.waiting.swap_remove(&(server, key));
                    out.extend(request.map(Action::Refuse));
                }
            }
        }
        out
    }
}

fn ticket(arrival: &Arrival) -> Request {
    let name = format!("caller-{}", arrival.caller);
    Request {
        caller: name.parse().expect("a plain identifier"),
        weight: 1,
        class: arrival.kind.name().parse().expect("a plain identifier"),
        class_weight: arrival.kind.weight(),
        shape: service_time::Shape(u64::from(arrival.long)),
        deadline: arrival.deadline(),
    }
}

/// Baselines: queues served in turn, each with a fixed share of the connections.
/// With a single queue this is first come, first served.
pub struct Turns {
    servers: Vec<Turn>,
    queues: usize,
    share: u32,
    held: u32,
    next_server: usize,
    running: IndexMap<usize, (usize, usize)>,
}

struct Turn {
    queues: Vec<VecDeque<(usize, Time)>>,
    busy: Vec<u32>,
    next: usize,
}

impl Turns {
    fn new(setup: Setup, queues: usize) -> Self {
        let turn = || Turn {
            queues: vec![VecDeque::new(); queues],
            busy: vec![0; queues],
            next: 0,
        };
        Self {
            servers: (0..setup.servers).map(|_| turn()).collect(),
            queues,
            share: (setup.held / queues as u32).max(1),
            held: setup.held,
            next_server: 0,
            running: IndexMap::new(),
        }
    }

    fn enter(&mut self, request: usize, arrival: &Arrival, now: Time) -> Vec<Action> {
        let server = self.next_server;
        self.next_server = (server + 1) % self.servers.len();
        let queue = arrival.caller % self.queues;
        let item = (request, arrival.deadline());
        self.servers[server].queues[queue].push_back(item);
        self.start(server, now)
    }

    fn finished(&mut self, request: usize, now: Time) -> Vec<Action> {
        let Some((server, queue)) = self.running.swap_remove(&request) else {
            return Vec::new();
        };
        self.servers[server].busy[queue] -= 1;
        self.start(server, now)
    }

    /// Starts what the shares allow. A request whose caller has stopped waiting is
    /// answered when its turn comes, as a pool with a wait limit does.
    fn start(&mut self, server: usize, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let turn = &mut self.servers[server];
        let mut passed = 0;
        while passed < self.queues && turn.busy.iter().sum::<u32>() < self.held {
            let at = turn.next;
            turn.next = (at + 1) % self.queues;
            if turn.busy[at] >= self.share {
                passed += 1;
                continue;
            }
            let Some((request, deadline)) = turn.queues[at].pop_front() else {
                passed += 1;
                continue;
            };
            passed = 0;
            if deadline <= now {
                actions.push(Action::Refuse(request));
                continue;
            }
            turn.busy[at] += 1;
            self.running.insert(request, (server, at));
            actions.push(Action::Start { request, server });
        }
        actions
    }
}
