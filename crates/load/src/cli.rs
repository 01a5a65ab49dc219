//! The command line of the load tool.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::report::Table;
use crate::{demo, failover, latency, placement, read_share, saturation, slopes};

/// One measurement with its own subcommand.
pub struct Scenario {
    /// Describes the subcommand and its arguments.
    pub command: fn() -> Command,
    /// Runs the measurement and returns its figures.
    pub run: fn(&ArgMatches) -> miette::Result<Vec<Table>>,
}

/// Every measurement, in the order of the help text.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        command: demo::command,
        run: demo::run,
    },
    Scenario {
        command: failover::command,
        run: failover::run,
    },
    Scenario {
        command: latency::command,
        run: latency::run,
    },
    Scenario {
        command: placement::command,
        run: placement::run,
    },
    Scenario {
        command: read_share::command,
        run: read_share::run,
    },
    Scenario {
        command: saturation::command,
        run: saturation::run,
    },
    Scenario {
        command: slopes::command,
        run: slopes::run,
    },
];

/// What to do after the command line was read.
pub struct Config {
    /// Measurement to run.
    pub run: fn(&ArgMatches) -> miette::Result<Vec<Table>>,
    /// Arguments of the measurement.
    pub args: ArgMatches,
    /// File that receives the figures as JSON.
    pub json: Option<PathBuf>,
    /// Whether the embedded processes log to standard error.
    pub verbose: bool,
}

/// Describes the command line; each measurement is a subcommand.
pub fn command() -> Command {
    Command::new("pomelo-load")
        .version(clap::crate_version!())
        .about("Measure a fleet of proxies")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .help("Write the figures as JSON")
                .value_parser(clap::value_parser!(PathBuf))
                .global(true),
        )
        .arg(
            Arg::new("verbose")
                .long("verbose")
                .help("Log what the embedded processes do")
                .action(ArgAction::SetTrue)
                .global(true),
        )
        .subcommands(SCENARIOS.iter().map(|s| (s.command)()))
}

/// Reads the command line; a wrong one ends the process with a message.
pub fn parse() -> Config {
    let matches = command().get_matches();
    let (name, args) = matches.subcommand().expect("clap requires a subcommand");
    let scenario = SCENARIOS.iter().find(|s| (s.command)().get_name() == name);
    Config {
        run: scenario.expect("clap knows only these names").run,
        args: args.clone(),
        json: args.get_one("json").cloned(),
        verbose: args.get_flag("verbose"),
    }
}
