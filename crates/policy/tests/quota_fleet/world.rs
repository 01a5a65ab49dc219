//! Proxies that hold and grant permits, with their messages and failures.

mod faults;

use indexmap::IndexMap;
use model::customer::RateLimit;
use model::id::{CustomerId, ProxyId};
use model::position::Revision;
use model::unit::{Span, Time};
use policy::quota::{
    Action, Answer, Authority, Budget, Granter, Holder, Parts, Reservation, SILENT_AFTER, Silence,
    Terms,
};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::outcome::Outcome;
use crate::store::{LEASE, MARGIN, Store};

const TICK: Span = Span::from_millis(5);
const RENEW_INTERVAL: Span = Span::from_millis(1_800);
const INFORM_INTERVAL: Span = Span::from_millis(100);

/// Time until a granter's silence is noticed.
const ANSWER_TIMEOUT: Span = Span::from_millis(150);

/// Time for which proxies run without demand and failures, to find each other.
pub(crate) const START: Time = Time::from_millis(3_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Faults {
    /// Calm; demand comes through so many proxies.
    None { active: usize },
    /// A half of the fleet loses the store for good.
    Partition,
    /// Two thirds of the fleet appear while the others have lost the store.
    Join,
    /// Two thirds of the fleet appear; then the others restart from an earlier state of the
    /// store, and lose it once they have announced themselves.
    Restart,
    /// All proxies restart at once, so long after a part of them appeared that some of these are
    /// confirmed; they are down for so many milliseconds at most.
    RestartAll(u64),
    /// A half of the fleet restarts while the others have lost the store, and a third of them
    /// all other proxies.
    RestartHalf(u64),
    /// Instances stall, and admitted operations wait for their connections.
    Stall,
    /// The last third of the fleet is disconnected from the others, but not from the store.
    Cut,
    /// All of these and more, at random.
    All,
}

/// When operations request their permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// When they have their connections.
    ConnectionFirst,
    /// Before they request connections.
    PermitFirst,
}

/// Guards that can be switched off.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Guards {
    /// New granters wait until those that they displace know of them.
    pub(crate) informs: bool,
    /// Granters are confirmed only while they are certainly registered.
    pub(crate) registered: bool,
}

impl Guards {
    pub(crate) fn all() -> Self {
        Self {
            informs: true,
            registered: true,
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) proxies: usize,
    pub(crate) limit: RateLimit,
    pub(crate) terms: Terms,
    /// Demand as a multiple of the limit's rate.
    pub(crate) demand: f64,
    pub(crate) faults: Faults,
    pub(crate) order: Order,
    /// Longest time that a message takes, in ms, unless it is late.
    pub(crate) latency_ms: u64,
    pub(crate) guards: Guards,
    pub(crate) length: Span,
}

pub(crate) struct Node {
    pub(crate) id: ProxyId,
    /// Increased by each restart; messages to an earlier process are dropped.
    incarnation: u32,
    down_until: Time,
    paused_until: Time,
    store_cut_until: Time,
    peers_cut_until: Time,
    announced_at: Option<Revision>,
    renew_at: Time,
    inform_at: Time,
    authority: Authority,
    pub(crate) holder: Holder<u32>,
    pub(crate) silence: Silence,
    granter: Option<Granter>,
    /// Operations that were not sent or rejected yet.
    pub(crate) operations: IndexMap<u32, Operation>,
    weight: f64,
}

/// An operation that waits for its connection, its permit, or both.
pub(crate) struct Operation {
    pub(crate) arrived: Time,
    pub(crate) reservation: Reservation,
    /// When it gets its connection; `None` if it has not requested one.
    pub(crate) ready_at: Option<Time>,
    /// Until when it waits for a permit and keeps its connection.
    pub(crate) keeps_until: Option<Time>,
}

impl Node {
    fn new(id: ProxyId, now: Time, weight: f64) -> Self {
        Self {
            authority: Authority::new(id.clone()),
            id,
            incarnation: 0,
            down_until: now,
            paused_until: now,
            store_cut_until: now,
            peers_cut_until: now,
            announced_at: None,
            renew_at: now,
            inform_at: now,
            holder: Holder::new(now),
            silence: Silence::default(),
            granter: None,
            operations: IndexMap::new(),
            weight,
        }
    }

    pub(crate) fn runs(&self, now: Time) -> bool {
        self.down_until <= now && self.paused_until <= now
    }

    fn set_granters(&mut self, customer: &CustomerId) {
        let granters = self.authority.granters(customer).iter();
        let granters: Vec<_> = granters.cloned().collect();
        self.holder.set_granters(granters.clone());
        for granter in granters {
            let is_silent = self.silence.is_silent(&granter);
            self.holder.set_silent(&granter, is_silent);
        }
    }

    pub(crate) fn note_answer(&mut self, granter: &ProxyId, answered: bool, now: Time) {
        match answered {
            true => self.silence.answered(granter),
            false => self.silence.no_answer(granter, now),
        };
        self.holder.set_silent(granter, !answered);
    }
}

enum Message {
    Request(u32),
    /// The answer takes long.
    Late,
    Answer(Option<Answer>),
}

struct Envelope {
    deliver_at: Time,
    from: usize,
    to: usize,
    /// The holder's incarnation.
    incarnation: u32,
    message: Message,
}

pub(crate) struct World {
    pub(crate) setup: Setup,
    budget: Budget,
    customer: CustomerId,
    rng: SmallRng,
    pub(crate) now: Time,
    store: Store,
    pub(crate) nodes: Vec<Node>,
    mail: Vec<Envelope>,
    /// Until when no operation gets a connection.
    pub(crate) stalled_until: Time,
    restart_from: Revision,
    faults_per_s: f64,
    /// The proxies from this one on are disconnected from those before.
    cut_at: Option<usize>,
    pub(crate) last_operation: u32,
    pub(crate) outcome: Outcome,
}

impl World {
    pub(crate) fn new(setup: &Setup, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = Time::from_millis(0);
        let nodes = (0..setup.proxies).map(|n| {
            let weight = match setup.faults {
                Faults::None { active } if n >= active => 0.0,
                Faults::None { .. } => 1.0,
                Faults::Partition
                | Faults::Join
                | Faults::Restart
                | Faults::RestartAll(_)
                | Faults::RestartHalf(_)
                | Faults::Stall
                | Faults::Cut => 1.0,
                Faults::All => rng.random_range(0.0..1.0_f64).powi(3),
            };
            Node::new(format!("p{n}").parse().unwrap(), now, weight)
        });
        let nodes = nodes.collect();
        let faults_per_s = rng.random_range(0.1..2.0);
        Self {
            setup: setup.clone(),
            budget: Budget::new(setup.limit, setup.terms),
            // Another ranking of the proxies for each seed.
            customer: format!("hot{seed}").parse().unwrap(),
            rng,
            now,
            store: Store::default(),
            nodes,
            mail: Vec::new(),
            stalled_until: now,
            restart_from: Revision(0),
            faults_per_s,
            cut_at: None,
            last_operation: 0,
            outcome: Outcome {
                asked: Vec::new(),
                sent: Vec::new(),
                sent_by: Vec::new(),
                rejected: 0,
                rejected_after: Vec::new(),
                parts: Vec::new(),
            },
        }
    }

    pub(crate) fn run(mut self) -> Outcome {
        let end = START + self.setup.length;
        while self.now < end {
            self.now = self.now + TICK;
            self.store.expire(self.now);
            self.inject_faults();
            self.deliver();
            for n in 0..self.nodes.len() {
                if self.nodes[n].runs(self.now) {
                    self.tick(n);
                }
            }
        }
        for node in &mut self.nodes {
            let parts = node.authority.parts(&self.customer, self.now);
            self.outcome.parts.push(parts.confirmed);
        }
        self.outcome
    }

    fn chance(&mut self, per_s: f64) -> bool {
        let p = per_s * TICK.as_micros() as f64 / 1e6;
        self.rng.random_bool(p.min(1.0))
    }

    pub(crate) fn later(&mut self, most_ms: u64) -> Time {
        self.now + Span::from_millis(self.rng.random_range(0..most_ms))
    }

    fn tick(&mut self, n: usize) {
        let reaches_store = self.nodes[n].store_cut_until <= self.now;
        if reaches_store {
            self.register(n);
            if self.chance(4.0) {
                self.read_store(n);
            }
        }
        if self.nodes[n].inform_at <= self.now {
            self.nodes[n].inform_at = self.now + INFORM_INTERVAL;
            self.inform(n);
        }
        let total: f64 = self.nodes.iter().map(|n| n.weight).sum();
        let demand = self.setup.demand * self.setup.limit.per_s();
        let share = self.nodes[n].weight / total.max(1e-9);
        let now = self.now;
        if now > START && self.chance(demand * share) {
            self.outcome.asked.push(now);
            let send_at = match self.setup.faults {
                Faults::None { .. } => now,
                _ => self.later(300).max(self.stalled_until),
            };
            if self.nodes[n].holder.known_rejection(now).is_some() {
                self.reject(now);
            } else {
                self.start(n, send_at);
            }
        }
        self.query_silent(n);
        // Keeps the granter's bucket filling while nobody asks.
        self.grant(n, 0);
        let actions = self.nodes[n].holder.step(now);
        self.act(n, actions);
        self.send_ready(n);
    }

    fn register(&mut self, n: usize) {
        let now = self.now;
        let registered = self.setup.guards.registered;
        let node = &mut self.nodes[n];
        if node.renew_at > now {
            return;
        }
        node.renew_at = now + RENEW_INTERVAL;
        let renewed = node.announced_at.is_some() && self.store.renew(&node.id, now);
        if !renewed {
            let at = self.store.announce(&node.id, now);
            node.announced_at = Some(at);
            node.authority.set_announced(Some(at));
        }
        let lease = Span::from_micros(LEASE.as_micros() - MARGIN.as_micros());
        let lease = if registered { lease } else { lease.times(100) };
        node.authority.set_valid_until(now + lease);
    }

    /// Reads the store up to now, or up to an earlier change.
    fn read_store(&mut self, n: usize) {
        let newest = self.store.revision().0;
        let known = self.nodes[n].authority.revision().0;
        let revision = Revision(self.rng.random_range(known..=newest));
        let live = self.store.at(revision);
        let node = &mut self.nodes[n];
        node.authority.set_live(live, revision);
        node.set_granters(&self.customer);
    }

    fn inform(&mut self, n: usize) {
        let Some((uninformed, revision)) = self.nodes[n].authority.to_inform([&self.customer])
        else {
            return;
        };
        for (customer, id) in uninformed {
            let Some(other) = self.nodes.iter().position(|node| node.id == id) else {
                continue;
            };
            let reached = self.reaches(n, other) && self.nodes[other].runs(self.now);
            let knows = self.nodes[other].authority.knows(&customer, revision);
            if (knows && reached) || !self.setup.guards.informs {
                let authority = &mut self.nodes[n].authority;
                authority.set_informed(customer, id, revision);
            }
        }
    }

    pub(crate) fn reaches(&self, a: usize, b: usize) -> bool {
        let is_cut = |n: usize| self.nodes[n].peers_cut_until > self.now;
        let is_divided = self.cut_at.is_some_and(|at| (a < at) != (b < at));
        a == b || !(is_cut(a) || is_cut(b) || is_divided)
    }

    pub(crate) fn act(&mut self, n: usize, actions: Vec<Action<u32>>) {
        let mut queue = actions;
        while let Some(action) = queue.pop() {
            match action {
                Action::Admit(id, permit) => {
                    assert!(permit.is_valid(self.now), "an expired permit was granted");
                    queue.extend(self.admit(n, id, permit));
                }
                Action::Reject(id, _) => {
                    let operation = self.nodes[n].operations.swap_remove(&id);
                    self.reject(operation.map_or(self.now, |o| o.arrived));
                }
                Action::Request(granter, count) => {
                    let to = self.nodes.iter().position(|node| node.id == granter);
                    let Some(to) = to else { continue };
                    if to == n {
                        let answer = self.grant(n, count);
                        let now = self.now;
                        let holder = &mut self.nodes[n].holder;
                        queue.extend(holder.answered(&granter, Some(answer), now));
                    } else {
                        self.post_request(n, to, count);
                    }
                }
            }
        }
    }

    fn post_request(&mut self, from: usize, to: usize, count: u32) {
        let incarnation = self.nodes[from].incarnation;
        let calm = matches!(self.setup.faults, Faults::None { .. } | Faults::Cut);
        let arrives = self.reaches(from, to) && (calm || self.rng.random_bool(0.97));
        if arrives {
            let slow = !calm && self.rng.random_bool(0.03);
            let deliver_at = self.later(if slow { 700 } else { self.setup.latency_ms });
            self.mail.push(Envelope {
                deliver_at,
                from,
                to,
                incarnation,
                message: Message::Request(count),
            });
        } else {
            let timers = [
                (SILENT_AFTER, Message::Late),
                (ANSWER_TIMEOUT, Message::Answer(None)),
            ];
            for (after, message) in timers {
                self.mail.push(Envelope {
                    deliver_at: self.now + after,
                    from: to,
                    to: from,
                    incarnation,
                    message,
                });
            }
        }
    }

    fn grant(&mut self, n: usize, count: u32) -> Answer {
        let now = self.now;
        let node = &mut self.nodes[n];
        let parts = node.authority.parts(&self.customer, now);
        if parts == Parts::default() {
            node.granter = None;
            return Answer::refusal();
        }
        let budget = self.budget;
        let granter = node
            .granter
            .get_or_insert_with(|| Granter::new(budget, parts, now));
        granter.set_parts(parts, now);
        granter.grant(count, now)
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.mail.extract_if(.., |m| m.deliver_at <= now).collect();
        for mut envelope in due {
            let to = envelope.to;
            if self.nodes[to].paused_until > now && self.nodes[to].down_until <= now {
                envelope.deliver_at = self.nodes[to].paused_until;
                self.mail.push(envelope);
                continue;
            }
            if !self.nodes[to].runs(now) {
                continue;
            }
            match envelope.message {
                Message::Request(count) => {
                    let answer = self.grant(to, count);
                    let deliver_at = self.later(self.setup.latency_ms);
                    self.mail.push(Envelope {
                        deliver_at,
                        from: to,
                        to: envelope.from,
                        incarnation: envelope.incarnation,
                        message: Message::Answer(Some(answer)),
                    });
                }
                Message::Late => {
                    if self.nodes[to].incarnation == envelope.incarnation {
                        let granter = self.nodes[envelope.from].id.clone();
                        self.nodes[to].note_answer(&granter, false, now);
                    }
                }
                Message::Answer(answer) => {
                    if self.nodes[to].incarnation != envelope.incarnation {
                        continue;
                    }
                    let granter = self.nodes[envelope.from].id.clone();
                    self.nodes[to].note_answer(&granter, answer.is_some(), now);
                    let actions = self.nodes[to].holder.answered(&granter, answer, now);
                    self.act(to, actions);
                }
            }
        }
    }
}
