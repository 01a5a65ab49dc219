//! Runs a session's statements: slots, the writers' lock and transactions.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{self, Either};
use pgwire::messages::response::TransactionStatus;
use rusqlite::types::Value;

use super::database::{Column, Output};
use super::encode::oid;
use super::profile::{self, Call};
use super::record::Statement;
use super::server::Server;
use super::slot::Permit;
use super::sql::{self, Kind, SqlError};

/// A parsed statement.
pub(crate) struct Prepared {
    text: String,
    pub(crate) kind: Kind,
    writes: bool,
    pub(crate) parameters: Vec<u32>,
    pub(crate) columns: Vec<Column>,
}

impl Prepared {
    /// The tag of the command's completion.
    pub(crate) fn tag(&self, output: &Output) -> String {
        let verb = sql::verb(&self.text);
        match &self.kind {
            Kind::Data { .. } if !self.writes => format!("SELECT {}", output.rows.len()),
            Kind::Data { .. } => self.write_tag(&verb, output.changed),
            Kind::Sleep(_) | Kind::Profile(_) => "SELECT 1".to_owned(),
            Kind::Commit if output.rolled_back => "ROLLBACK".to_owned(),
            _ => verb,
        }
    }

    fn write_tag(&self, verb: &str, changed: usize) -> String {
        let upper = self.text.to_ascii_uppercase();
        let main = match verb {
            "WITH" => ["INSERT", "UPDATE", "DELETE"]
                .into_iter()
                .find(|word| upper.contains(word))
                .unwrap_or("SELECT"),
            verb => verb,
        };
        match main {
            "INSERT" => format!("INSERT 0 {changed}"),
            "UPDATE" | "DELETE" => format!("{main} {changed}"),
            "CREATE" | "DROP" | "ALTER" => {
                let object = upper
                    .split_whitespace()
                    .nth(1)
                    .unwrap_or_default()
                    .to_owned();
                format!("{main} {object}")
            }
            other => other.to_owned(),
        }
    }
}

#[derive(Default)]
struct Transaction {
    implicit: bool,
    failed: bool,
    /// Held from the first write to the end.
    writer: Option<Writer>,
    statements: Vec<Statement>,
}

struct Writer {
    generation: u64,
    _permit: Permit,
}

/// The executing half of a session.
pub(crate) struct Executor {
    pub(crate) server: Rc<Server>,
    key: i32,
    cancelled: flume::Receiver<()>,
    transaction: Option<Transaction>,
}

fn text_column(name: &str) -> Column {
    Column {
        name: name.to_owned(),
        oid: oid::TEXT,
    }
}

fn fixed_columns(kind: &Kind) -> Vec<Column> {
    match kind {
        Kind::Show => vec![text_column("setting")],
        Kind::Sleep(_) => vec![text_column("pg_sleep")],
        Kind::Profile(Call::Point) => vec![text_column("replication_point")],
        Kind::Profile(_) => profile::COLUMNS
            .iter()
            .map(|name| text_column(name))
            .collect(),
        _ => Vec::new(),
    }
}

impl Executor {
    pub(crate) fn new(server: Rc<Server>, key: i32) -> Self {
        let (tx, cancelled) = flume::bounded(1);
        server.cancels.borrow_mut().insert(key, tx);
        Self {
            server,
            key,
            cancelled,
            transaction: None,
        }
    }

    pub(crate) fn transaction_status(&self) -> TransactionStatus {
        match &self.transaction {
            None => TransactionStatus::Idle,
            Some(transaction) if transaction.failed => TransactionStatus::Error,
            Some(_) => TransactionStatus::Transaction,
        }
    }

    /// Notes that a statement failed.
    pub(crate) fn fail(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            transaction.failed = true;
        }
    }

    /// Opens the transaction that several statements in one string share.
    pub(crate) fn begin_implicit(&mut self) -> bool {
        let opens = self.transaction.is_none();
        if opens {
            self.transaction = Some(Transaction {
                implicit: true,
                ..Transaction::default()
            });
        }
        opens
    }

    /// Ends it, unless the string itself began or ended a transaction.
    pub(crate) fn end_implicit(&mut self, commit: bool) -> Result<(), SqlError> {
        match &self.transaction {
            Some(transaction) if transaction.implicit => self.end(commit).map(|_| ()),
            _ => Ok(()),
        }
    }

    fn holds_write(&self) -> bool {
        self.transaction
            .as_ref()
            .is_some_and(|t| t.writer.is_some())
    }

    /// Parses a statement; `types` are those that the caller declared.
    pub(crate) fn prepare(&self, text: &str, types: &[u32]) -> Result<Prepared, SqlError> {
        let text = text.trim().trim_end_matches(';').to_owned();
        let kind = sql::kind(&text)?;
        let mut prepared = Prepared {
            columns: fixed_columns(&kind),
            parameters: match kind {
                Kind::Sleep(None) => vec![oid::FLOAT8],
                _ => Vec::new(),
            },
            kind,
            writes: false,
            text,
        };
        if let Kind::Data { locks } = prepared.kind {
            if sql::split(&prepared.text).len() > 1 {
                return Err(SqlError::new("42601", "cannot prepare several statements"));
            }
            let shape = self.server.shape(&prepared.text, self.holds_write())?;
            prepared.writes = shape.writes || locks;
            prepared.columns = shape.columns;
            prepared.parameters = shape.parameters;
        }
        for (known, declared) in prepared.parameters.iter_mut().zip(types) {
            if *declared != 0 {
                *known = *declared;
            }
        }
        Ok(prepared)
    }

    /// Runs a statement to its end.
    pub(crate) async fn run(
        &mut self,
        prepared: &Prepared,
        values: Vec<Value>,
    ) -> Result<Output, SqlError> {
        // A cancel request that came between two statements is void.
        self.cancelled.drain();
        let failed = self.transaction.as_ref().is_some_and(|t| t.failed);
        if failed && !matches!(prepared.kind, Kind::Commit | Kind::Rollback) {
            return Err(SqlError::aborted());
        }
        match &prepared.kind {
            Kind::Empty | Kind::Set => Ok(Output::default()),
            Kind::Begin => {
                self.transaction.get_or_insert_default().implicit = false;
                Ok(Output::default())
            }
            Kind::Commit => self.end(true),
            Kind::Rollback => self.end(false),
            Kind::Show => Ok(one_row(vec![Value::Text(
                self.setting(&prepared.text).to_owned(),
            )])),
            Kind::Profile(call) => self.call(call).await,
            Kind::Sleep(seconds) => self.sleep(*seconds, &values).await,
            Kind::Data { .. } => {
                let statement = Statement {
                    text: prepared.text.clone(),
                    values,
                };
                if prepared.writes {
                    self.write(statement).await
                } else {
                    self.read(&statement).await
                }
            }
        }
    }

    fn setting(&self, text: &str) -> &'static str {
        let read_only = text.contains("transaction_read_only");
        if read_only && self.server.writable().is_ok() {
            "off"
        } else {
            "on"
        }
    }

    /// Waits for `f` unless the statement is cancelled first.
    async fn cancellable<T>(&self, f: impl Future<Output = T>) -> Result<T, SqlError> {
        let f = std::pin::pin!(f);
        let cancelled = std::pin::pin!(self.cancelled.recv_async());
        match future::select(f, cancelled).await {
            Either::Left((value, _)) => Ok(value),
            Either::Right(_) => Err(SqlError::new("57014", "canceling statement")),
        }
    }

    /// Takes a slot and spends the service time in it.
    async fn slot(&self) -> Result<Permit, SqlError> {
        let permit = self.cancellable(self.server.slots.acquire()).await?;
        let service = {
            let knobs = self.server.knobs.borrow();
            knobs.service.mul_f64(knobs.slow)
        };
        if !service.is_zero() {
            self.cancellable(compio::time::sleep(service)).await?;
        }
        self.server.running().await;
        Ok(permit)
    }

    async fn read(&self, statement: &Statement) -> Result<Output, SqlError> {
        let _slot = self.slot().await?;
        self.server.read(statement, self.holds_write())
    }

    async fn write(&mut self, statement: Statement) -> Result<Output, SqlError> {
        self.server.writable()?;
        let _slot = self.slot().await?;
        if self.transaction.is_none() {
            let _writer = self.cancellable(self.server.writers.acquire()).await?;
            return self.server.write(statement);
        }
        if !self.holds_write() {
            let permit = self.cancellable(self.server.writers.acquire()).await?;
            let generation = self.server.begin();
            let transaction = self.transaction.get_or_insert_default();
            transaction.writer = Some(Writer {
                generation,
                _permit: permit,
            });
        }
        self.server.writable()?;
        let output = self.server.write_in(&statement)?;
        self.transaction
            .get_or_insert_default()
            .statements
            .push(statement);
        Ok(output)
    }

    fn end(&mut self, commit: bool) -> Result<Output, SqlError> {
        let Some(transaction) = self.transaction.take() else {
            return Ok(Output::default());
        };
        let commits = commit && !transaction.failed;
        match &transaction.writer {
            Some(writer) if commits => {
                self.server
                    .commit(writer.generation, transaction.statements)?;
            }
            Some(_) => self.server.rollback(),
            None => {}
        }
        Ok(Output {
            rolled_back: !commits,
            ..Output::default()
        })
    }

    async fn sleep(&self, seconds: Option<f64>, values: &[Value]) -> Result<Output, SqlError> {
        let seconds = match (seconds, values.first()) {
            (Some(seconds), _) => seconds,
            (None, Some(Value::Real(seconds))) => *seconds,
            _ => return Err(SqlError::parameter()),
        };
        let time = Duration::try_from_secs_f64(seconds).map_err(|_| SqlError::parameter())?;
        let _slot = self.slot().await?;
        self.cancellable(compio::time::sleep(time)).await?;
        Ok(one_row(vec![Value::Text(String::new())]))
    }

    /// Answers a replication function. None of them takes a slot: they read or
    /// change a few numbers, and a watcher must hear of a busy server too.
    async fn call(&self, call: &Call) -> Result<Output, SqlError> {
        let server = &self.server;
        match call {
            Call::Point => {
                return Ok(one_row(vec![Value::Text(server.point().to_string())]));
            }
            Call::Status => {}
            Call::Wait(position, timeout) => {
                self.cancellable(server.wait(*position, *timeout)).await?;
            }
            Call::Fence(term) => server.fence(*term),
            Call::Promote(term) => server.promote(*term)?,
            Call::Follow(term, address) => server.follow(*term, *address)?,
        }
        let status = server.status();
        let text = [
            status.role.to_owned(),
            status.fenced.to_string(),
            status.history.to_string(),
            status.received.to_string(),
            status.applied.to_string(),
            status.heard.as_millis().to_string(),
        ];
        Ok(one_row(text.into_iter().map(Value::Text).collect()))
    }
}

impl Drop for Executor {
    fn drop(&mut self) {
        self.server.cancels.borrow_mut().shift_remove(&self.key);
        if self.holds_write() {
            self.server.rollback();
        }
    }
}

fn one_row(values: Vec<Value>) -> Output {
    Output {
        rows: vec![values],
        ..Output::default()
    }
}
