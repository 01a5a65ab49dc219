//! Which instance may lead a group next, where the platform carries the change out.
//!
//! The platform makes an instance lead with the log that it holds, and asks for nothing.
//! So the proxy has to know beforehand that the log holds every acknowledged write. A
//! write is acknowledged once one replica has received it. Therefore the others are
//! first stopped from receiving, and then the candidate must hold all that they hold:
//! from then on every write that is acknowledged has been received by the candidate,
//! also while the old primary is alive and goes on acknowledging. The proof stays true
//! for an order that is carried out seconds late, as long as the others stay stopped. What
//! lets them receive again is an order to do so, and every other change of primary: while
//! an order may still be carried out, none is given for another instance.

use std::fmt;

use model::id::InstanceId;
use model::position::{Point, Term};
use model::unit::Span;

/// Time within which an instance that starts is announced, and the coordinator learns of
/// it: 150 ms were seen, and as much again is added.
const ANNOUNCED: Span = Span::from_millis(300);

/// How an instance sees itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It receives the primary's log.
    Replica,
}

/// What an instance tells about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct State {
    /// How it sees itself.
    pub role: Role,
    /// Newest term that it knows.
    pub term: Term,
    /// End of the log that it has received.
    pub received: Point,
    /// Term under which it was told to stop receiving; 0 while it receives.
    pub paused: Term,
}

/// Rises with each holder of the duty and with each of its decisions. The platform
/// refuses an order with a lower one than it has seen for the group, so that an order
/// which is carried out late cannot undo a newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(pub u64);

impl Token {
    /// Decisions of one holder that have tokens of their own. A group changes its primary
    /// a few times a day; the bound only keeps one holder below the next.
    const DECISIONS: u64 = 1 << 16;

    /// The first token of a holder that took the duty at this revision of the store.
    pub const fn first(revision: u64) -> Self {
        Self(revision * Self::DECISIONS)
    }

    /// The token of the same holder's next decision.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The platform's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// It is being carried out.
    Accepted,
    /// A higher token was used, or the instance does not run.
    Conflict,
    /// It was not taken; it may be asked again.
    NotNow,
}

/// An instance of the group as the coordinator sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceView {
    /// Which one.
    pub id: InstanceId,
    /// Whether it is announced in the store.
    pub announced: bool,
    /// Whether it is being taken out of service.
    pub leaving: bool,
    /// Whether it gave any answer just now, if only that it has no slot.
    pub responded: bool,
    /// Whether it is in the region of the primary that is to be replaced.
    pub same_region: bool,
    /// What it told of itself just now.
    pub state: Option<State>,
}

/// Why the primary is to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Proxies do not reach it, or writes on it do not end.
    Doubted,
    /// It is being taken out of service.
    Leaving,
    /// No replica holds what reads need, so that all reads are served by the primary.
    ///
    /// Replicas receive the log at once and apply it late. One that is made primary has
    /// applied what it received, and the old primary becomes a replica that lags no more:
    /// reads have two instances again in place of one, after a change without a write gap.
    Lagging,
    /// An order of an earlier change may still be carried out: that change is completed.
    Unfinished,
}

/// Why nothing is done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WaitCause {
    /// No replica answers that could lead.
    #[error("no replica answers that could lead")]
    NoCandidate,
    /// A replica that may alone hold an acknowledged write does not answer.
    #[error("a replica that may hold an acknowledged write does not answer")]
    Unheard,
    /// The candidate has not received yet what another holds.
    #[error("the candidate has not received what another replica holds")]
    CatchingUp,
    /// Only the replicas lag, and the primary does not answer.
    #[error("the primary, which would become a replica, does not answer")]
    PrimarySilent,
    /// An instance that received from the old primary may be about to be announced.
    #[error("an instance that just started may hold more and is not announced yet")]
    Announcing,
    /// An order to receive again may still be carried out, and the old primary is silent.
    #[error("a replica may still be told to receive again by an earlier order")]
    ResumePending,
    /// Connections may still begin to count for proofs of writes.
    #[error("the change is not noted in the store yet")]
    Unnoted,
    /// An earlier order may still be carried out, and can be neither repeated nor made void now.
    #[error("an earlier order may still be carried out")]
    OrderPending,
}

impl WaitCause {
    const fn without_candidate(pending: bool) -> Self {
        if pending {
            Self::OrderPending
        } else {
            Self::NoCandidate
        }
    }
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Stop these replicas from receiving, under this term, then look again.
    Pause(Term, Vec<InstanceId>),
    /// Make the old primary stop leading, under this term, then look again.
    Demote(Term, InstanceId),
    /// Name this instance.
    Promote(InstanceId),
    /// Nothing now; look again.
    Wait(WaitCause),
    /// The primary is well: let the replicas receive, and end.
    Abandon,
}

/// A fresh look at all instances of a group, and what is known beside it.
#[derive(Clone, Debug)]
pub struct Survey {
    /// The instances.
    pub instances: Vec<InstanceView>,
    /// The primary that is to be replaced. What it alone holds has not been acknowledged as
    /// long as every replica answers.
    pub old_primary: InstanceId,
    /// Why it is to be replaced.
    pub cause: Cause,
    /// Newest end of its log that the coordinator saw before the look.
    pub known_end: Option<Point>,
    /// Whether an order to receive again had no answer and may still be carried out.
    pub resume_pending: bool,
    /// The instance of an earlier order that may still be carried out.
    pub pending_order: Option<InstanceId>,
    /// For how long the old primary has been told to stop leading.
    pub since_demote: Option<Span>,
    /// Whether the store held the note of this change before the look, and the members are
    /// those announced before the note at least.
    pub intent_recorded: bool,
}

impl Survey {
    fn instance(&self, id: &InstanceId) -> Option<&InstanceView> {
        self.instances.iter().find(|m| m.id == *id)
    }

    fn old_view(&self) -> Option<&InstanceView> {
        self.instance(&self.old_primary)
    }

    /// Whether the old primary follows without having been told to by this change. It may follow
    /// another instance, so that its log counts like a replica's. While an order is pending, the
    /// change that gave it may have told it to stop.
    fn superseded(&self) -> bool {
        let state = self.old_view().and_then(|m| m.state);
        let follows = state.is_some_and(|s| s.role == Role::Replica);
        follows && self.since_demote.is_none() && self.pending_order.is_none()
    }

    /// Whether this is the primary that is to be replaced.
    fn is_old(&self, instance: &InstanceView) -> bool {
        instance.id == self.old_primary && !self.superseded()
    }
}

/// Decides the next step.
pub fn next_step(survey: &Survey) -> Step {
    match decide(survey) {
        Step::Promote(_) if !survey.intent_recorded => Step::Wait(WaitCause::Unnoted),
        step => step,
    }
}

fn decide(survey: &Survey) -> Step {
    let Survey {
        instances,
        old_primary,
        cause,
        known_end,
        ..
    } = survey;
    let newest = newest_term(instances);
    let primary = leader(instances);
    let pending = survey.pending_order.is_some();
    if needless(survey, primary) && !pending {
        return Step::Abandon;
    }
    if *cause == Cause::Lagging && primary.is_none() && !pending {
        return Step::Wait(WaitCause::PrimarySilent);
    }
    let candidate = candidate(survey, newest);
    // While the instance of a pending order is silent, the others stay stopped for it.
    let chosen = candidate.map(|m| &m.id).or(survey.pending_order.as_ref());
    let others = replicas(instances, newest).filter(|m| Some(&m.id) != chosen && !survey.is_old(m));
    let term = newest.next();
    let running = others
        .clone()
        .filter(|m| m.state.is_some_and(|s| s.paused < term));
    let running: Vec<_> = running.map(|m| m.id.clone()).collect();
    if chosen.is_some() && !running.is_empty() {
        return Step::Pause(term, running);
    }
    let Some((candidate, own)) = candidate.and_then(|m| Some((m, m.state?))) else {
        return Step::Wait(WaitCause::without_candidate(pending));
    };
    let cut_off = *cause != Cause::Doubted && known_end.is_some_and(|end| own.received < end);
    if cut_off || others.clone().any(|m| ahead(m, own.received)) {
        return Step::Wait(WaitCause::CatchingUp);
    }
    if others.clone().any(|m| unheard(m, own.received, *known_end)) {
        return Step::Wait(WaitCause::Unheard);
    }
    if *cause == Cause::Unfinished && pending {
        return Step::Promote(candidate.id.clone());
    }
    let missing = others.clone().any(|m| m.state.is_none());
    let resumes = survey.resume_pending && others.clone().next().is_some();
    if *cause == Cause::Doubted {
        if lives(survey) {
            return Step::Demote(term, old_primary.clone());
        }
        if holds_more(survey, own.received) {
            return Step::Wait(WaitCause::Announcing);
        }
    }
    if !missing && !resumes {
        return Step::Promote(candidate.id.clone());
    }
    without_old(survey, candidate, term)
}

/// Whether the cause is gone.
fn needless(survey: &Survey, primary: Option<&InstanceView>) -> bool {
    match survey.cause {
        Cause::Doubted => false,
        Cause::Unfinished => primary.is_some(),
        Cause::Leaving => primary.is_some_and(|p| !p.leaving),
        Cause::Lagging => primary.is_some_and(|p| p.id != survey.old_primary),
    }
}

/// Whether the old primary may lead still and can be told to stop.
///
/// It acknowledges whatever any instance receives from it. An instance that starts while the
/// order is on its way receives the whole log before it is announced and can be stopped.
/// One that has no slot for the question has none for the order either, mostly: it is told
/// for a while, and then the change goes on.
fn lives(survey: &Survey) -> bool {
    let Some(old) = survey.old_view() else {
        return false;
    };
    match old.state {
        Some(_) => leads(old, newest_term(&survey.instances)),
        None => old.responded && !told_long_ago(survey),
    }
}

/// Whether the old primary, which has stopped, holds more than the candidate while an
/// instance that started just before may be about to be announced: it may have received
/// and acknowledged that.
fn holds_more(survey: &Survey, received: Point) -> bool {
    let more = survey.old_view().is_some_and(|m| ahead(m, received));
    more && survey.since_demote.is_some() && !told_long_ago(survey)
}

fn told_long_ago(survey: &Survey) -> bool {
    survey.since_demote.is_some_and(|told| told >= ANNOUNCED)
}

/// The next step while the old primary must not acknowledge anything any more.
///
/// A replica that does not answer may receive all the same, and one that an earlier order tells
/// to receive again does so in spite of being stopped. Each could acknowledge a write that the
/// candidate lacks, also after the order was given. So the old primary is told to stop leading.
/// That neither of them is announced proves nothing: an entry lapses as well when its instance
/// is cut off from the store alone. Once it has stopped, what it holds beyond the candidate may
/// have been acknowledged by a replica that does not answer: then it leads again.
fn without_old(survey: &Survey, candidate: &InstanceView, term: Term) -> Step {
    let newest = newest_term(&survey.instances);
    let silent = survey
        .instances
        .iter()
        .filter(|m| m.state.is_none())
        .count();
    match survey.old_view() {
        Some(_) if survey.superseded() && silent > 1 => Step::Wait(WaitCause::Unheard),
        Some(p) if leads(p, newest) => Step::Demote(term, survey.old_primary.clone()),
        Some(p) if p.state.is_none() && survey.resume_pending => {
            Step::Wait(WaitCause::ResumePending)
        }
        Some(p) if p.state.is_none() => Step::Wait(WaitCause::Unheard),
        Some(p) if silent > 0 && candidate.state.is_some_and(|s| ahead(p, s.received)) => {
            Step::Promote(p.id.clone())
        }
        _ => Step::Promote(candidate.id.clone()),
    }
}

/// The newest term that any instance tells of.
pub fn newest_term(instances: &[InstanceView]) -> Term {
    let states = instances.iter().filter_map(|m| m.state);
    states
        .map(|s| s.term.max(s.received.term))
        .max()
        .unwrap_or_default()
}

/// Whether the instance leads the newest term, by its own word.
pub fn leads(instance: &InstanceView, newest: Term) -> bool {
    instance
        .state
        .is_some_and(|s| s.role == Role::Primary && s.term >= newest)
}

/// The instance that leads the newest term, if it answered.
pub fn leader(instances: &[InstanceView]) -> Option<&InstanceView> {
    let newest = newest_term(instances);
    instances.iter().find(|m| leads(m, newest))
}

fn replicas(
    instances: &[InstanceView],
    newest: Term,
) -> impl Iterator<Item = &InstanceView> + Clone {
    instances.iter().filter(move |m| !leads(m, newest))
}

/// The replica to name; among equals the first, so that a second look chooses the same.
///
/// While the primary lives, one that stays can still receive what a leaving one holds, and
/// one near the primary receives what is acknowledged meanwhile almost at once; without it
/// only the one that holds most can lead, and a leaving one leads for a while.
///
/// While an order for an instance may still be carried out, no other is named: once it is
/// carried out all replicas receive again, and what they then acknowledge may be missing from
/// an instance that was chosen before.
fn candidate(survey: &Survey, newest: Term) -> Option<&InstanceView> {
    let instances = &survey.instances;
    let alive = leader(instances).is_some();
    let ordered = survey
        .pending_order
        .as_ref()
        .filter(|id| !lost_its_log(survey, id));
    let may_lead = |m: &&InstanceView| {
        let meant = ordered.map_or_else(|| !survey.is_old(m), |ordered| *ordered == m.id);
        m.announced && meant
    };
    let others = replicas(instances, newest).filter(may_lead);
    let ranked = others.filter_map(|m| {
        let received = m.state?.received;
        let rank = (
            alive && !m.leaving,
            alive && m.same_region,
            received,
            !m.leaving,
        );
        Some((rank, m))
    });
    let best = ranked.reduce(|best, next| if next.0 > best.0 { next } else { best });
    best.map(|(_, m)| m)
}

/// Whether an instance that was ordered no longer holds what a stopped replica does: it began
/// anew. An order for another one then loses less than the wait for its own.
fn lost_its_log(survey: &Survey, ordered: &InstanceId) -> bool {
    let Some(own) = survey.instance(ordered).and_then(|m| m.state) else {
        return false;
    };
    let others = survey
        .instances
        .iter()
        .filter(|m| m.id != *ordered && m.id != survey.old_primary);
    let mut stopped = others.filter(|m| m.state.is_some_and(|s| s.paused.0 > 0));
    stopped.any(|m| ahead(m, own.received))
}

fn ahead(instance: &InstanceView, received: Point) -> bool {
    instance.state.is_some_and(|s| s.received > received)
}

/// Whether a silent replica may hold an acknowledged write that the candidate lacks.
///
/// One that is announced may have acknowledged a moment ago. One that is not, and may be cut off
/// from the store alone, is passed over here if the candidate holds all that the primary is known
/// to have had; [`without_old`] then requires that the primary has stopped.
fn unheard(instance: &InstanceView, received: Point, known_end: Option<Point>) -> bool {
    if instance.state.is_some() {
        return false;
    }
    instance.announced || known_end.is_none_or(|end| received < end)
}
