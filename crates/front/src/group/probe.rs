//! Questions to instances whether they lead, beside the callers' statements.

use std::time::Duration;

use model::id::InstanceId;
use model::statement::Code;
use model::unit::{Span, Time};
use policy::pool::Action;
use policy::proof::Proof;
use policy::watch::Finding;

use super::{Group, Message, OPEN_LIMIT, Reply};
use crate::clock;
use crate::conn::{Conn, ConnError, Setting, Setup};

/// Longest wait for an answer. The statements that are asked need no slot, so a busy
/// instance answers in a round trip, of 40 ms between regions.
const LIMIT: Duration = Duration::from_millis(350);

/// Time for which an instance that did not answer is given no reads.
pub(super) const REST: Span = Span::from_millis(400);

/// Time for which a replica that lags is given no reads; it then has received about as
/// much as a usual replica is behind.
pub(super) const LAG_REST: Span = Span::from_millis(40);

/// What came of a question.
pub(super) struct Report {
    instance: InstanceId,
    /// A connection from the pool that goes back to it.
    conn: Option<Conn>,
    lent: bool,
    found: Result<Proof, Finding>,
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
        let proved = self.pool.newest_proof().map(|p| p.since);
        let primary = self.pool.primary().cloned();
        for id in self.watch.ask(primary.as_ref(), proved, now) {
            let conn = self.pool.take_idle(&id);
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
            let mut conn = conn;
            let mut found = Err(Finding::Silent);
            if let Some(open) = &mut conn {
                found = ask(open).await;
            }
            // A connection can go silent while new ones work, so only a new one counts.
            if found == Err(Finding::Silent) {
                conn = None;
                let opened = Conn::open(address, &group, &id, OPEN_LIMIT).await;
                metrics.opened(opened.is_ok());
                match opened {
                    Ok(mut open) => {
                        found = ask(&mut open).await;
                        if lent && found != Err(Finding::Silent) {
                            conn = Some(open);
                        } else {
                            open.close().await;
                        }
                    }
                    Err(ConnError::Refused(Code::TooManyConnections)) => {
                        found = Err(Finding::Full);
                    }
                    Err(e) => {
                        tracing::info!(%group, instance = %id, cause = %e, "a question found no connection");
                    }
                }
            }
            let report = Report {
                instance: id,
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
            self.watch.answered(&id);
        }
        match report.found {
            Ok(proof) => self.proved(&id, proof),
            Err(Finding::Full) => {}
            Err(finding) => {
                self.watch.failed(&id, finding, now);
                self.disproved(&id, cause(finding));
                if finding == Finding::Silent {
                    self.pool.rest(&id, now + REST);
                }
            }
        }
        if report.lent {
            return self.pool.give_back(&id, report.conn, None, now);
        }
        Vec::new()
    }
}

const fn cause(finding: Finding) -> &'static str {
    match finding {
        Finding::Follows => "it says that it does not lead",
        Finding::Silent => "it does not answer",
        Finding::Full => "it has no connection left",
    }
}

async fn ask(conn: &mut Conn) -> Result<Proof, Finding> {
    let setup = Setup {
        values: None,
        shape: None,
        begin: None,
        prove: true,
    };
    let asked = clock::now();
    match conn.set_up(setup, LIMIT).await {
        Ok(Setting::Ready) => conn.take_proof().ok_or(Finding::Silent),
        Ok(Setting::Refused(Code::ReadOnly)) => Err(Finding::Follows),
        Ok(Setting::Refused(code)) => {
            tracing::info!(?code, asked = %asked, "a question to an instance was refused");
            Err(Finding::Silent)
        }
        Err(ConnError::Refused(_) | ConnError::Silent) => Err(Finding::Silent),
        Err(e) => {
            tracing::info!(cause = %e, asked = %asked, "a question to an instance failed");
            Err(Finding::Silent)
        }
    }
}
