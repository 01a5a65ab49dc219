//! One change of primary: looks at all instances, stops replicas from receiving, names
//! the next primary, and lets the replicas receive again.

use std::time::Duration;

use futures_util::future;
use indexmap::{IndexMap, IndexSet};
use model::entry::Entry;
use model::id::InstanceId;
use model::unit::Span;
use platform::line::Own;
use policy::pool::{Ask, Kind};
use policy::takeover::{self, Answer, Cause, Hold, Member, Role, State, Step, Token};

use super::{Coordinator, over};
use crate::clock;
use crate::conn::ConnError;
use crate::group::{self, Lent};

/// Longest time of one attempt; then the triggers are looked at anew.
const LIMIT: Span = Span::from_millis(12_000);

/// Longest wait for an instance's answer to a question or an order. A question waits for
/// a slot of the instance, behind statements of some tens of milliseconds.
const ANSWER: Duration = Duration::from_millis(500);

/// The same for an instance that did not answer before: a round trip between regions.
/// Each look waits for the slowest, and writes wait for the change.
const SILENT_ANSWER: Duration = Duration::from_millis(80);

/// Longest wait for the platform's answer to an order. It carries one out in 600 to
/// 1,000 ms; whether it did is seen on the instance.
const ORDER: Duration = Duration::from_millis(1_500);

/// Longest wait from an order until the instance leads.
const LEADS: Span = Span::from_millis(2_500);

/// Tries to make the platform refuse earlier orders; the next look goes on with it.
const SETTLE_TRIES: u32 = 4;

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(60);

/// Connections to the group's instances, kept for the whole change.
struct Links {
    group: group::Handle,
    conns: IndexMap<InstanceId, Lent>,
    /// Instances that left a question unanswered; the next looks wait less for them.
    silent: IndexSet<InstanceId>,
}

impl Links {
    fn new(group: group::Handle) -> Self {
        Self {
            group,
            conns: IndexMap::new(),
            silent: IndexSet::new(),
        }
    }

    /// Gives every connection back.
    fn end(self) {
        for (_, lent) in self.conns {
            lent.give_back();
        }
    }

    /// Sends a statement to each of the instances and gives what each answered.
    ///
    /// The connections come from the pool, before everything else that waits for one: an
    /// instance whose connections are all in use accepts no further one, and a replica
    /// that cannot be heard for that reason would hold up the whole change.
    async fn each(&mut self, entries: &[Entry], own: &Own<'_>) -> IndexMap<InstanceId, State> {
        let calls = entries.iter().map(|entry| {
            let lent = self.conns.shift_remove(&entry.id);
            let limit = if self.silent.contains(&entry.id) {
                SILENT_ANSWER
            } else {
                ANSWER
            };
            let group = &self.group;
            async move {
                let lent = match lent {
                    Some(lent) => Some(lent),
                    None => group.ask(control(entry, limit)).await.ok(),
                };
                let mut lent = lent.ok_or(ConnError::Silent)?;
                let conn = lent.conn().ok_or(ConnError::Silent)?;
                let state = conn.state(own, limit).await?;
                Ok::<_, ConnError>((lent, state))
            }
        });
        let calls: Vec<_> = calls.collect();
        let answers = future::join_all(calls).await;
        let mut states = IndexMap::new();
        for (entry, answer) in entries.iter().zip(answers) {
            match answer {
                Ok((lent, state)) => {
                    self.conns.insert(entry.id.clone(), lent);
                    states.insert(entry.id.clone(), state);
                }
                Err(e) => {
                    self.silent.insert(entry.id.clone());
                    let group = self.group.group();
                    tracing::info!(%group, instance = %entry.id, asked = ?own, cause = %e, "an instance did not answer the coordinator");
                }
            }
        }
        states
    }
}

fn control(entry: &Entry, limit: Duration) -> Ask {
    let now = clock::now();
    Ask {
        kind: Kind::Control(entry.id.clone()),
        own: None,
        arrived: now,
        give_up: now + Span::from(limit),
        priority: 0,
        avoid: None,
    }
}

/// Replaces the primary, unless a look at the instances says otherwise.
pub(super) async fn run(
    this: &Coordinator,
    group: group::Handle,
    doubted: InstanceId,
    cause: Cause,
) {
    let id = group.group().clone();
    let Some(first) = this.member.duty(&this.directory) else {
        return;
    };
    let begun = clock::now();
    tracing::warn!(group = %id, instance = %doubted, ?cause, token = %first, "a change of primary begins");
    let mut change = Change {
        doubted,
        cause,
        hold: None,
        ordered: false,
        links: Links::new(group),
    };
    while !over(begun, LIMIT) {
        if this.member.duty(&this.directory) != Some(first) {
            // Whoever holds the duty now lets the replicas receive again, by `mend`.
            tracing::warn!(group = %id, "the duty was lost during a change of primary");
            return;
        }
        if change.go_on(this).await {
            break;
        }
    }
    let took_ms = clock::now().since(begun).as_millis();
    tracing::info!(group = %id, took_ms, "a change of primary ends");
    let mut links = change.links;
    resume(this, &mut links, change.ordered).await;
    links.end();
}

/// Lets replicas receive that were told to stop by a change of primary that did not end.
///
/// A coordinator may die, or lose its duty, between stopping them and the order; an order
/// to stop may be carried out seconds late. Such a replica receives nothing any more, its
/// reads are refused, and with all of them stopped no write ends.
pub(super) async fn mend(this: &Coordinator, group: group::Handle) {
    let mut links = Links::new(group);
    resume(this, &mut links, false).await;
    links.end();
}

/// A change of primary under way.
struct Change {
    doubted: InstanceId,
    cause: Cause,
    /// Why the last look led to nothing.
    hold: Option<Hold>,
    /// Whether an order was given that may still be carried out.
    ordered: bool,
    links: Links,
}

impl Change {
    /// Looks at all instances and takes the next step; says whether the change is over.
    async fn go_on(&mut self, this: &Coordinator) -> bool {
        let group = self.links.group.clone();
        let members = self.look(this).await;
        if done(&members, &self.doubted) {
            return true;
        }
        let recovered = this.trigger(&group).await.is_none();
        if recovered && self.cause == Cause::Doubted {
            return true;
        }
        let end = group.view().await.end;
        match takeover::next_step(&members, &self.doubted, self.cause, end) {
            Step::Abandon => true,
            Step::Pause(term, who) => {
                let states = order(this, &mut self.links, &who, &Own::Pause(term.0)).await;
                tracing::info!(group = %group.group(), %term, ?states, "replicas were told to stop receiving");
                false
            }
            Step::Demote(term, old) => {
                let states = order(this, &mut self.links, &[old], &Own::Demote(term.0)).await;
                tracing::warn!(group = %group.group(), %term, ?states, "the old primary was told to stop leading");
                false
            }
            Step::Hold(hold) => {
                self.wait(hold, &members).await;
                false
            }
            Step::Promote(next) => self.promote(this, &next, &members).await,
        }
    }

    /// Asks all instances. A doubted primary is asked only while a replica is missing that
    /// could still receive from it: otherwise its answer would be waited for in vain.
    async fn look(&mut self, this: &Coordinator) -> Vec<Member> {
        let known = entries(this, &self.links.group);
        let complete = known
            .iter()
            .all(|(entry, listed)| *listed || entry.id == self.doubted);
        let needless = complete && self.cause == Cause::Doubted;
        let skip = needless.then_some(&self.doubted);
        let asked: Vec<_> = known
            .iter()
            .map(|(entry, _)| entry.clone())
            .filter(|entry| Some(&entry.id) != skip)
            .collect();
        let states = self.links.each(&asked, &Own::Status).await;
        let member = |(entry, listed): &(Entry, bool)| Member {
            id: entry.id.clone(),
            listed: *listed,
            leaving: entry.leaving,
            state: states.get(&entry.id).copied(),
        };
        known.iter().map(member).collect()
    }

    async fn wait(&mut self, hold: Hold, members: &[Member]) {
        if self.hold != Some(hold) {
            let group = self.links.group.group();
            tracing::warn!(%group, cause = %hold, ?members, "the change of primary waits");
        }
        self.hold = Some(hold);
        compio::time::sleep(PAUSE).await;
    }

    async fn promote(&mut self, this: &Coordinator, next: &InstanceId, members: &[Member]) -> bool {
        let Some(token) = this.next_token() else {
            return false;
        };
        let group = self.links.group.clone();
        tracing::warn!(group = %group.group(), instance = %next, %token, ?members, "an instance is made primary");
        let led = promote(this, &mut self.links, next, token, members).await;
        self.ordered = !led;
        if led {
            tracing::warn!(group = %group.group(), instance = %next, %token, "the primary was replaced");
            group.expect_primary(next);
        }
        led
    }
}

/// Whether another instance than the doubted one leads the newest term.
fn done(members: &[Member], doubted: &InstanceId) -> bool {
    let newest = takeover::newest_term(members);
    members
        .iter()
        .any(|m| m.id != *doubted && takeover::leads(m, newest))
}

fn entries(this: &Coordinator, group: &group::Handle) -> Vec<(Entry, bool)> {
    this.directory.with(|s| s.members(group.group()))
}

/// Sends an order to some of the group's instances.
async fn order(
    this: &Coordinator,
    links: &mut Links,
    who: &[InstanceId],
    own: &Own<'_>,
) -> IndexMap<InstanceId, State> {
    let known = entries(this, &links.group).into_iter();
    let entries: Vec<_> = known
        .map(|(entry, _)| entry)
        .filter(|entry| who.contains(&entry.id))
        .collect();
    links.each(&entries, own).await
}

/// Gives the order and waits until the instance leads.
///
/// An instance that appears or comes back meanwhile could receive from the old primary and acknowledge
/// what the next one lacks, so it is told to stop receiving as soon as it is known.
async fn promote(
    this: &Coordinator,
    links: &mut Links,
    next: &InstanceId,
    token: Token,
    members: &[Member],
) -> bool {
    let group = links.group.group().clone();
    let begun = clock::now();
    let holder = &this.member.id;
    let target = (&group, next);
    let answer = platform::order::promote(&this.orders, holder, token, target, ORDER).await;
    tracing::info!(%group, instance = %next, %token, ?answer, "the platform answered an order");
    match answer {
        Ok(Answer::Accepted) | Err(_) => {}
        Ok(Answer::Conflict | Answer::NotNow) => {
            compio::time::sleep(PAUSE).await;
            return false;
        }
    }
    let term = takeover::newest_term(members).next();
    let heard = |m: &&Member| m.state.is_some() || m.listed;
    let mut known: IndexSet<_> = members.iter().filter(heard).map(|m| m.id.clone()).collect();
    while !over(begun, LEADS) {
        let all = entries(this, &links.group).into_iter();
        let new: Vec<_> = all
            .filter(|(_, listed)| *listed)
            .map(|(entry, _)| entry.id)
            .filter(|id| !known.contains(id))
            .collect();
        if !new.is_empty() {
            let states = order(this, links, &new, &Own::Pause(term.0)).await;
            tracing::warn!(%group, ?states, "an instance appeared during a change of primary");
            if states.values().any(|s| s.role == Role::Primary) {
                // The old primary is back, under another id even: it goes on leading, and
                // the order is made void before it acknowledges what the next one lacks.
                return false;
            }
            known.extend(new);
        }
        let states = order(this, links, std::slice::from_ref(next), &Own::Status).await;
        let leads = states.get(next).is_some_and(|s| s.role == Role::Primary);
        if leads {
            return true;
        }
        compio::time::sleep(PAUSE).await;
    }
    false
}

/// Lets replicas receive that were told to stop.
///
/// An order that had no answer may still be carried out, seconds from now. It was right
/// while the replicas were stopped: once they receive again, one of them may acknowledge
/// what the instance of that order lacks. So the present primary is ordered first, which
/// changes nothing but the token that the platform has seen: the late order is refused.
/// `ordered` says that an order is known to be on its way; it is made void in any case.
async fn resume(this: &Coordinator, links: &mut Links, ordered: bool) {
    let known = entries(this, &links.group);
    let known: Vec<_> = known.into_iter().map(|(entry, _)| entry).collect();
    let states = links.each(&known, &Own::Status).await;
    let stopped = |entry: &&Entry| {
        let state = states.get(&entry.id);
        state.is_some_and(|s| s.role == Role::Replica && s.paused.0 > 0)
    };
    let stopped: Vec<_> = known.iter().filter(stopped).cloned().collect();
    if stopped.is_empty() && !ordered {
        return;
    }
    let newest = states.values().map(|s| s.term.max(s.received.term)).max();
    let leads = |(_, s): &(&InstanceId, &State)| s.role == Role::Primary && Some(s.term) >= newest;
    let Some((primary, _)) = states.iter().find(leads) else {
        return;
    };
    if !settle(this, links, primary).await {
        return;
    }
    if stopped.is_empty() {
        return;
    }
    let states = links.each(&stopped, &Own::Resume).await;
    tracing::info!(group = %links.group.group(), ?states, "replicas were told to receive again");
}

/// Makes the platform refuse every earlier order for the group.
async fn settle(this: &Coordinator, links: &Links, primary: &InstanceId) -> bool {
    let group = links.group.group();
    for _ in 0..SETTLE_TRIES {
        let Some(token) = this.next_token() else {
            return false;
        };
        let holder = &this.member.id;
        let target = (group, primary);
        let answer = platform::order::promote(&this.orders, holder, token, target, ORDER).await;
        tracing::info!(%group, instance = %primary, %token, ?answer, "the present primary was ordered");
        if matches!(answer, Ok(Answer::Accepted)) {
            return true;
        }
        compio::time::sleep(PAUSE).await;
    }
    false
}
