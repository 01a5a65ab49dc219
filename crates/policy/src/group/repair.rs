//! Bringing instances under the newest primary, and reporting what they held beyond it.

use model::id::InstanceId;
use model::position::{Position, Term};
use model::unit::Span;

use super::Group;
use crate::decision::What;
use crate::failure_detector::Verdict;
use crate::message::{Channel, Command};
use crate::status::{Observation, Role, Status};

/// Interval at which an instance is told again to follow; a rebuild may take longer, and
/// the order is repeated without harm.
const FOLLOW_AGAIN: Span = Span::from_millis(1_000);

/// Head start of each proxy over the next in rank.
const STAGGER: Span = Span::from_millis(500);

/// Silence of its primary after which a replica is told anew whom to follow.
const UNHEARD: Span = Span::from_millis(1_500);

impl Group {
    /// An old primary that returns still believes that it leads: it is fenced and made to
    /// follow by one order. Replicas that were out of reach are brought in alike.
    pub(super) fn repair(&mut self) {
        let Some(primary) = self.leadership.primary.clone() else {
            return;
        };
        if self.verdict != Verdict::Healthy || self.deposed.is_some() {
            return;
        }
        let turn = STAGGER.times(self.rank());
        let promoter = self.attempt.is_some();
        if !promoter && self.now.since(self.leadership.since) < turn {
            return;
        }
        let strays = self.observations.iter();
        let strays = strays.filter(|(id, o)| **id != primary && self.astray(id, o));
        let strays: Vec<_> = strays
            .map(|(id, o)| (id.clone(), o.status.clone()))
            .collect();
        for (id, status) in strays {
            self.bring_in(&id, &primary, &status);
        }
    }

    fn astray(&self, id: &InstanceId, seen: &Observation) -> bool {
        let status = &seen.status;
        // A later promise is another claimant's business.
        if status.fenced > self.leadership.term {
            return false;
        }
        let behind = status.fenced < self.leadership.term || status.term() < self.leadership.term;
        let unheard = status.contact_age >= UNHEARD;
        let astray = status.role == Role::Primary || behind || unheard;
        let last = self.followed.get(id);
        astray && last.is_none_or(|at| self.now.since(*at) >= FOLLOW_AGAIN)
    }

    fn bring_in(&mut self, id: &InstanceId, primary: &InstanceId, status: &Status) {
        let trace = self.change.trace;
        let first = !self.followed.contains_key(id);
        self.followed.insert(id.clone(), self.now);
        if let (true, Some(shared)) = (first, self.shared(status)) {
            let what = What::Diverged {
                instance: id.clone(),
                shared,
                end: status.received,
            };
            self.decide(what, trace, None, vec![], vec![]);
        }
        if first {
            self.decide(What::Follow(id.clone()), trace, None, vec![], vec![]);
        }
        let command = Command::Follow {
            term: self.leadership.term,
            primary: primary.clone(),
        };
        self.send(id, command, Channel::Fresh);
    }

    /// Last position that a log shares with the primary's, if it goes on beyond.
    fn shared(&self, status: &Status) -> Option<Position> {
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
