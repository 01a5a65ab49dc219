//! Running a request: its route, its slot, its connection, and further attempts.

use std::time::Instant;

use pg::frame::Frame;
use pg::report::{self, Report};
use policy::outcome::{Kind, Outcome, Verdict};
use policy::retry;
use policy::route::{Failure, ReadNeed, RouteError, Target};

use super::attempt::{Attempt, Ended, NoWay, back_off, has_time, refused_text};
use super::link::Closed;
use super::request::{Mode, Request};
use super::transaction::Transaction;
use super::watch::Reign;
use super::{Caller, render};
use crate::admit::Ticket;
use crate::filter::{self, Scene};
use crate::metrics::Stage;
use crate::pool::PoolError;

impl Caller {
    /// Runs one request and answers it.
    pub(super) async fn request(&mut self, messages: Vec<Frame>) -> Result<(), Closed> {
        let Some(last) = messages.last() else {
            return Ok(());
        };
        let mode = Mode::of(last);
        let messages = match (self.session.skipping, mode) {
            (false, _) => &messages[..],
            (true, Mode::Flush) => return Ok(()),
            (true, _) => &messages[messages.len() - 1..],
        };
        self.session.skipping = false;
        if self.session.refresh(&self.cx.fleet.current()).is_none() {
            let text = "this caller may no longer reach the group";
            self.link
                .fatal(&Report::fatal(report::NOT_ALLOWED, text))
                .await;
            return Err(Closed);
        }
        match self.read(messages) {
            Ok(req) => self.run_request(req).await,
            Err(report) => self.refuse(mode, &report).await,
        }
    }

    fn read(&mut self, messages: &[Frame]) -> Result<Request, Report> {
        let cache = &mut self.cx.statements.borrow_mut();
        let mut req = Request::read(messages, &mut self.session, cache)?;
        let limit = self.link.limits.prepared as usize;
        if self.session.prepared.len() > limit {
            let text = format!("more than {limit} prepared statements in one session");
            return Err(Report::error(report::TOO_LARGE, text));
        }
        let scene = Scene {
            marks: &self.session.marks,
        };
        filter::apply(&mut req.profile, &scene)?;
        Ok(req)
    }

    async fn run_request(&mut self, req: Request) -> Result<(), Closed> {
        let idle = !self.transaction.is_open();
        if idle && (req.is_local() && !req.steps.is_empty() || req.local.is_some()) {
            return self.answer_locally(&req).await;
        }
        match std::mem::replace(&mut self.transaction, Transaction::None) {
            Transaction::None if req.steps.is_empty() && req.mode != Mode::Query => {
                self.finish(req.mode, &[]).await
            }
            Transaction::None => {
                self.begin_span(&req);
                self.alone(req).await
            }
            Transaction::Open(pinned) if req.local.is_some() => {
                self.transaction = Transaction::Open(pinned);
                self.answer_locally(&req).await
            }
            Transaction::Open(pinned) => {
                self.begin_span(&req);
                self.in_transaction(req, *pinned).await
            }
            Transaction::Lost => self.after_loss(&req).await,
        }
    }

    /// Runs statements that need no backend server.
    ///
    /// A token that they present is reported back like any changed parameter: a caller
    /// that keeps the value last reported would otherwise return to an older token, and
    /// miss its own write on the next proxy.
    async fn answer_locally(&mut self, req: &Request) -> Result<(), Closed> {
        let before = self.session.token.clone();
        match render::local(req, &mut self.session, &self.cx) {
            Ok(out) => {
                if self.session.token != before {
                    self.push_token();
                }
                self.finish(req.mode, &out).await
            }
            Err(report) => self.refuse(req.mode, &report).await,
        }
    }

    /// Answers the statements that follow in a transaction whose connection is gone.
    async fn after_loss(&mut self, req: &Request) -> Result<(), Closed> {
        if req.profile.ends {
            return self.finish(req.mode, &render::rollback(req)).await;
        }
        self.transaction = Transaction::Lost;
        let text = "the transaction was lost, commands are ignored until its end";
        let report = Report::error(report::IN_FAILED_TRANSACTION, text);
        self.refuse(req.mode, &report).await
    }

    /// Runs a request outside of a transaction, again where that is safe.
    async fn alone(&mut self, mut req: Request) -> Result<(), Closed> {
        let deadline = req.profile.deadline(&self.session.settings);
        let mut outcome = Outcome::new(req.profile.kind());
        for before in 0.. {
            let attempt = match self.prepare(&req, deadline).await {
                Ok(attempt) => attempt,
                Err(no_way) => {
                    let again = matches!(
                        no_way,
                        NoWay::Replaced | NoWay::NoConnection(PoolError::Connect(_))
                    );
                    let verdict = match again {
                        true => outcome.lost(has_time(deadline)),
                        false => outcome.without_retry(),
                    };
                    if verdict == Verdict::Retry {
                        compio::time::sleep(back_off(before)).await;
                        continue;
                    }
                    return self.give_up(&req, verdict, &no_way.into()).await;
                }
            };
            let mut attempt = attempt;
            let instance = attempt.target.instance.clone();
            self.observe(Stage::Waiting, req.profile.arrived, &instance);
            let sent = Instant::now();
            let ended = self.send(&req, &mut attempt, &mut outcome, deadline).await;
            self.observe(Stage::Serving, sent, &instance);
            let verdict = match ended {
                Ended::Answered(answer, _) if answer.refused => {
                    self.group
                        .routes
                        .failed(&attempt.target.instance, Failure::ReadOnly);
                    // What was taken for a read needs the primary after all.
                    req.profile.effect = pg::classify::Effect::Write;
                    outcome.reclassify();
                    let verdict = outcome.refused(has_time(deadline));
                    self.settle(attempt);
                    verdict
                }
                Ended::Answered(answer, held) => {
                    return self.answered(&req, attempt, answer, held, deadline).await;
                }
                Ended::Stopped(stop) => {
                    let verdict = self.stopped(&attempt, &mut outcome, stop, deadline)?;
                    self.afford(verdict, &outcome, before)
                }
            };
            if verdict != Verdict::Retry {
                return self.give_up(&req, verdict, &refused_text()).await;
            }
            self.link.discard();
            compio::time::sleep(back_off(before)).await;
        }
        Ok(())
    }

    /// Draws a second attempt of a request that was sent from the group's budget.
    ///
    /// Load: a server fails with hundreds of reads in flight; harm: all of them meet at
    /// the next server at once. Beyond the budget they fail instead.
    fn afford(&self, verdict: Verdict, outcome: &Outcome, before: u32) -> Verdict {
        let attempt = retry::Attempt {
            idempotent: outcome.kind() == Kind::Read,
            progress: retry::Progress::Sent,
            previous_attempts: before,
        };
        let mut budget = self.group.retries.borrow_mut();
        let allowed = budget.failed(attempt, &mut rand::rng()).is_some();
        match (verdict, allowed) {
            (Verdict::Retry, false) => outcome.without_retry(),
            (verdict, _) => verdict,
        }
    }

    /// Finds a route, a slot and a connection.
    async fn prepare(&self, req: &Request, deadline: Instant) -> Result<Attempt, NoWay> {
        let target = self.route(req, deadline).await.map_err(NoWay::Refused)?;
        let reign = Reign::new(&self.group.routes, &target);
        let reached = reign.during(self.reach(req, &target, deadline)).await;
        reached.unwrap_or_else(|| {
            self.group.routes.released(&target.instance);
            Err(NoWay::Replaced)
        })
    }

    /// Waits for a slot and a connection of the target.
    async fn reach(
        &self,
        req: &Request,
        target: &Target,
        deadline: Instant,
    ) -> Result<Attempt, NoWay> {
        let permit = self
            .cx
            .admit
            .enter(self.ticket(req, deadline), &target.instance);
        let permit = permit.await.map_err(|e| {
            self.group.routes.released(&target.instance);
            NoWay::NotAdmitted(e)
        })?;
        let pool = self.group.pool(target);
        match pool.acquire(deadline).await {
            Ok(conn) => Ok(Attempt {
                conn,
                pool,
                target: target.clone(),
                permit: Some(permit),
                sent: Instant::now(),
            }),
            Err(e) => {
                if matches!(e, PoolError::Connect(_)) {
                    self.group.routes.failed(&target.instance, Failure::Refused);
                } else {
                    self.group.routes.released(&target.instance);
                }
                Err(NoWay::NoConnection(e))
            }
        }
    }

    async fn route(&self, req: &Request, deadline: Instant) -> Result<Target, RouteError> {
        let routes = &self.group.routes;
        let point = self.session.point();
        if req.profile.needs_primary() {
            return routes.route_write(point, deadline).await;
        }
        let need = ReadNeed {
            point,
            max_age: req.profile.marks.max_age,
        };
        routes.route_read(need, deadline).await
    }

    fn ticket(&self, req: &Request, deadline: Instant) -> Ticket {
        let class = self.session.class(&req.profile.marks);
        let snapshot = self.cx.fleet.current();
        let weight = snapshot.fleet.classes.get(&class).map_or(1, |c| c.weight);
        Ticket {
            caller: self.session.caller.clone(),
            weight: self.session.spec.weight,
            class,
            class_weight: weight,
            cost: req.profile.shape,
            deadline,
        }
    }
}
