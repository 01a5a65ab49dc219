//! Changes of the configuration, and a check that no proxy returns to an earlier version.
//!
//! Each version has a database of its own, named after it, beside the usual ones. Once a proxy
//! serves the database of a version, it must not serve that of an earlier one.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::env::{self, DATABASES};
use crate::oracle::Oracle;

/// Timeout for a proxy's response; a paused proxy is queried again in a later round.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// The database that exists only in this version.
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

/// Whether a proxy serves a database; `None` if it does not respond.
fn serves(proxy: SocketAddr, database: &str) -> Option<bool> {
    let mut stream = TcpStream::connect_timeout(&proxy, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    write!(stream, "START {database} me\r\n").ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    if line.starts_with("READY") {
        return Some(true);
    }
    line.starts_with("ERR NODB").then_some(false)
}

/// Checks every proxy in rounds until the run stops.
pub(crate) fn check_versions(proxies: &[SocketAddr], oracle: &Oracle) {
    while !oracle.stopped() {
        for proxy in proxies {
            let newest = oracle.version();
            if serves(*proxy, &database(newest)) != Some(true) {
                continue;
            }
            for earlier in newest.saturating_sub(3)..newest {
                let reverted = serves(*proxy, &database(earlier)) == Some(true);
                assert!(!reverted, "version {earlier} is in force after {newest}");
            }
        }
        thread::sleep(ROUND_PAUSE);
    }
}
