//! Measures a fleet of proxies and prints the figures.

use std::{fs, process};

use load::{cli, report};
use miette::IntoDiagnostic as _;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

fn main() -> process::ExitCode {
    let cfg = cli::parse();
    if cfg.verbose {
        log_to_stderr();
    }
    match run(&cfg) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:?}");
            process::ExitCode::FAILURE
        }
    }
}

fn run(cfg: &cli::Config) -> miette::Result<()> {
    let tables = (cfg.run)(&cfg.args)?;
    for table in &tables {
        println!("{table}");
    }
    cfg.json
        .as_deref()
        .map_or(Ok(()), |path| write_json(path, &tables))
}

fn write_json(path: &std::path::Path, tables: &[report::Table]) -> miette::Result<()> {
    let text = serde_json::to_string_pretty(tables).into_diagnostic()?;
    fs::write(path, text).into_diagnostic()
}

fn log_to_stderr() {
    let logs = tracing_logfmt::builder()
        .layer()
        .with_writer(std::io::stderr);
    tracing_subscriber::registry()
        .with(tracing_subscriber::EnvFilter::from_default_env())
        .with(logs)
        .init();
}
