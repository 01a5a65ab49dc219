//! Ending a request: confirmation, what the caller is told, what is given back.

use std::time::Instant;

use bytes::BytesMut;
use model::unit::Span;
use pg::report::{self, Report};
use policy::outcome::{Outcome, Verdict};
use policy::route::{Failure, Target};

use super::answer::Answer;
use super::attempt::{Attempt, RETRY, has_time};
use super::link::Closed;
use super::request::{Mode, Request};
use super::session::TOKEN;
use super::transaction::{Pinned, Transaction};
use super::watch::Stop;
use super::{Caller, reply};
use crate::backend::Status;
use crate::metrics::{Ending, Stage};

impl Caller {
    /// Deals with an answer: pins, confirms, releases, and tells the caller.
    pub(super) async fn answered(
        &mut self,
        req: &Request,
        mut attempt: Attempt,
        answer: Answer,
        held: BytesMut,
        deadline: Instant,
    ) -> Result<(), Closed> {
        let writes = req.profile.effect == pg::classify::Effect::Write;
        let status = attempt.conn.status();
        let failed = answer.failed.is_some();
        // Waiting for a route, a slot or a connection says nothing about the server:
        // counted as its time, one slow moment would keep requests away from it.
        self.group.retries.borrow_mut().answered();
        let took = Span::from(attempt.sent.elapsed());
        self.group.routes.finished(&attempt.target.instance, took);
        if status != Status::Idle || req.mode == Mode::Flush {
            drop(attempt.permit.take());
            self.link.push(&held);
            let pinned = Pinned {
                conn: attempt.conn,
                pool: attempt.pool,
                target: attempt.target,
                wrote: writes,
                read_only: req.profile.begins == Some(true),
                since: Instant::now(),
                touched: Instant::now(),
            };
            self.transaction = Transaction::Open(Box::new(pinned));
            self.session.skipping = req.mode == Mode::Flush && failed;
            return self.finish(req.mode, &[]).await;
        }
        let target = attempt.target.clone();
        if writes && answer.needs_confirmation(status) {
            self.settle(attempt);
            return self.confirm(req, &target, answer, &held, deadline).await;
        }
        self.settle(attempt);
        self.ended(Ending::Answered);
        self.link.push(&held);
        let before = self.session.known;
        if !writes && self.session.advance(target.point) && !before {
            self.push_token();
        }
        self.finish(req.mode, &[]).await
    }

    /// Waits until a majority holds the write, then lets its answer go.
    pub(super) async fn confirm(
        &mut self,
        req: &Request,
        target: &Target,
        answer: Answer,
        held: &[u8],
        deadline: Instant,
    ) -> Result<(), Closed> {
        let Some(point) = answer.point else {
            return self
                .unknown(req, "the server did not say where the write ended")
                .await;
        };
        let began = Instant::now();
        let confirmed = self.group.routes.confirm(target, point, deadline).await;
        self.observe(Stage::Confirming, began, &target.instance);
        match confirmed {
            Ok(()) => {
                self.session.advance(point);
                self.link.push(held);
                self.push_token();
                self.ended(Ending::Answered);
                self.finish(req.mode, &[]).await
            }
            Err(e) => self.unknown(req, &e.to_string()).await,
        }
    }

    pub(super) async fn unknown(&mut self, req: &Request, why: &str) -> Result<(), Closed> {
        let report = Report::error(report::OUTCOME_UNKNOWN, format!("outcome unknown: {why}"));
        self.refuse(req.mode, &report).await
    }

    pub(super) fn push_token(&mut self) {
        let token = self.session.encode(&self.cx.key);
        self.link.push(&reply::parameter(TOKEN, &token));
    }

    /// Gives back the slot and the connection.
    pub(super) fn settle(&self, attempt: Attempt) {
        if let Some(permit) = attempt.permit {
            permit.answered();
        }
        attempt.pool.release(attempt.conn);
    }

    /// Judges an attempt that ended without the server's whole answer.
    pub(super) fn stopped(
        &self,
        attempt: &Attempt,
        outcome: &mut Outcome,
        stop: Stop,
        deadline: Instant,
    ) -> Result<Verdict, Closed> {
        let inside_row = attempt.conn.inside_row() && outcome.has_response_started();
        match stop {
            Stop::Caller => {
                self.group.routes.released(&attempt.target.instance);
                return Err(Closed);
            }
            Stop::Server(failure) => {
                self.group.routes.failed(&attempt.target.instance, failure);
                attempt.pool.purge();
            }
            Stop::Replaced => {
                let routes = &self.group.routes;
                routes.failed(&attempt.target.instance, Failure::Timeout);
                attempt.pool.purge();
            }
            Stop::Deadline | Stop::TooLarge => {
                self.group.routes.released(&attempt.target.instance);
            }
        }
        // Half a row has gone out: no message could follow it.
        if inside_row {
            return Err(Closed);
        }
        Ok(match stop {
            Stop::TooLarge => outcome.unconfirmed(),
            _ => outcome.lost(has_time(deadline) && stop != Stop::Deadline),
        })
    }

    /// Tells the caller that its request got no answer.
    pub(super) async fn give_up(
        &mut self,
        req: &Request,
        verdict: Verdict,
        why: &Report,
    ) -> Result<(), Closed> {
        if verdict != Verdict::Abort {
            self.link.discard();
        }
        let report = match verdict {
            Verdict::DidNotRun => why.clone(),
            Verdict::Unknown => {
                let text = "outcome unknown: the connection to the server was lost";
                Report::error(report::OUTCOME_UNKNOWN, text)
            }
            Verdict::Failed | Verdict::Abort | Verdict::Retry => {
                let text = "the read was lost with its server's connection";
                Report::error(report::CONNECTION_LOST, text).retry_after(RETRY)
            }
        };
        self.refuse(req.mode, &report).await
    }

    /// Answers with an error of the proxy's own.
    pub(super) async fn refuse(&mut self, mode: Mode, report: &Report) -> Result<(), Closed> {
        tracing::debug!(caller = %self.session.caller, code = %report.code, "request refused");
        let unknown = report.code == report::OUTCOME_UNKNOWN;
        self.ended(if unknown {
            Ending::Unknown
        } else {
            Ending::Refused
        });
        // The server does not know of the error. Were its transaction to go on, a
        // commit would keep the rest of what the caller meant as a whole.
        if self.transaction.is_open() {
            self.transaction = Transaction::Lost;
        }
        self.link.push(&report.encode());
        self.session.skipping = mode == Mode::Flush;
        self.finish(mode, &[]).await
    }

    /// Ends an answer.
    pub(super) async fn finish(&mut self, mode: Mode, out: &[u8]) -> Result<(), Closed> {
        self.link.push(out);
        if mode != Mode::Flush {
            if self.transaction.is_none() {
                self.session.portals.clear();
            }
            self.link.push(&reply::ready(self.transaction.status()));
        }
        self.link.flush().await
    }
}
