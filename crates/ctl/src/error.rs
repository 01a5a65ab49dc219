//! Failures of a command and the exit codes that they lead to.

use std::path::PathBuf;
use std::process::ExitCode;

use miette::Diagnostic;
use model::position::Revision;
use model::source::LocatedError;

use crate::diff::Difference;

/// Exit code after findings, a conflict or an unmet wait.
pub const EXIT_FOUND: u8 = 1;

/// Exit code after a wrong command line or an unreadable file.
pub const EXIT_USAGE: u8 = 2;

/// Exit code when the store or a proxy gave no answer.
pub const EXIT_UNAVAILABLE: u8 = 3;

/// Why a command did not succeed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Failure {
    /// The file cannot be read.
    #[error("cannot read {path}: {cause}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// The file has faults; each is reported by itself.
    #[error("{} fault(s) in the file", .0.len())]
    Findings(Vec<LocatedError>),
    /// The file does not say which revision it changes.
    #[error("the store holds revision {0}, and the file does not say which one it changes")]
    #[diagnostic(help(
        "get the configuration in force by `pomelo-ctl get`, or state --base REVISION"
    ))]
    NoBase(Revision),
    /// Someone else changed the configuration.
    #[error("conflict: revision {base} is no longer in force, revision {current} is")]
    #[diagnostic(help(
        "nothing was changed; get revision {current}, make your change there and apply again"
    ))]
    Conflict {
        /// Revision that the file changes.
        base: Revision,
        /// Revision in force.
        current: Revision,
        /// What applying the file would change, the other operator's work included.
        differences: Vec<Difference>,
    },
    /// The answer to a write was lost and could not be asked for.
    #[error("the store did not answer: the change may have been applied")]
    #[diagnostic(help("run `pomelo-ctl diff` on the file: no difference means it is in force"))]
    Unknown,
    /// The configuration is not in force on every live proxy.
    #[error("revision {revision} is not in force on {missing} of {live} live proxies")]
    NotInForce {
        /// Revision that was waited for.
        revision: Revision,
        /// Live proxies without it.
        missing: usize,
        /// Live proxies.
        live: usize,
    },
    /// The store gave no usable answer.
    #[error("the store is not available: {0}")]
    Store(#[from] store::Error),
    /// What the store holds cannot be used.
    #[error(transparent)]
    Config(#[from] store::config::ConfigError),
    /// A proxy's page could not be read.
    #[error("{url} is not available: {cause}")]
    Page {
        /// The page.
        url: String,
        /// Why.
        cause: crate::pages::PageError,
    },
    /// The runtime could not be started.
    #[error("cannot start: {0}")]
    Runtime(#[from] std::io::Error),
    /// The result could not be written as JSON.
    #[error("cannot write the result: {0}")]
    Output(#[from] serde_json::Error),
}

impl Failure {
    /// The exit code that tells a script what happened.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Findings(_) | Self::Conflict { .. } | Self::NotInForce { .. } => EXIT_FOUND,
            Self::File { .. } | Self::NoBase(_) | Self::Store(store::Error::NoEndpoint) => {
                EXIT_USAGE
            }
            _ => EXIT_UNAVAILABLE,
        };
        code.into()
    }

    /// Prints the failure to standard error, with the place in the file if there is one.
    pub fn print(self) {
        match self {
            Self::Findings(faults) => {
                for fault in faults {
                    eprintln!("{:?}", miette::Report::new(fault));
                }
            }
            other => {
                if let Self::Conflict { differences, .. } = &other {
                    eprintln!("applying the file would change:");
                    for difference in differences {
                        eprintln!("  {difference}");
                    }
                }
                eprintln!("{:?}", miette::Report::new(other));
            }
        }
    }
}
