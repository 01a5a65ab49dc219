//! A database group, the platform that carries out orders, and the messages in flight between
//! them.

use model::position::{Point, Term};
use policy::takeover::{Role, State};

use crate::cfg::{Budget, Cfg, Guard};
use crate::coordinator;
use crate::task::{self, Coordinator, Intents, Promotion};

/// Index of an instance.
pub(crate) type Id = usize;

/// A set of instances or commits, one bit each.
pub(crate) type Set = u8;

pub(crate) const NAMES: [&str; 4] = ["p", "a", "b", "n"];

/// Number of coordinators: the holder of the role and its successor.
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
pub(crate) enum Announcement {
    /// Not announced yet.
    NotYet,
    Announced,
    /// No longer announced.
    Lapsed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Instance {
    pub(crate) runs: bool,
    pub(crate) announcement: Announcement,
    pub(crate) leads: bool,
    /// Newest term that it knows.
    pub(crate) term: u8,
    /// Term of the primary from which it last received.
    pub(crate) log_term: u8,
    /// Commits that it has received.
    pub(crate) log: Set,
    pub(crate) paused: u8,
    /// How often it restarted under another id.
    pub(crate) incarnation: u8,
    /// Whether the present id is not announced yet, so that only the previous one is known.
    pub(crate) hidden: bool,
}

impl Instance {
    pub(crate) fn received(&self) -> Point {
        Point::new(u64::from(self.log_term), u64::from(self.log.count_ones()))
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

    /// Commits are numbered in the order in which they are made, so two logs agree below
    /// the first commit that only one of them holds.
    pub(crate) fn roll_back(&mut self, to: Set) {
        let differs = (self.log ^ to).trailing_zeros();
        let common = 1_u8.checked_shl(differs).map_or(Set::MAX, |b| b - 1);
        self.log &= common;
    }
}

/// An order to the platform that has no response yet, or that is being carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Order {
    pub(crate) token: u8,
    pub(crate) instance: Id,
    pub(crate) accepted: bool,
}

/// A command in flight to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Command {
    Pause(u8),
    Demote(u8),
    Resume,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    pub(crate) instances: Vec<Instance>,
    /// Instances that the coordinators cannot reach.
    pub(crate) partitioned: Set,
    /// Instances that are being decommissioned.
    pub(crate) leaving: Set,
    /// Instances that reject a coordinator because they have no free slot.
    pub(crate) full: Set,
    pub(crate) orders: Vec<Order>,
    pub(crate) commands: Vec<(Id, Command)>,
    /// Highest token that the platform accepted.
    pub(crate) platform_token: u8,
    /// Highest token that was used.
    pub(crate) token: u8,
    /// Number of intents of changes that were recorded.
    pub(crate) recorded_changes: u8,
    /// The instance that the platform last made primary.
    pub(crate) primary: Id,
    /// Replicas that may acknowledge a commit to a proxy.
    pub(crate) eligible: Set,
    /// Commits that some replica received, so that the primary has responded.
    pub(crate) replicated: Set,
    /// Commits that were reported as successful to their callers.
    pub(crate) acknowledged: Set,
    /// The intents in the store.
    pub(crate) intents: Intents,
    /// The coordinator that holds the role.
    pub(crate) holder: usize,
    pub(crate) coordinators: [Coordinator; COORDINATORS],
    pub(crate) left: Budget,
}

/// An event.
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
    /// From now on, proxies accept acknowledgements of this instance.
    MakeEligible(Id),
    Start,
    Decommission(Id),
    Partition(Id),
    Heal(Id),
    Full(Id),
    Free(Id),
    Arrive(Order),
    /// The platform does not accept an order.
    Refuse(Order),
    TakeEffect(Order),
    Deliver(Id, Command),
    LoseRole,
    /// The intent of an order is so old that the order can no longer arrive.
    IntentLapsed,
    /// A coordinator's copy of the intents catches up with the store.
    CatchUp(usize),
    Coordinator(usize, task::Event),
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// The instance leads without an acknowledged commit.
    Lost(Id),
    /// Two instances acknowledge commits in one term.
    TwoLeaders,
}

impl World {
    pub(crate) fn new(cfg: &Cfg) -> Self {
        let replica = Instance {
            runs: true,
            announcement: Announcement::Announced,
            leads: false,
            term: 1,
            log_term: 1,
            log: 0,
            paused: 0,
            incarnation: 0,
            hidden: false,
        };
        let mut instances = vec![replica; 3];
        instances[0].leads = true;
        for (id, i) in instances.iter_mut().enumerate() {
            i.paused = 2 * u8::from(has(cfg.paused, id));
        }
        if let Some(unannounced) = cfg.unannounced {
            instances[unannounced].runs = false;
            instances[unannounced].announcement = Announcement::Lapsed;
        }
        let running = instances.iter().enumerate().filter(|(_, i)| i.runs);
        let eligible = running.map(|(id, _)| bit(id)).sum();
        let pending = cfg.pending_order.then_some(Promotion {
            instance: 0,
            incarnation: 0,
            token: 1,
        });
        let order = pending.map(|promotion| Order {
            token: promotion.token,
            instance: promotion.instance,
            accepted: false,
        });
        let intents = Intents {
            promotion: pending,
            ..Intents::default()
        };
        let mut coordinators: [Coordinator; COORDINATORS] = Default::default();
        coordinators[0].intents = intents;
        Self {
            instances,
            partitioned: 0,
            leaving: Set::from(cfg.leaving),
            full: 0,
            orders: order.into_iter().collect(),
            commands: Vec::new(),
            platform_token: 0,
            token: u8::from(cfg.pending_order),
            recorded_changes: 0,
            primary: 0,
            eligible,
            replicated: 0,
            acknowledged: 0,
            intents,
            holder: 0,
            coordinators,
            left: cfg.budget,
        }
    }

    /// Newest end of the acknowledged log.
    pub(crate) fn acknowledged_end(&self) -> Point {
        let primary = &self.instances[self.primary];
        let log = primary.log & self.acknowledged;
        Point::new(u64::from(primary.log_term), u64::from(log.count_ones()))
    }

    pub(crate) fn is_reachable(&self, id: Id) -> bool {
        self.instances[id].runs && !has(self.partitioned | self.full, id)
    }

    /// Whether all instances serve and nothing is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        let serves =
            |i: &Instance| i.runs && !i.hidden && i.announcement == Announcement::Announced;
        let idle = |c: &Coordinator| c.task == task::Task::Idle;
        self.instances.iter().all(serves)
            && self.coordinators.iter().all(idle)
            && (self.partitioned | self.full) == 0
            && self.orders.is_empty()
            && self.commands.is_empty()
    }

    /// Whether writes are acknowledged and all replicas receive.
    pub(crate) fn is_healthy(&self) -> bool {
        self.instances[self.primary].leads && self.instances.iter().all(|i| i.paused == 0)
    }

    /// Whether a resume command is in flight.
    pub(crate) fn resume_in_flight(&self) -> bool {
        self.commands
            .iter()
            .any(|(_, command)| *command == Command::Resume)
    }

    /// The same world with another budget of events.
    pub(crate) fn with_budget(&self, left: Budget) -> Self {
        Self {
            left,
            ..self.clone()
        }
    }

    /// All events that are possible next.
    pub(crate) fn events(&self, cfg: &Cfg) -> Vec<Event> {
        let mut events = Vec::new();
        for at in 0..COORDINATORS {
            let of = coordinator::events(self, at, cfg);
            // It pauses a newly announced instance before that instance receives anything.
            if cfg.announced_first
                && let Some(first) = coordinator::urgent(self, at, &of)
            {
                return vec![Event::Coordinator(at, first)];
            }
            events.extend(of.into_iter().map(|event| Event::Coordinator(at, event)));
            let this = &self.coordinators[at];
            let idle = this.task == task::Task::Idle;
            if (at == self.holder || !idle) && this.intents != self.intents {
                events.push(Event::CatchUp(at));
            }
        }
        for (id, command) in &self.commands {
            if self.is_reachable(*id) {
                events.push(Event::Deliver(*id, *command));
            }
        }
        let earliest = self.orders.iter().find(|o| o.accepted);
        events.extend(earliest.copied().map(Event::TakeEffect));
        for order in self.orders.iter().filter(|o| !o.accepted) {
            events.push(Event::Arrive(*order));
            if self.left.refusals > 0 {
                events.push(Event::Refuse(*order));
            }
        }
        if coordinator::may_lapse(self) {
            events.push(Event::IntentLapsed);
        }
        if self.left.lost_roles > 0 {
            events.push(Event::LoseRole);
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
            i.runs && !has(cfg.never_crash, id) && left.crashes > 0,
            Event::Crash(id),
        );
        push(!i.runs && left.restarts > 0, Event::Restart(id));
        let may_lapse = !i.runs || cfg.running_may_lapse && has(self.partitioned, id);
        let announced = i.announcement == Announcement::Announced;
        push(!i.runs && left.returns > 0, Event::Return(id));
        push(may_lapse && announced && left.lapses > 0, Event::Lapse(id));
        let may_announce = i.announcement == Announcement::NotYet || !has(self.partitioned, id);
        let unannounced = !announced || i.hidden;
        push(i.runs && unannounced && may_announce, Event::Announce(id));
        let stays = !has(self.leaving, id);
        let candidate = i.runs && !unannounced && !has(self.eligible, id);
        push(
            candidate && self.may_become_eligible(cfg),
            Event::MakeEligible(id),
        );
        push(
            i.runs && stays && left.decommissions > 0,
            Event::Decommission(id),
        );
        push(
            !has(self.partitioned, id) && left.partitions > 0,
            Event::Partition(id),
        );
        push(has(self.partitioned, id) && left.heals > 0, Event::Heal(id));
        let full = has(self.full, id);
        push(i.runs && !full && left.fulls > 0, Event::Full(id));
        push(full, Event::Free(id));
    }

    /// Whether a reachable instance becomes eligible: no change of primary may be recorded.
    fn may_become_eligible(&self, cfg: &Cfg) -> bool {
        let recorded = self.intents.change.is_some() && cfg.off != Some(Guard::ChangeRecorded);
        cfg.needs_eligibility() && !recorded
    }

    fn receives(&self, cfg: &Cfg, id: Id) -> bool {
        let (i, primary) = (&self.instances[id], &self.instances[self.primary]);
        let ready = !cfg.announced_first || i.announcement == Announcement::Announced && !i.hidden;
        let primary_leads = primary.runs && primary.leads;
        let behind = i.log != primary.log || i.log_term != primary.log_term;
        id != self.primary && i.runs && i.paused == 0 && primary_leads && ready && behind
    }
}
