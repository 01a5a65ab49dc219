//! Single statements: attempts, and what each outcome allows to promise.

use std::time::Duration;

use futures_util::FutureExt as _;
use model::position::Point;
use model::route::Route;
use model::statement::{Access, Code, TxState};
use model::unit::{Span, Time};
use policy::pool::{ConnRequest, Kind};
use rand::Rng as _;

use super::{Done, Failure, Job, Session};
use crate::clock;
use crate::conn::{self, Answer, ConnError, Setting, Setup, Values, What};
use crate::group::{CheckedOut, Feedback};

/// Attempts of one statement. An attempt is repeated only if the one before certainly did
/// not run, or only read; each goes to another instance where there is one.
const TRIES: u32 = 5;

/// First and longest pause before a statement is tried again that met full instances; it
/// doubles, and half of it is random. Load: everyone comes back at once after an outage.
/// Harm without it: the tries of all are used up within some ten milliseconds, against
/// queues that are a few hundred milliseconds long.
const BUSY_PAUSES: (Span, Span) = (Span::from_millis(16), Span::from_millis(128));

/// Time after which a write without an answer is reported to the group's watch. Writes
/// take some tens of milliseconds, and a replica a region away acknowledges within 50 ms.
const STALL: Duration = Duration::from_millis(400);

/// Least time for the proof that a replica holds a write: a question to a replica, and to one
/// a region away if that one does not hold it, through a carrier.
const PROOF_TIME: Span = Span::from_millis(300);

/// A statement whose answer was lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lost;

impl Lost {
    /// Tells the group and the log.
    pub(super) fn new(lent: &CheckedOut, job: &Job, e: &ConnError) -> Self {
        lent.record_feedback(Feedback::Silent);
        tracing::warn!(id = %job.id, instance = %lent.instance, cause = %e, "an answer was lost");
        Self
    }

    /// The statement kept nothing: it only read, or its transaction cannot be committed
    /// any more, since the instance drops it with the connection.
    pub(super) const fn unkept(self) -> Failure {
        Failure::LostUnkept
    }

    /// The statement may have been kept.
    pub(super) const fn in_doubt(self) -> Failure {
        Failure::LostInDoubt
    }

    /// The transaction's end: only one that wrote can have kept anything.
    pub(super) const fn of_commit(self, wrote: bool) -> Failure {
        if wrote {
            self.in_doubt()
        } else {
            self.unkept()
        }
    }
}

/// Sends one statement and waits for its answer; `stalls` says that a late answer is a
/// sign of a primary that cannot reach its replicas.
pub(super) async fn send(
    lent: &mut CheckedOut,
    job: &Job,
    after: Option<Point>,
    what: &What,
    stalls: bool,
    limit: Span,
) -> Result<Answer, Lost> {
    let (instance, note) = (lent.instance.clone(), lent.feedback_sender());
    let result = {
        let Some(conn) = lent.conn() else {
            return Err(Lost);
        };
        let mut buf = Vec::new();
        if !conn::put_statement(conn, &mut buf, &job.id, after, what) {
            return Err(Lost);
        }
        let run = conn.run(buf, limit.as_duration()).fuse();
        futures_util::pin_mut!(run);
        if stalls {
            let slow = compio::time::sleep(STALL).fuse();
            futures_util::pin_mut!(slow);
            futures_util::select_biased! {
                result = run => result,
                () = slow => {
                    tracing::info!(id = %job.id, %instance, "a write has no answer yet");
                    note(Feedback::WriteStalls);
                    run.await
                }
            }
        } else {
            run.await
        }
    };
    result.map_err(|e| Lost::new(lent, job, &e))
}

/// Notes that an answer shows the instance leading.
pub(super) fn note_proof(lent: &mut CheckedOut, since: Time, answer: &Answer) {
    if let Some(conn) = lent.conn() {
        conn.note_proof(since, answer);
    }
}

/// Gives a connection back and, if a time for it is given, waits for the proof that a replica
/// holds the write that was answered on it.
pub(super) async fn prove(
    lent: CheckedOut,
    point: Option<Point>,
    until: Option<Time>,
) -> Result<(), Failure> {
    let Some(until) = until else {
        lent.release();
        return Ok(());
    };
    let Some(point) = point else {
        tracing::warn!(instance = %lent.instance, "a write was answered without a position");
        return Err(Failure::Unproven);
    };
    // An answer that comes at the end of the statement's time is delivered late.
    let until = until.max(clock::now() + PROOF_TIME);
    match lent.release_and_await_ack(point, until).await {
        true => Ok(()),
        false => Err(Failure::Unproven),
    }
}

/// Tells the group what a refusal says about the instance.
pub(super) fn learn(lent: &CheckedOut, code: Code) {
    match code {
        Code::ReadOnly => lent.record_feedback(Feedback::ReadOnly),
        Code::Behind => {
            if let Some(point) = lent.after {
                lent.record_feedback(Feedback::Lacks(point));
            }
        }
        Code::Busy => lent.record_feedback(Feedback::Busy),
        _ => {}
    }
}

/// Gives a connection back on which a transaction was refused: it is as it was before.
/// After any other refusal nobody knows what the instance holds for it, and it is closed.
pub(super) fn after_refusal(mut lent: CheckedOut, code: Code) {
    let refused_begin = matches!(code, Code::Behind | Code::ReadOnly | Code::Busy);
    let idle = lent.conn().is_some_and(|c| c.is_idle());
    if refused_begin && idle {
        lent.release();
    }
}

/// How one attempt ended without a result.
#[derive(Clone, Copy)]
pub(super) enum Miss {
    /// It did not run; another instance may be tried.
    NotRun(Code),
    /// It only read, and its answer was lost.
    Unanswered(Lost),
    /// That is the answer.
    Final(Failure),
}

impl Miss {
    /// The failure of a read, which keeps nothing in any case.
    pub(super) fn of_read(self) -> Failure {
        match self {
            Self::NotRun(code) => Failure::Instance(code),
            Self::Unanswered(lost) => lost.unkept(),
            Self::Final(failure) => failure,
        }
    }
}

impl Session {
    /// Runs a statement, inside the open transaction if there is one.
    pub(super) async fn run_one(
        &mut self,
        job: &Job,
        access: Access,
        what: What,
    ) -> Result<Done, Failure> {
        if !self.tx.is_none() {
            return self.run_in_tx(job, access, &what).await;
        }
        let route = self.route()?;
        match access {
            Access::Read => self.read(job, what, &route).await,
            Access::Write => self.write(job, &what, &route).await,
        }
    }

    async fn write(&mut self, job: &Job, what: &What, route: &Route) -> Result<Done, Failure> {
        let give_up = job.arrived + route.time_limit;
        let mut last = Failure::Instance(Code::Busy);
        let mut tries = Tries::default();
        while tries.left() {
            let ask = ask(job, Kind::Write, route, self.own);
            let lent = self.cx.lend(&route.group, ask).await?;
            let instance = lent.instance.clone();
            let sending = Sending {
                job,
                what,
                values: &self.values,
                access: Access::Write,
                limit: route.time_limit,
                prove_until: self.prove_until(route, give_up),
            };
            match sending.run(lent).await {
                Ok(done) => {
                    self.own = self.own.max(done.point);
                    return Ok(done);
                }
                Err(Miss::NotRun(code)) => {
                    tracing::info!(id = %job.id, %instance, ?code, failed = tries.failed, busy = tries.busy, "a write did not run");
                    last = Failure::Instance(code);
                    tries.missed(code).await;
                }
                Err(Miss::Unanswered(lost)) => return Err(lost.in_doubt()),
                Err(Miss::Final(failure)) => return Err(failure),
            }
            if clock::now() >= give_up {
                break;
            }
        }
        Err(last)
    }
}

/// Counts the tries of one statement. A refusal for want of capacity is none: the
/// statement waits its turn, until its time is up. Nor is a log that is too short: another
/// instance is asked at once.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tries {
    /// Tries that did not run, or whose answer was lost.
    pub(super) failed: u32,
    /// Refusals for want of capacity.
    pub(super) busy: u32,
}

impl Tries {
    pub(super) const fn left(self) -> bool {
        self.failed < TRIES
    }

    /// Counts a try that did not run, and waits before the next one.
    pub(super) async fn missed(&mut self, code: Code) {
        match code {
            Code::Busy => {}
            Code::Behind => return,
            _ => {
                self.failed += 1;
                return;
            }
        }
        let pause = BUSY_PAUSES.0.times(1 << self.busy.min(8));
        let pause = pause.min(BUSY_PAUSES.1).as_micros();
        self.busy += 1;
        let pause = rand::rng().random_range(pause / 2..=pause);
        compio::time::sleep(Duration::from_micros(pause)).await;
    }

    /// Counts a try whose answer was lost.
    pub(super) const fn lost(&mut self) {
        self.failed += 1;
    }
}

/// A request for a connection on behalf of a statement.
pub(super) fn ask(job: &Job, kind: Kind, route: &Route, own: Option<Point>) -> ConnRequest {
    ConnRequest {
        kind,
        own_write: own,
        arrived: job.arrived,
        deadline: job.arrived + route.time_limit,
        priority: route.priority,
        avoid: None,
        may_wait: false,
    }
}

/// One attempt of a statement outside a transaction.
pub(super) struct Sending<'a> {
    pub(super) job: &'a Job,
    pub(super) what: &'a What,
    pub(super) values: &'a Values,
    pub(super) access: Access,
    pub(super) limit: Span,
    /// Until when its success waits for the proof that a replica holds it, if it needs one.
    pub(super) prove_until: Option<Time>,
}

impl Sending<'_> {
    /// Runs the statement on a connection and gives the connection back.
    pub(super) async fn run(&self, mut lent: CheckedOut) -> Result<Done, Miss> {
        let setup = Setup {
            values: Some(self.values),
            shape: self.what.shape(),
            begin: None,
            prove: lent.verify_primary,
        };
        let after = lent.after;
        let Some(conn) = lent.conn() else {
            return Err(Miss::NotRun(Code::Busy));
        };
        match conn.set_up(setup, self.limit.as_duration()).await {
            Ok(Setting::Ready) => {}
            Ok(Setting::Refused(code)) => {
                learn(&lent, code);
                after_refusal(lent, code);
                return Err(Miss::NotRun(code));
            }
            Err(e) => {
                Lost::new(&lent, self.job, &e);
                return Err(Miss::NotRun(Code::Aborted));
            }
        }
        let since = clock::now();
        let writes = self.access == Access::Write;
        let answer = send(&mut lent, self.job, after, self.what, writes, self.limit).await;
        let answer = answer.map_err(Miss::Unanswered)?;
        self.settle(lent, since, answer).await
    }

    async fn settle(
        &self,
        mut lent: CheckedOut,
        since: Time,
        answer: Answer,
    ) -> Result<Done, Miss> {
        let Some(code) = answer.code else {
            if self.access == Access::Write {
                note_proof(&mut lent, since, &answer);
                lent.record_feedback(Feedback::Wrote);
            }
            let done = Done {
                lines: answer.lines,
                point: answer.point,
                instance: Some(lent.instance.clone()),
            };
            prove(lent, done.point, self.prove_until)
                .await
                .map_err(Miss::Final)?;
            return Ok(done);
        };
        learn(&lent, code);
        if code == Code::NotPrepared
            && let Some(conn) = lent.conn()
        {
            conn.forget_prepared();
        }
        if answer.state == TxState::Idle {
            lent.release();
        }
        let not_run = matches!(
            code,
            Code::Busy | Code::NotPrepared | Code::Behind | Code::ReadOnly
        );
        Err(if not_run {
            Miss::NotRun(code)
        } else {
            Miss::Final(Failure::Instance(code))
        })
    }
}
