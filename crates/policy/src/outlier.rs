//! Which instances answer slowly compared with the others of their group.

use std::collections::VecDeque;

use indexmap::IndexMap;
use model::id::InstanceId;
use model::unit::{Span, Time};
use rand::Rng;

/// Answers that are judged together.
const WINDOW: usize = 5;

/// Slow answers among them that make an instance slow. Load: one server twenty
/// times slower among three, and one long report among twenty short statements;
/// harm: the slow server keeps its third of the reads. Four of five tells both
/// apart: long reports fill a window three times in 100,000.
const SLOW_OF_WINDOW: usize = 4;

/// Multiple of the fastest other instance's median from which an answer is slow.
/// Ordinary queueing at a shared server triples latency with nine proxies.
const SLOW_FACTOR: u64 = 4;

/// Answers faster than this are never slow; below it, jitter of the network decides.
const SLOW_FLOOR: Span = Span::from_millis(10);

/// First pause before a slow instance is tried again. Short, since most slowness is
/// a checkpoint or a collection of garbage.
const FIRST_PAUSE: Span = Span::from_millis(250);

/// Longest pause; an instance that recovered waits this long for reads at most.
const LONGEST_PAUSE: Span = Span::from_millis(4_000);

/// Good answers in a row after which a slow instance serves like the others.
const GOOD_TRIALS: u32 = 3;

/// Step of the running median, as a divisor.
const MEDIAN_DIVISOR: u64 = 16;

/// Whether an instance should get a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// Like the others.
    Normal,
    /// One read is due as a trial; call [`Scores::started`] with it.
    Trial,
    /// Only if no other instance can serve the read.
    Ejected,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    pause: Span,
    next: Time,
    good: u32,
    trying: bool,
}

/// How one instance answers.
#[derive(Clone, Debug, Default)]
pub struct Score {
    median: Span,
    recent: VecDeque<bool>,
    /// When each request in flight was sent; `true` once it counted as slow.
    flying: VecDeque<(Time, bool)>,
    shed: Option<Ejection>,
}

impl Score {
    /// Median latency; zero before the first answer.
    pub fn median(&self) -> Span {
        self.median
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.flying.len()
    }

    fn judge(&mut self, slow: bool) {
        self.recent.push_back(slow);
        if self.recent.len() > WINDOW {
            self.recent.pop_front();
        }
    }

    fn is_slow(&self) -> bool {
        self.recent.iter().filter(|slow| **slow).count() >= SLOW_OF_WINDOW
    }

    fn learn(&mut self, took: Span) {
        let median = self.median.as_micros();
        let took = took.as_micros();
        let step = (median / MEDIAN_DIVISOR).max(1);
        let moved = match median {
            0 => took,
            _ if took > median => median + step,
            _ => median - step.min(median - 1),
        };
        self.median = Span::from_micros(moved.max(1));
    }
}

/// Scores of the instances of one group.
#[derive(Clone, Debug, Default)]
pub struct LatencyScores {
    scores: IndexMap<InstanceId, Score>,
}

impl LatencyScores {
    /// The score of an instance, if it was ever used.
    pub fn get(&self, instance: &InstanceId) -> Option<&Score> {
        self.scores.get(instance)
    }

    /// Forgets instances that are no longer in the group.
    pub fn retain(&mut self, keep: impl Fn(&InstanceId) -> bool) {
        self.scores.retain(|id, _| keep(id));
    }

    /// Whether an instance should get a read at `now`.
    pub fn eligibility(&mut self, instance: &InstanceId, now: Time) -> Eligibility {
        self.overdue(instance, now);
        let shed = self.scores.get(instance).and_then(|s| s.shed);
        match shed {
            None => Eligibility::Normal,
            Some(shed) if !shed.trying && now >= shed.next => Eligibility::Trial,
            Some(_) => Eligibility::Ejected,
        }
    }

    /// A read was sent.
    pub fn started(&mut self, instance: &InstanceId, now: Time) {
        let score = self.scores.entry(instance.clone()).or_default();
        score.flying.push_back((now, false));
        if let Some(shed) = &mut score.shed {
            shed.trying = true;
        }
    }

    /// A read that was sent at `since` was answered.
    pub fn response_received(
        &mut self,
        instance: &InstanceId,
        since: Time,
        now: Time,
        rng: &mut impl Rng,
    ) {
        let took = now.since(since);
        let slow = self.limit(instance).is_some_and(|limit| took > limit);
        let Some(score) = self.scores.get_mut(instance) else {
            return;
        };
        let at = score.flying.iter().position(|(sent, _)| *sent == since);
        let judged = at.and_then(|at| score.flying.remove(at));
        if !judged.is_some_and(|(_, judged)| judged) {
            score.judge(slow);
        }
        score.learn(took);
        settle(score, slow, now, rng);
    }

    /// A read that was sent at `since` ended without an answer that tells anything.
    pub fn cancelled(&mut self, instance: &InstanceId, since: Time) {
        let Some(score) = self.scores.get_mut(instance) else {
            return;
        };
        let at = score.flying.iter().position(|(sent, _)| *sent == since);
        at.and_then(|at| score.flying.remove(at));
        if let Some(shed) = &mut score.shed {
            shed.trying = false;
        }
    }

    /// Counts reads that are in flight for too long already.
    ///
    /// Failure: an instance hangs and answers nothing; it shows only as reads that
    /// do not come back, and waiting for their answers would take seconds.
    fn overdue(&mut self, instance: &InstanceId, now: Time) {
        let limit = self.limit(instance);
        let (Some(limit), Some(score)) = (limit, self.scores.get_mut(instance)) else {
            return;
        };
        let late = |(sent, judged): &(Time, bool)| !judged && now.since(*sent) > limit;
        let count = score.flying.iter().filter(|f| late(f)).count();
        for (sent, judged) in &mut score.flying {
            *judged |= now.since(*sent) > limit;
        }
        (0..count).for_each(|_| score.judge(true));
        if score.is_slow() && score.shed.is_none() {
            score.shed = Some(shed(now, FIRST_PAUSE));
        }
    }

    /// Latency above which an answer of `instance` is slow; `None` without another
    /// instance to compare with, so that a group that is slow as a whole sheds nothing.
    fn limit(&self, instance: &InstanceId) -> Option<Span> {
        let others = self.scores.iter().filter(|(id, _)| *id != instance);
        let medians = others.map(|(_, s)| s.median).filter(|m| m.as_micros() > 0);
        let fastest = medians.min()?;
        Some(fastest.times(SLOW_FACTOR).max(SLOW_FLOOR))
    }
}

fn shed(now: Time, pause: Span) -> Ejection {
    Ejection {
        pause,
        next: now + pause,
        good: 0,
        trying: false,
    }
}

/// Moves a score between open and shed after an answer.
fn settle(score: &mut Score, slow: bool, now: Time, rng: &mut impl Rng) {
    let Some(mut state) = score.shed else {
        if score.is_slow() {
            score.shed = Some(shed(now, FIRST_PAUSE));
        }
        return;
    };
    if !state.trying {
        // An answer to a read that was sent before the instance was found slow.
        return;
    }
    if slow {
        let pause = state.pause.times(2).min(LONGEST_PAUSE);
        // Proxies that found it slow together must not try it together.
        let jitter = rng.random_range(0..=pause.as_micros() / 4);
        score.shed = Some(shed(now + Span::from_micros(jitter), pause));
        return;
    }
    state.good += 1;
    state.trying = false;
    state.next = now;
    score.shed = (state.good < GOOD_TRIALS).then_some(state);
    if score.shed.is_none() {
        score.recent.clear();
    }
}
