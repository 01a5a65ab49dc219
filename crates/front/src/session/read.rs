//! Reads outside a transaction: they may be retried on another instance, also while the
//! first attempt has no response yet (a hedged read).

use std::pin::Pin;
use std::rc::Rc;

use futures_util::FutureExt as _;
use futures_util::future::{self, Either};
use model::id::InstanceId;
use model::statement::{Access, Code};
use model::unit::Span;
use policy::pool::{ConnRequest, Kind};

use super::attempt::{self, Attempt, AttemptFailure, Attempts};
use super::{Failure, Job, Outcome, Session, Target};
use crate::clock;
use crate::conn::{Payload, Values};
use crate::group::CheckedOut;

/// Time without a response after which a read is also sent to another instance. If an
/// instance is unreachable or loses responses, each of its reads would otherwise wait for the
/// whole time limit of 800 ms or more and then fail. Reads take some tens of milliseconds, and
/// about 200 ms behind a full queue.
const HEDGE_DELAY: Span = Span::from_millis(300);

/// An attempt that owns its data, so that it can complete in the background: its connection is
/// then released instead of closed.
type RunningAttempt = Pin<Box<dyn Future<Output = Result<Outcome, AttemptFailure>>>>;

impl Session {
    pub(super) async fn read(
        &self,
        job: &Job,
        payload: Payload,
        target: &Target,
    ) -> Result<Outcome, Failure> {
        let route = &target.route;
        let deadline = job.arrived + route.time_limit;
        let mut avoid: Option<InstanceId> = None;
        let mut slow: Option<RunningAttempt> = None;
        let mut last = Failure::Instance(Code::Busy);
        let mut attempts = Attempts::default();
        let mut admission = self.admit(target)?;
        while attempts.any_left() {
            let kind = Kind::Read(route.guarantee);
            let request = ConnRequest {
                avoid: avoid.take(),
                ..attempt::request(job, kind, target, self.own_write)
            };
            let checkout = self.checkout(target, request, &mut admission, slow.is_some());
            let checkout = match checkout.await {
                Ok(checkout) => checkout,
                Err(failure) => return result_of(slow, failure).await,
            };
            avoid = Some(checkout.instance.clone());
            let new = run(
                job.clone(),
                payload.clone(),
                self.values.clone(),
                route.time_limit,
                checkout,
            );
            let result = match slow.take() {
                Some(first) => first_success(first, new).await,
                None => match within_hedge_delay(new).await {
                    Ok(result) => result,
                    Err(running) => {
                        attempts.lost();
                        tracing::info!(id = %job.id, instance = avoid.as_ref().map(tracing::field::display), "a read is sent to another instance as well");
                        slow = Some(running);
                        continue;
                    }
                },
            };
            match result {
                Ok(outcome) => return Ok(outcome),
                Err(AttemptFailure::Final(failure)) => return Err(failure),
                Err(failure) => {
                    last = failure.into_read_failure();
                    log_failure(job, avoid.as_ref(), attempts, last);
                    match failure {
                        AttemptFailure::NotRun(code) => {
                            admission.did_not_run();
                            attempts.record_not_run(code).await;
                        }
                        AttemptFailure::NoResponse(_) | AttemptFailure::Final(_) => attempts.lost(),
                    }
                }
            }
            if clock::now() >= deadline {
                break;
            }
        }
        Err(last)
    }
}

/// The result of an attempt that still runs, or `failure` if there is none.
async fn result_of(running: Option<RunningAttempt>, failure: Failure) -> Result<Outcome, Failure> {
    match running {
        Some(running) => running.await.map_err(AttemptFailure::into_read_failure),
        None => Err(failure),
    }
}

fn log_failure(job: &Job, instance: Option<&InstanceId>, attempts: Attempts, cause: Failure) {
    tracing::info!(id = %job.id, instance = instance.map(tracing::field::display), failed = attempts.failed, busy = attempts.busy, %cause, "an attempt of a read failed");
}

fn run(
    job: Job,
    payload: Payload,
    values: Rc<Values>,
    limit: Span,
    checkout: CheckedOut,
) -> RunningAttempt {
    Box::pin(async move {
        let attempt = Attempt {
            job: &job,
            payload: &payload,
            values: &values,
            access: Access::Read,
            limit,
            ack_deadline: None,
        };
        attempt.run(checkout).await
    })
}

/// Waits up to `HEDGE_DELAY` for an attempt; returns the attempt if it still runs.
async fn within_hedge_delay(
    running: RunningAttempt,
) -> Result<Result<Outcome, AttemptFailure>, RunningAttempt> {
    let timer = compio::time::sleep(HEDGE_DELAY.as_duration()).boxed_local();
    match future::select(running, timer).await {
        Either::Left((result, _)) => Ok(result),
        Either::Right(((), running)) => Err(running),
    }
}

/// Returns the first successful result of two attempts; the other attempt completes in the
/// background.
async fn first_success(
    first: RunningAttempt,
    second: RunningAttempt,
) -> Result<Outcome, AttemptFailure> {
    let (result, other) = match future::select(first, second).await {
        Either::Left(finished) => finished,
        Either::Right(finished) => finished,
    };
    if result.is_ok() {
        compio::runtime::spawn(other).detach();
        return result;
    }
    other.await
}
