//! Configurations that change, and whether a proxy ever goes back to an earlier one.
//!
//! Each version has a database of its own, named after it, beside the usual ones. Whoever
//! finds the database of a version there must not find that of an earlier one later.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::env::{self, DATABASES};
use crate::oracle::Oracle;

/// Longest wait for a proxy's answer; one that is paused is asked again later.
const PATIENCE: Duration = Duration::from_millis(300);

/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(100);

/// The database that only this version has.
pub(crate) fn database(version: u64) -> String {
    format!("v{version}")
}

/// The configuration of a version.
pub(crate) fn configuration(version: u64) -> serde_json::Value {
    let own = database(version);
    let mut databases = DATABASES.to_vec();
    databases.push((&own, "bounded"));
    env::configuration(version, &databases)
}

/// Whether a proxy has a database; `None` if it gives no answer.
fn has(proxy: SocketAddr, database: &str) -> Option<bool> {
    let mut stream = TcpStream::connect_timeout(&proxy, PATIENCE).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    write!(stream, "START {database} me\r\n").ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    if line.starts_with("READY") {
        return Some(true);
    }
    line.starts_with("ERR NODB").then_some(false)
}

/// Looks at every proxy again and again.
pub(crate) fn watch(proxies: &[SocketAddr], oracle: &Oracle) {
    while !oracle.stopped() {
        for proxy in proxies {
            let newest = oracle.version();
            if has(*proxy, &database(newest)) != Some(true) {
                continue;
            }
            for earlier in newest.saturating_sub(3)..newest {
                let reverted = has(*proxy, &database(earlier)) == Some(true);
                assert!(!reverted, "version {earlier} is in force after {newest}");
            }
        }
        thread::sleep(PAUSE);
    }
}
