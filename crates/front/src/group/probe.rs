//! Questions to instances whether they lead, beside the callers' statements.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt as _;
use model::id::{GroupId, InstanceId};
use model::statement::Code;
use model::unit::{Span, Time};
use policy::pool::{Action, OpenError};
use policy::primary_monitor::ProbeFailure;
use policy::proof::Proof;

use super::{Group, Message, Reply};
use crate::clock;
use crate::conn::{Conn, ConnError, Setup, SetupOutcome};
use crate::metrics::Metrics;

/// Longest wait for an answer. The statements that are asked need no slot, so a busy
/// instance answers in a round trip, of 40 ms between regions.
const LIMIT: Duration = Duration::from_millis(350);

/// Wait on an open connection before a new one is tried beside it: the longest round trip
/// with a late timer or two.
const PATIENCE: Duration = Duration::from_millis(120);

/// Longest wait for a new connection: a round trip, a handshake of some 30 ms, and a few
/// statements before it.
const NEW_LIMIT: Duration = Duration::from_millis(350);

/// Time for which an instance that did not answer is given no reads.
pub(super) const REST: Span = Span::from_millis(400);

/// What came of a question.
pub(super) struct Report {
    instance: InstanceId,
    /// A connection for the pool.
    conn: Option<Conn>,
    /// Whether the pool lent a connection for the question; otherwise one was opened.
    lent: bool,
    found: Result<Proof, ProbeFailure>,
    /// Whether the question was one of the watch's own.
    asked: bool,
}

impl Report {
    /// A proof that a session came by.
    pub(super) fn proved(instance: InstanceId, proof: Proof) -> Self {
        Self {
            instance,
            conn: None,
            lent: false,
            found: Ok(proof),
            asked: false,
        }
    }
}

impl Group {
    /// Asks whom the watch wants to ask.
    pub(super) fn look(&mut self, now: Time) {
        if !self.own && self.pool.waiting() == 0 {
            return;
        }
        let proved = self.pool.newest_proof().map(|p| p.since);
        let primary = self.pool.primary().cloned();
        for id in self.watch.start_probes(primary.as_ref(), proved, now) {
            let conn = self.pool.take_idle(&id);
            let opening = conn.is_none() && self.pool.begin_open(&id, now);
            if conn.is_none() && !opening {
                // Its connections are all in use, and their statements show whether it lives.
                self.watch.probe_ended(&id);
                continue;
            }
            self.probe(id, conn);
        }
    }

    fn probe(&self, id: InstanceId, conn: Option<Conn>) {
        let Some(instance) = self.pool.instance(&id) else {
            return;
        };
        let (address, group, tx) = (instance.entry().address, self.id.clone(), self.tx.clone());
        let metrics = self.metrics.clone();
        compio::runtime::spawn(async move {
            let lent = conn.is_some();
            let asked = Question {
                address,
                group,
                id,
                metrics,
            };
            let (found, conn) = asked.put(conn).await;
            let report = Report {
                instance: asked.id,
                conn,
                lent,
                found,
                asked: true,
            };
            let _ = tx.send(Message::Probed(report));
        })
        .detach();
    }

    pub(super) fn probed(&mut self, report: Report, now: Time) -> Vec<Action<Conn, Reply>> {
        let id = report.instance;
        if report.asked {
            self.watch.probe_ended(&id);
        }
        match report.found {
            Ok(proof) => self.proved(&id, proof),
            Err(ProbeFailure::Full) => {}
            Err(finding) => {
                self.watch.record_failure(&id, finding, now);
                self.disproved(&id, cause(finding));
                if finding != ProbeFailure::Follows {
                    self.pool.pause_reads(&id, now + REST);
                }
            }
        }
        match (report.asked, report.lent, report.conn) {
            (false, ..) => Vec::new(),
            (true, true, conn) => self.pool.release(&id, conn, None, now),
            (true, false, Some(conn)) => self.pool.open_completed(&id, Ok(conn), now),
            (true, false, None) => {
                let fault = match report.found {
                    Err(ProbeFailure::Full) => OpenError::Full,
                    _ => OpenError::Unreachable,
                };
                self.pool.open_completed(&id, Err(fault), now)
            }
        }
    }
}

const fn cause(finding: ProbeFailure) -> &'static str {
    match finding {
        ProbeFailure::Down => "it is not there",
        ProbeFailure::Follows => "it says that it does not lead",
        ProbeFailure::Silent => "it does not answer",
        ProbeFailure::Full => "it has no connection left",
    }
}

/// A question to one instance.
struct Question {
    address: SocketAddr,
    group: Rc<GroupId>,
    id: InstanceId,
    metrics: Metrics,
}

impl Question {
    /// Asks on an open connection and, if no answer comes soon, on a new one as well: an
    /// open connection can go silent for good while new ones work. Gives back a
    /// connection that can be used further in place of the one that was lent.
    async fn put(&self, conn: Option<Conn>) -> (Result<Proof, ProbeFailure>, Option<Conn>) {
        let Some(mut open) = conn else {
            return self.on_new().await;
        };
        let known = {
            let old = ask(&mut open, LIMIT).fuse();
            let new = async {
                compio::time::sleep(PATIENCE).await;
                self.on_new().await
            };
            let new = new.fuse();
            futures_util::pin_mut!(old, new);
            futures_util::select_biased! {
                found = old => match found {
                    Err(ProbeFailure::Silent | ProbeFailure::Down) => Err(new.await),
                    found => Ok(found),
                },
                other = new => Err(other),
            }
        };
        match known {
            Ok(found) => (found, Some(open)),
            Err(other) => other,
        }
    }

    async fn on_new(&self) -> (Result<Proof, ProbeFailure>, Option<Conn>) {
        let opened = Conn::open(self.address, &self.group, &self.id, NEW_LIMIT).await;
        self.metrics.connection_attempted(opened.is_ok());
        match opened {
            Ok(mut open) => {
                let found = ask(&mut open, LIMIT).await;
                let well = !matches!(found, Err(ProbeFailure::Silent | ProbeFailure::Down));
                if well {
                    return (found, Some(open));
                }
                open.close().await;
                (found, None)
            }
            Err(e) => {
                tracing::info!(group = %self.group, instance = %self.id, cause = %e, "a question found no connection");
                (Err(finding(&e)), None)
            }
        }
    }
}

fn finding(e: &ConnError) -> ProbeFailure {
    match e {
        ConnError::Refused(Code::TooManyConnections) => ProbeFailure::Full,
        ConnError::Timeout => ProbeFailure::Silent,
        ConnError::Stream(_) | ConnError::Refused(_) | ConnError::Line(_) => ProbeFailure::Down,
    }
}

async fn ask(conn: &mut Conn, limit: Duration) -> Result<Proof, ProbeFailure> {
    let setup = Setup {
        values: None,
        shape: None,
        begin: None,
        verify_primary: true,
    };
    let asked = clock::now();
    match conn.set_up(setup, limit).await {
        Ok(SetupOutcome::Ready) => conn.take_proof().ok_or(ProbeFailure::Down),
        Ok(SetupOutcome::Rejected(Code::ReadOnly)) => Err(ProbeFailure::Follows),
        Ok(SetupOutcome::Rejected(code)) => {
            tracing::info!(?code, asked = %asked, "a question to an instance was refused");
            Err(ProbeFailure::Down)
        }
        Err(e) => {
            tracing::info!(cause = %e, asked = %asked, "a question to an instance failed");
            Err(finding(&e))
        }
    }
}
