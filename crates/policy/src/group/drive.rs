//! What a group controller does at each step by itself: poll, judge, replace, confirm.

use model::id::InstanceId;
use model::position::{Position, Term};
use model::unit::Span;

use super::Group;
use crate::decision::{Cause, Fact, Phase, What};
use crate::failure_detector::{Verdict, View};
use crate::message::{Ask, Channel, Peer, Recipients, StoreRequest};
use crate::poll::{self, Due};
use crate::promote::{Attempt, Order};
use crate::rank;

/// Head start of each proxy over the next one in rank. It covers claim and fence over
/// 20 ms between regions, so that the next one usually sees the fence and holds back.
const STAGGER: Span = Span::from_millis(150);

/// Proxies that prepare connections for orders as soon as they doubt the primary. Only
/// the first in rank usually needs them, and a backend server has some 20 connections for
/// the whole fleet.
const PREPARING: u64 = 2;

/// Time that another claimant gets to finish before the next term is claimed. A whole
/// attempt takes some 200 ms between regions; a claimant that was killed or paused costs
/// this much of the write gap.
const TAKE_OVER: Span = Span::from_millis(500);

/// Time for which polls stay dense after a request.
const BUSY_FOR: Span = Span::from_millis(1_000);

/// Interval at which the record is read again while it is needed and not known.
const READ_AGAIN: Span = Span::from_millis(500);

/// Longest single wait of an instance for a position; afterwards it is asked anew, so that
/// a lost answer does not hold up a confirmation. It lies well below [`crate::failure_detector::DOUBT_AFTER`]
/// because status questions queue behind it on the same connection.
const WAIT: Span = Span::from_millis(50);

impl Group {
    pub(super) fn drive(&mut self) {
        for poll in self.polls.values_mut() {
            poll.expire(self.now);
        }
        self.read_record();
        self.judge();
        self.replace();
        self.repair();
        self.serve_waiting();
        self.poll();
        self.settle();
    }

    /// A proxy that starts reads the record once; afterwards it hears of changes from the
    /// instances and from other proxies, which spares the store.
    fn read_record(&mut self) {
        if self.known.is_some() {
            return;
        }
        let open = |at| self.now.since(at) < READ_AGAIN;
        if self.reading.is_some_and(|(_, at)| open(at)) {
            return;
        }
        let query = self.ask_store(StoreRequest::Read);
        self.reading = Some((query, self.now));
    }

    fn view<'a>(&'a self, primary: &'a InstanceId) -> View<'a> {
        View {
            now: self.now,
            spec: &self.spec,
            primary,
            since: self.lead.since,
            reach: self.reach.get(primary).copied().unwrap_or_default(),
            seen: &self.seen,
            peers: &self.views,
        }
    }

    fn judge(&mut self) {
        self.judge_deposed();
        let Some(primary) = self.lead.primary.clone() else {
            return;
        };
        let leaving = self.spec.members.get(&primary).is_none_or(|m| m.leaving);
        let view = self.view(&primary);
        let verdict = match view.judge() {
            Verdict::Healthy if leaving => Verdict::Replace(Cause::Leaving),
            verdict => verdict,
        };
        let evidence = view.evidence();
        if verdict != self.verdict {
            self.enter(verdict, &primary, evidence);
        }
        let doubt = !matches!(
            self.verdict,
            Verdict::Healthy | Verdict::Replace(Cause::Leaving)
        );
        let told = self
            .told
            .is_some_and(|at| self.now.since(at) < poll::SUSPECT_INTERVAL);
        if doubt && !told {
            self.told = Some(self.now);
            self.tell(Recipients::All, true);
        }
    }

    fn enter(&mut self, verdict: Verdict, primary: &InstanceId, evidence: Vec<Fact>) {
        let trace = self.change.trace;
        let what = match &verdict {
            Verdict::Healthy => What::Cleared(primary.clone()),
            Verdict::Doubt => What::Suspected(primary.clone()),
            Verdict::Forward(peer) => What::Forward(peer.clone()),
            Verdict::Replace(cause) => What::Replace(primary.clone(), *cause),
        };
        let phase = matches!(verdict, Verdict::Replace(_)).then(|| {
            let reach = self.reach.get(primary).copied().unwrap_or_default();
            (Phase::Detect, reach.silent(self.now))
        });
        let doubt = verdict == Verdict::Doubt;
        self.verdict = verdict;
        self.verdict_since = self.now;
        if doubt && self.rank() < PREPARING {
            self.prepare(primary);
        }
        self.decide(what, trace, phase, evidence, vec![]);
    }

    /// Asks the other instances on fresh connections, which the fence then reuses: to
    /// another region opening one costs two round trips and the server's own time.
    fn prepare(&mut self, primary: &InstanceId) {
        let others = self.spec.members.keys().filter(|id| *id != primary);
        let others: Vec<_> = others.cloned().collect();
        for other in others {
            self.ask(&other, Ask::Status, Channel::Fresh);
        }
    }

    /// A later promise of the primary, or of a majority, means that a claim is being
    /// carried out, or was left half done.
    fn judge_deposed(&mut self) {
        let later = |id: &InstanceId| {
            let seen = self.seen.get(id);
            seen.is_some_and(|o| o.status.fenced > self.lead.term)
        };
        let primary = self.lead.primary.as_ref().is_some_and(later);
        let count = self.spec.members.keys().filter(|id| later(id)).count();
        if primary || count >= self.spec.majority() {
            self.deposed.get_or_insert(self.now);
        } else {
            self.deposed = None;
        }
    }

    pub(super) fn rank(&self) -> u64 {
        let me = Peer {
            id: self.me.id.clone(),
            location: self.me.location.clone(),
        };
        let primary = self.lead.primary.as_ref();
        let member = primary.and_then(|p| self.spec.members.get(p));
        let beside = member.map(|m| &m.location.data_centre);
        rank::rank(&self.spec.group, &me, &self.live, beside)
    }

    /// The reason for an attempt of our own, once it is this proxy's turn.
    fn due(&self) -> Option<Cause> {
        if self.now < self.yielding {
            return None;
        }
        let turn = STAGGER.times(self.rank());
        if let Some(since) = self.deposed {
            let ripe = Span::from_micros(TAKE_OVER.as_micros() + turn.as_micros());
            return (self.now.since(since) >= ripe).then_some(Cause::Abandoned);
        }
        let ripe = self.now.since(self.verdict_since) >= turn;
        match self.verdict {
            Verdict::Replace(cause) if ripe => Some(cause),
            _ => None,
        }
    }

    fn replace(&mut self) {
        self.drop_idle_attempt();
        if self.attempt.is_none()
            && let Some(cause) = self.due()
        {
            self.begin_attempt(cause);
        }
        let now = self.now;
        let progress = self.attempt.as_ref().and_then(|a| a.timed_out(now));
        self.progress(progress);
        self.send_orders();
    }

    fn begin_attempt(&mut self, cause: Cause) {
        let nonce = self.draw();
        let floor = self.floor();
        let known = self.known.as_ref();
        let me = &self.me.id;
        let attempt = Attempt::new(self.now, me, cause, known, floor, nonce);
        self.attempt = Some(attempt);
        self.stage = self.now;
    }

    /// Before the claim nothing has happened yet: a primary that answers again stays. A
    /// published attempt whose primary failed in turn gives way to the next one.
    fn drop_idle_attempt(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let published = matches!(attempt.step, crate::promote::Step::Publishing(_));
        let stays = self.due().is_none() && self.now >= self.yielding;
        let again = published && matches!(self.verdict, Verdict::Replace(_));
        if (!attempt.claimed() && stays) || again {
            self.attempt = None;
        }
    }

    /// Highest term that was heard of anywhere.
    fn floor(&self) -> Term {
        let seen = self
            .seen
            .values()
            .map(|o| o.status.fenced.max(o.status.term()));
        seen.max().unwrap_or_default().max(self.lead.term)
    }

    pub(super) fn give_way(&mut self) {
        let jitter = self.draw() % TAKE_OVER.as_micros();
        self.yielding = self.now + TAKE_OVER + Span::from_micros(jitter);
    }

    fn send_orders(&mut self) {
        let now = self.now;
        let Some(attempt) = self.attempt.as_mut() else {
            return;
        };
        for order in attempt.orders(now, &self.spec) {
            match order {
                Order::Ask(instance, ask) => self.ask(&instance, ask, Channel::Fresh),
                Order::Store(ask) => {
                    let query = self.ask_store(ask);
                    if let Some(attempt) = self.attempt.as_mut() {
                        attempt.note_store(now, query);
                    }
                }
            }
        }
    }

    fn poll(&mut self) {
        let doubt = self.verdict != Verdict::Healthy || self.deposed.is_some();
        let busy = self.used.is_some_and(|at| self.now.since(at) < BUSY_FOR);
        let news = self.wants_news();
        let every = match (news.is_some(), busy, doubt) {
            (true, ..) => poll::WAITING_INTERVAL,
            (_, true, _) => poll::BUSY_INTERVAL,
            (_, _, true) => poll::SUSPECT_INTERVAL,
            _ => poll::IDLE_INTERVAL,
        };
        let members: Vec<_> = self.spec.members.keys().cloned().collect();
        for member in members {
            let poll = self.polls.entry(member.clone()).or_default();
            let stale = news.is_some_and(|since| poll.needs_query(self.now, since));
            let due = match poll.due(self.now, every) {
                Due::Nothing if stale => Due::Persistent,
                due => due,
            };
            match due {
                Due::Nothing => {}
                Due::Persistent => self.ask(&member, Ask::Status, Channel::Steady),
                Due::Fresh => self.ask(&member, Ask::Status, Channel::Fresh),
            }
        }
    }

    fn settle(&mut self) {
        let weak = self.spec.settings.acknowledge == model::settings::Acknowledge::Primary;
        let majority = if weak { 1 } else { self.spec.majority() };
        let outcomes = self.confirm.settle(self.now, majority);
        self.emit_confirmed(outcomes);
        let members: Vec<_> = self.spec.members.keys().cloned().collect();
        for member in members {
            let after = self.polls.get(&member).map(|p| p.awaited_position());
            let wanted = self.confirm.wanted(&member, after.unwrap_or_default());
            if let Some(position) = wanted {
                self.wait_for(&member, position);
            }
        }
    }

    fn wait_for(&mut self, member: &InstanceId, position: Position) {
        let ask = Ask::Wait {
            position,
            timeout: WAIT,
        };
        self.ask(member, ask, Channel::Steady);
    }
}
