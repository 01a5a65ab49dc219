//! Which revision each proxy has in force.

use std::time::{Duration, Instant};

use model::position::Revision;
use peer::status::{self, Member, Status};

use crate::error::Failure;
use crate::pages;

/// Time between two looks while waiting.
const POLL: Duration = Duration::from_millis(250);

/// State of a proxy that counts towards a wait.
const LIVE: &str = "live";

/// Reads the status page of a proxy.
pub async fn read(proxies: &[String]) -> Result<Status, Failure> {
    pages::read(proxies, status::PATH).await
}

/// Waits until every live proxy has `revision` in force, at most `within`.
pub async fn wait(
    proxies: &[String],
    revision: Revision,
    within: Duration,
) -> Result<Status, Failure> {
    let end = Instant::now() + within;
    loop {
        let status = read(proxies).await?;
        let live = || status.members.iter().filter(|m| m.state == LIVE);
        let missing = live().filter(|m| m.revision < revision).count();
        if missing == 0 && live().count() > 0 {
            return Ok(status);
        }
        if Instant::now() >= end {
            return Err(Failure::NotInForce {
                revision,
                missing,
                live: live().count(),
            });
        }
        compio::time::sleep(POLL).await;
    }
}

/// The page as a table.
pub fn table(status: &Status) -> String {
    let mut lines = vec![format!(
        "{:<24} {:<16} {:<22} {:<10} {:>10}",
        "PROXY", "DATA CENTRE", "ADDRESS", "STATE", "REVISION"
    )];
    lines.extend(status.members.iter().map(line));
    lines.join("\n")
}

fn line(member: &Member) -> String {
    format!(
        "{:<24} {:<16} {:<22} {:<10} {:>10}",
        member.proxy.as_str(),
        member.data_centre.as_str(),
        member.address.to_string(),
        member.state,
        member.revision.to_string()
    )
}
