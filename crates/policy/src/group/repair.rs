//! Makes instances follow the newest primary, and reports records that only they hold.

use model::id::InstanceId;
use model::position::{Position, Term};
use model::unit::Span;

use super::Group;
use crate::decision::What;
use crate::failure_detector::Verdict;
use crate::message::{Channel, Command};
use crate::status::{Observation, Role, Status};

/// Interval at which the command to follow is repeated. A rebuild may take longer;
/// repeating the command is harmless.
const FOLLOW_RETRY: Span = Span::from_millis(1_000);

/// Delay between the repairs of proxies that are adjacent in rank.
const STAGGER: Span = Span::from_millis(500);

/// Time without contact to its primary after which a replica is commanded to follow again.
const MAX_CONTACT_AGE: Span = Span::from_millis(1_500);

impl Group {
    /// Commands instances to follow the newest primary. An old primary that returns still
    /// takes itself for the primary; one command fences it and makes it follow. Replicas
    /// that were unreachable are handled in the same way.
    pub(super) fn repair(&mut self) {
        let Some(primary) = self.leadership.primary.clone() else {
            return;
        };
        if self.verdict != Verdict::Healthy || self.deposed_since.is_some() {
            return;
        }
        let stagger = STAGGER.times(self.rank());
        let promoting = self.attempt.is_some();
        if !promoting && self.now.since(self.leadership.since) < stagger {
            return;
        }
        let detached = self.observations.iter();
        let detached = detached.filter(|(id, o)| **id != primary && self.needs_follow(id, o));
        let detached: Vec<_> = detached
            .map(|(id, o)| (id.clone(), o.status.clone()))
            .collect();
        for (id, status) in detached {
            self.send_follow(&id, &primary, &status);
        }
    }

    fn needs_follow(&self, id: &InstanceId, seen: &Observation) -> bool {
        let status = &seen.status;
        // Another claimant is changing the primary under a later term.
        if status.fenced > self.leadership.term {
            return false;
        }
        let behind = status.fenced < self.leadership.term || status.term() < self.leadership.term;
        let no_contact = status.contact_age >= MAX_CONTACT_AGE;
        let detached = status.role == Role::Primary || behind || no_contact;
        let last = self.last_follow.get(id);
        detached && last.is_none_or(|at| self.now.since(*at) >= FOLLOW_RETRY)
    }

    fn send_follow(&mut self, id: &InstanceId, primary: &InstanceId, status: &Status) {
        let trace = self.change.trace;
        let first = !self.last_follow.contains_key(id);
        self.last_follow.insert(id.clone(), self.now);
        if let (true, Some(shared)) = (first, self.divergence(status)) {
            let what = What::Diverged {
                instance: id.clone(),
                shared,
                end: status.received,
            };
            self.record_decision(what, trace, None, vec![], vec![]);
        }
        if first {
            self.record_decision(What::Follow(id.clone()), trace, None, vec![], vec![]);
        }
        let command = Command::Follow {
            term: self.leadership.term,
            primary: primary.clone(),
        };
        self.send_command(id, command, Channel::Fresh);
    }

    /// Last position that a diverged log shares with the primary's log.
    fn divergence(&self, status: &Status) -> Option<Position> {
        let primary = self.observations.get(self.leadership.primary.as_ref()?)?;
        let later = |term: Term| {
            let starts = primary.status.history.starts().iter();
            starts
                .filter(move |s| s.term > term)
                .map(|s| s.position)
                .min()
        };
        let shared = later(status.term())?;
        (status.received > shared).then_some(shared)
    }
}
