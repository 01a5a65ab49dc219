//! Carries out what the command line asks for.

use std::io;
use std::path::Path;

use model::config::Fleet;
use model::unit::Span;
use store::Client;

use crate::apply::{self, Applied};
use crate::cli::{self, Action, Config};
use crate::error::Failure;
use crate::{diff, explain, file, status};

/// Carries out a command and prints its result.
pub fn run(config: &Config) -> Result<(), Failure> {
    match &config.action {
        Action::Check(path) => {
            file::read(path)?;
            println!("{} has no faults", path.display());
            Ok(())
        }
        Action::Completions(shell) => {
            let mut command = cli::command();
            clap_complete::generate(*shell, &mut command, "pomelo-ctl", &mut io::stdout());
            Ok(())
        }
        Action::Schema => {
            let schema = schemars::schema_for!(Fleet);
            println!("{}", serde_json::to_string_pretty(&schema)?);
            Ok(())
        }
        _ => compio::runtime::Runtime::new()?.block_on(run_online(config)),
    }
}

async fn run_online(config: &Config) -> Result<(), Failure> {
    let client = Client::new(config.store.clone())?;
    match &config.action {
        Action::Diff(path) => show_diff(&client, path).await,
        Action::Apply { file, base } => {
            let file = file::read(file)?;
            let nonce = format!("{:032x}", rand::random::<u128>());
            show_applied(&apply::apply(&client, &file, *base, &nonce).await?);
            Ok(())
        }
        Action::Get => {
            let stored = client.load_config().await?;
            println!("{}", file::write(&stored.fleet, stored.revision)?);
            Ok(())
        }
        Action::Status { wait } => show_status(config, &client, *wait).await,
        Action::Explain(group) => {
            for decision in explain::read(&config.proxies, group).await? {
                println!("{}", explain::line(&decision));
            }
            Ok(())
        }
        Action::Check(_) | Action::Completions(_) | Action::Schema => Ok(()),
    }
}

async fn show_diff(client: &Client, path: &Path) -> Result<(), Failure> {
    let file = file::read(path)?;
    let stored = client.load_config().await?;
    println!("revision {} is in force", stored.revision);
    let differences = diff::compare(&stored.fleet, &file.fleet)?;
    for difference in &differences {
        println!("{difference}");
    }
    if differences.is_empty() {
        println!("no difference");
    }
    Ok(())
}

fn show_applied(applied: &Applied) {
    match applied {
        Applied::Unchanged(revision) => println!("in force already, at revision {revision}"),
        Applied::Changed(revision, differences) => {
            for difference in differences {
                println!("{difference}");
            }
            println!("applied as revision {revision}; base your next change on it");
        }
    }
}

async fn show_status(config: &Config, client: &Client, wait: Option<Span>) -> Result<(), Failure> {
    let page = match wait {
        Some(within) => {
            let newest = client.load_config().await?.revision;
            status::wait(&config.proxies, newest, within.as_duration()).await?
        }
        None => status::read(&config.proxies).await?,
    };
    println!("{}", status::table(&page));
    Ok(())
}
