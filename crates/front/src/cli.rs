//! The command line.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, Command};
use miette::{IntoDiagnostic as _, WrapErr as _};
use model::source::Source;

use crate::config::Config;

/// Options of the command line.
pub struct Options {
    /// The parsed settings file.
    pub config: Config,
    /// Whether to check the settings and exit.
    pub check: bool,
}

/// Defines the command line.
pub fn command() -> Command {
    Command::new("pomelo-front")
        .version(clap::crate_version!())
        .about("Serve callers of replicated database groups on the operators' platform")
        .arg(
            Arg::new("config")
                .long("config")
                .short('c')
                .value_name("FILE")
                .env("POMELO_CONFIG")
                .default_value("front.jsonc")
                .value_parser(clap::value_parser!(PathBuf))
                .help("Read the settings of this process from FILE, JSON with comments"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

/// Parses the command line and reads the settings file.
pub fn parse() -> miette::Result<Options> {
    let matches = command().get_matches();
    let path: &PathBuf = matches.get_one("config").expect("it has a default");
    Ok(Options {
        config: read(path)?,
        check: matches.get_flag("check"),
    })
}

/// Reads and parses a settings file.
pub fn read(path: &Path) -> miette::Result<Config> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {name}"))?;
    let cfg: Config = Source::new(name, text)
        .parse()
        .map_err(|e| miette::Report::new_boxed(e))?;
    cfg.check()?;
    Ok(cfg)
}
