//! Sending a request on a connection and passing its answer on.

use std::time::Instant;

use bytes::BytesMut;
use policy::outcome::Outcome;
use policy::route::Failure;

use super::answer::{Answer, Passing};
use super::attempt::{Attempt, Ended, Way};
use super::request::{Mode, Request};
use super::watch::{Reign, Stop, Watch};
use super::{Caller, render};
use crate::pool::Conn;

impl Caller {
    /// Sends a request and passes its answer on.
    pub(super) async fn send(
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

    pub(super) async fn run_on(
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
        self.link.may_take_effect |= hold;
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
