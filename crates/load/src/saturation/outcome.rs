//! What became of the requests, and the figures drawn from it.

use model::unit::Span;

use super::workload::{Arrival, DEADLINE, Kind, Scenario};
use crate::report::Latency;

/// A refusal that comes within this time costs its caller nothing.
const PROMPT: Span = Span::from_millis(10);

/// What became of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered after this time.
    Answered(Span),
    /// Refused after this time.
    Refused(Span),
    /// Neither answered nor refused.
    Lost,
}

impl Outcome {
    fn in_time(self) -> bool {
        matches!(self, Self::Answered(took) if took <= DEADLINE)
    }
}

/// Latency of one class.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct ClassFigures {
    /// The class.
    pub class: Kind,
    /// Part of its requests that were answered in time.
    pub served: f64,
    /// Median latency in milliseconds.
    pub p50: f64,
    /// 99th percentile in milliseconds.
    pub p99: f64,
    /// 99.9th percentile in milliseconds.
    pub p999: f64,
}

/// Figures of one run.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Figures {
    /// Requests.
    pub offered: usize,
    /// Part of the offered requests that were answered in time.
    pub served: f64,
    /// Requests answered in time, as a part of the capacity over the run.
    pub goodput: f64,
    /// Requests refused.
    pub refused: usize,
    /// Part of the refusals that came within 10 ms.
    pub prompt: f64,
    /// Requests neither answered nor refused; always a fault.
    pub lost: usize,
    /// Jain's index of what callers got against what they were entitled to.
    pub jain: f64,
    /// Least part of its entitlement that a caller got.
    pub worst: f64,
    /// Part of its requests that each caller got answered in time.
    pub callers: Vec<f64>,
    /// By class, the most urgent first. Callers that ask for more than their part
    /// are left out, unless all do.
    pub classes: Vec<ClassFigures>,
}

/// Draws the figures of a run of `length`.
pub fn figures(
    scenario: &Scenario,
    length: Span,
    arrivals: &[Arrival],
    outcomes: &[Outcome],
) -> Figures {
    let both = || arrivals.iter().zip(outcomes);
    let good = outcomes.iter().filter(|o| o.in_time()).count();
    let refusals: Vec<Span> = outcomes.iter().filter_map(|o| refusal(*o)).collect();
    let prompt = refusals.iter().filter(|after| **after <= PROMPT).count();
    let seconds = length.as_micros() as f64 / 1e6;
    let callers = scenario.demand.len();
    let mut asked = vec![0.0; callers];
    let mut got = vec![0.0; callers];
    for (arrival, outcome) in both() {
        asked[arrival.caller] += 1.0;
        got[arrival.caller] += f64::from(u8::from(outcome.in_time()));
    }
    let entitled = entitlements(&asked, scenario.capacity() * seconds);
    let parts: Vec<f64> = got
        .iter()
        .zip(&entitled)
        .map(|(g, e)| ratio(*g, *e))
        .collect();
    let modest: Vec<bool> = asked.iter().zip(&entitled).map(|(a, e)| a <= e).collect();
    let all = !modest.contains(&true);
    let heard = |(a, _): &(&Arrival, &Outcome)| all || modest[a.caller];
    let class = |kind| class_figures(kind, both().filter(heard));
    Figures {
        offered: arrivals.len(),
        served: ratio(good as f64, arrivals.len() as f64),
        goodput: good as f64 / (scenario.capacity() * seconds),
        refused: refusals.len(),
        prompt: ratio(prompt as f64, refusals.len() as f64),
        lost: outcomes.iter().filter(|o| **o == Outcome::Lost).count(),
        jain: jain(&parts),
        worst: parts.iter().copied().fold(f64::INFINITY, f64::min),
        callers: got.iter().zip(&asked).map(|(g, a)| ratio(*g, *a)).collect(),
        classes: Kind::ALL.into_iter().map(class).collect(),
    }
}

fn refusal(outcome: Outcome) -> Option<Span> {
    match outcome {
        Outcome::Refused(after) => Some(after),
        Outcome::Answered(_) | Outcome::Lost => None,
    }
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}

fn class_figures<'a>(
    kind: Kind,
    requests: impl Iterator<Item = (&'a Arrival, &'a Outcome)>,
) -> ClassFigures {
    let mut latency = Latency::default();
    let (mut asked, mut good) = (0.0, 0.0);
    for (_, outcome) in requests.filter(|(a, _)| a.kind == kind) {
        asked += 1.0;
        good += f64::from(u8::from(outcome.in_time()));
        if let Outcome::Answered(took) = outcome {
            latency.record(*took);
        }
    }
    let ms = |share| latency.quantile(share).as_micros() as f64 / 1e3;
    ClassFigures {
        class: kind,
        served: ratio(good, asked),
        p50: ms(0.5),
        p99: ms(0.99),
        p999: ms(0.999),
    }
}

/// Equal parts of the capacity, where callers that ask for less leave the rest.
fn entitlements(asked: &[f64], capacity: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..asked.len()).collect();
    order.sort_by(|a, b| asked[*a].total_cmp(&asked[*b]));
    let mut left = capacity;
    let mut entitled = vec![0.0; asked.len()];
    for (at, caller) in order.iter().enumerate() {
        let part = left / (asked.len() - at) as f64;
        entitled[*caller] = asked[*caller].min(part);
        left -= entitled[*caller];
    }
    entitled
}

fn jain(parts: &[f64]) -> f64 {
    let sum: f64 = parts.iter().sum();
    let squares: f64 = parts.iter().map(|p| p * p).sum();
    ratio(sum * sum, parts.len() as f64 * squares)
}
