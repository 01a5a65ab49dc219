//! One service of three instances: one log, a primary, and replicas that apply it 20 ms late.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub const SERVICE: &str = "ledger";

/// Lag of a replica, time of a statement, and time of a promotion, as on the sheets.
const LAG: Duration = Duration::from_millis(20);
const WORK: Duration = Duration::from_millis(8);
const PROMOTE: Duration = Duration::from_millis(600);

/// A statement that an instance ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub text: String,
    /// Who opened the connection.
    pub who: String,
    pub instance: String,
    /// Session values of the connection.
    pub values: BTreeMap<String, String>,
    pub at: Instant,
}

struct Entry {
    item: String,
    data: String,
    at: Instant,
}

struct State {
    log: Vec<Entry>,
    leader: usize,
    term: u64,
    newest_token: u64,
    paused: Vec<u64>,
    runs: Vec<Run>,
    signatures: u64,
}

#[derive(Clone)]
pub struct Group {
    state: Arc<Mutex<State>>,
    addresses: Vec<SocketAddr>,
}

impl Group {
    pub fn start(instances: usize) -> io::Result<Self> {
        let listeners: io::Result<Vec<_>> =
            (0..instances).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
        let listeners = listeners?;
        let addresses: io::Result<Vec<_>> = listeners.iter().map(TcpListener::local_addr).collect();
        let state = State {
            log: Vec::new(),
            leader: 0,
            term: 1,
            newest_token: 0,
            paused: vec![0; instances],
            runs: Vec::new(),
            signatures: 0,
        };
        let group = Self {
            state: Arc::new(Mutex::new(state)),
            addresses: addresses?,
        };
        for (at, listener) in listeners.into_iter().enumerate() {
            let group = group.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = group.clone();
                    thread::spawn(move || {
                        // A proxy that goes away ends its connection.
                        let _ = Connection::new(group, at).serve(&stream);
                    });
                }
            });
        }
        Ok(group)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The statements that instances have run.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Key and value of each instance's entry in the store.
    pub fn entries(&self, zones: &[&str]) -> Vec<(String, String)> {
        let leader = self.lock().leader;
        let entry = |(at, address): (usize, &SocketAddr)| {
            let role = if at == leader { "primary" } else { "replica" };
            let zone = zones[at % zones.len()];
            let value = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"capacity\":3,\"state\":\"ready\",\"coldRemainingMs\":0,\
                 \"dbRole\":\"{role}\",\"sequence\":1,\"born\":{}}}",
                1_700_000_000_000_u64 + at as u64
            );
            (format!("servers/{}", id(at)), value)
        };
        self.addresses.iter().enumerate().map(entry).collect()
    }

    /// Takes a promotion order; `false` if its token is too low or the instance is unknown.
    pub fn promote(&self, instance: &str, token: u64) -> bool {
        let Some(at) = (0..self.addresses.len()).find(|at| id(*at) == instance) else {
            return false;
        };
        let mut state = self.lock();
        if token < state.newest_token {
            return false;
        }
        state.newest_token = token;
        drop(state);
        let group = self.clone();
        thread::spawn(move || {
            thread::sleep(PROMOTE);
            let mut state = group.lock();
            if state.leader != at {
                state.leader = at;
                state.term += 1;
                state.paused.fill(0);
            }
        });
        true
    }
}

fn id(at: usize) -> String {
    format!("i-{at}a7c")
}

struct Connection {
    group: Group,
    at: usize,
    who: String,
    values: BTreeMap<String, String>,
    /// Kind and shape of prepared statements, by name.
    prepared: BTreeMap<String, (bool, String)>,
    /// Writes of the open transaction, and whether it only reads.
    tx: Option<(Vec<(String, String)>, bool)>,
}

impl Connection {
    fn new(group: Group, at: usize) -> Self {
        Self {
            group,
            at,
            who: String::new(),
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            tx: None,
        }
    }

    fn serve(mut self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        for line in BufReader::new(stream).lines() {
            let line = line?;
            let words: Vec<&str> = line.splitn(3, ' ').collect();
            let answer = match words[..] {
                ["START", service, rest] => {
                    let (who, expected) = rest.split_once(' ').unwrap_or((rest, ""));
                    if service != SERVICE || (!expected.is_empty() && expected != id(self.at)) {
                        writer.write_all(b"ERR MISROUTED other\r\n")?;
                        return Ok(());
                    }
                    self.who = who.to_owned();
                    format!("READY I {}\r\n", self.position())
                }
                ["QUERY", id, text] => {
                    let answer = self.query(id, text);
                    let state = if self.tx.is_some() { "T" } else { "I" };
                    format!("{answer}\r\nREADY {state} {}\r\n", self.position())
                }
                _ => return Ok(()),
            };
            writer.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn applied(&self) -> usize {
        let state = self.group.lock();
        if state.leader == self.at {
            return state.log.len();
        }
        let now = Instant::now();
        state.log.iter().take_while(|e| now.duration_since(e.at) >= LAG).count()
    }

    fn position(&self) -> String {
        let applied = self.applied();
        let term = self.group.lock().term;
        format!("{term}.{applied}")
    }

    fn leads(&self) -> bool {
        self.group.lock().leader == self.at
    }

    fn query(&mut self, id: &str, text: &str) -> String {
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (point, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            let number = point.split_once('.').and_then(|(_, number)| number.parse().ok());
            if number.unwrap_or(0) > self.applied() {
                return "ERR LAGGING behind".to_owned();
            }
            text = rest;
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let (name, tail) = rest.split_once(' ').unwrap_or((rest, ""));
        match word {
            "BEGIN" if rest == "READ" => {
                self.tx = Some((Vec::new(), true));
                "DONE -".to_owned()
            }
            "BEGIN" if self.leads() => {
                self.tx = Some((Vec::new(), false));
                "DONE -".to_owned()
            }
            "BEGIN" => "ERR READONLY replica".to_owned(),
            "ROLLBACK" => {
                self.tx = None;
                "DONE -".to_owned()
            }
            "COMMIT" => match self.tx.take() {
                None => "ERR MALFORMED no transaction".to_owned(),
                Some((writes, _)) => self.run(id, text, &writes, None),
            },
            "SET" => {
                self.values.insert(name.to_owned(), tail.to_owned());
                "DONE -".to_owned()
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                "DONE -".to_owned()
            }
            "PREPARE" => {
                let (kind, shape) = tail.split_once(' ').unwrap_or((tail, ""));
                self.prepared.insert(name.to_owned(), (kind == "WRITE", shape.to_owned()));
                "DONE -".to_owned()
            }
            "DEALLOC" => {
                self.prepared.remove(name);
                "DONE -".to_owned()
            }
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => self.status(word, rest),
            "EXEC" => match self.prepared.get(name).cloned() {
                None => "ERR NOSTMT unknown".to_owned(),
                Some((writes, _)) => {
                    let (item, data) = tail.split_once(' ').unwrap_or((tail, ""));
                    self.statement(id, text, item, writes.then_some(data))
                }
            },
            "READ" => self.statement(id, text, rest, None),
            "WRITE" => self.statement(id, text, name, Some(tail)),
            _ => "ERR MALFORMED unknown".to_owned(),
        }
    }

    fn status(&self, word: &str, rest: &str) -> String {
        let mut state = self.group.lock();
        match word {
            "PAUSE" => state.paused[self.at] = rest.parse().unwrap_or(0),
            "RESUME" => state.paused[self.at] = 0,
            _ => {}
        }
        let role = if state.leader == self.at { "primary" } else { "replica" };
        let (term, end, paused) = (state.term, state.log.len(), state.paused[self.at]);
        format!("ROW {role} {term} {term}.{end} {paused} 20 0 1\r\nDONE -")
    }

    fn statement(&mut self, id: &str, text: &str, item: &str, data: Option<&str>) -> String {
        let leads = self.leads();
        let write = data.map(|data| (item.to_owned(), data.to_owned()));
        let reads_only = self.tx.as_ref().is_some_and(|(_, reads_only)| *reads_only);
        if (write.is_some() && (!leads || reads_only)) || (self.tx.is_some() && !reads_only && !leads) {
            return "ERR READONLY replica".to_owned();
        }
        match (write, &mut self.tx) {
            (Some(write), Some((writes, _))) => {
                writes.push(write);
                self.run(id, text, &[], None)
            }
            (Some(write), None) => self.run(id, text, &[write], None),
            (None, _) => self.run(id, text, &[], Some(item)),
        }
    }

    /// Runs a statement: commits the writes, and returns the row of an item that is read.
    fn run(&self, id: &str, text: &str, writes: &[(String, String)], item: Option<&str>) -> String {
        thread::sleep(WORK);
        let applied = self.applied();
        let mut state = self.group.lock();
        let now = Instant::now();
        state.runs.push(Run {
            id: id.to_owned(),
            text: text.to_owned(),
            who: self.who.clone(),
            instance: self::id(self.at),
            values: self.values.clone(),
            at: now,
        });
        for (item, data) in writes {
            let (item, data) = (item.clone(), data.clone());
            state.log.push(Entry { item, data, at: now });
        }
        state.signatures += 1;
        let done = format!("DONE {}.{id}.{}", self.at, state.signatures);
        match item {
            None => done,
            Some(item) => {
                let found = state.log[..applied].iter().rev().find(|entry| entry.item == item);
                format!("ROW {}\r\n{done}", found.map_or("-", |entry| &entry.data))
            }
        }
    }
}
