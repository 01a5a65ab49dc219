//! A database group, the platform that carries out orders, and what lies between them.

use model::position::{Point, Term};
use policy::takeover::{Role, State};

use crate::cfg::{Budget, Cfg, Guard};
use crate::coordinator;
use crate::doing::{self, Coordinator, Notes};

/// Index of an instance.
pub(crate) type Id = usize;

/// A set of instances or commits, one bit each.
pub(crate) type Set = u8;

pub(crate) const NAMES: [&str; 4] = ["p", "a", "b", "n"];

/// Coordinators: the holder of the duty and its successor.
pub(crate) const COORDINATORS: usize = 2;

pub(crate) const fn bit(at: usize) -> Set {
    1 << at
}

pub(crate) const fn has(set: Set, at: usize) -> bool {
    set & bit(at) != 0
}

pub(crate) fn name(id: Id) -> &'static str {
    NAMES[id]
}

pub(crate) fn names(set: Set) -> String {
    let of = (0..NAMES.len()).filter(|id| has(set, *id)).map(name);
    of.collect::<Vec<_>>().join(",")
}

/// Whether an instance is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Listing {
    /// Not yet.
    Unknown,
    Listed,
    /// Not any more.
    Lapsed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Instance {
    pub(crate) runs: bool,
    pub(crate) listing: Listing,
    pub(crate) leads: bool,
    /// Newest term that it knows.
    pub(crate) term: u8,
    /// Term of the primary from which it received last.
    pub(crate) held: u8,
    /// Commits that it received.
    pub(crate) log: Set,
    pub(crate) paused: u8,
    /// How often it returned under another id.
    pub(crate) born: u8,
    /// Whether that id is not announced yet, so that only the one before is known.
    pub(crate) hidden: bool,
}

impl Instance {
    pub(crate) fn received(&self) -> Point {
        Point::new(u64::from(self.held), u64::from(self.log.count_ones()))
    }

    pub(crate) fn state(&self) -> State {
        State {
            role: if self.leads {
                Role::Primary
            } else {
                Role::Replica
            },
            term: Term(u64::from(self.term)),
            received: self.received(),
            paused: Term(u64::from(self.paused)),
        }
    }

    /// Commits are numbered in the order in which they were made, so that two logs agree
    /// below the first commit that only one of them holds.
    pub(crate) fn roll_back(&mut self, to: Set) {
        let differs = (self.log ^ to).trailing_zeros();
        let common = 1_u8.checked_shl(differs).map_or(Set::MAX, |b| b - 1);
        self.log &= common;
    }
}

/// An order to the platform without an answer, or one that is being carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Order {
    pub(crate) token: u8,
    pub(crate) instance: Id,
    pub(crate) accepted: bool,
}

/// A statement that is on its way to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Own {
    Pause(u8),
    Demote(u8),
    Resume,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    pub(crate) instances: Vec<Instance>,
    /// Instances that the coordinators do not reach.
    pub(crate) cut: Set,
    /// Instances that are being taken out of service.
    pub(crate) leaving: Set,
    /// Instances that have no slot for a coordinator, and say so.
    pub(crate) full: Set,
    pub(crate) orders: Vec<Order>,
    pub(crate) statements: Vec<(Id, Own)>,
    /// Highest token that the platform saw.
    pub(crate) seen: u8,
    /// Highest token that was used.
    pub(crate) token: u8,
    /// Notes of changes that were written.
    pub(crate) noted: u8,
    /// The instance that the platform made lead last.
    pub(crate) primary: Id,
    /// Replicas whose log proves to a proxy that a commit is safe.
    pub(crate) counted: Set,
    /// Commits that some replica received, so that the primary answered them.
    pub(crate) answered: Set,
    /// Commits whose callers were told of their success.
    pub(crate) acknowledged: Set,
    /// The notes in the store.
    pub(crate) notes: Notes,
    /// Who holds the duty.
    pub(crate) holder: usize,
    pub(crate) coordinators: [Coordinator; COORDINATORS],
    pub(crate) left: Budget,
}

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    Write,
    Receive(Id),
    Crash(Id),
    Restart(Id),
    /// It restarts under another id.
    Return(Id),
    Lapse(Id),
    Announce(Id),
    /// Proxies count an instance as a replica from now on.
    Count(Id),
    Start,
    Leave(Id),
    Cut(Id),
    Heal(Id),
    Full(Id),
    Free(Id),
    Arrive(Order),
    /// The platform does not take an order now.
    Refuse(Order),
    CarryOut(Order),
    Deliver(Id, Own),
    LoseDuty,
    /// The note of an order is so old that it cannot arrive any more.
    Lapsed,
    /// A coordinator's copy of the notes becomes as new as the store.
    CatchUp(usize),
    Coordinator(usize, doing::Event),
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The instance leads without an acknowledged commit.
    Lost(Id),
    /// Two instances acknowledge in one term.
    TwoLeaders,
}

impl World {
    pub(crate) fn new(cfg: &Cfg) -> Self {
        let replica = Instance {
            runs: true,
            listing: Listing::Listed,
            leads: false,
            term: 1,
            held: 1,
            log: 0,
            paused: 0,
            born: 0,
            hidden: false,
        };
        let mut instances = vec![replica; 3];
        instances[0].leads = true;
        for (id, i) in instances.iter_mut().enumerate() {
            i.paused = 2 * u8::from(has(cfg.stopped, id));
        }
        if let Some(gone) = cfg.gone {
            instances[gone].runs = false;
            instances[gone].listing = Listing::Lapsed;
        }
        let running = instances.iter().enumerate().filter(|(_, i)| i.runs);
        let counted = running.map(|(id, _)| bit(id)).sum();
        Self {
            instances,
            cut: 0,
            leaving: Set::from(cfg.leaving),
            full: 0,
            orders: Vec::new(),
            statements: Vec::new(),
            seen: 0,
            token: 0,
            noted: 0,
            primary: 0,
            counted,
            answered: 0,
            acknowledged: 0,
            notes: Notes::default(),
            holder: 0,
            coordinators: Default::default(),
            left: cfg.budget,
        }
    }

    /// Newest end of the acknowledged log.
    pub(crate) fn proved(&self) -> Point {
        let primary = &self.instances[self.primary];
        let log = primary.log & self.acknowledged;
        Point::new(u64::from(primary.held), u64::from(log.count_ones()))
    }

    pub(crate) fn reached(&self, id: Id) -> bool {
        self.instances[id].runs && !has(self.cut | self.full, id)
    }

    /// Whether all instances serve and nothing is under way.
    pub(crate) fn is_quiet(&self) -> bool {
        let serves = |i: &Instance| i.runs && !i.hidden && i.listing == Listing::Listed;
        let idle = |c: &Coordinator| c.doing == doing::Doing::Idle;
        self.instances.iter().all(serves)
            && self.coordinators.iter().all(idle)
            && (self.cut | self.full) == 0
            && self.orders.is_empty()
            && self.statements.is_empty()
    }

    /// Whether writes are acknowledged and all replicas receive.
    pub(crate) fn is_well(&self) -> bool {
        self.instances[self.primary].leads && self.instances.iter().all(|i| i.paused == 0)
    }

    /// Whether an order to receive again is on its way.
    pub(crate) fn may_receive_again(&self) -> bool {
        self.statements.iter().any(|(_, own)| *own == Own::Resume)
    }

    /// The same with other events to come.
    pub(crate) fn with_budget(&self, left: Budget) -> Self {
        Self {
            left,
            ..self.clone()
        }
    }

    /// All that may happen next.
    pub(crate) fn events(&self, cfg: &Cfg) -> Vec<Event> {
        let mut events = Vec::new();
        for at in 0..COORDINATORS {
            let of = coordinator::events(self, at, cfg);
            // What it does about an instance that appears is faster than that one receives.
            if cfg.announced_first
                && let Some(first) = coordinator::urgent(self, at, &of)
            {
                return vec![Event::Coordinator(at, first)];
            }
            events.extend(of.into_iter().map(|event| Event::Coordinator(at, event)));
            let this = &self.coordinators[at];
            let idle = this.doing == doing::Doing::Idle;
            if (at == self.holder || !idle) && this.notes != self.notes {
                events.push(Event::CatchUp(at));
            }
        }
        for (id, own) in &self.statements {
            if self.reached(*id) {
                events.push(Event::Deliver(*id, *own));
            }
        }
        let earliest = self.orders.iter().find(|o| o.accepted);
        events.extend(earliest.copied().map(Event::CarryOut));
        for order in self.orders.iter().filter(|o| !o.accepted) {
            events.push(Event::Arrive(*order));
            if self.left.refusals > 0 {
                events.push(Event::Refuse(*order));
            }
        }
        if coordinator::may_lapse(self) {
            events.push(Event::Lapsed);
        }
        if self.left.lost_duties > 0 {
            events.push(Event::LoseDuty);
        }
        for id in 0..self.instances.len() {
            self.instance_events(cfg, id, &mut events);
        }
        if self.left.starts > 0 {
            events.push(Event::Start);
        }
        events
    }

    fn instance_events(&self, cfg: &Cfg, id: Id, events: &mut Vec<Event>) {
        let left = &self.left;
        let i = &self.instances[id];
        let mut push = |may: bool, event| {
            if may {
                events.push(event);
            }
        };
        push(i.runs && i.leads && left.writes > 0, Event::Write);
        push(self.receives(cfg, id), Event::Receive(id));
        push(
            i.runs && !has(cfg.steady, id) && left.crashes > 0,
            Event::Crash(id),
        );
        push(!i.runs && left.restarts > 0, Event::Restart(id));
        let may_lapse = !i.runs || cfg.lapses_alive && has(self.cut, id);
        let listed = i.listing == Listing::Listed;
        push(!i.runs && left.returns > 0, Event::Return(id));
        push(may_lapse && listed && left.lapses > 0, Event::Lapse(id));
        let back = i.listing == Listing::Unknown || !has(self.cut, id);
        let unlisted = !listed || i.hidden;
        push(i.runs && unlisted && back, Event::Announce(id));
        let stays = !has(self.leaving, id);
        let counts = i.runs && !unlisted && !has(self.counted, id);
        push(counts && self.may_count(cfg), Event::Count(id));
        push(i.runs && stays && left.leaves > 0, Event::Leave(id));
        push(!has(self.cut, id) && left.cuts > 0, Event::Cut(id));
        push(has(self.cut, id) && left.heals > 0, Event::Heal(id));
        let full = has(self.full, id);
        push(i.runs && !full && left.fulls > 0, Event::Full(id));
        push(full, Event::Free(id));
    }

    /// Proxies count an instance that they reach while no change of primary is noted.
    fn may_count(&self, cfg: &Cfg) -> bool {
        let noted = self.notes.change.is_some() && cfg.off != Some(Guard::ChangeNoted);
        cfg.counted() && !noted
    }

    fn receives(&self, cfg: &Cfg, id: Id) -> bool {
        let (i, primary) = (&self.instances[id], &self.instances[self.primary]);
        let ready = !cfg.announced_first || i.listing == Listing::Listed && !i.hidden;
        let linked = primary.runs && primary.leads;
        let news = i.log != primary.log || i.held != primary.held;
        id != self.primary && i.runs && i.paused == 0 && linked && ready && news
    }
}
