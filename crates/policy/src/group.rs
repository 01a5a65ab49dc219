//! Controller of one database group: everything that a proxy decides about it.
//!
//! One call of [`Group::step`] takes in one event and gives out the actions that follow.
//! It keeps no clock, opens no socket and draws its randomness from the given seed, so
//! that a run is repeated exactly by repeating its events.

mod answer;
mod drive;
mod repair;
mod waiting;

use indexmap::IndexMap;
use model::id::{InstanceId, ProxyId};
use model::position::Term;
use model::unit::{Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::confirm::{self, Confirm};
use crate::decision::{Decision, Fact, Phase, Ring, Trace, What};
use crate::failure_detector::{Heard, Reach, Verdict};
use crate::freshness::Freshness;
use crate::message::{
    Action, Ask, Channel, Event, Peer, PeerReport, Query, Recipients, StoreRequest, Ticket,
    Versioned,
};
use crate::poll::{Kind, Outstanding, Poll};
use crate::promote::Attempt;
use crate::read::Load;
use crate::spec::{Me, Spec};
use crate::status::Observed;
use waiting::Waiting;

/// Span within which a step at most must follow the last one, so that retries and
/// timeouts take place.
pub const TICK: Span = Span::from_millis(10);

/// The newest primary that this proxy knows of.
#[derive(Clone, Debug, Default)]
pub struct Lead {
    /// Its term; term 0 before any is known.
    pub term: Term,
    /// The primary.
    pub primary: Option<InstanceId>,
    /// Since when it is known.
    pub since: Time,
}

/// Stages of the newest change of primary, for the breakdown of its write gap.
#[derive(Clone, Copy, Debug)]
struct Change {
    trace: Trace,
    /// When the new primary was known to lead; taken by the first confirmed write.
    promoted: Option<Time>,
}

/// Controller of one group on one proxy.
#[derive(Debug)]
pub struct Group {
    me: Me,
    spec: Spec,
    rng: SmallRng,
    started: Time,
    /// Time of the newest step; every step has a later one than those before, so that
    /// "asked since" and "asked before" can be told apart.
    now: Time,
    lead: Lead,
    change: Change,
    /// The record in the store, as last heard.
    known: Option<Versioned>,
    seen: IndexMap<InstanceId, Observed>,
    reach: IndexMap<InstanceId, Reach>,
    polls: IndexMap<InstanceId, Poll>,
    loads: IndexMap<InstanceId, Load>,
    /// When each instance was last told to follow.
    followed: IndexMap<InstanceId, Time>,
    live: Vec<Peer>,
    views: IndexMap<ProxyId, Heard>,
    confirm: Confirm,
    fresh: Freshness,
    waiting: Vec<Waiting>,
    attempt: Option<Attempt>,
    /// When the attempt's stage began.
    stage: Time,
    /// No attempt of our own before this moment: another claimant is at work.
    yielding: Time,
    verdict: Verdict,
    verdict_since: Time,
    /// Since when a majority or the primary itself has promised a later term.
    deposed: Option<Time>,
    /// When a request last asked for a route.
    used: Option<Time>,
    told: Option<Time>,
    reading: Option<(Query, Time)>,
    queries: u64,
    ring: Ring,
    out: Vec<Action>,
}

impl Group {
    /// A controller that knows nothing of the group's state yet.
    pub fn new(now: Time, me: Me, spec: Spec, seed: u64) -> Self {
        Self {
            me,
            spec,
            rng: SmallRng::seed_from_u64(seed),
            started: now,
            now,
            lead: Lead::default(),
            change: Change {
                trace: Trace::default(),
                promoted: None,
            },
            known: None,
            seen: IndexMap::new(),
            reach: IndexMap::new(),
            polls: IndexMap::new(),
            loads: IndexMap::new(),
            followed: IndexMap::new(),
            live: Vec::new(),
            views: IndexMap::new(),
            confirm: Confirm::default(),
            fresh: Freshness::default(),
            waiting: Vec::new(),
            attempt: None,
            stage: now,
            yielding: now,
            verdict: Verdict::Healthy,
            verdict_since: now,
            deposed: None,
            used: None,
            told: None,
            reading: None,
            queries: 0,
            ring: Ring::default(),
            out: Vec::new(),
        }
    }

    /// Takes in one event and gives out what follows from it.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.now = now.max(self.now + Span::from_micros(1));
        self.take(event);
        self.drive();
        std::mem::take(&mut self.out)
    }

    /// The newest known primary.
    pub fn lead(&self) -> &Lead {
        &self.lead
    }

    /// The attempt of this proxy to replace the primary, while there is one.
    pub fn attempt(&self) -> Option<&Attempt> {
        self.attempt.as_ref()
    }

    /// The newest decisions, oldest first.
    pub fn decisions(&self) -> impl Iterator<Item = &Decision> {
        self.ring.iter()
    }

    /// The newest observation of each instance.
    pub fn seen(&self) -> &IndexMap<InstanceId, Observed> {
        &self.seen
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Configure(spec) => self.configure(*spec),
            Event::Peers(live) => self.live = live,
            Event::Peer(view) => self.take_view(view),
            Event::Answer { query, result } => self.take_answer(query, result),
            Event::Store { query, answer } => self.take_store(query, answer),
            Event::Record(versioned) => self.take_record(versioned),
            Event::RouteWrite {
                ticket,
                point,
                deadline,
            } => self.enqueue(Waiting::write(ticket, point, self.now, deadline)),
            Event::RouteRead {
                ticket,
                need,
                deadline,
            } => self.enqueue(Waiting::read(ticket, need, self.now, deadline)),
            Event::Confirm {
                ticket,
                point,
                deadline,
            } => self.take_confirm(ticket, point, deadline),
            Event::Finished { instance, took } => {
                self.loads.entry(instance).or_default().finish(took);
            }
            Event::Released { instance } => {
                self.loads.entry(instance).or_default().release();
            }
            Event::Failed { instance, failure } => self.take_failed(&instance, failure),
        }
    }

    fn configure(&mut self, spec: Spec) {
        self.seen.retain(|id, _| spec.members.contains_key(id));
        self.reach.retain(|id, _| spec.members.contains_key(id));
        self.polls.retain(|id, _| spec.members.contains_key(id));
        self.spec = spec;
    }

    fn take_confirm(&mut self, ticket: Ticket, point: model::position::Point, deadline: Time) {
        let Some(primary) = self.lead.primary.clone() else {
            let result = Err(crate::route::Unconfirmed::Replaced);
            self.out.push(Action::Confirmed { ticket, result });
            return;
        };
        let added = self.confirm.add(ticket, point, &primary, deadline);
        if let Err(e) = added {
            let result = Err(e);
            self.out.push(Action::Confirmed { ticket, result });
        }
    }

    fn emit_confirmed(&mut self, outcomes: Vec<confirm::Outcome>) {
        for (ticket, result) in outcomes {
            if result.is_ok() {
                self.note_first_ack();
            }
            self.out.push(Action::Confirmed { ticket, result });
        }
    }

    fn note_first_ack(&mut self) {
        let Some(at) = self.change.promoted.take() else {
            return;
        };
        let took = self.now.since(at);
        let phase = Some((Phase::FirstAck, took));
        self.decide(What::FirstAck, self.change.trace, phase, vec![], vec![]);
    }

    fn decide(
        &mut self,
        what: What,
        trace: Trace,
        phase: Option<(Phase, Span)>,
        evidence: Vec<Fact>,
        ruled_out: Vec<Fact>,
    ) {
        let attempt = self.attempt.as_ref().map(|a| a.record.term);
        let decision = Decision {
            at: self.now,
            group: self.spec.group.clone(),
            term: attempt.unwrap_or(self.lead.term),
            trace,
            what,
            phase,
            evidence,
            ruled_out,
        };
        self.ring.push(decision.clone());
        self.out.push(Action::Decided(decision));
    }

    /// Makes a newer primary the one to route to.
    fn learn(&mut self, term: Term, primary: &InstanceId) {
        let known = self.lead.term == term && self.lead.primary.is_some();
        if term < self.lead.term || known {
            return;
        }
        self.lead = Lead {
            term,
            primary: Some(primary.clone()),
            since: self.now,
        };
        self.verdict = Verdict::Healthy;
        self.verdict_since = self.now;
        self.deposed = None;
        self.followed.clear();
        let reach = self.reach.entry(primary.clone()).or_default();
        (reach.fresh, reach.refused) = (None, 0);
        self.change.promoted = Some(self.now);
        let outcomes = self.confirm.begin(term);
        self.emit_confirmed(outcomes);
        for (id, seen) in &self.seen {
            self.confirm.observe(id, &seen.status);
        }
        let superseded = |a: &Attempt| a.record.term < term || !a.claimed();
        if self.attempt.as_ref().is_some_and(superseded) {
            self.attempt = None;
        }
        let ours = self.attempt.is_some();
        if !ours && term > Term(1) {
            let trace = self.change.trace;
            self.decide(What::Learnt(primary.clone()), trace, None, vec![], vec![]);
        }
    }

    fn draw(&mut self) -> u64 {
        self.rng.random()
    }

    fn query(&mut self) -> Query {
        self.queries += 1;
        Query(self.queries)
    }

    fn ask(&mut self, instance: &InstanceId, ask: Ask, channel: Channel) {
        let query = self.query();
        let reach = self.reach.entry(instance.clone()).or_default();
        let kind = match &ask {
            Ask::Status => Kind::Status,
            Ask::Wait { position, .. } => Kind::Wait(*position),
            Ask::Fence(_) | Ask::Promote(_) | Ask::Follow { .. } => Kind::Command,
        };
        match channel {
            Channel::Fresh => reach.ask_fresh(self.now),
            Channel::Steady if kind == Kind::Status => reach.ask(self.now),
            Channel::Steady => {}
        }
        let open = Outstanding {
            query,
            asked: self.now,
            kind,
        };
        self.polls.entry(instance.clone()).or_default().sent(open);
        self.out.push(Action::Ask {
            query,
            instance: instance.clone(),
            ask,
            channel,
        });
    }

    fn ask_store(&mut self, ask: StoreRequest) -> Query {
        let query = self.query();
        self.out.push(Action::Store { query, ask });
        query
    }

    fn tell(&mut self, to: Recipients, asks: bool) {
        let reach = self.lead.primary.as_ref().and_then(|p| self.reach.get(p));
        let reach = reach.copied().unwrap_or_default();
        let view = PeerReport {
            group: self.spec.group.clone(),
            proxy: self.me.id.clone(),
            location: self.me.location.clone(),
            term: self.lead.term,
            primary: self.lead.primary.clone(),
            heard: reach.age(self.now),
            silent: reach.silent(self.now),
            asks,
        };
        self.out.push(Action::Tell { to, view });
    }
}
