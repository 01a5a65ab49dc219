//! The proxy process.

use std::process;

use futures_util::future;
use miette::IntoDiagnostic as _;
use proxy::{cli, run};
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

fn main() -> process::ExitCode {
    match serve() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:?}");
            process::ExitCode::FAILURE
        }
    }
}

fn serve() -> miette::Result<()> {
    let options = cli::parse()?;
    if options.check {
        println!("settings are valid");
        return Ok(());
    }
    log_to_stderr();
    let runtime = compio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(async {
        let server = run::Server::bind(options.config).await?;
        server.serve(signalled()).await;
        Ok(())
    })
}

async fn signalled() {
    let term = std::pin::pin!(compio::signal::unix::signal(SIGTERM));
    let int = std::pin::pin!(compio::signal::unix::signal(SIGINT));
    future::select(term, int).await;
}

fn log_to_stderr() {
    let logs = tracing_logfmt::builder()
        .layer()
        .with_writer(std::io::stderr);
    let filter = tracing_subscriber::EnvFilter::builder()
        .with_default_directive(tracing::Level::INFO.into())
        .from_env_lossy();
    tracing_subscriber::registry()
        .with(filter)
        .with(logs)
        .init();
}
