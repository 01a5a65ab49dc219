//! Sessions that roam between proxies, write, and check what they read.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use futures_util::future;
use indexmap::IndexMap;
use model::id::GroupId;
use model::unit::Span;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::client::{Client, ClientError, Login};
use crate::ledger::{self, Answer, Audit, Ledger};
use crate::report::Latency;

/// SQLSTATEs that say a request did not run.
const DID_NOT_RUN: [&str; 3] = ["57P03", "53300", "25006"];
/// Pause before a session tries again after a refusal or a lost connection.
const BACK_OFF: Duration = Duration::from_millis(20);
/// Longest time a session waits for one answer before it gives the connection up.
const ANSWER_LIMIT: Duration = Duration::from_secs(15);

/// What the sessions do.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Caller addresses of the proxies, with the source address to use, if any.
    pub entries: Vec<(SocketAddr, Option<IpAddr>)>,
    /// Group that all sessions use.
    pub group: GroupId,
    /// Number of sessions.
    pub sessions: u32,
    /// Share of the requests that are reads, 0 to 1.
    pub reads: f64,
    /// Age that reads state, if any.
    pub age: Option<Span>,
    /// Pause between two requests of a session.
    pub pause: Duration,
    /// Length of the run.
    pub length: Duration,
    /// Seed of the sessions' choices.
    pub seed: u64,
}

/// What the sessions saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Answers to the writes of every session.
    pub ledgers: Vec<Ledger>,
    /// Reads that were answered.
    pub reads: u64,
    /// Reads that failed, by SQLSTATE or `connection`.
    pub failed_reads: IndexMap<String, u64>,
    /// Reads older than promised, or newer than anything written.
    pub wrong_reads: u64,
    /// Errors to writes outside the documented families, by SQLSTATE.
    pub odd_errors: IndexMap<String, u64>,
    /// When the run was to end; a gap that is open by then counts up to here.
    pub end: Option<Instant>,
    /// Latency of acknowledged writes.
    pub write_latency: Latency,
    /// Latency of answered reads.
    pub read_latency: Latency,
    /// Time from the session's newest write to each answered read.
    pub since_write: Latency,
}

impl Seen {
    /// Number of writes that got `answer`.
    pub fn writes(&self, answer: Answer) -> u64 {
        self.ledgers.iter().map(|l| l.count(answer)).sum()
    }

    /// The longest time without an acknowledged write, and its start.
    pub fn write_gap(&self) -> Option<(Instant, Duration)> {
        let moments = self.ledgers.iter().flat_map(Ledger::acknowledged);
        ledger::longest_gap(moments.chain(self.end).collect())
    }

    fn merge(&mut self, other: Self) {
        self.ledgers.extend(other.ledgers);
        self.reads += other.reads;
        self.wrong_reads += other.wrong_reads;
        add(&mut self.failed_reads, other.failed_reads);
        add(&mut self.odd_errors, other.odd_errors);
        self.write_latency.merge(&other.write_latency);
        self.read_latency.merge(&other.read_latency);
        self.since_write.merge(&other.since_write);
    }
}

fn add(to: &mut IndexMap<String, u64>, from: IndexMap<String, u64>) {
    for (key, n) in from {
        *to.entry(key).or_default() += n;
    }
}

/// Creates the table that the sessions write to.
pub async fn prepare(plan: &Plan) -> Result<(), ClientError> {
    let mut client = Client::connect(&login(plan, 0, None)).await?;
    let sql = "CREATE TABLE IF NOT EXISTS notes (session TEXT, n INTEGER)";
    client.query(sql).await?;
    let sql = "CREATE INDEX IF NOT EXISTS notes_session ON notes (session)";
    client.query(sql).await.map(drop)
}

/// Runs every session to its end.
pub async fn run(plan: &Plan) -> Seen {
    let sessions = (0..plan.sessions).map(|at| Session::new(plan, at).run());
    let mut seen = Seen {
        end: Some(Instant::now() + plan.length),
        ..Seen::default()
    };
    for one in future::join_all(sessions).await {
        seen.merge(one);
    }
    seen
}

/// Reads the whole table through the first proxy and compares it with the answers.
pub async fn audit(plan: &Plan, seen: &Seen) -> Result<Audit, ClientError> {
    let mut client = Client::connect(&login(plan, 0, None)).await?;
    let mut audit = Audit::default();
    for (at, ledger) in (0..).zip(&seen.ledgers) {
        let sql = format!(
            "SELECT n, count(*) FROM notes WHERE session = '{}' GROUP BY n",
            name(at)
        );
        let mut rows = IndexMap::new();
        for row in client.query(&sql).await? {
            let mut cells = row
                .into_iter()
                .map(|c| c.and_then(|c| c.parse().ok()).unwrap_or(0));
            rows.insert(cells.next().unwrap_or(0), cells.next().unwrap_or(0));
        }
        audit = audit.plus(ledger.audit(&rows));
    }
    Ok(audit)
}

fn name(at: u32) -> String {
    format!("s{at}")
}

fn login(plan: &Plan, entry: usize, session: Option<String>) -> Login {
    let (address, source) = plan.entries[entry];
    Login {
        address,
        source,
        user: "app".to_owned(),
        database: plan.group.to_string(),
        session,
    }
}

/// One roaming session.
struct Session<'a> {
    plan: &'a Plan,
    name: String,
    rng: SmallRng,
    /// Open connections, one per proxy at most.
    clients: Vec<Option<Client>>,
    /// Newest token that any proxy reported.
    token: Option<String>,
    ledger: Ledger,
    seen: Seen,
}

impl<'a> Session<'a> {
    fn new(plan: &'a Plan, at: u32) -> Self {
        Self {
            plan,
            name: name(at),
            rng: SmallRng::seed_from_u64(plan.seed ^ (u64::from(at) << 32)),
            clients: plan.entries.iter().map(|_| None).collect(),
            token: None,
            ledger: Ledger::default(),
            seen: Seen::default(),
        }
    }

    async fn run(mut self) -> Seen {
        let end = Instant::now() + self.plan.length;
        while Instant::now() < end {
            let entry = self.rng.random_range(0..self.clients.len());
            if self.rng.random_bool(self.plan.reads) {
                self.read(entry).await;
            } else {
                self.write(entry).await;
            }
            compio::time::sleep(self.plan.pause).await;
        }
        self.seen.ledgers.push(self.ledger);
        self.seen
    }

    async fn write(&mut self, entry: usize) {
        let number = self.ledger.next();
        let sql = format!(
            "/*once='true'*/ INSERT INTO notes (session, n) VALUES ('{}', {number})",
            self.name
        );
        let start = Instant::now();
        // Without a connection nothing was sent, so the number stays free.
        let Ok(client) = self.client(entry).await else {
            return compio::time::sleep(BACK_OFF).await;
        };
        let result = limited(client.query(&sql)).await;
        let now = Instant::now();
        let answer = match &result {
            Ok(_) => Answer::Acknowledged,
            Err(e) => self.judge(e),
        };
        self.ledger.record(answer, now);
        if answer == Answer::Acknowledged {
            self.seen.write_latency.record((now - start).into());
        }
        self.after(entry, result.err()).await;
    }

    async fn read(&mut self, entry: usize) {
        let age = self.plan.age.map_or(Duration::ZERO, Span::as_duration);
        let mark = self
            .plan
            .age
            .map_or(String::new(), |age| format!("/*max_age='{age}'*/ "));
        let sql = format!(
            "{mark}SELECT max(n) FROM notes WHERE session = '{}'",
            self.name
        );
        let Ok(client) = self.client(entry).await else {
            return compio::time::sleep(BACK_OFF).await;
        };
        let start = Instant::now();
        let result = limited(client.query(&sql)).await;
        let failure = match result {
            Ok(rows) => {
                let value = rows.into_iter().flatten().flatten().next();
                let value = value.and_then(|v| v.parse().ok()).unwrap_or(0);
                self.check(value, start, age);
                None
            }
            Err(e) => {
                let code = e.code().unwrap_or("connection").to_owned();
                *self.seen.failed_reads.entry(code).or_default() += 1;
                Some(e)
            }
        };
        self.after(entry, failure).await;
    }

    fn check(&mut self, value: u64, sent: Instant, age: Duration) {
        self.seen.reads += 1;
        self.seen.read_latency.record(sent.elapsed().into());
        let since = self.ledger.since_write(sent).unwrap_or(Duration::MAX);
        self.seen.since_write.record(since.into());
        let allowed = self.ledger.oldest_allowed(sent, age)..self.ledger.next();
        if !allowed.contains(&value) {
            self.seen.wrong_reads += 1;
            tracing::warn!(session = %self.name, value, ?allowed, "wrong read");
        }
    }

    fn judge(&mut self, e: &ClientError) -> Answer {
        match e.code() {
            Some(code) if DID_NOT_RUN.contains(&code) => Answer::DidNotRun,
            Some("40003") | None => Answer::Unknown,
            Some(code) => {
                *self.seen.odd_errors.entry(code.to_owned()).or_default() += 1;
                Answer::Unknown
            }
        }
    }

    /// Keeps the newest token and drops a connection that failed.
    async fn after(&mut self, entry: usize, failure: Option<ClientError>) {
        if let Some(token) = self.clients[entry].as_ref().and_then(Client::session) {
            self.token = Some(token.to_owned());
        }
        let Some(e) = failure else { return };
        if e.code().is_none() {
            self.clients[entry] = None;
        }
        compio::time::sleep(BACK_OFF).await;
    }

    /// The connection to a proxy, told about the session's newest writes.
    async fn client(&mut self, entry: usize) -> Result<&mut Client, ClientError> {
        let slot = &mut self.clients[entry];
        if let Some(mut client) = slot.take() {
            let known = client.session() == self.token.as_deref();
            if known || present(&mut client, self.token.as_deref()).await.is_ok() {
                return Ok(slot.insert(client));
            }
        }
        let login = login(self.plan, entry, self.token.clone());
        let client = limited(Client::connect(&login)).await?;
        Ok(slot.insert(client))
    }
}

async fn present(client: &mut Client, token: Option<&str>) -> Result<(), ClientError> {
    let Some(token) = token else { return Ok(()) };
    let sql = format!("SET pomelo.session = '{token}'");
    limited(client.query(&sql)).await.map(drop)
}

async fn limited<T>(f: impl Future<Output = Result<T, ClientError>>) -> Result<T, ClientError> {
    let timed_out = |_| ClientError::Closed;
    compio::time::timeout(ANSWER_LIMIT, f)
        .await
        .map_err(timed_out)?
}
