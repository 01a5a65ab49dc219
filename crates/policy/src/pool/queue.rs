//! The order in which waiting requests are served.
//!
//! Queries of the coordinator come first, then requests in order of class, the priority of their
//! route. Where callers belong to customers, the requests of one class are divided fairly
//! between the customers by start-time fair queueing, and a late request, one that cannot meet its
//! objective, follows those that can meet theirs.

use std::ops::Deref;

use indexmap::IndexMap;
use model::customer::CustomerPriority;
use model::id::CustomerId;
use model::route::Guarantee;
use model::unit::Time;

use super::request::{ConnRequest, Kind};

/// Grants in a row that pass over a lower class before its first request goes ahead. A class that
/// alone exceeds the capacity then leaves a seventeenth of it to the others; one that stays below
/// the capacity is hardly delayed, since the others are served in its pauses.
const MAX_PASSED_OVER: u32 = 16;

/// What waiting requests compete for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lane {
    /// The primary.
    Primary,
    /// Any instance whose log holds what the read needs.
    Any,
}

impl Lane {
    pub(super) const ALL: [Self; 2] = [Self::Primary, Self::Any];

    /// `None` for a query to a particular instance.
    pub(super) fn of(kind: &Kind) -> Option<Self> {
        match kind {
            Kind::Control(_) => None,
            Kind::Write | Kind::Read(Guarantee::Newest) => Some(Self::Primary),
            Kind::Read(Guarantee::Bounded(_) | Guarantee::OwnWrites(_)) => Some(Self::Any),
        }
    }

    pub(super) const fn index(self) -> usize {
        self as usize
    }
}

/// Position in the queue; the least is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_statement: bool,
    /// Whether it waits for its class's turn; false after it was passed over too often.
    in_class: bool,
    class: u8,
    /// Whether it has missed its objective, or is expected to.
    is_late: bool,
    /// Start tag: the service that its customer had before it, divided by the customer's weight.
    start: u64,
    arrived: Time,
}

/// A waiting request.
pub(super) struct Pending<W> {
    pub(super) request: ConnRequest,
    pub(super) waiter: W,
    pub(super) lane: Option<Lane>,
    rank: Rank,
}

/// The service of one class by customers.
#[derive(Default)]
struct Shares {
    /// Start tag of the request granted last.
    virtual_time: u64,
    /// Tag at which each customer's next request starts.
    next_start: IndexMap<Option<CustomerId>, u64>,
}

impl Shares {
    /// The start tag of a customer's next request.
    fn start(&mut self, customer: Option<CustomerId>, priority: CustomerPriority) -> u64 {
        let next = self.next_start.entry(customer).or_default();
        let start = self.virtual_time.max(*next);
        *next = start + priority.cost();
        start
    }
}

/// How often the lowest class of a lane was passed over.
#[derive(Default)]
struct PassedOver {
    /// Grants to higher classes since the last one to this class.
    grants: u32,
    class: u8,
}

impl PassedOver {
    /// Records a grant to a class; `lowest` is the lowest one of which requests still wait.
    fn granted(&mut self, class: u8, lowest: Option<u8>) {
        if class >= self.class {
            self.grants = 0;
        }
        if let Some(lowest) = lowest.filter(|lowest| *lowest > class) {
            self.grants += 1;
            self.class = lowest;
        }
    }
}

/// The waiting requests.
///
/// Invariant: `waiting` is sorted by rank. `shares` holds only classes of which requests wait.
pub(super) struct Queue<W> {
    waiting: Vec<Pending<W>>,
    is_fair: bool,
    shares: IndexMap<u8, Shares>,
    /// By lane.
    passed_over: [PassedOver; 2],
    /// Requests that were put behind because they cannot meet their objective.
    late: u64,
    /// Requests that went ahead after they were passed over.
    advanced: u64,
}

impl<W> Pending<W> {
    pub(super) const fn is_late(&self) -> bool {
        self.rank.is_late
    }

    pub(super) const fn is_advanced(&self) -> bool {
        !self.rank.in_class
    }
}

impl<W> Deref for Queue<W> {
    type Target = [Pending<W>];

    fn deref(&self) -> &Self::Target {
        &self.waiting
    }
}

impl<W> Queue<W> {
    pub(super) fn new() -> Self {
        Self {
            waiting: Vec::new(),
            is_fair: false,
            shares: IndexMap::new(),
            passed_over: Default::default(),
            late: 0,
            advanced: 0,
        }
    }

    /// Whether requests are ordered by customer and objective as well. Applies to requests that
    /// begin to wait from now on.
    pub(super) fn set_fair(&mut self, is_fair: bool) {
        self.is_fair = is_fair;
    }

    pub(super) const fn is_fair(&self) -> bool {
        self.is_fair
    }

    /// Number of requests that were put behind because they cannot meet their
    /// objective.
    pub(super) const fn late(&self) -> u64 {
        self.late
    }

    /// Number of requests that went ahead after they were passed over.
    pub(super) const fn advanced(&self) -> u64 {
        self.advanced
    }

    pub(super) fn insert(&mut self, request: ConnRequest, waiter: W, now: Time) {
        let lane = Lane::of(&request.kind);
        let class = request.priority;
        let start = if self.is_fair && lane.is_some() {
            let shares = self.shares.entry(class).or_default();
            shares.start(request.customer.clone(), request.customer_priority)
        } else {
            0
        };
        let rank = Rank {
            is_statement: lane.is_some(),
            in_class: true,
            class,
            is_late: self.is_fair && has_missed_objective(&request, now),
            start,
            arrived: request.arrived,
        };
        let pending = Pending {
            request,
            waiter,
            lane,
            rank,
        };
        self.place(pending);
    }

    fn place(&mut self, pending: Pending<W>) {
        let at = self.waiting.partition_point(|w| w.rank <= pending.rank);
        self.waiting.insert(at, pending);
    }

    /// Removes a request that is granted.
    pub(super) fn take(&mut self, at: usize) -> Pending<W> {
        let pending = self.remove(at);
        if !self.is_fair {
            return pending;
        }
        if let Some(shares) = self.shares.get_mut(&pending.rank.class) {
            shares.virtual_time = shares.virtual_time.max(pending.rank.start);
        }
        if let Some(lane) = pending.lane {
            let class = pending.rank.class;
            let classes = self.waiting.iter().filter(|w| w.lane == Some(lane));
            let lowest = classes.map(|w| w.rank.class).max();
            self.passed_over[lane.index()].granted(class, lowest);
        }
        pending
    }

    /// Removes a request that is not granted. Its customer's later requests move up, so that a
    /// customer of which many are rejected still has its share.
    pub(super) fn reject(&mut self, at: usize) -> Pending<W> {
        let rejected = self.remove(at);
        let (class, customer) = (rejected.rank.class, &rejected.request.customer);
        let Some(shares) = self.shares.get_mut(&class) else {
            return rejected;
        };
        let cost = rejected.request.customer_priority.cost();
        if let Some(next) = shares.next_start.get_mut(customer) {
            *next = next.saturating_sub(cost);
        }
        for later in &mut self.waiting {
            let is_later = later.rank.class == class && later.rank.start > rejected.rank.start;
            if is_later && later.request.customer == *customer {
                later.rank.start = later.rank.start.saturating_sub(cost);
            }
        }
        self.waiting.sort_by_key(|w| w.rank);
        rejected
    }

    fn remove(&mut self, at: usize) -> Pending<W> {
        let pending = self.waiting.remove(at);
        let class = pending.rank.class;
        if !self.waiting.iter().any(|w| w.rank.class == class) {
            self.shares.shift_remove(&class);
        }
        pending
    }

    /// Removes the request that would be served last.
    pub(super) fn reject_last(&mut self) -> Option<Pending<W>> {
        let last = self.waiting.len().checked_sub(1)?;
        Some(self.reject(last))
    }

    /// Puts a request behind those of its class that can meet their objective.
    pub(super) fn demote(&mut self, at: usize) {
        let mut pending = self.waiting.remove(at);
        pending.rank.is_late = true;
        self.late += 1;
        self.place(pending);
    }

    /// Advances the first request of the lowest class of a lane if it was passed over too often.
    pub(super) fn advance_passed_over(&mut self) {
        for lane in Lane::ALL {
            if self.passed_over[lane.index()].grants < MAX_PASSED_OVER {
                continue;
            }
            let of_lane = |w: &&Pending<W>| w.lane == Some(lane) && w.rank.in_class;
            let lowest = self.waiting.iter().filter(of_lane).map(|w| w.rank.class);
            let Some(lowest) = lowest.max() else { continue };
            let first = |w: &Pending<W>| of_lane(&w) && w.rank.class == lowest;
            if let Some(at) = self.waiting.iter().position(first) {
                let mut pending = self.waiting.remove(at);
                pending.rank.in_class = false;
                self.passed_over[lane.index()].grants = 0;
                self.advanced += 1;
                self.place(pending);
            }
        }
    }
}

fn has_missed_objective(request: &ConnRequest, now: Time) -> bool {
    now.since(request.arrived) >= request.objective
}
