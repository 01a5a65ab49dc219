//! Graceful shutdown of a proxy that still serves callers.

mod env;

use std::process::ExitStatus;
use std::thread;
use std::time::{Duration, Instant};

use env::process::Proxy;
use env::stop::{self, Counts, Tally};
use env::{Caller, DATABASES, Reply, configuration, wait, with_connections};
use rustix::process::Signal;
use standin::managed::wire::{Weather, Wire};
use standin::managed::{Fault, Managed, StoreFault};
use tempfile::TempDir;
use test_case::test_case;

/// Guards against a stopping proxy that registers in the store again a second after it deleted
/// its registration, while a caller is still in a transaction: other proxies would count it and
/// send it work, and it would take back the coordinator role that it had just released.
#[test]
fn a_stopping_proxy_does_not_register_again() {
    let managed = Managed::start(3).unwrap();
    managed.configure(&configuration(1, &DATABASES));
    let folder = tempfile::tempdir().unwrap();
    let proxy = Proxy::start(&managed, folder.path(), "p1");
    let keys = || managed.keys("pomelo/");
    wait(|| (keys().len() == 2).then_some(()));
    let mut session = Caller::connect(proxy.listen, "filing").unwrap();
    wait(|| Some(session.query("BEGIN")).filter(env::Reply::done));
    session.query("WRITE a 1");
    proxy.signal(Signal::TERM);
    wait(|| keys().is_empty().then_some(()));
    for _ in 0..25 {
        thread::sleep(Duration::from_millis(80));
        assert!(keys().is_empty(), "{:?}", keys());
    }
}

/// Callers of a test.
const CALLERS: u64 = 40;

/// Longest pause of a caller between two statements.
const PAUSE_MS: u64 = 4;

/// The grace period in the settings of a test's proxy.
const GRACE: Duration = Duration::from_secs(6);

/// Half of it, when open transactions end.
const HALF: Duration = Duration::from_secs(3);

/// What came of a proxy that was stopped under load.
struct Stopped {
    status: ExitStatus,
    /// Time from the first signal to the exit.
    took: Duration,
    counts: Counts,
    log: String,
}

fn platform() -> Managed {
    let managed = Managed::start(3).unwrap();
    managed.configure(&configuration(1, &DATABASES));
    managed
}

/// A platform with a time limit of statements that is longer than the grace period.
fn patient_platform() -> Managed {
    let managed = Managed::start(3).unwrap();
    let mut value = configuration(1, &DATABASES);
    for route in value["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = 20_000.into();
    }
    managed.configure(&value);
    managed
}

fn serving(managed: &Managed, folder: &TempDir) -> Proxy {
    serving_with(managed, folder, GRACE)
}

fn serving_with(managed: &Managed, folder: &TempDir, grace: Duration) -> Proxy {
    let proxy = Proxy::start_with(managed, folder.path(), "p1", |settings| {
        settings["grace_s"] = grace.as_secs().into();
    });
    let write = || Caller::try_connect(proxy.listen, "audit")?.try_query("WRITE a 1");
    wait(|| write().filter(Reply::done));
    proxy
}

fn stop_under_load(managed: &Managed, signals: &[(u64, Signal)]) -> Stopped {
    stop_within(managed, GRACE, signals)
}

/// Lets callers send statements while a proxy gets a series of signals, each after a pause in
/// milliseconds, until it has exited.
fn stop_within(managed: &Managed, grace: Duration, signals: &[(u64, Signal)]) -> Stopped {
    let folder = tempfile::tempdir().unwrap();
    let proxy = serving_with(managed, &folder, grace);
    let (listen, tally) = (proxy.listen, Tally::default());
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let tally = &tally;
            scope.spawn(move || stop::call(caller, listen, PAUSE_MS, tally));
        }
        thread::sleep(Duration::from_millis(500));
        let first = Instant::now();
        for (pause, signal) in signals {
            thread::sleep(Duration::from_millis(*pause));
            proxy.signal(*signal);
        }
        let status = proxy.wait_for_exit();
        let (took, counts) = (first.elapsed(), tally.finish());
        println!(
            "{} done, {} failed, {} unanswered, of which {} ran; {took:?}, {status}",
            counts.done,
            counts.failed,
            counts.unanswered.len(),
            counts.ran(managed),
        );
        for unanswered in &counts.unanswered {
            println!("{:?} {unanswered}", unanswered.sent.duration_since(first));
        }
        let log = proxy.log();
        Stopped {
            status,
            took,
            counts,
            log,
        }
    })
}

/// Guards against a signal that ends the process while statements are in progress, because
/// another one came before it.
#[test_case(&[(0, Signal::TERM), (1, Signal::TERM)]; "again at once")]
#[test_case(&[(0, Signal::TERM), (50, Signal::TERM), (600, Signal::TERM), (2_000, Signal::TERM)]; "again and again")]
#[test_case(&[(0, Signal::TERM), (600, Signal::INT)]; "another one")]
#[test_case(&[(0, Signal::INT), (20, Signal::HUP), (2_000, Signal::INT), (500, Signal::HUP)]; "mixed")]
fn a_later_signal_does_not_end_the_process(signals: &[(u64, Signal)]) {
    let stopped = stop_under_load(&platform(), signals);
    assert!(stopped.status.success(), "{}", stopped.status);
    assert!(stopped.log.contains("stopped"), "{}", stopped.log);
}

/// Guards against a process that ends at one of several requests to reload, between two of which
/// it does not handle the signal.
#[test]
fn requests_to_reload_do_not_end_the_process() {
    let (managed, folder) = (platform(), tempfile::tempdir().unwrap());
    let proxy = serving(&managed, &folder);
    let mut session = Caller::connect(proxy.listen, "audit").unwrap();
    for n in 0..5_000 {
        proxy.signal(Signal::HUP);
        if n % 100 == 0 {
            session.query("READ a");
        }
    }
}

/// Guards against a request to reload that ends a process that is just starting.
#[test]
fn a_request_to_reload_does_not_end_a_process_that_starts() {
    let (managed, folder) = (platform(), tempfile::tempdir().unwrap());
    let (proxy, settings) = Proxy::start_paused(&managed, folder.path(), "p1");
    proxy.signal(Signal::HUP);
    thread::sleep(Duration::from_millis(20));
    settings.send();
    Caller::connect(proxy.listen, "audit").unwrap();
    proxy.signal(Signal::TERM);
    assert!(proxy.wait_for_exit().success());
}

/// Guards against a process that stops before it has a configuration and then reports itself as
/// ready, so that callers are sent to it.
#[test]
fn a_process_that_stops_does_not_become_ready() {
    let (managed, folder) = (Managed::start(3).unwrap(), tempfile::tempdir().unwrap());
    let mut ready = None;
    let proxy = Proxy::start_with(&managed, folder.path(), "p1", |settings| {
        ready = settings["ready_listen"].as_str().map(str::to_owned);
    });
    let ready = ready.unwrap().parse().unwrap();
    wait(|| env::get(ready, "/ready"));
    proxy.signal(Signal::TERM);
    managed.configure(&configuration(1, &DATABASES));
    for _ in 0..100 {
        let status = env::get(ready, "/ready").unwrap_or_default();
        assert!(!status.starts_with("HTTP/1.1 200"), "{status}");
        thread::sleep(Duration::from_millis(20));
    }
    assert!(proxy.wait_for_exit().success());
}

/// Guards against a process that registers in the store while it stops, because its lease was
/// granted after the stop began: others would count it until the lease expires.
#[test]
fn a_process_that_stops_while_it_registers_leaves_nothing() {
    let (managed, folder) = (platform(), tempfile::tempdir().unwrap());
    managed.set_store_fault(StoreFault::Slow(Duration::from_millis(300)));
    thread::scope(|scope| {
        for n in 0..12 {
            let (managed, folder) = (&managed, folder.path());
            scope.spawn(move || {
                let proxy = Proxy::start(managed, folder, &format!("p{n}"));
                thread::sleep(Duration::from_millis(50 + 100 * n));
                proxy.signal(Signal::TERM);
                assert!(proxy.wait_for_exit().success());
            });
        }
    });
    let keys = managed.keys("pomelo/");
    assert!(keys.is_empty(), "{keys:?}");
}

/// Guards against a process that exits while statements that it has sent to an instance are in
/// progress.
#[test]
fn no_statement_that_ran_is_cut_off_by_the_exit() {
    let managed = platform();
    let stopped = stop_under_load(&managed, &[(0, Signal::TERM)]);
    assert_eq!(stopped.counts.ran(&managed), 0);
    assert!(!stopped.log.contains("was cut off"), "{}", stopped.log);
}

/// Guards against a statement that is lost because its session closes while the statement is on
/// its way to the proxy.
#[test_case(&[(0, Signal::TERM)]; "terminate")]
#[test_case(&[(0, Signal::HUP), (0, Signal::HUP), (1, Signal::INT), (0, Signal::HUP)]; "interrupt")]
fn every_statement_on_an_open_session_is_answered(signals: &[(u64, Signal)]) {
    let stopped = stop_under_load(&platform(), signals);
    let Counts { unanswered, .. } = stopped.counts;
    assert!(unanswered.is_empty(), "{} unanswered", unanswered.len());
}

/// Guards against an exit behind the end of the grace period, when the process is killed: the
/// time began only after the calls that end the registration in the store.
#[test_case(StoreFault::Slow(Duration::from_millis(300)); "slow")]
#[test_case(StoreFault::Slow(Duration::from_millis(1_200)); "very slow")]
#[test_case(StoreFault::LosesAnswers; "silent")]
fn a_slow_store_does_not_delay_the_exit(fault: StoreFault) {
    let managed = platform();
    let stalled = managed.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(900));
        stalled.set_store_fault(fault);
    });
    let stopped = stop_under_load(&managed, &[(600, Signal::TERM)]);
    let took = stopped.took - Duration::from_millis(600);
    assert!(took < GRACE, "{took:?}");
}

/// Guards against a statement of which a part has arrived when the shutdown begins its next
/// phase: the part was dropped, and the rest was no statement.
#[test]
fn a_statement_that_arrives_in_parts_is_answered() {
    let (managed, folder) = (platform(), tempfile::tempdir().unwrap());
    let proxy = serving(&managed, &folder);
    let mut session = Caller::connect(proxy.listen, "audit").unwrap();
    session.send("QUERY 0000abcd REA");
    proxy.signal(Signal::TERM);
    thread::sleep(Duration::from_millis(2_500));
    session.send("D a\r\n");
    let reply = session.reply("0000abcd").unwrap();
    assert!(reply.done(), "{reply:?}");
}

/// Guards against a transaction that goes on until the process exits, because a statement of it
/// was in progress when transactions were to end.
#[test]
fn a_busy_transaction_ends_at_half_of_the_grace_period() {
    let (managed, folder) = (platform(), tempfile::tempdir().unwrap());
    let wires = (0..3).map(|at| {
        let wire = Wire::to(managed.instance_address(at)).unwrap();
        managed.announce_at(at, wire.address());
        wire
    });
    let wires: Vec<_> = wires.collect();
    let proxy = serving(&managed, &folder);
    let mut session = Caller::connect(proxy.listen, "audit").unwrap();
    session.query("BEGIN");
    session.query("READ a");
    for wire in wires {
        wire.set(Weather::Slow(Duration::from_millis(100)));
    }
    proxy.signal(Signal::TERM);
    let begun = Instant::now();
    while session.query("READ a").done() {}
    assert!(begun.elapsed() >= HALF);
    drop(session);
    assert!(proxy.wait_for_exit().success());
    let log = proxy.log();
    assert!(!log.contains("are aborted"), "{log}");
}

/// Guards against a statement that is called malformed because the proxy has aborted its
/// transaction meanwhile: callers may send again what did not run.
#[test]
fn the_first_statement_after_an_abort_is_told_of_it() {
    let (managed, folder) = (platform(), tempfile::tempdir().unwrap());
    let proxy = serving(&managed, &folder);
    let open = || Caller::connect(proxy.listen, "audit").unwrap();
    let mut sessions = [open(), open()];
    for session in &mut sessions {
        session.query("BEGIN");
        assert!(session.query("WRITE b 1").done());
    }
    let [mut writing, mut ending] = sessions;
    proxy.signal(Signal::TERM);
    thread::sleep(HALF + Duration::from_millis(500));
    assert_eq!(writing.query("WRITE b 2").code(), Some("ABORTED"));
    assert_eq!(writing.query("WRITE b 3").code(), Some("MALFORMED"));
    assert!(writing.query("ROLLBACK").done());
    assert_eq!(ending.query("COMMIT").code(), Some("ABORTED"));
    assert!(managed.log().iter().all(|entry| !entry.starts_with("b=")));
}

/// Guards against statements of other proxies that are lost when the pooler that holds the
/// connections stops: the proxies are restarted one after the other.
#[test]
fn a_pooler_that_stops_cuts_no_statement_of_other_proxies() {
    let (managed, folder) = (platform(), tempfile::tempdir().unwrap());
    managed.configure(&with_connections(2, &DATABASES, 2));
    let start = |name| Proxy::start(&managed, folder.path(), name);
    let proxies = ["p1", "p2", "p3"].map(start);
    wait(|| (managed.keys("pomelo/proxy/").len() == 3).then_some(()));
    let (listen, tally) = (proxies.each_ref().map(|p| p.listen), Tally::default());
    let counts = thread::scope(|scope| {
        for caller in 0..12 {
            let (tally, listen) = (&tally, listen[caller % 3]);
            scope.spawn(move || stop::call(caller as u64, listen, PAUSE_MS, tally));
        }
        for proxy in &proxies {
            thread::sleep(Duration::from_secs(1));
            proxy.signal(Signal::TERM);
            assert!(proxy.wait_for_exit().success());
            proxy.restart();
        }
        tally.finish()
    });
    println!("{counts:?}");
    assert!(counts.unanswered.is_empty(), "{:?}", counts.unanswered);
    assert_eq!(counts.in_doubt, 0);
    assert!(counts.done > 0);
}

/// Guards against a process that was paused until its grace period had ended, and then exits
/// before it has answered the statements in progress.
#[test]
fn a_pause_beyond_the_grace_period_cuts_no_statement() {
    let (managed, folder) = (patient_platform(), tempfile::tempdir().unwrap());
    let proxy = serving_with(&managed, &folder, Duration::from_secs(1));
    let mut session = Caller::connect(proxy.listen, "audit").unwrap();
    managed.delay_next_statement("WRITE", Duration::from_secs(20));
    let waiting = thread::spawn(move || session.try_query("WRITE a 2"));
    thread::sleep(Duration::from_millis(100));
    proxy.signal(Signal::TERM);
    thread::sleep(Duration::from_millis(50));
    proxy.signal(Signal::STOP);
    thread::sleep(Duration::from_millis(1_500));
    proxy.signal(Signal::CONT);
    let reply = waiting.join().unwrap().unwrap();
    assert_eq!(reply.code(), Some("INDOUBT"));
    assert!(proxy.wait_for_exit().success());
}

/// Guards against the same with many statements, whose replies take the process some time.
#[test]
fn a_pause_under_load_cuts_no_statement() {
    let signals = [(0, Signal::TERM), (50, Signal::STOP), (1_500, Signal::CONT)];
    let stopped = stop_within(&platform(), Duration::from_secs(1), &signals);
    assert!(!stopped.log.contains("was cut off"), "{}", stopped.log);
    let unanswered = stopped.counts.unanswered;
    assert!(unanswered.is_empty(), "{unanswered:?}");
}

/// Guards against statements whose instance does not respond before the process has to exit:
/// they got no reply.
#[test]
fn a_statement_without_a_response_is_answered_before_the_exit() {
    let (managed, folder) = (patient_platform(), tempfile::tempdir().unwrap());
    let proxy = serving(&managed, &folder);
    let open = || Caller::connect(proxy.listen, "audit").unwrap();
    let mut sessions = [open(), open(), open(), open()];
    for session in &mut sessions[2..] {
        session.query("BEGIN");
        assert!(session.query("WRITE b 1").done());
    }
    let statements = ["WRITE a 2", "READ a", "READ b", "COMMIT"];
    let codes = ["INDOUBT", "ABORTED", "ABORTED", "INDOUBT"];
    // The write is sent; an instance that fails gets nothing more.
    managed.delay_next_statement("WRITE", Duration::from_secs(20));
    let waiting = sessions.into_iter().zip(statements);
    let waiting: Vec<_> = waiting
        .map(|(mut session, text)| {
            let waiting = thread::spawn(move || session.query(text));
            thread::sleep(Duration::from_millis(100));
            (0..3).for_each(|at| managed.set_fault(at, Fault::Dark));
            waiting
        })
        .collect();
    proxy.signal(Signal::TERM);
    let begun = Instant::now();
    let replies: Vec<_> = waiting.into_iter().map(|w| w.join().unwrap()).collect();
    let replied: Vec<_> = replies
        .iter()
        .map(|r| r.code().unwrap_or_default())
        .collect();
    assert_eq!(replied, codes);
    assert!(proxy.wait_for_exit().success());
    assert!(begun.elapsed() < GRACE, "{:?}", begun.elapsed());
}
