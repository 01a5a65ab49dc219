//! The task that borrows for this proxy and lends to the others.

use std::time::{Duration, Instant};

use futures_util::future::{self, Either};
use indexmap::IndexMap;
use model::id::{DataCentre, InstanceId, ProxyId};
use model::settings::Settings;
use model::unit::{Span, Time};
use peer::server::Call;
use policy::admission::Limits;
use policy::share::{self, Borrower, Demand, Lender, Terms};
use policy::slots::Share;

use super::{Answers, Asks, Live, PATH, Request, Setup, authority};
use crate::pool;

/// Time between two looks at the pools. Short against a loan, so that one that lapses
/// is noticed well within its margin.
const TICK: Duration = Duration::from_millis(100);

/// Time for which a peak of use keeps connections warm. Load: bursts every few
/// seconds; harm: each opens connections of 10 to 30 ms that were closed just before.
const WARM: Span = Span::from_millis(10_000);

/// Assumed time on the way to a backend server and back.
const ROUND_TRIP: Span = Span::from_millis(1);

/// Everything about one backend server.
struct Server {
    data_centre: DataCentre,
    borrower: Borrower,
    lender: Lender,
    settings: Settings,
    pool: Option<pool::Handle>,
    asked: Option<Time>,
    /// What pool and admission were last told: connections allowed and shared.
    told: Option<(u32, u32)>,
    peak: u32,
    peak_at: Time,
}

/// A hold of the key of one data centre.
struct Hold {
    number: u64,
    _stop: flume::Sender<()>,
}

struct Task {
    setup: Setup,
    started: Instant,
    servers: IndexMap<InstanceId, Server>,
    pools: IndexMap<InstanceId, pool::Handle>,
    live: IndexMap<ProxyId, Live>,
    /// Keys that this proxy holds or tries to take; dropping the sender ends the hold.
    holds: IndexMap<DataCentre, Hold>,
    next_hold: u64,
    leaving: bool,
    tx: flume::WeakSender<Request>,
}

/// Serves until every handle is gone.
pub(super) async fn run(
    setup: Setup,
    tx: flume::WeakSender<Request>,
    rx: flume::Receiver<Request>,
    calls: flume::Receiver<Call<Asks, Answers>>,
) {
    let mut task = Task {
        setup,
        started: Instant::now(),
        servers: IndexMap::new(),
        pools: IndexMap::new(),
        live: IndexMap::new(),
        holds: IndexMap::new(),
        next_hold: 0,
        leaving: false,
        tx,
    };
    let mut next = Instant::now();
    loop {
        if Instant::now() >= next {
            next = Instant::now() + TICK;
            task.tick().await;
        }
        let request = future::select(rx.recv_async(), calls.recv_async());
        match compio::time::timeout_at(next, request).await {
            Ok(Either::Left((Ok(req), _))) => task.handle(req),
            Ok(Either::Right((Ok(call), _))) => task.answer(&call),
            Ok(_) => return,
            Err(_) => {}
        }
    }
}

impl Task {
    fn now(&self) -> Time {
        Time::default() + Span::from(self.started.elapsed())
    }

    fn handle(&mut self, req: Request) {
        match req {
            Request::Pool(instance, pool) => {
                if let Some(server) = self.servers.get_mut(&instance) {
                    server.pool = Some(pool.clone());
                    server.told = None;
                }
                self.pools.insert(instance, pool);
            }
            Request::Peers(live) => self.live = live,
            Request::Authority {
                data_centre,
                hold,
                until,
            } => self.authorise(&data_centre, hold, until),
            Request::Answered(from, answers) => self.take(&from, &answers),
            Request::Leave => self.leaving = true,
            Request::Shares(tx) => {
                let now = self.now();
                let servers = self.servers.iter();
                let shares = servers.map(|(id, s)| (id.clone(), s.borrower.allowed(now)));
                let _ = tx.send(shares.collect());
            }
        }
    }

    /// Answers a peer's requests at once, which keeps the loans' clocks honest.
    fn answer(&mut self, call: &Call<Asks, Answers>) {
        let answers = self.lend(&call.req);
        let _ = call.reply.send(answers);
    }

    fn lend(&mut self, asks: &Asks) -> Answers {
        let now = self.now();
        let answer = |ask: &share::LoanRequest| {
            let server = self.servers.get_mut(&ask.instance)?;
            server.lender.respond(ask, now)
        };
        asks.iter().filter_map(answer).collect()
    }

    fn take(&mut self, from: &ProxyId, answers: &Answers) {
        for answer in answers {
            if let Some(server) = self.servers.get_mut(&answer.instance) {
                server.borrower.response_received(from, answer);
            }
        }
        self.apply();
    }

    async fn tick(&mut self) {
        if self.live.is_empty() {
            return;
        }
        self.follow_fleet();
        self.follow_lenders();
        let mut batches: IndexMap<ProxyId, Asks> = IndexMap::new();
        let instances: Vec<InstanceId> = self.servers.keys().cloned().collect();
        let loads = self.setup.admit.loads().await;
        for instance in instances {
            let queued = loads.get(&instance).map_or(0, |load| load.queued);
            if let Some((lender, ask)) = self.ask(&instance, queued).await {
                batches.entry(lender).or_default().push(ask);
            }
        }
        for (lender, asks) in batches {
            self.send(lender, asks);
        }
        self.apply();
    }

    /// Starts with what the configuration names and forgets what it names no more.
    fn follow_fleet(&mut self) {
        let snapshot = self.setup.fleet.current();
        let fleet = &snapshot.fleet;
        let mut named = IndexMap::new();
        for (group, spec) in &fleet.groups {
            let settings = fleet.settings(group);
            for (instance, spec) in &spec.instances {
                let place = spec.data_centre.clone();
                named.insert(instance.clone(), (place, settings.clone()));
            }
        }
        self.servers.retain(|id, _| named.contains_key(id));
        for (instance, (data_centre, settings)) in named {
            self.follow_server(instance, data_centre, settings);
        }
    }

    /// The proxy that should lend what stands in a data centre: one of that data
    /// centre, or any while it has none. Proxies may disagree; the key in the store
    /// settles who lends.
    fn lender(&self, data_centre: &DataCentre) -> Option<&ProxyId> {
        let near = |(_, live): &(&ProxyId, &Live)| live.data_centre == *data_centre;
        let locals = self.live.iter().filter(near).map(|(id, _)| id);
        let chosen = share::choose_lender(data_centre.as_str(), locals);
        chosen.or_else(|| share::choose_lender(data_centre.as_str(), self.live.keys()))
    }

    /// Takes the keys that this proxy should hold and gives the others back.
    fn follow_lenders(&mut self) {
        let mut mine: Vec<DataCentre> = Vec::new();
        for server in self.servers.values() {
            let place = &server.data_centre;
            let chosen = self.lender(place) == Some(&self.setup.me);
            if chosen && !self.leaving && !mine.contains(place) {
                mine.push(place.clone());
            }
        }
        for server in self.servers.values_mut() {
            // Before the key goes: from then on another proxy may lend.
            if !mine.contains(&server.data_centre) {
                server.lender.resign();
            }
        }
        self.holds.retain(|place, _| mine.contains(place));
        for place in mine {
            if !self.holds.contains_key(&place) {
                self.hold(place);
            }
        }
    }

    fn hold(&mut self, data_centre: DataCentre) {
        let (stop, stopped) = flume::bounded(1);
        self.next_hold += 1;
        let setup = authority::Setup {
            store: self.setup.store.clone(),
            me: self.setup.me.clone(),
            data_centre: data_centre.clone(),
            hold: self.next_hold,
            tx: self.tx.clone(),
        };
        compio::runtime::spawn(authority::hold(setup, stopped)).detach();
        let hold = Hold {
            number: self.next_hold,
            _stop: stop,
        };
        self.holds.insert(data_centre, hold);
    }

    /// Failure: a renewal is reported after this proxy gave the key back; another one
    /// may hold it by now, so that reports of an ended hold are void.
    fn authorise(&mut self, data_centre: &DataCentre, hold: u64, until: Instant) {
        if self.holds.get(data_centre).is_none_or(|h| h.number != hold) {
            return;
        }
        let now = self.now();
        let until = Time::default() + Span::from(until.saturating_duration_since(self.started));
        let servers = self.servers.values_mut();
        for server in servers.filter(|s| s.data_centre == *data_centre) {
            server.lender.authorise(until, now);
        }
    }

    fn follow_server(&mut self, instance: InstanceId, data_centre: DataCentre, settings: Settings) {
        let now = self.now();
        let terms = terms(&settings);
        if let Some(server) = self.servers.get_mut(&instance) {
            if server.settings != settings {
                server.borrower.set_terms(terms);
                server.lender.set_terms(terms);
                server.settings = settings;
                server.told = None;
            }
            return;
        }
        let me = self.setup.me.clone();
        let server = Server {
            data_centre,
            borrower: Borrower::new(instance.clone(), me, terms, now),
            lender: Lender::new(instance.clone(), terms),
            settings,
            pool: self.pools.get(&instance).cloned(),
            asked: None,
            told: None,
            peak: 0,
            peak_at: now,
        };
        self.servers.insert(instance, server);
    }

    /// The next request about a backend server, when one is due.
    async fn ask(
        &mut self,
        instance: &InstanceId,
        queued: u32,
    ) -> Option<(ProxyId, share::LoanRequest)> {
        let now = self.now();
        let place = self.servers.get(instance)?.data_centre.clone();
        let lender = self.lender(&place)?.clone();
        let leaving = self.leaving;
        let server = self.servers.get_mut(instance)?;
        let mut usage = match &server.pool {
            Some(pool) => pool.usage().await,
            None => pool::Usage::default(),
        };
        // What waits for a slot counts as well: the part of the slots follows the
        // part of the connections, and a proxy with a queue needs more of them.
        usage.waiting += queued.min(server.settings.connections);
        // Requests that wait for a connection are worth an early question.
        let interval = match usage.waiting {
            0 => terms(&server.settings).interval(),
            _ => Span::from(TICK),
        };
        if server.asked.is_some_and(|at| now.since(at) < interval) {
            return None;
        }
        let demand = server.demand(usage, leaving, now);
        server.asked = Some(now);
        let ask = server.borrower.request(&lender, demand, now);
        Some((lender, ask))
    }

    fn send(&mut self, lender: ProxyId, asks: Asks) {
        if lender == self.setup.me {
            let answers = self.lend(&asks);
            self.take(&lender, &answers);
            return;
        }
        let Some(address) = self.live.get(&lender).map(|live| live.address) else {
            return;
        };
        let (client, tx) = (self.setup.client.clone(), self.tx.clone());
        // A later answer than this belongs to a request that was replaced.
        let settings = self.servers.values().next().map(|s| terms(&s.settings));
        let limit = settings.map_or(TICK, |t| t.interval().as_duration());
        let exchange = async move {
            match client.call(address, PATH, &asks, limit, None).await {
                Ok(answers) => {
                    if let Some(tx) = tx.upgrade() {
                        let _ = tx.send(Request::Answered(lender, answers));
                    }
                }
                Err(e) => tracing::debug!(%lender, error = %e, "lender does not answer"),
            }
        };
        compio::runtime::spawn(exchange).detach();
    }

    /// Tells pools and admission what they may use.
    ///
    /// Failure: a loan lapses while the lender is out of reach; the pool must shrink
    /// although no message says so, which is why every tick looks.
    fn apply(&mut self) {
        let now = self.now();
        for (instance, server) in &mut self.servers {
            let allowed = server.borrower.allowed(now);
            let shared = server.borrower.shared(now);
            if server.told == Some((allowed, shared)) {
                continue;
            }
            tracing::debug!(%instance, allowed, shared, "connection share");
            server.told = Some((allowed, shared));
            if let Some(pool) = &server.pool {
                pool.set_limit(allowed);
            }
            let limits = limits(&server.settings, allowed, shared);
            self.setup.admit.set_limits(instance, limits);
        }
    }
}

impl Server {
    /// What to ask for: the peak of late while nobody else is short, and what is
    /// used at the moment otherwise.
    fn demand(&mut self, usage: pool::Usage, leaving: bool, now: Time) -> Demand {
        let used = usage.busy + usage.waiting;
        if used >= self.peak || now.since(self.peak_at) >= WARM {
            self.peak = used;
            self.peak_at = now;
        }
        let want = match (leaving, self.borrower.oversubscribed()) {
            (true, _) => usage.busy,
            (false, true) => used + 1,
            (false, false) => self.peak + 1,
        };
        Demand {
            want,
            open: usage.open,
            busy: usage.busy,
            active: self.peak > 0 && !leaving,
        }
    }
}

fn terms(settings: &Settings) -> Terms {
    Terms {
        connections: settings.connections,
        proxies: settings.proxies,
        loan: settings.loan,
    }
}

fn limits(settings: &Settings, held: u32, shared: u32) -> Limits {
    Limits {
        share: Share {
            slots: settings.slots,
            total_connections: shared,
            connections: held,
            round_trip: ROUND_TRIP,
        },
        queue: settings.queue,
    }
}
