//! A randomised run of the real programs as separate processes.
//!
//! Proxies are killed, paused, stopped and restarted by signals while instances and the
//! store of the stand-in misbehave; events overlap. Callers keep what they were told, and
//! at the end it is held against what the instances ran and kept.
//!
//! `POMELO_SOAK_SEEDS=1-50 POMELO_SOAK_SECONDS=20` makes a long run.

mod env;

use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use env::process::Proxy;
use env::{Caller, DATABASES, configuration, wait};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use rustix::process::Signal;
use standin::managed::{Fault, Managed};

const PROXIES: usize = 3;
const CALLERS: usize = 6;

/// Seeds of a run without settings; the ones that ever failed are among them.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Length of a run without settings.
const SECONDS: u64 = 6;

/// What a caller was told of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Done,
    /// It was promised that nothing is kept.
    Refused,
    Unknown,
}

#[derive(Clone, Debug)]
struct Write {
    entry: String,
    outcome: Outcome,
}

/// Refusals that promise that nothing of the statement is kept.
const PROMISES: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "MISROUTED",
    "TOOMANY",
];

/// One caller: writes numbers to an item of its own, in single statements and
/// transactions, and reads them back in the same session.
fn call(seed: u64, who: usize, proxies: &[SocketAddr], stop: &AtomicBool) -> Vec<Write> {
    let mut rng = SmallRng::seed_from_u64(seed * 1_000 + who as u64);
    let (mut writes, mut n) = (Vec::new(), 0_u64);
    while !stop.load(Ordering::Relaxed) {
        let proxy = proxies[rng.random_range(0..proxies.len())];
        let Some(mut session) = Caller::try_connect(proxy, "audit") else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let mut newest = None;
        for _ in 0..rng.random_range(1..8) {
            n += 1;
            let in_tx = rng.random_bool(0.3);
            let outcome = write(&mut session, who, n, in_tx);
            let entry = format!("c{who}={n}");
            let ended = outcome == Outcome::Unknown;
            writes.push(Write { entry, outcome });
            if outcome == Outcome::Done {
                newest = Some(n);
            }
            if ended || !read(&mut session, who, newest) {
                break;
            }
            thread::sleep(Duration::from_millis(rng.random_range(0..15)));
        }
    }
    writes
}

fn write(session: &mut Caller, who: usize, n: u64, in_tx: bool) -> Outcome {
    if !in_tx {
        return outcome(
            session.try_ask(&format!("WRITE c{who} {n}")),
            Outcome::Unknown,
        );
    }
    // Until the transaction's end was sent nothing of it can be kept.
    let begun = session.try_ask("BEGIN").is_some_and(|told| told.done());
    let ran = begun
        && session
            .try_ask(&format!("WRITE c{who} {n}"))
            .is_some_and(|t| t.done());
    if ran {
        return outcome(session.try_ask("COMMIT"), Outcome::Unknown);
    }
    session.try_ask("ROLLBACK");
    Outcome::Refused
}

fn outcome(told: Option<env::Told>, lost: Outcome) -> Outcome {
    match told {
        Some(told) if told.done() => Outcome::Done,
        Some(told) if told.code().is_some_and(|c| PROMISES.contains(&c)) => Outcome::Refused,
        Some(_) | None => lost,
    }
}

/// Reads the item back; a session must see its newest own write, or a later one. Says
/// whether the session goes on.
fn read(session: &mut Caller, who: usize, newest: Option<u64>) -> bool {
    let Some(told) = session.try_ask(&format!("READ c{who}")) else {
        return false;
    };
    if told.done()
        && let Some(newest) = newest
    {
        let seen = told.lines[0]
            .strip_prefix("ROW ")
            .and_then(|n| n.parse().ok());
        assert!(
            seen >= Some(newest),
            "caller {who} wrote {newest} and read {seen:?}"
        );
    }
    told.state == "I"
}

/// Lets things go wrong until the time is up, several at a time.
fn disturb(rng: &mut SmallRng, managed: &Managed, proxies: &mut [Proxy], length: Duration) {
    let end = Instant::now() + length;
    let mut paused: Vec<(usize, Instant)> = Vec::new();
    let mut fault: Option<(usize, Instant)> = None;
    let mut away: Option<Instant> = None;
    while Instant::now() < end {
        let at = rng.random_range(0..proxies.len());
        let until = Instant::now() + Duration::from_millis(rng.random_range(100..1_800));
        match rng.random_range(0..10) {
            0 => proxies[at].restart(),
            1 | 2 => {
                proxies[at].signal(Signal::STOP);
                paused.push((at, until));
            }
            3 => {
                // Stopped in order, and killed soon after at times.
                proxies[at].signal(Signal::TERM);
                thread::sleep(Duration::from_millis(rng.random_range(0..700)));
                proxies[at].restart();
            }
            4 if away.is_none() => {
                managed.set_store_away(true);
                away = Some(until);
            }
            5..=8 if fault.is_none() => {
                let faults = [
                    Fault::Down,
                    Fault::Dark,
                    Fault::Deaf,
                    Fault::LosesAnswers,
                    Fault::Busy,
                ];
                let instance = rng.random_range(0..3);
                managed.set_fault(instance, faults[rng.random_range(0..faults.len())]);
                fault = Some((instance, until));
            }
            _ => {}
        }
        thread::sleep(Duration::from_millis(rng.random_range(20..250)));
        let now = Instant::now();
        paused.retain(|(at, until)| {
            let due = *until <= now;
            if due {
                proxies[*at].signal(Signal::CONT);
            }
            !due
        });
        if let Some((instance, _)) = fault.take_if(|(_, until)| *until <= now) {
            managed.set_fault(instance, Fault::None);
        }
        if away.take_if(|until| *until <= now).is_some() {
            managed.set_store_away(false);
        }
    }
    for proxy in proxies.iter() {
        proxy.signal(Signal::CONT);
    }
    for instance in 0..3 {
        managed.set_fault(instance, Fault::None);
    }
    managed.set_store_away(false);
}

/// Holds what callers were told against what the group kept.
fn judge(seed: u64, writes: &[Write], log: &[String]) {
    let mut kept: BTreeMap<&str, usize> = BTreeMap::new();
    for entry in log {
        *kept.entry(entry).or_default() += 1;
    }
    for write in writes {
        let times = kept.get(write.entry.as_str()).copied().unwrap_or_default();
        let right = match write.outcome {
            Outcome::Done => times == 1,
            Outcome::Refused => times == 0,
            Outcome::Unknown => times <= 1,
        };
        assert!(right, "seed {seed}: {write:?} is kept {times} times");
    }
    let done = writes.iter().filter(|w| w.outcome == Outcome::Done).count();
    assert!(done > 0, "seed {seed}: nothing was served");
    let _ = writeln!(
        std::io::stderr(),
        "seed {seed}: {} writes, {done} done",
        writes.len()
    );
}

fn soak(seed: u64, length: Duration) {
    let managed = Managed::start(3).unwrap();
    managed.configure(&configuration(1, &DATABASES));
    let folder = tempfile::tempdir().unwrap();
    let mut proxies: Vec<_> = (0..PROXIES)
        .map(|n| Proxy::start(&managed, folder.path(), &format!("p{n}")))
        .collect();
    let addresses: Vec<_> = proxies.iter().map(|p| p.listen).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let told: Arc<Mutex<Vec<Write>>> = Arc::default();
    let failed = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|who| {
                let (addresses, stop, told) = (&addresses, &stop, &told);
                scope.spawn(move || {
                    let writes = call(seed, who, addresses, stop);
                    told.lock().unwrap().extend(writes);
                })
            })
            .collect();
        let mut rng = SmallRng::seed_from_u64(seed);
        disturb(&mut rng, &managed, &mut proxies, length);
        stop.store(true, Ordering::Relaxed);
        callers.into_iter().filter_map(|c| c.join().err()).count()
    });
    if failed > 0 {
        let kept = folder.keep();
        panic!(
            "seed {seed}: {failed} callers saw a broken promise; logs in {}",
            kept.display()
        );
    }
    // Once nothing is wrong any more every proxy serves again.
    for address in &addresses {
        wait(|| {
            let mut session = Caller::try_connect(*address, "filing")?;
            session.try_ask("WRITE last 1").filter(env::Told::done)
        });
    }
    judge(seed, &told.lock().unwrap(), &managed.log());
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("POMELO_SOAK_SEEDS") else {
        return SEEDS.to_vec();
    };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let range = first.parse().unwrap()..=last.parse().unwrap();
    range.collect()
}

#[test]
fn promises_hold_while_everything_fails() {
    let seconds = std::env::var("POMELO_SOAK_SECONDS").ok();
    let seconds = seconds.and_then(|s| s.parse().ok()).unwrap_or(SECONDS);
    for seed in seeds() {
        soak(seed, Duration::from_secs(seconds));
    }
}
