//! Proxies that hold and grant permits, with their messages and failures.

mod faults;

use model::customer::RateLimit;
use model::id::{CustomerId, ProxyId};
use model::position::Revision;
use model::unit::{Span, Time};
use policy::quota::{Action, Answer, Authority, Budget, Granter, Holder, Parts, Terms};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::store::{LEASE, MARGIN, Store};

const TICK: Span = Span::from_millis(5);
const RENEW_INTERVAL: Span = Span::from_millis(1_800);
const INFORM_INTERVAL: Span = Span::from_millis(100);

/// Time until a granter's silence is noticed.
const ANSWER_TIMEOUT: Span = Span::from_millis(150);

/// Time for which proxies run without demand and failures, to find each other.
const START: Time = Time::from_millis(3_000);

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
    /// All of these and more, at random.
    All,
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
    pub(crate) guards: Guards,
    pub(crate) length: Span,
}

/// What a run sent.
pub(crate) struct Outcome {
    /// When operations arrived at proxies.
    pub(crate) asked: Vec<Time>,
    /// When operations were sent to instances.
    pub(crate) sent: Vec<Time>,
    pub(crate) rejected: usize,
}

impl Outcome {
    /// Operations that a single bucket with the customer's rate and burst would reject.
    pub(crate) fn over_limit(&self, setup: &Setup) -> usize {
        let (mut level, mut over) = (setup.limit.burst(), 0);
        let mut last = START;
        for at in &self.asked {
            let passed = at.since(last).as_micros() as f64 / 1e6;
            level = (level + passed * setup.limit.per_s()).min(setup.limit.burst());
            last = *at;
            if level >= 1.0 {
                level -= 1.0;
            } else {
                over += 1;
            }
        }
        over
    }

    /// The first window with more operations than the terms allow.
    pub(crate) fn violation(&self, setup: &Setup) -> Option<String> {
        let Terms {
            window,
            overage,
            slack,
        } = setup.terms;
        let seconds = window.as_micros() as f64 / 1e6;
        let limited = setup.limit.per_s() * seconds + setup.limit.burst();
        let allowed = limited * (1.0 + overage) + slack;
        let mut first = 0;
        for (last, at) in self.sent.iter().enumerate() {
            while at.since(self.sent[first]) >= window {
                first += 1;
            }
            let count = last + 1 - first;
            if count as f64 > allowed {
                return Some(format!(
                    "{count} of {allowed} in the window that ends at {at}"
                ));
            }
        }
        None
    }
}

struct Node {
    id: ProxyId,
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
    holder: Holder<()>,
    granter: Option<Granter>,
    /// When admitted operations get their connections.
    ready: Vec<Time>,
    weight: f64,
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
            granter: None,
            ready: Vec::new(),
            weight,
        }
    }

    fn runs(&self, now: Time) -> bool {
        self.down_until <= now && self.paused_until <= now
    }
}

enum Message {
    Request(u32),
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
    setup: Setup,
    budget: Budget,
    customer: CustomerId,
    rng: SmallRng,
    now: Time,
    store: Store,
    nodes: Vec<Node>,
    mail: Vec<Envelope>,
    /// Until when no operation gets a connection.
    stalled_until: Time,
    restart_from: Revision,
    faults_per_s: f64,
    outcome: Outcome,
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
                | Faults::Stall => 1.0,
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
            outcome: Outcome {
                asked: Vec::new(),
                sent: Vec::new(),
                rejected: 0,
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
        self.outcome
    }

    fn chance(&mut self, per_s: f64) -> bool {
        let p = per_s * TICK.as_micros() as f64 / 1e6;
        self.rng.random_bool(p.min(1.0))
    }

    fn later(&mut self, most_ms: u64) -> Time {
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
                self.outcome.rejected += 1;
            } else {
                self.nodes[n].ready.push(send_at);
            }
        }
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
        let granters = node
            .authority
            .granters(&self.customer)
            .iter()
            .cloned()
            .collect();
        node.holder.set_granters(granters);
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

    fn reaches(&self, a: usize, b: usize) -> bool {
        let is_cut = |n: usize| self.nodes[n].peers_cut_until > self.now;
        a == b || !(is_cut(a) || is_cut(b))
    }

    fn act(&mut self, n: usize, actions: Vec<Action<()>>) {
        let mut queue = actions;
        while let Some(action) = queue.pop() {
            match action {
                Action::Admit((), permit) => {
                    assert!(permit.is_valid(self.now), "an expired permit was granted");
                    self.outcome.sent.push(self.now);
                }
                Action::Reject(..) => self.outcome.rejected += 1,
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
        let calm = matches!(self.setup.faults, Faults::None { .. });
        let arrives = self.reaches(from, to) && (calm || self.rng.random_bool(0.97));
        if arrives {
            let slow = !calm && self.rng.random_bool(0.03);
            let deliver_at = self.later(if slow { 700 } else { 30 });
            self.mail.push(Envelope {
                deliver_at,
                from,
                to,
                incarnation,
                message: Message::Request(count),
            });
        } else {
            self.mail.push(Envelope {
                deliver_at: self.now + ANSWER_TIMEOUT,
                from: to,
                to: from,
                incarnation,
                message: Message::Answer(None),
            });
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
                    let deliver_at = self.later(30);
                    self.mail.push(Envelope {
                        deliver_at,
                        from: to,
                        to: envelope.from,
                        incarnation: envelope.incarnation,
                        message: Message::Answer(Some(answer)),
                    });
                }
                Message::Answer(answer) => {
                    if self.nodes[to].incarnation != envelope.incarnation {
                        continue;
                    }
                    let granter = self.nodes[envelope.from].id.clone();
                    let actions = self.nodes[to].holder.answered(&granter, answer, now);
                    self.act(to, actions);
                }
            }
        }
    }

    /// Sends the operations that have got their connections.
    fn send_ready(&mut self, n: usize) {
        let now = self.now;
        let stalled = self.stalled_until > now;
        let due = self.nodes[n]
            .ready
            .extract_if(.., |at| *at <= now && !stalled);
        for _ in due.collect::<Vec<_>>() {
            let actions = self.nodes[n].holder.request((), now);
            self.act(n, actions);
        }
    }
}
