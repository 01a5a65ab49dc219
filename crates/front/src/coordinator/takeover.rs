//! One change of primary: looks at all instances, stops replicas from receiving, names
//! the next primary, and lets the replicas receive again.

use std::time::Duration;

use model::entry::Entry;
use model::id::InstanceId;
use model::position::Revision;
use model::unit::{Span, Time};
use platform::line::Own;
use policy::order_tracker::Purpose;
use policy::takeover::{
    self, Cause, InstanceView, OrderResponse, Role, State, Step, Survey, WaitCause,
};

use super::links::Links;
use super::newcomers::Newcomers;
use super::noting::Noting;
use super::report;
use super::{Coordinator, PAUSE, order, over, resume};
use crate::metrics::Outcome;
use crate::{clock, group};

/// Longest time of one attempt; then the triggers are looked at anew.
const LIMIT: Span = Span::from_millis(12_000);

/// The same where the primary is well and only its replicas lag: nothing is lost by
/// leaving it as it is, and stopped replicas fall further behind.
const LAG_LIMIT: Span = Span::from_millis(1_500);

/// Pause before the next look while the change is about to be noted.
const NOTE_PAUSE: Duration = Duration::from_millis(5);

/// Pause after an order that was not noted, not taken, or had no effect: each try costs the store
/// a note and the platform an order.
pub(super) const REFUSED_PAUSE: Duration = Duration::from_millis(300);

/// Pause before the next look while an earlier order stands and the primary is well.
const UNFINISHED_PAUSE: Duration = Duration::from_millis(500);

/// Replaces the primary, unless a look at the instances says otherwise.
pub(super) async fn run(
    this: &Coordinator,
    duty: Revision,
    group: group::Handle,
    old: InstanceId,
    cause: Cause,
) {
    let id = group.group().clone();
    let begun = clock::now();
    tracing::warn!(group = %id, instance = %old, ?cause, %duty, "a change of primary begins");
    let noting = Noting::begin(this, &id, duty);
    let links = match cause {
        Cause::Doubted => Links::to_replace(group, duty, old.clone()),
        Cause::Leaving | Cause::Lagging | Cause::Unfinished => Links::new(group, duty),
    };
    let mut change = Change {
        old,
        cause,
        noting,
        told_to_stop: None,
        hold: None,
        ordered: false,
        led: false,
        outcome: Outcome::GivenUp,
        links,
    };
    while !over(begun, change.limit()) {
        if !this.holds(duty) {
            // Whoever holds the duty now lets the replicas receive again, by `mend`.
            tracing::warn!(group = %id, "the duty was lost during a change of primary");
            this.cx.metrics.change_ended(cause, Outcome::DutyLost);
            return;
        }
        if change.go_on(this).await {
            break;
        }
    }
    let took_ms = clock::now().since(begun).as_millis();
    tracing::info!(group = %id, took_ms, "a change of primary ends");
    this.cx.metrics.change_ended(cause, change.outcome);
    if cause == Cause::Lagging {
        this.lag_handled.note(&id, change.led);
    }
    let mut links = change.links;
    resume::resume(this, &mut links).await;
}

/// A change of primary under way.
struct Change {
    /// The primary that is to be replaced.
    old: InstanceId,
    cause: Cause,
    noting: Noting,
    /// Since when the old primary has been told to stop leading.
    told_to_stop: Option<Time>,
    /// Why the last look led to nothing.
    hold: Option<WaitCause>,
    /// Whether it has given an order.
    ordered: bool,
    /// Whether the ordered instance leads.
    led: bool,
    /// How it ended, once it is over.
    outcome: Outcome,
    links: Links,
}

impl Change {
    fn limit(&self) -> Span {
        match self.cause {
            Cause::Doubted | Cause::Leaving | Cause::Unfinished => LIMIT,
            Cause::Lagging => LAG_LIMIT,
        }
    }

    /// Looks at all instances and takes the next step; says whether the change is over.
    async fn go_on(&mut self, this: &Coordinator) -> bool {
        let group = self.links.group.clone();
        let id = group.group();
        let intent_recorded = self.noting.is_known(this);
        order::forget_replaced(this, id).await;
        // Calls that lapse during the look may have been carried out after its answers.
        let may_resume = this.directory.with(|s| s.resume_pending(id, clock::now()));
        let pending_order = order::pending(this, id);
        let known_end = group.view().await.end;
        let instances = self.look(this, may_resume).await;
        if done(&instances, &self.old) {
            return self.end(if self.ordered {
                Outcome::Led
            } else {
                Outcome::Abandoned
            });
        }
        if order::unreadable(this, id) {
            self.wait(this, WaitCause::OrderPending, &instances).await;
            return false;
        }
        let primary = takeover::leader(&instances).map(|m| &m.id);
        if primary.is_some() && primary == pending_order.as_ref() {
            self.void_earlier(this, &instances).await;
            return false;
        }
        let trigger = this.trigger(&group).await.map(|(_, cause)| cause);
        if self.recovered(trigger, pending_order.is_some()) {
            return self.end(Outcome::Abandoned);
        }
        let told = self.told_to_stop.map(|at| clock::now().since(at));
        let look = Survey {
            instances,
            old_primary: self.old.clone(),
            cause: self.cause,
            known_end,
            may_resume,
            pending_order,
            since_demote: told,
            intent_recorded,
        };
        self.step(this, &look).await
    }

    /// Takes the next step; says whether the change is over.
    async fn step(&mut self, this: &Coordinator, look: &Survey) -> bool {
        let group = self.links.group.clone();
        match takeover::next_step(look) {
            Step::Abandon => self.end(Outcome::Abandoned),
            Step::Pause(term, who) => {
                let states = self.links.some(this, &who, &Own::Pause(term.0)).await;
                tracing::info!(group = %group.group(), %term, "replicas were told to stop receiving");
                report::states(group.group(), &states);
                false
            }
            Step::Demote(term, old) => {
                let states = self.links.some(this, &[old], &Own::Demote(term.0)).await;
                tracing::warn!(group = %group.group(), %term, "the old primary was told to stop leading");
                report::states(group.group(), &states);
                self.told_to_stop.get_or_insert_with(clock::now);
                false
            }
            Step::Wait(hold) => {
                self.wait(this, hold, &look.instances).await;
                false
            }
            Step::Promote(next) => self.promote(this, &next, &look.instances).await,
        }
    }

    /// Takes over what is the matter now; says whether nothing is, so that the change ends. While
    /// an order is pending it is completed.
    fn recovered(&mut self, trigger: Option<Cause>, pending: bool) -> bool {
        // A primary that was told to stop does not recover.
        let may_recover = self.cause == Cause::Doubted && self.told_to_stop.is_none();
        match trigger {
            Some(Cause::Doubted) => self.cause = Cause::Doubted,
            _ if may_recover && pending => self.cause = Cause::Unfinished,
            None if may_recover => return true,
            _ => {}
        }
        false
    }

    /// Makes orders for the primary itself void, before which it must not be told to stop.
    async fn void_earlier(&mut self, this: &Coordinator, members: &[InstanceView]) {
        if !order::void_earlier(this, &self.links, &self.old).await {
            self.wait(this, WaitCause::OrderPending, members).await;
        }
    }

    /// Asks all instances. A doubted primary that was silent is asked again only if a replica
    /// could still receive from it: one that is missing, or that is told so by an earlier
    /// order. Otherwise its answer would be waited for in vain.
    async fn look(&mut self, this: &Coordinator, resume_pending: bool) -> Vec<InstanceView> {
        let known = self.links.entries(this);
        let old = known.iter().find(|(entry, _)| entry.id == self.old);
        let home = old.map(|(entry, _)| entry.data_centre.clone());
        let complete = known
            .iter()
            .all(|(entry, listed)| *listed || entry.id == self.old);
        let silent = self.links.is_silent(&self.old);
        let needless = silent && complete && self.cause == Cause::Doubted && !resume_pending;
        let old = self.old.clone();
        let asked = |entry: &Entry| !(needless && entry.id == old);
        let ways = this.cx.distances();
        let near = |entry: &Entry| {
            let home = home.as_ref();
            home.is_none_or(|home| ways.same_region(home, &entry.data_centre))
        };
        self.links.look(this, asked, near).await
    }

    async fn wait(&mut self, this: &Coordinator, hold: WaitCause, members: &[InstanceView]) {
        if self.hold != Some(hold) {
            let group = self.links.group.group();
            tracing::warn!(%group, cause = %hold, "the change of primary waits");
            report::members(group, members);
            this.cx.metrics.change_waits(hold);
        }
        self.hold = Some(hold);
        compio::time::sleep(self.pause(hold)).await;
    }

    const fn pause(&self, hold: WaitCause) -> Duration {
        match self.cause {
            _ if matches!(hold, WaitCause::Unnoted) => NOTE_PAUSE,
            Cause::Unfinished => UNFINISHED_PAUSE,
            Cause::Doubted | Cause::Leaving | Cause::Lagging => PAUSE,
        }
    }

    async fn promote(
        &mut self,
        this: &Coordinator,
        next: &InstanceId,
        members: &[InstanceView],
    ) -> bool {
        let group = self.links.group.clone();
        report::members(group.group(), members);
        let basis = order::Basis::new(&self.links);
        let term = takeover::newest_term(members).next();
        let mut newcomers = Newcomers::new(&self.links, term);
        let give = order::give(this, Purpose::Change, &basis, next);
        let given = newcomers.stop_during(this, &mut self.links, give).await;
        let Some(given) = given else {
            compio::time::sleep(REFUSED_PAUSE).await;
            return false;
        };
        self.ordered = true;
        let accepted = given.answer == Some(OrderResponse::Accepted);
        let until = given.at + policy::order::leader_wait(given.answer);
        self.led = leads(this, &mut self.links, next, newcomers, until).await;
        if self.led {
            tracing::warn!(group = %group.group(), instance = %next, "the primary was replaced");
            this.named.note(group.group(), next);
            group.expect_primary(next);
        }
        given.settle(this, group.group(), self.led).await;
        if self.led {
            return self.end(Outcome::Led);
        }
        compio::time::sleep(REFUSED_PAUSE).await;
        // Whoever leads by an order that was taken, it may not be the old primary any more.
        accepted
    }

    /// Notes how the change ended; says that it is over.
    fn end(&mut self, outcome: Outcome) -> bool {
        self.outcome = outcome;
        true
    }
}

/// Whether another instance than the old primary leads the newest term.
fn done(members: &[InstanceView], old: &InstanceId) -> bool {
    let newest = takeover::newest_term(members);
    members
        .iter()
        .any(|m| m.id != *old && takeover::leads(m, newest))
}

/// Waits until the ordered instance leads, or for so long.
///
/// The old primary may come back meanwhile, under another id even: as long as the others stay
/// stopped it acknowledges only what the next one has received.
async fn leads(
    this: &Coordinator,
    links: &mut Links,
    next: &InstanceId,
    mut newcomers: Newcomers,
    until: Time,
) -> bool {
    while clock::now() < until {
        newcomers.stop(this, links).await;
        let states = links
            .some(this, std::slice::from_ref(next), &Own::Status)
            .await;
        let leads = |s: &State| s.role == Role::Primary && s.term >= newcomers.term;
        let leads = states.get(next).is_some_and(leads);
        if leads {
            return true;
        }
        compio::time::sleep(PAUSE).await;
    }
    false
}
