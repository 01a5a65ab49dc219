//! Transactions: each uses one connection from its first statement to its end.

use model::statement::{Access, Code, TxState};
use model::unit::{Span, Time};
use policy::pool::{ConnRequest, Kind};

use super::attempt::{self, Attempts, Lost};
use super::{Failure, Job, Outcome, Session, Target};
use crate::clock;
use crate::conn::{Payload, Setup, SetupOutcome};
use crate::group::{CheckedOut, Feedback};

/// Longest wait for a rollback; after it the connection is closed, which rolls the transaction
/// back as well.
const ROLLBACK_TIMEOUT: Span = Span::from_millis(500);

/// Attempts of a statement whose instance is busy; an open transaction cannot change instances.
const BUSY_ATTEMPTS: u32 = 4;

/// Delay before such a retry; a statement occupies a slot for 6 to 40 ms.
const BUSY_PAUSE: Span = Span::from_millis(20);

/// A session's transaction.
pub(super) enum Tx {
    /// None is open.
    None,
    /// Begun by the caller, without a connection yet: it is checked out for the first statement,
    /// so that a pause before that occupies none.
    Pending(Access, Time, Box<Target>),
    /// It runs on a connection.
    Open(Box<OpenTx>),
    /// Failed; its work is rolled back. The cause is present until the caller was told that the
    /// proxy aborted it.
    Failed(Option<&'static str>),
}

pub(super) struct OpenTx {
    lent: CheckedOut,
    target: Target,
    wrote: bool,
    access: Access,
}

impl Tx {
    pub(super) fn state(&self) -> TxState {
        match self {
            Self::None => TxState::Idle,
            Self::Pending(..) | Self::Open(_) => TxState::Open,
            Self::Failed(_) => TxState::Failed,
        }
    }

    pub(super) fn is_none(&self) -> bool {
        matches!(self, Self::None)
    }

    pub(super) fn has_failed(&self) -> bool {
        matches!(self, Self::Failed(_))
    }

    pub(super) fn holds_connection(&self) -> bool {
        matches!(self, Self::Open(_))
    }

    /// Marks an open transaction as failed and closes its connection, which reliably rolls it
    /// back. That costs a connection, but such failures (an unknown prepared statement, a second
    /// BEGIN) are rare.
    pub(super) fn mark_failed(&mut self) {
        if !self.is_none() {
            *self = Self::Failed(None);
        }
    }

    /// Takes the cause for which the proxy aborted the transaction, if the caller does not know it.
    pub(super) fn take_abort_cause(&mut self) -> Option<&'static str> {
        match self {
            Self::Failed(cause) => cause.take(),
            Self::None | Self::Pending(..) | Self::Open(_) => None,
        }
    }

    /// Aborts an open transaction on the proxy's own initiative; the caller finds out by the reply
    /// to its next statement.
    pub(super) async fn abort(&mut self, cause: &'static str) {
        if self.is_none() || self.has_failed() {
            return;
        }
        tracing::info!(cause, "a transaction was aborted");
        if let Self::Open(open) = std::mem::replace(self, Self::Failed(Some(cause))) {
            open.roll_back().await;
        }
    }

    /// Rolls back an open transaction whose caller has disconnected.
    pub(super) async fn abandon(&mut self, cause: &'static str) {
        if let Self::Open(open) = std::mem::replace(self, Self::None) {
            tracing::debug!(cause, "a transaction is rolled back");
            open.roll_back().await;
        }
    }
}

impl OpenTx {
    async fn roll_back(mut self: Box<Self>) {
        let limit = ROLLBACK_TIMEOUT.as_duration();
        let Some(conn) = self.lent.conn() else { return };
        match conn.roll_back(limit).await {
            Ok(()) => self.lent.release(),
            Err(e) => {
                // Dropping `lent` closes the connection, and the instance rolls back.
                tracing::info!(instance = %self.lent.instance, cause = %e, "a transaction could not be rolled back; its connection is closed");
            }
        }
    }
}

impl Session {
    pub(super) fn begin(&mut self, job: &Job, access: Access) -> Result<Outcome, Failure> {
        if !self.tx.is_none() {
            self.tx.mark_failed();
            return Err(Failure::Malformed);
        }
        let target = self.target()?;
        self.tx = Tx::Pending(access, job.arrived, Box::new(target));
        Ok(Outcome::default())
    }

    pub(super) async fn roll_back(&mut self) -> Result<Outcome, Failure> {
        match std::mem::replace(&mut self.tx, Tx::None) {
            Tx::None => return Err(Failure::Malformed),
            Tx::Pending(..) | Tx::Failed(_) => {}
            Tx::Open(open) => open.roll_back().await,
        }
        Ok(Outcome::default())
    }

    pub(super) async fn commit(&mut self, job: &Job) -> Result<Outcome, Failure> {
        match &self.tx {
            Tx::None => return Err(Failure::Malformed),
            Tx::Failed(cause) => {
                let failure = Failure::Aborted(cause.unwrap_or("it had failed before"));
                self.tx = Tx::None;
                return Err(failure);
            }
            Tx::Pending(access, arrived, target) => {
                let (access, arrived, target) = (*access, *arrived, target.clone());
                if let Err(failure) = self.open(job, access, arrived, &target, None).await {
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

    async fn commit_on(&mut self, job: &Job, mut open: OpenTx) -> Result<Outcome, Failure> {
        let limit = open.target.route.time_limit;
        job.may_take_effect.set(open.wrote);
        for attempt in 0..BUSY_ATTEMPTS {
            let since = clock::now();
            let payload = Payload::Text(job.text.clone());
            let response =
                attempt::send(&mut open.lent, job, None, &payload, open.wrote, limit).await;
            let response = match response {
                Ok(response) => response,
                Err(lost) => return Err(lost.of_commit(open.wrote)),
            };
            match response.code {
                None => {
                    if open.wrote {
                        self.own_write = self.own_write.max(response.point);
                        attempt::record_proof(&mut open.lent, since, &response);
                        open.lent.record_feedback(Feedback::Wrote);
                    }
                    let outcome = Outcome {
                        lines: response.lines,
                        point: response.point,
                        instance: Some(open.lent.instance.clone()),
                    };
                    let until = self.ack_deadline(&open.target.route, job.arrived + limit);
                    attempt::release_acknowledged(
                        open.lent,
                        outcome.point,
                        until.filter(|_| open.wrote),
                    )
                    .await?;
                    return Ok(outcome);
                }
                Some(Code::Busy)
                    if response.state == TxState::Open && attempt + 1 < BUSY_ATTEMPTS =>
                {
                    compio::time::sleep(BUSY_PAUSE.as_duration()).await;
                }
                Some(code) => {
                    if code == Code::ReadOnly {
                        open.lent.record_feedback(Feedback::ReadOnly);
                    }
                    if response.state == TxState::Idle {
                        open.lent.release();
                    } else {
                        Box::new(open).roll_back().await;
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
        payload: &Payload,
    ) -> Result<Outcome, Failure> {
        let result = self.try_in_tx(job, access, payload).await;
        if result.is_err()
            && let Tx::Open(open) = std::mem::replace(&mut self.tx, Tx::Failed(None))
        {
            open.roll_back().await;
        }
        result
    }

    async fn try_in_tx(
        &mut self,
        job: &Job,
        access: Access,
        payload: &Payload,
    ) -> Result<Outcome, Failure> {
        if let Tx::Pending(opened, arrived, target) = &self.tx {
            let (opened, arrived, target) = (*opened, *arrived, target.clone());
            let shape = payload.shape();
            self.open(job, opened, arrived, &target, shape).await?;
        }
        let Tx::Open(open) = &mut self.tx else {
            return Err(Failure::Malformed);
        };
        let setup = Setup {
            values: Some(&self.values),
            shape: payload.shape(),
            begin: None,
            verify_primary: false,
        };
        let limit = open.target.route.time_limit;
        let Some(conn) = open.lent.conn() else {
            return Err(Failure::LostNoEffect);
        };
        match conn.set_up(setup, limit.as_duration()).await {
            Ok(SetupOutcome::Ready) => {}
            Ok(SetupOutcome::Rejected(code)) => return Err(Failure::Instance(code)),
            Err(e) => return Err(Lost::new(&open.lent, job, &e).no_effect()),
        }
        open.wrote |= access == Access::Write;
        for attempt in 0..BUSY_ATTEMPTS {
            let since = clock::now();
            let response = attempt::send(&mut open.lent, job, None, payload, false, limit).await;
            let response = response.map_err(Lost::no_effect)?;
            match response.code {
                None => {
                    if open.access == Access::Write {
                        attempt::record_proof(&mut open.lent, since, &response);
                        open.lent.report_proof();
                    }
                    return Ok(Outcome {
                        lines: response.lines,
                        point: response.point,
                        instance: Some(open.lent.instance.clone()),
                    });
                }
                Some(Code::Busy)
                    if response.state == TxState::Open && attempt + 1 < BUSY_ATTEMPTS =>
                {
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
        target: &Target,
        shape: Option<&model::statement::Shape>,
    ) -> Result<(), Failure> {
        let route = &target.route;
        let mut avoid = None;
        let mut attempts = Attempts::default();
        let mut admission = self.admit(target)?;
        while attempts.any_left() {
            let kind = match access {
                Access::Write => Kind::Write,
                Access::Read => Kind::Read(route.guarantee),
            };
            let request = ConnRequest {
                arrived,
                avoid: avoid.take(),
                ..attempt::request(job, kind, target, self.own_write)
            };
            let lent = self.checkout(target, request, &mut admission, false);
            let mut lent = lent.await?;
            let setup = Setup {
                values: Some(&self.values),
                shape,
                begin: Some((access, lent.after)),
                verify_primary: lent.verify_primary,
            };
            let (after, prove) = (lent.after, lent.verify_primary);
            let Some(conn) = lent.conn() else { continue };
            let set = conn.set_up(setup, route.time_limit.as_duration()).await;
            match set {
                Ok(SetupOutcome::Ready) => {
                    lent.report_proof();
                    let open = OpenTx {
                        lent,
                        target: target.clone(),
                        wrote: false,
                        access,
                    };
                    self.tx = Tx::Open(Box::new(open));
                    return Ok(());
                }
                Ok(SetupOutcome::Rejected(code)) => {
                    admission.did_not_run();
                    attempt::report_rejection(&lent, code);
                    tracing::info!(id = %job.id, instance = %lent.instance, ?code, after = after.map(tracing::field::display), prove, failed = attempts.failed, busy = attempts.busy, "a transaction was not opened");
                    avoid = Some(lent.instance.clone());
                    attempt::release_after_rejection(lent, code);
                    attempts.record_not_run(code).await;
                }
                Err(e) => {
                    let lost = Lost::new(&lent, job, &e);
                    avoid = Some(lent.instance.clone());
                    attempts.lost();
                    if !attempts.any_left() {
                        return Err(lost.no_effect());
                    }
                }
            }
        }
        Err(Failure::Instance(Code::Busy))
    }
}
