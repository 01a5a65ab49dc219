//! Transactions: one connection from the first statement to the end.

use model::route::Route;
use model::statement::{Access, Code, TxState};
use model::unit::{Span, Time};
use policy::pool::{ConnRequest, Kind};

use super::attempt::{self, Lost, Tries};
use super::{Done, Failure, Job, Session};
use crate::clock;
use crate::conn::{Setting, Setup, What};
use crate::group::{CheckedOut, Feedback};

/// Longest wait for a connection to drop a transaction; then it is closed, which drops
/// the transaction as well.
const ROLL_BACK_LIMIT: Span = Span::from_millis(500);

/// Tries of a statement whose instance has no slot; the transaction cannot go elsewhere.
const BUSY_TRIES: u32 = 4;

/// Pause before such a try; slots are free again after a statement of 6 to 40 ms.
const BUSY_PAUSE: Span = Span::from_millis(20);

/// A session's transaction.
pub(super) enum Tx {
    /// None is open.
    None,
    /// Opened by the caller; it gets its connection with its first statement, so that a
    /// pause before that holds none.
    Pending(Access, Time, Box<Route>),
    /// It runs on a connection.
    Open(Box<Open>),
    /// It failed; whatever it did is dropped.
    Failed,
}

pub(super) struct Open {
    lent: CheckedOut,
    route: Route,
    wrote: bool,
    access: Access,
}

impl Tx {
    pub(super) fn state(&self) -> TxState {
        match self {
            Self::None => TxState::Idle,
            Self::Pending(..) | Self::Open(_) => TxState::Open,
            Self::Failed => TxState::Failed,
        }
    }

    pub(super) fn is_none(&self) -> bool {
        matches!(self, Self::None)
    }

    pub(super) fn has_failed(&self) -> bool {
        matches!(self, Self::Failed)
    }

    pub(super) fn holds_connection(&self) -> bool {
        matches!(self, Self::Open(_))
    }

    /// Marks an open transaction as failed. Its connection is closed: a transaction that
    /// fails on a name of its own is rare, and closing drops it for certain.
    pub(super) fn mark_failed(&mut self) {
        if !self.is_none() {
            *self = Self::Failed;
        }
    }

    /// Drops an open transaction on the proxy's own account; the caller learns it from the
    /// answer to its next statement.
    pub(super) async fn fail(&mut self, cause: &'static str) {
        if self.is_none() || self.has_failed() {
            return;
        }
        tracing::info!(cause, "a transaction was ended");
        if let Self::Open(open) = std::mem::replace(self, Self::Failed) {
            open.drop_work().await;
        }
    }

    /// Drops an open transaction because nobody is there any more.
    pub(super) async fn give_up(&mut self, cause: &'static str) {
        if let Self::Open(open) = std::mem::replace(self, Self::None) {
            tracing::debug!(cause, "a transaction was dropped");
            open.drop_work().await;
        }
    }
}

impl Open {
    async fn drop_work(mut self: Box<Self>) {
        let limit = ROLL_BACK_LIMIT.as_duration();
        let Some(conn) = self.lent.conn() else { return };
        match conn.roll_back(limit).await {
            Ok(()) => self.lent.release(),
            Err(e) => {
                // Dropping the connection closes it, and the instance drops the work.
                tracing::info!(instance = %self.lent.instance, cause = %e, "a transaction was dropped with its connection");
            }
        }
    }
}

impl Session {
    pub(super) fn begin(&mut self, job: &Job, access: Access) -> Result<Done, Failure> {
        if !self.tx.is_none() {
            self.tx.mark_failed();
            return Err(Failure::Malformed);
        }
        let route = self.route()?;
        self.tx = Tx::Pending(access, job.arrived, Box::new(route));
        Ok(Done::default())
    }

    pub(super) async fn roll_back(&mut self) -> Result<Done, Failure> {
        match std::mem::replace(&mut self.tx, Tx::None) {
            Tx::None => return Err(Failure::Malformed),
            Tx::Pending(..) | Tx::Failed => {}
            Tx::Open(open) => open.drop_work().await,
        }
        Ok(Done::default())
    }

    pub(super) async fn commit(&mut self, job: &Job) -> Result<Done, Failure> {
        match &self.tx {
            Tx::None => return Err(Failure::Malformed),
            Tx::Failed => {
                self.tx = Tx::None;
                return Err(Failure::Ended("it had failed before"));
            }
            Tx::Pending(access, arrived, route) => {
                let (access, arrived, route) = (*access, *arrived, route.clone());
                if let Err(failure) = self.open(job, access, arrived, &route, None).await {
                    self.tx = Tx::None;
                    return Err(failure);
                }
            }
            Tx::Open(_) => {}
        }
        let Tx::Open(open) = std::mem::replace(&mut self.tx, Tx::None) else {
            return Err(Failure::Malformed);
        };
        self.commit_on(job, *open).await
    }

    async fn commit_on(&mut self, job: &Job, mut open: Open) -> Result<Done, Failure> {
        let limit = open.route.time_limit;
        for attempt in 0..BUSY_TRIES {
            let since = clock::now();
            let what = What::Text(job.text.clone());
            let answer = attempt::send(&mut open.lent, job, None, &what, open.wrote, limit).await;
            let answer = match answer {
                Ok(answer) => answer,
                Err(lost) => return Err(lost.of_commit(open.wrote)),
            };
            match answer.code {
                None => {
                    if open.wrote {
                        self.own = self.own.max(answer.point);
                        attempt::note_proof(&mut open.lent, since, &answer);
                        open.lent.record_feedback(Feedback::Wrote);
                    }
                    let done = Done {
                        lines: answer.lines,
                        point: answer.point,
                        instance: Some(open.lent.instance.clone()),
                    };
                    let until = self.prove_until(&open.route, job.arrived + limit);
                    attempt::prove(open.lent, done.point, until.filter(|_| open.wrote)).await?;
                    return Ok(done);
                }
                Some(Code::Busy) if answer.state == TxState::Open && attempt + 1 < BUSY_TRIES => {
                    compio::time::sleep(BUSY_PAUSE.as_duration()).await;
                }
                Some(code) => {
                    if code == Code::ReadOnly {
                        open.lent.record_feedback(Feedback::ReadOnly);
                    }
                    if answer.state == TxState::Idle {
                        open.lent.release();
                    } else {
                        Box::new(open).drop_work().await;
                    }
                    return Err(Failure::Instance(code));
                }
            }
        }
        Err(Failure::Instance(Code::Busy))
    }

    /// Runs a statement inside the open transaction.
    pub(super) async fn run_in_tx(
        &mut self,
        job: &Job,
        access: Access,
        what: &What,
    ) -> Result<Done, Failure> {
        let result = self.try_in_tx(job, access, what).await;
        if result.is_err()
            && let Tx::Open(open) = std::mem::replace(&mut self.tx, Tx::Failed)
        {
            open.drop_work().await;
        }
        result
    }

    async fn try_in_tx(&mut self, job: &Job, access: Access, what: &What) -> Result<Done, Failure> {
        if let Tx::Pending(opened, arrived, route) = &self.tx {
            let (opened, arrived, route) = (*opened, *arrived, route.clone());
            let shape = what.shape();
            self.open(job, opened, arrived, &route, shape).await?;
        }
        let Tx::Open(open) = &mut self.tx else {
            return Err(Failure::Malformed);
        };
        let setup = Setup {
            values: Some(&self.values),
            shape: what.shape(),
            begin: None,
            prove: false,
        };
        let limit = open.route.time_limit;
        let Some(conn) = open.lent.conn() else {
            return Err(Failure::LostUnkept);
        };
        match conn.set_up(setup, limit.as_duration()).await {
            Ok(Setting::Ready) => {}
            Ok(Setting::Refused(code)) => return Err(Failure::Instance(code)),
            Err(e) => return Err(Lost::new(&open.lent, job, &e).unkept()),
        }
        open.wrote |= access == Access::Write;
        for attempt in 0..BUSY_TRIES {
            let since = clock::now();
            let answer = attempt::send(&mut open.lent, job, None, what, false, limit).await;
            let answer = answer.map_err(Lost::unkept)?;
            match answer.code {
                None => {
                    if open.access == Access::Write {
                        attempt::note_proof(&mut open.lent, since, &answer);
                        open.lent.report_proof();
                    }
                    return Ok(Done {
                        lines: answer.lines,
                        point: answer.point,
                        instance: Some(open.lent.instance.clone()),
                    });
                }
                Some(Code::Busy) if answer.state == TxState::Open && attempt + 1 < BUSY_TRIES => {
                    compio::time::sleep(BUSY_PAUSE.as_duration()).await;
                }
                Some(code) => {
                    if code == Code::ReadOnly {
                        open.lent.record_feedback(Feedback::ReadOnly);
                    }
                    return Err(Failure::Instance(code));
                }
            }
        }
        Err(Failure::Instance(Code::Busy))
    }

    /// Opens the transaction on a connection.
    async fn open(
        &mut self,
        job: &Job,
        access: Access,
        arrived: Time,
        route: &Route,
        shape: Option<&model::statement::Shape>,
    ) -> Result<(), Failure> {
        let give_up = job.arrived + route.time_limit;
        let mut avoid = None;
        let mut tries = Tries::default();
        while tries.left() {
            let kind = match access {
                Access::Write => Kind::Write,
                Access::Read => Kind::Read(route.guarantee),
            };
            let ask = ConnRequest {
                kind,
                own_write: self.own,
                arrived,
                deadline: give_up,
                priority: route.priority,
                avoid: avoid.take(),
                may_wait: false,
            };
            let mut lent = self.cx.lend(&route.group, ask).await?;
            let setup = Setup {
                values: Some(&self.values),
                shape,
                begin: Some((access, lent.after)),
                prove: lent.verify_primary,
            };
            let (after, prove) = (lent.after, lent.verify_primary);
            let Some(conn) = lent.conn() else { continue };
            let set = conn.set_up(setup, route.time_limit.as_duration()).await;
            match set {
                Ok(Setting::Ready) => {
                    lent.report_proof();
                    let open = Open {
                        lent,
                        route: route.clone(),
                        wrote: false,
                        access,
                    };
                    self.tx = Tx::Open(Box::new(open));
                    return Ok(());
                }
                Ok(Setting::Refused(code)) => {
                    attempt::learn(&lent, code);
                    tracing::info!(id = %job.id, instance = %lent.instance, ?code, after = after.map(tracing::field::display), prove, failed = tries.failed, busy = tries.busy, "a transaction was not opened");
                    avoid = Some(lent.instance.clone());
                    attempt::after_refusal(lent, code);
                    tries.missed(code).await;
                }
                Err(e) => {
                    let lost = Lost::new(&lent, job, &e);
                    avoid = Some(lent.instance.clone());
                    tries.lost();
                    if !tries.left() {
                        return Err(lost.unkept());
                    }
                }
            }
        }
        Err(Failure::Instance(Code::Busy))
    }
}
