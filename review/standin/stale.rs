//! One machine is turned away by the store while configurations come in quick succession.

use std::fmt::Write as _;
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Bounds, Client, Fleet, sleep_until};
use crate::group::SERVICE;

/// Bounds of the small sheets: `configApplyMs`, `stableWindowMs`, and the time before traffic.
const CONFIG_APPLY: Duration = Duration::from_millis(4_000);
const STABLE_WINDOW: Duration = Duration::from_millis(5_000);
const LEAD: Duration = Duration::from_secs(10);

/// Time for which the store turns the machine away; 9 s are the most on the small sheets.
const TURNED_AWAY: Duration = Duration::from_millis(4_000);

/// Versions in quick succession: one each 60 ms for 1.5 s.
const STORM: u32 = 25;
const STORM_GAP: Duration = Duration::from_millis(60);

/// Routes of the configuration, which stays below `valueBytes` (1,048,576).
const ROUTES: usize = 3_900;
const VALUE_BYTES: usize = 1 << 20;

fn config(version: u64, idle_ms: u64, with_old: bool) -> String {
    let mut routes = String::new();
    let mut add = |database: &str| {
        if !routes.is_empty() {
            routes.push(',');
        }
        let _ = write!(
            routes,
            "{{\"name\":\"r-{database}\",\"database\":\"{database}\",\"prefix\":\"/\",\
             \"type\":\"bounded\",\"timeoutMs\":2000,\"targetLatencyMs\":1200,\"priority\":2,\
             \"service\":\"{SERVICE}\",\"maxAttempts\":2,\"maxStalenessMs\":1500}}"
        );
    };
    for at in 0..ROUTES {
        add(&format!("lista{at:06}"));
    }
    add(if with_old { "regi" } else { "uj" });
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"maxConns\":34,\"syncReplicas\":1}}],\
         \"limits\":{{\"txIdleMs\":{idle_ms}}}}}"
    )
}

pub fn run(program: &Path, folder: &Path, record: &Path, trouble: bool) -> io::Result<Verdict> {
    let bounds = Bounds { config_apply_ms: CONFIG_APPLY.as_millis() as u64 };
    let first = config(1, 3_000, true);
    assert!(first.len() < VALUE_BYTES);
    let mut fleet = Fleet::start(program, folder, record, 3, bounds, &first)?;
    fleet.note(&format!("a configuration has {} bytes", first.len()));
    let begun = Instant::now();
    sleep_until(begun + LEAD);

    let not_run = |what: &str| Ok(Verdict::NotRun(what.to_owned()));
    for front in 0..3 {
        let served = match Client::open(&mut fleet, front, "c1", "regi", "u1") {
            Ok(mut client) => client.query(&mut fleet, "READ a").is_some_and(|reply| reply.done()),
            Err(_) => false,
        };
        if !served {
            return not_run("the route was not served at the start");
        }
    }

    let cut = Instant::now();
    if trouble {
        fleet.fronts[2].store.turn_away(true);
        fleet.note("the store turns front 2 away");
    }
    thread::sleep(Duration::from_millis(500));
    for n in 0..u64::from(STORM) {
        let config = config(2 + n, 3_000 + 10 * (1 + n), true);
        fleet.configure(&config, &format!("version {}", 2 + n));
        thread::sleep(STORM_GAP);
    }
    sleep_until(cut + TURNED_AWAY);
    fleet.fronts[2].store.turn_away(false);
    let healed = Instant::now();
    fleet.note("the store serves all machines");

    // Front 2 is in touch, and the store is stable.
    sleep_until(healed + STABLE_WINDOW + Duration::from_millis(200));
    let acknowledged = fleet.configure(&config(100, 3_000, false), "version 100: regi is gone, uj is there");
    sleep_until(acknowledged + CONFIG_APPLY + Duration::from_millis(200));

    let mut broken = Vec::new();
    for round in 0..4 {
        for front in 0..3 {
            let sent = fleet.at(Instant::now());
            match Client::open(&mut fleet, front, "c2", "regi", "u1") {
                Ok(mut client) => {
                    let reply = client.query(&mut fleet, "READ a");
                    if reply.is_some_and(|reply| reply.signed()) {
                        broken.push(format!("front {front} ran a statement of a dropped route ({sent:.1} s)"));
                    }
                }
                Err(_) => {}
            }
            match Client::open(&mut fleet, front, "c3", "uj", "u1") {
                Ok(mut client) => {
                    let reply = client.query(&mut fleet, "READ a");
                    if !reply.is_some_and(|reply| reply.done()) && front != 2 {
                        return not_run("the new route is not served by a calm front");
                    }
                }
                Err(line) if line.starts_with("ERR NODB") => {
                    broken.push(format!("front {front} refused a route that is there ({sent:.1} s)"));
                }
                Err(_) => {}
            }
        }
        thread::sleep(Duration::from_millis(500 + 100 * round));
    }
    fleet.note_runs(begun);
    if !fleet.runs() {
        return not_run("a front process has ended");
    }
    Ok(match broken.first() {
        Some(first) => Verdict::Broken(format!("{} times, first: {first}", broken.len())),
        None => Verdict::Held("all fronts followed the configuration".to_owned()),
    })
}
