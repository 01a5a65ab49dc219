//! Changes of primary one after another: the write gap that callers see, where it
//! goes, and faults that must not cause a change.

mod strike;
mod summary;

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use futures_util::future;
use miette::IntoDiagnostic as _;
use model::id::GroupId;
use standin::ControlError;

use crate::bed::{Bed, BedError};
use crate::report::Table;
use crate::workload::{self, Plan};

const SEED: u64 = 7;
/// Two proxies in each data centre.
const PROXIES: usize = 6;
/// Mostly writes, so that the gap shows in fine steps.
const READS: f64 = 0.2;
const PAUSE: Duration = Duration::from_millis(5);
/// Time for proxies to find each other and for the first writes.
const WARM_UP: Duration = Duration::from_secs(3);

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("failover")
        .about("Measure the write gap over many changes of primary")
        .long_about(
            "Start the groups, delays and proxies of a deployment in this process. While \
             sessions write, isolate, cut off or kill the primary again and again. Print \
             the gap between acknowledged writes and its stages; then switch on faults \
             that must not change the primary, and count changes.",
        )
        .arg(crate::deployment::argument())
        .arg(
            Arg::new("count")
                .long("count")
                .value_name("N")
                .help("Set the number of changes for each deployment")
                .default_value("30")
                .value_parser(value_parser!(u32).range(1..=1_000)),
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

/// Runs the measurement.
pub fn run(args: &ArgMatches) -> miette::Result<Vec<Table>> {
    let count = *args.get_one::<u32>("count").expect("has a default");
    let sessions = *args.get_one::<u32>("sessions").expect("has a default");
    let mut tables = Vec::new();
    let mut broken = 0;
    for deployment in crate::deployment::chosen(args) {
        let runtime = compio::runtime::Runtime::new().into_diagnostic()?;
        let result = runtime.block_on(job(deployment.spec(), sessions, count))?;
        broken += result.broken();
        tables.extend(result.tables(deployment));
    }
    if broken > 0 {
        for table in &tables {
            println!("{table}");
        }
        return Err(miette::miette!("{broken} broken promises"));
    }
    Ok(tables)
}

async fn job(spec: standin::Spec, sessions: u32, count: u32) -> Result<summary::Result, BedError> {
    let bed = Bed::start(spec.clone(), PROXIES).await?;
    let plan = |group: &GroupId, entries, length| Plan {
        entries,
        group: group.clone(),
        sessions,
        reads: READS,
        age: None,
        pause: PAUSE,
        length: WARM_UP + length,
        seed: SEED,
    };
    let bench = strike::Bench::new(bed.stand_ins(), &spec.groups[0]);
    let strikes = plan(&spec.groups[0], bed.entries(), strike::CYCLE * count);
    let strikes = part(&strikes, bench.strikes(count)).await?;
    // Another group, so that its sessions begin with an empty table; and no callers in
    // the data centre that will be cut off: they can only wait there, and a run of
    // sessions that all wait would show the cut as a gap of the writes.
    let group = &spec.groups[1 % spec.groups.len()];
    let bench = strike::Bench::new(bed.stand_ins(), group);
    let spared = bench.spared()?;
    let sites = spec.data_centres.len();
    let entries = bed.entries().into_iter().enumerate();
    let entries = entries.filter(|(at, _)| Some(at % sites) != spared);
    let entries = entries.map(|(_, entry)| entry).collect();
    let quiet = plan(group, entries, strike::quiet_length());
    let quiet = part(&quiet, bench.quiet(spared)).await?;
    Ok(summary::Result { strikes, quiet })
}

/// Runs sessions while `conduct` switches faults on, and checks what they were told.
async fn part<T>(
    plan: &Plan,
    conduct: impl Future<Output = Result<T, ControlError>>,
) -> Result<summary::Part<T>, BedError> {
    workload::prepare(plan).await?;
    let conduct = async {
        compio::time::sleep(WARM_UP).await;
        conduct.await
    };
    let (seen, faults) = future::join(workload::run(plan), conduct).await;
    let audit = workload::audit(plan, &seen).await?;
    Ok(summary::Part {
        faults: faults?,
        seen,
        audit,
    })
}
