//! Measures a fleet of proxies and prints the figures.

use std::{fs, process};

use load::{cli, decisions, report};
use miette::IntoDiagnostic as _;
use tracing_subscriber::Layer as _;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

fn main() -> process::ExitCode {
    let cfg = cli::parse();
    observe(cfg.verbose);
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

/// Collects decisions, and logs to standard error if asked to.
fn observe(verbose: bool) {
    let logs = verbose.then(|| {
        tracing_logfmt::builder()
            .layer()
            .with_writer(std::io::stderr)
            .with_filter(tracing_subscriber::EnvFilter::from_default_env())
    });
    let info = tracing_subscriber::filter::LevelFilter::INFO;
    tracing_subscriber::registry()
        .with(logs)
        .with(decisions::Collector.with_filter(info))
        .init();
}
