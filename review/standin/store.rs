//! The platform's store: keys with revisions, leases, and 20 s of history, over HTTP.
//!
//! Each front process has a listener of its own, so that one machine can be turned away while
//! the store serves the others and the operator.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::group::Group;
use crate::json::{self, Json};

/// `historyS` of the sheets.
const HISTORY: Duration = Duration::from_secs(20);

/// Time of one answer, as on the sheets.
const ANSWER: Duration = Duration::from_millis(4);

/// Items and bytes of one page of a listing.
const PAGE: (usize, usize) = (500, 1 << 20);

#[derive(Clone)]
struct Item {
    /// In base64, as it is sent.
    value: Arc<str>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    revision: u64,
    at: Instant,
    shown: String,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: Vec<Event>,
    /// Revision up to which the history is dropped.
    dropped: u64,
    leases: BTreeMap<u64, Lease>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    group: Group,
}

/// The path of one machine to the store.
#[derive(Clone)]
pub struct Path {
    pub address: SocketAddr,
    turned_away: Arc<AtomicBool>,
}

impl Path {
    /// Answers this machine with 503 from now on, or serves it again.
    pub fn turn_away(&self, on: bool) {
        self.turned_away.store(on, Ordering::SeqCst);
    }
}

impl State {
    fn record(&mut self, shown: String) {
        let now = Instant::now();
        self.history.push(Event { revision: self.revision, at: now, shown });
        let old = |event: &Event| now.duration_since(event.at) > HISTORY;
        let count = self.history.iter().take_while(|event| old(event)).count();
        if let Some(last) = self.history.drain(..count).next_back() {
            self.dropped = last.revision;
        }
    }

    fn write(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value: value.into(), revision: self.revision, created, lease };
        let shown = shown(key, &item);
        self.items.insert(key.to_owned(), item);
        self.record(shown);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let shown = format!(
                "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                json::quote(key),
                self.revision
            );
            self.record(shown);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }

    fn events(&mut self, prefix: &str, after: u64) -> Option<Vec<String>> {
        self.expire();
        let now = Instant::now();
        let old = |event: &Event| now.duration_since(event.at) > HISTORY;
        let count = self.history.iter().take_while(|event| old(event)).count();
        if let Some(last) = self.history.drain(..count).next_back() {
            self.dropped = last.revision;
        }
        if after < self.dropped {
            return None;
        }
        let key = format!("{{\"key\":\"{prefix}");
        let new = self.history.iter().filter(|e| e.revision > after && e.shown.starts_with(&key));
        Some(new.map(|event| event.shown.clone()).collect())
    }
}

fn shown(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        json::quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    pub fn new(group: Group) -> Self {
        let store = Self { state: Arc::default(), group };
        store.lock().revision = 1;
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a key as the operator or an instance does; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let value = json::base64(value.as_bytes());
        self.lock().write(key, &value, 0);
    }

    /// Deletes a key, as the platform does with the entry of an instance that is silent.
    pub fn delete(&self, key: &str) {
        self.lock().delete(key);
    }

    /// Opens the path of one machine.
    pub fn open(&self) -> io::Result<Path> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let path = Path {
            address: listener.local_addr()?,
            turned_away: Arc::default(),
        };
        let (store, served) = (self.clone(), path.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, path) = (store.clone(), served.clone());
                thread::spawn(move || {
                    // A machine that goes away ends its connection.
                    let _ = store.serve(&stream, &path);
                });
            }
        });
        Ok(path)
    }

    fn serve(&self, stream: &TcpStream, path: &Path) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream.try_clone()?;
        while let Some(request) = Request::read(&mut reader)? {
            thread::sleep(ANSWER);
            let (status, body) = if path.turned_away.load(Ordering::SeqCst) {
                (503, "{}".to_owned())
            } else {
                self.answer(&request, path)
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all(head.as_bytes())?;
            writer.write_all(body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Request, path: &Path) -> (u16, String) {
        let last = request.path.rsplit('/').next().unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request, path),
            ("POST", "/kv-txn") => self.txn(&request.body),
            ("POST", "/kv-lease") => self.grant(request.body.get("ttlMs").number()),
            ("POST", p) if p.starts_with("/kv-keep/") => self.keep(last.parse().unwrap_or(0)),
            ("DELETE", p) if p.starts_with("/kv-lease-end/") => {
                let mut state = self.lock();
                state.expire();
                state.end_lease(last.parse().unwrap_or(0));
                (200, "{}".to_owned())
            }
            ("POST", "/promote") => {
                let taken = self.group.promote(request.body.get("id").text(), request.token);
                (if taken { 200 } else { 409 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let mut state = self.lock();
        state.expire();
        let (prefix, after) = (request.param("prefix"), request.param("after"));
        let (mut items, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, item) in &state.items {
            if !key.starts_with(prefix) || (!after.is_empty() && key.as_str() <= after) {
                continue;
            }
            if items.len() >= PAGE.0 || (bytes > 0 && bytes + item.value.len() > PAGE.1) {
                truncated = true;
                break;
            }
            bytes += item.value.len();
            items.push(shown(key, item));
        }
        let body = format!(
            "{{\"items\":[{}],\"truncated\":{truncated},\"storeRevision\":{}}}",
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, request: &Request, path: &Path) -> (u16, String) {
        let number = |name| request.param(name).parse::<u64>().unwrap_or(0);
        let (after, wait) = (number("after"), number("waitMs"));
        let end = Instant::now() + Duration::from_millis(wait);
        loop {
            if path.turned_away.load(Ordering::SeqCst) {
                return (503, "{}".to_owned());
            }
            let mut state = self.lock();
            let Some(events) = state.events(request.param("prefix"), after) else {
                return (410, "{}".to_owned());
            };
            if !events.is_empty() || Instant::now() >= end {
                let revision = state.revision;
                drop(state);
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"));
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn txn(&self, body: &Json) -> (u16, String) {
        let mut state = self.lock();
        state.expire();
        let rows = body.get("precondition").list();
        let held = |state: &State, row: &Json| {
            let item = state.items.get(row.get("key").text());
            item.map_or(0, |item| item.revision) == row.get("revision").number()
        };
        if !rows.iter().all(|row| held(&state, row)) {
            let current = rows.iter().filter_map(|row| {
                let key = row.get("key").text();
                state.items.get(key).map(|item| shown(key, item))
            });
            let current: Vec<_> = current.collect();
            return (412, format!("{{\"items\":[{}]}}", current.join(",")));
        }
        let writes = body.get("writes").list();
        let lease = |row: &Json| row.get("lease").number();
        if writes.iter().any(|row| lease(row) > 0 && !state.leases.contains_key(&lease(row))) {
            return (404, "{}".to_owned());
        }
        for row in writes {
            state.write(row.get("key").text(), row.get("value").text(), lease(row));
        }
        for key in body.get("deletes").list() {
            state.delete(key.text());
        }
        (200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, ttl_ms: u64) -> (u16, String) {
        let mut state = self.lock();
        state.revision += 1;
        let (id, ttl) = (state.revision, Duration::from_millis(ttl_ms));
        state.leases.insert(id, Lease { ttl, until: Instant::now() + ttl });
        (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl_ms}}}"))
    }

    fn keep(&self, id: u64) -> (u16, String) {
        let mut state = self.lock();
        state.expire();
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.until = Instant::now() + lease.ttl;
                (200, "{}".to_owned())
            }
            None => (404, "{}".to_owned()),
        }
    }
}

struct Request {
    method: String,
    path: String,
    query: Vec<(String, String)>,
    token: u64,
    body: Json,
}

impl Request {
    fn param(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let mut words = line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pair = |pair: &str| {
            let (key, value) = pair.split_once('=')?;
            Some((key.to_owned(), value.to_owned()))
        };
        let (path, query) = (path.to_owned(), query.split('&').filter_map(pair).collect());
        let (mut length, mut token) = (0, 0);
        loop {
            let mut header = String::new();
            reader.read_line(&mut header)?;
            let header = header.trim().to_ascii_lowercase();
            let Some((name, value)) = header.split_once(':') else {
                break;
            };
            match name {
                "content-length" => length = value.trim().parse().unwrap_or(0),
                "x-pomeloscale-fencing-token" => token = value.trim().parse().unwrap_or(0),
                _ => {}
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let body = String::from_utf8_lossy(&body);
        let body = Json::parse(&body).unwrap_or(Json::Null);
        Ok(Some(Self { method, path, query, token, body }))
    }
}
