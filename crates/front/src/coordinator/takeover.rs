//! One change of primary: looks at all instances, stops replicas from receiving, names
//! the next primary, and lets the replicas receive again.

use std::time::Duration;

use futures_util::future;
use indexmap::IndexMap;
use model::entry::Entry;
use model::id::InstanceId;
use model::position::Term;
use model::unit::Span;
use platform::line::Own;
use platform::order;
use policy::takeover::{self, Answer, Cause, Hold, Member, Role, State, Step, Token};

use super::{Coordinator, over};
use crate::clock;
use crate::conn::Conn;
use crate::group;

/// Longest time of one attempt; then the triggers are looked at anew.
const LIMIT: Span = Span::from_millis(12_000);

/// Longest wait for an instance's answer to a question or an order. A question waits for
/// a slot of the instance, behind statements of some tens of milliseconds.
const ANSWER: Duration = Duration::from_millis(500);

/// Longest wait for the platform's answer to an order. It carries one out in 600 to
/// 1,000 ms; whether it did is seen on the instance.
const ORDER: Duration = Duration::from_millis(1_500);

/// Longest wait from an order until the instance leads.
const LEADS: Span = Span::from_millis(2_500);

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(60);

/// Open connections to the group's instances, kept for the whole change.
struct Links {
    group: group::Handle,
    conns: IndexMap<InstanceId, Conn>,
}

impl Links {
    /// Sends a statement to each of the instances and gives what each answered.
    async fn each(&mut self, entries: &[Entry], own: &Own<'_>) -> IndexMap<InstanceId, State> {
        let group = self.group.group().clone();
        let calls = entries.iter().map(|entry| {
            let conn = self.conns.shift_remove(&entry.id);
            let group = &group;
            async move {
                let mut conn = match conn {
                    Some(conn) => conn,
                    None => Conn::open(entry.address, group, &entry.id, ANSWER).await?,
                };
                let state = conn.state(own, ANSWER).await?;
                Ok::<_, crate::conn::ConnError>((conn, state))
            }
        });
        let calls: Vec<_> = calls.collect();
        let answers = future::join_all(calls).await;
        let mut states = IndexMap::new();
        for (entry, answer) in entries.iter().zip(answers) {
            match answer {
                Ok((conn, state)) => {
                    self.conns.insert(entry.id.clone(), conn);
                    states.insert(entry.id.clone(), state);
                }
                Err(e) => {
                    tracing::info!(%group, instance = %entry.id, asked = ?own, cause = %e, "an instance did not answer the coordinator");
                }
            }
        }
        states
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
    let links = Links {
        group,
        conns: IndexMap::new(),
    };
    let mut change = Change {
        doubted,
        cause,
        token: first,
        hold: None,
        links,
    };
    while !over(begun, LIMIT) {
        if this.member.duty(&this.directory) != Some(first) {
            // Whoever holds the duty now also lets the replicas receive again.
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
    resume(this, &mut links).await;
    for (_, conn) in links.conns {
        conn.close().await;
    }
}

/// A change of primary under way.
struct Change {
    doubted: InstanceId,
    cause: Cause,
    /// Token of the next order.
    token: Token,
    /// Why the last look led to nothing.
    hold: Option<Hold>,
    links: Links,
}

impl Change {
    /// Looks at all instances and takes the next step; says whether the change is over.
    async fn go_on(&mut self, this: &Coordinator) -> bool {
        let group = self.links.group.clone();
        let members = look(this, &mut self.links).await;
        if done(&members, &self.doubted) {
            return true;
        }
        let recovered = this.trigger(&group).await.is_none();
        if recovered && self.cause == Cause::Doubted && self.hold.is_none() {
            return true;
        }
        let end = group.view().await.end;
        match takeover::next_step(&members, self.cause, end) {
            Step::Abandon => true,
            Step::Pause(term, who) => {
                pause(this, &mut self.links, term, &who).await;
                false
            }
            Step::Hold(hold) => {
                self.wait(hold, &members).await;
                false
            }
            Step::Promote(next) => self.promote(this, &next, &members).await,
        }
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
        let token = self.token;
        self.token = token.next();
        let group = self.links.group.clone();
        tracing::warn!(group = %group.group(), instance = %next, %token, ?members, "an instance is made primary");
        let led = promote(this, &mut self.links, next, token).await;
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

async fn look(this: &Coordinator, links: &mut Links) -> Vec<Member> {
    let known = this.directory.with(|s| s.members(links.group.group()));
    let entries: Vec<_> = known.iter().map(|(entry, _)| entry.clone()).collect();
    let states = links.each(&entries, &Own::Status).await;
    let member = |(entry, listed): &(Entry, bool)| Member {
        id: entry.id.clone(),
        listed: *listed,
        leaving: entry.leaving,
        state: states.get(&entry.id).copied(),
    };
    known.iter().map(member).collect()
}

async fn pause(this: &Coordinator, links: &mut Links, term: Term, who: &[InstanceId]) {
    let known = this.directory.with(|s| s.members(links.group.group()));
    let entries: Vec<_> = known
        .into_iter()
        .map(|(entry, _)| entry)
        .filter(|entry| who.contains(&entry.id))
        .collect();
    let states = links.each(&entries, &Own::Pause(term.0)).await;
    tracing::info!(group = %links.group.group(), %term, ?states, "replicas were told to stop receiving");
}

/// Gives the order and waits until the instance leads.
async fn promote(this: &Coordinator, links: &mut Links, next: &InstanceId, token: Token) -> bool {
    let group = links.group.group().clone();
    let begun = clock::now();
    let holder = &this.member.id;
    let answer = order::promote(&this.orders, holder, token, (&group, next), ORDER).await;
    tracing::info!(%group, instance = %next, %token, ?answer, "the platform answered an order");
    match answer {
        Ok(Answer::Accepted) | Err(_) => {}
        Ok(Answer::Conflict | Answer::NotNow) => {
            compio::time::sleep(PAUSE).await;
            return false;
        }
    }
    let known = this.directory.with(|s| s.members(&group));
    let entry: Vec<_> = known
        .into_iter()
        .map(|(entry, _)| entry)
        .filter(|entry| entry.id == *next)
        .collect();
    while !over(begun, LEADS) {
        let states = links.each(&entry, &Own::Status).await;
        let leads = states.get(next).is_some_and(|s| s.role == Role::Primary);
        if leads {
            return true;
        }
        compio::time::sleep(PAUSE).await;
    }
    false
}

/// Lets replicas receive that were told to stop.
async fn resume(this: &Coordinator, links: &mut Links) {
    let members = look(this, links).await;
    let stopped = |id: &InstanceId| {
        let member = members.iter().find(|m| m.id == *id);
        let state = member.and_then(|m| m.state);
        state.is_some_and(|s| s.role == Role::Replica && s.paused.0 > 0)
    };
    let known = this.directory.with(|s| s.members(links.group.group()));
    let entries: Vec<_> = known
        .into_iter()
        .map(|(entry, _)| entry)
        .filter(|entry| stopped(&entry.id))
        .collect();
    if !entries.is_empty() {
        let states = links.each(&entries, &Own::Resume).await;
        tracing::info!(group = %links.group.group(), ?states, "replicas were told to receive again");
    }
}
