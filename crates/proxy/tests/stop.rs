//! Signals and the end of the process.

mod env;

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use env::{Env, Setup, code, login_at};
use model::unit::Span;
use postgres::{Client, NoTls};
use proxy::config::Limits;
use rustix::process::{Pid, Signal, kill_process};
use test_case::test_case;

const TABLE: &str = "CREATE TABLE payment (id BIGINT PRIMARY KEY, note TEXT)";
const INSERT: &str = "INSERT INTO payment VALUES (1, 'a')";

/// A proxy process; killed when dropped.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    fn start(env: &Env, folder: &std::path::Path) -> Self {
        let document = serde_json::to_string(&env.fleet.document()).unwrap();
        let fleet = folder.join("fleet.jsonc");
        std::fs::write(&fleet, document).unwrap();
        let first = &env.fleet.addresses().instances[0];
        let settings = serde_json::json!({
            "data_centre": first.data_centre,
            "address": "127.0.0.1",
            "listen": "127.0.0.1:0",
            "secret": "a secret of the fleet",
            "fleet_file": fleet,
        });
        let path = folder.join("proxy.jsonc");
        std::fs::write(&path, settings.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_pomelo-proxy"))
            .arg("--config")
            .arg(path)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let address = lines.find_map(|line| {
            let line = line.ok()?;
            let (_, rest) = line.split_once("listen=")?;
            rest.split(' ').next()?.parse().ok()
        });
        // The pipe must not fill up.
        thread::spawn(move || lines.for_each(drop));
        let address = address.unwrap();
        Self { child, address }
    }

    fn signal(&self, signal: Signal) {
        // Fails if the process has just exited, which the test finds out.
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    fn connect(&self) -> Client {
        login_at(self.address).connect(NoTls).unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn slow_primary(env: &Env, service: Duration) {
    let primary = env.instances().remove(0);
    env.control().service(&primary, service, 1.0).unwrap();
}

/// Guards against a signal that ends the process while statements are in progress, because
/// another one came before it or because nothing handles it.
#[test_case(&[Signal::TERM, Signal::TERM]; "terminate")]
#[test_case(&[Signal::INT, Signal::TERM, Signal::INT]; "interrupt")]
#[test_case(&[Signal::HUP, Signal::TERM, Signal::HUP]; "reload")]
fn a_series_of_signals_cuts_no_statement(signals: &[Signal]) {
    let (env, folder) = (Env::start(), tempfile::tempdir().unwrap());
    let mut process = Process::start(&env, folder.path());
    let mut client = process.connect();
    client.batch_execute(TABLE).unwrap();
    slow_primary(&env, Duration::from_millis(600));
    let running = thread::spawn(move || client.batch_execute(INSERT));
    thread::sleep(Duration::from_millis(200));
    for signal in signals {
        process.signal(*signal);
        thread::sleep(Duration::from_millis(50));
    }
    running.join().unwrap().unwrap();
    assert!(process.child.wait().unwrap().success());
}

/// Guards against statements without a reply when they are still in progress at the end of the
/// time for shutting down.
#[test_case(INSERT, "40003"; "write")]
#[test_case("SELECT count(*) FROM payment /*age='0ms'*/", "57P01"; "read")]
fn a_statement_at_the_end_of_the_shutdown_is_answered(sql: &'static str, expected: &str) {
    let mut env = Env::with(Setup {
        settings: |builder| {
            builder.limits(Limits {
                drain: Span::from_millis(500),
                ..Limits::default()
            })
        },
        ..Setup::default()
    });
    let mut client = env.connect(0);
    client.batch_execute(TABLE).unwrap();
    for instance in env.instances() {
        let control = env.control();
        control
            .service(&instance, Duration::from_secs(4), 1.0)
            .unwrap();
    }
    let running = thread::spawn(move || client.batch_execute(sql));
    thread::sleep(Duration::from_millis(200));
    let begun = Instant::now();
    env.proxies.remove(0).shutdown();
    let e = running.join().unwrap().unwrap_err();
    assert_eq!(code(&e), expected, "{e}");
    assert!(
        begun.elapsed() < Duration::from_secs(2),
        "{:?}",
        begun.elapsed()
    );
}
