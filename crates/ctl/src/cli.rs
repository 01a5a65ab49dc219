//! The command line.

use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command};
use clap_complete::Shell;
use model::id::GroupId;
use model::position::Revision;
use model::unit::Span;

/// Longest wait of `status --wait` when none is stated; a change is in force within 9 s.
const DEFAULT_WAIT: &str = "30s";

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  faults in the file, a conflict, or not in force in time
  2  wrong command line or unreadable file
  3  the store or the proxy gave no usable answer";

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Report what is wrong with a file.
    Check(PathBuf),
    /// Show what applying a file would change.
    Diff(PathBuf),
    /// Put a file in force.
    Apply {
        /// The file.
        file: PathBuf,
        /// Revision that the file changes, if stated.
        base: Option<Revision>,
    },
    /// Print the configuration in force.
    Get,
    /// Show which revision each proxy has in force.
    Status {
        /// How long to wait until every live proxy has the newest one.
        wait: Option<Span>,
    },
    /// Show recent decisions about a group.
    Explain(GroupId),
    /// Print a completion script.
    Completions(Shell),
    /// Print the JSON schema of the configuration.
    Schema,
}

/// The command line as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// What to do.
    pub action: Action,
    /// Addresses of the store.
    pub store: Vec<String>,
    /// Addresses of proxies, any of which may answer.
    pub proxies: Vec<String>,
}

/// Describes the command line.
pub fn command() -> Command {
    Command::new("pomelo-ctl")
        .version(clap::crate_version!())
        .about("Change the fleet's configuration and see what its proxies do")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args([store_arg(), proxy_arg()])
        .subcommands([
            with_file("check", "Report what is wrong with a configuration file"),
            with_file("diff", "Show what applying a file would change"),
            apply_command(),
            Command::new("get").about("Print the configuration in force, with its revision"),
            status_command(),
            explain_command(),
            completions_command(),
            Command::new("schema").about("Print the JSON schema of the configuration file"),
        ])
}

fn store_arg() -> Arg {
    Arg::new("store")
        .long("store")
        .env("POMELO_STORE")
        .value_name("URL")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .help("Address of the platform's key-value service, e.g. http://10.0.0.5:2379")
        .global(true)
}

fn proxy_arg() -> Arg {
    Arg::new("proxy")
        .long("proxy")
        .env("POMELO_PROXY")
        .value_name("URL")
        .value_delimiter(',')
        .action(ArgAction::Append)
        .help("Operators' address of a proxy, e.g. http://10.0.1.4:7001")
        .global(true)
}

fn with_file(name: &'static str, about: &'static str) -> Command {
    let file = Arg::new("file")
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .required(true)
        .help("Configuration in JSON with comments");
    Command::new(name).about(about).arg(file)
}

fn apply_command() -> Command {
    let base = Arg::new("base")
        .long("base")
        .value_name("REVISION")
        .value_parser(clap::value_parser!(u64))
        .help("Revision that the file changes [default: the one in its first comment]");
    with_file(
        "apply",
        "Put a file in force, unless someone else was faster",
    )
    .arg(base)
}

fn status_command() -> Command {
    let wait = Arg::new("wait")
        .long("wait")
        .value_name("TIME")
        .num_args(0..=1)
        .default_missing_value(DEFAULT_WAIT)
        .value_parser(|text: &str| text.parse::<Span>())
        .help("Wait until every live proxy has the newest revision in force");
    Command::new("status")
        .about("Show which revision each proxy has in force")
        .arg(wait)
}

fn explain_command() -> Command {
    let group = Arg::new("group")
        .value_name("GROUP")
        .value_parser(|text: &str| text.parse::<GroupId>())
        .required(true)
        .help("Database group");
    Command::new("explain")
        .about("Show a proxy's recent decisions about a group, with their evidence")
        .arg(group)
}

fn completions_command() -> Command {
    let shell = Arg::new("shell")
        .value_name("SHELL")
        .value_parser(PossibleValuesParser::new([
            "bash",
            "elvish",
            "fish",
            "powershell",
            "zsh",
        ]))
        .required(true);
    Command::new("completions")
        .about("Print a completion script for a shell")
        .arg(shell)
}

/// Reads the command line; a wrong one ends the process with a message.
pub fn parse() -> Config {
    config(&command().get_matches())
}

/// Interprets matches of [`command`].
pub fn config(matches: &ArgMatches) -> Config {
    let (name, args) = matches.subcommand().expect("clap requires a subcommand");
    let texts = |key| {
        let values = args.get_many::<String>(key).unwrap_or_default();
        values.cloned().collect()
    };
    Config {
        action: action(name, args),
        store: texts("store"),
        proxies: texts("proxy"),
    }
}

fn action(name: &str, args: &ArgMatches) -> Action {
    let file = || args.get_one::<PathBuf>("file").cloned().unwrap_or_default();
    match name {
        "check" => Action::Check(file()),
        "diff" => Action::Diff(file()),
        "apply" => Action::Apply {
            file: file(),
            base: args.get_one::<u64>("base").copied().map(Revision),
        },
        "get" => Action::Get,
        "status" => Action::Status {
            wait: args.get_one::<Span>("wait").copied(),
        },
        "explain" => {
            let group = args.get_one::<GroupId>("group").cloned();
            Action::Explain(group.expect("clap requires the group"))
        }
        "completions" => {
            let shell = args.get_one::<String>("shell").and_then(|s| s.parse().ok());
            Action::Completions(shell.expect("clap accepts known shells only"))
        }
        _ => Action::Schema,
    }
}
