//! Small fakes of a database group, the store and the network for the real controllers.
//!
//! One step of [`World`] advances the time by [`TICK`], delivers the messages that are due
//! and replicates; proxies are ticked every [`PROXY_TICK`]. All randomness comes from one
//! seed.

pub(crate) mod caller;
pub(crate) mod fault;
pub(crate) mod instance;
pub(crate) mod oracle;
pub(crate) mod proxy;
pub(crate) mod store;

use std::collections::BTreeSet;
use std::sync::Arc;

use model::config::{Fleet, Group, Instance as Declared};
use model::id::{GroupId, InstanceId};
use model::settings::{Acknowledge, Settings};
use model::unit::{Span, Time};
use policy::message::{Command, PeerReport, QueryId, StoreReply, StoreRequest};
use policy::route::Failure;
use policy::status::{Role, Status};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use caller::{Executed, Requirement, Statement};
use fault::Fault;
use instance::Instance;
use oracle::Oracle;
use proxy::Proxy;
use store::Store;

/// Duration of one step of the world.
pub(crate) const TICK: Span = Span::from_millis(2);

/// Interval at which a proxy's controllers are stepped without an event.
const PROXY_TICK: Span = Span::from_millis(10);

/// Data centre of the store; the first primary runs in another one.
pub(crate) const STORE_SITE: usize = 1;

/// Number of data centres; the first two are in one region.
pub(crate) const SITES: usize = 3;

/// A proxy process: its index in the list, and how often it was restarted.
pub(crate) type ProxyProcess = (usize, u64);

/// A message between processes.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Command(ProxyProcess, QueryId, usize, Command),
    Response(ProxyProcess, QueryId, Result<Status, Failure>),
    StoreRequest(ProxyProcess, QueryId, StoreRequest),
    StoreReply(ProxyProcess, QueryId, StoreReply),
    Report(usize, PeerReport),
    Statement(Statement),
    Executed(Executed),
}

#[derive(Clone, Debug)]
struct Envelope {
    due: Time,
    from: usize,
    to: usize,
    message: Message,
}

/// The simulated system.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) rng: SmallRng,
    pub(crate) group: GroupId,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) store: Store,
    pub(crate) oracle: Oracle,
    pub(crate) faults: Vec<Fault>,
    /// Pairs of sites that are partitioned from each other.
    pub(crate) partitions: BTreeSet<(usize, usize)>,
    /// Percentage of messages that are lost, and as many that are duplicated.
    pub(crate) loss: u32,
    /// Largest extra delay of a message in milliseconds; it reorders messages.
    pub(crate) jitter: u64,
    /// Largest number of records that a replica receives in one tick; 0 stops replication.
    pub(crate) replication_limit: u64,
    in_flight: Vec<Envelope>,
}

pub(crate) fn instance_id(at: usize) -> InstanceId {
    format!("i{at}").parse().unwrap()
}

fn fleet(acknowledge: Acknowledge) -> Fleet {
    let centres = [("d0", "near"), ("d1", "near"), ("d2", "far")];
    let centres = centres.map(|(d, r)| (d.parse().unwrap(), r.parse().unwrap()));
    let declared = |at: usize| {
        let instance = Declared {
            address: format!("127.0.{at}.1:5432").parse().unwrap(),
            data_centre: format!("d{at}").parse().unwrap(),
            leaving: false,
        };
        (instance_id(at), instance)
    };
    let group = Group {
        instances: (0..SITES).map(declared).collect(),
        database: "g".into(),
        user: "g".into(),
        password: None,
    };
    Fleet {
        data_centres: centres.into_iter().collect(),
        groups: [("g".parse().unwrap(), group)].into_iter().collect(),
        defaults: Settings {
            acknowledge,
            ..Settings::default()
        },
        ..Fleet::default()
    }
}

impl World {
    /// Creates a healthy fleet of `proxies` proxies and runs it until it is stable.
    pub(crate) fn new(seed: u64, proxies: usize, acknowledge: Acknowledge) -> Self {
        let mut world = Self {
            now: Time::from_millis(1),
            rng: SmallRng::seed_from_u64(seed),
            group: "g".parse().unwrap(),
            fleet: Arc::new(fleet(acknowledge)),
            instances: (0..SITES).map(Instance::new).collect(),
            proxies: Vec::new(),
            store: Store::default(),
            oracle: Oracle::default(),
            faults: Vec::new(),
            partitions: BTreeSet::new(),
            loss: 0,
            jitter: 2,
            replication_limit: 8,
            in_flight: Vec::new(),
        };
        for at in 0..proxies {
            world.start_proxy(at);
        }
        world.run(300);
        world
    }

    /// Runs for `ms` milliseconds.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + Span::from_millis(ms);
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver();
            self.replicate();
            if self.now.as_micros() % PROXY_TICK.as_micros() < TICK.as_micros() {
                self.tick_proxies();
            }
        }
    }

    /// Runs for `ms` milliseconds while callers write and read through every proxy.
    pub(crate) fn traffic(&mut self, ms: u64) {
        let end = self.now + Span::from_millis(ms);
        while self.now < end {
            let proxy = self.rng.random_range(0..self.proxies.len());
            let session = self.rng.random_range(0..3);
            match self.rng.random_range(0..5) {
                0 | 1 => {
                    self.write(proxy, session);
                }
                2 => self.read(proxy, session, Requirement::Token),
                3 => self.read(proxy, session, Requirement::Unstated),
                _ => self.read(proxy, session, Requirement::MaxAge(500)),
            }
            self.run(20);
        }
    }

    pub(crate) fn partition(&mut self, a: usize, b: usize) {
        self.partitions.insert((a.min(b), a.max(b)));
    }

    /// Partitions a data centre from all others.
    pub(crate) fn isolate(&mut self, site: usize) {
        for other in (0..SITES).filter(|s| *s != site) {
            self.partition(site, other);
        }
    }

    /// The primary of the newest term.
    pub(crate) fn leader(&self) -> usize {
        let all = self.instances.iter().enumerate();
        let primaries = all.filter(|(_, i)| i.role == Role::Primary);
        primaries
            .max_by_key(|(_, i)| i.term)
            .map_or(0, |(at, _)| at)
    }

    pub(crate) fn connected(&self, a: usize, b: usize) -> bool {
        !self.partitions.contains(&(a.min(b), a.max(b)))
    }

    pub(crate) fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.loss > 0 && self.rng.random_range(0..100) < self.loss {
            return;
        }
        if self.loss > 0 && self.rng.random_range(0..100) < self.loss {
            self.launch(from, to, message.clone());
        }
        self.launch(from, to, message);
    }

    fn launch(&mut self, from: usize, to: usize, message: Message) {
        let far = (from == 2) != (to == 2);
        let base = if far { 20_000 } else { 1_000 };
        let extra = self.rng.random_range(0..=self.jitter * 1_000);
        self.in_flight.push(Envelope {
            due: self.now + Span::from_micros(base + extra),
            from,
            to,
            message,
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (mut due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|f| f.due <= now);
        self.in_flight = later;
        due.sort_by_key(|f| f.due);
        for envelope in due {
            if self.connected(envelope.from, envelope.to) && !self.is_blocked(&envelope) {
                self.receive(envelope);
            }
        }
    }

    /// Whether a message from another data centre is for an isolated instance.
    fn is_blocked(&self, envelope: &Envelope) -> bool {
        let at = match &envelope.message {
            Message::Command(_, _, at, _) => *at,
            Message::Statement(statement) => statement.instance,
            _ => return false,
        };
        envelope.from != at && self.faults.contains(&Fault::IsolateInstance(at))
    }

    fn receive(&mut self, envelope: Envelope) {
        let frozen = match &envelope.message {
            Message::Command(_, _, at, _) => self.instances[*at].frozen,
            Message::Statement(statement) => self.instances[statement.instance].frozen,
            _ => false,
        };
        if frozen {
            // A frozen process responds once it continues.
            self.in_flight.push(envelope);
            return;
        }
        match envelope.message {
            Message::Command(proxy, id, at, command) => self.run_command(proxy, id, at, &command),
            Message::Response(proxy, query, result) => self.respond(proxy, query, result),
            Message::StoreRequest(proxy, query, request) => self.query_store(proxy, query, request),
            Message::StoreReply(proxy, query, reply) => self.store_replied(proxy, query, reply),
            Message::Report(at, report) => self.report_received(at, report),
            Message::Statement(statement) => self.execute(statement),
            Message::Executed(executed) => self.executed(executed),
        }
    }

    fn run_command(&mut self, proxy: ProxyProcess, query: QueryId, at: usize, command: &Command) {
        let now = self.now;
        let home = self.proxies[proxy.0].site;
        if !self.instances[at].up {
            return self.send(
                at,
                home,
                Message::Response(proxy, query, Err(Failure::Refused)),
            );
        }
        let result = self.instances[at].handle(now, command);
        self.send(at, home, Message::Response(proxy, query, result));
    }

    fn query_store(&mut self, proxy: ProxyProcess, query: QueryId, request: StoreRequest) {
        let home = self.proxies[proxy.0].site;
        if let Some(reply) = self.store.handle(request, &mut self.rng) {
            self.send(STORE_SITE, home, Message::StoreReply(proxy, query, reply));
        }
    }

    fn replicate(&mut self) {
        for at in 0..SITES {
            let Some(primary) = self.instances[at].follows else {
                continue;
            };
            let both = [at, primary]
                .iter()
                .all(|i| self.instances[*i].is_running());
            let limit = self.rng.random_range(0..=self.replication_limit) as usize;
            let isolated = |at| self.faults.contains(&Fault::IsolateInstance(at));
            if both && self.connected(at, primary) && !isolated(at) && !isolated(primary) {
                let source = self.instances[primary].clone();
                self.instances[at].replicate_from(self.now, &source, limit);
            }
            self.instances[at].apply(self.rng.random_range(0..=self.replication_limit) as usize);
        }
    }
}
