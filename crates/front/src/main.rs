//! The proxy process on the operators' platform.

use std::process;

use front::{cli, logs, run};
use miette::IntoDiagnostic as _;

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
    let _logs = logs::start().into_diagnostic()?;
    let runtime = compio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(run::run(options.config, requests))?;
    Ok(())
}
