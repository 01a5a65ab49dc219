//! The proxy process.

use std::pin::pin;
use std::process;

use futures_util::future::{self, Either};
use miette::IntoDiagnostic as _;
use proxy::{cli, run};
use signal::Requests;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

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
    let requests = signal::requests().into_diagnostic()?;
    let options = cli::parse()?;
    if options.check {
        println!("settings are valid");
        return Ok(());
    }
    log_to_stderr();
    let runtime = compio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(async {
        let server = match stop_or(&requests, run::Server::bind(options.config)).await {
            Some(server) => server?,
            None => return Ok(()),
        };
        let stopped = async {
            requests.stop().await;
            compio::runtime::spawn(requests.log()).detach();
        };
        server.serve(stopped).await;
        Ok(())
    })
}

/// The result of `start`, which may wait long for a configuration; `None` if the process is asked
/// to stop before.
async fn stop_or<T>(requests: &Requests, start: impl Future<Output = T>) -> Option<T> {
    match future::select(pin!(requests.stop()), pin!(start)).await {
        Either::Left(((), _)) => None,
        Either::Right((started, _)) => Some(started),
    }
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
