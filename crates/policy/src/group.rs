//! Controller of one database group: everything that a proxy decides about it.
//!
//! One call of [`Group::step`] takes in one event and gives out the actions that follow.
//! It keeps no clock, opens no socket and draws its randomness from the given seed, so
//! that a run is repeated exactly by repeating its events.

mod repair;
mod responses;
mod step;
mod waiting;

use indexmap::IndexMap;
use model::id::{InstanceId, ProxyId};
use model::position::Term;
use model::unit::{Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::confirm::{self, Confirmations};
use crate::decision::{Decision, DecisionLog, Fact, Phase, TraceId, What};
use crate::failure_detector::{Reachability, ReceivedReport, Verdict};
use crate::freshness::Freshness;
use crate::message::{
    Action, Channel, Command, Event, Peer, PeerReport, QueryId, Recipients, RequestId,
    StoreRequest, Versioned,
};
use crate::poll::{Kind, Open, Poll};
use crate::promote::Attempt;
use crate::read::Load;
use crate::spec::{LocalProxy, Spec};
use crate::status::Observation;
use waiting::Waiting;

/// Span within which a step at most must follow the last one, so that retries and
/// timeouts take place.
pub const TICK: Span = Span::from_millis(10);

/// The newest primary that this proxy knows of.
#[derive(Clone, Debug, Default)]
pub struct Leadership {
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
    trace: TraceId,
    /// When the new primary was known to lead; taken by the first confirmed write.
    promoted: Option<Time>,
}

/// Controller of one group on one proxy.
#[derive(Debug)]
pub struct Group {
    local_proxy: LocalProxy,
    spec: Spec,
    rng: SmallRng,
    started: Time,
    /// Time of the newest step; every step has a later one than those before, so that
    /// "asked since" and "asked before" can be told apart.
    now: Time,
    leadership: Leadership,
    change: Change,
    /// The record in the store, as last heard.
    known_record: Option<Versioned>,
    observations: IndexMap<InstanceId, Observation>,
    reachability: IndexMap<InstanceId, Reachability>,
    polls: IndexMap<InstanceId, Poll>,
    loads: IndexMap<InstanceId, Load>,
    /// When each instance was last told to follow.
    last_follow: IndexMap<InstanceId, Time>,
    live_proxies: Vec<Peer>,
    reports: IndexMap<ProxyId, ReceivedReport>,
    confirmations: Confirmations,
    freshness: Freshness,
    waiting: Vec<Waiting>,
    attempt: Option<Attempt>,
    /// When the attempt's stage began.
    stage_start: Time,
    /// No attempt of our own before this moment: another claimant is at work.
    yield_until: Time,
    verdict: Verdict,
    verdict_since: Time,
    /// Since when a majority or the primary itself has promised a later term.
    deposed_since: Option<Time>,
    /// When a request last asked for a route.
    last_request: Option<Time>,
    last_report: Option<Time>,
    pending_read: Option<(QueryId, Time)>,
    last_query: u64,
    decisions: DecisionLog,
    actions: Vec<Action>,
}

impl Group {
    /// A controller that knows nothing of the group's state yet.
    pub fn new(now: Time, local_proxy: LocalProxy, spec: Spec, seed: u64) -> Self {
        Self {
            local_proxy,
            spec,
            rng: SmallRng::seed_from_u64(seed),
            started: now,
            now,
            leadership: Leadership::default(),
            change: Change {
                trace: TraceId::default(),
                promoted: None,
            },
            known_record: None,
            observations: IndexMap::new(),
            reachability: IndexMap::new(),
            polls: IndexMap::new(),
            loads: IndexMap::new(),
            last_follow: IndexMap::new(),
            live_proxies: Vec::new(),
            reports: IndexMap::new(),
            confirmations: Confirmations::default(),
            freshness: Freshness::default(),
            waiting: Vec::new(),
            attempt: None,
            stage_start: now,
            yield_until: now,
            verdict: Verdict::Healthy,
            verdict_since: now,
            deposed_since: None,
            last_request: None,
            last_report: None,
            pending_read: None,
            last_query: 0,
            decisions: DecisionLog::default(),
            actions: Vec::new(),
        }
    }

    /// Takes in one event and gives out what follows from it.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Action> {
        self.now = now.max(self.now + Span::from_micros(1));
        self.handle(event);
        self.run_due();
        std::mem::take(&mut self.actions)
    }

    /// The newest known primary.
    pub fn leadership(&self) -> &Leadership {
        &self.leadership
    }

    /// The attempt of this proxy to replace the primary, while there is one.
    pub fn attempt(&self) -> Option<&Attempt> {
        self.attempt.as_ref()
    }

    /// The newest decisions, oldest first.
    pub fn decisions(&self) -> impl Iterator<Item = &Decision> {
        self.decisions.iter()
    }

    /// The newest observation of each instance.
    pub fn observations(&self) -> &IndexMap<InstanceId, Observation> {
        &self.observations
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => {}
            Event::Configure(spec) => self.configure(*spec),
            Event::Peers(live) => self.live_proxies = live,
            Event::PeerReport(report) => self.take_report(report),
            Event::Response { query, result } => self.take_response(query, result),
            Event::Store { query, reply } => self.take_store_reply(query, reply),
            Event::Record(versioned) => self.take_record(versioned),
            Event::RouteWrite {
                request,
                point,
                deadline,
            } => self.enqueue(Waiting::write(request, point, self.now, deadline)),
            Event::RouteRead {
                request,
                need,
                deadline,
            } => self.enqueue(Waiting::read(request, need, self.now, deadline)),
            Event::Confirm {
                request,
                point,
                deadline,
            } => self.take_confirm(request, point, deadline),
            Event::Finished { instance, took } => {
                self.loads.entry(instance).or_default().finish(took);
            }
            Event::Released { instance } => {
                self.loads.entry(instance).or_default().release();
            }
            Event::Failed { instance, failure } => self.handle_failure(&instance, failure),
        }
    }

    fn configure(&mut self, spec: Spec) {
        self.observations
            .retain(|id, _| spec.members.contains_key(id));
        self.reachability
            .retain(|id, _| spec.members.contains_key(id));
        self.polls.retain(|id, _| spec.members.contains_key(id));
        self.spec = spec;
    }

    fn take_confirm(&mut self, request: RequestId, point: model::position::Point, deadline: Time) {
        let Some(primary) = self.leadership.primary.clone() else {
            let result = Err(crate::route::Unconfirmed::Replaced);
            self.actions.push(Action::Confirmed { request, result });
            return;
        };
        let added = self.confirmations.add(request, point, &primary, deadline);
        if let Err(e) = added {
            let result = Err(e);
            self.actions.push(Action::Confirmed { request, result });
        }
    }

    fn emit_confirmed(&mut self, outcomes: Vec<confirm::Outcome>) {
        for (request, result) in outcomes {
            if result.is_ok() {
                self.record_first_ack();
            }
            self.actions.push(Action::Confirmed { request, result });
        }
    }

    fn record_first_ack(&mut self) {
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
        trace: TraceId,
        phase: Option<(Phase, Span)>,
        evidence: Vec<Fact>,
        ruled_out: Vec<Fact>,
    ) {
        let attempt = self.attempt.as_ref().map(|a| a.record.term);
        let decision = Decision {
            at: self.now,
            group: self.spec.group.clone(),
            term: attempt.unwrap_or(self.leadership.term),
            trace,
            what,
            phase,
            evidence,
            ruled_out,
        };
        self.decisions.push(decision.clone());
        self.actions.push(Action::Decided(decision));
    }

    /// Makes a newer primary the one to route to.
    fn set_primary(&mut self, term: Term, primary: &InstanceId) {
        let known = self.leadership.term == term && self.leadership.primary.is_some();
        if term < self.leadership.term || known {
            return;
        }
        self.leadership = Leadership {
            term,
            primary: Some(primary.clone()),
            since: self.now,
        };
        self.verdict = Verdict::Healthy;
        self.verdict_since = self.now;
        self.deposed_since = None;
        self.last_follow.clear();
        let reach = self.reachability.entry(primary.clone()).or_default();
        (reach.fresh_unanswered_since, reach.refusals) = (None, 0);
        self.change.promoted = Some(self.now);
        let outcomes = self.confirmations.start_term(term);
        self.emit_confirmed(outcomes);
        for (id, seen) in &self.observations {
            self.confirmations.observe(id, &seen.status);
        }
        let superseded = |a: &Attempt| a.record.term < term || !a.has_claim();
        if self.attempt.as_ref().is_some_and(superseded) {
            self.attempt = None;
        }
        let ours = self.attempt.is_some();
        if !ours && term > Term(1) {
            let trace = self.change.trace;
            self.decide(What::Learnt(primary.clone()), trace, None, vec![], vec![]);
        }
    }

    fn random(&mut self) -> u64 {
        self.rng.random()
    }

    fn next_query(&mut self) -> QueryId {
        self.last_query += 1;
        QueryId(self.last_query)
    }

    fn send(&mut self, instance: &InstanceId, command: Command, channel: Channel) {
        let query = self.next_query();
        let reach = self.reachability.entry(instance.clone()).or_default();
        let kind = match &command {
            Command::Status => Kind::Status,
            Command::Wait { position, .. } => Kind::Wait(*position),
            Command::Fence(_) | Command::Promote(_) | Command::Follow { .. } => Kind::Order,
        };
        match channel {
            Channel::Fresh => reach.record_fresh_query(self.now),
            Channel::Persistent if kind == Kind::Status => reach.record_query(self.now),
            Channel::Persistent => {}
        }
        let open = Open {
            query,
            asked: self.now,
            kind,
        };
        self.polls.entry(instance.clone()).or_default().sent(open);
        self.actions.push(Action::Command {
            query,
            instance: instance.clone(),
            command,
            channel,
        });
    }

    fn query_store(&mut self, request: StoreRequest) -> QueryId {
        let query = self.next_query();
        self.actions.push(Action::Store { query, request });
        query
    }

    fn send_report(&mut self, to: Recipients, wants_reply: bool) {
        let reach = self
            .leadership
            .primary
            .as_ref()
            .and_then(|p| self.reachability.get(p));
        let reach = reach.copied().unwrap_or_default();
        let report = PeerReport {
            group: self.spec.group.clone(),
            proxy: self.local_proxy.id.clone(),
            location: self.local_proxy.location.clone(),
            term: self.leadership.term,
            primary: self.leadership.primary.clone(),
            contact_age: reach.contact_age(self.now),
            unresponsive_for: reach.unresponsive_for(self.now),
            wants_reply,
        };
        self.actions.push(Action::Send { to, report });
    }
}
