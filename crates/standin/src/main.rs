//! Stand-ins for the platform and for database groups, as one process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::{Arg, Command, value_parser};
use miette::{IntoDiagnostic as _, WrapErr as _};
use standin::{Fleet, Spec, admin};

const SPEC: &str = "spec";
const PRESET: &str = "preset";
const ADMIN: &str = "admin";

fn cli() -> Command {
    Command::new("pomelo-standin")
        .version(clap::crate_version!())
        .about("Stand-ins for database groups, the platform and the links between data centres")
        .arg(
            Arg::new(PRESET)
                .long(PRESET)
                .value_parser(["small", "ypsilon", "budapest"])
                .default_value("small")
                .help("Sizes and delays to start with"),
        )
        .arg(
            Arg::new(SPEC)
                .long(SPEC)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .conflicts_with(PRESET)
                .help("Sizes and delays as JSON with comments"),
        )
        .arg(
            Arg::new(ADMIN)
                .long(ADMIN)
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:7070")
                .help("Where faults and observations are served"),
        )
}

fn read(path: &Path) -> miette::Result<Spec> {
    let at = || path.display().to_string();
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(at)?;
    model::config::parse(&text)
        .into_diagnostic()
        .wrap_err_with(at)
}

fn preset(name: &str) -> Spec {
    match name {
        "ypsilon" => Spec::ypsilon(),
        "budapest" => Spec::budapest(),
        _ => Spec::small(),
    }
}

fn log_to_stderr() {
    use tracing_subscriber::prelude::*;
    tracing_subscriber::registry()
        .with(tracing_subscriber::filter::LevelFilter::INFO)
        .with(
            tracing_logfmt::builder()
                .layer()
                .with_writer(std::io::stderr),
        )
        .init();
}

fn main() -> miette::Result<()> {
    let args = cli().get_matches();
    log_to_stderr();
    let spec = match args.get_one::<PathBuf>(SPEC) {
        Some(path) => read(path)?,
        None => preset(
            args.get_one::<String>(PRESET)
                .map_or("small", String::as_str),
        ),
    };
    let fleet = Fleet::start(spec).into_diagnostic()?;
    println!("{:#}", admin::overview(&fleet));
    let address = *args.get_one::<SocketAddr>(ADMIN).expect("it has a default");
    let runtime = compio::runtime::Runtime::new().into_diagnostic()?;
    runtime
        .block_on(admin::serve(&fleet, address))
        .into_diagnostic()
}
