//! The main job on embedded stand-ins: two proxies, roaming sessions, a failed primary.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use futures_util::future;
use miette::IntoDiagnostic as _;

use crate::bed::{Bed, BedError};
use crate::ledger::{Answer, Audit};
use crate::report::{self, Table};
use crate::workload::{self, Plan, Seen};

const SEED: u64 = 1;
const PROXIES: usize = 2;
/// Half of the requests are reads, so that writes show the gap in fine steps.
const READS: f64 = 0.5;
const PAUSE: Duration = Duration::from_millis(5);

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("demo")
        .about("Run the main job on embedded stand-ins")
        .long_about(
            "Start a database group, the platform and two proxies in this process. \
             Sessions write through one proxy and read through the other; half way \
             the primary is cut off. Print what callers saw.",
        )
        .arg(
            Arg::new("sessions")
                .long("sessions")
                .value_name("N")
                .help("Set the number of sessions")
                .default_value("8")
                .value_parser(value_parser!(u32).range(1..=200)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .help("Set the length of the run")
                .default_value("6")
                .value_parser(value_parser!(u64).range(2..=600)),
        )
}

/// Runs the job and returns its summary.
pub fn run(args: &ArgMatches) -> miette::Result<Vec<Table>> {
    let sessions = *args.get_one("sessions").expect("has a default");
    let seconds = *args.get_one("seconds").expect("has a default");
    let runtime = compio::runtime::Runtime::new().into_diagnostic()?;
    let length = Duration::from_secs(seconds);
    let (seen, audit) = runtime.block_on(job(sessions, length))?;
    let broken = audit.total() + seen.wrong_reads;
    let table = summary(&seen, audit);
    if broken > 0 {
        println!("{table}");
        return Err(miette::miette!("{broken} wrong answers"));
    }
    Ok(vec![table])
}

async fn job(sessions: u32, length: Duration) -> Result<(Seen, Audit), BedError> {
    let bed = Bed::start(standin::Spec::small(), PROXIES).await?;
    let plan = Plan {
        entries: bed.entries(),
        group: standin::Spec::small().groups[0].clone(),
        sessions,
        reads: READS,
        age: None,
        pause: PAUSE,
        length,
        seed: SEED,
    };
    workload::prepare(&plan).await?;
    let primary = bed.stand_ins().addresses().instances.keys().next().cloned();
    let primary = primary.expect("the stand-ins have instances");
    let control = bed.stand_ins().control();
    let fault = async {
        compio::time::sleep(length / 2).await;
        // It goes on believing that it leads, and hears nobody.
        control.isolate(&primary, Some(standin::link::Reach::Nobody))
    };
    let (seen, fault) = future::join(workload::run(&plan), fault).await;
    fault?;
    control.isolate(&primary, None)?;
    let audit = workload::audit(&plan, &seen).await?;
    Ok((seen, audit))
}

fn summary(seen: &Seen, audit: Audit) -> Table {
    let mut table = Table::new("one failed primary, two proxies", &["figure", "value"]);
    let mut row = |name: &str, value: String| table.row([name.to_owned(), value]);
    row(
        "writes acknowledged",
        seen.writes(Answer::Acknowledged).to_string(),
    );
    row(
        "writes that did not run",
        seen.writes(Answer::DidNotRun).to_string(),
    );
    row(
        "writes of unknown outcome",
        seen.writes(Answer::Unknown).to_string(),
    );
    row("reads answered", seen.reads.to_string());
    row(
        "reads failed",
        seen.failed_reads.values().sum::<u64>().to_string(),
    );
    let gap = seen.write_gap().map_or(Duration::ZERO, |(_, gap)| gap);
    row("write gap", report::millis(gap.into()));
    row(
        "write p50",
        report::millis(seen.write_latency.quantile(0.5)),
    );
    row("read p50", report::millis(seen.read_latency.quantile(0.5)));
    row("wrong reads", seen.wrong_reads.to_string());
    row("lost writes", audit.lost.to_string());
    row("doubled writes", audit.doubled.to_string());
    row("false refusals", audit.false_refusals.to_string());
    table
}
