//! Single statements: their attempts, and what may be reported to the caller for each outcome.

use std::time::Duration;

use futures_util::FutureExt as _;
use model::position::Point;
use model::statement::{Access, Code, TxState};
use model::unit::{Span, Time};
use policy::pool::{ConnRequest, Kind};
use policy::primary_monitor::WRITE_STALL;
use rand::Rng as _;

use super::{Failure, Job, Outcome, Session, Target};
use crate::clock;
use crate::conn::{self, ConnError, Payload, Response, Setup, SetupOutcome, Values};
use crate::group::{CheckedOut, Feedback};

/// Attempts per statement. A statement is retried only if the attempt before certainly did
/// not run, or only read; each attempt uses another instance if there is one.
const MAX_ATTEMPTS: u32 = 5;

/// First and longest delay before a statement is retried after a busy instance; the delay
/// doubles, and half of it is random. After an outage all callers return at once; without
/// the backoff their attempts would be used up within some ten milliseconds, while the
/// queues are a few hundred milliseconds long.
const BUSY_BACKOFF: (Span, Span) = (Span::from_millis(16), Span::from_millis(128));

/// Shortest timeout for the acknowledgement of a write: enough for a query to one replica
/// and, if that one does not hold the write, to one in another region, through a pooler.
const MIN_ACK_WAIT: Span = Span::from_millis(300);

/// A statement whose response was lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lost;

impl Lost {
    /// Reports the loss to the group and logs it.
    pub(super) fn new(checkout: &CheckedOut, job: &Job, e: &ConnError) -> Self {
        checkout.record_feedback(Feedback::Silent);
        tracing::warn!(id = %job.id, instance = %checkout.instance, cause = %e, "a response was lost");
        Self
    }

    /// The failure of a statement without a lasting effect: it only read, or its transaction
    /// can no longer be committed, since the instance rolls it back with the connection.
    pub(super) const fn no_effect(self) -> Failure {
        Failure::LostNoEffect
    }

    /// The failure of a statement that may have taken effect.
    pub(super) const fn in_doubt(self) -> Failure {
        Failure::LostInDoubt
    }

    /// The failure of a commit: only a transaction that wrote may have taken effect.
    pub(super) const fn of_commit(self, wrote: bool) -> Failure {
        if wrote {
            self.in_doubt()
        } else {
            self.no_effect()
        }
    }
}

/// Sends one statement and waits for its response. With `stalls`, a late response is reported
/// as a sign of a primary that cannot reach its replicas.
pub(super) async fn send(
    checkout: &mut CheckedOut,
    job: &Job,
    after: Option<Point>,
    payload: &Payload,
    stalls: bool,
    limit: Span,
) -> Result<Response, Lost> {
    let (instance, note) = (checkout.instance.clone(), checkout.feedback_sender());
    let result = {
        let Some(conn) = checkout.conn() else {
            return Err(Lost);
        };
        let mut buf = Vec::new();
        if !conn::put_statement(conn, &mut buf, &job.id, after, payload) {
            return Err(Lost);
        }
        let run = conn.run(buf, limit.as_duration()).fuse();
        futures_util::pin_mut!(run);
        if stalls {
            let slow = compio::time::sleep(WRITE_STALL.as_duration()).fuse();
            futures_util::pin_mut!(slow);
            futures_util::select_biased! {
                result = run => result,
                () = slow => {
                    tracing::info!(id = %job.id, %instance, "a write has no response yet");
                    note(Feedback::WriteStalls);
                    run.await
                }
            }
        } else {
            run.await
        }
    };
    result.map_err(|e| Lost::new(checkout, job, &e))
}

/// Records that a response shows the instance to be the primary.
pub(super) fn record_proof(checkout: &mut CheckedOut, since: Time, response: &Response) {
    if let Some(conn) = checkout.conn() {
        conn.record_proof(since, response);
    }
}

/// Releases a connection and, if `until` is set, waits for a replica to acknowledge the write
/// that ended at `point`.
pub(super) async fn release_acknowledged(
    checkout: CheckedOut,
    point: Option<Point>,
    until: Option<Time>,
) -> Result<(), Failure> {
    let Some(until) = until else {
        checkout.release();
        return Ok(());
    };
    let Some(point) = point else {
        tracing::warn!(instance = %checkout.instance, "the response to a write has no position");
        return Err(Failure::Unacknowledged);
    };
    // A response just before the statement's deadline leaves too little time, so the reply
    // may come after the deadline.
    let until = until.max(clock::now() + MIN_ACK_WAIT);
    match checkout.release_and_await_ack(point, until).await {
        true => Ok(()),
        false => Err(Failure::Unacknowledged),
    }
}

/// Reports to the group what an error code shows about the instance.
pub(super) fn report_rejection(checkout: &CheckedOut, code: Code) {
    match code {
        Code::ReadOnly => checkout.record_feedback(Feedback::ReadOnly),
        Code::Behind => {
            if let Some(point) = checkout.after {
                checkout.record_feedback(Feedback::Lacks(point));
            }
        }
        Code::Busy => checkout.record_feedback(Feedback::Busy),
        _ => {}
    }
}

/// Releases a connection on which a transaction was rejected, which leaves it unchanged.
/// After any other rejection the state that the instance holds for it is unknown, so it is
/// closed.
pub(super) fn release_after_rejection(mut checkout: CheckedOut, code: Code) {
    let begin_rejected = matches!(code, Code::Behind | Code::ReadOnly | Code::Busy);
    let idle = checkout.conn().is_some_and(|c| c.is_idle());
    if begin_rejected && idle {
        checkout.release();
    }
}

/// Why an attempt has no result.
#[derive(Clone, Copy)]
pub(super) enum AttemptFailure {
    /// The statement did not run; it may be retried on another instance.
    NotRun(Code),
    /// The response was lost; only a read may be retried.
    NoResponse(Lost),
    /// The failure is reported to the caller; no retry.
    Final(Failure),
}

impl AttemptFailure {
    /// The failure of a read, which never has a lasting effect.
    pub(super) fn into_read_failure(self) -> Failure {
        match self {
            Self::NotRun(code) => Failure::Instance(code),
            Self::NoResponse(lost) => lost.no_effect(),
            Self::Final(failure) => failure,
        }
    }
}

impl Session {
    /// Runs a statement, inside the open transaction if there is one.
    pub(super) async fn run_statement(
        &mut self,
        job: &Job,
        access: Access,
        payload: Payload,
    ) -> Result<Outcome, Failure> {
        if !self.tx.is_none() {
            return self.run_in_tx(job, access, &payload).await;
        }
        let target = self.target()?;
        match access {
            Access::Read => self.read(job, payload, &target).await,
            Access::Write => self.write(job, &payload, &target).await,
        }
    }

    async fn write(
        &mut self,
        job: &Job,
        payload: &Payload,
        target: &Target,
    ) -> Result<Outcome, Failure> {
        let route = &target.route;
        let deadline = job.arrived + route.time_limit;
        let mut last = Failure::Instance(Code::Busy);
        let mut attempts = Attempts::default();
        let mut admission = self.admit(target)?;
        while attempts.any_left() {
            let request = request(job, Kind::Write, target, self.own_write);
            let checkout = self.checkout(target, request, &mut admission, false);
            let checkout = checkout.await?;
            let instance = checkout.instance.clone();
            let attempt = Attempt {
                job,
                payload,
                values: &self.values,
                access: Access::Write,
                limit: route.time_limit,
                ack_deadline: self.ack_deadline(route, deadline),
            };
            match attempt.run(checkout).await {
                Ok(outcome) => {
                    self.own_write = self.own_write.max(outcome.point);
                    return Ok(outcome);
                }
                Err(AttemptFailure::NotRun(code)) => {
                    job.may_take_effect.set(false);
                    admission.did_not_run();
                    tracing::info!(id = %job.id, %instance, ?code, failed = attempts.failed, busy = attempts.busy, "a write did not run");
                    last = Failure::Instance(code);
                    attempts.record_not_run(code).await;
                }
                Err(AttemptFailure::NoResponse(lost)) => return Err(lost.in_doubt()),
                Err(AttemptFailure::Final(failure)) => return Err(failure),
            }
            if clock::now() >= deadline {
                break;
            }
        }
        Err(last)
    }
}

/// Counts the attempts of one statement against `MAX_ATTEMPTS`. A busy instance does not count:
/// the statement waits and retries until its deadline. Nor does an instance whose log lacks
/// the required point: the statement is retried on another one at once.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Attempts {
    /// Attempts that did not run, or whose response was lost.
    pub(super) failed: u32,
    /// Rejections by busy instances.
    pub(super) busy: u32,
}

impl Attempts {
    pub(super) const fn any_left(self) -> bool {
        self.failed < MAX_ATTEMPTS
    }

    /// Counts an attempt that did not run; after a busy instance, waits before the next one.
    pub(super) async fn record_not_run(&mut self, code: Code) {
        match code {
            Code::Busy => {}
            Code::Behind => return,
            _ => {
                self.failed += 1;
                return;
            }
        }
        let pause = BUSY_BACKOFF.0.times(1 << self.busy.min(8));
        let pause = pause.min(BUSY_BACKOFF.1).as_micros();
        self.busy += 1;
        let pause = rand::rng().random_range(pause / 2..=pause);
        compio::time::sleep(Duration::from_micros(pause)).await;
    }

    /// Counts an attempt whose response was lost.
    pub(super) const fn lost(&mut self) {
        self.failed += 1;
    }
}

/// The request for a connection for a statement.
pub(super) fn request(
    job: &Job,
    kind: Kind,
    target: &Target,
    own_write: Option<Point>,
) -> ConnRequest {
    let Target {
        route,
        customer,
        customer_priority,
    } = target;
    ConnRequest {
        kind,
        customer: customer.clone(),
        customer_priority: *customer_priority,
        own_write,
        arrived: job.arrived,
        objective: route.objective,
        deadline: job.arrived + route.time_limit,
        priority: route.priority,
        avoid: None,
        may_wait: false,
    }
}

/// One attempt of a statement outside a transaction.
pub(super) struct Attempt<'a> {
    pub(super) job: &'a Job,
    pub(super) payload: &'a Payload,
    pub(super) values: &'a Values,
    pub(super) access: Access,
    pub(super) limit: Span,
    /// Until when a successful write waits for a replica's acknowledgement, if it needs one.
    pub(super) ack_deadline: Option<Time>,
}

impl Attempt<'_> {
    /// Runs the statement on a connection and releases the connection.
    pub(super) async fn run(&self, mut checkout: CheckedOut) -> Result<Outcome, AttemptFailure> {
        let setup = Setup {
            values: Some(self.values),
            shape: self.payload.shape(),
            begin: None,
            verify_primary: checkout.verify_primary,
        };
        let after = checkout.after;
        let Some(conn) = checkout.conn() else {
            return Err(AttemptFailure::NotRun(Code::Busy));
        };
        match conn.set_up(setup, self.limit.as_duration()).await {
            Ok(SetupOutcome::Ready) => {}
            Ok(SetupOutcome::Rejected(code)) => {
                report_rejection(&checkout, code);
                release_after_rejection(checkout, code);
                return Err(AttemptFailure::NotRun(code));
            }
            Err(e) => {
                Lost::new(&checkout, self.job, &e);
                return Err(AttemptFailure::NotRun(Code::Aborted));
            }
        }
        let since = clock::now();
        let writes = self.access == Access::Write;
        self.job.may_take_effect.set(writes);
        let response = send(
            &mut checkout,
            self.job,
            after,
            self.payload,
            writes,
            self.limit,
        )
        .await;
        let response = response.map_err(AttemptFailure::NoResponse)?;
        self.settle(checkout, since, response).await
    }

    async fn settle(
        &self,
        mut checkout: CheckedOut,
        since: Time,
        response: Response,
    ) -> Result<Outcome, AttemptFailure> {
        let Some(code) = response.code else {
            if self.access == Access::Write {
                record_proof(&mut checkout, since, &response);
                checkout.record_feedback(Feedback::Wrote);
            }
            let outcome = Outcome {
                lines: response.lines,
                point: response.point,
                instance: Some(checkout.instance.clone()),
            };
            release_acknowledged(checkout, outcome.point, self.ack_deadline)
                .await
                .map_err(AttemptFailure::Final)?;
            return Ok(outcome);
        };
        report_rejection(&checkout, code);
        if code == Code::NotPrepared
            && let Some(conn) = checkout.conn()
        {
            conn.clear_prepared();
        }
        if response.state == TxState::Idle {
            checkout.release();
        }
        let not_run = matches!(
            code,
            Code::Busy | Code::NotPrepared | Code::Behind | Code::ReadOnly
        );
        Err(if not_run {
            AttemptFailure::NotRun(code)
        } else {
            AttemptFailure::Final(Failure::Instance(code))
        })
    }
}
