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

/// Clock ticks in a second, by which Linux counts a thread's time towards processes.
const TICKS: u32 = 100;

/// User and system time are the 12th and 13th figure after the name in `stat`.
fn running(task: &path::Path) -> Duration {
    let text = fs::read_to_string(task.join("stat")).unwrap_or_default();
    let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let figures = rest.split_whitespace().skip(11).take(2);
    let ticks: u32 = figures.filter_map(|n| n.parse::<u32>().ok()).sum();
    Duration::from_secs(1) * ticks / TICKS
}
