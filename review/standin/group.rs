//! One service of three instances, each with a log of its own: a primary, and replicas that
//! receive at once and apply 20 ms late. A commit is acknowledged once one replica has received
//! it (`syncReplicas` 1).

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SERVICE: &str = "ledger";

/// Lag of a replica, time of a statement, and time of a promotion, as on the sheets.
const LAG: Duration = Duration::from_millis(20);
const WORK: Duration = Duration::from_millis(8);
const PROMOTE: Duration = Duration::from_millis(1_000);

/// Silence after which an entry lapses: three heartbeat intervals of 1,200 ms.
const LAPSE: Duration = Duration::from_millis(3_600);

/// A statement that an instance ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub text: String,
    /// Who opened the connection.
    pub who: String,
    pub instance: String,
    pub at: Instant,
}

#[derive(Clone)]
struct Entry {
    term: u64,
    item: String,
    data: String,
    at: Instant,
}

struct Instance {
    log: Vec<Entry>,
    /// The newest term that it knows.
    term: u64,
    /// Term under which it was told to stop receiving; 0 while it receives.
    paused: u64,
    /// Whether it receives nothing of the log.
    deaf: bool,
    /// Since when it is down.
    down: Option<Instant>,
    born: u128,
    /// Raised by each crash; connections of an earlier start are over.
    start: u64,
    streams: Vec<TcpStream>,
}

impl Instance {
    fn position(&self, length: usize) -> String {
        match length.checked_sub(1) {
            Some(last) => format!("{}.{length}", self.log[last].term),
            None => format!("{}.0", self.term),
        }
    }
}

struct State {
    instances: Vec<Instance>,
    leader: usize,
    /// Whether the leader was told to stop leading, and no other leads yet.
    demoted: bool,
    term: u64,
    newest_token: u64,
    /// Promotions that were carried out: instance and items of its log.
    promotions: Vec<(String, Vec<String>)>,
    runs: Vec<Run>,
    signatures: u64,
}

impl State {
    /// Gives the leader's log to every replica that receives.
    fn replicate(&mut self) {
        let leader = &self.instances[self.leader];
        if !self.leads(self.leader) {
            return;
        }
        let (log, term, at) = (leader.log.clone(), self.term, self.leader);
        for (other, instance) in self.instances.iter_mut().enumerate() {
            if other != at && instance.down.is_none() && !instance.deaf && instance.paused == 0 {
                instance.log.clone_from(&log);
                instance.term = term;
            }
        }
    }

    fn leads(&self, at: usize) -> bool {
        self.leader == at && !self.demoted && self.instances[at].down.is_none()
    }

    /// Whether a replica has received the first `length` entries of this term.
    fn is_received(&self, length: usize) -> bool {
        let replicas = self.instances.iter().enumerate().filter(|(at, _)| *at != self.leader);
        let mut received = replicas.map(|(_, i)| i.down.is_none() && i.log.len() >= length);
        received.any(|received| received)
    }
}

#[derive(Clone)]
pub struct Group {
    state: Arc<Mutex<State>>,
    addresses: Vec<SocketAddr>,
}

pub fn id(at: usize) -> String {
    format!("i-{at}a7c")
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

impl Group {
    pub fn start(instances: usize) -> io::Result<Self> {
        let listeners: io::Result<Vec<_>> =
            (0..instances).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
        let listeners = listeners?;
        let addresses: io::Result<Vec<_>> = listeners.iter().map(TcpListener::local_addr).collect();
        let instance = |_| Instance {
            log: Vec::new(),
            term: 1,
            paused: 0,
            deaf: false,
            down: None,
            born: now_ms(),
            start: 0,
            streams: Vec::new(),
        };
        let state = State {
            instances: (0..instances).map(instance).collect(),
            leader: 0,
            demoted: false,
            term: 1,
            newest_token: 0,
            promotions: Vec::new(),
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
                    group.accept(at, stream);
                }
            });
        }
        Ok(group)
    }

    fn accept(&self, at: usize, stream: TcpStream) {
        let mut state = self.lock();
        let instance = &mut state.instances[at];
        let Ok(kept) = stream.try_clone() else { return };
        if instance.down.is_some() {
            // Nothing listens there: the connection ends at once.
            return;
        }
        instance.streams.push(kept);
        let connection = Connection::new(self.clone(), at, instance.start);
        drop(state);
        thread::spawn(move || {
            // A proxy that goes away ends its connection.
            let _ = connection.serve(&stream);
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The statements that instances have run.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// The promotions that were carried out: instance, and `item=data` of each entry of its log.
    pub fn promotions(&self) -> Vec<(String, Vec<String>)> {
        self.lock().promotions.clone()
    }

    /// The instance that leads, or led last.
    pub fn leader(&self) -> usize {
        self.lock().leader
    }

    /// `item=data` of each entry of an instance's log.
    pub fn log(&self, at: usize) -> Vec<String> {
        let state = self.lock();
        let entry = |entry: &Entry| format!("{}={}", entry.item, entry.data);
        state.instances[at].log.iter().map(entry).collect()
    }

    /// Lets a replica receive nothing, or receive again.
    pub fn set_deaf(&self, at: usize, deaf: bool) {
        let mut state = self.lock();
        state.instances[at].deaf = deaf;
        state.replicate();
    }

    /// An instance crashes: its connections end, and nothing listens at its address.
    pub fn crash(&self, at: usize) {
        let mut state = self.lock();
        let instance = &mut state.instances[at];
        instance.down = Some(Instant::now());
        instance.start += 1;
        for stream in instance.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// An instance starts again under its id. A primary that crashed has its log; any other
    /// instance holds and knows nothing of before.
    pub fn restart(&self, at: usize) {
        let mut state = self.lock();
        let keeps_log = state.leader == at;
        let instance = &mut state.instances[at];
        instance.down = None;
        instance.born = now_ms();
        instance.paused = 0;
        instance.deaf = false;
        if !keeps_log {
            instance.log.clear();
            instance.term = 0;
        }
        state.replicate();
    }

    /// Key and value of the entry of each instance that is announced.
    pub fn entries(&self, zones: &[&str]) -> Vec<(String, String)> {
        let state = self.lock();
        let mut entries = Vec::new();
        for (at, instance) in state.instances.iter().enumerate() {
            if instance.down.is_some_and(|since| since.elapsed() >= LAPSE) {
                continue;
            }
            let role = if at == state.leader && !state.demoted { "primary" } else { "replica" };
            let (zone, address, born) = (zones[at % zones.len()], self.addresses[at], instance.born);
            let value = format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"capacity\":3,\"state\":\"ready\",\"coldRemainingMs\":0,\
                 \"dbRole\":\"{role}\",\"sequence\":1,\"born\":{born}}}"
            );
            entries.push((format!("servers/{}", id(at)), value));
        }
        entries
    }

    /// Takes a promotion order; `false` if its token is too low or the instance does not run.
    pub fn promote(&self, instance: &str, token: u64) -> bool {
        let Some(at) = (0..self.addresses.len()).find(|at| id(*at) == instance) else {
            return false;
        };
        let mut state = self.lock();
        if token < state.newest_token || state.instances[at].down.is_some() {
            return false;
        }
        state.newest_token = token;
        drop(state);
        let group = self.clone();
        thread::spawn(move || {
            thread::sleep(PROMOTE);
            let mut state = group.lock();
            if state.leads(at) || state.instances[at].down.is_some() {
                return;
            }
            state.leader = at;
            state.demoted = false;
            state.term += 1;
            let term = state.term;
            for instance in &mut state.instances {
                instance.paused = 0;
            }
            state.instances[at].term = term;
            state.replicate();
            drop(state);
            let log = group.log(at);
            group.lock().promotions.push((id(at), log));
        });
        true
    }
}

struct Connection {
    group: Group,
    at: usize,
    /// The start of the instance that the connection belongs to.
    start: u64,
    who: String,
    /// Whether each prepared statement writes, by name.
    prepared: BTreeMap<String, bool>,
    /// Writes of the open transaction, and whether it only reads.
    tx: Option<(Vec<(String, String)>, bool)>,
}

impl Connection {
    fn new(group: Group, at: usize, start: u64) -> Self {
        Self {
            group,
            at,
            start,
            who: String::new(),
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
                    let Some(answer) = self.query(id, text) else {
                        return Ok(());
                    };
                    let state = if self.tx.is_some() { "T" } else { "I" };
                    format!("{answer}\r\nREADY {state} {}\r\n", self.position())
                }
                _ => return Ok(()),
            };
            writer.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    fn applied(&self, state: &State) -> usize {
        let log = &state.instances[self.at].log;
        if state.leads(self.at) {
            return log.len();
        }
        let now = Instant::now();
        log.iter().take_while(|entry| now.duration_since(entry.at) >= LAG).count()
    }

    fn position(&self) -> String {
        let state = self.group.lock();
        state.instances[self.at].position(self.applied(&state))
    }

    fn leads(&self) -> bool {
        self.group.lock().leads(self.at)
    }

    /// Whether the log that reads see holds a point.
    fn holds(&self, point: &str) -> bool {
        let read = |(term, number): (&str, &str)| Some((term.parse().ok()?, number.parse().ok()?));
        let needed: Option<(u64, usize)> = point.split_once('.').and_then(read);
        let state = self.group.lock();
        let applied = self.applied(&state);
        let term = |at: usize| state.instances[self.at].log[at].term;
        let empty = (state.instances[self.at].term, 0);
        let end = applied.checked_sub(1).map_or(empty, |last| (term(last), applied));
        needed.is_some_and(|needed| needed <= end)
    }

    /// The answer to a statement; `None` ends the connection.
    fn query(&mut self, id: &str, text: &str) -> Option<String> {
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (point, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            if !self.holds(point) {
                return Some("ERR LAGGING behind".to_owned());
            }
            text = rest;
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let (name, tail) = rest.split_once(' ').unwrap_or((rest, ""));
        let done = Some("DONE -".to_owned());
        match word {
            "BEGIN" if rest == "READ" => {
                self.tx = Some((Vec::new(), true));
                done
            }
            "BEGIN" if self.leads() => {
                self.tx = Some((Vec::new(), false));
                done
            }
            "BEGIN" => Some("ERR READONLY replica".to_owned()),
            "ROLLBACK" => {
                self.tx = None;
                done
            }
            "COMMIT" => match self.tx.take() {
                None => Some("ERR MALFORMED no transaction".to_owned()),
                Some((writes, _)) if !writes.is_empty() && !self.leads() => {
                    Some("ERR READONLY lost the lead".to_owned())
                }
                Some((writes, _)) => self.run(id, text, &writes, None),
            },
            "SET" => done,
            "RESET" => {
                self.prepared.clear();
                done
            }
            "PREPARE" => {
                let kind = tail.split(' ').next().unwrap_or_default();
                self.prepared.insert(name.to_owned(), kind == "WRITE");
                done
            }
            "DEALLOC" => {
                self.prepared.remove(name);
                done
            }
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => Some(self.command(word, rest)),
            "EXEC" => match self.prepared.get(name).copied() {
                None => Some("ERR NOSTMT unknown".to_owned()),
                Some(writes) => {
                    let (item, data) = tail.split_once(' ').unwrap_or((tail, ""));
                    self.statement(id, text, item, writes.then_some(data))
                }
            },
            "READ" => self.statement(id, text, rest, None),
            "WRITE" => self.statement(id, text, name, Some(tail)),
            _ => Some("ERR MALFORMED unknown".to_owned()),
        }
    }

    fn command(&self, word: &str, rest: &str) -> String {
        let mut state = self.group.lock();
        let leads = state.leads(self.at);
        let term: u64 = rest.parse().unwrap_or(0);
        let instance = &mut state.instances[self.at];
        match word {
            "PAUSE" if !leads && term > instance.term => instance.paused = term,
            "RESUME" => instance.paused = 0,
            "DEMOTE" if leads && term > instance.term => state.demoted = true,
            _ => {}
        }
        let leads = state.leads(self.at);
        state.replicate();
        let instance = &state.instances[self.at];
        let role = if leads { "primary" } else { "replica" };
        let (end, paused) = (instance.position(instance.log.len()), instance.paused);
        format!("ROW {role} {} {end} {paused} 20 0 1\r\nDONE -", instance.term)
    }

    fn statement(&mut self, id: &str, text: &str, item: &str, data: Option<&str>) -> Option<String> {
        let leads = self.leads();
        let write = data.map(|data| (item.to_owned(), data.to_owned()));
        let reads_only = self.tx.as_ref().is_some_and(|(_, reads_only)| *reads_only);
        let needs_lead = write.is_some() || (self.tx.is_some() && !reads_only);
        if (needs_lead && !leads) || (write.is_some() && reads_only) {
            return Some("ERR READONLY replica".to_owned());
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

    /// Runs a statement: commits the writes, and returns the row of an item that is read. The
    /// answer to a commit waits until a replica has received it.
    fn run(
        &self,
        id: &str,
        text: &str,
        writes: &[(String, String)],
        item: Option<&str>,
    ) -> Option<String> {
        thread::sleep(WORK);
        let mut state = self.group.lock();
        if state.instances[self.at].start != self.start {
            return None;
        }
        let applied = self.applied(&state);
        let now = Instant::now();
        state.runs.push(Run {
            id: id.to_owned(),
            text: text.to_owned(),
            who: self.who.clone(),
            instance: self::id(self.at),
            at: now,
        });
        state.signatures += 1;
        let done = format!("DONE {}.{id}.{}", self.at, state.signatures);
        if let Some(item) = item {
            let log = &state.instances[self.at].log[..applied];
            let found = log.iter().rev().find(|entry| entry.item == item);
            return Some(format!("ROW {}\r\n{done}", found.map_or("-", |entry| &entry.data)));
        }
        if writes.is_empty() {
            return Some(done);
        }
        let term = state.term;
        for (item, data) in writes {
            let (item, data) = (item.clone(), data.clone());
            state.instances[self.at].log.push(Entry { term, item, data, at: now });
        }
        let length = state.instances[self.at].log.len();
        state.replicate();
        drop(state);
        loop {
            let state = self.group.lock();
            if state.instances[self.at].start != self.start {
                return None;
            }
            if !state.leads(self.at) {
                // The answer is lost: whether the commit is kept is not known here.
                return None;
            }
            if state.is_received(length) {
                return Some(done);
            }
            drop(state);
            thread::sleep(Duration::from_millis(2));
        }
    }
}
