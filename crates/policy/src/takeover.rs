//! Which instance may lead a group next, where the platform carries the change out.
//!
//! The platform makes an instance lead with the log that it holds, and asks for nothing.
//! So the proxy has to know beforehand that the log holds every acknowledged write. A
//! write is acknowledged once one replica has received it. Therefore the others are
//! first stopped from receiving, and then the candidate must hold all that they hold:
//! from then on every write that is acknowledged has been received by the candidate,
//! also while the old primary is alive and goes on acknowledging. The proof stays true
//! for an order that is carried out seconds late, as long as the others stay stopped.

use std::fmt;

use model::id::InstanceId;
use model::position::{Point, Term};

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
pub enum Answer {
    /// It is being carried out.
    Accepted,
    /// A higher token was used, or the instance does not run.
    Conflict,
    /// It was not taken; it may be asked again.
    NotNow,
}

/// An instance of the group as the coordinator sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Which one.
    pub id: InstanceId,
    /// Whether it is announced in the store.
    pub listed: bool,
    /// Whether it is being taken out of service.
    pub leaving: bool,
    /// Its answer just now; `None` when it gave none.
    pub state: Option<State>,
}

/// Why the primary is to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Proxies do not reach it, or writes on it do not end.
    Doubted,
    /// It is being taken out of service.
    Leaving,
}

/// Why nothing is done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Hold {
    /// No replica answers that could lead.
    #[error("no replica answers that could lead")]
    NoCandidate,
    /// A replica that may alone hold an acknowledged write does not answer.
    #[error("a replica that may hold an acknowledged write does not answer")]
    Unheard,
    /// The candidate has not received yet what another holds.
    #[error("the candidate has not received what another replica holds")]
    CatchingUp,
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
    Hold(Hold),
    /// The primary is well: let the replicas receive, and end.
    Abandon,
}

/// Decides the next step from a fresh look at all instances.
///
/// `old` is the primary that is to be replaced. What it alone holds has not been
/// acknowledged, so it need not answer. `known_end` is the newest end of its log that the
/// coordinator saw.
pub fn next_step(
    members: &[Member],
    old: &InstanceId,
    cause: Cause,
    known_end: Option<Point>,
) -> Step {
    let newest = newest_term(members);
    let primary = members.iter().find(|m| leads(m, newest));
    if cause == Cause::Leaving && !primary.is_some_and(|p| p.leaving) && primary.is_some() {
        return Step::Abandon;
    }
    let Some(candidate) = candidate(members, old, newest) else {
        return Step::Hold(Hold::NoCandidate);
    };
    let others = replicas(members, newest).filter(|m| m.id != candidate.id && m.id != *old);
    let term = newest.next();
    let running: Vec<_> = others
        .clone()
        .filter(|m| m.state.is_some_and(|s| s.paused < term))
        .map(|m| m.id.clone())
        .collect();
    if !running.is_empty() {
        return Step::Pause(term, running);
    }
    let Some(own) = candidate.state else {
        return Step::Hold(Hold::NoCandidate);
    };
    if others.clone().any(|m| ahead(m, own.received)) {
        return Step::Hold(Hold::CatchingUp);
    }
    if others.clone().any(|m| unheard(m, own.received, known_end)) {
        return Step::Hold(Hold::Unheard);
    }
    if others.clone().any(|m| m.state.is_none()) {
        return without_all(members, old, term, candidate);
    }
    Step::Promote(candidate.id.clone())
}

/// The next step while a replica is passed over because it is no longer announced.
///
/// It may come back at any moment, receive from the old primary, and acknowledge a write
/// that the candidate lacks, also after the order was given. So the old primary must not
/// lead any more: it is told to stop, or it is no longer announced either.
fn without_all(members: &[Member], old: &InstanceId, term: Term, candidate: &Member) -> Step {
    let newest = newest_term(members);
    let primary = members.iter().find(|m| m.id == *old);
    match primary {
        Some(p) if leads(p, newest) => Step::Demote(term, old.clone()),
        Some(p) if p.state.is_none() && p.listed => Step::Hold(Hold::Unheard),
        _ => Step::Promote(candidate.id.clone()),
    }
}

/// The newest term that any instance tells of.
pub fn newest_term(members: &[Member]) -> Term {
    let states = members.iter().filter_map(|m| m.state);
    states
        .map(|s| s.term.max(s.received.term))
        .max()
        .unwrap_or_default()
}

/// Whether the instance leads the newest term, by its own word.
pub fn leads(member: &Member, newest: Term) -> bool {
    member
        .state
        .is_some_and(|s| s.role == Role::Primary && s.term >= newest)
}

fn replicas(members: &[Member], newest: Term) -> impl Iterator<Item = &Member> + Clone {
    members.iter().filter(move |m| !leads(m, newest))
}

/// The replica to name; among equals the first, so that a second look chooses the same.
///
/// While the primary lives, one that stays can still receive what a leaving one holds;
/// without it only the one that holds most can lead, and a leaving one leads for a while.
fn candidate<'a>(members: &'a [Member], old: &InstanceId, newest: Term) -> Option<&'a Member> {
    let alive = members.iter().any(|m| leads(m, newest));
    let mut best: Option<(&Member, (bool, Point, bool))> = None;
    let others = replicas(members, newest).filter(|m| m.listed && m.id != *old);
    for m in others {
        let Some(state) = m.state else { continue };
        let rank = (alive && !m.leaving, state.received, !m.leaving);
        if best.is_none_or(|(_, held)| rank > held) {
            best = Some((m, rank));
        }
    }
    best.map(|(m, _)| m)
}

fn ahead(member: &Member, received: Point) -> bool {
    member.state.is_some_and(|s| s.received > received)
}

/// Whether a silent replica may hold an acknowledged write that the candidate lacks.
///
/// One that is still announced may have acknowledged a moment ago. One that is no longer
/// announced has been silent for several heartbeats, so that it matters only if the
/// candidate lacks something of the log that the primary is known to have had.
fn unheard(member: &Member, received: Point, known_end: Option<Point>) -> bool {
    if member.state.is_some() {
        return false;
    }
    member.listed || known_end.is_none_or(|end| received < end)
}
