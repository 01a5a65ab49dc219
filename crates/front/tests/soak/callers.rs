//! Callers that write and read, and check what they are told while it happens.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::env::{Caller, Reply};
use crate::oracle::{ACCEPTED_AGE, Oracle, Outcome};

/// Refusals that promise that nothing of the statement is kept.
const PROMISES: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "MISROUTED",
    "TOOMANY",
];

/// Writes numbers to an item of its own, in single statements and transactions, and reads
/// them back in the same session.
pub(crate) fn write(seed: u64, who: usize, doors: &[SocketAddr], oracle: &Oracle) {
    let mut rng = SmallRng::seed_from_u64(seed * 1_000 + who as u64);
    let (item, mut n) = (format!("c{who}"), 0_u64);
    while !oracle.stopped() {
        let door = doors[rng.random_range(0..doors.len())];
        let Some(mut session) = Caller::try_connect(door, "audit") else {
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
            oracle.told(&item, n, outcome);
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
    // Until the transaction's end was sent nothing of it can be kept.
    let begun = session.try_query("BEGIN").is_some_and(|told| told.done());
    let ran = begun
        && session
            .try_query(&format!("WRITE {item} {n}"))
            .is_some_and(|told| told.done());
    if ran {
        return outcome(session.try_query("COMMIT"));
    }
    session.try_query("ROLLBACK");
    Outcome::Refused
}

fn outcome(told: Option<Reply>) -> Outcome {
    match told {
        Some(told) if told.done() => Outcome::Done,
        Some(told) if told.code().is_some_and(|c| PROMISES.contains(&c)) => Outcome::Refused,
        Some(_) | None => Outcome::Unknown,
    }
}

/// A session must see its newest own write, or a later one. Says whether it goes on.
fn read_back(session: &mut Caller, item: &str, newest: Option<u64>, oracle: &Oracle) -> bool {
    let Some(told) = session.try_query(&format!("READ {item}")) else {
        return false;
    };
    check(oracle, &told, item, newest, "own write");
    told.state == "I"
}

/// Reads what others wrote: everything acknowledged before the read on a primary route, and
/// everything older than the accepted age on the other.
pub(crate) fn read(seed: u64, database: &str, doors: &[SocketAddr], oracle: &Oracle) {
    let mut rng = SmallRng::seed_from_u64(seed * 1_000 + 900 + database.len() as u64);
    let age = if database == "filing" {
        Duration::ZERO
    } else {
        ACCEPTED_AGE
    };
    while !oracle.stopped() {
        let door = doors[rng.random_range(0..doors.len())];
        let Some(mut session) = Caller::try_connect(door, database) else {
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
            let Some(told) = session.try_query(&format!("READ {item}")) else {
                break;
            };
            check(oracle, &told, item, needed, database);
            thread::sleep(Duration::from_millis(rng.random_range(0..20)));
        }
    }
}

/// A read sees what was acknowledged or something later. A write whose outcome is unknown
/// may be carried out after a later one was acknowledged, so that an item may hold its
/// number again.
fn check(oracle: &Oracle, told: &Reply, item: &str, needed: Option<u64>, why: &str) {
    let Some(needed) = needed.filter(|_| told.done()) else {
        return;
    };
    let row = told.lines[0].strip_prefix("ROW ");
    let seen = row.and_then(|n| n.parse().ok());
    let late = seen.is_some_and(|n| oracle.is_unknown(item, n));
    assert!(
        seen >= Some(needed) || late,
        "{why}: {item} must hold {needed} and was read as {:?}, id {}",
        told.lines,
        told.id
    );
}
