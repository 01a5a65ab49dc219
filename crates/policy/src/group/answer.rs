//! What a group controller takes from answers of instances, the store and other proxies.

use model::id::InstanceId;
use model::position::Term;

use super::Group;
use crate::decision::{Fact, Phase, What};
use crate::failure_detector::Heard;
use crate::message::{PeerReport, Query, Recipients, StoreReply, Versioned};
use crate::promote::{Choice, Progress};
use crate::route::Failure;
use crate::status::{Observed, Status};

impl Group {
    pub(super) fn take_answer(&mut self, query: Query, result: Result<Status, Failure>) {
        let mut polls = self.polls.iter_mut();
        let found = polls.find_map(|(id, p)| Some((id.clone(), p.answered(query)?)));
        let Some((instance, open)) = found else {
            return;
        };
        let reach = self.reach.entry(instance.clone()).or_default();
        match result {
            Ok(status) => {
                reach.answer(self.now);
                let seen = Observed {
                    status,
                    asked: open.asked,
                    seen: self.now,
                };
                self.observe(&instance, seen);
            }
            // The silence goes on.
            Err(Failure::Refused) => reach.refuse(open.asked),
            Err(Failure::Broken) => reach.ask_fresh(open.asked),
            Err(Failure::Timeout | Failure::ReadOnly | Failure::Protocol) => {}
        }
    }

    fn observe(&mut self, instance: &InstanceId, seen: Observed) {
        let status = seen.status.clone();
        if status.leads() {
            self.learn(status.term(), instance);
        }
        self.confirm.observe(instance, &status);
        // Answers overtake each other on different connections; only a question that was
        // sent later may replace what is known.
        let newer = self
            .seen
            .get(instance)
            .is_none_or(|o| seen.asked >= o.asked);
        if newer {
            self.seen.insert(instance.clone(), seen);
        }
        if let Some(primary) = &self.lead.primary {
            let majority = self.spec.majority();
            self.fresh
                .observe(self.lead.term, primary, &self.seen, majority);
        }
        let now = self.now;
        let spec = &self.spec;
        let attempt = self.attempt.as_mut();
        let progress = attempt.and_then(|a| a.observe(now, spec, instance, &status));
        self.progress(progress);
    }

    pub(super) fn take_store(&mut self, query: Query, answer: StoreReply) {
        if self.reading.is_some_and(|(q, _)| q == query) {
            self.reading = None;
            if let StoreReply::Found(found) = answer {
                self.take_record(found);
            }
            return;
        }
        let now = self.now;
        let attempt = self.attempt.as_mut();
        let progress = attempt.and_then(|a| a.store(now, query, answer));
        self.progress(progress);
    }

    /// News of the record; older news than what is known changes nothing.
    pub(super) fn take_record(&mut self, found: Versioned) {
        let newer = |k: &Versioned| found.revision >= k.revision;
        if !self.known.as_ref().is_none_or(newer) {
            return;
        }
        match &found.record {
            None => self.learn_declared(),
            Some(record) => {
                if let Some(primary) = record.primary.clone() {
                    self.learn(record.term, &primary);
                }
            }
        }
        self.known = Some(found);
    }

    /// Without a record no term was ever claimed: the first declared instance leads term 1.
    fn learn_declared(&mut self) {
        if let Some(first) = self.spec.members.keys().next().cloned() {
            self.learn(Term(1), &first);
        }
    }

    pub(super) fn take_view(&mut self, view: PeerReport) {
        if let Some(primary) = &view.primary {
            self.learn(view.term, primary);
        }
        let behind = view.term < self.lead.term;
        if view.asks || behind {
            self.tell(Recipients::One(view.proxy.clone()), false);
        }
        let at = self.now;
        self.views.insert(view.proxy.clone(), Heard { view, at });
    }

    /// Follows up on what became of the attempt's step.
    pub(super) fn progress(&mut self, progress: Option<Progress>) {
        let Some(progress) = progress else {
            return;
        };
        let trace = self.attempt.as_ref().map(|a| a.trace).unwrap_or_default();
        match progress {
            Progress::Claimed => self.ended(Phase::Claim, What::Claimed, vec![], vec![]),
            Progress::Chosen(Choice {
                instance,
                evidence,
                ruled_out,
            }) => self.ended(Phase::Fence, What::Chosen(instance), evidence, ruled_out),
            Progress::Promoted(primary) => {
                self.ended(
                    Phase::Promote,
                    What::Promoted(primary.clone()),
                    vec![],
                    vec![],
                );
                self.change.trace = trace;
                // The status that shows it led to `learn` already.
                self.tell(Recipients::All, false);
            }
            Progress::Published(primary, versioned) => {
                self.ended(Phase::Publish, What::Published(primary), vec![], vec![]);
                self.attempt = None;
                self.take_record(versioned);
            }
            Progress::Outrun(found) => self.outrun(found),
            Progress::Fenced(instance, term) => {
                let fact = vec![Fact::Fenced(instance, term)];
                self.decide(What::Abandoned, trace, None, fact, vec![]);
                self.attempt = None;
                self.give_way();
            }
            Progress::TimedOut(instance) => {
                let fact = vec![Fact::NoAnswer(instance)];
                self.decide(What::Abandoned, trace, None, fact, vec![]);
                self.attempt = None;
            }
        }
    }

    /// Records a decision that ends a stage; the next stage began at this moment.
    fn ended(&mut self, phase: Phase, what: What, evidence: Vec<Fact>, ruled_out: Vec<Fact>) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let (trace, began) = (attempt.trace, self.stage);
        let took = self.now.since(began);
        self.stage = self.now;
        self.decide(what, trace, Some((phase, took)), evidence, ruled_out);
    }

    /// The record was newer than the claim's basis. When it only tells of a promotion that
    /// is over, the next claim goes on top of it at once; when another claimant is at
    /// work, it gets the time to finish.
    fn outrun(&mut self, found: Versioned) {
        let attempt = self.attempt.take();
        let record = found.record.clone();
        let finished =
            |r: &crate::leadership::Record| r.primary.is_some() && r.term <= self.lead.term;
        let own = |r: &crate::leadership::Record| r.claimant == self.me.id;
        let over = record.as_ref().is_none_or(|r| finished(r) || own(r));
        if let (false, Some(record), Some(attempt)) = (over, &record, attempt) {
            let what = What::Outrun(record.claimant.clone());
            self.decide(what, attempt.trace, None, vec![], vec![]);
            self.give_way();
        }
        self.take_record(found);
    }
}
