//! Outlier detection: which instances respond slowly compared with the others of their group.

use std::collections::VecDeque;

use indexmap::IndexMap;
use model::id::InstanceId;
use model::unit::{Span, Time};
use rand::Rng;

/// Number of recent responses that are evaluated together.
const WINDOW: usize = 5;

/// Slow responses within the window that make an instance slow. If one of three servers is
/// twenty times slower, it must not keep its third of the reads; one long report among twenty
/// short statements must not count as a slow server. Four of five distinguishes the two: long
/// reports fill a window three times in 100,000.
const SLOW_OF_WINDOW: usize = 4;

/// Multiple of the fastest other instance's median from which a response is slow. Ordinary
/// queueing at a shared server triples latency with nine proxies.
const SLOW_FACTOR: u64 = 4;

/// Faster responses are never slow; below this, network jitter dominates.
const SLOW_FLOOR: Span = Span::from_millis(10);

/// First pause before a slow instance is tried again. Short, since most slow phases are due to
/// a checkpoint or a garbage collection.
const INITIAL_PAUSE: Span = Span::from_millis(250);

/// Maximum pause; an instance that recovered waits at most this long for reads.
const MAX_PAUSE: Span = Span::from_millis(4_000);

/// Consecutive fast responses after which an ejected instance gets reads normally again.
const REQUIRED_TRIALS: u32 = 3;

/// Step of the running median, as a divisor.
const MEDIAN_DIVISOR: u64 = 16;

/// Whether an instance should get a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// It serves reads like the others.
    Normal,
    /// One read is due as a trial; call [`LatencyScores::started`] for it.
    Trial,
    /// It serves the read only if no other instance can.
    Ejected,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    pause: Span,
    next_trial: Time,
    successes: u32,
    trial_running: bool,
}

/// Latency statistics of one instance.
#[derive(Clone, Debug, Default)]
pub struct Score {
    median: Span,
    recent: VecDeque<bool>,
    /// When each request in flight was sent; `true` once it was counted as slow.
    in_flight: VecDeque<(Time, bool)>,
    ejection: Option<Ejection>,
}

impl Score {
    /// Median latency; zero before the first response.
    pub fn median(&self) -> Span {
        self.median
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    fn record_outcome(&mut self, slow: bool) {
        self.recent.push_back(slow);
        if self.recent.len() > WINDOW {
            self.recent.pop_front();
        }
    }

    fn is_slow(&self) -> bool {
        self.recent.iter().filter(|slow| **slow).count() >= SLOW_OF_WINDOW
    }

    fn update_median(&mut self, elapsed: Span) {
        let median = self.median.as_micros();
        let elapsed = elapsed.as_micros();
        let step = (median / MEDIAN_DIVISOR).max(1);
        let moved = match median {
            0 => elapsed,
            _ if elapsed > median => median + step,
            _ => median - step.min(median - 1),
        };
        self.median = Span::from_micros(moved.max(1));
    }
}

/// Latency scores of the instances of one group.
#[derive(Clone, Debug, Default)]
pub struct LatencyScores {
    scores: IndexMap<InstanceId, Score>,
}

impl LatencyScores {
    /// The score of an instance, if it was ever used.
    pub fn get(&self, instance: &InstanceId) -> Option<&Score> {
        self.scores.get(instance)
    }

    /// Removes instances that are no longer in the group.
    pub fn retain(&mut self, keep: impl Fn(&InstanceId) -> bool) {
        self.scores.retain(|id, _| keep(id));
    }

    /// Whether an instance should get a read at `now`.
    pub fn eligibility(&mut self, instance: &InstanceId, now: Time) -> Eligibility {
        self.count_overdue(instance, now);
        let ejection = self.scores.get(instance).and_then(|s| s.ejection);
        match ejection {
            None => Eligibility::Normal,
            Some(e) if !e.trial_running && now >= e.next_trial => Eligibility::Trial,
            Some(_) => Eligibility::Ejected,
        }
    }

    /// Records that a read was sent.
    pub fn started(&mut self, instance: &InstanceId, now: Time) {
        let score = self.scores.entry(instance.clone()).or_default();
        score.in_flight.push_back((now, false));
        if let Some(ejection) = &mut score.ejection {
            ejection.trial_running = true;
        }
    }

    /// Records the response to a read that was sent at `since`.
    pub fn response_received(
        &mut self,
        instance: &InstanceId,
        since: Time,
        now: Time,
        rng: &mut impl Rng,
    ) {
        let elapsed = now.since(since);
        let slow = self
            .slow_threshold(instance)
            .is_some_and(|threshold| elapsed > threshold);
        let Some(score) = self.scores.get_mut(instance) else {
            return;
        };
        let at = score.in_flight.iter().position(|(sent, _)| *sent == since);
        let counted = at.and_then(|at| score.in_flight.remove(at));
        if !counted.is_some_and(|(_, counted)| counted) {
            score.record_outcome(slow);
        }
        score.update_median(elapsed);
        update_ejection(score, slow, now, rng);
    }

    /// Records that a read sent at `since` ended without a meaningful response.
    pub fn cancelled(&mut self, instance: &InstanceId, since: Time) {
        let Some(score) = self.scores.get_mut(instance) else {
            return;
        };
        let at = score.in_flight.iter().position(|(sent, _)| *sent == since);
        at.and_then(|at| score.in_flight.remove(at));
        if let Some(ejection) = &mut score.ejection {
            ejection.trial_running = false;
        }
    }

    /// Counts reads that have been in flight too long as slow.
    ///
    /// An instance that hangs responds to nothing; this shows only in reads that stay in
    /// flight, and waiting for their responses would take seconds.
    fn count_overdue(&mut self, instance: &InstanceId, now: Time) {
        let threshold = self.slow_threshold(instance);
        let (Some(threshold), Some(score)) = (threshold, self.scores.get_mut(instance)) else {
            return;
        };
        let late = |(sent, counted): &(Time, bool)| !counted && now.since(*sent) > threshold;
        let count = score.in_flight.iter().filter(|f| late(f)).count();
        for (sent, counted) in &mut score.in_flight {
            *counted |= now.since(*sent) > threshold;
        }
        (0..count).for_each(|_| score.record_outcome(true));
        if score.is_slow() && score.ejection.is_none() {
            score.ejection = Some(eject(now, INITIAL_PAUSE));
        }
    }

    /// Latency above which a response of `instance` is slow; `None` without another instance to
    /// compare with, so that a group that is slow as a whole ejects none.
    fn slow_threshold(&self, instance: &InstanceId) -> Option<Span> {
        let others = self.scores.iter().filter(|(id, _)| *id != instance);
        let medians = others.map(|(_, s)| s.median).filter(|m| m.as_micros() > 0);
        let fastest = medians.min()?;
        Some(fastest.times(SLOW_FACTOR).max(SLOW_FLOOR))
    }
}

fn eject(now: Time, pause: Span) -> Ejection {
    Ejection {
        pause,
        next_trial: now + pause,
        successes: 0,
        trial_running: false,
    }
}

/// Ejects or restores an instance after a response.
fn update_ejection(score: &mut Score, slow: bool, now: Time, rng: &mut impl Rng) {
    let Some(mut state) = score.ejection else {
        if score.is_slow() {
            score.ejection = Some(eject(now, INITIAL_PAUSE));
        }
        return;
    };
    if !state.trial_running {
        // A response to a read that was sent before the instance was ejected.
        return;
    }
    if slow {
        let pause = state.pause.times(2).min(MAX_PAUSE);
        // Proxies that ejected it at the same time must not try it at the same time.
        let jitter = rng.random_range(0..=pause.as_micros() / 4);
        score.ejection = Some(eject(now + Span::from_micros(jitter), pause));
        return;
    }
    state.successes += 1;
    state.trial_running = false;
    state.next_trial = now;
    score.ejection = (state.successes < REQUIRED_TRIALS).then_some(state);
    if score.ejection.is_none() {
        score.recent.clear();
    }
}
