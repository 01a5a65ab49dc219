//! Processor time and memory of this process, as the kernel counts them.

use std::fs;
use std::time::Duration;

/// Name of the threads on which embedded proxies run.
const PROXY_THREAD: &str = "proxy";

/// Size of a page; every kernel that this runs on uses it.
const PAGE: u64 = 4_096;

/// Processor time so far of all threads that embedded proxies run on.
pub(super) fn proxies_cpu() -> Duration {
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let nanos = threads.flatten().filter_map(|thread| {
        let path = thread.path();
        let name = fs::read_to_string(path.join("comm")).ok()?;
        let stat = fs::read_to_string(path.join("schedstat")).ok()?;
        let nanos: u64 = stat.split(' ').next()?.parse().ok()?;
        (name.trim() == PROXY_THREAD).then_some(nanos)
    });
    Duration::from_nanos(nanos.sum())
}

/// Processor time so far of the calling thread.
pub(super) fn thread_cpu() -> Duration {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = stat.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}

/// Resident memory of the process, in bytes.
pub(super) fn memory() -> u64 {
    let stat = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = stat.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE
}
