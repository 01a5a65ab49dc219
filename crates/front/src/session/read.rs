//! Reads outside a transaction: they may be tried again on another instance, also while
//! the first attempt has no answer yet.

use std::pin::Pin;
use std::rc::Rc;

use futures_util::FutureExt as _;
use futures_util::future::{self, Either};
use model::id::InstanceId;
use model::route::Route;
use model::statement::{Access, Code};
use model::unit::Span;
use policy::pool::Kind;

use super::attempt::{self, Miss, Sending, Tries};
use super::{Done, Failure, Job, Session};
use crate::clock;
use crate::conn::{Values, What};
use crate::group::CheckedOut;

/// Time after which a read without an answer is tried on another instance as well. Load:
/// an instance that went dark, or loses answers. Harm without it: each such read waits for
/// its whole time limit of 800 ms and more, and is then refused. Reads take some tens of
/// milliseconds, with a full queue before them about 200 ms.
const OVERTAKE: Span = Span::from_millis(300);

/// An attempt that owns all it needs, so that it can go on when nobody waits for it: its
/// connection then comes back instead of being broken off.
type Running = Pin<Box<dyn Future<Output = Result<Done, Miss>>>>;

impl Session {
    pub(super) async fn read(&self, job: &Job, what: What, route: &Route) -> Result<Done, Failure> {
        let give_up = job.arrived + route.time_limit;
        let mut avoid: Option<InstanceId> = None;
        let mut late: Option<Running> = None;
        let mut last = Failure::Instance(Code::Busy);
        let mut tries = Tries::default();
        while tries.left() {
            let mut ask = attempt::ask(job, Kind::Read(route.guarantee), route, self.own);
            ask.avoid = avoid.take();
            let lent = match self.cx.lend(&route.group, ask).await {
                Ok(lent) => lent,
                Err(refused) => {
                    return match late {
                        Some(late) => late.await.map_err(Miss::of_read),
                        None => Err(refused.into()),
                    };
                }
            };
            avoid = Some(lent.instance.clone());
            let new = run(
                job.clone(),
                what.clone(),
                self.values.clone(),
                route.time_limit,
                lent,
            );
            let end = match late.take() {
                Some(first) => either(first, new).await,
                None => match soon(new).await {
                    Ok(end) => end,
                    Err(running) => {
                        tries.lost();
                        tracing::info!(id = %job.id, instance = avoid.as_ref().map(tracing::field::display), "a read is tried on another instance as well");
                        late = Some(running);
                        continue;
                    }
                },
            };
            match end {
                Ok(done) => return Ok(done),
                Err(Miss::Final(failure)) => return Err(failure),
                Err(miss) => {
                    last = miss.of_read();
                    tracing::info!(id = %job.id, instance = avoid.as_ref().map(tracing::field::display), failed = tries.failed, busy = tries.busy, cause = %last, "a read has no result yet");
                    match miss {
                        Miss::NotRun(code) => tries.missed(code).await,
                        Miss::Unanswered(_) | Miss::Final(_) => tries.lost(),
                    }
                }
            }
            if clock::now() >= give_up {
                break;
            }
        }
        Err(last)
    }
}

fn run(job: Job, what: What, values: Rc<Values>, limit: Span, lent: CheckedOut) -> Running {
    Box::pin(async move {
        let sending = Sending {
            job: &job,
            what: &what,
            values: &values,
            access: Access::Read,
            limit,
            prove_until: None,
        };
        sending.run(lent).await
    })
}

/// Waits for an attempt for a while; gives it back if it has not ended by then.
async fn soon(running: Running) -> Result<Result<Done, Miss>, Running> {
    let timer = compio::time::sleep(OVERTAKE.as_duration()).boxed_local();
    match future::select(running, timer).await {
        Either::Left((end, _)) => Ok(end),
        Either::Right(((), running)) => Err(running),
    }
}

/// Waits for the first of two attempts that has a result; the other one runs on by itself.
async fn either(first: Running, second: Running) -> Result<Done, Miss> {
    let (end, other) = match future::select(first, second).await {
        Either::Left(ended) => ended,
        Either::Right(ended) => ended,
    };
    if end.is_ok() {
        compio::runtime::spawn(other).detach();
        return end;
    }
    other.await
}
