//! The platform's store: keys with revisions, leases, watches, over HTTP/1.1.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::{self, Json};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// A change of a key; `None` is its deletion.
struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    events: Vec<Event>,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            key: key.to_owned(),
            revision,
            item: Some(item),
        });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push(Event {
                key: key.to_owned(),
                revision: self.revision,
                item: None,
            });
        }
    }

    /// Removes the keys of leases that have ended.
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, until)| *until > now);
        let leases = &self.leases;
        let ended = |i: &Item| i.lease > 0 && !leases.contains_key(&i.lease);
        let ended = self.items.iter().filter(|(_, i)| ended(i));
        let keys: Vec<String> = ended.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }
}

fn shown(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

/// The store, shared by all connections.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

struct Request {
    method: String,
    path: String,
    query: BTreeMap<String, String>,
    body: Json,
}

impl Store {
    /// Serves the store on a free loopback port.
    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.connection(stream));
            }
        });
        address
    }

    /// Writes a key as the operator or an instance does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.put(key, json::base64(value.as_bytes()), 0);
        self.0.1.notify_all();
    }

    fn connection(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let request = read(&mut reader)?;
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all((head + &body).as_bytes()).ok()?;
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path.as_str();
        let last = path.rsplit('/').next().unwrap_or_default();
        let id: u64 = last.parse().unwrap_or_default();
        if (request.method.as_str(), path) == ("GET", "/kv-watch") {
            return self.watch(request);
        }
        let mut state = self.0.0.lock().unwrap();
        state.expire();
        let answer = match (request.method.as_str(), path) {
            ("GET", "/kv-range") => (200, range(&state, request)),
            ("POST", "/kv-txn") => txn(&mut state, &request.body),
            ("POST", "/kv-lease") => {
                let ttl = request.body.get("ttlMs").number();
                state.revision += 1;
                let (lease, length) = (state.revision, Duration::from_millis(ttl));
                state
                    .leases
                    .insert(lease, (length, Instant::now() + length));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            ("POST", _) if path.starts_with("/kv-keep/") => match state.leases.get_mut(&id) {
                Some((length, until)) => {
                    *until = Instant::now() + *length;
                    (200, format!("{{\"ttlMs\":{}}}", length.as_millis()))
                }
                None => (404, "{}".to_owned()),
            },
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                state.leases.remove(&id);
                state.expire();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        drop(state);
        self.0.1.notify_all();
        answer
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let number = |name: &str| request.query.get(name).and_then(|n| n.parse::<u64>().ok());
        let after = number("after").unwrap_or_default();
        let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or_default());
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let mut state = self.0.0.lock().unwrap();
        loop {
            state.expire();
            let new = |e: &&Event| e.revision > after && e.key.starts_with(&prefix);
            let events = state.events.iter().filter(new).map(|e| match &e.item {
                Some(item) => shown(&e.key, item),
                None => format!(
                    "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                    e.key, e.revision
                ),
            });
            let events: Vec<String> = events.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                let body = format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}");
                return (200, body);
            }
            let wait = left.min(Duration::from_millis(50));
            state = self.0.1.wait_timeout(state, wait).unwrap().0;
        }
    }
}

fn range(state: &State, request: &Request) -> String {
    let prefix = request.query.get("prefix").cloned().unwrap_or_default();
    let items = state.items.iter().filter(|(k, _)| k.starts_with(&prefix));
    let items: Vec<String> = items.map(|(key, item)| shown(key, item)).collect();
    format!(
        "{{\"items\":[{}],\"truncated\":false,\"storeRevision\":{}}}",
        items.join(","),
        state.revision
    )
}

fn txn(state: &mut State, body: &Json) -> (u16, String) {
    let conditions = body.get("precondition").list();
    let holds = conditions.iter().all(|c| {
        let item = state.items.get(c.get("key").text());
        item.map_or(0, |i| i.revision) == c.get("revision").number()
    });
    if !holds {
        let current = conditions.iter().filter_map(|c| {
            let key = c.get("key").text();
            state.items.get(key).map(|item| shown(key, item))
        });
        let current: Vec<String> = current.collect();
        return (412, format!("{{\"items\":[{}]}}", current.join(",")));
    }
    let writes = body.get("writes").list();
    let has_lease = |w: &Json| {
        let lease = w.get("lease").number();
        lease == 0 || state.leases.contains_key(&lease)
    };
    if !writes.iter().all(has_lease) {
        return (404, "{}".to_owned());
    }
    for w in writes {
        let (value, lease) = (w.get("value").text().to_owned(), w.get("lease").number());
        state.put(w.get("key").text(), value, lease);
    }
    for key in body.get("deletes").list() {
        state.delete(key.text());
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}

fn read(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    (reader.read_line(&mut line).ok()? > 0).then_some(())?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut header = String::new();
        (reader.read_line(&mut header).ok()? > 0).then_some(())?;
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pair = |p: &str| p.split_once('=').map(|(k, v)| (k.to_owned(), v.to_owned()));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.split('&').filter_map(pair).collect(),
        body: Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null),
    })
}
