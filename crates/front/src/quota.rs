//! Admission of operations by the rate limits of customers: this proxy's permits, and the
//! parts of limits that it grants to others.

mod admission;
mod requests;
mod usage;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use model::customer::Customers;
use model::id::{CustomerId, ProxyId};
use model::position::Revision;
use model::unit::{Span, Time};
use policy::quota::{
    Action, Announcement, Answer, Authority, Budget, Granter, Holder, Parts, Permit,
    QuotaRejection, Silence, Terms,
};

pub use admission::Admission;
pub use usage::Usage;

use crate::clock;
use crate::relay;

/// Interval between two rounds of informing other granters of this proxy's announcement.
const INFORM_INTERVAL: Span = Span::from_millis(100);

/// Longest wait for an announcement that another proxy asks about; it is shorter than that
/// proxy waits for a response.
const KNOWS_TIMEOUT: Span = Span::from_millis(80);

/// Interval between two checks for it.
const KNOWS_INTERVAL: Span = Span::from_millis(10);

/// Longest time between two checks of a waiting operation.
const STEP_INTERVAL: Span = Span::from_millis(50);

/// Shortest time between two checks of a waiting operation.
const MIN_STEP: Span = Span::from_millis(1);

type Reply = flume::Sender<Result<Permit, QuotaRejection>>;

/// The limits of all customers on this proxy.
#[derive(Clone)]
pub struct Quotas(Rc<RefCell<State>>);

struct State {
    me: ProxyId,
    terms: Terms,
    relay: relay::Client,
    authority: Authority,
    addresses: IndexMap<ProxyId, (SocketAddr, Span)>,
    budgets: IndexMap<CustomerId, Budget>,
    holders: IndexMap<CustomerId, Holder<Reply>>,
    granters: IndexMap<CustomerId, Granter>,
    silence: Silence,
    rejected: IndexMap<CustomerId, u64>,
}

/// Which of the waiting operations gets the next permit.
#[derive(Clone, Copy, Debug)]
enum Turn {
    /// This one, which holds a connection.
    First,
    /// Those that wait already.
    Last,
}

impl Quotas {
    /// Knows no customers.
    pub fn new(me: ProxyId, terms: Terms, relay: relay::Client) -> Self {
        Self(Rc::new(RefCell::new(State {
            authority: Authority::new(me.clone()),
            me,
            terms,
            relay,
            addresses: IndexMap::new(),
            budgets: IndexMap::new(),
            holders: IndexMap::new(),
            granters: IndexMap::new(),
            silence: Silence::default(),
            rejected: IndexMap::new(),
        })))
    }

    /// Sets the customers in force.
    pub fn set_customers(&self, customers: Option<&Customers>) {
        let mut state = self.0.borrow_mut();
        let (terms, now) = (state.terms, clock::now());
        let limits = customers.into_iter().flat_map(Customers::iter);
        let limited = limits.filter_map(|(id, limit)| Some((id.clone(), limit?)));
        state.budgets = limited
            .map(|(id, limit)| (id, Budget::new(limit, terms)))
            .collect();
        let State {
            budgets,
            holders,
            granters,
            rejected,
            ..
        } = &mut *state;
        holders.retain(|id, holder| budgets.contains_key(id) || holder.waiting() > 0);
        rejected.retain(|id, _| budgets.contains_key(id));
        granters.retain(|id, granter| {
            let budget = budgets.get(id);
            budget
                .inspect(|budget| granter.set_budget(**budget, now))
                .is_some()
        });
    }

    /// Sets the live proxies, complete up to a revision.
    pub fn set_live(
        &self,
        live: IndexMap<ProxyId, Announcement>,
        addresses: IndexMap<ProxyId, (SocketAddr, Span)>,
        revision: Revision,
    ) {
        let mut state = self.0.borrow_mut();
        state.authority.set_live(live, revision);
        state.addresses = addresses;
        let State {
            authority,
            holders,
            addresses,
            silence,
            ..
        } = &mut *state;
        silence.retain(|id| addresses.contains_key(id));
        for (customer, holder) in holders {
            set_granters(holder, authority, addresses, silence, customer);
        }
    }

    /// Whether customers with limits are known.
    pub fn are_in_use(&self) -> bool {
        !self.0.borrow().budgets.is_empty()
    }

    /// Sets when this process wrote its announcement; `None` when it is withdrawn.
    pub fn set_announced(&self, at: Option<Revision>) {
        self.0.borrow_mut().authority.set_announced(at);
    }

    /// Sets until when this proxy's registration is certainly valid.
    pub fn set_valid_until(&self, until: Time) {
        self.0.borrow_mut().authority.set_valid_until(until);
    }

    /// Waits until this proxy knows of a key created at a revision and could give up its part
    /// of a customer's limit; `false` if that takes longer than [`KNOWS_TIMEOUT`].
    pub async fn knows(&self, customer: &CustomerId, revision: Revision) -> bool {
        let end = clock::now() + KNOWS_TIMEOUT;
        loop {
            if self.0.borrow_mut().authority.knows(customer, revision) {
                return true;
            }
            if clock::now() >= end {
                return false;
            }
            clock::sleep_until(clock::now() + KNOWS_INTERVAL).await;
        }
    }

    /// Admits an operation, unless it is known that it would be rejected; one without a customer
    /// is not limited.
    pub fn admit(&self, customer: Option<&CustomerId>) -> Result<Admission, QuotaRejection> {
        let limited = |id: &&CustomerId| self.0.borrow().budgets.contains_key(*id);
        let Some(customer) = customer.filter(limited) else {
            return Ok(Admission::unlimited());
        };
        let now = clock::now();
        let rejection = self.with_holder(customer, now, |holder| holder.known_rejection(now));
        if let Some(rejection) = rejection {
            self.count_rejection(customer);
            return Err(rejection);
        }
        Ok(Admission::limited(self.clone(), customer.clone()))
    }

    async fn permit(&self, customer: &CustomerId, turn: Turn) -> Result<Permit, QuotaRejection> {
        let now = clock::now();
        let (tx, rx) = flume::bounded(1);
        let actions = self.with_holder(customer, now, |holder| match turn {
            Turn::Last => holder.request(tx, now),
            Turn::First => holder.request_first(tx, now),
        });
        self.act(customer, actions);
        loop {
            let now = clock::now();
            let due = self.with_holder(customer, now, |holder| holder.next_step(now));
            let pause = due.map_or(STEP_INTERVAL, |due| due.since(now).min(STEP_INTERVAL));
            let pause = pause.max(MIN_STEP).as_duration();
            match compio::time::timeout(pause, rx.recv_async()).await {
                Ok(Ok(result)) => return result,
                Ok(Err(flume::RecvError::Disconnected)) => {
                    // The customer was removed from the configuration.
                    return Err(QuotaRejection {
                        retry_after: STEP_INTERVAL,
                    });
                }
                Err(_) => self.step(customer),
            }
        }
    }

    fn give_back(&self, customer: &CustomerId, permit: Permit) {
        let now = clock::now();
        let actions = self.with_holder(customer, now, |holder| holder.give_back(permit, now));
        self.act(customer, actions);
    }

    fn count_rejection(&self, customer: &CustomerId) {
        let mut state = self.0.borrow_mut();
        *state.rejected.entry(customer.clone()).or_default() += 1;
    }

    fn with_holder<T>(
        &self,
        customer: &CustomerId,
        now: Time,
        act: impl FnOnce(&mut Holder<Reply>) -> T,
    ) -> T {
        let mut state = self.0.borrow_mut();
        let State {
            authority,
            addresses,
            holders,
            silence,
            ..
        } = &mut *state;
        let holder = holders.entry(customer.clone()).or_insert_with(|| {
            let mut holder = Holder::new(now);
            set_granters(&mut holder, authority, addresses, silence, customer);
            holder
        });
        act(holder)
    }

    fn step(&self, customer: &CustomerId) {
        let now = clock::now();
        let actions = self.with_holder(customer, now, |holder| holder.step(now));
        self.act(customer, actions);
    }

    /// Lets the parts that this proxy grants accumulate permits before any is requested.
    fn refresh_granters(&self) {
        let mut state = self.0.borrow_mut();
        let customers: Vec<_> = state.budgets.keys().cloned().collect();
        for customer in customers {
            state.granter(&customer, clock::now());
        }
    }

    /// Answers a request for so many permits.
    pub fn grant(&self, customer: &CustomerId, count: u32) -> Answer {
        let now = clock::now();
        let mut state = self.0.borrow_mut();
        let granter = state.granter(customer, now);
        granter.map_or(Answer::refusal(), |granter| granter.grant(count, now))
    }

    fn act(&self, customer: &CustomerId, actions: Vec<Action<Reply>>) {
        let mut queue = actions;
        while let Some(action) = queue.pop() {
            match action {
                Action::Admit(reply, permit) => {
                    if let Err(flume::SendError(Ok(permit))) = reply.send(Ok(permit)) {
                        let now = clock::now();
                        let back = |holder: &mut Holder<Reply>| holder.give_back(permit, now);
                        queue.extend(self.with_holder(customer, now, back));
                    }
                }
                Action::Reject(reply, rejection) => {
                    // The caller may no longer wait.
                    let _ = reply.send(Err(rejection));
                }
                Action::Request(granter, count) => {
                    let me = self.0.borrow().me.clone();
                    if granter == me {
                        let answer = self.grant(customer, count);
                        let now = clock::now();
                        let answered =
                            |h: &mut Holder<Reply>| h.answered(&granter, Some(answer), now);
                        queue.extend(self.with_holder(customer, now, answered));
                    } else {
                        let this = self.clone();
                        let customer = customer.clone();
                        let asking = async move { this.ask(&customer, granter, count).await };
                        compio::runtime::spawn(asking).detach();
                    }
                }
            }
        }
    }

    /// Does what recurs, for as long as the process runs.
    pub async fn run(self) {
        futures_util::join!(
            self.clone().inform(),
            self.clone().query_silent(),
            self.log_usage()
        );
    }

    /// Informs the proxies that this proxy displaces as granter.
    async fn inform(self) {
        loop {
            clock::sleep_until(clock::now() + INFORM_INTERVAL).await;
            self.refresh_granters();
            let (uninformed, revision) = {
                let mut state = self.0.borrow_mut();
                let State {
                    authority, budgets, ..
                } = &mut *state;
                match authority.to_inform(budgets.keys()) {
                    Some(to_inform) => to_inform,
                    None => continue,
                }
            };
            let informing = uninformed
                .into_iter()
                .map(|(customer, proxy)| self.inform_one(customer, proxy, revision));
            futures_util::future::join_all(informing).await;
        }
    }

    async fn inform_one(&self, customer: CustomerId, proxy: ProxyId, revision: Revision) {
        let (relay, address) = {
            let state = self.0.borrow();
            let address = state.addresses.get(&proxy).map(|(address, _)| *address);
            (state.relay.clone(), address)
        };
        let Some(address) = address else { return };
        if relay.knows(&proxy, address, &customer, revision).await {
            let mut state = self.0.borrow_mut();
            state.authority.set_informed(customer, proxy, revision);
        }
    }
}

impl State {
    /// This proxy's part of a customer's limit, if it is a granter.
    fn granter(&mut self, customer: &CustomerId, now: Time) -> Option<&mut Granter> {
        let parts = self.authority.parts(customer, now);
        let budget = self.budgets.get(customer);
        let Some(budget) = budget.filter(|_| parts != Parts::default()) else {
            self.granters.shift_remove(customer);
            return None;
        };
        let granter = self.granters.entry(customer.clone());
        let granter = granter.or_insert_with(|| Granter::new(*budget, parts, now));
        if granter.set_parts(parts, now) {
            let Parts {
                confirmed,
                unconfirmed,
            } = parts;
            tracing::info!(%customer, confirmed, unconfirmed, "the granted parts of a limit have changed");
        }
        Some(granter)
    }
}

/// Sets a customer's granters, the nearest one first.
fn set_granters(
    holder: &mut Holder<Reply>,
    authority: &mut Authority,
    addresses: &IndexMap<ProxyId, (SocketAddr, Span)>,
    silence: &Silence,
    customer: &CustomerId,
) {
    let mut granters: Vec<_> = authority.granters(customer).iter().cloned().collect();
    granters.sort_by_key(|id| addresses.get(id).map(|(_, round_trip)| *round_trip));
    holder.set_granters(granters.clone());
    for granter in &granters {
        holder.set_silent(granter, silence.is_silent(granter));
    }
}
