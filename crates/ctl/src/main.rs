//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    let config = ctl::cli::parse();
    match ctl::run::run(&config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            let code = failure.exit_code();
            failure.print();
            code
        }
    }
}
