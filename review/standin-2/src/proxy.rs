//! The machines: each runs one `pomelo-front` process, which the platform kills when it takes
//! more memory than the machine has, and starts again.

use std::fs::{self, File};
use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::{Record, ZONES};

/// The program of the deploy file, from the project's root.
const PROGRAM: &str = "target/release/pomelo-front";

/// Interval between two looks at the memory of a process.
const LOOK: Duration = Duration::from_millis(5);

/// Delay before a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Bytes of a page of memory.
const PAGE: u64 = 4_096;

pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: String,
    log: String,
    child: Mutex<Option<Child>>,
    kills: AtomicU64,
    peak: AtomicU64,
}

/// Ports below the range from which the kernel takes those of outgoing connections: one from that
/// range could be taken before the proxy listens on it.
const PORTS: std::ops::Range<u16> = 10_240..32_000;

/// Ports that were handed out, from one that depends on the process.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

fn free_address() -> SocketAddr {
    let count = PORTS.end - PORTS.start;
    let first = (std::process::id() * 97 % u32::from(count)) as u16;
    loop {
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % count;
        let offset = (u32::from(first) + u32::from(step)) % u32::from(count);
        let address = ("127.0.0.1", PORTS.start + offset as u16);
        if let Ok(listener) = TcpListener::bind(address) {
            return listener.local_addr().unwrap();
        }
    }
}

impl Machine {
    pub fn new(zone: &str, n: usize, folder: &str, platform: SocketAddr) -> Self {
        let name = format!("front-{zone}-{n}");
        let [front, ready, relay, metrics] = [(); 4].map(|()| free_address());
        let zones = ZONES.map(|(zone, region, _)| format!("\"{zone}\": \"{region}\""));
        // As the platform fills in deploy/settings.jsonc.
        let text = format!(
            "{{\"proxy\": \"{name}\", \"data_centre\": \"{zone}\",\n\
             \"data_centres\": {{{}}},\n\
             \"listen\": \"{front}\", \"ready_listen\": \"{ready}\",\n\
             \"relay_listen\": \"{relay}\", \"metrics_listen\": \"{metrics}\",\n\
             \"store\": \"{platform}\", \"orders\": \"{platform}\",\n\
             \"least_lease_ms\": 1000, \"in_force_within_ms\": 4000,\n\
             \"vm\": {{\"cores\": 1, \"core_share\": 0.25, \"link_mbps\": 1000.0}},\n\
             \"first_start\": FIRST, \"grace_s\": 6}}\n",
            zones.join(", ")
        );
        let settings = format!("{folder}/{name}.jsonc");
        fs::write(&settings, text).unwrap();
        Self {
            log: format!("{folder}/{name}.log"),
            name,
            front,
            ready,
            settings,
            child: Mutex::new(None),
            kills: AtomicU64::new(0),
            peak: AtomicU64::new(0),
        }
    }

    /// Starts the process; `first` is whether the whole system starts for the first time.
    pub fn start(&self, record: &Record, first: bool) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        let text = text.replace(
            "\"first_start\": FIRST",
            &format!("\"first_start\": {first}"),
        );
        let text = text.replace(
            "\"first_start\": true",
            &format!("\"first_start\": {first}"),
        );
        fs::write(&self.settings, text)?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .args(["--config", &self.settings])
            .stdout(log.try_clone()?)
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()?;
        record.line(&format!("{} starts, process {}", self.name, child.id()));
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Bytes of memory that the process takes; `None` if it does not run.
    fn memory(&self) -> Option<u64> {
        let id = self.child.lock().unwrap().as_ref()?.id();
        let text = fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
        let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
        Some(pages * PAGE)
    }

    /// Kills the process whenever it takes more than `limit`, and starts it again.
    pub fn guard(&self, record: &Record, over: &AtomicBool, limit: u64) {
        while !over.load(Ordering::Relaxed) {
            thread::sleep(LOOK);
            let memory = self.memory().unwrap_or_default();
            self.peak.fetch_max(memory, Ordering::Relaxed);
            if memory <= limit {
                continue;
            }
            record.line(&format!(
                "{} takes {} MB and is killed",
                self.name,
                memory >> 20
            ));
            self.kills.fetch_add(1, Ordering::Relaxed);
            self.stop();
            thread::sleep(RESTART_DELAY);
            if self.start(record, false).is_err() {
                return;
            }
        }
    }

    /// Ends the process.
    pub fn stop(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn kills(&self) -> u64 {
        self.kills.load(Ordering::Relaxed)
    }

    pub fn peak(&self) -> u64 {
        self.peak.load(Ordering::Relaxed)
    }

    /// Whether the process answers the ready probe with 200.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, limit) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(limit));
        let probe = b"GET /ready HTTP/1.1\r\nhost: probe\r\nconnection: close\r\n\r\n";
        let mut text = String::new();
        let answered = stream
            .write_all(probe)
            .and_then(|()| stream.read_to_string(&mut text));
        answered.is_ok() && text.starts_with("HTTP/1.1 200")
    }
}
