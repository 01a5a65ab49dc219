//! Runs a scenario in virtual time, without sockets.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use model::unit::{Span, Time};

use super::discipline::{Action, Discipline, Name, Setup};
use super::outcome::Outcome;
use super::workload::{self, Arrival, Scenario};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The server is done with a request.
    Done { server: usize, request: usize },
    /// An answer reaches its proxy.
    Answer { request: usize },
    /// A request reaches its server.
    Reach { server: usize, request: usize },
    /// A proxy's timer.
    Tick { proxy: usize },
    /// A request reaches its proxy.
    Arrive { request: usize },
}

struct Server {
    busy: u32,
    queue: VecDeque<usize>,
    factor: u64,
}

struct Run<'a> {
    arrivals: &'a [Arrival],
    proxies: Vec<Discipline>,
    /// When each proxy's timer fires, if it is set.
    timers: Vec<Option<Time>>,
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    outcomes: Vec<Outcome>,
}

/// Equal proxies and their shares of each server's connections.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Proxies.
    pub proxies: usize,
    /// Connections that each may hold.
    pub held: u32,
    /// Connections that each believes are held by all.
    pub shared: u32,
}

impl Fleet {
    /// All connections are lent out, in equal parts.
    pub fn lent(proxies: usize) -> Self {
        let held = (workload::CONNECTIONS / proxies as u32).max(1);
        let shared = held * proxies as u32;
        Self {
            proxies,
            held,
            shared,
        }
    }

    /// Nobody lends: each has its floor, out of nine proxies at most.
    pub fn floors(proxies: usize) -> Self {
        Self {
            proxies,
            held: 1,
            shared: 9,
        }
    }
}

/// Runs the arrivals through a fleet and returns what became of each.
pub fn run(scenario: &Scenario, arrivals: &[Arrival], name: Name, fleet: Fleet) -> Vec<Outcome> {
    let proxies = fleet.proxies;
    let setup = Setup {
        servers: scenario.servers,
        callers: scenario.demand.len(),
        held: fleet.held,
        shared: fleet.shared,
    };
    let server = |at| Server {
        busy: 0,
        queue: VecDeque::new(),
        factor: if scenario.slow == Some(at) {
            workload::SLOW
        } else {
            1
        },
    };
    let mut run = Run {
        arrivals,
        proxies: (0..proxies).map(|_| Discipline::new(name, setup)).collect(),
        timers: vec![None; proxies],
        servers: (0..scenario.servers).map(server).collect(),
        events: BinaryHeap::new(),
        outcomes: vec![Outcome::Lost; arrivals.len()],
    };
    for (request, arrival) in arrivals.iter().enumerate() {
        let event = Event::Arrive { request };
        run.events.push(Reverse((arrival.at, event)));
    }
    while let Some(Reverse((now, event))) = run.events.pop() {
        run.handle(now, event);
    }
    run.outcomes
}

impl Run<'_> {
    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Arrive { request } => {
                let proxy = request % self.proxies.len();
                let arrival = &self.arrivals[request];
                let actions = self.proxies[proxy].enter(request, arrival, now);
                self.perform(proxy, &actions, now);
            }
            Event::Reach { server, request } => {
                self.servers[server].queue.push_back(request);
                self.work(server, now);
            }
            Event::Done { server, request } => {
                self.servers[server].busy -= 1;
                self.push(now + workload::LINK, Event::Answer { request });
                self.work(server, now);
            }
            Event::Answer { request } => {
                let proxy = request % self.proxies.len();
                let took = now.since(self.arrivals[request].at);
                self.outcomes[request] = Outcome::Answered(took);
                let actions = self.proxies[proxy].finished(request, now);
                self.perform(proxy, &actions, now);
            }
            Event::Tick { proxy } => {
                if self.timers[proxy] != Some(now) {
                    return;
                }
                self.timers[proxy] = None;
                let actions = self.proxies[proxy].tick(now);
                self.perform(proxy, &actions, now);
            }
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn work(&mut self, server: usize, now: Time) {
        while self.servers[server].busy < workload::SLOTS {
            let Some(request) = self.servers[server].queue.pop_front() else {
                return;
            };
            self.servers[server].busy += 1;
            let service = self.arrivals[request].service;
            let done = now + service.times(self.servers[server].factor);
            self.push(done, Event::Done { server, request });
        }
    }

    fn perform(&mut self, proxy: usize, actions: &[Action], now: Time) {
        for action in actions {
            match *action {
                Action::Start { request, server } => {
                    self.push(now + workload::LINK, Event::Reach { server, request });
                }
                Action::Refuse(request) => {
                    let after = now.since(self.arrivals[request].at);
                    self.outcomes[request] = Outcome::Refused(after);
                }
            }
        }
        if let Some(at) = self.proxies[proxy].next_tick(now) {
            let at = at.max(now + Span::from_micros(1));
            if self.timers[proxy].is_none_or(|set| at < set) {
                self.timers[proxy] = Some(at);
                self.push(at, Event::Tick { proxy });
            }
        }
    }
}
