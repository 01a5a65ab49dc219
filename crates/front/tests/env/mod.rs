//! Starts proxies on a simulated platform, and callers that use the line protocol. Each test
//! binary uses a part of this module.
#![allow(dead_code)]

pub(crate) mod process;
pub(crate) mod stop;

use std::fs::File;
use std::io::{BufRead as _, BufReader, ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use front::config::Config;
use serde_json::json;
use standin::managed::Managed;

/// Timeout for a condition that must become true; a test that reaches it has failed.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);

/// Response timeout of a caller of [`Caller::try_connect`]; longer than a test pauses a proxy.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

static IDS: AtomicU64 = AtomicU64::new(1);

/// Ports below the kernel's range for outgoing connections.
const PORTS: std::ops::Range<u16> = 10_240..32_000;

/// Ports that a process reserves at a time.
const BLOCK: u16 = 320;

/// Ports that this process has reserved, and a listener on the first port of each block, which
/// keeps other processes from reserving the same one.
static RESERVED: Mutex<(Vec<TcpListener>, std::ops::Range<u16>)> = Mutex::new((Vec::new(), 0..0));

/// Returns an address with an unused port. A port that the kernel picks could be taken by an
/// outgoing connection of another test before the proxy listens on it; the kernel never picks
/// one of `PORTS`. No other process uses it either: callers of tests that run at the same time
/// would connect to each other's proxies.
fn unused_address() -> SocketAddr {
    let mut reserved = RESERVED.lock().unwrap();
    let (guards, ports) = &mut *reserved;
    loop {
        let Some(port) = ports.next() else {
            let (guard, block) = reserve_block();
            guards.push(guard);
            *ports = block;
            continue;
        };
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
}

fn reserve_block() -> (TcpListener, std::ops::Range<u16>) {
    let blocks = u32::from((PORTS.end - PORTS.start) / BLOCK);
    let first = std::process::id() % blocks;
    let block = |n: u32| {
        let start = PORTS.start + ((first + n) % blocks) as u16 * BLOCK;
        let guard = TcpListener::bind(("127.0.0.1", start)).ok()?;
        Some((guard, start + 1..start + BLOCK))
    };
    (0..blocks).find_map(block).unwrap()
}

/// A configuration with one group and 23 connections for each instance.
pub(crate) fn configuration(version: u64, databases: &[(&str, &str)]) -> serde_json::Value {
    with_connections(version, databases, 23)
}

/// [`configuration`] with another number of connections for each instance.
pub(crate) fn with_connections(
    version: u64,
    databases: &[(&str, &str)],
    connections: u32,
) -> serde_json::Value {
    let route = |(database, guarantee): &(&str, &str)| {
        json!({
            "name": format!("r-{database}"), "database": database, "prefix": "/",
            "type": guarantee, "timeoutMs": 800, "targetLatencyMs": 1000,
            "priority": 1, "service": "ledger", "maxAttempts": 2, "maxStalenessMs": 1500,
        })
    };
    let routes: Vec<_> = databases.iter().map(route).collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [{ "name": "ledger", "maxConns": connections, "syncReplicas": 1 }],
        "limits": { "txIdleMs": 3000 },
    })
}

/// A customer with its keys, and with a rate limit and as high a burst.
pub(crate) fn customer(name: &str, keys: &[&str], rate: u32) -> serde_json::Value {
    json!({ "name": name, "apiKeys": keys, "ratePerS": rate, "burst": rate })
}

/// [`configuration`] with customers.
pub(crate) fn with_customers(version: u64, customers: &[serde_json::Value]) -> serde_json::Value {
    let mut value = configuration(version, &DATABASES);
    value["tenants"] = customers.into();
    value
}

/// Names and guarantees of the databases that most tests use.
pub(crate) const DATABASES: [(&str, &str); 3] = [
    ("filing", "primary"),
    ("lookup", "bounded"),
    ("audit", "read_your_writes"),
];

/// Settings of a proxy, and the address on which it accepts callers.
pub(crate) fn settings(managed: &Managed, name: &str) -> (serde_json::Value, SocketAddr) {
    let listen = unused_address();
    let settings = json!({
        "proxy": name,
        "data_centre": "dc-a",
        "data_centres": { "dc-a": "north" },
        "listen": listen.to_string(),
        "ready_listen": unused_address().to_string(),
        "relay_listen": unused_address().to_string(),
        "metrics_listen": unused_address().to_string(),
        "store": managed.address().to_string(),
        "orders": managed.address().to_string(),
        "least_lease_ms": 1000,
        "in_force_within_ms": 4000,
        "grace_s": 6,
    });
    (settings, listen)
}

/// Starts a proxy that runs until the test process exits; returns its address for callers.
pub(crate) fn proxy(managed: &Managed, name: &str) -> SocketAddr {
    proxy_and_metrics(managed, name).0
}

/// As [`proxy`]; also returns the address of its metrics.
pub(crate) fn proxy_and_metrics(managed: &Managed, name: &str) -> (SocketAddr, SocketAddr) {
    let (settings, listen) = settings(managed, name);
    let config: Config = serde_json::from_value(settings).unwrap();
    let metrics = config.metrics_listen;
    let log = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!(
        "{}-{name}-{}.log",
        std::process::id(),
        listen.port()
    ));
    // A failed test shows where the log of its proxy is.
    println!("{name} logs to {}", log.display());
    let log = Mutex::new(File::create(log).unwrap());
    let subscriber = tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(log)
        .finish();
    thread::spawn(move || {
        // Nothing asks this proxy to stop.
        let (_, requests) = signal::channel();
        tracing::subscriber::with_default(subscriber, || {
            let runtime = compio::runtime::Runtime::new().unwrap();
            runtime.block_on(front::run::run(config, requests)).unwrap();
        });
    });
    (listen, metrics)
}

/// Fetches the metrics of a proxy.
pub(crate) fn metrics(address: SocketAddr) -> Option<String> {
    get(address, "/metrics")
}

/// The whole response to a GET request.
pub(crate) fn get(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

/// A caller's session.
pub(crate) struct Caller {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
    /// Whether a reply timed out. The session is not used after that, as a late reply would be
    /// taken for the next one.
    timed_out: bool,
}

/// A statement id that no other statement of this process has.
pub(crate) fn unused_id() -> String {
    format!("{:08x}", IDS.fetch_add(1, Ordering::Relaxed))
}

/// A reply to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Reply {
    /// The id of the statement.
    pub(crate) id: String,
    /// All lines but the last.
    pub(crate) lines: Vec<String>,
    /// State of the session: `I` is idle, `T` in a transaction.
    pub(crate) state: String,
}

impl Reply {
    /// Whether the statement succeeded.
    pub(crate) fn done(&self) -> bool {
        self.lines.last().is_some_and(|l| l.starts_with("DONE"))
    }

    /// The error code, if it failed.
    pub(crate) fn code(&self) -> Option<&str> {
        let error = self.lines.last()?.strip_prefix("ERR ")?;
        error.split(' ').next()
    }
}

impl Caller {
    /// Opens a session; `Err` holds the error line.
    pub(crate) fn connect(proxy: SocketAddr, database: &str) -> Result<Self, String> {
        Self::connect_as(proxy, database, "me")
    }

    /// [`Caller::connect`] with a key.
    pub(crate) fn connect_as(proxy: SocketAddr, database: &str, key: &str) -> Result<Self, String> {
        let stream = wait(|| TcpStream::connect(proxy).ok());
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut caller = Self {
            reader: BufReader::new(stream.try_clone().unwrap()),
            writer: stream,
            timed_out: false,
        };
        let line = caller.exchange(&format!("START {database} {key}"));
        match line {
            Some(line) if line.starts_with("READY I") => Ok(caller),
            line => Err(line.unwrap_or_default()),
        }
    }

    /// Opens a session if the proxy accepts one now.
    pub(crate) fn try_connect(proxy: SocketAddr, database: &str) -> Option<Self> {
        Self::try_connect_as(proxy, database, "me")
    }

    /// [`Caller::try_connect`] with a key.
    pub(crate) fn try_connect_as(proxy: SocketAddr, database: &str, key: &str) -> Option<Self> {
        Self::try_connect_within(proxy, database, key, CALLER_TIMEOUT)
    }

    /// [`Caller::try_connect_as`] with a time for which each reply is waited for.
    pub(crate) fn try_connect_within(
        proxy: SocketAddr,
        database: &str,
        key: &str,
        timeout: Duration,
    ) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&proxy, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        let mut caller = Self {
            reader: BufReader::new(stream.try_clone().ok()?),
            writer: stream,
            timed_out: false,
        };
        let line = caller.exchange(&format!("START {database} {key}"))?;
        line.starts_with("READY I").then_some(caller)
    }

    fn exchange(&mut self, message: &str) -> Option<String> {
        write!(self.writer, "{message}\r\n").ok()?;
        self.line()
    }

    /// Reads the next line; `None` if the session ended or the read timed out.
    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line).ok()?;
        (read > 0).then(|| line.trim_end().to_owned())
    }

    /// Sends a statement and waits for the whole reply.
    pub(crate) fn query(&mut self, text: &str) -> Reply {
        let reply = self.try_query(text);
        reply.unwrap_or_else(|| panic!("the session ended at {text:?}"))
    }

    /// As [`Caller::query`]; `None` if no reply arrives, and for every query after that.
    pub(crate) fn try_query(&mut self, text: &str) -> Option<Reply> {
        if self.timed_out {
            return None;
        }
        let reply = self.query_once(text);
        self.timed_out = reply.is_none();
        reply
    }

    fn query_once(&mut self, text: &str) -> Option<Reply> {
        self.query_with(&unused_id(), text)
    }

    /// Sends a statement with an id of [`unused_id`]; `None` without a whole reply.
    pub(crate) fn query_with(&mut self, id: &str, text: &str) -> Option<Reply> {
        write!(self.writer, "QUERY {id} {text}\r\n").ok()?;
        self.reply(id)
    }

    /// Sends bytes as they are.
    pub(crate) fn send(&mut self, text: &str) {
        self.writer.write_all(text.as_bytes()).unwrap();
    }

    /// Reads the reply to a statement; `None` without a whole one.
    pub(crate) fn reply(&mut self, id: &str) -> Option<Reply> {
        let mut lines = Vec::new();
        loop {
            let line = self.line()?;
            if let Some(rest) = line.strip_prefix("READY ") {
                let state = rest.split(' ').next()?.to_owned();
                let id = id.to_owned();
                return Some(Reply { id, lines, state });
            }
            lines.push(line);
        }
    }

    /// Whether the session is open and the proxy has sent nothing since the last reply; callers
    /// end a session that sends something without a request.
    pub(crate) fn is_open(&self) -> bool {
        if !self.reader.buffer().is_empty() {
            return false;
        }
        self.writer.set_nonblocking(true).unwrap();
        let peeked = self.writer.peek(&mut [0]);
        self.writer.set_nonblocking(false).unwrap();
        matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// Repeats a statement until it succeeds.
    pub(crate) fn query_until_done(&mut self, text: &str) -> Reply {
        wait(|| Some(self.query(text)).filter(Reply::done))
    }
}

/// Polls until `check` returns a value.
pub(crate) fn wait<T>(mut check: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + TIMEOUT;
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(Instant::now() < end, "the condition was not met in time");
        thread::sleep(Duration::from_millis(10));
    }
}
