//! Monitoring of a group's primary: which instances to probe, and when to suspect the primary.
//!
//! Every write proves that the primary leads, so a busy primary is not probed. A quiet one is
//! probed from time to time. Without a primary, all instances are probed until one proves that
//! it leads. A suspicion alone changes nothing: it is reported to the coordinator, which acts
//! once enough proxies share it.

use indexmap::IndexMap;
use model::entry::Entry;
use model::id::InstanceId;
use model::unit::{Span, Time};

/// Age of the newest proof from which the primary is probed. Replicas lag by some tens of
/// milliseconds, and reads accept ages from about a second.
const PROOF_AGE: Span = Span::from_millis(250);

/// Interval between two probes of an instance that may lead.
const LIKELY_INTERVAL: Span = Span::from_millis(100);

/// Interval between two probes of an instance that probably does not lead.
const UNLIKELY_INTERVAL: Span = Span::from_millis(400);

/// Time for which the primary must have failed before it is suspected. With a shorter time, a
/// reset of all connections or a restart would count as a failure.
const MIN_FAILING_TIME: Span = Span::from_millis(200);

/// Probes that must have failed as well. A probe that timed out counts as two, because neither
/// an open connection nor a new one brought a response.
const MIN_FAILURES: u32 = 2;

/// Time for which a failed probe counts. A failing primary is probed continuously, and a probe
/// takes 0.8 s at most.
const FAILURE_WINDOW: Span = Span::from_millis(1_500);

/// Time without a response after which a write counts as stalled. Writes take some tens of
/// milliseconds, and a replica in another region acknowledges within 50 ms.
pub const WRITE_STALL: Span = Span::from_millis(400);

/// Stalled writes from which a primary is suspected although it responds to probes: it cannot
/// reach its replicas. A single one may be due to a slow statement.
const MIN_STALLS: u32 = 2;

/// Time for which a stalled write counts.
const STALL_WINDOW: Span = Span::from_millis(2_000);

/// Time for which stalled writes do not count against a new primary: its replicas first roll
/// back what they had beyond its log and acknowledge nothing meanwhile.
const STALL_GRACE: Span = Span::from_millis(2_000);

/// Time between two runs of the monitor from which the process counts as paused. It runs every
/// 50 ms; a process that shares its cores may be late by a scheduling period of 100 ms.
const MIN_PAUSE: Span = Span::from_millis(200);

/// Timeout of a probe. Its statements need no slot, so a busy instance responds within a round
/// trip, which is 40 ms between regions.
pub const PROBE_TIMEOUT: Span = Span::from_millis(350);

/// Why the primary is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Suspicion {
    /// It does not respond, or does not lead.
    Unreachable,
    /// It responds, but writes on it do not complete.
    Stalled,
}

/// Why a probe did not prove that the instance leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeFailure {
    /// It does not lead.
    Follows,
    /// No response arrived in time, neither on an open connection nor on a new one.
    Silent,
    /// Connections to it are refused or reset.
    Down,
    /// It is running, but has no free connection for the probe.
    Full,
}

#[derive(Clone, Debug, Default)]
struct Candidate {
    claims_primary: bool,
    probing: bool,
    probed_at: Option<Time>,
}

/// The monitor of one group.
#[derive(Clone, Debug, Default)]
pub struct PrimaryMonitor {
    candidates: IndexMap<InstanceId, Candidate>,
    /// The last instance that proved that it leads.
    leader: Option<InstanceId>,
    failing_since: Option<Time>,
    /// Running time of this process at that time.
    failing_from: Span,
    /// Running time of this process when the last probe of the leader failed.
    failed_at: Span,
    failures: u32,
    stalls: u32,
    stalled_at: Time,
    /// Since when the leader leads, as far as this proxy knows.
    leader_since: Time,
    /// An instance that was just promoted and has not yet proved that it leads.
    promoted: Option<InstanceId>,
    /// When the monitor ran last.
    ran_at: Option<Time>,
    /// When the last pause of this process ended.
    resumed_at: Option<Time>,
    /// Sum of the pauses of this process.
    paused: Span,
    /// Running time of probes that timed out during a pause, since the last proof.
    interrupted: Span,
}

impl PrimaryMonitor {
    /// Updates the announced instances.
    pub fn set_entries(&mut self, entries: &[Entry]) {
        self.candidates
            .retain(|id, _| entries.iter().any(|e| e.id == *id));
        for entry in entries {
            let known = self.candidates.entry(entry.id.clone()).or_default();
            if entry.claims_primary && !known.claims_primary {
                known.probed_at = None;
            }
            known.claims_primary = entry.claims_primary;
        }
    }

    /// Discards everything that was found so far.
    pub fn reset(&mut self) {
        let candidates = std::mem::take(&mut self.candidates);
        *self = Self {
            candidates,
            ran_at: self.ran_at,
            resumed_at: self.resumed_at,
            paused: self.paused,
            ..Self::default()
        };
    }

    /// The process is running; to be called before any result is recorded. The time of a pause
    /// does not count as time for which the primary failed.
    pub fn record_run(&mut self, now: Time) {
        let gap = self.ran_at.map_or(Span::default(), |at| now.since(at));
        self.ran_at = Some(now);
        if gap >= MIN_PAUSE {
            self.resumed_at = Some(now);
            self.paused = self.paused + gap;
        }
    }

    /// Time for which this process has been running, without its pauses.
    fn running_time(&self, now: Time) -> Span {
        now.since(Time::default()).saturating_sub(self.paused)
    }

    /// Sum of the pauses of this process.
    pub fn paused(&self) -> Span {
        self.paused
    }

    /// A probe timed out, and this process was paused meanwhile: a response may have arrived during
    /// the pause. It was running for `running` of the time of the probe. Returns whether the running
    /// time of such probes amounts to a timeout, without a proof meanwhile; then this is a failure.
    pub fn record_interrupted(&mut self, id: &InstanceId, running: Span) -> bool {
        if !self.may_lead(id) {
            return false;
        }
        self.interrupted = self.interrupted + running;
        let failed = self.interrupted >= PROBE_TIMEOUT;
        if failed {
            self.interrupted = Span::default();
        }
        failed
    }

    /// Whether a failure of this instance counts.
    fn may_lead(&self, id: &InstanceId) -> bool {
        match &self.leader {
            Some(leader) => leader == id,
            None => self.candidates.get(id).is_some_and(|c| c.claims_primary),
        }
    }

    fn begin_failing(&mut self, now: Time) {
        if self.failing_since.is_none() {
            self.failing_since = Some(now);
            self.failing_from = self.running_time(now);
        }
    }

    /// An instance was just promoted: it is probed first.
    pub fn expect_primary(&mut self, id: &InstanceId) {
        self.promoted = Some(id.clone());
        if let Some(candidate) = self.candidates.get_mut(id) {
            candidate.probed_at = None;
        }
    }

    /// Returns the instances to probe now; each counts as being probed until
    /// [`PrimaryMonitor::probe_ended`].
    pub fn start_probes(
        &mut self,
        primary: Option<&InstanceId>,
        newest_proof: Option<Time>,
        now: Time,
    ) -> Vec<InstanceId> {
        let healthy = primary.is_some() && self.failing_since.is_none();
        let mut probes = Vec::new();
        for (id, candidate) in &mut self.candidates {
            let leads = primary == Some(id);
            let promoted = self.promoted.as_ref() == Some(id);
            let interval = if candidate.claims_primary || leads || promoted {
                LIKELY_INTERVAL
            } else {
                UNLIKELY_INTERVAL
            };
            let wanted = if healthy {
                let outdated = newest_proof.is_none_or(|at| now.since(at) >= PROOF_AGE);
                (leads && outdated) || (promoted && !leads)
            } else {
                true
            };
            let due = candidate
                .probed_at
                .is_none_or(|at| now.since(at) >= interval);
            if wanted && due && !candidate.probing {
                candidate.probing = true;
                candidate.probed_at = Some(now);
                probes.push(id.clone());
            }
        }
        probes
    }

    /// A probe ended, with or without a response.
    pub fn probe_ended(&mut self, id: &InstanceId) {
        if let Some(candidate) = self.candidates.get_mut(id) {
            candidate.probing = false;
        }
    }

    /// The instance proved that it leads; returns whether this ends a suspicion.
    pub fn record_proof(&mut self, id: &InstanceId, since: Time) -> bool {
        // A proof requested before the failure began says nothing about the time since.
        let earlier = self.failing_since.is_some_and(|at| since < at);
        if earlier && self.leader.as_ref() == Some(id) {
            return false;
        }
        let was_suspected = self.failing_since.take().is_some() && self.failures >= MIN_FAILURES;
        if self.leader.as_ref() != Some(id) {
            self.stalls = 0;
            self.leader_since = since;
        }
        self.leader = Some(id.clone());
        self.promoted.take_if(|e| e == id);
        self.failures = 0;
        self.interrupted = Span::default();
        was_suspected
    }

    /// A probe of the instance did not prove that it leads.
    pub fn record_failure(&mut self, id: &InstanceId, failure: ProbeFailure, now: Time) {
        if failure == ProbeFailure::Full {
            return;
        }
        if self.may_lead(id) {
            self.failures += if failure == ProbeFailure::Silent {
                2
            } else {
                1
            };
            self.begin_failing(now);
            self.failed_at = self.running_time(now);
        }
        if failure == ProbeFailure::Follows {
            self.promoted.take_if(|e| e == id);
        }
    }

    /// A connection of a session to the instance failed: the primary is probed at once.
    pub fn connection_failed(&mut self, id: &InstanceId, now: Time) {
        if self.leader.as_ref() != Some(id) {
            return;
        }
        self.begin_failing(now);
        if let Some(candidate) = self.candidates.get_mut(id) {
            candidate.probed_at = None;
        }
    }

    /// A write on the instance has been without a response for [`WRITE_STALL`].
    pub fn record_stall(&mut self, id: &InstanceId, now: Time) {
        if self
            .resumed_at
            .is_some_and(|at| now.since(at) < WRITE_STALL)
        {
            return;
        }
        if self.leader.as_ref() != Some(id) || now.since(self.leader_since) < STALL_GRACE {
            return;
        }
        if now.since(self.stalled_at) > STALL_WINDOW {
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

    /// The instance that is suspected, and why.
    ///
    /// Failed probes count only for [`FAILURE_WINDOW`], because a proxy without connections of
    /// its own probes only while a request waits. Without this limit, when a group changes back
    /// to an instance that such a proxy found unreachable earlier, the instance is replaced
    /// again and again although it is healthy.
    pub fn suspicion(&self, now: Time) -> Option<(InstanceId, Suspicion)> {
        let claimant = || {
            let claimant = self.candidates.iter().find(|(_, c)| c.claims_primary);
            claimant.map(|(id, _)| id.clone())
        };
        let suspect = self.leader.clone().or_else(claimant)?;
        let running_time = self.running_time(now);
        let failing_for = running_time.saturating_sub(self.failing_from);
        let failing = self.failing_since.is_some() && failing_for >= MIN_FAILING_TIME;
        let recent = running_time.saturating_sub(self.failed_at) <= FAILURE_WINDOW;
        if failing && recent && self.failures >= MIN_FAILURES {
            return Some((suspect, Suspicion::Unreachable));
        }
        let stalled = self.stalls >= MIN_STALLS && now.since(self.stalled_at) <= STALL_WINDOW;
        stalled.then_some((suspect, Suspicion::Stalled))
    }
}
