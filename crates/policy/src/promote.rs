//! One attempt to give a group its next primary.
//!
//! Claim the next term by compare-and-swap, fence a majority at it, choose, promote,
//! publish. Each step may be sent again without harm, and whoever finds a half-finished
//! attempt starts one of its own under a higher term; safety rests on the claim and the
//! fence alone, never on who is believed to coordinate.

use indexmap::IndexMap;
use model::id::{InstanceId, ProxyId};
use model::position::{Point, Revision, Term};
use model::unit::{Span, Time};

use crate::decision::{Cause, Fact, TraceId};
use crate::leadership::Record;
use crate::message::{Command, QueryId, StoreReply, StoreRequest, Versioned};
use crate::spec::Spec;
use crate::status::Status;

/// Interval at which an unanswered order to an instance is sent again.
pub const COMMAND_RETRY: Span = Span::from_millis(100);

/// Time for an answer of the store before the request is made again. A slow store that
/// answers later is still understood, since requests carry a nonce.
pub const STORE_RETRY: Span = Span::from_millis(300);

/// Time for the chosen instance to lead. Then the next term is claimed: under one term
/// never more than one instance may be promoted, as the first may have obeyed unseen.
const PROMOTE_TIMEOUT: Span = Span::from_millis(400);

/// Stage of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The record is being read, to claim the term after it.
    Reading,
    /// The claim is under way.
    Claiming,
    /// The claim's answer was lost; the record is being read to see whether it holds.
    Settling,
    /// The term is claimed at this revision; a majority is being fenced.
    Fencing,
    /// This instance was told to lead.
    Promoting(InstanceId),
    /// This instance leads; the record is being written.
    Publishing(InstanceId),
}

/// What an attempt asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// A request to the store.
    Store(StoreRequest),
    /// An order to an instance.
    Instance(InstanceId, Command),
}

/// What became of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The term is claimed.
    Claimed,
    /// Another proxy's record is newer; the attempt is over.
    Superseded(Versioned),
    /// An instance promised a later term; the attempt is over.
    Fenced(InstanceId, Term),
    /// An instance was chosen among the fenced majority.
    Chosen(Choice),
    /// The chosen instance leads.
    Promoted(InstanceId),
    /// The chosen instance did not lead in time; the attempt is over.
    TimedOut(InstanceId),
    /// The record names the primary; the attempt is over.
    Published(InstanceId, Versioned),
}

/// The chosen instance, with what spoke for it and what ruled out the others.
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
    /// Why there is one.
    pub cause: Cause,
    /// Links its decisions.
    pub trace: TraceId,
    /// What is or will be claimed.
    pub record: Record,
    /// Stage reached.
    pub step: Step,
    /// When the stage began.
    pub since: Time,
    revision: Revision,
    fenced: IndexMap<InstanceId, Status>,
    queries: Vec<QueryId>,
    store_sent: Option<Time>,
    commanded: IndexMap<InstanceId, Time>,
}

impl Attempt {
    /// An attempt from the newest known record, or from reading it when none is known.
    /// `floor` is the highest term seen anywhere; the claim lies above it.
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

    /// Whether the claim holds, so that orders may go out under its term.
    pub fn has_claim(&self) -> bool {
        !matches!(self.step, Step::Reading | Step::Claiming | Step::Settling)
    }

    /// Takes in an answer of the store.
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

    /// A lost answer is settled by reading: the record carries the nonce of its writer.
    /// If it is the one that the claim was based on, the claim may still be on its way;
    /// sending it again is safe since only one of the two can meet the revision.
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

    /// Takes in a status of an instance, whatever question it answers: once fenced at the
    /// claimed term, a log stays as it is until the term has a primary.
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
        // A planned change has the leaving primary among the first to be fenced; another
        // answer lets one be chosen that stays.
        if leaving && !complete && now.since(self.since) < PROMOTE_TIMEOUT {
            return None;
        }
        self.enter_step(now, Step::Promoting(choice.instance.clone()));
        Some(Progress::Chosen(choice))
    }

    /// What is to be sent now; the caller names store requests by `note_store`.
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

    /// Notes the name that a store request went out under.
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

    /// Whether the chosen instance took too long.
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
/// An acknowledged record is held by a majority, so any majority has an instance with it.
/// An instance is safe when a majority of logs, its own included, end no later than its
/// log does. Among the safe ones those that stay in service go first, then the longest
/// log, then the order of declaration.
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
