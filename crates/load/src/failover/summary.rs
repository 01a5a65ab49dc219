//! Figures of the measurement.

use std::time::{Duration, Instant};

use model::unit::Span;
use policy::decision::Phase;

use super::strike::{Calm, Loss, Strike};
use crate::decisions::{self, Stage};
use crate::deployment::Deployment;
use crate::ledger::{self, Answer, Audit, Ledger};
use crate::report::{self, Latency, Table};
use crate::workload::Seen;

/// Longest time without an acknowledged write that began or went on after a fault.
fn gap(seen: &Seen, strike: &Strike) -> Option<Duration> {
    longest(seen, strike.at, strike.until)
}

fn longest(seen: &Seen, from: Instant, until: Instant) -> Option<Duration> {
    let all = || seen.ledgers.iter().flat_map(Ledger::acknowledged);
    let before = all().filter(|at| *at <= from).max();
    let within = all().filter(|at| (from..until).contains(at));
    // Without a write after the fault there is no end of the gap to measure.
    let moments: Vec<Instant> = before.into_iter().chain(within).collect();
    ledger::longest_gap(moments).map(|(_, gap)| gap)
}

/// What one run of sessions saw, and the faults that were on meanwhile.
pub(super) struct Part<T> {
    pub(super) faults: T,
    pub(super) seen: Seen,
    pub(super) audit: Audit,
}

impl<T> Part<T> {
    /// Answers that broke a promise.
    fn broken(&self) -> u64 {
        self.audit.total() + self.seen.wrong_reads
    }

    fn counts(&self) -> [(&'static str, u64); 10] {
        let seen = &self.seen;
        [
            ("writes acknowledged", seen.writes(Answer::Acknowledged)),
            ("writes that did not run", seen.writes(Answer::DidNotRun)),
            ("writes of unknown outcome", seen.writes(Answer::Unknown)),
            (
                "errors outside the documented families",
                seen.odd_errors.values().sum(),
            ),
            ("reads answered", seen.reads),
            ("reads failed", seen.failed_reads.values().sum()),
            ("wrong reads", seen.wrong_reads),
            ("lost writes", self.audit.lost),
            ("doubled writes", self.audit.doubled),
            ("false refusals", self.audit.false_refusals),
        ]
    }
}

/// Everything that one deployment's runs gave.
pub(super) struct Result {
    pub(super) strikes: Part<Vec<Strike>>,
    pub(super) quiet: Part<Vec<Calm>>,
}

fn two(latency: &Latency) -> [String; 3] {
    [
        latency.count().to_string(),
        report::millis(latency.quantile(0.5)),
        report::millis(latency.max()),
    ]
}

fn collect(spans: impl Iterator<Item = Span>) -> Latency {
    let mut latency = Latency::default();
    spans.for_each(|span| latency.record(span));
    latency
}

/// The time of a stage in one change: every proxy detects the loss and notes its first
/// acknowledged write, and the change goes on with the first of them.
fn first(stages: &[Stage], phase: Phase) -> Option<Span> {
    let of_phase = stages.iter().filter(|s| s.phase == phase);
    of_phase.map(|s| s.took).min()
}

impl Result {
    /// Answers that broke a promise.
    pub(super) fn broken(&self) -> u64 {
        self.strikes.broken() + self.quiet.broken()
    }

    /// The tables for people and programs.
    pub(super) fn tables(&self, deployment: Deployment) -> [Table; 4] {
        [
            self.gap_table(deployment),
            self.stage_table(deployment),
            self.quiet_table(deployment),
            self.answer_table(deployment),
        ]
    }

    fn gap_table(&self, deployment: Deployment) -> Table {
        let title = format!("write gap, {deployment}");
        let mut table = Table::new(
            &title,
            &[
                "fault", "faults", "gaps", "median", "worst", "replaced", "settled",
            ],
        );
        let mut row = |name: &str, keep: &dyn Fn(Loss) -> bool| {
            let chosen = || self.strikes.faults.iter().filter(|s| keep(s.loss));
            let gaps = collect(
                chosen()
                    .filter_map(|s| gap(&self.strikes.seen, s))
                    .map(Span::from),
            );
            let [count, median, worst] = two(&gaps);
            let replaced = chosen().filter(|s| s.replaced).count().to_string();
            let settled = chosen().filter(|s| s.settled).count().to_string();
            let faults = chosen().count().to_string();
            table.row([
                name.to_owned(),
                faults,
                count,
                median,
                worst,
                replaced,
                settled,
            ]);
        };
        row("all", &|_| true);
        row("killed", &|loss| loss == Loss::Kill);
        row("cut off", &|loss| loss == Loss::CutOff);
        row("isolated, believes it leads", &|loss| {
            loss == Loss::Isolated
        });
        table
    }

    fn stage_table(&self, deployment: Deployment) -> Table {
        let title = format!("stages of the gap as the proxies logged them, {deployment}");
        let mut table = Table::new(&title, &["stage", "count", "median", "worst"]);
        for phase in decisions::PHASES {
            let spans = self.strikes.faults.iter();
            let spans = spans.filter_map(|s| first(&s.stages, phase));
            let [count, median, worst] = two(&collect(spans));
            table.row([phase.to_string(), count, median, worst]);
        }
        table
    }

    fn quiet_table(&self, deployment: Deployment) -> Table {
        let title = format!("faults that must not change the primary, {deployment}");
        let mut table = Table::new(&title, &["fault", "times", "changes", "worst gap"]);
        for calm in &self.quiet.faults {
            let gaps = calm
                .spans
                .iter()
                .filter_map(|(a, b)| longest(&self.quiet.seen, *a, *b));
            let worst = gaps.max().unwrap_or_default();
            table.row([
                format!("{:?}", calm.quiet),
                calm.times.to_string(),
                calm.changes.to_string(),
                report::millis(worst.into()),
            ]);
        }
        table
    }

    fn answer_table(&self, deployment: Deployment) -> Table {
        let title = format!("answers, {deployment}");
        let mut table = Table::new(&title, &["figure", "losses", "other faults"]);
        for ((name, losses), (_, others)) in
            self.strikes.counts().into_iter().zip(self.quiet.counts())
        {
            table.row([name.to_owned(), losses.to_string(), others.to_string()]);
        }
        table
    }
}
