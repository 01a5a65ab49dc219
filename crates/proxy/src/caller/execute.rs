//! Running a request: route, admission, connection, answer, confirmation.

use std::time::{Duration, Instant};

use bytes::BytesMut;
use model::id::InstanceId;
use model::unit::Span;
use pg::frame::Frame;
use pg::report::{self, Report};
use policy::outcome::{Outcome, Verdict};
use policy::route::{Failure, ReadNeed, Refusal, Target};

use super::answer::{Answer, Passing};
use super::link::Closed;
use super::request::{Mode, Request};
use super::session::TOKEN;
use super::transaction::{Pinned, Transaction};
use super::watch::{Reign, Stop, Watch};
use super::{Caller, render, reply};
use crate::admit::{EnterError, Permit, Ticket};
use crate::backend::Status;
use crate::filter::{self, Scene};
use crate::metrics::{Ending, Stage};
use crate::pool::{self, Conn, PoolError};
use crate::trace::Side;

/// Pause before a request that met a failure looks for another route: time for the
/// failure to reach the group's task, short against any deadline.
const PAUSE: Duration = Duration::from_millis(10);

/// When to come back after a failure that says nothing about its end.
const RETRY: Duration = Duration::from_millis(100);

/// What is needed to run a request once.
struct Attempt {
    conn: Conn,
    pool: pool::Handle,
    target: Target,
    permit: Option<Permit>,
    /// When the request was sent, or was ready to be.
    sent: Instant,
}

/// Under which conditions a request goes out.
struct Way {
    deadline: Instant,
    reign: Reign,
    /// Whether its completion is held back until a majority confirms it.
    hold: bool,
}

/// Why an attempt sent nothing.
enum NoWay {
    Refused(Refusal),
    NotAdmitted(EnterError),
    NoConnection(PoolError),
    /// The primary was replaced before anything was sent to it.
    Replaced,
}

/// How an attempt that was sent ended.
enum Ended {
    /// With the server's whole answer.
    Answered(Answer, BytesMut),
    Stopped(Stop),
}

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
        loop {
            let attempt = match self.prepare(&req, deadline).await {
                Ok(attempt) => attempt,
                Err(no_way) => {
                    let again = matches!(
                        no_way,
                        NoWay::Replaced | NoWay::NoConnection(PoolError::Connect(_))
                    );
                    let verdict = match again {
                        true => outcome.lost(has_time(deadline)),
                        false => outcome.gave_up(),
                    };
                    if verdict == Verdict::Retry {
                        compio::time::sleep(PAUSE).await;
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
                Ended::Stopped(stop) => self.stopped(&attempt, &mut outcome, stop, deadline)?,
            };
            if verdict != Verdict::Retry {
                return self.give_up(&req, verdict, &refused_text()).await;
            }
            self.link.discard();
            compio::time::sleep(PAUSE).await;
        }
    }

    /// Begins the request's span, under the context in its marks if there is one.
    fn begin_span(&mut self, req: &Request) {
        let parent = req.profile.marks.traceparent.as_deref();
        let parent = parent.and_then(|text| text.parse().ok());
        self.span = self.cx.tracer.incoming("request", parent);
        self.span.set("group", self.group.routes.group());
        self.span.set("caller", &self.session.caller);
    }

    /// Records the time since `began` under a stage of the group's requests.
    fn observe(&self, stage: Stage, began: Instant, instance: &InstanceId) {
        let (name, side) = match stage {
            Stage::Waiting => ("wait", Side::Internal),
            Stage::Serving => ("backend", Side::Client),
            Stage::Confirming => ("confirm", Side::Internal),
        };
        let mut span = self.span.child_since(name, side, began);
        span.set("instance", instance);
        let group = self.group.routes.group();
        let metrics = &self.cx.metrics;
        metrics.observe(group.as_str(), stage, began.elapsed());
    }

    fn ended(&mut self, ending: Ending) {
        let mut span = std::mem::take(&mut self.span);
        span.set("ending", &ending.name());
        let group = self.group.routes.group();
        self.cx.metrics.ended(group.as_str(), ending);
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

    async fn route(&self, req: &Request, deadline: Instant) -> Result<Target, Refusal> {
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

    /// Sends a request and passes its answer on.
    async fn send(
        &mut self,
        req: &Request,
        attempt: &mut Attempt,
        outcome: &mut Outcome,
        deadline: Instant,
    ) -> Ended {
        let writes = req.profile.effect == pg::classify::Effect::Write;
        // A request that both begins and ends a transaction commits it.
        let commits = req.profile.begins.is_none() || req.profile.ends;
        let hold = writes && commits && req.mode != Mode::Flush;
        let reign = Reign::new(&self.group.routes, &attempt.target);
        let way = Way {
            deadline,
            reign,
            hold,
        };
        self.run_on(&mut attempt.conn, req, outcome, way).await
    }

    async fn run_on(
        &mut self,
        conn: &mut Conn,
        req: &Request,
        outcome: &mut Outcome,
        way: Way,
    ) -> Ended {
        let Way {
            deadline,
            reign,
            hold,
        } = way;
        let mut work = match render::render(req, &mut self.session, conn, &self.cx) {
            Ok(work) => work,
            // A local statement inside failed; nothing was sent.
            Err(report) => {
                self.link.push(&report.encode());
                let failed = Some(report.code.0.to_owned());
                let answer = Answer {
                    failed,
                    ..Answer::default()
                };
                return Ended::Answered(answer, BytesMut::new());
            }
        };
        if req.profile.taints {
            conn.taint();
        }
        if hold {
            let point = render::query(&self.session.settings.profile.point);
            work.bytes.extend_from_slice(&point);
        }
        let patience = req.profile.patience(&self.session.settings).as_duration();
        let mut watch = Watch::new(deadline, patience, self.group.login().clone(), reign);
        let hold_limit = self.session.settings.answer_buffer.as_bytes();
        let readies = u32::from(work.setup) + u32::from(hold) + u32::from(req.mode != Mode::Flush);
        outcome.sending();
        let bytes = work.bytes.freeze();
        let sent = match (req.mode, readies) {
            (Mode::Flush, _) => conn.send_open(bytes, readies).await,
            _ => conn.send(bytes, readies).await,
        };
        if sent.is_err() {
            return Ended::Stopped(Stop::Server(Failure::Broken));
        }
        let mut passing = Passing {
            link: &mut self.link,
            session: &mut self.session,
            conn,
            watch: &mut watch,
            outcome,
            expects: work.expects,
            hold,
            hold_limit: usize::try_from(hold_limit).unwrap_or(usize::MAX),
            held: BytesMut::new(),
            answer: Answer::default(),
        };
        match pass_all(&mut passing, work.setup, req.mode != Mode::Flush).await {
            Ok(()) => Ended::Answered(passing.answer, passing.held),
            Err(stop) => Ended::Stopped(stop),
        }
    }

    /// Deals with an answer: pins, confirms, releases, and tells the caller.
    async fn answered(
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
    async fn confirm(
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

    async fn unknown(&mut self, req: &Request, why: &str) -> Result<(), Closed> {
        let report = Report::error(report::OUTCOME_UNKNOWN, format!("outcome unknown: {why}"));
        self.refuse(req.mode, &report).await
    }

    fn push_token(&mut self) {
        let token = self.session.encode(&self.cx.key);
        self.link.push(&reply::parameter(TOKEN, &token));
    }

    /// Gives back the slot and the connection.
    fn settle(&self, attempt: Attempt) {
        if let Some(permit) = attempt.permit {
            permit.answered();
        }
        attempt.pool.release(attempt.conn);
    }

    /// Judges an attempt that ended without the server's whole answer.
    fn stopped(
        &self,
        attempt: &Attempt,
        outcome: &mut Outcome,
        stop: Stop,
        deadline: Instant,
    ) -> Result<Verdict, Closed> {
        let inside_row = attempt.conn.inside_row() && outcome.has_begun();
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
                routes.failed(&attempt.target.instance, Failure::Silent);
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
    async fn give_up(
        &mut self,
        req: &Request,
        verdict: Verdict,
        why: &Report,
    ) -> Result<(), Closed> {
        if verdict != Verdict::Cut {
            self.link.discard();
        }
        let report = match verdict {
            Verdict::DidNotRun => why.clone(),
            Verdict::Unknown => {
                let text = "outcome unknown: the connection to the server was lost";
                Report::error(report::OUTCOME_UNKNOWN, text)
            }
            Verdict::Failed | Verdict::Cut | Verdict::Retry => {
                let text = "the read was lost with its server's connection";
                Report::error(report::CONNECTION_LOST, text).retry_after(RETRY)
            }
        };
        self.refuse(req.mode, &report).await
    }

    /// Runs a request in the open transaction.
    async fn in_transaction(&mut self, req: Request, mut pinned: Pinned) -> Result<(), Closed> {
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

    async fn in_transaction_answered(
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
    async fn lose_transaction(
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

    /// Answers with an error of the proxy's own.
    async fn refuse(&mut self, mode: Mode, report: &Report) -> Result<(), Closed> {
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
    async fn finish(&mut self, mode: Mode, out: &[u8]) -> Result<(), Closed> {
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

async fn pass_all(passing: &mut Passing<'_>, setup: bool, ends_ready: bool) -> Result<(), Stop> {
    if setup {
        passing.skip_setup().await?;
    }
    passing.pass(ends_ready).await?;
    if passing.hold {
        passing.read_point().await?;
    }
    Ok(())
}

fn has_time(deadline: Instant) -> bool {
    Instant::now() + PAUSE < deadline
}

fn refused_text() -> Report {
    Report::error(
        report::UNAVAILABLE,
        "the server does not accept the request; it did not run",
    )
    .retry_after(RETRY)
}

impl From<NoWay> for Report {
    fn from(no_way: NoWay) -> Self {
        let did_not_run = |code, why: &dyn std::fmt::Display, after: Duration| {
            Self::error(code, format!("{why}; the request did not run")).retry_after(after)
        };
        match no_way {
            NoWay::Refused(e @ Refusal::Forked { .. }) => Self::error(
                report::TOKEN_FORKED,
                format!("{e}; the request did not run"),
            ),
            NoWay::Refused(e) => {
                let after = e.retry().map_or(RETRY, Span::as_duration);
                did_not_run(report::UNAVAILABLE, &e, after)
            }
            NoWay::NotAdmitted(EnterError::Refused(e)) => {
                did_not_run(report::TOO_MANY, &e.reason, e.retry_after.as_duration())
            }
            NoWay::NotAdmitted(e) => did_not_run(report::UNAVAILABLE, &e, RETRY),
            NoWay::NoConnection(e) => did_not_run(report::UNAVAILABLE, &e, RETRY),
            NoWay::Replaced => did_not_run(report::UNAVAILABLE, &"the primary was replaced", RETRY),
        }
    }
}
