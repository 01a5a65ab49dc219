//! Passing a server's answer on to the caller, in bounded memory.

use std::collections::VecDeque;
use std::str;

use bytes::{Bytes, BytesMut};
use model::position::Point;
use pg::frame::{Frame, Piece};
use pg::{report, tag};
use policy::outcome::Outcome;
use policy::route::Failure;

use super::link::Link;
use super::render::Expect;
use super::reply;
use super::session::Session;
use super::watch::{Stop, Watch};
use crate::backend::{Conn, Status};

/// Bytes of row data up to which they are copied next to other messages, so that a
/// small answer leaves in one write.
const COPY: usize = 4 << 10;

/// What came of a request.
#[derive(Debug, Default)]
pub(super) struct Answer {
    /// SQLSTATE of the error, if it failed.
    pub(super) failed: Option<String>,
    /// Whether the server refused it as not writable, before anything was answered.
    pub(super) refused: bool,
    /// Statements that completed.
    pub(super) completed: u32,
    /// Whether the last command was a rollback.
    pub(super) rolled_back: bool,
    /// End of the server's log after the request.
    pub(super) point: Option<Point>,
}

/// Passes one answer on.
pub(super) struct Passing<'a> {
    pub(super) link: &'a mut Link,
    pub(super) session: &'a mut Session,
    pub(super) conn: &'a mut Conn,
    pub(super) watch: &'a mut Watch,
    pub(super) outcome: &'a mut Outcome,
    /// Answers that are due, in order; empty for a simple query.
    pub(super) expects: VecDeque<Expect>,
    /// Whether completions are held back until the write is confirmed.
    pub(super) hold: bool,
    /// Most bytes held back.
    pub(super) hold_limit: usize,
    /// What is held back.
    pub(super) held: BytesMut,
    pub(super) answer: Answer,
}

impl Passing<'_> {
    /// Waits for more bytes of the answer.
    async fn fill(&mut self) -> Result<(), Stop> {
        let may_move = self.outcome.may_reroute();
        self.watch.fill(self.conn, self.link, may_move).await
    }

    /// Reads past the answer to the settings that were sent ahead.
    pub(super) async fn skip_setup(&mut self) -> Result<(), Stop> {
        loop {
            let frame = self.frame().await?;
            match frame.tag {
                tag::READY => return Ok(()),
                tag::ERROR => {
                    // Some value is not acceptable. The request goes on with the
                    // server's own settings, as it has been sent already.
                    tracing::info!(caller = %self.session.caller, "settings refused");
                    self.session.vars.clear();
                    self.conn.taint();
                }
                _ => {}
            }
        }
    }

    /// Passes the answer on up to the ready message, which is left to the caller of
    /// this function, or up to the last answer that is due when none will come.
    pub(super) async fn pass(&mut self, ends_ready: bool) -> Result<(), Stop> {
        self.local();
        loop {
            while let Some(piece) = self.conn.piece().map_err(|_| PROTOCOL)? {
                match piece {
                    Piece::Frame(frame) if frame.tag == tag::READY => return Ok(()),
                    Piece::Frame(frame) => self.message(&frame).await?,
                    Piece::Data { raw, .. } => self.data(raw).await?,
                }
                let done = self.expects.is_empty() || self.answer.failed.is_some();
                if !ends_ready && done {
                    return Ok(());
                }
            }
            if self.link.is_full() {
                self.flush().await?;
            }
            self.fill().await?;
        }
    }

    /// Reads the answer to the question for the log's end.
    pub(super) async fn read_point(&mut self) -> Result<(), Stop> {
        loop {
            while let Some(piece) = self.conn.piece().map_err(|_| PROTOCOL)? {
                match piece {
                    Piece::Frame(frame) if frame.tag == tag::READY => return Ok(()),
                    Piece::Data { raw, .. } => self.answer.point = point(&raw),
                    Piece::Frame(_) => {}
                }
            }
            self.fill().await?;
        }
    }

    async fn frame(&mut self) -> Result<Frame, Stop> {
        loop {
            match self.conn.piece().map_err(|_| PROTOCOL)? {
                Some(Piece::Frame(frame)) => return Ok(frame),
                Some(Piece::Data { .. }) => {}
                None => self.fill().await?,
            }
        }
    }

    async fn message(&mut self, frame: &Frame) -> Result<(), Stop> {
        match frame.tag {
            tag::ERROR => self.error(frame),
            tag::COMMAND_COMPLETE => {
                self.completed(frame);
                self.due(frame);
            }
            tag::PARSE_COMPLETE
            | tag::BIND_COMPLETE
            | tag::CLOSE_COMPLETE
            | tag::EMPTY_QUERY
            | tag::PORTAL_SUSPENDED
            | tag::NO_DATA => self.due(frame),
            tag::ROW_DESCRIPTION if !self.expects.is_empty() => self.due(frame),
            // Nobody listens here: notifications belong to no session.
            tag::NOTIFICATION => {}
            tag::COPY_IN => self.refuse_copy().await?,
            tag::COPY_BOTH => return Err(PROTOCOL),
            _ => self.emit(&frame.raw),
        }
        if self.held.len() > self.hold_limit {
            return Err(Stop::TooLarge);
        }
        Ok(())
    }

    /// An answer arrived for the message that is due next.
    fn due(&mut self, frame: &Frame) {
        match self.expects.pop_front() {
            None | Some(Expect::Pass | Expect::Local(_)) => self.emit(&frame.raw),
            Some(Expect::Prepared(id, _)) => {
                self.conn.prepared.insert(id);
                self.emit(&frame.raw);
            }
            Some(Expect::Again(id)) => {
                self.conn.prepared.extend(id);
            }
            Some(Expect::Evicted) => {}
        }
        self.local();
    }

    /// Adds the proxy's own answers whose turn it is.
    fn local(&mut self) {
        while matches!(self.expects.front(), Some(Expect::Local(_))) {
            if let Some(Expect::Local(bytes)) = self.expects.pop_front() {
                self.emit(&bytes);
            }
        }
    }

    fn completed(&mut self, frame: &Frame) {
        let body = frame.body();
        let command = body.split(|b| matches!(b, b' ' | 0)).next();
        let command = command.unwrap_or_default();
        self.answer.completed += 1;
        self.answer.rolled_back = command == b"ROLLBACK";
    }

    fn error(&mut self, frame: &Frame) {
        let body = frame.body();
        let code = report::code(&body).unwrap_or_default();
        // A statement that the connection was thought to have, or whose plan no longer
        // fits its table: the connection does not know what the proxy thinks it knows.
        if code == report::UNKNOWN_STATEMENT.0 || code == report::UNSUPPORTED.0 {
            self.conn.taint();
        }
        self.answer.failed = Some(code.to_owned());
        self.forget_unprepared();
        let untouched = self.answer.completed == 0 && !self.outcome.has_response_started();
        if code == report::READ_ONLY.0 && untouched {
            self.answer.refused = true;
            self.link.discard();
            return;
        }
        self.emit(&frame.raw);
    }

    /// Forgets statements of the caller whose preparation came after the error.
    fn forget_unprepared(&mut self) {
        for expect in self.expects.drain(..) {
            if let Expect::Prepared(_, name) = expect {
                self.session.prepared.shift_remove(&name);
            }
        }
    }

    /// Makes the server give up a copy that the classification did not see coming.
    async fn refuse_copy(&mut self) -> Result<(), Stop> {
        let fail = reply::message(tag::COPY_FAIL, b"COPY FROM STDIN is not supported\0");
        let sent = self.conn.send(fail, 0).await;
        sent.map_err(|_| Stop::Server(Failure::Broken))
    }

    fn emit(&mut self, bytes: &[u8]) {
        // From the first completion on, everything may claim that the write is done.
        if self.hold && self.answer.completed > 0 {
            self.held.extend_from_slice(bytes);
        } else {
            self.link.push(bytes);
        }
    }

    async fn data(&mut self, raw: Bytes) -> Result<(), Stop> {
        let holding = self.hold && self.answer.completed > 0;
        if holding || (raw.len() <= COPY && !self.link.is_full()) {
            self.emit(&raw);
            if self.held.len() > self.hold_limit {
                return Err(Stop::TooLarge);
            }
            return Ok(());
        }
        self.outcome.response_started();
        self.link.pass(raw).await.map_err(|_| Stop::Caller)
    }

    async fn flush(&mut self) -> Result<(), Stop> {
        self.outcome.response_started();
        self.link.flush().await.map_err(|_| Stop::Caller)
    }
}

const PROTOCOL: Stop = Stop::Server(Failure::Protocol);

/// The point in the first row of an answer.
fn point(row: &[u8]) -> Option<Point> {
    // Type and length, number of columns, length of the first column, its text.
    let text = row.get(11..)?;
    let len = row.get(7..11)?.try_into().ok().map(u32::from_be_bytes)?;
    let text = text.get(..usize::try_from(len).ok()?)?;
    str::from_utf8(text).ok()?.parse().ok()
}

impl Answer {
    /// Whether the caller may be told only after a majority holds the write.
    pub(super) fn needs_confirmation(&self, status: Status) -> bool {
        status == Status::Idle && self.completed > 0 && !self.rolled_back
    }
}
