//! Which instance may become the primary of a group when the platform carries the change out.
//!
//! The platform makes an instance primary with the log that it has and checks nothing. So the
//! proxy must know beforehand that this log holds every acknowledged write. A write is
//! acknowledged once one replica has received it. Therefore the other replicas are paused
//! first, and then the candidate must hold everything that they hold: from then on, the
//! candidate has received every write that is acknowledged, even while the old primary is
//! alive and continues to acknowledge writes. This remains true for a promotion order that
//! takes effect seconds late, as long as the other replicas stay paused. They receive again
//! only after a resume command or another change of primary, so no other instance is ordered
//! while a promotion order may still take effect.

use std::fmt;

use model::id::InstanceId;
use model::position::{Point, Term};
use model::unit::Span;

/// Longest time from the start of an instance until the coordinator learns that it is
/// announced: 150 ms were observed, doubled as a margin.
const ANNOUNCE_DELAY: Span = Span::from_millis(300);

/// Role of an instance, as it reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It receives the primary's log.
    Replica,
}

/// State that an instance reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct State {
    /// Its role.
    pub role: Role,
    /// The newest term that it knows.
    pub term: Term,
    /// End of the log that it has received.
    pub received: Point,
    /// Term under which it was paused, that is, commanded to stop receiving; 0 while it receives.
    pub paused: Term,
}

/// Fencing token of a promotion order; rises with each holder of the coordinator role and with
/// each decision of a holder. The platform refuses an order whose token is lower than one that
/// it has seen for the group, so that an order that takes effect late cannot undo a newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(pub u64);

impl Token {
    /// Number of tokens reserved for one holder. A group changes its primary a few times a day;
    /// the bound only keeps the tokens of one holder below those of the next.
    const TOKENS_PER_HOLDER: u64 = 1 << 16;

    /// The first token of a holder that acquired the coordinator role at this store revision.
    pub const fn first(revision: u64) -> Self {
        Self(revision * Self::TOKENS_PER_HOLDER)
    }

    /// The token for the next decision of the same holder.
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

/// The platform's response to a promotion order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The order is being carried out.
    Accepted,
    /// A higher token was used before, or the instance is not running.
    Conflict,
    /// The order was not accepted; it may be repeated.
    NotNow,
}

/// An instance of the group as a survey found it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceView {
    /// Its id.
    pub id: InstanceId,
    /// Whether it is announced in the store.
    pub announced: bool,
    /// Whether it is being decommissioned.
    pub leaving: bool,
    /// Whether it responded to the survey at all, if only that it has no free slot.
    pub responded: bool,
    /// Whether it is in the region of the old primary.
    pub same_region: bool,
    /// The state that it reported in the survey.
    pub state: Option<State>,
}

/// Why the primary is to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Enough proxies suspect it: it is unreachable, or writes on it do not complete.
    Doubted,
    /// It is being decommissioned.
    Leaving,
    /// No replica is recent enough for reads, so the primary serves all of them.
    ///
    /// Replicas receive the log at once and apply it late. A replica that becomes primary has
    /// applied what it received, and the old primary becomes a replica without lag: reads have
    /// two instances again instead of one, after a change without an interruption of writes.
    Lagging,
    /// The promotion order of an earlier change may still take effect: that change is completed.
    Unfinished,
}

/// Why the change waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WaitCause {
    /// No replica that could become primary responds.
    #[error("no replica that could become primary responds")]
    NoCandidate,
    /// A replica that may be the only one with an acknowledged write does not respond.
    #[error("a replica that may hold an acknowledged write does not respond")]
    Unheard,
    /// The candidate has not yet received everything that another instance holds.
    #[error("the candidate has not received everything that another instance holds")]
    CatchingUp,
    /// The cause is the lag of the replicas, and the primary does not respond.
    #[error("the primary, which would become a replica, does not respond")]
    PrimarySilent,
    /// An instance that received from the old primary may be announced shortly.
    #[error("an instance that just started may hold more and is not announced yet")]
    Announcing,
    /// A resume command may still take effect, and the old primary does not respond.
    #[error("an earlier resume command may still take effect on a replica")]
    ResumePending,
    /// New connections may still become eligible for replica acknowledgements.
    #[error("the intent of the change is not recorded in the store yet")]
    Unnoted,
    /// An earlier order may still take effect, and can be neither repeated nor voided now.
    #[error("an earlier promotion order may still take effect")]
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

/// The next step of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Command these replicas to stop receiving, under this term, then survey again.
    Pause(Term, Vec<InstanceId>),
    /// Command the old primary to become a replica, under this term, then survey again.
    Demote(Term, InstanceId),
    /// Order the platform to make this instance primary.
    Promote(InstanceId),
    /// Do nothing now; survey again later.
    Wait(WaitCause),
    /// End the change without a new primary, and resume the replicas.
    Abandon,
}

/// One round of status queries to all instances of a group, with what else is known.
#[derive(Clone, Debug)]
pub struct Survey {
    /// The instances.
    pub instances: Vec<InstanceView>,
    /// The primary to replace. What it alone holds has not been acknowledged, as long as every
    /// replica responds.
    pub old_primary: InstanceId,
    /// Why it is replaced.
    pub cause: Cause,
    /// Newest end of the old primary's log that the coordinator knew before the survey.
    pub known_end: Option<Point>,
    /// Whether a resume command without a response may still take effect.
    pub may_resume: bool,
    /// The instance of an earlier promotion order that may still take effect.
    pub pending_order: Option<InstanceId>,
    /// Time since the old primary was first commanded to stop leading.
    pub since_demote: Option<Span>,
    /// Whether the store held the intent of this change before the survey, and `instances`
    /// includes all that were announced before the intent was recorded.
    pub intent_recorded: bool,
}

impl Survey {
    fn instance(&self, id: &InstanceId) -> Option<&InstanceView> {
        self.instances.iter().find(|i| i.id == *id)
    }

    fn old_view(&self) -> Option<&InstanceView> {
        self.instance(&self.old_primary)
    }

    /// Whether the old primary is a replica although this change has not demoted it. It may be
    /// a replica of another instance, so its log counts like that of any replica. While an
    /// order is pending, the change that gave the order may have demoted it.
    fn already_replaced(&self) -> bool {
        let state = self.old_view().and_then(|i| i.state);
        let is_replica = state.is_some_and(|s| s.role == Role::Replica);
        is_replica && self.since_demote.is_none() && self.pending_order.is_none()
    }

    /// Whether this is the primary to replace.
    fn is_old_primary(&self, instance: &InstanceView) -> bool {
        instance.id == self.old_primary && !self.already_replaced()
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
    if cause_resolved(survey, primary) && !pending {
        return Step::Abandon;
    }
    if *cause == Cause::Lagging && primary.is_none() && !pending {
        return Step::Wait(WaitCause::PrimarySilent);
    }
    let candidate = candidate(survey, newest);
    // While the instance of a pending order is unresponsive, the others stay paused for it.
    let chosen = candidate.map(|i| &i.id).or(survey.pending_order.as_ref());
    let others =
        replicas(instances, newest).filter(|i| Some(&i.id) != chosen && !survey.is_old_primary(i));
    let term = newest.next();
    let receiving = others
        .clone()
        .filter(|i| i.state.is_some_and(|s| s.paused < term));
    let receiving: Vec<_> = receiving.map(|i| i.id.clone()).collect();
    if chosen.is_some() && !receiving.is_empty() {
        return Step::Pause(term, receiving);
    }
    let Some((candidate, state)) = candidate.and_then(|i| Some((i, i.state?))) else {
        return Step::Wait(WaitCause::without_candidate(pending));
    };
    let lags = *cause != Cause::Doubted && known_end.is_some_and(|end| state.received < end);
    if lags || others.clone().any(|i| is_ahead(i, state.received)) {
        return Step::Wait(WaitCause::CatchingUp);
    }
    if others
        .clone()
        .any(|i| may_hold_more(i, state.received, *known_end))
    {
        return Step::Wait(WaitCause::Unheard);
    }
    if *cause == Cause::Unfinished && pending {
        return Step::Promote(candidate.id.clone());
    }
    let unresponsive = others.clone().any(|i| i.state.is_none());
    let others_may_resume = survey.may_resume && others.clone().next().is_some();
    if *cause == Cause::Doubted {
        if may_still_lead(survey) {
            return Step::Demote(term, old_primary.clone());
        }
        if awaits_announcement(survey, state.received) {
            return Step::Wait(WaitCause::Announcing);
        }
    }
    if !unresponsive && !others_may_resume {
        return Step::Promote(candidate.id.clone());
    }
    step_requiring_demote(survey, candidate, term)
}

/// Whether the cause no longer applies.
fn cause_resolved(survey: &Survey, primary: Option<&InstanceView>) -> bool {
    match survey.cause {
        Cause::Doubted => false,
        Cause::Unfinished => primary.is_some(),
        Cause::Leaving => primary.is_some_and(|p| !p.leaving),
        Cause::Lagging => primary.is_some_and(|p| p.id != survey.old_primary),
    }
}

/// Whether the old primary may still lead and can be demoted.
///
/// While it leads, it acknowledges every write that any instance receives from it. An instance
/// that starts while the promotion order is in flight receives the whole log before it is
/// announced and can be paused. A primary without a free slot for the status query mostly has
/// none for the demote command either: the command is repeated for [`ANNOUNCE_DELAY`], then the
/// change continues without it.
fn may_still_lead(survey: &Survey) -> bool {
    let Some(old) = survey.old_view() else {
        return false;
    };
    match old.state {
        Some(_) => leads(old, newest_term(&survey.instances)),
        None => old.responded && !announce_delay_passed(survey),
    }
}

/// Whether the demoted primary holds more than the candidate, while an instance that started
/// just before the demotion may not be announced yet: that instance may have received and
/// acknowledged the difference.
fn awaits_announcement(survey: &Survey, received: Point) -> bool {
    let old_is_ahead = survey.old_view().is_some_and(|i| is_ahead(i, received));
    old_is_ahead && survey.since_demote.is_some() && !announce_delay_passed(survey)
}

fn announce_delay_passed(survey: &Survey) -> bool {
    survey
        .since_demote
        .is_some_and(|since| since >= ANNOUNCE_DELAY)
}

/// The next step where the old primary must not acknowledge any further write.
///
/// A replica that does not respond may still receive the log, and a pending resume command lets
/// a paused replica receive again. Either could acknowledge a write that the candidate lacks,
/// even after the promotion order was given. So the old primary is demoted first. That neither
/// replica is announced proves nothing: an entry also lapses when only the connection between
/// its instance and the store fails. After the demotion, an unresponsive replica may have
/// acknowledged what the old primary holds beyond the candidate: then the old primary is
/// promoted again.
fn step_requiring_demote(survey: &Survey, candidate: &InstanceView, term: Term) -> Step {
    let newest = newest_term(&survey.instances);
    let unresponsive = survey
        .instances
        .iter()
        .filter(|i| i.state.is_none())
        .count();
    match survey.old_view() {
        Some(_) if survey.already_replaced() && unresponsive > 1 => Step::Wait(WaitCause::Unheard),
        Some(p) if leads(p, newest) => Step::Demote(term, survey.old_primary.clone()),
        Some(p) if p.state.is_none() && survey.may_resume => Step::Wait(WaitCause::ResumePending),
        Some(p) if p.state.is_none() => Step::Wait(WaitCause::Unheard),
        Some(p) if unresponsive > 0 && candidate.state.is_some_and(|s| is_ahead(p, s.received)) => {
            Step::Promote(p.id.clone())
        }
        _ => Step::Promote(candidate.id.clone()),
    }
}

/// The newest term that any instance reports.
pub fn newest_term(instances: &[InstanceView]) -> Term {
    let states = instances.iter().filter_map(|i| i.state);
    states
        .map(|s| s.term.max(s.received.term))
        .max()
        .unwrap_or_default()
}

/// Whether the instance is primary in the newest term, as it reports.
pub fn leads(instance: &InstanceView, newest: Term) -> bool {
    instance
        .state
        .is_some_and(|s| s.role == Role::Primary && s.term >= newest)
}

/// The primary of the newest term, if it responded.
pub fn leader(instances: &[InstanceView]) -> Option<&InstanceView> {
    let newest = newest_term(instances);
    instances.iter().find(|i| leads(i, newest))
}

fn replicas(
    instances: &[InstanceView],
    newest: Term,
) -> impl Iterator<Item = &InstanceView> + Clone {
    instances.iter().filter(move |i| !leads(i, newest))
}

/// The replica to promote; among equals the first, so that every survey chooses the same one.
///
/// While the primary responds, a replica that stays in service can still receive what one that
/// is being decommissioned holds, and a replica in the primary's region receives new writes
/// almost at once. Without the primary, only the replica that holds the most can be promoted,
/// even if it is being decommissioned: it is primary until the next change.
///
/// While an order for an instance may still take effect, no other is chosen: when the order
/// takes effect, all replicas receive again, and an instance that was chosen before may lack
/// what they then acknowledge.
fn candidate(survey: &Survey, newest: Term) -> Option<&InstanceView> {
    let instances = &survey.instances;
    let has_primary = leader(instances).is_some();
    let pending = survey
        .pending_order
        .as_ref()
        .filter(|id| !lost_log(survey, id));
    let may_lead = |i: &&InstanceView| {
        let allowed = pending.map_or_else(|| !survey.is_old_primary(i), |ordered| *ordered == i.id);
        i.announced && allowed
    };
    let others = replicas(instances, newest).filter(may_lead);
    let ranked = others.filter_map(|i| {
        let received = i.state?.received;
        let rank = (
            has_primary && !i.leaving,
            has_primary && i.same_region,
            received,
            !i.leaving,
        );
        Some((rank, i))
    });
    let best = ranked.reduce(|best, next| if next.0 > best.0 { next } else { best });
    best.map(|(_, i)| i)
}

/// Whether the instance of a pending order lacks what a paused replica holds, because it started
/// again with an empty log. An order for another instance then loses less than waiting for it.
fn lost_log(survey: &Survey, ordered: &InstanceId) -> bool {
    let Some(state) = survey.instance(ordered).and_then(|i| i.state) else {
        return false;
    };
    let others = survey
        .instances
        .iter()
        .filter(|i| i.id != *ordered && i.id != survey.old_primary);
    let mut paused = others.filter(|i| i.state.is_some_and(|s| s.paused.0 > 0));
    paused.any(|i| is_ahead(i, state.received))
}

fn is_ahead(instance: &InstanceView, received: Point) -> bool {
    instance.state.is_some_and(|s| s.received > received)
}

/// Whether an unresponsive replica may hold an acknowledged write that the candidate lacks.
///
/// An announced replica may have acknowledged a write a moment ago. One that is not announced
/// may be partitioned from the store alone. It is ignored here if the candidate holds
/// everything that the primary is known to have had; [`step_requiring_demote`] then requires a
/// demoted primary.
fn may_hold_more(instance: &InstanceView, received: Point, known_end: Option<Point>) -> bool {
    if instance.state.is_some() {
        return false;
    }
    instance.announced || known_end.is_none_or(|end| received < end)
}
