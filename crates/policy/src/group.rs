//! Controller of one database group: all decisions of one proxy about the group.
//!
//! [`Group::step`] processes one event and returns the resulting actions. The controller
//! reads no clock, opens no socket and takes its randomness from the given seed, so that
//! replaying the events repeats a run exactly.

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
use crate::poll::{Kind, Outstanding, Poll};
use crate::promote::Attempt;
use crate::read::Load;
use crate::spec::{LocalProxy, Spec};
use crate::status::Observation;
use waiting::Waiting;

/// Longest interval between two steps; retries and timeouts depend on it.
pub const TICK: Span = Span::from_millis(10);

/// The newest primary known to this proxy.
#[derive(Clone, Debug, Default)]
pub struct Leadership {
    /// Its term; term 0 before any is known.
    pub term: Term,
    /// The primary.
    pub primary: Option<InstanceId>,
    /// When this proxy learnt of it.
    pub since: Time,
}

/// The newest change of primary, for the measurement of its stages.
#[derive(Clone, Copy, Debug)]
struct Change {
    trace: TraceId,
    /// When the new primary was first seen to lead; cleared by the first confirmed write.
    promoted: Option<Time>,
}

/// Controller of one group in one proxy.
#[derive(Debug)]
pub struct Group {
    local_proxy: LocalProxy,
    spec: Spec,
    rng: SmallRng,
    started: Time,
    /// Time of the newest step. It rises strictly from step to step, so that queries sent
    /// before and after an event are distinguishable.
    now: Time,
    leadership: Leadership,
    change: Change,
    /// Newest known state of the leadership record.
    known_record: Option<Versioned>,
    observations: IndexMap<InstanceId, Observation>,
    reachability: IndexMap<InstanceId, Reachability>,
    polls: IndexMap<InstanceId, Poll>,
    loads: IndexMap<InstanceId, Load>,
    /// When each instance was last commanded to follow the primary.
    last_follow: IndexMap<InstanceId, Time>,
    live_proxies: Vec<Peer>,
    reports: IndexMap<ProxyId, ReceivedReport>,
    confirmations: Confirmations,
    freshness: Freshness,
    waiting: Vec<Waiting>,
    attempt: Option<Attempt>,
    /// When the current stage of the attempt began.
    stage_start: Time,
    /// This proxy starts no attempt before this time: another claimant is active.
    yield_until: Time,
    verdict: Verdict,
    verdict_since: Time,
    /// Since when the primary itself or a majority has promised a later term.
    deposed_since: Option<Time>,
    /// When the newest request for a route arrived.
    last_request: Option<Time>,
    last_report: Option<Time>,
    pending_read: Option<(QueryId, Time)>,
    last_query: u64,
    decisions: DecisionLog,
    actions: Vec<Action>,
}

impl Group {
    /// Creates a controller without any knowledge of the group's state.
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

    /// Processes one event and returns the resulting actions.
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

    /// This proxy's attempt to replace the primary, if one is under way.
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
        self.record_decision(What::FirstAck, self.change.trace, phase, vec![], vec![]);
    }

    fn record_decision(
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

    /// Routes to `primary` from now on, unless its term is old or already known.
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
        let reachability = self.reachability.entry(primary.clone()).or_default();
        (reachability.fresh_unanswered_since, reachability.refusals) = (None, 0);
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
            self.record_decision(What::Learnt(primary.clone()), trace, None, vec![], vec![]);
        }
    }

    fn random(&mut self) -> u64 {
        self.rng.random()
    }

    fn next_query(&mut self) -> QueryId {
        self.last_query += 1;
        QueryId(self.last_query)
    }

    fn send_command(&mut self, instance: &InstanceId, command: Command, channel: Channel) {
        let query = self.next_query();
        let reachability = self.reachability.entry(instance.clone()).or_default();
        let kind = match &command {
            Command::Status => Kind::Status,
            Command::Wait { position, .. } => Kind::Wait(*position),
            Command::Fence(_) | Command::Promote(_) | Command::Follow { .. } => Kind::Command,
        };
        match channel {
            Channel::Fresh => reachability.record_fresh_query(self.now),
            Channel::Persistent if kind == Kind::Status => reachability.record_query(self.now),
            Channel::Persistent => {}
        }
        let open = Outstanding {
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
        let reachability = self
            .leadership
            .primary
            .as_ref()
            .and_then(|p| self.reachability.get(p));
        let reachability = reachability.copied().unwrap_or_default();
        let report = PeerReport {
            group: self.spec.group.clone(),
            proxy: self.local_proxy.id.clone(),
            location: self.local_proxy.location.clone(),
            term: self.leadership.term,
            primary: self.leadership.primary.clone(),
            contact_age: reachability.contact_age(self.now),
            unresponsive_for: reachability.unresponsive_for(self.now),
            wants_reply,
        };
        self.actions.push(Action::Send { to, report });
    }
}
