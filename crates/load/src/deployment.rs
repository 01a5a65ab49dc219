//! The operators' deployments, as embedded stand-ins imitate them.

use std::fmt;

use clap::{Arg, ArgMatches};

/// Sizes and delays of one operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Three groups in Attica and Macedonia.
    Ypsilon,
    /// Three groups in Budapest and Debrecen.
    Budapest,
}

const NAME: &str = "deployment";

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ypsilon => "ypsilon",
            Self::Budapest => "budapest",
        })
    }
}

impl Deployment {
    /// The stand-ins to start.
    pub fn spec(self) -> standin::Spec {
        match self {
            Self::Ypsilon => standin::Spec::ypsilon(),
            Self::Budapest => standin::Spec::budapest(),
        }
    }
}

/// The argument that chooses deployments.
pub fn argument() -> Arg {
    Arg::new(NAME)
        .long(NAME)
        .value_name("NAME")
        .help("Choose the sizes and delays")
        .value_parser(["ypsilon", "budapest", "both"])
        .default_value("both")
}

/// The deployments that were chosen.
pub fn chosen(args: &ArgMatches) -> Vec<Deployment> {
    let name = args.get_one::<String>(NAME).expect("has a default");
    let all = [Deployment::Ypsilon, Deployment::Budapest];
    all.into_iter()
        .filter(|d| name == "both" || *name == d.to_string())
        .collect()
}
