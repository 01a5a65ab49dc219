//! A primary crashes that has its log when it returns, and an instance is promoted meanwhile.

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Bounds, Client, Fleet, sleep_until};
use crate::group::{SERVICE, id};

const LEAD: Duration = Duration::from_secs(10);

/// The instances by their part in the case.
const PRIMARY: usize = 0;
const FIRST: usize = 1;
const SECOND: usize = 2;

/// What happens to the instances, in order, with its time after the first commits.
const ALL_CRASH: [(u64, Event); 6] = [
    (0, Event::Crashes(PRIMARY)),
    (0, Event::Crashes(FIRST)),
    (0, Event::Crashes(SECOND)),
    (3_000, Event::Returns(FIRST)),
    (3_000, Event::Returns(SECOND)),
    (5_000, Event::Returns(PRIMARY)),
];

/// The same for the variant with a replica that receives nothing, for 6 s at most.
const ONE_IS_DEAF: [(u64, Event); 6] = [
    (0, Event::Deaf(SECOND, true)),
    (1_000, Event::Crashes(FIRST)),
    (1_500, Event::Crashes(PRIMARY)),
    (3_000, Event::Returns(FIRST)),
    (6_000, Event::Deaf(SECOND, false)),
    (7_000, Event::Returns(PRIMARY)),
];

/// One replica receives nothing and the primary crashes, while the entry of the other replica,
/// which runs all the time, is unreadable until its next heartbeat.
const ENTRY: [(u64, Event); 6] = [
    (0, Event::Deaf(SECOND, true)),
    (1_000, Event::Crashes(PRIMARY)),
    (1_100, Event::Overwritten(FIRST)),
    (1_100 + HEARTBEAT_MS, Event::Beats(FIRST)),
    (6_000, Event::Deaf(SECOND, false)),
    (7_000, Event::Returns(PRIMARY)),
];

/// `heartbeatMs` of the sheets.
const HEARTBEAT_MS: u64 = 1_200;

/// What another writer puts in place of an entry: the address and the capacity are missing.
const FOREIGN: &str = "{\"service\":\"ledger\",\"zone\":\"bp-csepel\",\"state\":\"ready\"}";

#[derive(Clone, Copy)]
enum Event {
    Crashes(usize),
    Returns(usize),
    Deaf(usize, bool),
    /// Its entry comes from another writer.
    Overwritten(usize),
    /// It writes its entry.
    Beats(usize),
}

/// Which of the cases is played.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Case {
    Empty,
    Entry,
}

/// Time until a change of primary is over.
const SETTLED: Duration = Duration::from_secs(25);

/// Commits while the replica receives nothing.
const COMMITS: usize = 5;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"database\":\"megujitas\",\
         \"prefix\":\"/\",\"type\":\"primary\",\"timeoutMs\":1000,\"targetLatencyMs\":600,\
         \"priority\":1,\"service\":\"{SERVICE}\",\"maxAttempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"maxConns\":34,\"syncReplicas\":1}}],\
         \"limits\":{{\"txIdleMs\":3000}}}}"
    )
}

fn apply(fleet: &mut Fleet, event: Event) {
    let text = match event {
        Event::Crashes(at) => {
            let log = fleet.group.log(at).len();
            fleet.group.crash(at);
            format!("{} crashes with {log} entries in its log", id(at))
        }
        Event::Returns(at) => {
            fleet.group.restart(at);
            let log = fleet.group.log(at).len();
            format!("{} starts again under its id, with {log} entries in its log", id(at))
        }
        Event::Overwritten(at) => {
            fleet.store.put(&format!("servers/{}", id(at)), FOREIGN);
            format!("another writer overwrites the entry of {} with {FOREIGN}", id(at))
        }
        Event::Beats(at) => {
            fleet.announce(at);
            let log = fleet.group.log(at).len();
            format!("{} writes its entry; it has {log} entries in its log", id(at))
        }
        Event::Deaf(at, deaf) => {
            fleet.group.set_deaf(at, deaf);
            format!("{} receives {}", id(at), if deaf { "nothing" } else { "again" })
        }
    };
    fleet.note(&text);
}

pub fn run(
    case: Case,
    program: &Path,
    folder: &Path,
    record: &Path,
    trouble: bool,
) -> io::Result<Verdict> {
    let bounds = Bounds { config_apply_ms: 4_000 };
    let mut fleet = Fleet::start(program, folder, record, 6, bounds, &config())?;
    let begun = Instant::now();
    sleep_until(begun + LEAD);

    let not_run = |what: &str| Ok(Verdict::NotRun(what.to_owned()));
    let Ok(mut client) = Client::open(&mut fleet, 0, "c1", "megujitas", "u1") else {
        return not_run("the client was not let in");
    };
    if !client.query(&mut fleet, "WRITE fee0 paid").is_some_and(|reply| reply.done()) {
        return not_run("the first write was not served");
    }
    thread::sleep(Duration::from_millis(200));

    let variant = std::env::var("VARIANT").is_ok_and(|value| value == "deaf");
    let events = match case {
        Case::Entry => ENTRY,
        Case::Empty if variant => ONE_IS_DEAF,
        Case::Empty => ALL_CRASH,
    };
    let deaf = matches!(events[0].1, Event::Deaf(..));
    let mut events = events.iter().filter(|_| trouble).peekable();
    let mut from = Instant::now();
    if deaf && let Some((_, event)) = events.next() {
        apply(&mut fleet, *event);
    }
    let mut acknowledged = Vec::new();
    for n in 1..=COMMITS {
        let item = format!("fee{n}");
        let reply = client.query(&mut fleet, &format!("WRITE {item} paid"));
        if reply.is_some_and(|reply| reply.signed()) {
            acknowledged.push(format!("{item}=paid"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    if acknowledged.is_empty() {
        return not_run("no write was acknowledged");
    }
    if !deaf {
        from = Instant::now();
    }
    for (at, event) in events {
        sleep_until(from + Duration::from_millis(*at));
        apply(&mut fleet, *event);
    }
    while begun.elapsed() < LEAD + SETTLED && (!trouble || fleet.group.promotions().is_empty()) {
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(2));
    if !fleet.runs() {
        return not_run("a front process has ended");
    }
    let promotions = fleet.group.promotions();
    for (instance, log) in &promotions {
        fleet.note(&format!("{instance} was promoted with the log {}", log.join(" ")));
    }
    let leader = fleet.group.leader();
    let log = fleet.group.log(leader);
    fleet.note(&format!("{} leads with the log {}", id(leader), log.join(" ")));
    fleet.note_runs(begun);
    for (instance, log) in &promotions {
        let missing: Vec<_> = acknowledged.iter().filter(|commit| !log.contains(commit)).collect();
        if let Some(first) = missing.first() {
            return Ok(Verdict::Broken(format!(
                "{instance} was promoted without {} of {} acknowledged commits, first {first}",
                missing.len(),
                acknowledged.len()
            )));
        }
    }
    let missing = acknowledged.iter().filter(|commit| !log.contains(commit)).count();
    if missing > 0 {
        // Nobody was promoted, so the rule says nothing of it.
        return not_run("the primary lacks an acknowledged commit, and nobody was promoted");
    }
    Ok(Verdict::Held(format!("{} acknowledged commits are in the log", acknowledged.len())))
}
