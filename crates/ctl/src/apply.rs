//! Putting a configuration in force.

use model::position::Revision;
use store::Client;
use store::kv::Outcome;

use crate::diff::{self, Difference};
use crate::error::Failure;
use crate::file::Checked;

/// What an application changed.
#[derive(Debug)]
pub enum Applied {
    /// The file is in force already.
    Unchanged(Revision),
    /// The file is in force from this revision on.
    Changed(Revision, Vec<Difference>),
}

/// Puts a file in force, if the revision that it changes still is.
///
/// There is no way to override a conflict: whoever comes second sees what the first
/// changed, and decides with that in view.
pub async fn apply(
    client: &Client,
    file: &Checked,
    base: Option<Revision>,
    nonce: &str,
) -> Result<Applied, Failure> {
    let stored = client.load_config().await?;
    let differences = diff::compare(&stored.fleet, &file.fleet)?;
    if stored.revision > Revision(0) && differences.is_empty() {
        return Ok(Applied::Unchanged(stored.revision));
    }
    let base = match (base.or(file.base), stored.revision) {
        (Some(base), _) => base,
        (None, Revision(0)) => Revision(0),
        (None, current) => return Err(Failure::NoBase(current)),
    };
    if base != stored.revision {
        return Err(Failure::Conflict {
            base,
            current: stored.revision,
            differences,
        });
    }
    match client.save_config(&stored, &file.fleet, nonce).await? {
        Outcome::Applied(revision) => Ok(Applied::Changed(revision, differences)),
        Outcome::Unknown => Err(Failure::Unknown),
        Outcome::Conflict(_) => {
            let now = client.load_config().await?;
            Err(Failure::Conflict {
                base,
                current: now.revision,
                differences: diff::compare(&now.fleet, &file.fleet)?,
            })
        }
    }
}
