//! Probes: queries that check whether an instance is the primary, independent of the callers'
//! statements.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt as _;
use model::id::{GroupId, InstanceId};
use model::statement::Code;
use model::unit::{Span, Time};
use policy::pool::{Action, OpenError};
use policy::primary_monitor::{PROBE_TIMEOUT, ProbeFailure};
use policy::proof::Proof;

use super::{Group, Message, Reply};
use crate::clock;
use crate::conn::{Conn, ConnError, Setup, SetupOutcome};
use crate::metrics::Metrics;

/// Time after which a query on an open connection is also tried on a new one: the longest
/// round trip, with one or two late timers.
const NEW_CONN_AFTER: Duration = Duration::from_millis(120);

/// Timeout for opening a connection: a round trip, a handshake of some 30 ms, and a few
/// statements that the instance runs first.
const OPEN_TIMEOUT: Duration = Duration::from_millis(350);

/// Time for which an instance that did not respond gets no reads.
pub(super) const READ_PAUSE: Span = Span::from_millis(400);

/// The result of a probe, or a proof that a session received.
pub(super) struct Report {
    instance: InstanceId,
    /// A connection for the pool.
    conn: Option<Conn>,
    /// Whether the pool provided the connection; otherwise one was opened.
    from_pool: bool,
    result: Result<Proof, ProbeFailure>,
    /// Whether the primary monitor started the probe.
    by_monitor: bool,
    /// When the probe started.
    started: Time,
    /// Sum of the pauses of this process until then.
    paused_before: Span,
}

impl Report {
    /// A proof that a session received.
    pub(super) fn from_session(instance: InstanceId, proof: Proof) -> Self {
        Self {
            instance,
            conn: None,
            from_pool: false,
            result: Ok(proof),
            by_monitor: false,
            started: proof.since,
            paused_before: Span::default(),
        }
    }
}

impl Group {
    /// Starts the probes that the primary monitor requests.
    pub(super) fn probe_due(&mut self, now: Time) {
        if !self.is_holder && self.pool.waiting() == 0 {
            return;
        }
        let proved_at = self.pool.newest_proof().map(|p| p.since);
        let primary = self.pool.primary().cloned();
        for id in self.monitor.start_probes(primary.as_ref(), proved_at, now) {
            let conn = self.pool.take_idle(&id);
            let opening = conn.is_none() && self.pool.begin_open(&id, now);
            if conn.is_none() && !opening {
                // All its connections are in use; their statements show whether it responds.
                self.monitor.probe_ended(&id);
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
        let (started, paused_before) = (clock::now(), self.monitor.paused());
        compio::runtime::spawn(async move {
            let from_pool = conn.is_some();
            let query = Query {
                address,
                group,
                id,
                metrics,
            };
            let (result, conn) = query.run(conn).await;
            let report = Report {
                instance: query.id,
                conn,
                from_pool,
                result,
                by_monitor: true,
                started,
                paused_before,
            };
            let _ = tx.send(Message::Probed(report));
        })
        .detach();
    }

    /// Whether a timeout says nothing about the instance, because this process was paused.
    fn was_interrupted(&mut self, report: &Report, now: Time) -> bool {
        let paused = self.monitor.paused().saturating_sub(report.paused_before);
        let running = now.since(report.started).saturating_sub(paused);
        paused > Span::default() && !self.monitor.record_interrupted(&report.instance, running)
    }

    pub(super) fn probe_ended(&mut self, report: Report, now: Time) -> Vec<Action<Conn, Reply>> {
        let id = report.instance.clone();
        if report.by_monitor {
            self.monitor.probe_ended(&id);
        }
        match report.result {
            Ok(proof) => self.record_proof(&id, proof),
            Err(ProbeFailure::Full) => {}
            Err(ProbeFailure::Silent) if self.was_interrupted(&report, now) => {
                tracing::info!(group = %self.id, instance = %id, "a probe timed out while this process was paused");
            }
            Err(failure) => {
                self.monitor.record_failure(&id, failure, now);
                self.clear_primary(&id, describe(failure));
                if failure != ProbeFailure::Follows {
                    self.pool.pause_reads(&id, now + READ_PAUSE);
                }
            }
        }
        match (report.by_monitor, report.from_pool, report.conn) {
            (false, ..) => Vec::new(),
            (true, true, conn) => self.pool.release(&id, conn, None, now),
            (true, false, Some(conn)) => self.pool.open_completed(&id, None, Ok(conn), now),
            (true, false, None) => {
                let error = match report.result {
                    Err(ProbeFailure::Full) => OpenError::Full,
                    _ => OpenError::Unreachable,
                };
                self.pool.open_completed(&id, None, Err(error), now)
            }
        }
    }
}

const fn describe(failure: ProbeFailure) -> &'static str {
    match failure {
        ProbeFailure::Down => "the connection failed",
        ProbeFailure::Follows => "it reports that it is not the primary",
        ProbeFailure::Silent => "it does not respond",
        ProbeFailure::Full => "it accepts no more connections",
    }
}

/// A query to one instance.
struct Query {
    address: SocketAddr,
    group: Rc<GroupId>,
    id: InstanceId,
    metrics: Metrics,
}

impl Query {
    /// Queries on an open connection and, without a response in [`NEW_CONN_AFTER`], on a new
    /// one as well: an open connection can become unresponsive for good while new ones work.
    /// Returns a usable connection in place of the one that was checked out.
    async fn run(&self, conn: Option<Conn>) -> (Result<Proof, ProbeFailure>, Option<Conn>) {
        let Some(mut open) = conn else {
            return self.on_new_conn().await;
        };
        let known = {
            let old = check_leadership(&mut open, PROBE_TIMEOUT.as_duration()).fuse();
            let new = async {
                compio::time::sleep(NEW_CONN_AFTER).await;
                self.on_new_conn().await
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

    async fn on_new_conn(&self) -> (Result<Proof, ProbeFailure>, Option<Conn>) {
        let opened = Conn::open(self.address, &self.group, None, &self.id, OPEN_TIMEOUT).await;
        self.metrics.connection_attempted(opened.is_ok());
        match opened {
            Ok(mut open) => {
                let found = check_leadership(&mut open, PROBE_TIMEOUT.as_duration()).await;
                let is_usable = !matches!(found, Err(ProbeFailure::Silent | ProbeFailure::Down));
                if is_usable {
                    return (found, Some(open));
                }
                open.close().await;
                (found, None)
            }
            Err(e) => {
                tracing::info!(group = %self.group, instance = %self.id, cause = %e, "a probe could not open a connection");
                (Err(probe_failure(&e)), None)
            }
        }
    }
}

fn probe_failure(e: &ConnError) -> ProbeFailure {
    match e {
        ConnError::Refused(Code::TooManyConnections) => ProbeFailure::Full,
        ConnError::Timeout => ProbeFailure::Silent,
        ConnError::Stream(_) | ConnError::Refused(_) | ConnError::Line(_) => ProbeFailure::Down,
    }
}

async fn check_leadership(conn: &mut Conn, limit: Duration) -> Result<Proof, ProbeFailure> {
    let setup = Setup {
        values: None,
        shape: None,
        begin: None,
        verify_primary: true,
    };
    let queried_at = clock::now();
    match conn.set_up(setup, limit).await {
        Ok(SetupOutcome::Ready) => conn.take_proof().ok_or(ProbeFailure::Down),
        Ok(SetupOutcome::Rejected(Code::ReadOnly)) => Err(ProbeFailure::Follows),
        Ok(SetupOutcome::Rejected(code)) => {
            tracing::info!(?code, asked = %queried_at, "a probe was refused");
            Err(ProbeFailure::Down)
        }
        Err(e) => {
            tracing::info!(cause = %e, asked = %queried_at, "a probe failed");
            Err(probe_failure(&e))
        }
    }
}
