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

use super::{Live, PATH, Request, Requests, Responses, Setup, authority};
use crate::pool;

/// Interval between two checks of the pools; short against the term of a loan, so that a
/// lapse is noticed within its margin.
const TICK: Duration = Duration::from_millis(100);

/// Time for which connections are kept after a peak. With bursts every few seconds, each
/// would otherwise reopen connections that were just closed, at 10 to 30 ms each.
const PEAK_KEPT: Span = Span::from_millis(10_000);

/// Assumed round trip to a backend server.
const ROUND_TRIP: Span = Span::from_millis(1);

/// The state of one backend server.
struct Server {
    data_centre: DataCentre,
    borrower: Borrower,
    lender: Lender,
    settings: Settings,
    pool: Option<pool::Handle>,
    requested_at: Option<Time>,
    /// Limits last set on pool and admission: connections allowed and shared.
    applied: Option<(u32, u32)>,
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
    calls: flume::Receiver<Call<Requests, Responses>>,
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
            Ok(Either::Right((Ok(call), _))) => task.respond(&call),
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
                    server.applied = None;
                }
                self.pools.insert(instance, pool);
            }
            Request::Peers(live) => self.live = live,
            Request::Authority {
                data_centre,
                hold,
                until,
            } => self.authorise(&data_centre, hold, until),
            Request::Responded(from, responses) => self.responses_received(&from, &responses),
            Request::Leave => self.leaving = true,
            Request::Shares(tx) => {
                let now = self.now();
                let servers = self.servers.iter();
                let shares = servers.map(|(id, s)| (id.clone(), s.borrower.allowed(now)));
                let _ = tx.send(shares.collect());
            }
        }
    }

    /// Responds to a peer's requests at once, since the terms of loans begin now.
    fn respond(&mut self, call: &Call<Requests, Responses>) {
        let responses = self.lend(&call.req);
        let _ = call.reply.send(responses);
    }

    fn lend(&mut self, requests: &Requests) -> Responses {
        let now = self.now();
        let respond = |req: &share::LoanRequest| {
            let server = self.servers.get_mut(&req.instance)?;
            server.lender.respond(req, now)
        };
        requests.iter().filter_map(respond).collect()
    }

    fn responses_received(&mut self, from: &ProxyId, responses: &Responses) {
        for response in responses {
            if let Some(server) = self.servers.get_mut(&response.instance) {
                server.borrower.response_received(from, response);
            }
        }
        self.apply();
    }

    async fn tick(&mut self) {
        if self.live.is_empty() {
            return;
        }
        self.sync_servers();
        self.sync_holds();
        let mut batches: IndexMap<ProxyId, Requests> = IndexMap::new();
        let instances: Vec<InstanceId> = self.servers.keys().cloned().collect();
        let loads = self.setup.admit.loads().await;
        for instance in instances {
            let queued = loads.get(&instance).map_or(0, |load| load.queued);
            if let Some((lender, req)) = self.next_request(&instance, queued).await {
                batches.entry(lender).or_default().push(req);
            }
        }
        for (lender, requests) in batches {
            self.send(lender, requests);
        }
        self.apply();
    }

    /// Adds and removes backend servers by the configuration in force.
    fn sync_servers(&mut self) {
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
            self.sync_server(instance, data_centre, settings);
        }
    }

    /// The proxy that should lend the connections of a data centre: one of its own proxies,
    /// or any other one if it has none. Proxies may disagree; the key in the store decides.
    fn lender(&self, data_centre: &DataCentre) -> Option<&ProxyId> {
        let near = |(_, live): &(&ProxyId, &Live)| live.data_centre == *data_centre;
        let locals = self.live.iter().filter(near).map(|(id, _)| id);
        let chosen = share::choose_lender(data_centre.as_str(), locals);
        chosen.or_else(|| share::choose_lender(data_centre.as_str(), self.live.keys()))
    }

    /// Acquires the keys that this proxy should hold and releases the others.
    fn sync_holds(&mut self) {
        let mut mine: Vec<DataCentre> = Vec::new();
        for server in self.servers.values() {
            let place = &server.data_centre;
            let chosen = self.lender(place) == Some(&self.setup.me);
            if chosen && !self.leaving && !mine.contains(place) {
                mine.push(place.clone());
            }
        }
        for server in self.servers.values_mut() {
            // Before the key is released, since another proxy may lend from then on.
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

    /// Ignores a renewal that is reported after the hold ended: another proxy may hold the
    /// key by now.
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

    fn sync_server(&mut self, instance: InstanceId, data_centre: DataCentre, settings: Settings) {
        let now = self.now();
        let terms = terms(&settings);
        if let Some(server) = self.servers.get_mut(&instance) {
            if server.settings != settings {
                server.borrower.set_terms(terms);
                server.lender.set_terms(terms);
                server.settings = settings;
                server.applied = None;
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
            requested_at: None,
            applied: None,
            peak: 0,
            peak_at: now,
        };
        self.servers.insert(instance, server);
    }

    /// The next request for a backend server, if one is due.
    async fn next_request(
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
        // Requests that wait for a slot count as well, since the share of the slots follows
        // the share of the connections.
        usage.waiting += queued.min(server.settings.connections);
        // Waiting requests shorten the interval.
        let interval = match usage.waiting {
            0 => terms(&server.settings).interval(),
            _ => Span::from(TICK),
        };
        if server
            .requested_at
            .is_some_and(|at| now.since(at) < interval)
        {
            return None;
        }
        let demand = server.demand(usage, leaving, now);
        server.requested_at = Some(now);
        let req = server.borrower.request(&lender, demand, now);
        Some((lender, req))
    }

    fn send(&mut self, lender: ProxyId, requests: Requests) {
        if lender == self.setup.me {
            let responses = self.lend(&requests);
            self.responses_received(&lender, &responses);
            return;
        }
        let Some(address) = self.live.get(&lender).map(|live| live.address) else {
            return;
        };
        let (client, tx) = (self.setup.client.clone(), self.tx.clone());
        // A later response belongs to a request that was replaced.
        let settings = self.servers.values().next().map(|s| terms(&s.settings));
        let limit = settings.map_or(TICK, |t| t.interval().as_duration());
        let exchange = async move {
            match client.call(address, PATH, &requests, limit, None).await {
                Ok(responses) => {
                    if let Some(tx) = tx.upgrade() {
                        let _ = tx.send(Request::Responded(lender, responses));
                    }
                }
                Err(e) => tracing::debug!(%lender, error = %e, "lender does not answer"),
            }
        };
        compio::runtime::spawn(exchange).detach();
    }

    /// Sets the limits of pools and admission.
    ///
    /// Called on every tick, since a loan may lapse without a message while the lender is
    /// unreachable.
    fn apply(&mut self) {
        let now = self.now();
        for (instance, server) in &mut self.servers {
            let allowed = server.borrower.allowed(now);
            let shared = server.borrower.shared(now);
            if server.applied == Some((allowed, shared)) {
                continue;
            }
            tracing::debug!(%instance, allowed, shared, "connection share");
            server.applied = Some((allowed, shared));
            if let Some(pool) = &server.pool {
                pool.set_limit(allowed);
            }
            let limits = limits(&server.settings, allowed, shared);
            self.setup.admit.set_limits(instance, limits);
        }
    }
}

impl Server {
    /// The demand to report: the recent peak, or the current use while other proxies lack
    /// connections.
    fn demand(&mut self, usage: pool::Usage, leaving: bool, now: Time) -> Demand {
        let used = usage.busy + usage.waiting;
        if used >= self.peak || now.since(self.peak_at) >= PEAK_KEPT {
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
