//! Series of signals to stop and to reload, beside the other faults, and callers that go on
//! connecting meanwhile.

use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rustix::process::Signal;

use crate::env::process::Proxy;
use crate::env::stop::{self, Counts, Tally};
use crate::oracle::Oracle;
use crate::testbed::{GRACE, Testbed};

/// Callers of each proxy, whose connections no wire disturbs.
const CALLERS: usize = 6;

/// Longest pause of such a caller between two statements, in milliseconds.
const PAUSE_MS: u64 = 4;

/// Pauses between two signals of a series, in milliseconds.
const GAPS_MS: [u64; 6] = [0, 1, 20, 150, 500, 1_100];

/// Longest time between a series and the kill that cuts some stops short.
const MAX_KILL_DELAY_MS: u64 = 700;

/// Time for which an exit is waited for. It is longer than the grace period: a paused process
/// exits later.
const EXIT_TIMEOUT: Duration = GRACE.saturating_add(Duration::from_millis(2_500));

/// Sends series of signals to one proxy after the other until the oracle stops. Restarts those
/// that have exited, and kills some before.
pub(crate) fn send(seed: u64, testbed: &Testbed, oracle: &Oracle) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while !oracle.stopped() {
        thread::sleep(Duration::from_millis(rng.random_range(0..400)));
        let at = rng.random_range(0..testbed.nodes.len());
        send_series(&mut rng, &testbed.nodes[at].proxy);
    }
}

fn send_series(rng: &mut SmallRng, proxy: &Proxy) {
    let mut stops = false;
    for _ in 0..rng.random_range(1..6) {
        let signals = [Signal::TERM, Signal::INT, Signal::HUP, Signal::HUP];
        let signal = signals.choose(rng).copied().unwrap_or(Signal::TERM);
        stops |= signal != Signal::HUP;
        proxy.signal(signal);
        let gap = GAPS_MS.choose(rng).copied().unwrap_or_default();
        thread::sleep(Duration::from_millis(gap));
    }
    if !stops {
        return;
    }
    let end = match rng.random_bool(0.25) {
        true => Duration::from_millis(rng.random_range(0..MAX_KILL_DELAY_MS)),
        false => EXIT_TIMEOUT,
    };
    let end = Instant::now() + end;
    while proxy.exited().is_none() && Instant::now() < end {
        thread::sleep(Duration::from_millis(20));
    }
    proxy.restart();
}

/// Runs the callers of the proxies, each on a thread of its own, until the tallies end.
pub(crate) fn call<'s>(
    scope: &'s thread::Scope<'s, '_>,
    testbed: &'s Testbed,
    tallies: &'s [Tally],
) {
    for (at, (node, tally)) in testbed.nodes.iter().zip(tallies).enumerate() {
        for n in 0..CALLERS {
            let caller = (at * CALLERS + n) as u64;
            let listen = node.proxy.listen;
            scope.spawn(move || stop::call(caller, listen, PAUSE_MS, tally));
        }
    }
}

/// Checks that every statement on an open session had a whole reply unless its process was
/// killed; returns how many were answered, or the first that was not.
pub(crate) fn verify(testbed: &Testbed, tallies: &[Tally]) -> Result<usize, String> {
    let mut answered = 0;
    for (at, (node, tally)) in testbed.nodes.iter().zip(tallies).enumerate() {
        let Counts {
            done,
            failed,
            unanswered,
            ..
        } = tally.finish();
        answered += done + failed;
        let cut = unanswered
            .iter()
            .find(|statement| !node.proxy.was_killed(statement.sent, statement.ended));
        if let Some(cut) = cut {
            let ran = testbed.managed.runs(&cut.id);
            return Err(format!("p{at} did not answer {cut}, which ran {ran} times"));
        }
    }
    Ok(answered)
}
