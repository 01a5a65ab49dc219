//! Stand-ins for the review: the platform with its store, a database group, and callers.
//!
//! `review-standin-2 listing RECORD FOLDER ROWS` starts six proxies, lets one caller read a
//! listing of ROWS rows, and watches the memory of the proxies as the platform does. It exits
//! with 1 if two or more machines lost their process three times, 0 if not, 2 if it could not
//! run.

mod client;
mod group;
mod json;
mod proxy;
mod store;

use std::fs::File;
use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use client::Session;
use proxy::Machine;

/// Zones with their regions and machines, as in a small deployment.
const ZONES: [(&str, &str, usize); 3] = [
    ("bp-ujpest", "budapest", 2),
    ("db-nagyerdo", "debrecen", 3),
    ("bp-csepel", "budapest", 1),
];

/// Memory of a machine (`memoryMb`).
const MEMORY_MB: u64 = 260;

/// Length of the play.
const LENGTH: Duration = Duration::from_secs(45);

/// Pause between two operations that read the listing.
const LISTING_PAUSE: Duration = Duration::from_secs(10);

/// Pause between two writes of a caller.
const WRITE_PAUSE: Duration = Duration::from_millis(500);

/// Attempts of a client's operation: the first one and two retries.
const ATTEMPTS: usize = 3;

/// The record of a play.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} s  {text}");
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, kind, record, folder, rows] = &args[..] else {
        eprintln!("usage: review-standin-2 listing RECORD FOLDER ROWS");
        std::process::exit(2);
    };
    let (Ok(file), Ok(rows), "listing") = (File::create(record), rows.parse(), kind.as_str())
    else {
        std::process::exit(2);
    };
    let record = Record {
        file: Arc::new(Mutex::new(file)),
        started: Instant::now(),
    };
    std::process::exit(listing(&record, folder, rows));
}

fn config() -> String {
    let route = |database: &str, kind: &str, timeout: u32, staleness: u32| {
        format!(
            "{{\"name\":\"r-{database}\",\"database\":\"{database}\",\"prefix\":\"/\",\
             \"type\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":1200,\
             \"priority\":1,\"service\":\"{}\",\"maxAttempts\":2,\"maxStalenessMs\":{staleness}}}",
            group::NAME
        )
    };
    let routes = [
        route("megujitas", "primary", 800, 0),
        route("lista", "bounded", 2_000, 1_500),
    ];
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{{\"name\":\"{}\",\"maxConns\":34,\
         \"syncReplicas\":1}}],\"limits\":{{\"txIdleMs\":3000}}}}",
        routes.join(","),
        group::NAME
    )
}

fn listing(record: &Record, folder: &str, rows: usize) -> i32 {
    let store = store::Store::default();
    let address = store.serve();
    let group = group::Group::new(rows, record.clone());
    for (at, (zone, _, _)) in ZONES.iter().enumerate() {
        let instance = group.serve(at);
        let role = if at == 0 { "primary" } else { "replica" };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{instance}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"capacity\":3,\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"dbRole\":\"{role}\",\"sequence\":1,\"born\":{}}}",
            group::NAME,
            1_000 + at
        );
        store.write(&format!("servers/i-{at}"), &entry);
    }
    store.write("op/config", &config());
    let machines: Vec<Arc<Machine>> = ZONES
        .iter()
        .flat_map(|(zone, _, count)| (1..=*count).map(move |n| (zone, n)))
        .map(|(zone, n)| Arc::new(Machine::new(zone, n, folder, address)))
        .collect();
    for machine in &machines {
        if machine.start(record, true).is_err() {
            eprintln!("target/release/pomelo-front cannot be started");
            return 2;
        }
    }
    let over = Arc::new(AtomicBool::new(false));
    let guards: Vec<_> = machines
        .iter()
        .map(|machine| {
            let (machine, record, over) = (machine.clone(), record.clone(), over.clone());
            thread::spawn(move || machine.guard(&record, &over, MEMORY_MB << 20))
        })
        .collect();
    let ready = wait_ready(&machines);
    let counts = Arc::new(Counts::default());
    if ready {
        record.line("all machines are ready");
        let writers = machines.iter().enumerate().map(|(n, machine)| {
            let (proxy, counts, over) = (machine.front, counts.clone(), over.clone());
            let record = record.clone();
            thread::spawn(move || write(&record, proxy, n, &counts, &over))
        });
        let writers: Vec<_> = writers.collect();
        let local: Vec<SocketAddr> = machines[..ZONES[0].2].iter().map(|m| m.front).collect();
        read_listings(record, &local, &over);
        over.store(true, Ordering::Relaxed);
        for writer in writers {
            let _ = writer.join();
        }
    }
    over.store(true, Ordering::Relaxed);
    for guard in guards {
        let _ = guard.join();
    }
    for machine in &machines {
        machine.stop();
    }
    if !ready {
        record.line("the machines did not become ready");
        return 2;
    }
    let load = |n: &AtomicUsize| n.load(Ordering::Relaxed);
    record.line(&format!(
        "writes of other callers: {} answered, {} without an answer",
        load(&counts.answered),
        load(&counts.lost)
    ));
    for machine in &machines {
        record.line(&format!(
            "{}: over its memory {} times, most seen {} MB",
            machine.name,
            machine.kills(),
            machine.peak() >> 20
        ));
    }
    let lost = machines.iter().filter(|m| m.kills() >= 3).count();
    // A tenth of six machines, and two at least.
    let broken = lost >= 2;
    record.line(if broken {
        "RULE BROKEN: on two machines or more the process ended three times"
    } else {
        "rule held"
    });
    i32::from(broken)
}

fn wait_ready(machines: &[Arc<Machine>]) -> bool {
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        if machines.iter().all(|m| m.is_ready()) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

#[derive(Default)]
struct Counts {
    answered: AtomicUsize,
    lost: AtomicUsize,
}

/// A caller that writes now and then through one proxy, over a session that it opens again
/// after a close.
fn write(record: &Record, proxy: SocketAddr, n: usize, counts: &Counts, over: &AtomicBool) {
    let mut session = None;
    while !over.load(Ordering::Relaxed) {
        thread::sleep(WRITE_PAUSE);
        if session.is_none() {
            session = Session::open(proxy, "megujitas");
        }
        let Some(open) = &mut session else { continue };
        let id = client::new_id();
        let text = format!("WRITE item{n} v{id}");
        match open.query(&id, &text, Duration::from_secs(5)) {
            Some(reply) => {
                let done = reply.result.starts_with("DONE ");
                counts
                    .answered
                    .fetch_add(usize::from(done), Ordering::Relaxed);
            }
            None => {
                record.line(&format!("write {id} of another caller got no answer"));
                counts.lost.fetch_add(1, Ordering::Relaxed);
                session = None;
            }
        }
    }
}

/// A caller that reads the listing, and retries the operation on another proxy of its zone.
fn read_listings(record: &Record, proxies: &[SocketAddr], over: &AtomicBool) {
    let started = Instant::now();
    let mut next = 0;
    while started.elapsed() < LENGTH && !over.load(Ordering::Relaxed) {
        for attempt in 1..=ATTEMPTS {
            let proxy = proxies[next % proxies.len()];
            next += 1;
            let id = client::new_id();
            record.line(&format!(
                "read {id} of the listing, attempt {attempt}, at {proxy}"
            ));
            let session = Session::open(proxy, "lista");
            let text = format!("READ {}", group::LISTING);
            let reply = session.and_then(|mut s| s.query(&id, &text, Duration::from_secs(20)));
            match reply {
                Some(reply) => {
                    let (rows, bytes) = (reply.rows, reply.bytes);
                    record.line(&format!(
                        "read {id}: {rows} rows, {bytes} bytes, {}",
                        reply.result
                    ));
                    if reply.result.starts_with("DONE ") {
                        break;
                    }
                }
                None => record.line(&format!(
                    "read {id}: the connection ended without an answer"
                )),
            }
            thread::sleep(Duration::from_millis(500));
        }
        thread::sleep(LISTING_PAUSE);
    }
}
