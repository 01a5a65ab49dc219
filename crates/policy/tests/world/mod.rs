//! Proxies with clocks of their own, and the messages between them.

use model::id::{InstanceId, ProxyId};
use model::unit::{Span, Time};
use policy::share::{
    Borrower, Demand, LEASE_MARGIN_DIVISOR, Lender, LoanRequest, LoanResponse, Terms,
};

/// Proxies alive at once.
pub(crate) const PROXIES: usize = 7;

const TERMS: Terms = Terms {
    connections: 20,
    proxies: 7,
    loan: Span::from_millis(3_000),
};

/// Span of the lender's lease in the store, in milliseconds.
const LEASE: u64 = 2_000;

/// Longest pause that the margin of a loan covers, less the clocks' drift.
const COVERED_PAUSE: u64 = 200;

#[derive(Clone, Debug)]
enum Body {
    Ask(LoanRequest),
    Answer(LoanResponse),
}

#[derive(Clone, Debug)]
struct Message {
    from: ProxyId,
    to: ProxyId,
    body: Body,
}

/// A renewal under way to the store, or its answer under way back.
#[derive(Clone, Debug)]
struct Renewal {
    from: ProxyId,
    sent: Time,
}

/// The key that names the lender, and until when its lease lasts.
struct Holder {
    lender: ProxyId,
    until: u64,
}

struct Proxy {
    id: ProxyId,
    offset: u64,
    /// Parts per thousand by which its clock runs fast.
    fast: u64,
    borrower: Borrower,
    lender: Lender,
    named: usize,
    want: u32,
    busy: Option<u32>,
    open: u32,
    paused: Option<u64>,
}

impl Proxy {
    fn new(at: usize, incarnation: u64, real: u64) -> Self {
        let id: ProxyId = format!("p{at}-{incarnation}").parse().unwrap();
        let offset = (at as u64 * 7_919 + incarnation * 104_729) % 60_000;
        let fast = at as u64;
        let now = local(offset, fast, real);
        Self {
            borrower: Borrower::new(instance(), id.clone(), TERMS, now),
            lender: Lender::new(instance(), TERMS),
            id,
            offset,
            fast,
            named: 0,
            want: 0,
            busy: None,
            open: 0,
            paused: None,
        }
    }

    fn now(&self, real: u64) -> Time {
        local(self.offset, self.fast, real)
    }

    /// Opens and closes connections as the proxy would at once.
    fn settle(&mut self, real: u64) {
        if self.paused.is_none() {
            let allowed = self.borrower.allowed(self.now(real));
            assert!(allowed >= TERMS.floor());
            self.open = self.want.min(allowed);
        }
    }
}

fn instance() -> InstanceId {
    "db-1".parse().unwrap()
}

fn local(offset: u64, fast: u64, real: u64) -> Time {
    Time::from_micros(offset * 1_000 + real * (1_000 + fast))
}

/// The proxies and what is under way between them.
pub(crate) struct World {
    real: u64,
    incarnations: u64,
    proxies: Vec<Proxy>,
    messages: Vec<Message>,
    held: Vec<Message>,
    holder: Option<Holder>,
    renewals: Vec<Renewal>,
    renewed: Vec<Renewal>,
    store_down: bool,
    /// Proxies whose bit differs cannot reach each other.
    sides: u16,
}

impl World {
    /// All proxies agree on a lender that has settled.
    pub(crate) fn settled() -> Self {
        let mut world = Self {
            real: 0,
            incarnations: 0,
            proxies: (0..PROXIES).map(|at| Proxy::new(at, 0, 0)).collect(),
            messages: Vec::new(),
            held: Vec::new(),
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
        p.borrower.allowed(p.now(self.real))
    }

    /// A proxy that takes itself for the lender renews its lease, or asks for the key.
    pub(crate) fn renew(&mut self, proxy: usize) {
        let p = &self.proxies[proxy];
        if p.paused.is_none() && p.named == proxy {
            let (from, sent) = (p.id.clone(), p.now(self.real));
            self.renewals.push(Renewal { from, sent });
        }
    }

    /// The store hears one renewal.
    pub(crate) fn hear(&mut self, at: usize) {
        if self.renewals.is_empty() {
            return;
        }
        let renewal = self.renewals.remove(at % self.renewals.len());
        let real = self.real;
        let taken = |h: &Holder| h.lender != renewal.from && real < h.until;
        if self.store_down || self.holder.as_ref().is_some_and(taken) {
            return;
        }
        self.holder = Some(Holder {
            lender: renewal.from.clone(),
            until: real + LEASE,
        });
        self.renewed.push(renewal);
    }

    /// A proxy hears that its renewal took effect.
    pub(crate) fn confirm(&mut self, at: usize) {
        if self.renewed.is_empty() {
            return;
        }
        let renewal = self.renewed.remove(at % self.renewed.len());
        let real = self.real;
        let proxies = self.proxies.iter_mut();
        for p in proxies.filter(|p| p.id == renewal.from && p.paused.is_none()) {
            let usable = Span::from_millis(LEASE - LEASE / LEASE_MARGIN_DIVISOR);
            p.lender.authorise(renewal.sent + usable, p.now(real));
        }
    }

    pub(crate) fn store(&mut self, down: bool) {
        self.store_down = down;
    }

    pub(crate) fn renew_all(&mut self) {
        (0..PROXIES).for_each(|p| self.renew(p));
        while !self.renewals.is_empty() {
            self.hear(0);
        }
        while !self.renewed.is_empty() {
            self.confirm(0);
        }
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        self.real += ms;
        let real = self.real;
        self.proxies.iter_mut().for_each(|p| p.settle(real));
    }

    pub(crate) fn ask(&mut self, proxy: usize) {
        let real = self.real;
        let lender = self.proxies[self.proxies[proxy].named].id.clone();
        let p = &mut self.proxies[proxy];
        if p.paused.is_some() {
            return;
        }
        p.settle(real);
        let demand = Demand {
            want: p.want,
            open: p.open,
            active: p.open > 0,
            busy: p.busy.unwrap_or(p.open).min(p.open),
        };
        let ask = p.borrower.request(&lender, demand, p.now(real));
        p.settle(real);
        let from = p.id.clone();
        self.messages.push(Message {
            from,
            to: lender,
            body: Body::Ask(ask),
        });
    }

    pub(crate) fn deliver(&mut self, at: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(at % self.messages.len());
        self.receive(message);
    }

    fn receive(&mut self, message: Message) {
        let real = self.real;
        let at = |id: &ProxyId| self.proxies.iter().position(|p| p.id == *id);
        let (Some(from), Some(to)) = (at(&message.from), at(&message.to)) else {
            return;
        };
        let cut = (self.sides >> from ^ self.sides >> to) & 1 == 1;
        let p = &mut self.proxies[to];
        if cut || p.paused.is_some() {
            return;
        }
        match message.body {
            Body::Ask(ask) => {
                let answer = p.lender.respond(&ask, p.now(real));
                self.messages.extend(answer.map(|answer| Message {
                    from: message.to,
                    to: message.from,
                    body: Body::Answer(answer),
                }));
            }
            Body::Answer(answer) => {
                p.borrower.response_received(&message.from, &answer);
                p.settle(real);
            }
        }
    }

    pub(crate) fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            self.deliver(0);
        }
    }

    pub(crate) fn duplicate(&mut self, at: usize) {
        if !self.messages.is_empty() {
            let copy = self.messages[at % self.messages.len()].clone();
            self.messages.push(copy);
        }
    }

    pub(crate) fn lose(&mut self, at: usize) {
        if !self.messages.is_empty() {
            self.messages.remove(at % self.messages.len());
        }
    }

    /// Holds up everything that is under way until [`World::release`].
    pub(crate) fn hold(&mut self) {
        self.held.append(&mut self.messages);
    }

    pub(crate) fn release(&mut self) {
        self.messages.append(&mut self.held);
        self.deliver_all();
        let real = self.real;
        self.proxies.iter_mut().for_each(|p| p.settle(real));
    }

    /// Every proxy asks, and what is not under way yet arrives.
    pub(crate) fn round(&mut self) {
        let late = std::mem::take(&mut self.messages);
        self.renew_all();
        (0..PROXIES).for_each(|p| self.ask(p));
        self.deliver_all();
        self.messages = late;
    }

    /// A round in which the oldest answer of the store, kept back before, stays so.
    pub(crate) fn round_but_confirmations_of(&mut self, at: usize) {
        let late = self.renewed.remove(at);
        self.round();
        self.renewed.insert(at, late);
    }

    /// Every proxy asks; the messages whose bits are set in `late` stay under way.
    pub(crate) fn round_but(&mut self, late: u64) {
        let old = std::mem::take(&mut self.messages);
        (0..PROXIES).for_each(|p| self.ask(p));
        let mut held = Vec::new();
        let mut sent = 0;
        while !self.messages.is_empty() {
            let message = self.messages.remove(0);
            if (late >> (sent % u64::BITS)) & 1 == 1 {
                held.push(message);
            } else {
                self.receive(message);
            }
            sent += 1;
        }
        self.messages = old;
        self.messages.extend(held);
    }

    /// Proxies disagree about the lender without a cut between them.
    pub(crate) fn split(&mut self, sides: u16, a: usize, b: usize) {
        for proxy in 0..PROXIES {
            let lender = if (sides >> proxy) & 1 == 1 { a } else { b };
            self.name(proxy, lender);
        }
    }

    /// Rounds at the interval that borrowers keep.
    pub(crate) fn rounds(&mut self, n: usize) {
        for _ in 0..n {
            self.advance(TERMS.interval().as_millis());
            self.round();
            self.check();
        }
    }

    pub(crate) fn name(&mut self, proxy: usize, lender: usize) {
        self.proxies[proxy].named = lender;
    }

    pub(crate) fn partition(&mut self, sides: u16) {
        self.sides = sides;
    }

    pub(crate) fn restart(&mut self, proxy: usize) {
        self.incarnations += 1;
        let named = self.proxies[proxy].named;
        let want = self.proxies[proxy].want;
        let mut fresh = Proxy::new(proxy, self.incarnations, self.real);
        fresh.named = named;
        fresh.want = want;
        self.proxies[proxy] = fresh;
    }

    pub(crate) fn pause(&mut self, proxy: usize) {
        let real = self.real;
        self.proxies[proxy].paused.get_or_insert(real);
    }

    pub(crate) fn resume(&mut self, proxy: usize) {
        let real = self.real;
        let p = &mut self.proxies[proxy];
        p.paused = None;
        p.settle(real);
    }

    pub(crate) fn want(&mut self, proxy: usize, n: u32) {
        let real = self.real;
        self.proxies[proxy].want = n;
        self.proxies[proxy].settle(real);
    }

    pub(crate) fn set_busy(&mut self, proxy: usize, n: u32) {
        self.proxies[proxy].busy = Some(n);
    }

    /// The oracle: the server never sees more connections than it accepts.
    ///
    /// A process paused for longer than the margin cannot close anything; it does
    /// so first of all when it goes on, which `resume` checks.
    pub(crate) fn check(&self) {
        let counted = |p: &&Proxy| p.paused.is_none_or(|at| self.real - at <= COVERED_PAUSE);
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
