//! Instances of the stand-in: one log, of which each has received a part.

use std::collections::BTreeMap;
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Fault, Managed};

/// Pause between two looks of a statement that waits for something.
const LOOK: Duration = Duration::from_millis(2);

struct Instance {
    id: String,
    address: SocketAddr,
    received: usize,
    /// What it has applied of that, which is what reads see.
    applied: usize,
    paused: u64,
    leaving: bool,
    fault: Fault,
    connections: usize,
}

/// A group: its log, and how far each instance has received it.
#[derive(Default)]
pub(super) struct Group {
    instances: Vec<Instance>,
    log: Vec<(String, String)>,
    leader: usize,
    /// Whether the leader was told to stop leading.
    demoted: bool,
    term: u64,
    /// Entries of the log that were there when each term began, the first one left out.
    begun: Vec<usize>,
    runs: BTreeMap<String, usize>,
    /// Statements that instances ran, in order.
    arrivals: Vec<Arrival>,
}

/// A statement of a caller that an instance ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Its id.
    pub id: String,
    /// Who opened the connection on which it ran.
    pub customer: String,
    /// When it ran.
    pub at: Instant,
}

impl Group {
    pub(super) fn add(&mut self, address: SocketAddr, leads: bool) -> usize {
        if leads {
            self.leader = self.instances.len();
            self.term = 1;
        }
        self.instances.push(Instance {
            id: format!("i-{}", self.instances.len()),
            address,
            received: 0,
            applied: 0,
            paused: 0,
            leaving: false,
            fault: Fault::None,
            connections: 0,
        });
        self.replicate();
        self.instances.len() - 1
    }

    pub(super) fn entry(&self, at: usize) -> (String, Value) {
        let instance = &self.instances[at];
        let value = json!({
            "service": "ledger",
            "address": instance.address.to_string(),
            "zone": "dc-a",
            "version": "v1",
            "capacity": 3,
            "state": if instance.leaving { "draining" } else { "ready" },
            "coldRemainingMs": 0,
            "dbRole": if self.leads(at) { "primary" } else { "replica" },
            "sequence": 1,
            "born": 1_000 + at,
        });
        (format!("servers/{}", instance.id), value)
    }

    pub(super) fn find(&self, id: &str) -> Option<usize> {
        self.instances.iter().position(|i| i.id == id)
    }

    pub(super) fn address(&self, at: usize) -> SocketAddr {
        self.instances[at].address
    }

    pub(super) fn set_address(&mut self, at: usize, address: SocketAddr) {
        self.instances[at].address = address;
    }

    pub(super) fn arrivals(&self) -> &[Arrival] {
        &self.arrivals
    }

    pub(super) fn id(&self, at: usize) -> &str {
        &self.instances[at].id
    }

    /// Gives an instance another id, as a restarted one may have.
    pub(super) fn rename(&mut self, at: usize, id: &str) {
        id.clone_into(&mut self.instances[at].id);
    }

    pub(super) fn runs_now(&self, at: usize) -> bool {
        !matches!(self.instances[at].fault, Fault::Down | Fault::Dark)
    }

    pub(super) fn set_fault(&mut self, at: usize, fault: Fault) {
        self.instances[at].fault = fault;
        self.replicate();
    }

    pub(super) fn leave(&mut self, at: usize) {
        self.instances[at].leaving = true;
    }

    pub(super) fn pause(&mut self, at: usize, term: u64) {
        self.instances[at].paused = term;
        self.replicate();
    }

    pub(super) fn demote(&mut self, at: usize, term: u64) {
        self.demoted |= at == self.leader && term > self.term;
    }

    pub(super) fn is_paused(&self, at: usize) -> bool {
        self.instances[at].paused > 0
    }

    pub(super) fn primary(&self) -> usize {
        self.leader
    }

    pub(super) fn log(&self) -> Vec<String> {
        let entry = |(item, data): &(String, String)| format!("{item}={data}");
        self.log.iter().map(entry).collect()
    }

    pub(super) fn runs(&self, id: &str) -> usize {
        self.runs.get(id).copied().unwrap_or_default()
    }

    /// Makes an instance lead with what it has received; the rest of the log is gone. Returns
    /// how many instances learn of it: none if it leads already.
    pub(super) fn promote(&mut self, at: usize) -> usize {
        if self.leads(at) {
            return 0;
        }
        self.leader = at;
        self.demoted = false;
        self.term += 1;
        let kept = self.instances[at].received;
        self.log.truncate(kept);
        self.begun.iter_mut().for_each(|at| *at = kept.min(*at));
        self.begun.push(kept);
        for instance in &mut self.instances {
            instance.paused = 0;
            instance.received = instance.received.min(kept);
            instance.applied = instance.applied.min(kept);
        }
        self.instances[at].applied = kept;
        self.replicate();
        self.instances.len()
    }

    pub(super) fn write(&mut self, item: &str, data: &str) {
        self.log.push((item.to_owned(), data.to_owned()));
        self.replicate();
    }

    /// Whether an instance takes writes.
    fn leads(&self, at: usize) -> bool {
        at == self.leader && !self.demoted
    }

    fn replicate(&mut self) {
        let (end, leader) = (self.log.len(), self.leader);
        for (at, instance) in self.instances.iter_mut().enumerate() {
            let deaf = matches!(instance.fault, Fault::Deaf | Fault::Down | Fault::Dark);
            if at == leader || (!deaf && instance.paused == 0) {
                instance.received = end;
            }
            if at == leader || instance.fault != Fault::Lagging {
                instance.applied = instance.received;
            }
        }
    }

    /// Whether a replica has received everything.
    fn acknowledged(&self) -> bool {
        let all = |(at, i): (usize, &Instance)| at != self.leader && i.received == self.log.len();
        self.instances.iter().enumerate().any(all)
    }

    fn read(&self, at: usize, item: &str) -> String {
        let applied = &self.log[..self.instances[at].applied];
        let found = applied.iter().rev().find(|(key, _)| key == item);
        found.map_or("-", |(_, data)| data).to_owned()
    }

    /// The end of a log: the term in which its last entry was written, and its length.
    fn end(&self, length: usize) -> String {
        let later = self.begun.iter().filter(|begun| **begun < length);
        format!("{}.{length}", 1 + later.count())
    }

    fn point(&self, at: usize) -> String {
        self.end(self.instances[at].applied)
    }

    fn status(&self, at: usize) -> String {
        let role = if self.leads(at) { "primary" } else { "replica" };
        let paused = self.instances[at].paused;
        let (term, received) = (self.term, self.end(self.instances[at].received));
        format!("ROW {role} {term} {received} {paused} 0 0 1")
    }
}

pub(super) fn serve(listener: &TcpListener, managed: &Managed, at: usize) {
    for stream in listener.incoming().flatten() {
        let managed = managed.clone();
        thread::spawn(move || {
            let session = Session {
                managed,
                at,
                tx: None,
                prepared: BTreeMap::new(),
                customer: String::new(),
            };
            let managed = session.managed.clone();
            managed.lock().group.instances[at].connections += 1;
            // A proxy that goes away ends its connection.
            let _ = session.run(&stream);
            managed.lock().group.instances[at].connections -= 1;
        });
    }
}

/// Writes of an open transaction, and whether it may write.
struct Tx {
    writes: Vec<(String, String)>,
    reads_only: bool,
}

struct Session {
    managed: Managed,
    at: usize,
    tx: Option<Tx>,
    prepared: BTreeMap<String, String>,
    /// Who opened the connection.
    customer: String,
}

impl Session {
    fn is_full(&self) -> bool {
        let world = self.managed.lock();
        let most = world.max_connections;
        most > 0 && world.group.instances[self.at].connections > most
    }

    fn fault(&self) -> Fault {
        self.managed.lock().group.instances[self.at].fault
    }

    fn run(mut self, stream: &TcpStream) -> std::io::Result<()> {
        let mut writer = stream.try_clone()?;
        for line in BufReader::new(stream).lines() {
            let line = line?;
            while self.fault() == Fault::Dark {
                thread::sleep(LOOK);
            }
            if self.fault() == Fault::Down || line == "BYE" {
                return Ok(());
            }
            if let Some(rest) = line.strip_prefix("START ") {
                if self.is_full() {
                    write!(writer, "ERR TOOMANY connections\r\n")?;
                    return Ok(());
                }
                let who = rest.split(' ').nth(1);
                self.customer = who.unwrap_or_default().to_owned();
                let meant = rest.ends_with(self.managed.lock().group.id(self.at));
                let answer = if meant {
                    "READY I 1.0"
                } else {
                    "ERR MISROUTED other"
                };
                write!(writer, "{answer}\r\n")?;
                continue;
            }
            let Some(rest) = line.strip_prefix("QUERY ") else {
                return Ok(());
            };
            let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
            if let Some(delay) = self.managed.take_late(text) {
                self.carry_out_late(text.to_owned(), delay);
                continue;
            }
            let answer = self.query(id, text);
            if self.fault() == Fault::LosesAnswers && id != "-" {
                continue;
            }
            let state = if self.tx.is_some() { "T" } else { "I" };
            let point = self.managed.lock().group.point(self.at);
            write!(writer, "{answer}\r\nREADY {state} {point}\r\n")?;
        }
        Ok(())
    }

    /// Leaves a statement without an answer and carries it out later.
    fn carry_out_late(&self, text: String, delay: Duration) {
        let mut late = Self {
            managed: self.managed.clone(),
            at: self.at,
            tx: None,
            prepared: BTreeMap::new(),
            customer: self.customer.clone(),
        };
        thread::spawn(move || {
            thread::sleep(delay);
            late.query("-", &text);
        });
    }

    fn query(&mut self, id: &str, text: &str) -> String {
        let (after, text) = match text.strip_prefix("AFTER ").and_then(|t| t.split_once(' ')) {
            Some((point, text)) => (Some(point.to_owned()), text.to_owned()),
            None => (None, text.to_owned()),
        };
        let number = |point: &str| {
            point
                .split('.')
                .nth(1)
                .and_then(|n| n.parse::<usize>().ok())
        };
        let needed = after.as_deref().and_then(number).unwrap_or_default();
        if self.managed.lock().group.instances[self.at].applied < needed {
            return "ERR LAGGING behind".to_owned();
        }
        let words: Vec<_> = text.split(' ').collect();
        match words[..] {
            ["BEGIN"] if self.leads() => self.begin(false),
            ["BEGIN"] => "ERR READONLY replica".to_owned(),
            ["BEGIN", "READ"] => self.begin(true),
            ["ROLLBACK"] => {
                self.tx = None;
                "DONE -".to_owned()
            }
            ["PREPARE", name, access, ..] => {
                self.prepared.insert(name.to_owned(), access.to_owned());
                "DONE -".to_owned()
            }
            ["STATUS"] => self.status(),
            ["PAUSE", term] => self.pause(term.parse().unwrap_or_default()),
            ["RESUME"] => self.pause(0),
            ["DEMOTE", term] => self.demote(term.parse().unwrap_or_default()),
            ["EXEC", name, item, ..] => match self.prepared.get(name).map(String::as_str) {
                Some("READ") => self.read(id, item),
                Some(_) => self.write(id, item, words.get(3).copied().unwrap_or_default()),
                None => "ERR NOSTMT unknown".to_owned(),
            },
            ["READ", item] => self.read(id, item),
            ["WRITE", item, data] => self.write(id, item, data),
            ["COMMIT"] => self.commit(id),
            _ => "DONE -".to_owned(),
        }
    }

    fn leads(&self) -> bool {
        self.managed.lock().group.leads(self.at)
    }

    fn begin(&mut self, reads_only: bool) -> String {
        self.tx = Some(Tx {
            writes: Vec::new(),
            reads_only,
        });
        "DONE -".to_owned()
    }

    fn status(&self) -> String {
        let row = self.managed.lock().group.status(self.at);
        format!("{row}\r\nDONE -")
    }

    fn pause(&self, term: u64) -> String {
        self.managed.lock().group.pause(self.at, term);
        self.status()
    }

    fn demote(&self, term: u64) -> String {
        self.managed.lock().group.demote(self.at, term);
        self.status()
    }

    /// Counts a run; `None` when the instance has no slot for it.
    fn start(&self, id: &str) -> Option<()> {
        if self.fault() == Fault::Busy {
            return None;
        }
        let mut world = self.managed.lock();
        *world.group.runs.entry(id.to_owned()).or_default() += 1;
        world.group.arrivals.push(Arrival {
            id: id.to_owned(),
            customer: self.customer.clone(),
            at: Instant::now(),
        });
        Some(())
    }

    fn signature(&self, id: &str) -> String {
        format!("DONE {}.{id}", self.at)
    }

    fn read(&self, id: &str, item: &str) -> String {
        if self.tx.as_ref().is_some_and(|tx| !tx.reads_only) && !self.leads() {
            return "ERR READONLY lost the lead".to_owned();
        }
        if self.start(id).is_none() {
            return "ERR BUSY no slot".to_owned();
        }
        let data = self.managed.lock().group.read(self.at, item);
        format!("ROW {data}\r\n{}", self.signature(id))
    }

    fn write(&mut self, id: &str, item: &str, data: &str) -> String {
        if !self.leads() {
            return "ERR READONLY replica".to_owned();
        }
        if self.start(id).is_none() {
            return "ERR BUSY no slot".to_owned();
        }
        if let Some(tx) = &mut self.tx {
            tx.writes.push((item.to_owned(), data.to_owned()));
            return self.signature(id);
        }
        self.managed.lock().group.write(item, data);
        self.acknowledge(id)
    }

    fn commit(&mut self, id: &str) -> String {
        let Some(tx) = self.tx.take() else {
            return "ERR MALFORMED no transaction".to_owned();
        };
        if !tx.writes.is_empty() && !self.leads() {
            return "ERR READONLY lost the lead".to_owned();
        }
        for (item, data) in &tx.writes {
            self.managed.lock().group.write(item, data);
        }
        self.acknowledge(id)
    }

    /// Waits until a replica holds the write; gives up when the lead is lost, and with it
    /// what no replica has received.
    fn acknowledge(&self, id: &str) -> String {
        loop {
            let world = self.managed.lock();
            if !world.group.leads(self.at) {
                return "ERR READONLY lost the lead".to_owned();
            }
            if world.group.acknowledged() {
                break;
            }
            drop(world);
            thread::sleep(LOOK);
        }
        self.signature(id)
    }
}
