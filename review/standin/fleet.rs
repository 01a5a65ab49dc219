//! A small deployment: the store, one service, and front processes with settings as in
//! `deploy/settings.jsonc`; and clients that speak the line protocol.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path as FilePath, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::group::Group;
use crate::store::{Path, Store};

const ZONES: [&str; 3] = ["bp-ujpest", "bp-csepel", "db-nagyerdo"];

/// What differs between the sheets of the small deployments.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub config_apply_ms: u64,
}

pub struct Front {
    pub name: String,
    pub listen: SocketAddr,
    pub store: Path,
    child: Child,
}

pub struct Fleet {
    pub store: Store,
    pub group: Group,
    pub fronts: Vec<Front>,
    started: Instant,
    record: File,
    program: PathBuf,
    folder: PathBuf,
    bounds: Bounds,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for front in &mut self.fronts {
            let _ = front.child.kill();
            let _ = front.child.wait();
        }
    }
}

/// Ports below the kernel's range for outgoing connections, which could take one that is free
/// before the front listens on it.
const PORTS: std::ops::Range<u32> = 10_240..32_000;

/// Returns an address with a free port that was not returned before. Processes begin at
/// different ports.
fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let count = PORTS.end - PORTS.start;
    let first = std::process::id().wrapping_mul(61) % count;
    for _ in 0..count {
        let offset = (first + NEXT.fetch_add(1, Ordering::Relaxed) as u32) % count;
        let port = u16::try_from(PORTS.start + offset).unwrap_or_default();
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr();
        }
    }
    Err(io::Error::other("no port is free"))
}

impl Fleet {
    /// Writes the first configuration and starts the fronts; returns when all are ready.
    pub fn start(
        program: &FilePath,
        folder: &FilePath,
        record: &FilePath,
        fronts: usize,
        bounds: Bounds,
        config: &str,
    ) -> io::Result<Self> {
        let zones = (0..fronts).map(|at| ZONES[at % ZONES.len()]);
        let fronts = zones.enumerate().map(|(at, zone)| (format!("front-{zone}-{at}"), zone));
        let fronts: Vec<_> = fronts.collect();
        Self::start_named(program, folder, record, &fronts, bounds, config)
    }

    /// Like [`Fleet::start`], with the name and the zone of each front.
    pub fn start_named(
        program: &FilePath,
        folder: &FilePath,
        record: &FilePath,
        fronts: &[(String, &str)],
        bounds: Bounds,
        config: &str,
    ) -> io::Result<Self> {
        let group = Group::start(3)?;
        let store = Store::new(group.clone());
        store.put("op/config", config);
        keep_announced(&group, &store);
        let mut fleet = Self {
            store,
            group,
            fronts: Vec::new(),
            started: Instant::now(),
            record: File::create(record)?,
            program: program.to_owned(),
            folder: folder.to_owned(),
            bounds,
        };
        for (name, zone) in fronts {
            fleet.add_front(name, zone, true)?;
        }
        fleet.note("the fronts were started");
        Ok(fleet)
    }

    /// Starts one more front; `first_start` while the whole system starts for the first time.
    pub fn add_front(&mut self, name: &str, zone: &str, first_start: bool) -> io::Result<()> {
        let (folder, bounds) = (&self.folder, self.bounds);
        let store = self.store.open()?;
        let (listen, ready) = (free_address()?, free_address()?);
        let (relay, metrics) = (free_address()?, free_address()?);
        let settings = format!(
            "{{\"proxy\":\"{name}\",\"data_centre\":\"{zone}\",\
             \"data_centres\":{{\"bp-ujpest\":\"budapest\",\"bp-csepel\":\"budapest\",\
             \"db-nagyerdo\":\"debrecen\"}},\
             \"listen\":\"{listen}\",\"ready_listen\":\"{ready}\",\"relay_listen\":\"{relay}\",\
             \"metrics_listen\":\"{metrics}\",\"store\":\"{0}\",\"orders\":\"{0}\",\
             \"least_lease_ms\":1000,\"in_force_within_ms\":{1},\
             \"vm\":{{\"cores\":1,\"core_share\":0.25,\"link_mbps\":1000.0}},\
             \"first_start\":{first_start},\"grace_s\":6}}",
            store.address, bounds.config_apply_ms
        );
        let file = folder.join(format!("{name}.jsonc"));
        fs::write(&file, settings)?;
        let log: PathBuf = folder.join(format!("{name}.log"));
        let log = File::create(log)?;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        let mut pids = File::options().create(true).append(true).open(folder.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        let name = name.to_owned();
        self.fronts.push(Front { name, listen, store, child });
        Ok(())
    }

    /// Sends a front a signal, by its name without SIG.
    pub fn signal(&mut self, front: usize, signal: &str) -> io::Result<()> {
        let pid = self.fronts[front].child.id();
        let sent = Command::new("sh").arg("-c").arg(format!("kill -{signal} {pid}")).status()?;
        let name = self.fronts[front].name.clone();
        self.note(&format!("{name} gets SIG{signal}"));
        if sent.success() { Ok(()) } else { Err(io::Error::other("no signal was sent")) }
    }

    /// Seconds since the start.
    pub fn at(&self, moment: Instant) -> f64 {
        moment.duration_since(self.started).as_secs_f64()
    }

    /// Writes a line into the record.
    pub fn note(&mut self, text: &str) {
        let at = self.at(Instant::now());
        let _ = writeln!(self.record, "{at:8.3} {text}");
    }

    /// The operator writes a configuration; returns when the store acknowledged it.
    pub fn configure(&mut self, config: &str, what: &str) -> Instant {
        self.store.put("op/config", config);
        let acknowledged = Instant::now();
        self.note(&format!("the store acknowledged a configuration: {what}"));
        acknowledged
    }

    /// An instance writes its entry, as at a heartbeat.
    pub fn announce(&self, instance: usize) {
        let key = format!("servers/{}", crate::group::id(instance));
        let entries = self.group.entries(&ZONES).into_iter();
        for (key, value) in entries.filter(|(other, _)| *other == key) {
            self.store.put(&key, &value);
        }
    }

    /// Writes what the instances ran since a moment into the record, one line each.
    pub fn note_runs(&mut self, since: Instant) {
        let runs: Vec<_> = self.group.runs().into_iter().filter(|run| run.at >= since).collect();
        for run in runs {
            let at = self.at(run.at);
            let _ = writeln!(
                self.record,
                "{at:8.3} ran    {} on {} for {}: {}",
                run.id, run.instance, run.who, run.text
            );
        }
    }

    /// Whether every front process runs.
    pub fn runs(&mut self) -> bool {
        self.fronts.iter_mut().all(|front| matches!(front.child.try_wait(), Ok(None)))
    }
}

/// Keeps the entries of the instances in the store, as their heartbeats do.
fn keep_announced(group: &Group, store: &Store) {
    let (group, store) = (group.clone(), store.clone());
    let mut known: BTreeMap<String, String> = BTreeMap::new();
    let mut announce = move || {
        let present: BTreeMap<_, _> = group.entries(&ZONES).into_iter().collect();
        for (key, value) in &present {
            if known.get(key) != Some(value) {
                store.put(key, value);
            }
        }
        for key in known.keys().filter(|key| !present.contains_key(*key)) {
            store.delete(key);
        }
        known = present;
    };
    announce();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(50));
            announce();
        }
    });
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// A client's session.
pub struct Client {
    name: &'static str,
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

/// A reply to a statement.
#[derive(Clone, Debug)]
pub struct Reply {
    pub id: String,
    pub sent: Instant,
    /// All lines but the last.
    pub lines: Vec<String>,
    pub state: String,
}

impl Reply {
    pub fn done(&self) -> bool {
        self.lines.last().is_some_and(|line| line.starts_with("DONE"))
    }

    /// Whether an instance ran the statement, as the reply says.
    pub fn signed(&self) -> bool {
        self.done() && self.lines.last().is_some_and(|line| line != "DONE -")
    }

    pub fn code(&self) -> &str {
        let error = self.lines.last().and_then(|line| line.strip_prefix("ERR "));
        error.and_then(|error| error.split(' ').next()).unwrap_or("")
    }
}

impl Client {
    /// Opens a session; the error is the line that refused it.
    pub fn open(
        fleet: &mut Fleet,
        front: usize,
        name: &'static str,
        database: &str,
        key: &str,
    ) -> Result<Self, String> {
        let text = |e: io::Error| e.to_string();
        let address = fleet.fronts[front].listen;
        let stream = TcpStream::connect(address).map_err(text)?;
        stream.set_nodelay(true).map_err(text)?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).map_err(text)?;
        let mut client = Self {
            name,
            reader: BufReader::new(stream.try_clone().map_err(text)?),
            writer: stream,
        };
        fleet.note(&format!("{name} sends START {database} {key} to front {front}"));
        client.send(&format!("START {database} {key}")).map_err(text)?;
        let line = client.line().map_err(text)?;
        fleet.note(&format!("{name} gets {line}"));
        if line.starts_with("READY I") { Ok(client) } else { Err(line) }
    }

    fn send(&mut self, line: &str) -> io::Result<()> {
        self.writer.write_all(format!("{line}\r\n").as_bytes())
    }

    fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// Sends a statement and waits for its reply; `None` if the session ended.
    pub fn query(&mut self, fleet: &mut Fleet, text: &str) -> Option<Reply> {
        let id = format!("{:016x}", 0x5c0e_7a21_0000_0000 + IDS.fetch_add(1, Ordering::Relaxed));
        let name = self.name;
        fleet.note(&format!("{name} sends  {id} {text}"));
        let sent = Instant::now();
        let reply = self.exchange(&id, text, sent);
        match &reply {
            Ok(reply) => fleet.note(&format!(
                "{name} gets   {id} {} READY {}",
                reply.lines.join(" / "),
                reply.state
            )),
            Err(e) => fleet.note(&format!("{name} gets   {id} no reply: {e}")),
        }
        reply.ok()
    }

    fn exchange(&mut self, id: &str, text: &str, sent: Instant) -> io::Result<Reply> {
        self.send(&format!("QUERY {id} {text}"))?;
        let mut lines = Vec::new();
        loop {
            let line = self.line()?;
            if let Some(rest) = line.strip_prefix("READY ") {
                let state = rest.split(' ').next().unwrap_or_default().to_owned();
                return Ok(Reply { id: id.to_owned(), sent, lines, state });
            }
            lines.push(line);
        }
    }
}

/// Sleeps until a moment.
pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
