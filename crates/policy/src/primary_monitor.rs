//! Watch over a group's primary: whom to ask whether it leads, and when to doubt it.
//!
//! Proofs come with every write, so a busy primary is asked nothing. One that is quiet is
//! asked now and then, and without a primary all instances are asked, until one proves
//! that it leads. A doubt alone changes nothing: it is told to the coordinator, which
//! acts when enough proxies share it.

use indexmap::IndexMap;
use model::entry::Entry;
use model::id::InstanceId;
use model::unit::{Span, Time};

/// Age of the newest proof from which the primary is asked for another. Replicas lag by
/// some tens of milliseconds, and reads accept ages from about a second on.
const PROOF_AGE: Span = Span::from_millis(250);

/// Pause between two questions to an instance that may lead.
const LIKELY_EVERY: Span = Span::from_millis(100);

/// Pause between two questions to an instance that probably does not lead.
const UNLIKELY_EVERY: Span = Span::from_millis(400);

/// Time for which the primary must have failed before it is doubted. Shorter would take a
/// reset of all connections, or a restart, for a failure.
const FAILING: Span = Span::from_millis(200);

/// Questions that must have failed as well. One that got no answer in time counts as two:
/// neither an open connection nor a new one brought any.
const FAILURES: u32 = 2;

/// Time for which a failed question counts. While a primary fails it is asked all the while,
/// and a question takes 0.8 s at most.
const FAILURE_KEPT: Span = Span::from_millis(1_500);

/// Writes without an answer that make a primary doubtful although it answers: it cannot
/// reach its replicas. One alone may have met a slow statement.
const STALLS: u32 = 2;

/// Time for which a stalled write counts.
const STALL_KEPT: Span = Span::from_millis(2_000);

/// Time for which stalled writes do not count against a new primary: its replicas first
/// roll back what they had beyond its log, and acknowledge nothing meanwhile.
const SETTLING: Span = Span::from_millis(2_000);

/// Why the primary is doubted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Suspicion {
    /// It does not answer, or does not lead.
    Unreachable,
    /// It answers, and writes on it do not end.
    Stalled,
}

/// What an instance answered when asked whether it leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeFailure {
    /// It does not lead.
    Follows,
    /// No answer came in time, neither on an open connection nor on a new one.
    Silent,
    /// It is not there: connections are refused or reset.
    Down,
    /// It runs, and has no connection left for the question.
    Full,
}

#[derive(Clone, Debug, Default)]
struct Candidate {
    claims: bool,
    asking: bool,
    asked: Option<Time>,
}

/// The watch over one group.
#[derive(Clone, Debug, Default)]
pub struct PrimaryMonitor {
    candidates: IndexMap<InstanceId, Candidate>,
    /// The instance that proved last that it leads.
    leader: Option<InstanceId>,
    failing_since: Option<Time>,
    /// When the last question to it failed.
    failed_at: Time,
    failures: u32,
    stalls: u32,
    stalled_at: Time,
    /// Since when the leader leads, as far as this proxy knows.
    led_since: Time,
    /// An instance that was just made primary.
    expected: Option<InstanceId>,
}

impl PrimaryMonitor {
    /// Takes over the announced instances.
    pub fn set_entries(&mut self, entries: &[Entry]) {
        self.candidates
            .retain(|id, _| entries.iter().any(|e| e.id == *id));
        for entry in entries {
            let known = self.candidates.entry(entry.id.clone()).or_default();
            if entry.claims_primary && !known.claims {
                known.asked = None;
            }
            known.claims = entry.claims_primary;
        }
    }

    /// Forgets what was found out so far.
    pub fn reset(&mut self) {
        let candidates = std::mem::take(&mut self.candidates);
        *self = Self {
            candidates,
            ..Self::default()
        };
    }

    /// An instance was just made primary: it is asked first.
    pub fn expect_primary(&mut self, id: &InstanceId) {
        self.expected = Some(id.clone());
        if let Some(candidate) = self.candidates.get_mut(id) {
            candidate.asked = None;
        }
    }

    /// Whom to ask now; each of them is asked until [`PrimaryMonitor::probe_ended`].
    pub fn start_probes(
        &mut self,
        primary: Option<&InstanceId>,
        proved: Option<Time>,
        now: Time,
    ) -> Vec<InstanceId> {
        let well = primary.is_some() && self.failing_since.is_none();
        let mut ask = Vec::new();
        for (id, candidate) in &mut self.candidates {
            let leads = primary == Some(id);
            let expected = self.expected.as_ref() == Some(id);
            let every = if candidate.claims || leads || expected {
                LIKELY_EVERY
            } else {
                UNLIKELY_EVERY
            };
            let wanted = if well {
                let old = proved.is_none_or(|at| now.since(at) >= PROOF_AGE);
                (leads && old) || (expected && !leads)
            } else {
                true
            };
            let due = candidate.asked.is_none_or(|at| now.since(at) >= every);
            if wanted && due && !candidate.asking {
                candidate.asking = true;
                candidate.asked = Some(now);
                ask.push(id.clone());
            }
        }
        ask
    }

    /// A question ended, with an answer or without.
    pub fn probe_ended(&mut self, id: &InstanceId) {
        if let Some(candidate) = self.candidates.get_mut(id) {
            candidate.asking = false;
        }
    }

    /// The instance proved that it leads; says whether this ends a doubt.
    pub fn record_proof(&mut self, id: &InstanceId, since: Time) -> bool {
        // A proof that was asked for before the failure began says nothing about it.
        let earlier = self.failing_since.is_some_and(|at| since < at);
        if earlier && self.leader.as_ref() == Some(id) {
            return false;
        }
        let doubted = self.failing_since.take().is_some() && self.failures >= FAILURES;
        if self.leader.as_ref() != Some(id) {
            self.stalls = 0;
            self.led_since = since;
        }
        self.leader = Some(id.clone());
        self.expected.take_if(|e| e == id);
        self.failures = 0;
        doubted
    }

    /// The instance did not prove it.
    pub fn record_failure(&mut self, id: &InstanceId, finding: ProbeFailure, now: Time) {
        if finding == ProbeFailure::Full {
            return;
        }
        let doubtful = match &self.leader {
            Some(leader) => leader == id,
            None => self.candidates.get(id).is_some_and(|c| c.claims),
        };
        if doubtful {
            self.failures += if finding == ProbeFailure::Silent {
                2
            } else {
                1
            };
            self.failing_since.get_or_insert(now);
            self.failed_at = now;
        }
        if finding == ProbeFailure::Follows {
            self.expected.take_if(|e| e == id);
        }
    }

    /// A session saw a connection to the instance fail: the primary is asked at once.
    pub fn connection_failed(&mut self, id: &InstanceId, now: Time) {
        if self.leader.as_ref() != Some(id) {
            return;
        }
        self.failing_since.get_or_insert(now);
        if let Some(candidate) = self.candidates.get_mut(id) {
            candidate.asked = None;
        }
    }

    /// A write on the instance has been without an answer for long.
    pub fn record_stall(&mut self, id: &InstanceId, now: Time) {
        if self.leader.as_ref() != Some(id) || now.since(self.led_since) < SETTLING {
            return;
        }
        if now.since(self.stalled_at) > STALL_KEPT {
            self.stalls = 0;
        }
        self.stalls += 1;
        self.stalled_at = now;
    }

    /// A write on the instance was acknowledged.
    pub fn record_write(&mut self, id: &InstanceId) {
        if self.leader.as_ref() == Some(id) {
            self.stalls = 0;
        }
    }

    /// The instance that is doubted, and why.
    ///
    /// A proxy without connections of its own looks only while somebody waits. Load: a group
    /// changes back to an instance that such a proxy found lost earlier. Harm without an end
    /// of its doubt: the instance is replaced again and again although it is well.
    pub fn suspicion(&self, now: Time) -> Option<(InstanceId, Suspicion)> {
        let claims = || {
            let claims = self.candidates.iter().find(|(_, c)| c.claims);
            claims.map(|(id, _)| id.clone())
        };
        let suspect = self.leader.clone().or_else(claims)?;
        let failing = self
            .failing_since
            .is_some_and(|at| now.since(at) >= FAILING);
        let fresh = now.since(self.failed_at) <= FAILURE_KEPT;
        if failing && fresh && self.failures >= FAILURES {
            return Some((suspect, Suspicion::Unreachable));
        }
        let stalled = self.stalls >= STALLS && now.since(self.stalled_at) <= STALL_KEPT;
        stalled.then_some((suspect, Suspicion::Stalled))
    }
}
