//! How a group controller processes responses of instances, replies of the store and
//! reports of other proxies.

use model::id::InstanceId;
use model::position::Term;

use super::Group;
use crate::decision::{Fact, Phase, What};
use crate::failure_detector::ReceivedReport;
use crate::message::{PeerReport, QueryId, Recipients, StoreReply, Versioned};
use crate::promote::{Choice, Progress};
use crate::route::Failure;
use crate::status::{Observation, Status};

impl Group {
    pub(super) fn take_response(&mut self, query: QueryId, result: Result<Status, Failure>) {
        let mut polls = self.polls.iter_mut();
        let found = polls.find_map(|(id, p)| Some((id.clone(), p.answered(query)?)));
        let Some((instance, open)) = found else {
            return;
        };
        let reachability = self.reachability.entry(instance.clone()).or_default();
        match result {
            Ok(status) => {
                reachability.record_response(self.now);
                let seen = Observation {
                    status,
                    queried_at: open.asked,
                    received_at: self.now,
                };
                self.observe(&instance, seen);
            }
            // A failure does not end the time without a response.
            Err(Failure::Refused) => reachability.record_refusal(open.asked),
            Err(Failure::Broken) => reachability.record_fresh_query(open.asked),
            Err(Failure::Timeout | Failure::ReadOnly | Failure::Protocol) => {}
        }
    }

    fn observe(&mut self, instance: &InstanceId, seen: Observation) {
        let status = seen.status.clone();
        if status.leads() {
            self.set_primary(status.term(), instance);
        }
        self.confirmations.observe(instance, &status);
        // Responses on different connections may arrive out of order; only the response to
        // a later query replaces an observation.
        let newer = self
            .observations
            .get(instance)
            .is_none_or(|o| seen.queried_at >= o.queried_at);
        if newer {
            self.observations.insert(instance.clone(), seen);
        }
        if let Some(primary) = &self.leadership.primary {
            let majority = self.spec.majority();
            self.freshness
                .observe(self.leadership.term, primary, &self.observations, majority);
        }
        let now = self.now;
        let spec = &self.spec;
        let attempt = self.attempt.as_mut();
        let progress = attempt.and_then(|a| a.observe(now, spec, instance, &status));
        self.apply_progress(progress);
    }

    pub(super) fn take_store_reply(&mut self, query: QueryId, reply: StoreReply) {
        if self.pending_read.is_some_and(|(q, _)| q == query) {
            self.pending_read = None;
            if let StoreReply::Found(found) = reply {
                self.take_record(found);
            }
            return;
        }
        let now = self.now;
        let attempt = self.attempt.as_mut();
        let progress = attempt.and_then(|a| a.take_store_reply(now, query, reply));
        self.apply_progress(progress);
    }

    /// Applies a state of the record, unless a newer one is known.
    pub(super) fn take_record(&mut self, found: Versioned) {
        let newer = |k: &Versioned| found.revision >= k.revision;
        if !self.known_record.as_ref().is_none_or(newer) {
            return;
        }
        match &found.record {
            None => self.set_declared_primary(),
            Some(record) => {
                if let Some(primary) = record.primary.clone() {
                    self.set_primary(record.term, &primary);
                }
            }
        }
        self.known_record = Some(found);
    }

    /// Without a record no term was ever claimed, and the first declared instance is the
    /// primary of term 1.
    fn set_declared_primary(&mut self) {
        if let Some(first) = self.spec.members.keys().next().cloned() {
            self.set_primary(Term(1), &first);
        }
    }

    pub(super) fn take_report(&mut self, report: PeerReport) {
        if let Some(primary) = &report.primary {
            self.set_primary(report.term, primary);
        }
        let behind = report.term < self.leadership.term;
        if report.wants_reply || behind {
            self.send_report(Recipients::One(report.proxy.clone()), false);
        }
        let received_at = self.now;
        self.reports.insert(
            report.proxy.clone(),
            ReceivedReport {
                report,
                received_at,
            },
        );
    }

    /// Applies the progress of the attempt.
    pub(super) fn apply_progress(&mut self, progress: Option<Progress>) {
        let Some(progress) = progress else {
            return;
        };
        let trace = self.attempt.as_ref().map(|a| a.trace).unwrap_or_default();
        match progress {
            Progress::Claimed => self.end_stage(Phase::Claim, What::Claimed, vec![], vec![]),
            Progress::Chosen(Choice {
                instance,
                evidence,
                ruled_out,
            }) => self.end_stage(Phase::Fence, What::Chosen(instance), evidence, ruled_out),
            Progress::Promoted(primary) => {
                self.end_stage(
                    Phase::Promote,
                    What::Promoted(primary.clone()),
                    vec![],
                    vec![],
                );
                self.change.trace = trace;
                // The status that shows the new primary already caused `set_primary`.
                self.send_report(Recipients::All, false);
            }
            Progress::Published(primary, versioned) => {
                self.end_stage(Phase::Publish, What::Published(primary), vec![], vec![]);
                self.attempt = None;
                self.take_record(versioned);
            }
            Progress::Superseded(found) => self.handle_superseded(found),
            Progress::Fenced(instance, term) => {
                let fact = vec![Fact::Fenced(instance, term)];
                self.record_decision(What::Abandoned, trace, None, fact, vec![]);
                self.attempt = None;
                self.back_off();
            }
            Progress::TimedOut(instance) => {
                let fact = vec![Fact::NoAnswer(instance)];
                self.record_decision(What::Abandoned, trace, None, fact, vec![]);
                self.attempt = None;
            }
        }
    }

    /// Records the decision that ends a stage; the next stage begins now.
    fn end_stage(&mut self, phase: Phase, what: What, evidence: Vec<Fact>, ruled_out: Vec<Fact>) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let (trace, began) = (attempt.trace, self.stage_start);
        let took = self.now.since(began);
        self.stage_start = self.now;
        self.record_decision(what, trace, Some((phase, took)), evidence, ruled_out);
    }

    /// Ends an attempt whose claim was based on an outdated record.
    ///
    /// If the newer record belongs to a finished promotion or to this proxy, the next claim
    /// is based on it at once. If another claimant is active, it gets time to finish.
    fn handle_superseded(&mut self, found: Versioned) {
        let attempt = self.attempt.take();
        let record = found.record.clone();
        let finished =
            |r: &crate::leadership::Record| r.primary.is_some() && r.term <= self.leadership.term;
        let own = |r: &crate::leadership::Record| r.claimant == self.local_proxy.id;
        let over = record.as_ref().is_none_or(|r| finished(r) || own(r));
        if let (false, Some(record), Some(attempt)) = (over, &record, attempt) {
            let what = What::Outrun(record.claimant.clone());
            self.record_decision(what, attempt.trace, None, vec![], vec![]);
            self.back_off();
        }
        self.take_record(found);
    }
}
