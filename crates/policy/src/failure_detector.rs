//! Decides whether an unresponsive primary has failed.
//!
//! A single dead connection, a stall of some 300 ms or a partitioned data centre is
//! frequent, while a failed primary is rare. Replacing a live primary interrupts every
//! writer, and waiting longer than needed extends every write gap. The verdict therefore
//! rests on three independent sources: fresh connections of this proxy, a majority of the
//! instances, and the proxies of other data centres.

use indexmap::IndexMap;
use model::id::{InstanceId, ProxyId};
use model::unit::{Span, Time};

use crate::decision::{Cause, Fact};
use crate::message::PeerReport;
use crate::spec::Spec;
use crate::status::{Observation, Role};

/// Time without a response after which fresh connections are tried and other proxies are
/// queried. It exceeds the round trip between regions (40 ms) plus the opening of a
/// connection (30 ms).
pub const PROBE_AFTER: Span = Span::from_millis(100);

/// Age up to which the status of a replica and the report of a peer are used. Both are
/// renewed every [`crate::poll::SUSPECT_INTERVAL`] while the primary is suspected, so that three
/// rounds may be lost.
pub const MAX_REPORT_AGE: Span = Span::from_millis(250);

/// Consecutive refused connections that prove that the process is gone. A single refusal
/// may be due to a listener that is just being opened.
const MIN_REFUSALS: u32 = 2;

/// Factor on the setting `suspect_after` for the replacement of a primary that proxies reach
/// but a majority of instances has no contact with. No write on it can be confirmed, but a
/// short partition between the instances heals by itself.
const ISOLATED_FACTOR: u64 = 2;

/// How an instance responds to this proxy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reachability {
    /// When its newest response arrived.
    pub last_response: Option<Time>,
    /// Start of the oldest query since then that is unanswered.
    pub unanswered_since: Option<Time>,
    /// Start of the oldest fresh connection since then that got no response.
    pub fresh_unanswered_since: Option<Time>,
    /// Number of fresh connections since then that were refused.
    pub refusals: u32,
}

impl Reachability {
    /// Records a response.
    pub fn record_response(&mut self, now: Time) {
        *self = Self {
            last_response: Some(now),
            unanswered_since: None,
            fresh_unanswered_since: None,
            refusals: 0,
        };
    }

    /// Records that a query is sent.
    pub fn record_query(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records the start of a query on a fresh connection.
    pub fn record_fresh_query(&mut self, now: Time) {
        self.record_query(now);
        self.fresh_unanswered_since.get_or_insert(now);
    }

    /// Records a refused connection for a query sent at `sent`: no process listens.
    pub fn record_refusal(&mut self, sent: Time) {
        self.record_fresh_query(sent);
        self.refusals += 1;
    }

    /// Time for which queries have been unanswered. Time in which no query was outstanding
    /// does not count: a proxy that was paused must not conclude from its own inactivity
    /// that the primary is unresponsive.
    pub fn unresponsive_for(&self, now: Time) -> Span {
        self.unanswered_since
            .map_or(Span::default(), |at| now.since(at))
    }

    /// Time since the newest response.
    pub fn contact_age(&self, now: Time) -> Option<Span> {
        self.last_response.map(|at| now.since(at))
    }

    /// Whether it has been unresponsive for `timeout`, and fresh connections have been tried
    /// for half that time.
    ///
    /// When a device between the ends drops the state of a connection, that connection never
    /// responds again while new ones work. A missing response on an open connection alone
    /// therefore proves nothing.
    pub fn is_lost(&self, now: Time, timeout: Span) -> bool {
        let half = Span::from_micros(timeout.as_micros() / 2);
        self.unresponsive_for(now) >= timeout
            && self
                .fresh_unanswered_since
                .is_some_and(|at| now.since(at) >= half)
    }
}

/// A peer's report with the time of its arrival.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    /// The report.
    pub report: PeerReport,
    /// When it arrived.
    pub received_at: Time,
}

/// What this proxy knows about a primary.
pub struct PrimaryView<'a> {
    /// The current time.
    pub now: Time,
    /// The group.
    pub spec: &'a Spec,
    /// The primary in question.
    pub primary: &'a InstanceId,
    /// Since when this proxy knows that it leads.
    pub since: Time,
    /// How it responds to this proxy.
    pub reachability: Reachability,
    /// Newest observation of each instance.
    pub observations: &'a IndexMap<InstanceId, Observation>,
    /// Newest report of each other proxy.
    pub reports: &'a IndexMap<ProxyId, ReceivedReport>,
}

/// What to do about a primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It responds.
    Healthy,
    /// It is unresponsive, but not known to have failed.
    Suspect,
    /// Other proxies reach it: requests are forwarded through this one.
    Forward(ProxyId),
    /// It is to be replaced.
    Replace(Cause),
}

impl PrimaryView<'_> {
    /// Time without a response after which the primary counts as failed. A stalled server
    /// keeps its listening socket, so that connections to it hang. If connections are
    /// refused, the process is gone, and half the time is enough: replacing a process that
    /// restarts within it does no harm, as its callers have lost their connections anyway.
    fn failure_timeout(&self) -> Span {
        let timeout = self.spec.settings.suspect_after;
        if self.reachability.refusals >= MIN_REFUSALS {
            Span::from_micros(timeout.as_micros() / 2)
        } else {
            timeout
        }
    }

    /// Evaluates the primary.
    pub fn verdict(&self) -> Verdict {
        let timeout = self.failure_timeout();
        let unresponsive_for = self.reachability.unresponsive_for(self.now);
        let isolated_after = self.spec.settings.suspect_after.times(ISOLATED_FACTOR);
        let established = self.now.since(self.since) >= isolated_after;
        if established && self.without_contact(isolated_after).len() >= self.spec.majority() {
            return Verdict::Replace(Cause::Isolated);
        }
        if unresponsive_for < PROBE_AFTER {
            return Verdict::Healthy;
        }
        if !self.reachability.is_lost(self.now, timeout) {
            return Verdict::Suspect;
        }
        // Proxies in the primary's data centre are on its side of a partition. If a majority
        // of the instances has no contact with the primary, no write through these proxies
        // can be acknowledged.
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

    /// Replicas whose recent status reports no contact with the primary for `timeout`.
    fn without_contact(&self, timeout: Span) -> Vec<(&InstanceId, Span)> {
        let no_contact = |(id, o): &(&InstanceId, &Observation)| {
            *id != self.primary
                && o.status.role == Role::Replica
                && self.now.since(o.queried_at) <= MAX_REPORT_AGE
                && o.status.contact_age >= timeout
        };
        let seen = self.observations.iter().filter(no_contact);
        seen.map(|(id, o)| (id, o.status.contact_age)).collect()
    }

    fn recent_reports(&self) -> impl Iterator<Item = &ReceivedReport> {
        let about = |h: &&ReceivedReport| h.report.primary.as_ref() == Some(self.primary);
        let recent = |h: &&ReceivedReport| self.now.since(h.received_at) <= MAX_REPORT_AGE;
        self.reports.values().filter(about).filter(recent)
    }

    fn reaching_peers(&self) -> impl Iterator<Item = &ReceivedReport> {
        self.recent_reports().filter(|h| reaches(&h.report))
    }

    /// The observations that the verdict rests on.
    pub fn evidence(&self) -> Vec<Fact> {
        let own = Fact::Silent(
            self.primary.clone(),
            self.reachability.unresponsive_for(self.now),
        );
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

/// Whether the sender reaches the primary: it got a recent response, and none is overdue.
fn reaches(report: &PeerReport) -> bool {
    report.unresponsive_for < PROBE_AFTER
        && report.contact_age.is_some_and(|age| age < MAX_REPORT_AGE)
}
