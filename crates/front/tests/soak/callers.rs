//! Callers that write and read, and check each reply as it arrives.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::env::{Caller, Reply};
use crate::oracle::{ACCEPTED_AGE, Oracle, Outcome};

/// Error codes that guarantee that the statement has no effect.
const NO_EFFECT: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "MISROUTED",
    "TOOMANY",
];

/// Writes increasing numbers to an item of its own, in single statements and transactions, and
/// reads them back in the same session.
pub(crate) fn write(seed: u64, writer: usize, addresses: &[SocketAddr], oracle: &Oracle) {
    let mut rng = SmallRng::seed_from_u64(seed * 1_000 + writer as u64);
    let (item, mut n) = (format!("c{writer}"), 0_u64);
    while !oracle.stopped() {
        let address = addresses[rng.random_range(0..addresses.len())];
        let Some(mut session) = Caller::try_connect(address, "audit") else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let mut newest = None;
        for _ in 0..rng.random_range(1..8) {
            n += 1;
            let outcome = if rng.random_bool(0.3) {
                write_in_transaction(&mut session, &item, n)
            } else {
                outcome(session.try_query(&format!("WRITE {item} {n}")))
            };
            oracle.record(&item, n, outcome);
            if outcome == Outcome::Done {
                newest = Some(n);
            }
            let ended = outcome == Outcome::Unknown;
            if ended || !read_back(&mut session, &item, newest, oracle) {
                break;
            }
            thread::sleep(Duration::from_millis(rng.random_range(0..15)));
        }
    }
}

fn write_in_transaction(session: &mut Caller, item: &str, n: u64) -> Outcome {
    // Nothing of the transaction is kept until its COMMIT has been sent.
    let begun = session.try_query("BEGIN").is_some_and(|reply| reply.done());
    let ran = begun
        && session
            .try_query(&format!("WRITE {item} {n}"))
            .is_some_and(|reply| reply.done());
    if ran {
        return outcome(session.try_query("COMMIT"));
    }
    session.try_query("ROLLBACK");
    Outcome::Rejected
}

fn outcome(reply: Option<Reply>) -> Outcome {
    match reply {
        Some(reply) if reply.done() => Outcome::Done,
        Some(reply) if reply.code().is_some_and(|c| NO_EFFECT.contains(&c)) => Outcome::Rejected,
        Some(_) | None => Outcome::Unknown,
    }
}

/// Checks that a session reads its newest own write, or a later one. Returns whether the session
/// can be used further.
fn read_back(session: &mut Caller, item: &str, newest: Option<u64>, oracle: &Oracle) -> bool {
    let Some(reply) = session.try_query(&format!("READ {item}")) else {
        return false;
    };
    check(oracle, &reply, item, newest, "own write");
    reply.state == "I"
}

/// Reads what the writers wrote. A read on the primary route must see every write acknowledged
/// before it; a read on the other route every write older than the accepted age.
pub(crate) fn read(seed: u64, database: &str, addresses: &[SocketAddr], oracle: &Oracle) {
    let mut rng = SmallRng::seed_from_u64(seed * 1_000 + 900 + database.len() as u64);
    let age = if database == "filing" {
        Duration::ZERO
    } else {
        ACCEPTED_AGE
    };
    while !oracle.stopped() {
        let address = addresses[rng.random_range(0..addresses.len())];
        let Some(mut session) = Caller::try_connect(address, database) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        for _ in 0..10 {
            let items = oracle.items();
            let Some(item) = items.get(rng.random_range(0..items.len().max(1))) else {
                break;
            };
            let before = Instant::now().checked_sub(age);
            let needed = before.and_then(|before| oracle.acknowledged(item, before));
            let Some(reply) = session.try_query(&format!("READ {item}")) else {
                break;
            };
            check(oracle, &reply, item, needed, database);
            thread::sleep(Duration::from_millis(rng.random_range(0..20)));
        }
    }
}

/// Checks that a read returns the acknowledged number or a later one. A write of unknown outcome
/// may take effect after a later one was acknowledged, so an item may hold its number again.
fn check(oracle: &Oracle, reply: &Reply, item: &str, needed: Option<u64>, reason: &str) {
    let Some(needed) = needed.filter(|_| reply.done()) else {
        return;
    };
    let row = reply.lines[0].strip_prefix("ROW ");
    let found = row.and_then(|n| n.parse().ok());
    let late = found.is_some_and(|n| oracle.is_unknown(item, n));
    assert!(
        found >= Some(needed) || late,
        "{reason}: {item} must hold {needed} and was read as {:?}, id {}",
        reply.lines,
        reply.id
    );
}
