//! One attempt to promote the next primary of a group.
//!
//! An attempt claims the next term by compare-and-swap, fences a majority of instances at
//! that term, chooses an instance, promotes it and publishes it in the record. Each step may
//! be repeated without harm. A proxy that finds an unfinished attempt starts its own under a
//! higher term. Safety rests on the claim and the fence alone, not on which proxy is believed
//! to be the coordinator.

use indexmap::IndexMap;
use model::id::{InstanceId, ProxyId};
use model::position::{Point, Revision, Term};
use model::unit::{Span, Time};

use crate::decision::{Cause, Fact, TraceId};
use crate::leadership::Record;
use crate::message::{Command, QueryId, StoreReply, StoreRequest, Versioned};
use crate::spec::Spec;
use crate::status::Status;

/// Interval at which an unanswered command to an instance is repeated.
pub const COMMAND_RETRY: Span = Span::from_millis(100);

/// Time after which an unanswered request to the store is repeated. A later reply to the
/// first request is still accepted; the nonce in the record identifies the claim.
pub const STORE_RETRY: Span = Span::from_millis(300);

/// Time in which the chosen instance must become the primary. After it the attempt ends, and
/// a new one claims the next term: under one term at most one instance may be promoted, as
/// the first may have carried out the command although its response was lost.
const PROMOTE_TIMEOUT: Span = Span::from_millis(400);

/// Step of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The record is being read, to claim a term above the record's.
    Reading,
    /// The claim is sent.
    Claiming,
    /// The reply to the claim was lost; the record is being read to find out whether the
    /// claim took effect.
    Settling,
    /// The term is claimed; a majority is being fenced.
    Fencing,
    /// This instance is commanded to become the primary.
    Promoting(InstanceId),
    /// This instance leads; the record is being written.
    Publishing(InstanceId),
}

/// A request of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// A request to the store.
    Store(StoreRequest),
    /// A command to an instance.
    Instance(InstanceId, Command),
}

/// Outcome of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The term is claimed.
    Claimed,
    /// The record has changed since the claim was based on it; the attempt is over.
    Superseded(Versioned),
    /// An instance promised a later term; the attempt is over.
    Fenced(InstanceId, Term),
    /// An instance was chosen among the fenced majority.
    Chosen(Choice),
    /// The chosen instance is the primary.
    Promoted(InstanceId),
    /// The chosen instance did not become the primary in time; the attempt is over.
    TimedOut(InstanceId),
    /// The record names the primary; the attempt is over.
    Published(InstanceId, Versioned),
}

/// The chosen instance, with the evidence and what ruled out the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The instance.
    pub instance: InstanceId,
    /// Ends of the fenced logs.
    pub evidence: Vec<Fact>,
    /// Why the others were not chosen.
    pub ruled_out: Vec<Fact>,
}

/// An attempt under way.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Why the primary is replaced.
    pub cause: Cause,
    /// Identifier shared by its decisions.
    pub trace: TraceId,
    /// The record that is or will be written by the claim.
    pub record: Record,
    /// Current step.
    pub step: Step,
    /// When the step began; `Reading` to `Settling` count as one.
    pub since: Time,
    revision: Revision,
    fenced: IndexMap<InstanceId, Status>,
    queries: Vec<QueryId>,
    store_sent: Option<Time>,
    commanded: IndexMap<InstanceId, Time>,
}

impl Attempt {
    /// Creates an attempt based on the newest known record; if none is known, the attempt
    /// reads it first. `floor` is the highest known term; the claimed term lies above it.
    pub fn new(
        now: Time,
        me: &ProxyId,
        cause: Cause,
        known: Option<&Versioned>,
        floor: Term,
        nonce: u64,
    ) -> Self {
        let record = Record {
            term: floor.next(),
            primary: None,
            claimant: me.clone(),
            nonce,
        };
        let mut attempt = Self {
            cause,
            trace: TraceId(nonce),
            record,
            step: Step::Reading,
            since: now,
            revision: Revision(0),
            fenced: IndexMap::new(),
            queries: Vec::new(),
            store_sent: None,
            commanded: IndexMap::new(),
        };
        if let Some(known) = known {
            attempt.base_on(known);
        }
        attempt
    }

    fn base_on(&mut self, known: &Versioned) {
        let above = known.record.as_ref().map_or(Term(0), |r| r.term).next();
        self.record.term = self.record.term.max(above);
        self.revision = known.revision;
        self.step = Step::Claiming;
        self.store_sent = None;
        self.queries.clear();
    }

    fn enter_step(&mut self, now: Time, step: Step) {
        self.step = step;
        self.since = now;
        self.store_sent = None;
        self.queries.clear();
        self.commanded.clear();
    }

    /// Whether the claim took effect, so that commands may be sent under its term.
    pub fn has_claim(&self) -> bool {
        !matches!(self.step, Step::Reading | Step::Claiming | Step::Settling)
    }

    /// Processes a reply of the store.
    pub fn take_store_reply(
        &mut self,
        now: Time,
        query: QueryId,
        reply: StoreReply,
    ) -> Option<Progress> {
        if !self.queries.contains(&query) {
            return None;
        }
        match (&self.step, reply) {
            (Step::Reading, StoreReply::Found(found)) => {
                self.base_on(&found);
                None
            }
            (Step::Claiming | Step::Settling, StoreReply::Swapped(revision)) => {
                Some(self.claim_won(now, revision))
            }
            (Step::Claiming | Step::Settling, StoreReply::Found(found)) => self.settle(now, found),
            (Step::Claiming, StoreReply::Unknown) => {
                self.step = Step::Settling;
                self.store_sent = None;
                None
            }
            (Step::Publishing(primary), StoreReply::Swapped(revision)) => {
                let primary = primary.clone();
                Some(self.published(primary, revision))
            }
            (Step::Publishing(_), StoreReply::Found(found)) => self.check_published(found),
            _ => None,
        }
    }

    fn claim_won(&mut self, now: Time, revision: Revision) -> Progress {
        self.revision = revision;
        self.enter_step(now, Step::Fencing);
        Progress::Claimed
    }

    /// Determines whether the claim took effect: the record contains its writer's nonce.
    ///
    /// If the record is still the one that the claim was based on, the claim may still be in
    /// transit. Repeating it is safe, since only one of the two can match the revision.
    fn settle(&mut self, now: Time, found: Versioned) -> Option<Progress> {
        let ours = found.record.as_ref().is_some_and(|r| *r == self.record);
        if ours {
            return Some(self.claim_won(now, found.revision));
        }
        if found.revision == self.revision {
            self.step = Step::Claiming;
            self.store_sent = None;
            return None;
        }
        Some(Progress::Superseded(found))
    }

    fn published(&self, primary: InstanceId, revision: Revision) -> Progress {
        let mut record = self.record.clone();
        record.primary = Some(primary.clone());
        let record = Some(record);
        Progress::Published(primary, Versioned { revision, record })
    }

    fn check_published(&mut self, found: Versioned) -> Option<Progress> {
        let record = found.record.as_ref()?;
        if record.nonce != self.record.nonce {
            return Some(Progress::Superseded(found));
        }
        match record.primary.clone() {
            Some(primary) => Some(Progress::Published(primary, found)),
            None => {
                self.revision = found.revision;
                self.store_sent = None;
                None
            }
        }
    }

    /// Processes a status of an instance, whichever query it responds to: the log of an
    /// instance fenced at the claimed term does not change until the term has a primary.
    pub fn observe(
        &mut self,
        now: Time,
        spec: &Spec,
        instance: &InstanceId,
        status: &Status,
    ) -> Option<Progress> {
        if !self.has_claim() {
            return None;
        }
        if status.fenced > self.record.term {
            return Some(Progress::Fenced(instance.clone(), status.fenced));
        }
        match &self.step {
            Step::Fencing if status.fenced == self.record.term => {
                self.fenced.insert(instance.clone(), status.clone());
                self.choose(now, spec)
            }
            Step::Promoting(chosen)
                if chosen == instance && status.leads() && status.term() == self.record.term =>
            {
                let chosen = chosen.clone();
                self.enter_step(now, Step::Publishing(chosen.clone()));
                Some(Progress::Promoted(chosen))
            }
            _ => None,
        }
    }

    fn choose(&mut self, now: Time, spec: &Spec) -> Option<Progress> {
        let choice = choose(spec, &self.fenced)?;
        let leaving = spec
            .members
            .get(&choice.instance)
            .is_some_and(|m| m.leaving);
        let complete = self.fenced.len() == spec.members.len();
        // In a planned change the leaving primary is usually among the first fenced instances;
        // waiting for another response allows the choice of an instance that stays.
        if leaving && !complete && now.since(self.since) < PROMOTE_TIMEOUT {
            return None;
        }
        self.enter_step(now, Step::Promoting(choice.instance.clone()));
        Some(Progress::Chosen(choice))
    }

    /// Requests to send now; after a request to the store the caller calls `store_queried`.
    pub fn requests(&mut self, now: Time, spec: &Spec) -> Vec<Request> {
        match self.step.clone() {
            Step::Reading | Step::Settling => self.query_store(now, StoreRequest::Read),
            Step::Claiming => self.swap(now, None),
            Step::Fencing => {
                let members = spec.members.keys();
                let unfenced = members.filter(|m| !self.fenced.contains_key(*m));
                let unfenced: Vec<_> = unfenced.cloned().collect();
                let fence = Command::Fence(self.record.term);
                let due = unfenced.into_iter().filter(|m| self.command_due(now, m));
                let due: Vec<_> = due.collect();
                due.into_iter()
                    .map(|m| self.command(now, m, fence.clone()))
                    .collect()
            }
            Step::Promoting(chosen) if self.command_due(now, &chosen) => {
                vec![self.command(now, chosen, Command::Promote(self.record.term))]
            }
            Step::Promoting(_) => Vec::new(),
            Step::Publishing(primary) => self.swap(now, Some(primary)),
        }
    }

    fn swap(&self, now: Time, primary: Option<InstanceId>) -> Vec<Request> {
        let mut record = self.record.clone();
        record.primary = primary;
        let expected = self.revision;
        self.query_store(now, StoreRequest::Swap { expected, record })
    }

    fn query_store(&self, now: Time, request: StoreRequest) -> Vec<Request> {
        let waiting = self
            .store_sent
            .is_some_and(|at| now.since(at) < STORE_RETRY);
        if waiting {
            Vec::new()
        } else {
            vec![Request::Store(request)]
        }
    }

    /// Records the id of a sent request to the store.
    pub fn store_queried(&mut self, now: Time, query: QueryId) {
        self.queries.push(query);
        self.store_sent = Some(now);
    }

    fn command_due(&self, now: Time, instance: &InstanceId) -> bool {
        let last = self.commanded.get(instance);
        last.is_none_or(|at| now.since(*at) >= COMMAND_RETRY)
    }

    fn command(&mut self, now: Time, instance: InstanceId, command: Command) -> Request {
        self.commanded.insert(instance.clone(), now);
        Request::Instance(instance, command)
    }

    /// Whether the promotion of the chosen instance timed out.
    pub fn timed_out(&self, now: Time) -> Option<Progress> {
        match &self.step {
            Step::Promoting(chosen) if now.since(self.since) >= PROMOTE_TIMEOUT => {
                Some(Progress::TimedOut(chosen.clone()))
            }
            _ => None,
        }
    }
}

/// Chooses the next primary among fenced instances.
///
/// An acknowledged record is held by a majority, so any majority contains an instance that
/// holds it. An instance is safe to promote when a majority of logs, its own included, end no
/// later than its log. Among the safe instances, those that are not leaving are preferred,
/// then the one with the newest end of its log, then the first declared.
pub fn choose(spec: &Spec, fenced: &IndexMap<InstanceId, Status>) -> Option<Choice> {
    let safe = |end: Point| fenced.values().filter(|s| s.end() <= end).count() >= spec.majority();
    let mut best: Option<(&InstanceId, (bool, Point))> = None;
    for (id, member) in &spec.members {
        let Some(status) = fenced.get(id).filter(|s| safe(s.end())) else {
            continue;
        };
        let rank = (!member.leaving, status.end());
        if best.is_none_or(|(_, b)| rank > b) {
            best = Some((id, rank));
        }
    }
    let (instance, _) = best?;
    let end = |(id, s): (&InstanceId, &Status)| Fact::End(id.clone(), s.end());
    Some(Choice {
        instance: instance.clone(),
        evidence: fenced.iter().map(end).collect(),
        ruled_out: ruled_out(spec, fenced, instance),
    })
}

fn ruled_out(spec: &Spec, fenced: &IndexMap<InstanceId, Status>, chosen: &InstanceId) -> Vec<Fact> {
    let others = spec.members.iter().filter(|(id, _)| *id != chosen);
    others
        .map(|(id, member)| match fenced.get(id) {
            None => Fact::NoAnswer(id.clone()),
            Some(_) if member.leaving => Fact::Leaving(id.clone()),
            Some(s) => Fact::End(id.clone(), s.end()),
        })
        .collect()
}
