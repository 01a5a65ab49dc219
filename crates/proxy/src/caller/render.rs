//! Turning a request into bytes for one connection, and the answers to expect.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use indexmap::IndexMap;
use pg::report::Report;
use pg::tag;

use super::local::{self, Answer};
use super::prepared;
use super::reply;
use super::request::{Mode, Request, Step};
use super::session::Session;
use crate::backend::{Conn, StatementId};
use crate::cx::Cx;

/// Prepared statements kept on one connection. Load: callers that build statement
/// texts; harm: memory of the backend server, on each of its connections. A few
/// hundred cover the texts of an application.
const MAX_PREPARED: usize = 300;

/// One answer that is due.
#[derive(Debug)]
pub(super) enum Expect {
    /// An answer to the caller's message.
    Pass,
    /// The caller's statement gets prepared.
    Prepared(StatementId, Bytes),
    /// A statement gets prepared that the caller prepared earlier, elsewhere.
    Again(Option<StatementId>),
    /// A statement gets closed to make room.
    Evicted,
    /// The proxy's own answer.
    Local(Bytes),
}

/// A request as bytes.
pub(super) struct Work {
    pub(super) bytes: BytesMut,
    pub(super) expects: VecDeque<Expect>,
    /// Whether settings are sent ahead, with a ready message of their own.
    pub(super) setup: bool,
}

/// Writes a request for a connection.
pub(super) fn render(
    req: &Request,
    session: &mut Session,
    conn: &mut Conn,
    cx: &Cx,
) -> Result<Work, Report> {
    let mut work = Work {
        bytes: BytesMut::new(),
        expects: VecDeque::new(),
        setup: false,
    };
    work.settings(session, conn);
    match req.mode {
        Mode::Query => work.bytes.extend_from_slice(&req.query),
        Mode::Sync | Mode::Flush => {
            let mut steps = Steps {
                work: &mut work,
                conn,
                sent: Vec::new(),
                unnamed: None,
            };
            for step in &req.steps {
                steps.add(step, session, cx)?;
            }
            let last = if req.mode == Mode::Sync {
                tag::SYNC
            } else {
                tag::FLUSH
            };
            work.bytes.extend_from_slice(&reply::message(last, &[]));
        }
    }
    Ok(work)
}

/// The answer to a request that needs no backend server.
pub(super) fn local(req: &Request, session: &mut Session, cx: &Cx) -> Result<BytesMut, Report> {
    let mut out = BytesMut::new();
    if let Some(control) = &req.local {
        match local::run(control, session, cx)? {
            Answer::Done(command) => out.extend_from_slice(&reply::complete(command)),
            Answer::Value(name, value) => {
                out.extend_from_slice(&reply::column(&name));
                out.extend_from_slice(&shown(&value));
            }
        }
    }
    for step in &req.steps {
        out.extend_from_slice(&local_step(step, session, cx)?);
    }
    Ok(out)
}

/// The answer that ends a transaction whose connection is gone.
pub(super) fn rollback(req: &Request) -> BytesMut {
    let mut out = BytesMut::new();
    if req.mode == Mode::Query {
        out.extend_from_slice(&reply::complete("ROLLBACK"));
    }
    for step in &req.steps {
        out.extend_from_slice(&match step {
            Step::Parse { .. } => reply::message(tag::PARSE_COMPLETE, &[]),
            Step::Bind { .. } => reply::message(tag::BIND_COMPLETE, &[]),
            Step::Describe { .. } => [reply::no_parameters(), reply::message(tag::NO_DATA, &[])]
                .concat()
                .into(),
            Step::DescribePortal { .. } => reply::message(tag::NO_DATA, &[]),
            Step::Execute { .. } => reply::complete("ROLLBACK"),
            Step::Forget | Step::ClosePortal { .. } => reply::message(tag::CLOSE_COMPLETE, &[]),
        });
    }
    out
}

fn shown(value: &str) -> Vec<u8> {
    [reply::row(value), reply::complete("SHOW")].concat()
}

/// The answer to a step that the proxy answers itself.
fn local_step(step: &Step, session: &mut Session, cx: &Cx) -> Result<Bytes, Report> {
    let described = |control| match local::column(control) {
        Some(name) => reply::column(&name),
        None => reply::message(tag::NO_DATA, &[]),
    };
    Ok(match (step, step.local()) {
        (Step::Parse { .. }, _) => reply::message(tag::PARSE_COMPLETE, &[]),
        (Step::Bind { .. }, _) => reply::message(tag::BIND_COMPLETE, &[]),
        (Step::Describe { .. }, Some(control)) => {
            [reply::no_parameters(), described(control)].concat().into()
        }
        (Step::DescribePortal { .. }, Some(control)) => described(control),
        (Step::Execute { .. }, Some(control)) => match local::run(control, session, cx)? {
            Answer::Done(command) => reply::complete(command),
            Answer::Value(_, value) => shown(&value).into(),
        },
        _ => reply::message(tag::CLOSE_COMPLETE, &[]),
    })
}

impl Work {
    /// Brings the connection's settings in line with the session's.
    fn settings(&mut self, session: &Session, conn: &mut Conn) {
        if conn.vars == session.vars || conn.status() == crate::backend::Status::Failed {
            return;
        }
        // A rollback would undo the settings without the proxy noticing.
        if conn.status() != crate::backend::Status::Idle {
            conn.taint();
        }
        let sql = settings_sql(&conn.vars, &session.vars);
        self.bytes.extend_from_slice(&query(&sql));
        self.setup = true;
        conn.vars = session.vars.clone();
    }
}

fn settings_sql(old: &IndexMap<String, String>, new: &IndexMap<String, String>) -> String {
    let resets = old.keys().filter(|name| !new.contains_key(*name));
    let mut parts: Vec<_> = resets.map(|name| format!("RESET {name}")).collect();
    for (name, value) in new
        .iter()
        .filter(|(name, value)| old.get(*name) != Some(*value))
    {
        parts.push(format!("SET {name} TO {}", quoted(name, value)));
    }
    parts.join("; ")
}

/// The value as a literal; a list of schemas stays a list.
fn quoted(name: &str, value: &str) -> String {
    let literal = |text: &str| format!("'{}'", text.replace('\\', "").replace('\'', "''"));
    if name != "search_path" {
        return literal(value);
    }
    let schemas: Vec<_> = value.split(',').map(|part| literal(part.trim())).collect();
    schemas.join(", ")
}

/// A simple query as a message.
pub(super) fn query(sql: &str) -> Bytes {
    let mut body = sql.as_bytes().to_vec();
    body.push(0);
    reply::message(tag::QUERY, &body)
}

struct Steps<'a> {
    work: &'a mut Work,
    conn: &'a mut Conn,
    /// Statements that this request prepares on the connection.
    sent: Vec<StatementId>,
    /// The statement that the unnamed one stands for after this request's `Parse`.
    unnamed: Option<StatementId>,
}

impl Steps<'_> {
    fn add(&mut self, step: &Step, session: &mut Session, cx: &Cx) -> Result<(), Report> {
        if step.local().is_some() || matches!(step, Step::Forget) {
            let answer = local_step(step, session, cx)?;
            self.work.expects.push_back(Expect::Local(answer));
            return Ok(());
        }
        match step {
            Step::Parse { name, prepared } => self.parse(name, prepared),
            Step::Bind {
                portal,
                name,
                prepared,
                rest,
            } => {
                let name = self.ensure(name, prepared.as_deref());
                let body = [portal, &[0][..], name.as_bytes(), &[0], rest].concat();
                self.pass(&reply::message(tag::BIND, &body));
            }
            Step::Describe { name, prepared } => {
                let name = self.ensure(name, prepared.as_deref());
                let body = [&[b'S'][..], name.as_bytes(), &[0]].concat();
                self.pass(&reply::message(tag::DESCRIBE, &body));
            }
            Step::DescribePortal { raw, .. }
            | Step::Execute { raw, .. }
            | Step::ClosePortal { raw } => self.pass(raw),
            Step::Forget => {}
        }
        Ok(())
    }

    fn pass(&mut self, raw: &[u8]) {
        self.work.bytes.extend_from_slice(raw);
        self.work.expects.push_back(Expect::Pass);
    }

    fn parse(&mut self, name: &Bytes, prepared: &prepared::Prepared) {
        if name.is_empty() {
            self.unnamed = Some(prepared.id);
            self.pass(&prepared.parse(""));
            return;
        }
        if self.is_there(&prepared.id) {
            let done = reply::message(tag::PARSE_COMPLETE, &[]);
            self.work.expects.push_back(Expect::Local(done));
            return;
        }
        self.make_room();
        self.work
            .bytes
            .extend_from_slice(&prepared.parse(&prepared.name()));
        let expect = Expect::Prepared(prepared.id, name.clone());
        self.work.expects.push_back(expect);
        self.sent.push(prepared.id);
    }

    /// Makes sure that the statement is there; returns its name on the connection.
    fn ensure(&mut self, name: &Bytes, prepared: Option<&prepared::Prepared>) -> String {
        let Some(prepared) = prepared else {
            // The server's own error says that there is no such statement.
            return String::from_utf8_lossy(name).into_owned();
        };
        if name.is_empty() {
            if self.unnamed != Some(prepared.id) {
                self.unnamed = Some(prepared.id);
                self.work.bytes.extend_from_slice(&prepared.parse(""));
                self.work.expects.push_back(Expect::Again(None));
            }
            return String::new();
        }
        if !self.is_there(&prepared.id) {
            self.make_room();
            self.work
                .bytes
                .extend_from_slice(&prepared.parse(&prepared.name()));
            self.work
                .expects
                .push_back(Expect::Again(Some(prepared.id)));
            self.sent.push(prepared.id);
        }
        prepared.name()
    }

    fn is_there(&self, id: &StatementId) -> bool {
        self.conn.prepared.contains(id) || self.sent.contains(id)
    }

    fn make_room(&mut self) {
        while self.conn.prepared.len() + self.sent.len() >= MAX_PREPARED {
            let Some(oldest) = self.conn.prepared.shift_remove_index(0) else {
                return;
            };
            let body = [&[b'S'][..], prepared::name(&oldest).as_bytes(), &[0]].concat();
            let close = reply::message(tag::CLOSE, &body);
            self.work.bytes.extend_from_slice(&close);
            self.work.expects.push_back(Expect::Evicted);
        }
    }
}
