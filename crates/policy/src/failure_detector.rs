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
use crate::status::{Observed, Role};

/// Silence after which fresh connections are tried and other proxies are asked. It lies
/// above the round trip between regions (40 ms) plus the opening of a connection (30 ms).
pub const DOUBT_AFTER: Span = Span::from_millis(100);

/// Age up to which a replica's view and a peer's view count. Both are renewed every
/// [`crate::poll::SUSPECT_INTERVAL`] during doubt, so that this allows for three lost rounds.
pub const VIEW_AGE: Span = Span::from_millis(250);

/// Refused connections in a row that show that the process is gone: one may have met a
/// listener that was just being opened.
const REFUSALS: u32 = 2;

/// A primary that proxies reach but no majority of instances hears is replaced after this
/// many times the usual silence: it cannot have a write confirmed, but a short cut among
/// the instances heals by itself.
const ISOLATED_FACTOR: u64 = 2;

/// How an instance answers this proxy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reach {
    /// When its newest answer arrived.
    pub answered: Option<Time>,
    /// Start of the oldest question since then that brought no answer.
    pub asked: Option<Time>,
    /// Start of the oldest fresh connection since then that brought no answer.
    pub fresh: Option<Time>,
    /// Fresh connections since then that were refused outright.
    pub refused: u32,
}

impl Reach {
    /// Takes in an answer.
    pub fn answer(&mut self, now: Time) {
        *self = Self {
            answered: Some(now),
            asked: None,
            fresh: None,
            refused: 0,
        };
    }

    /// Takes in a question that is sent.
    pub fn ask(&mut self, now: Time) {
        self.asked.get_or_insert(now);
    }

    /// Takes in the start of a fresh connection.
    pub fn ask_fresh(&mut self, now: Time) {
        self.ask(now);
        self.fresh.get_or_insert(now);
    }

    /// Takes in a fresh connection that was refused: no process listens any more.
    pub fn refuse(&mut self, asked: Time) {
        self.ask_fresh(asked);
        self.refused += 1;
    }

    /// Time for which questions have gone without an answer. Time in which nothing was
    /// asked does not count: a proxy that was paused must not take its own silence for
    /// that of the primary.
    pub fn silent(&self, now: Time) -> Span {
        self.asked.map_or(Span::default(), |at| now.since(at))
    }

    /// Time since the newest answer.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.answered.map(|at| now.since(at))
    }

    /// Whether it is silent, and fresh connections have been tried for half that time.
    ///
    /// A connection that something between the ends has forgotten stays silent for good
    /// while new ones work; so silence on an open connection alone proves nothing.
    pub fn lost(&self, now: Time, after: Span) -> bool {
        let half = Span::from_micros(after.as_micros() / 2);
        self.silent(now) >= after && self.fresh.is_some_and(|at| now.since(at) >= half)
    }
}

/// A peer's view with the time of its arrival.
#[derive(Clone, Debug)]
pub struct Heard {
    /// What it said.
    pub view: PeerReport,
    /// When.
    pub at: Time,
}

/// What is known about a primary.
pub struct View<'a> {
    /// The present.
    pub now: Time,
    /// The group.
    pub spec: &'a Spec,
    /// The primary in question.
    pub primary: &'a InstanceId,
    /// Since when it is known to lead.
    pub since: Time,
    /// How it answers this proxy.
    pub reach: Reach,
    /// Newest observation of each instance.
    pub seen: &'a IndexMap<InstanceId, Observed>,
    /// Newest view of each other proxy.
    pub peers: &'a IndexMap<ProxyId, Heard>,
}

/// What to do about a primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answers.
    Healthy,
    /// It is silent, but not proven lost.
    Doubt,
    /// Other proxies reach it: go through this one.
    Forward(ProxyId),
    /// It is to be replaced.
    Replace(Cause),
}

impl View<'_> {
    /// Silence that counts as loss. A stalled server keeps its socket open, so that
    /// connections to it hang; where they are refused, the process is gone, and half the
    /// time is enough. A process that restarts within it is replaced without harm, as
    /// its callers have lost their connections anyway.
    fn patience(&self) -> Span {
        let after = self.spec.settings.suspect_after;
        if self.reach.refused >= REFUSALS {
            Span::from_micros(after.as_micros() / 2)
        } else {
            after
        }
    }

    /// Judges the primary.
    pub fn judge(&self) -> Verdict {
        let after = self.patience();
        let silent = self.reach.silent(self.now);
        let long = self.spec.settings.suspect_after.times(ISOLATED_FACTOR);
        let settled = self.now.since(self.since) >= long;
        if settled && self.unheard(long).len() >= self.spec.majority() {
            return Verdict::Replace(Cause::Isolated);
        }
        if silent < DOUBT_AFTER {
            return Verdict::Healthy;
        }
        if !self.reach.lost(self.now, after) {
            return Verdict::Doubt;
        }
        // Proxies beside the primary share its side of a cut. When no majority of the
        // instances hears it, nothing that they write there could be acknowledged.
        if let Some(peer) = self.reaching().find(|h| !self.beside(h)) {
            return Verdict::Forward(peer.view.proxy.clone());
        }
        if self.unheard(after).len() >= self.spec.majority() {
            return Verdict::Replace(Cause::Unreachable);
        }
        match self.reaching().next() {
            Some(peer) => Verdict::Forward(peer.view.proxy.clone()),
            None => Verdict::Doubt,
        }
    }

    /// Whether the peer runs in the primary's data centre.
    fn beside(&self, heard: &Heard) -> bool {
        let primary = self.spec.members.get(self.primary);
        primary.is_some_and(|m| m.location.data_centre == heard.view.location.data_centre)
    }

    /// Replicas that have not heard the primary for `after`, by their own recent word.
    fn unheard(&self, after: Span) -> Vec<(&InstanceId, Span)> {
        let lost = |(id, o): &(&InstanceId, &Observed)| {
            *id != self.primary
                && o.status.role == Role::Replica
                && self.now.since(o.asked) <= VIEW_AGE
                && o.status.heard >= after
        };
        let seen = self.seen.iter().filter(lost);
        seen.map(|(id, o)| (id, o.status.heard)).collect()
    }

    fn recent(&self) -> impl Iterator<Item = &Heard> {
        let about = |h: &&Heard| h.view.primary.as_ref() == Some(self.primary);
        let recent = |h: &&Heard| self.now.since(h.at) <= VIEW_AGE;
        self.peers.values().filter(about).filter(recent)
    }

    fn reaching(&self) -> impl Iterator<Item = &Heard> {
        self.recent().filter(|h| reaches(&h.view))
    }

    /// The observations behind the verdict.
    pub fn evidence(&self) -> Vec<Fact> {
        let own = Fact::Silent(self.primary.clone(), self.reach.silent(self.now));
        let mut facts = vec![own];
        let unheard = self.unheard(self.patience());
        facts.extend(unheard.iter().map(|(i, s)| Fact::Unheard((*i).clone(), *s)));
        facts.extend(self.recent().map(|h| match h.view.heard {
            Some(age) if reaches(&h.view) => Fact::Reached(h.view.proxy.clone(), age),
            _ => Fact::Unreached(h.view.proxy.clone()),
        }));
        facts
    }
}

/// Whether the speaker reaches the primary: it has a recent answer and waits for none.
fn reaches(view: &PeerReport) -> bool {
    view.silent < DOUBT_AFTER && view.heard.is_some_and(|age| age < VIEW_AGE)
}
