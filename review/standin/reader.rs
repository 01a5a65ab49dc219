//! A machine freezes while another one is added that becomes the store reader of the zone.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Bounds, Client, Fleet, sleep_until};
use crate::group::SERVICE;

/// Bounds of the small sheets: `configApplyMs`, `stableWindowMs`, and the time before traffic.
const CONFIG_APPLY: Duration = Duration::from_millis(4_000);
const STABLE_WINDOW: Duration = Duration::from_millis(5_000);
const LEAD: Duration = Duration::from_secs(10);

const ZONE: &str = "db-nagyerdo";

/// The machines at the start, and which of them freezes; the next one is added.
const MACHINES: usize = 5;
const FROZEN: usize = 4;

/// What happens, counted from a change of the configuration on: the machine freezes for 2.4 s
/// (3.5 s at most), another one is added, and the configuration changes again.
const FREEZES: Duration = Duration::from_millis(400);
const ADDED: Duration = Duration::from_millis(2_100);
const CHANGED: Duration = Duration::from_millis(2_500);
const WAKES: Duration = Duration::from_millis(2_800);

/// When clients try the routes, counted from when the machine is in touch.
const TRIES: [u64; 5] = [200, 2_000, 8_000, 15_000, 25_000];

fn config(version: u64, database: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"database\":\"{database}\",\
         \"prefix\":\"/\",\"type\":\"bounded\",\"timeoutMs\":2000,\"targetLatencyMs\":1200,\
         \"priority\":2,\"service\":\"{SERVICE}\",\"maxAttempts\":2,\"maxStalenessMs\":1500}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"maxConns\":34,\"syncReplicas\":1}}],\
         \"limits\":{{\"txIdleMs\":3000}}}}"
    )
}

fn name(at: usize) -> String {
    format!("front-{ZONE}-{}", at + 1)
}

pub fn run(program: &Path, folder: &Path, record: &Path, trouble: bool) -> io::Result<Verdict> {
    let bounds = Bounds { config_apply_ms: CONFIG_APPLY.as_millis() as u64 };
    let machines: Vec<_> = (0..MACHINES).map(|at| (name(at), ZONE)).collect();
    let first = config(7, "regi");
    let mut fleet = Fleet::start_named(program, folder, record, &machines, bounds, &first)?;
    let begun = Instant::now();
    sleep_until(begun + LEAD);

    let not_run = |what: &str| Ok(Verdict::NotRun(what.to_owned()));
    for front in 0..MACHINES {
        if try_route(&mut fleet, front, "regi") != Outcome::Ran {
            return not_run("the route was not served at the start");
        }
    }

    let from = fleet.configure(&config(8, "regi"), "version 8: nothing that clients see");
    sleep_until(from + FREEZES);
    if trouble {
        fleet.signal(FROZEN, "STOP")?;
    }
    sleep_until(from + ADDED);
    fleet.add_front(&name(MACHINES), ZONE, false)?;
    fleet.note(&format!("{} is added", name(MACHINES)));
    sleep_until(from + CHANGED);
    let what = "version 9: regi is gone, uj is there";
    let acknowledged = fleet.configure(&config(9, "uj"), what);
    sleep_until(from + WAKES);
    if trouble {
        fleet.signal(FROZEN, "CONT")?;
    }
    let in_touch = (Instant::now() + STABLE_WINDOW).max(acknowledged + CONFIG_APPLY);

    let mut broken = Vec::new();
    for after in TRIES {
        sleep_until(in_touch + Duration::from_millis(after));
        for front in 0..=MACHINES {
            let machine = fleet.fronts[front].name.clone();
            let at = acknowledged.elapsed().as_secs_f64();
            if try_route(&mut fleet, front, "regi") == Outcome::Ran {
                broken.push(format!("{machine} served a dropped route {at:.1} s after"));
            }
            // Any other failure than NODB breaks no rule.
            match try_route(&mut fleet, front, "uj") {
                Outcome::Ran => {}
                Outcome::NoRoute => {
                    broken.push(format!("{machine} refused a route that is there {at:.1} s after"));
                }
                Outcome::Other if front != FROZEN => {
                    return not_run("the new route is not served by a calm front");
                }
                Outcome::Other => {}
            }
        }
    }
    fleet.note_runs(begun);
    if !fleet.runs() {
        return not_run("a front process has ended");
    }
    Ok(match (broken.first(), broken.last()) {
        (Some(first), Some(last)) => {
            Verdict::Broken(format!("{} times, first: {first}, last: {last}", broken.len()))
        }
        _ => Verdict::Held("all fronts followed the configuration".to_owned()),
    })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// An instance ran the statement.
    Ran,
    /// The front has no route with this database.
    NoRoute,
    Other,
}

/// Opens a session on a database and sends a read.
fn try_route(fleet: &mut Fleet, front: usize, database: &str) -> Outcome {
    match Client::open(fleet, front, "c1", database, "u1") {
        Ok(mut client) => match client.query(fleet, "READ a") {
            Some(reply) if reply.signed() => Outcome::Ran,
            Some(reply) if reply.code() == "NODB" => Outcome::NoRoute,
            _ => Outcome::Other,
        },
        Err(line) if line.starts_with("ERR NODB") => Outcome::NoRoute,
        Err(_) => Outcome::Other,
    }
}
