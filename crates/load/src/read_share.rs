//! The share of reads that replicas serve, at several lags, with and without stated ages.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use indexmap::IndexMap;
use miette::IntoDiagnostic as _;
use model::id::{GroupId, InstanceId};
use model::unit::Span;
use standin::link::Traffic;

use crate::bed::{Bed, BedError};
use crate::deployment::{self, Deployment};
use crate::ledger::Audit;
use crate::report::{self, Table};
use crate::workload::{self, Plan, Seen};

const SEED: u64 = 11;
const PROXIES: usize = 6;
const READS: f64 = 0.9;
const PAUSE: Duration = Duration::from_millis(10);
/// Age that reads state in the runs with stated ages; longer than either lag.
const AGE: Span = Span::from_millis(5_000);
/// Time over which the bytes of an idle fleet are counted.
const IDLE: Duration = Duration::from_secs(3);

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("read-share")
        .about("Measure the share of reads that replicas serve")
        .long_about(
            "Start the groups, delays and proxies of a deployment in this process. Roaming \
             sessions read nine times for each write. Print where the reads ran, what they \
             cost across regions, and whether any answer was staler than promised.",
        )
        .arg(deployment::argument())
        .arg(
            Arg::new("lag")
                .long("lag")
                .value_name("TIME")
                .help("Set the lags of the replicas")
                .num_args(1..)
                .default_values(["50ms", "2s"])
                .value_parser(value_parser!(Span)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .help("Set the length of each run")
                .default_value("15")
                .value_parser(value_parser!(u64).range(2..=600)),
        )
        .arg(
            Arg::new("sessions")
                .long("sessions")
                .value_name("N")
                .help("Set the number of sessions")
                .default_value("12")
                .value_parser(value_parser!(u32).range(1..=200)),
        )
}

/// What one run is about.
#[derive(Clone, Copy)]
struct Case {
    deployment: Deployment,
    lag: Span,
    age: Option<Span>,
    sessions: u32,
    length: Duration,
}

/// What one run gave.
struct Outcome {
    seen: Seen,
    audit: Audit,
    primary: u64,
    replicas: u64,
    /// Bytes of queries that crossed from one region to the other.
    crossed: u64,
    /// The same for an idle fleet over as much time.
    idle: u64,
}

/// Runs the measurement.
pub fn run(args: &ArgMatches) -> miette::Result<Vec<Table>> {
    let seconds = *args.get_one::<u64>("seconds").expect("has a default");
    let sessions = *args.get_one::<u32>("sessions").expect("has a default");
    let mut tables = Vec::new();
    let mut broken = 0;
    for deployment in deployment::chosen(args) {
        let mut table = empty(deployment);
        for lag in args
            .get_many::<Span>("lag")
            .expect("has a default")
            .copied()
        {
            for age in [None, Some(AGE)] {
                let length = Duration::from_secs(seconds);
                let case = Case {
                    deployment,
                    lag,
                    age,
                    sessions,
                    length,
                };
                let runtime = compio::runtime::Runtime::new().into_diagnostic()?;
                let outcome = runtime.block_on(job(case))?;
                broken += outcome.audit.total() + outcome.seen.wrong_reads;
                row(&mut table, case, &outcome);
            }
        }
        tables.push(table);
    }
    if broken > 0 {
        for table in &tables {
            println!("{table}");
        }
        return Err(miette::miette!("{broken} wrong answers"));
    }
    Ok(tables)
}

async fn job(case: Case) -> Result<Outcome, BedError> {
    let spec = standin::Spec {
        lag: case.lag,
        ..case.deployment.spec()
    };
    let group = spec.groups[0].clone();
    let bed = Bed::start(spec, PROXIES).await?;
    let plan = Plan {
        entries: bed.entries(),
        group: group.clone(),
        sessions: case.sessions,
        reads: READS,
        age: case.age,
        pause: PAUSE,
        length: case.length,
        seed: SEED,
    };
    workload::prepare(&plan).await?;
    // The table must be on every replica before the first read.
    compio::time::sleep(case.lag.as_duration() + IDLE).await;
    let idle_start = crossing(&bed)?;
    compio::time::sleep(IDLE).await;
    let (before, bytes) = (reads(&bed, &group)?, crossing(&bed)?);
    let seen = workload::run(&plan).await;
    let (after, end) = (reads(&bed, &group)?, crossing(&bed)?);
    let audit = workload::audit(&plan, &seen).await?;
    let ran = |at: usize| after[at] - before[at];
    Ok(Outcome {
        seen,
        audit,
        primary: ran(0),
        replicas: (1..after.len()).map(ran).sum(),
        crossed: end - bytes,
        idle: scaled(bytes - idle_start, case.length),
    })
}

/// Bytes of `IDLE`, as they would be over `length`.
fn scaled(bytes: u64, length: Duration) -> u64 {
    let share = length.as_millis() / IDLE.as_millis().max(1);
    bytes.saturating_mul(u64::try_from(share).unwrap_or(u64::MAX))
}

/// Reads by instance; the first is the primary.
fn reads(bed: &Bed, group: &GroupId) -> Result<IndexMap<InstanceId, u64>, BedError> {
    let control = bed.stand_ins().control();
    let mut out = IndexMap::new();
    for (id, placed) in &bed.stand_ins().addresses().instances {
        if placed.group == *group {
            out.insert(id.clone(), control.reads(id)?);
        }
    }
    Ok(out)
}

fn crossing(bed: &Bed) -> Result<u64, BedError> {
    let bytes = bed.stand_ins().control().bytes()?;
    let queries = |t| matches!(t, Traffic::Queries | Traffic::Relayed);
    let chosen = bytes
        .iter()
        .filter(|(flow, _)| flow.crosses() && queries(flow.traffic));
    Ok(chosen.map(|(_, n)| n).sum())
}

fn empty(deployment: Deployment) -> Table {
    Table::new(
        &format!("reads on replicas, {deployment}"),
        &[
            "lag",
            "stated age",
            "reads",
            "on replicas",
            "eligible",
            "of eligible",
            "failed",
            "wrong",
            "read p50",
            "read p99",
            "bytes across per read",
            "idle bytes across",
        ],
    )
}

fn percent(part: u64, whole: u64) -> String {
    #[allow(clippy::cast_precision_loss)]
    let share = part as f64 * 100.0 / whole.max(1) as f64;
    format!("{share:.1} %")
}

fn row(table: &mut Table, case: Case, outcome: &Outcome) {
    let seen = &outcome.seen;
    let all = outcome.primary + outcome.replicas;
    // A session reads its own writes, also where it states an age: a replica may serve
    // it once the session's newest write has reached that replica.
    let eligible = seen.since_write.at_least(case.lag);
    table.row([
        case.lag.to_string(),
        case.age.map_or("none".to_owned(), |age| age.to_string()),
        seen.reads.to_string(),
        percent(outcome.replicas, all),
        eligible.to_string(),
        percent(outcome.replicas.min(eligible), eligible),
        seen.failed_reads.values().sum::<u64>().to_string(),
        (seen.wrong_reads + outcome.audit.total()).to_string(),
        report::millis(seen.read_latency.quantile(0.5)),
        report::millis(seen.read_latency.quantile(0.99)),
        (outcome.crossed.saturating_sub(outcome.idle) / seen.reads.max(1)).to_string(),
        outcome.idle.to_string(),
    ]);
}
