//! Configuration files.

use std::path::Path;

use model::config::Fleet;
use model::position::Revision;
use model::source::Source;

use crate::error::Failure;

/// Begins the comment that tells which revision a file changes.
const REVISION_COMMENT: &str = "// revision:";

/// A file without faults.
#[derive(Debug)]
pub struct Checked {
    /// The configuration.
    pub fleet: Fleet,
    /// Revision named in the file's first line.
    pub base: Option<Revision>,
}

/// Reads and checks a file.
pub fn read(path: &Path) -> Result<Checked, Failure> {
    let text = std::fs::read_to_string(path).map_err(|cause| Failure::File {
        path: path.to_owned(),
        cause,
    })?;
    check(&path.display().to_string(), &text)
}

/// Checks a file's text; `name` is shown in messages.
pub fn check(name: &str, text: &str) -> Result<Checked, Failure> {
    let source = Source::new(name, text);
    let parsed = source.parse::<Fleet>();
    let fleet = parsed.map_err(|fault| Failure::Findings(vec![*fault]))?;
    let findings = fleet.check();
    if findings.is_empty() {
        let base = base(text);
        return Ok(Checked { fleet, base });
    }
    let faults = findings.into_iter().map(|f| source.locate(f));
    Err(Failure::Findings(faults.collect()))
}

fn base(text: &str) -> Option<Revision> {
    let line = text.lines().next()?;
    line.strip_prefix(REVISION_COMMENT)?.trim().parse().ok()
}

/// Writes a configuration as a file that says which revision it changes.
pub fn write(fleet: &Fleet, revision: Revision) -> Result<String, Failure> {
    let json = serde_json::to_string_pretty(fleet)?;
    Ok(format!("{REVISION_COMMENT} {revision}\n{json}"))
}
