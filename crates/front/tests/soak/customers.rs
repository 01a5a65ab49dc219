//! A customer that sends more than its limit, and a check of what arrived at the instances.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use standin::managed::Arrival;

use crate::config::{HOT_KEY, HOT_RATE};
use crate::env::Caller;
use crate::faults::MAX_FAULT;
use crate::oracle::Oracle;

/// The windows in which operations are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// Reads as fast as possible, through all proxies in turn.
pub(crate) fn press(seed: u64, addresses: &[SocketAddr], oracle: &Oracle) {
    let mut rng = SmallRng::seed_from_u64(seed * 1_000 + 800);
    while !oracle.stopped() {
        let address = addresses[rng.random_range(0..addresses.len())];
        let session = Caller::try_connect_as(address, "lookup", HOT_KEY);
        let Some(mut session) = session else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        for _ in 0..rng.random_range(1..30) {
            if session.try_query("READ c0").is_none() {
                break;
            }
        }
    }
}

/// Checks that every statement ran for a customer, and that the limit held. Wires hold
/// statements up, so what was sent in a window arrives in a longer one.
pub(crate) fn verify(arrivals: &[Arrival]) -> Result<(), String> {
    let unknown = arrivals
        .iter()
        .find(|a| !["main", "hot"].contains(&a.customer.as_str()));
    if let Some(arrival) = unknown {
        return Err(format!("a statement ran for no customer: {arrival:?}"));
    }
    let hot: Vec<_> = arrivals.iter().filter(|a| a.customer == "hot").collect();
    let sent_in = (WINDOW + MAX_FAULT).as_secs_f64();
    let allowed = f64::from(HOT_RATE) * (sent_in + 1.0);
    for (first, from) in hot.iter().enumerate() {
        let within = hot[first..].iter().filter(|a| a.at < from.at + WINDOW);
        let count = within.count();
        if count as f64 > allowed {
            return Err(format!("{count} operations of {allowed} in a window"));
        }
    }
    Ok(())
}
