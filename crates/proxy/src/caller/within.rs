//! Requests inside of a transaction, on the connection it is pinned to.

use std::time::Instant;

use bytes::BytesMut;
use pg::report::{self, Report};
use policy::outcome::Outcome;
use policy::route::Failure;

use super::Caller;
use super::answer::Answer;
use super::attempt::{Attempt, Ended, RETRY, Way, refused_text};
use super::link::Closed;
use super::request::{Mode, Request};
use super::transaction::{Pinned, Transaction};
use super::watch::{Reign, Stop};
use crate::backend::Status;
use crate::metrics::Stage;

impl Caller {
    /// Runs a request in the open transaction.
    pub(super) async fn in_transaction(
        &mut self,
        req: Request,
        mut pinned: Pinned,
    ) -> Result<(), Closed> {
        let deadline = req.profile.deadline(&self.session.settings);
        let writes = req.profile.effect == pg::classify::Effect::Write;
        pinned.wrote |= writes;
        let implicit = pinned.conn.status() == Status::Idle;
        let ends = req.profile.ends || implicit;
        let hold = ends && pinned.wrote && req.mode != Mode::Flush;
        let mut outcome = Outcome::new(policy::outcome::Kind::Write);
        let reign = Reign::new(&self.group.routes, &pinned.target);
        let way = Way {
            deadline,
            reign,
            hold,
        };
        let instance = pinned.target.instance.clone();
        let sent = Instant::now();
        let ended = self.run_on(&mut pinned.conn, &req, &mut outcome, way).await;
        self.observe(Stage::Serving, sent, &instance);
        match ended {
            Ended::Answered(answer, _) if answer.refused && !pinned.read_only => {
                self.group
                    .routes
                    .failed(&pinned.target.instance, Failure::ReadOnly);
                self.transaction = Transaction::Lost;
                let text = "the primary was replaced; the transaction was rolled back";
                let report = Report::error(report::UNAVAILABLE, text).retry_after(RETRY);
                self.refuse(req.mode, &report).await
            }
            Ended::Answered(answer, held) => {
                self.in_transaction_answered(&req, pinned, answer, held, deadline)
                    .await
            }
            Ended::Stopped(stop) => self.lose_transaction(&req, pinned, outcome, stop).await,
        }
    }

    pub(super) async fn in_transaction_answered(
        &mut self,
        req: &Request,
        mut pinned: Pinned,
        answer: Answer,
        held: BytesMut,
        deadline: Instant,
    ) -> Result<(), Closed> {
        if answer.refused {
            let text = "cannot write in a read-only transaction";
            self.link
                .push(&Report::error(report::READ_ONLY, text).encode());
        }
        let status = pinned.conn.status();
        if status != Status::Idle || req.mode == Mode::Flush {
            pinned.touched = Instant::now();
            self.session.skipping = req.mode == Mode::Flush && answer.failed.is_some();
            self.transaction = Transaction::Open(Box::new(pinned));
            self.link.push(&held);
            return self.finish(req.mode, &[]).await;
        }
        self.session.portals.clear();
        let Pinned {
            conn,
            pool,
            target,
            wrote,
            ..
        } = pinned;
        pool.release(conn);
        if wrote && answer.needs_confirmation(status) {
            return self.confirm(req, &target, answer, &held, deadline).await;
        }
        self.link.push(&held);
        self.finish(req.mode, &[]).await
    }

    /// Tells the caller that its transaction's connection is gone.
    pub(super) async fn lose_transaction(
        &mut self,
        req: &Request,
        pinned: Pinned,
        mut outcome: Outcome,
        stop: Stop,
    ) -> Result<(), Closed> {
        let attempt = Attempt {
            conn: pinned.conn,
            pool: pinned.pool,
            target: pinned.target,
            permit: None,
            sent: pinned.touched,
        };
        let verdict = self.stopped(&attempt, &mut outcome, stop, Instant::now())?;
        // A commit was under way: the transaction is over, whatever became of it.
        if !req.profile.ends {
            self.transaction = Transaction::Lost;
        }
        self.give_up(req, verdict, &refused_text()).await
    }
}
