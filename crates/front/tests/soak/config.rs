//! Changes of the configuration, and a check that no proxy returns to an earlier version.
//!
//! Each version has a database and a key of its own, named after it, beside the usual ones. Once
//! a proxy serves the database of a version, it must not serve that of an earlier one, and it
//! must not accept the key of an earlier one.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use serde_json::json;

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

/// Operations a second of the customer with a limit, and as many at once.
pub(crate) const HOT_RATE: u32 = 15;

/// Key of the customer with a limit.
pub(crate) const HOT_KEY: &str = "hot-key";

/// The key that is valid only in this version.
pub(crate) fn key(version: u64) -> String {
    format!("key-{version}")
}

/// The configuration of a version.
pub(crate) fn configuration(version: u64) -> serde_json::Value {
    let own = database(version);
    let mut databases = DATABASES.to_vec();
    databases.push((&own, "bounded"));
    let mut value = env::configuration(version, &databases);
    value["tenants"] = json!([
        { "name": "main", "apiKeys": ["me", key(version)] },
        env::customer("hot", &[HOT_KEY], HOT_RATE),
    ]);
    value
}

/// Whether a proxy serves a database to a caller with a key; `None` if it does not respond.
fn serves(proxy: SocketAddr, database: &str, key: &str) -> Option<bool> {
    let mut stream = TcpStream::connect_timeout(&proxy, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    write!(stream, "START {database} {key}\r\n").ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    if line.starts_with("READY") {
        return Some(true);
    }
    let refused = ["ERR NODB", "ERR NOAUTH"]
        .iter()
        .any(|e| line.starts_with(e));
    refused.then_some(false)
}

/// Checks every proxy in rounds until the run stops.
pub(crate) fn check_versions(proxies: &[SocketAddr], oracle: &Oracle) {
    while !oracle.stopped() {
        for proxy in proxies {
            let newest = oracle.version();
            if serves(*proxy, &database(newest), "me") != Some(true) {
                continue;
            }
            for earlier in newest.saturating_sub(3)..newest {
                let reverted = serves(*proxy, &database(earlier), "me") == Some(true);
                assert!(!reverted, "version {earlier} is in force after {newest}");
                let accepted = serves(*proxy, "filing", &key(earlier)) == Some(true);
                assert!(!accepted, "the key of {earlier} is accepted after {newest}");
            }
        }
        thread::sleep(ROUND_PAUSE);
    }
}
