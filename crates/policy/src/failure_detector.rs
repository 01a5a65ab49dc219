//! Judgement of a primary that does not answer.
//!
//! Load: one silent connection, a stall of some 300 ms, or a data centre cut off from the
//! others are frequent, while a dead primary is rare. Replacing a live primary interrupts
//! every writer, and waiting longer than needed extends every write gap. So the verdict
//! needs three independent views: fresh connections of this proxy, a majority of the
//! instances, and the proxies of the other data centres.

use indexmap::IndexMap;
use model::id::{InstanceId, ProxyId};
use model::unit::{Span, Time};

use crate::decision::{Cause, Fact};
use crate::message::PeerReport;
use crate::spec::Spec;
use crate::status::{Observation, Role};

/// Silence after which fresh connections are tried and other proxies are asked. It lies
/// above the round trip between regions (40 ms) plus the opening of a connection (30 ms).
pub const PROBE_AFTER: Span = Span::from_millis(100);

/// Age up to which a replica's view and a peer's view count. Both are renewed every
/// [`crate::poll::DOUBT`] during doubt, so that this allows for three lost rounds.
pub const MAX_REPORT_AGE: Span = Span::from_millis(250);

/// Refused connections in a row that show that the process is gone: one may have met a
/// listener that was just being opened.
const MIN_REFUSALS: u32 = 2;

/// A primary that proxies reach but no majority of instances hears is replaced after this
/// many times the usual silence: it cannot have a write confirmed, but a short cut among
/// the instances heals by itself.
const ISOLATED_FACTOR: u64 = 2;

/// How an instance answers this proxy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reachability {
    /// When its newest answer arrived.
    pub last_response: Option<Time>,
    /// Start of the oldest question since then that brought no answer.
    pub unanswered_since: Option<Time>,
    /// Start of the oldest fresh connection since then that brought no answer.
    pub fresh_unanswered_since: Option<Time>,
    /// Fresh connections since then that were refused outright.
    pub refusals: u32,
}

impl Reachability {
    /// Takes in an answer.
    pub fn record_response(&mut self, now: Time) {
        *self = Self {
            last_response: Some(now),
            unanswered_since: None,
            fresh_unanswered_since: None,
            refusals: 0,
        };
    }

    /// Takes in a question that is sent.
    pub fn record_query(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Takes in the start of a fresh connection.
    pub fn record_fresh_query(&mut self, now: Time) {
        self.record_query(now);
        self.fresh_unanswered_since.get_or_insert(now);
    }

    /// Takes in a fresh connection that was refused: no process listens any more.
    pub fn record_refusal(&mut self, sent: Time) {
        self.record_fresh_query(sent);
        self.refusals += 1;
    }

    /// Time for which questions have gone without an answer. Time in which nothing was
    /// asked does not count: a proxy that was paused must not take its own silence for
    /// that of the primary.
    pub fn unresponsive_for(&self, now: Time) -> Span {
        self.unanswered_since
            .map_or(Span::default(), |at| now.since(at))
    }

    /// Time since the newest answer.
    pub fn contact_age(&self, now: Time) -> Option<Span> {
        self.last_response.map(|at| now.since(at))
    }

    /// Whether it is silent, and fresh connections have been tried for half that time.
    ///
    /// A connection that something between the ends has forgotten stays silent for good
    /// while new ones work; so silence on an open connection alone proves nothing.
    pub fn is_lost(&self, now: Time, timeout: Span) -> bool {
        let half = Span::from_micros(timeout.as_micros() / 2);
        self.unresponsive_for(now) >= timeout
            && self
                .fresh_unanswered_since
                .is_some_and(|at| now.since(at) >= half)
    }
}

/// A peer's view with the time of its arrival.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    /// What it said.
    pub report: PeerReport,
    /// When.
    pub received_at: Time,
}

/// What is known about a primary.
pub struct PrimaryView<'a> {
    /// The present.
    pub now: Time,
    /// The group.
    pub spec: &'a Spec,
    /// The primary in question.
    pub primary: &'a InstanceId,
    /// Since when it is known to lead.
    pub since: Time,
    /// How it answers this proxy.
    pub reach: Reachability,
    /// Newest observation of each instance.
    pub seen: &'a IndexMap<InstanceId, Observation>,
    /// Newest view of each other proxy.
    pub peers: &'a IndexMap<ProxyId, ReceivedReport>,
}

/// What to do about a primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answers.
    Healthy,
    /// It is silent, but not proven lost.
    Suspect,
    /// Other proxies reach it: go through this one.
    Forward(ProxyId),
    /// It is to be replaced.
    Replace(Cause),
}

impl PrimaryView<'_> {
    /// Silence that counts as loss. A stalled server keeps its socket open, so that
    /// connections to it hang; where they are refused, the process is gone, and half the
    /// time is enough. A process that restarts within it is replaced without harm, as
    /// its callers have lost their connections anyway.
    fn failure_timeout(&self) -> Span {
        let timeout = self.spec.settings.suspect_after;
        if self.reach.refusals >= MIN_REFUSALS {
            Span::from_micros(timeout.as_micros() / 2)
        } else {
            timeout
        }
    }

    /// Judges the primary.
    pub fn verdict(&self) -> Verdict {
        let timeout = self.failure_timeout();
        let unresponsive_for = self.reach.unresponsive_for(self.now);
        let isolated_after = self.spec.settings.suspect_after.times(ISOLATED_FACTOR);
        let established = self.now.since(self.since) >= isolated_after;
        if established && self.without_contact(isolated_after).len() >= self.spec.majority() {
            return Verdict::Replace(Cause::Isolated);
        }
        if unresponsive_for < PROBE_AFTER {
            return Verdict::Healthy;
        }
        if !self.reach.is_lost(self.now, timeout) {
            return Verdict::Suspect;
        }
        // Proxies beside the primary share its side of a cut. When no majority of the
        // instances hears it, nothing that they write there could be acknowledged.
        if let Some(peer) = self.reaching_peers().find(|h| !self.same_data_centre(h)) {
            return Verdict::Forward(peer.report.proxy.clone());
        }
        if self.without_contact(timeout).len() >= self.spec.majority() {
            return Verdict::Replace(Cause::Unreachable);
        }
        match self.reaching_peers().next() {
            Some(peer) => Verdict::Forward(peer.report.proxy.clone()),
            None => Verdict::Suspect,
        }
    }

    /// Whether the peer runs in the primary's data centre.
    fn same_data_centre(&self, peer: &ReceivedReport) -> bool {
        let primary = self.spec.members.get(self.primary);
        primary.is_some_and(|m| m.location.data_centre == peer.report.location.data_centre)
    }

    /// Replicas that have not heard the primary for `after`, by their own recent word.
    fn without_contact(&self, timeout: Span) -> Vec<(&InstanceId, Span)> {
        let no_contact = |(id, o): &(&InstanceId, &Observation)| {
            *id != self.primary
                && o.status.role == Role::Replica
                && self.now.since(o.queried_at) <= MAX_REPORT_AGE
                && o.status.contact_age >= timeout
        };
        let seen = self.seen.iter().filter(no_contact);
        seen.map(|(id, o)| (id, o.status.contact_age)).collect()
    }

    fn recent_reports(&self) -> impl Iterator<Item = &ReceivedReport> {
        let about = |h: &&ReceivedReport| h.report.primary.as_ref() == Some(self.primary);
        let recent = |h: &&ReceivedReport| self.now.since(h.received_at) <= MAX_REPORT_AGE;
        self.peers.values().filter(about).filter(recent)
    }

    fn reaching_peers(&self) -> impl Iterator<Item = &ReceivedReport> {
        self.recent_reports().filter(|h| reaches(&h.report))
    }

    /// The observations behind the verdict.
    pub fn evidence(&self) -> Vec<Fact> {
        let own = Fact::Silent(self.primary.clone(), self.reach.unresponsive_for(self.now));
        let mut facts = vec![own];
        let without_contact = self.without_contact(self.failure_timeout());
        facts.extend(
            without_contact
                .iter()
                .map(|(i, s)| Fact::Unheard((*i).clone(), *s)),
        );
        facts.extend(self.recent_reports().map(|h| match h.report.contact_age {
            Some(age) if reaches(&h.report) => Fact::Reached(h.report.proxy.clone(), age),
            _ => Fact::Unreached(h.report.proxy.clone()),
        }));
        facts
    }
}

/// Whether the speaker reaches the primary: it has a recent answer and waits for none.
fn reaches(report: &PeerReport) -> bool {
    report.unresponsive_for < PROBE_AFTER
        && report.contact_age.is_some_and(|age| age < MAX_REPORT_AGE)
}
