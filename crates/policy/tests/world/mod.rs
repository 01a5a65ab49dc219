//! Simulated proxies with separate clocks, and the messages between them.

use model::id::{InstanceId, ProxyId};
use model::unit::{Span, Time};
use policy::share::{
    Borrower, Demand, LEASE_MARGIN_DIVISOR, Lender, LoanRequest, LoanResponse, Terms,
};

/// Number of proxies.
pub(crate) const PROXIES: usize = 7;

const TERMS: Terms = Terms {
    connections: 20,
    proxies: 7,
    loan: Span::from_millis(3_000),
};

/// Duration of the lender's lease in the store, in milliseconds.
const LEASE: u64 = 2_000;

/// Longest pause in milliseconds that a loan's margin covers, less the clock drift.
const COVERED_PAUSE: u64 = 200;

#[derive(Clone, Debug)]
enum Body {
    Request(LoanRequest),
    Response(LoanResponse),
}

#[derive(Clone, Debug)]
struct Message {
    from: ProxyId,
    to: ProxyId,
    body: Body,
}

/// A renewal in transit to the store, or the response in transit back.
#[derive(Clone, Debug)]
struct Renewal {
    from: ProxyId,
    sent: Time,
}

/// The lender in the store's key, and when its lease expires.
struct Holder {
    lender: ProxyId,
    until: u64,
}

struct Proxy {
    id: ProxyId,
    offset: u64,
    /// How much faster its clock runs, in parts per thousand.
    fast: u64,
    borrower: Borrower,
    lender: Lender,
    lender_index: usize,
    want: u32,
    busy: Option<u32>,
    open: u32,
    paused: Option<u64>,
}

impl Proxy {
    fn new(index: usize, incarnation: u64, real_ms: u64) -> Self {
        let id: ProxyId = format!("p{index}-{incarnation}").parse().unwrap();
        let offset = (index as u64 * 7_919 + incarnation * 104_729) % 60_000;
        let fast = index as u64;
        let now = local(offset, fast, real_ms);
        Self {
            borrower: Borrower::new(instance(), id.clone(), TERMS, now),
            lender: Lender::new(instance(), TERMS),
            id,
            offset,
            fast,
            lender_index: 0,
            want: 0,
            busy: None,
            open: 0,
            paused: None,
        }
    }

    fn now(&self, real_ms: u64) -> Time {
        local(self.offset, self.fast, real_ms)
    }

    /// Opens and closes connections, as the proxy does at once when its allowance changes.
    fn settle(&mut self, real_ms: u64) {
        if self.paused.is_none() {
            let allowed = self.borrower.allowed(self.now(real_ms));
            assert!(allowed >= TERMS.floor());
            self.open = self.want.min(allowed);
        }
    }
}

fn instance() -> InstanceId {
    "db-1".parse().unwrap()
}

fn local(offset: u64, fast: u64, real_ms: u64) -> Time {
    Time::from_micros(offset * 1_000 + real_ms * (1_000 + fast))
}

/// The proxies and the messages in transit.
pub(crate) struct World {
    real_ms: u64,
    incarnations: u64,
    proxies: Vec<Proxy>,
    messages: Vec<Message>,
    delayed: Vec<Message>,
    holder: Option<Holder>,
    renewals: Vec<Renewal>,
    renewed: Vec<Renewal>,
    store_down: bool,
    /// Proxies whose bits differ cannot reach each other.
    sides: u16,
}

impl World {
    /// All proxies agree on a lender, and its term has settled.
    pub(crate) fn settled() -> Self {
        let mut world = Self {
            real_ms: 0,
            incarnations: 0,
            proxies: (0..PROXIES).map(|index| Proxy::new(index, 0, 0)).collect(),
            messages: Vec::new(),
            delayed: Vec::new(),
            holder: None,
            renewals: Vec::new(),
            renewed: Vec::new(),
            store_down: false,
            sides: 0,
        };
        world.rounds(14);
        world
    }

    pub(crate) fn terms(&self) -> Terms {
        TERMS
    }

    pub(crate) fn allowed(&self, proxy: usize) -> u32 {
        let p = &self.proxies[proxy];
        p.borrower.allowed(p.now(self.real_ms))
    }

    /// A proxy that considers itself the lender renews its lease or requests the key.
    pub(crate) fn renew(&mut self, proxy: usize) {
        let p = &self.proxies[proxy];
        if p.paused.is_none() && p.lender_index == proxy {
            let (from, sent) = (p.id.clone(), p.now(self.real_ms));
            self.renewals.push(Renewal { from, sent });
        }
    }

    /// The store receives one renewal.
    pub(crate) fn store_receives(&mut self, index: usize) {
        if self.renewals.is_empty() {
            return;
        }
        let renewal = self.renewals.remove(index % self.renewals.len());
        let real_ms = self.real_ms;
        let held_by_other = |h: &Holder| h.lender != renewal.from && real_ms < h.until;
        if self.store_down || self.holder.as_ref().is_some_and(held_by_other) {
            return;
        }
        self.holder = Some(Holder {
            lender: renewal.from.clone(),
            until: real_ms + LEASE,
        });
        self.renewed.push(renewal);
    }

    /// A proxy receives the confirmation of its renewal.
    pub(crate) fn confirm(&mut self, index: usize) {
        if self.renewed.is_empty() {
            return;
        }
        let renewal = self.renewed.remove(index % self.renewed.len());
        let real_ms = self.real_ms;
        let proxies = self.proxies.iter_mut();
        for p in proxies.filter(|p| p.id == renewal.from && p.paused.is_none()) {
            let usable = Span::from_millis(LEASE - LEASE / LEASE_MARGIN_DIVISOR);
            p.lender.authorise(renewal.sent + usable, p.now(real_ms));
        }
    }

    pub(crate) fn set_store_down(&mut self, down: bool) {
        self.store_down = down;
    }

    pub(crate) fn renew_all(&mut self) {
        (0..PROXIES).for_each(|p| self.renew(p));
        while !self.renewals.is_empty() {
            self.store_receives(0);
        }
        while !self.renewed.is_empty() {
            self.confirm(0);
        }
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        self.real_ms += ms;
        let real_ms = self.real_ms;
        self.proxies.iter_mut().for_each(|p| p.settle(real_ms));
    }

    pub(crate) fn request(&mut self, proxy: usize) {
        let real_ms = self.real_ms;
        let lender = self.proxies[self.proxies[proxy].lender_index].id.clone();
        let p = &mut self.proxies[proxy];
        if p.paused.is_some() {
            return;
        }
        p.settle(real_ms);
        let demand = Demand {
            want: p.want,
            open: p.open,
            active: p.open > 0,
            busy: p.busy.unwrap_or(p.open).min(p.open),
        };
        let request = p.borrower.request(&lender, demand, p.now(real_ms));
        p.settle(real_ms);
        let from = p.id.clone();
        self.messages.push(Message {
            from,
            to: lender,
            body: Body::Request(request),
        });
    }

    pub(crate) fn deliver(&mut self, index: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(index % self.messages.len());
        self.receive(message);
    }

    fn receive(&mut self, message: Message) {
        let real_ms = self.real_ms;
        let index_of = |id: &ProxyId| self.proxies.iter().position(|p| p.id == *id);
        let (Some(from), Some(to)) = (index_of(&message.from), index_of(&message.to)) else {
            return;
        };
        let partitioned = (self.sides >> from ^ self.sides >> to) & 1 == 1;
        let p = &mut self.proxies[to];
        if partitioned || p.paused.is_some() {
            return;
        }
        match message.body {
            Body::Request(request) => {
                let response = p.lender.respond(&request, p.now(real_ms));
                self.messages.extend(response.map(|response| Message {
                    from: message.to,
                    to: message.from,
                    body: Body::Response(response),
                }));
            }
            Body::Response(response) => {
                p.borrower.response_received(&message.from, &response);
                p.settle(real_ms);
            }
        }
    }

    pub(crate) fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            self.deliver(0);
        }
    }

    pub(crate) fn duplicate(&mut self, index: usize) {
        if !self.messages.is_empty() {
            let copy = self.messages[index % self.messages.len()].clone();
            self.messages.push(copy);
        }
    }

    pub(crate) fn lose(&mut self, index: usize) {
        if !self.messages.is_empty() {
            self.messages.remove(index % self.messages.len());
        }
    }

    /// Delays all messages in transit until [`World::deliver_delayed`].
    pub(crate) fn delay_all(&mut self) {
        self.delayed.append(&mut self.messages);
    }

    pub(crate) fn deliver_delayed(&mut self) {
        self.messages.append(&mut self.delayed);
        self.deliver_all();
        let real_ms = self.real_ms;
        self.proxies.iter_mut().for_each(|p| p.settle(real_ms));
    }

    /// Every proxy sends a request; all new messages arrive, the older ones stay in transit.
    pub(crate) fn round(&mut self) {
        let postponed = std::mem::take(&mut self.messages);
        self.renew_all();
        (0..PROXIES).for_each(|p| self.request(p));
        self.deliver_all();
        self.messages = postponed;
    }

    /// A round in which one confirmation of the store remains in transit.
    pub(crate) fn round_without_confirmation(&mut self, index: usize) {
        let postponed = self.renewed.remove(index);
        self.round();
        self.renewed.insert(index, postponed);
    }

    /// Every proxy sends a request; the messages whose bits are set in `delayed_bits` remain in
    /// transit.
    pub(crate) fn round_with_delays(&mut self, delayed_bits: u64) {
        let earlier = std::mem::take(&mut self.messages);
        (0..PROXIES).for_each(|p| self.request(p));
        let mut delayed = Vec::new();
        let mut sent = 0;
        while !self.messages.is_empty() {
            let message = self.messages.remove(0);
            if (delayed_bits >> (sent % u64::BITS)) & 1 == 1 {
                delayed.push(message);
            } else {
                self.receive(message);
            }
            sent += 1;
        }
        self.messages = earlier;
        self.messages.extend(delayed);
    }

    /// Proxies disagree about the lender without a partition.
    pub(crate) fn disagree(&mut self, sides: u16, a: usize, b: usize) {
        for proxy in 0..PROXIES {
            let lender = if (sides >> proxy) & 1 == 1 { a } else { b };
            self.set_lender(proxy, lender);
        }
    }

    /// Rounds at the interval of borrowers' requests.
    pub(crate) fn rounds(&mut self, n: usize) {
        for _ in 0..n {
            self.advance(TERMS.interval().as_millis());
            self.round();
            self.check();
        }
    }

    pub(crate) fn set_lender(&mut self, proxy: usize, lender: usize) {
        self.proxies[proxy].lender_index = lender;
    }

    pub(crate) fn partition(&mut self, sides: u16) {
        self.sides = sides;
    }

    pub(crate) fn restart(&mut self, proxy: usize) {
        self.incarnations += 1;
        let lender_index = self.proxies[proxy].lender_index;
        let want = self.proxies[proxy].want;
        let mut restarted = Proxy::new(proxy, self.incarnations, self.real_ms);
        restarted.lender_index = lender_index;
        restarted.want = want;
        self.proxies[proxy] = restarted;
    }

    pub(crate) fn pause(&mut self, proxy: usize) {
        let real_ms = self.real_ms;
        self.proxies[proxy].paused.get_or_insert(real_ms);
    }

    pub(crate) fn resume(&mut self, proxy: usize) {
        let real_ms = self.real_ms;
        let p = &mut self.proxies[proxy];
        p.paused = None;
        p.settle(real_ms);
    }

    pub(crate) fn want(&mut self, proxy: usize, n: u32) {
        let real_ms = self.real_ms;
        self.proxies[proxy].want = n;
        self.proxies[proxy].settle(real_ms);
    }

    pub(crate) fn set_busy(&mut self, proxy: usize, n: u32) {
        self.proxies[proxy].busy = Some(n);
    }

    /// The oracle: never are more connections open than the server accepts.
    ///
    /// A process that is paused for longer than the margin cannot close connections. It does
    /// so first when it resumes, which `resume` checks.
    pub(crate) fn check(&self) {
        let counted = |p: &&Proxy| p.paused.is_none_or(|at| self.real_ms - at <= COVERED_PAUSE);
        let open: Vec<u32> = self
            .proxies
            .iter()
            .filter(counted)
            .map(|p| p.open)
            .collect();
        let total: u32 = open.iter().sum();
        assert!(total <= TERMS.connections, "{total} open: {open:?}");
    }
}
