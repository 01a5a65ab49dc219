//! Measures the decisions under load against two simple disciplines.

pub mod discipline;
pub mod outcome;
pub mod simulate;
pub mod workload;

use clap::{Arg, ArgMatches, Command};
use model::unit::Span;

use crate::report::Table;
use discipline::Name;
use outcome::Figures;
use workload::Scenario;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("saturation")
        .about("Compare the order and refusal of requests with two simple disciplines")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("Length of each run")
                .value_parser(clap::value_parser!(u64).range(1..))
                .default_value("20"),
        )
        .arg(
            Arg::new("proxies")
                .long("proxies")
                .help("Proxies that share the servers")
                .value_parser(clap::value_parser!(u64).range(1..=20))
                .default_value("1"),
        )
        .arg(
            Arg::new("no-lender")
                .long("no-lender")
                .help("Leave the proxies their guaranteed connections only")
                .action(clap::ArgAction::SetTrue),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("Seed of the arrivals")
                .value_parser(clap::value_parser!(u64))
                .default_value("1"),
        )
}

/// One run of one discipline.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Run {
    /// Scenario.
    pub scenario: &'static str,
    /// Discipline.
    pub discipline: Name,
    /// What came of it.
    pub figures: Figures,
}

/// Runs every scenario with every discipline.
pub fn run(args: &ArgMatches) -> miette::Result<Vec<Table>> {
    let number = |name| {
        *args
            .get_one::<u64>(name)
            .expect("clap fills in the default")
    };
    let length = Span::from_millis(number("seconds") * 1_000);
    let proxies = number("proxies") as usize;
    let fleet = if args.get_flag("no-lender") {
        simulate::Fleet::floors(proxies)
    } else {
        simulate::Fleet::lent(proxies)
    };
    let runs = simulated(length, fleet, number("seed"));
    Ok(tables(&runs))
}

/// Every scenario.
pub fn scenarios() -> Vec<Scenario> {
    vec![
        Scenario::unloaded(),
        Scenario::bursts(),
        Scenario::skewed(),
        Scenario::slow_server(),
        Scenario::mixed(),
        Scenario::saturated(),
        Scenario::quiet(),
        Scenario::noisy(),
    ]
}

/// Runs in virtual time.
pub fn simulated(length: Span, fleet: simulate::Fleet, seed: u64) -> Vec<Run> {
    let mut runs = Vec::new();
    for scenario in scenarios() {
        let arrivals = scenario.arrivals(length, seed);
        for discipline in Name::ALL {
            let outcomes = simulate::run(&scenario, &arrivals, discipline, fleet);
            runs.push(Run {
                scenario: scenario.name,
                discipline,
                figures: outcome::figures(&scenario, length, &arrivals, &outcomes),
            });
        }
    }
    runs
}

fn tables(runs: &[Run]) -> Vec<Table> {
    vec![overview(runs), latencies(runs)]
}

fn percent(part: f64) -> String {
    format!("{:.1} %", part * 100.0)
}

fn overview(runs: &[Run]) -> Table {
    let columns = [
        "scenario, discipline",
        "offered",
        "in time",
        "of capacity",
        "refused",
        "in 10 ms",
        "Jain",
        "worst caller",
        "lost",
    ];
    let mut table = Table::new("Outcomes for callers", &columns);
    for run in runs {
        let f = &run.figures;
        table.row([
            format!("{}, {}", run.scenario, run.discipline.text()),
            f.offered.to_string(),
            percent(f.served),
            percent(f.goodput),
            f.refused.to_string(),
            percent(f.prompt),
            format!("{:.3}", f.jain),
            percent(f.worst),
            f.lost.to_string(),
        ]);
    }
    table
}

fn latencies(runs: &[Run]) -> Table {
    let columns = [
        "scenario, discipline, class",
        "in time",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
    ];
    let mut table = Table::new("Latency by class", &columns);
    for run in runs {
        for class in &run.figures.classes {
            let name = class.class.name();
            table.row([
                format!("{}, {}, {name}", run.scenario, run.discipline.text()),
                percent(class.served),
                format!("{:.1}", class.p50),
                format!("{:.1}", class.p99),
                format!("{:.1}", class.p999),
            ]);
        }
    }
    table
}
