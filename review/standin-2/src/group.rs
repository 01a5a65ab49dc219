//! A database group of three instances that speak the line protocol: one primary, two
//! replicas that receive every commit.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;

/// Name of the group.
pub const NAME: &str = "engedely-db";

/// Item whose read returns many rows.
pub const LISTING: &str = "listing";

/// Bytes of one row of the listing, with its line ending.
const ROW_BYTES: usize = 1_000;

/// Work of a statement that takes a slot.
const WORK: Duration = Duration::from_millis(8);

/// Time until a replica has received a commit.
const REPLICATION: Duration = Duration::from_millis(1);

/// Bytes that one link carries in a millisecond: 1,000 Mbit/s.
const LINK_BYTES_PER_MS: usize = 125_000;

struct State {
    /// Committed writes: item and data.
    log: Vec<(String, String)>,
    /// When the link is free again. One link for all instances and proxies: the real ones have
    /// one each.
    link_free: Instant,
}

/// The group.
#[derive(Clone)]
pub struct Group {
    state: Arc<Mutex<State>>,
    /// Rows of the listing.
    rows: usize,
    record: Record,
}

impl Group {
    pub fn new(rows: usize, record: Record) -> Self {
        let state = State {
            log: Vec::new(),
            link_free: Instant::now(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            rows,
            record,
        }
    }

    /// Serves one instance; the first one leads.
    pub fn serve(&self, at: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let group = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let session = Session {
                    group: group.clone(),
                    at,
                    writes: None,
                    prepared: BTreeMap::new(),
                };
                thread::spawn(move || session.run(stream));
            }
        });
        address
    }

    fn end(&self) -> usize {
        self.state.lock().unwrap().log.len()
    }

    /// Waits until the link has carried so many bytes more.
    fn carry(&self, bytes: usize) {
        let until = {
            let mut state = self.state.lock().unwrap();
            let takes = Duration::from_micros((bytes * 1_000 / LINK_BYTES_PER_MS) as u64);
            state.link_free = state.link_free.max(Instant::now()) + takes;
            state.link_free
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

struct Session {
    group: Group,
    at: usize,
    /// Writes of the open transaction.
    writes: Option<Vec<(String, String)>>,
    prepared: BTreeMap<String, String>,
}

impl Session {
    fn run(mut self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let mut line = String::new();
            (reader.read_line(&mut line).ok()? > 0).then_some(())?;
            let line = line.trim_end_matches("\r\n");
            if line == "BYE" {
                return None;
            }
            if let Some(rest) = line.strip_prefix("START ") {
                let id = format!("i-{}", self.at);
                let mut fields = rest.split(' ');
                let right = fields.next() == Some(NAME) && fields.nth(1) == Some(&id);
                if !right {
                    writer.write_all(b"ERR MISROUTED other\r\n").ok()?;
                    return None;
                }
                thread::sleep(Duration::from_millis(27));
                let ready = format!("READY I {}\r\n", self.point());
                writer.write_all(ready.as_bytes()).ok()?;
                continue;
            }
            let (id, text) = line.strip_prefix("QUERY ")?.split_once(' ')?;
            let text = match text.strip_prefix("AFTER ").and_then(|t| t.split_once(' ')) {
                Some((_, text)) => text,
                None => text,
            };
            let (id, text) = (id.to_owned(), text.to_owned());
            if id != "-" {
                let line = format!("instance i-{} runs {id} {text}", self.at);
                self.group.record.line(&line);
            }
            let answer = match self.reads_listing(&text) {
                true => {
                    thread::sleep(WORK);
                    self.send_listing(&mut writer)?;
                    self.signature(&id)
                }
                false => self.answer(&id, &text),
            };
            let state = if self.writes.is_some() { "T" } else { "I" };
            let answer = format!("{answer}READY {state} {}\r\n", self.point());
            writer.write_all(answer.as_bytes()).ok()?;
        }
    }

    fn point(&self) -> String {
        format!("1.{}", self.group.end())
    }

    fn signature(&self, id: &str) -> String {
        format!("DONE {}.{id}\r\n", self.at)
    }

    fn reads_listing(&self, text: &str) -> bool {
        text.split(' ').nth(1) == Some(LISTING) && text.starts_with("READ ")
    }

    fn send_listing(&self, writer: &mut TcpStream) -> Option<()> {
        let row = format!("ROW {}\r\n", "x".repeat(ROW_BYTES - 6));
        let batch = row.repeat(100);
        let mut left = self.group.rows;
        while left > 0 {
            let now = left.min(100);
            let bytes = now * ROW_BYTES;
            self.group.carry(bytes);
            writer.write_all(&batch.as_bytes()[..bytes]).ok()?;
            left -= now;
        }
        Some(())
    }

    fn answer(&mut self, id: &str, text: &str) -> String {
        let leads = self.at == 0;
        let words: Vec<&str> = text.split(' ').collect();
        let done = || "DONE -\r\n".to_owned();
        match words[..] {
            ["BEGIN"] if !leads => format!("ERR READONLY i-{}\r\n", self.at),
            ["BEGIN"] | ["BEGIN", "READ"] => {
                self.writes = Some(Vec::new());
                done()
            }
            ["ROLLBACK"] => {
                self.writes = None;
                done()
            }
            ["STATUS"] | ["PAUSE", _] | ["RESUME"] | ["DEMOTE", _] => {
                let role = if leads { "primary" } else { "replica" };
                format!("ROW {role} 1 {} 0 0 1 1\r\nDONE -\r\n", self.point())
            }
            ["PREPARE", name, access, ..] => {
                self.prepared.insert(name.to_owned(), access.to_owned());
                done()
            }
            ["READ", item] => self.read(id, item),
            ["WRITE", ..] if !leads => format!("ERR READONLY i-{}\r\n", self.at),
            ["WRITE", item, data] => self.write(id, item, data),
            ["COMMIT"] => self.commit(id),
            _ => done(),
        }
    }

    fn read(&self, id: &str, item: &str) -> String {
        thread::sleep(WORK);
        let state = self.group.state.lock().unwrap();
        let found = state.log.iter().rev().find(|(key, _)| key == item);
        let data = found.map_or("-", |(_, data)| data);
        format!("ROW {data}\r\n{}", self.signature(id))
    }

    fn write(&mut self, id: &str, item: &str, data: &str) -> String {
        thread::sleep(WORK);
        let write = (item.to_owned(), data.to_owned());
        match &mut self.writes {
            Some(writes) => writes.push(write),
            None => {
                self.group.state.lock().unwrap().log.push(write);
                thread::sleep(REPLICATION);
            }
        }
        self.signature(id)
    }

    fn commit(&mut self, id: &str) -> String {
        thread::sleep(WORK);
        let writes = self.writes.take().unwrap_or_default();
        self.group.state.lock().unwrap().log.extend(writes);
        thread::sleep(REPLICATION);
        self.signature(id)
    }
}
