//! Processor time of a thread of this process, as Linux counts it.

use std::time::Duration;
use std::{fs, path};

/// Processor time of the newest thread with this name.
pub(super) fn of(name: &str) -> Duration {
    let tasks = fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let named = tasks.filter(|task| {
        let comm = fs::read_to_string(task.path().join("comm"));
        comm.is_ok_and(|comm| comm.trim_end() == name)
    });
    let newest =
        named.max_by_key(|task| task.file_name().to_string_lossy().parse().unwrap_or(0u64));
    newest.map(|task| running(&task.path())).unwrap_or_default()
}

/// The first figure of `schedstat` is the time on a processor in nanoseconds.
fn running(task: &path::Path) -> Duration {
    let text = fs::read_to_string(task.join("schedstat")).unwrap_or_default();
    let first = text.split_whitespace().next().and_then(|n| n.parse().ok());
    Duration::from_nanos(first.unwrap_or(0))
}
