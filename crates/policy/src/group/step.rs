//! What a group controller does in every step: evaluate and replace the primary, route
//! requests, poll instances and confirm writes.

use model::id::InstanceId;
use model::position::{Position, Term};
use model::unit::Span;

use super::Group;
use crate::decision::{Cause, Fact, Phase, What};
use crate::failure_detector::{PrimaryView, Verdict};
use crate::message::{Channel, Command, Peer, Recipients, StoreRequest};
use crate::poll::{self, Due};
use crate::promote::{Attempt, Request};
use crate::rank;

/// Delay between the attempts of proxies that are adjacent in rank. It covers claim and
/// fence with 20 ms between regions, so that the next proxy usually sees the fence and
/// starts no attempt.
const STAGGER: Span = Span::from_millis(150);

/// Number of proxies, first in rank, that open connections for commands as soon as they
/// suspect the primary. Usually only the first one needs them, and a backend server has
/// some 20 connections for the whole fleet.
const PREPARING_PROXIES: u64 = 2;

/// Time that another claimant gets to finish before this proxy claims the next term. A
/// whole attempt takes some 200 ms between regions; a claimant that is killed or paused
/// extends the write gap by this time.
const CLAIMANT_TIMEOUT: Span = Span::from_millis(500);

/// Time after a request during which instances are polled at the busy interval.
const BUSY_PERIOD: Span = Span::from_millis(1_000);

/// Interval at which an unanswered read of the record is repeated.
const READ_RETRY: Span = Span::from_millis(500);

/// Longest single wait of an instance for a position. The query is then repeated, so that
/// a lost response does not block a confirmation. It lies well below
/// [`crate::failure_detector::PROBE_AFTER`] because status queries queue behind it on the
/// same connection.
const MAX_WAIT: Span = Span::from_millis(50);

impl Group {
    pub(super) fn run_due(&mut self) {
        for poll in self.polls.values_mut() {
            poll.expire(self.now);
        }
        self.read_record();
        self.evaluate_primary();
        self.run_attempt();
        self.repair();
        self.route_waiting();
        self.poll_instances();
        self.settle_confirmations();
    }

    /// Reads the record once after the start. Later changes are learnt from instances and
    /// other proxies, which saves load on the store.
    fn read_record(&mut self) {
        if self.known_record.is_some() {
            return;
        }
        let pending = |at| self.now.since(at) < READ_RETRY;
        if self.pending_read.is_some_and(|(_, at)| pending(at)) {
            return;
        }
        let query = self.query_store(StoreRequest::Read);
        self.pending_read = Some((query, self.now));
    }

    fn primary_view<'a>(&'a self, primary: &'a InstanceId) -> PrimaryView<'a> {
        PrimaryView {
            now: self.now,
            spec: &self.spec,
            primary,
            since: self.leadership.since,
            reachability: self.reachability.get(primary).copied().unwrap_or_default(),
            observations: &self.observations,
            reports: &self.reports,
        }
    }

    fn evaluate_primary(&mut self) {
        self.check_deposed();
        let Some(primary) = self.leadership.primary.clone() else {
            return;
        };
        let leaving = self.spec.members.get(&primary).is_none_or(|m| m.leaving);
        let primary_view = self.primary_view(&primary);
        let verdict = match primary_view.verdict() {
            Verdict::Healthy if leaving => Verdict::Replace(Cause::Leaving),
            verdict => verdict,
        };
        let evidence = primary_view.evidence();
        if verdict != self.verdict {
            self.set_verdict(verdict, &primary, evidence);
        }
        let suspected = !matches!(
            self.verdict,
            Verdict::Healthy | Verdict::Replace(Cause::Leaving)
        );
        let reported = self
            .last_report
            .is_some_and(|at| self.now.since(at) < poll::SUSPECT_INTERVAL);
        if suspected && !reported {
            self.last_report = Some(self.now);
            self.send_report(Recipients::All, true);
        }
    }

    fn set_verdict(&mut self, verdict: Verdict, primary: &InstanceId, evidence: Vec<Fact>) {
        let trace = self.change.trace;
        let what = match &verdict {
            Verdict::Healthy => What::Cleared(primary.clone()),
            Verdict::Suspect => What::Doubt(primary.clone()),
            Verdict::Forward(peer) => What::Forward(peer.clone()),
            Verdict::Replace(cause) => What::Replace(primary.clone(), *cause),
        };
        let phase = matches!(verdict, Verdict::Replace(_)).then(|| {
            let reachability = self.reachability.get(primary).copied().unwrap_or_default();
            (Phase::Detect, reachability.unresponsive_for(self.now))
        });
        let suspected = verdict == Verdict::Suspect;
        self.verdict = verdict;
        self.verdict_since = self.now;
        if suspected && self.rank() < PREPARING_PROXIES {
            self.prepare_connections(primary);
        }
        self.record_decision(what, trace, phase, evidence, vec![]);
    }

    /// Queries the other instances on fresh connections, which the fence then reuses.
    /// Opening one to another region takes two round trips and the server's own time.
    fn prepare_connections(&mut self, primary: &InstanceId) {
        let others = self.spec.members.keys().filter(|id| *id != primary);
        let others: Vec<_> = others.cloned().collect();
        for other in others {
            self.send_command(&other, Command::Status, Channel::Fresh);
        }
    }

    /// Checks whether the primary or a majority has promised a later term: then a claim is
    /// in progress or was abandoned.
    fn check_deposed(&mut self) {
        let later = |id: &InstanceId| {
            let seen = self.observations.get(id);
            seen.is_some_and(|o| o.status.fenced > self.leadership.term)
        };
        let primary = self.leadership.primary.as_ref().is_some_and(later);
        let count = self.spec.members.keys().filter(|id| later(id)).count();
        if primary || count >= self.spec.majority() {
            self.deposed_since.get_or_insert(self.now);
        } else {
            self.deposed_since = None;
        }
    }

    pub(super) fn rank(&self) -> u64 {
        let me = Peer {
            id: self.local_proxy.id.clone(),
            location: self.local_proxy.location.clone(),
        };
        let primary = self.leadership.primary.as_ref();
        let member = primary.and_then(|p| self.spec.members.get(p));
        let lost = member.map(|m| &m.location.data_centre);
        rank::rank(&self.spec.group, &me, &self.live_proxies, lost)
    }

    /// The cause for an attempt of this proxy, once its delay by rank has passed.
    fn due_cause(&self) -> Option<Cause> {
        if self.now < self.yield_until {
            return None;
        }
        let stagger = STAGGER.times(self.rank());
        if let Some(since) = self.deposed_since {
            let due = Span::from_micros(CLAIMANT_TIMEOUT.as_micros() + stagger.as_micros());
            return (self.now.since(since) >= due).then_some(Cause::Abandoned);
        }
        let due = self.now.since(self.verdict_since) >= stagger;
        match self.verdict {
            Verdict::Replace(cause) if due => Some(cause),
            _ => None,
        }
    }

    fn run_attempt(&mut self) {
        self.drop_obsolete_attempt();
        if self.attempt.is_none()
            && let Some(cause) = self.due_cause()
        {
            self.start_attempt(cause);
        }
        let now = self.now;
        let progress = self.attempt.as_ref().and_then(|a| a.timed_out(now));
        self.apply_progress(progress);
        self.send_requests();
    }

    fn start_attempt(&mut self, cause: Cause) {
        let nonce = self.random();
        let floor = self.highest_term();
        let known = self.known_record.as_ref();
        let me = &self.local_proxy.id;
        let attempt = Attempt::new(self.now, me, cause, known, floor, nonce);
        self.attempt = Some(attempt);
        self.stage_start = self.now;
    }

    /// Drops an attempt without a claim, which has had no effect yet, if its cause is gone:
    /// a primary that responds again stays. Also drops an attempt whose promoted primary has
    /// failed before it was published, so that the next attempt can start.
    fn drop_obsolete_attempt(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let published = matches!(attempt.step, crate::promote::Step::Publishing(_));
        let stays = self.due_cause().is_none() && self.now >= self.yield_until;
        let failed_again = published && matches!(self.verdict, Verdict::Replace(_));
        if (!attempt.has_claim() && stays) || failed_again {
            self.attempt = None;
        }
    }

    /// Highest term that any instance reported or that is known to have a primary.
    fn highest_term(&self) -> Term {
        let seen = self
            .observations
            .values()
            .map(|o| o.status.fenced.max(o.status.term()));
        seen.max().unwrap_or_default().max(self.leadership.term)
    }

    pub(super) fn back_off(&mut self) {
        let jitter = self.random() % CLAIMANT_TIMEOUT.as_micros();
        self.yield_until = self.now + CLAIMANT_TIMEOUT + Span::from_micros(jitter);
    }

    fn send_requests(&mut self) {
        let now = self.now;
        let Some(attempt) = self.attempt.as_mut() else {
            return;
        };
        for request in attempt.requests(now, &self.spec) {
            match request {
                Request::Instance(id, command) => self.send_command(&id, command, Channel::Fresh),
                Request::Store(request) => {
                    let query = self.query_store(request);
                    if let Some(attempt) = self.attempt.as_mut() {
                        attempt.store_queried(now, query);
                    }
                }
            }
        }
    }

    fn poll_instances(&mut self) {
        let suspected = self.verdict != Verdict::Healthy || self.deposed_since.is_some();
        let busy = self
            .last_request
            .is_some_and(|at| self.now.since(at) < BUSY_PERIOD);
        let unproven = self.unproven_since();
        let every = match (unproven.is_some(), busy, suspected) {
            (true, ..) => poll::WAITING_INTERVAL,
            (_, true, _) => poll::BUSY_INTERVAL,
            (_, _, true) => poll::SUSPECT_INTERVAL,
            _ => poll::IDLE_INTERVAL,
        };
        let members: Vec<_> = self.spec.members.keys().cloned().collect();
        for member in members {
            let poll = self.polls.entry(member.clone()).or_default();
            let stale = unproven.is_some_and(|since| poll.needs_query(self.now, since));
            let due = match poll.due(self.now, every) {
                Due::Nothing if stale => Due::Persistent,
                due => due,
            };
            match due {
                Due::Nothing => {}
                Due::Persistent => self.send_command(&member, Command::Status, Channel::Persistent),
                Due::Fresh => self.send_command(&member, Command::Status, Channel::Fresh),
            }
        }
    }

    fn settle_confirmations(&mut self) {
        let primary_only = self.spec.settings.acknowledge == model::settings::Acknowledge::Primary;
        let majority = if primary_only {
            1
        } else {
            self.spec.majority()
        };
        let outcomes = self.confirmations.settle(self.now, majority);
        self.emit_confirmed(outcomes);
        let members: Vec<_> = self.spec.members.keys().cloned().collect();
        for member in members {
            let after = self.polls.get(&member).map(|p| p.awaited_position());
            let position = self
                .confirmations
                .next_wait(&member, after.unwrap_or_default());
            if let Some(position) = position {
                self.wait_for(&member, position);
            }
        }
    }

    fn wait_for(&mut self, member: &InstanceId, position: Position) {
        let command = Command::Wait {
            position,
            timeout: MAX_WAIT,
        };
        self.send_command(member, command, Channel::Persistent);
    }
}
