//! What each further peer, group and configuration change costs: control bytes, processor
//! time, memory and calls to the store, at three sizes or more.

mod adoption;
mod membership;
mod process;
mod sockets;

use clap::{Arg, ArgMatches, Command, value_parser};
use miette::IntoDiagnostic as _;

use crate::report::Table;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("slopes")
        .about("Measure what each further peer, group and configuration change costs")
        .long_about(
            "Drive the membership and adoption controllers directly at growing sizes, then \
             run embedded proxies in 1 to 3 data centres over real sockets. Print control \
             bytes, processor time, memory, and calls to the store.",
        )
        .arg(
            Arg::new("part")
                .long("part")
                .value_name("NAME")
                .help("Measure one part only")
                .value_parser(["adoption", "membership", "sockets"]),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .help("Set the length of each idle run")
                .default_value("10")
                .value_parser(value_parser!(u64).range(2..=120)),
        )
}

/// Runs the parts and returns a table of each.
pub fn run(args: &ArgMatches) -> miette::Result<Vec<Table>> {
    let part = args.get_one::<String>("part").map(String::as_str);
    let seconds = *args.get_one("seconds").expect("has a default");
    let wanted = |name| part.is_none_or(|part| part == name);
    let mut tables = Vec::new();
    if wanted("adoption") {
        tables.push(adoption::measure()?);
    }
    if wanted("membership") {
        tables.push(membership::measure()?);
    }
    if wanted("sockets") {
        let runtime = compio::runtime::Runtime::new().into_diagnostic()?;
        tables.push(runtime.block_on(sockets::measure(seconds))?);
    }
    Ok(tables)
}
