//! One change of primary: surveys all instances, pauses the replicas, orders the promotion of
//! the next primary, and resumes the replicas.

use std::time::Duration;

use model::entry::Entry;
use model::id::InstanceId;
use model::position::Revision;
use model::unit::{Span, Time};
use platform::line::ProxyStatement;
use policy::order_tracker::Purpose;
use policy::takeover::{
    self, Cause, InstanceView, OrderResponse, Role, State, Step, Survey, WaitCause,
};

use super::change_intent::ChangeIntent;
use super::new_instances::NewInstances;
use super::queries::InstanceQueries;
use super::report;
use super::{Coordinator, POLL_INTERVAL, has_elapsed, order, resume};
use crate::metrics::Outcome;
use crate::{clock, group};

/// Longest time of one attempt; then the triggers are evaluated again.
const ATTEMPT_TIMEOUT: Span = Span::from_millis(12_000);

/// The same where the primary is healthy and only its replicas lag: an aborted attempt does no
/// harm, and paused replicas fall further behind.
const LAG_ATTEMPT_TIMEOUT: Span = Span::from_millis(1_500);

/// Pause before the next survey while the intent of the change is being recorded.
const INTENT_DELAY: Duration = Duration::from_millis(5);

/// Pause after an order whose intent was not recorded, that was not accepted, or that had no
/// effect: each attempt costs a write to the store and an order to the platform.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Pause before the next survey while an earlier order is pending and the primary is healthy.
const UNFINISHED_DELAY: Duration = Duration::from_millis(500);

/// Replaces the primary, unless a survey of the instances shows no need to.
pub(super) async fn run(
    this: &Coordinator,
    epoch: Revision,
    group: group::Handle,
    old: InstanceId,
    cause: Cause,
) {
    let id = group.group().clone();
    let started = clock::now();
    tracing::warn!(group = %id, instance = %old, ?cause, duty = %epoch, "a change of primary begins");
    let intent = ChangeIntent::record(this, &id, epoch);
    let queries = match cause {
        Cause::Doubted => InstanceQueries::for_suspected(group, epoch, old.clone()),
        Cause::Leaving | Cause::Lagging | Cause::Unfinished => InstanceQueries::new(group, epoch),
    };
    let mut change = Change {
        old_primary: old,
        cause,
        intent,
        demoted_at: None,
        last_wait: None,
        order_sent: false,
        promoted: false,
        outcome: Outcome::TimedOut,
        queries,
    };
    while !has_elapsed(started, change.timeout()) {
        if !this.holds_role(epoch) {
            // The next coordinator resumes the replicas, by `resume::repair`.
            tracing::warn!(group = %id, "the coordinator role was lost during a change of primary");
            this.cx.metrics.change_ended(cause, Outcome::RoleLost);
            return;
        }
        if change.advance(this).await {
            break;
        }
    }
    let took_ms = clock::now().since(started).as_millis();
    tracing::info!(group = %id, took_ms, "a change of primary ends");
    this.cx.metrics.change_ended(cause, change.outcome);
    if cause == Cause::Lagging {
        this.lag_backoff.record(&id, change.promoted);
    }
    let mut queries = change.queries;
    resume::resume(this, &mut queries).await;
}

/// A change of primary under way.
struct Change {
    /// The primary that is to be replaced.
    old_primary: InstanceId,
    cause: Cause,
    intent: ChangeIntent,
    /// When the demote command was first sent to the old primary.
    demoted_at: Option<Time>,
    /// Why the change waited after the last survey.
    last_wait: Option<WaitCause>,
    /// Whether a promotion order was sent.
    order_sent: bool,
    /// Whether the instance to promote leads.
    promoted: bool,
    /// How the change ended, once it has.
    outcome: Outcome,
    queries: InstanceQueries,
}

impl Change {
    fn timeout(&self) -> Span {
        match self.cause {
            Cause::Doubted | Cause::Leaving | Cause::Unfinished => ATTEMPT_TIMEOUT,
            Cause::Lagging => LAG_ATTEMPT_TIMEOUT,
        }
    }

    /// Surveys all instances and takes the next step; returns whether the change has ended.
    async fn advance(&mut self, this: &Coordinator) -> bool {
        let group = self.queries.group.clone();
        let id = group.group();
        let intent_recorded = self.intent.is_mirrored(this);
        order::delete_replaced(this, id).await;
        // Read before the survey: calls that expire during it may have been carried out after the
        // instances responded.
        let may_resume = this.directory.with(|s| s.resume_pending(id, clock::now()));
        let pending_order = order::pending(this, id);
        let known_end = group.view().await.end;
        let instances = self.survey(this, may_resume).await;
        if is_replaced(&instances, &self.old_primary) {
            return self.end(if self.order_sent {
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
        if self.update_cause(trigger, pending_order.is_some()) {
            return self.end(Outcome::Abandoned);
        }
        let elapsed = self.demoted_at.map(|at| clock::now().since(at));
        let survey = Survey {
            instances,
            old_primary: self.old_primary.clone(),
            cause: self.cause,
            known_end,
            may_resume,
            pending_order,
            since_demote: elapsed,
            intent_recorded,
        };
        self.step(this, &survey).await
    }

    /// Takes the next step; returns whether the change has ended.
    async fn step(&mut self, this: &Coordinator, survey: &Survey) -> bool {
        let group = self.queries.group.clone();
        match takeover::next_step(survey) {
            Step::Abandon => self.end(Outcome::Abandoned),
            Step::Pause(term, ids) => {
                let states = self
                    .queries
                    .send_to(this, &ids, &ProxyStatement::Pause(term.0))
                    .await;
                tracing::info!(group = %group.group(), %term, "replicas were sent the pause command");
                report::log_states(group.group(), &states);
                false
            }
            Step::Demote(term, old) => {
                let states = self
                    .queries
                    .send_to(this, &[old], &ProxyStatement::Demote(term.0))
                    .await;
                tracing::warn!(group = %group.group(), %term, "the old primary was sent the demote command");
                report::log_states(group.group(), &states);
                self.demoted_at.get_or_insert_with(clock::now);
                false
            }
            Step::Wait(cause) => {
                self.wait(this, cause, &survey.instances).await;
                false
            }
            Step::Promote(next) => self.promote(this, &next, &survey.instances).await,
        }
    }

    /// Adopts the cause that holds now; returns whether there is none, so that the change ends.
    /// A change with a pending order is completed even then.
    fn update_cause(&mut self, trigger: Option<Cause>, pending: bool) -> bool {
        // A primary that was sent the demote command does not recover.
        let may_recover = self.cause == Cause::Doubted && self.demoted_at.is_none();
        match trigger {
            Some(Cause::Doubted) => self.cause = Cause::Doubted,
            _ if may_recover && pending => self.cause = Cause::Unfinished,
            None if may_recover => return true,
            _ => {}
        }
        false
    }

    /// Voids pending orders for the primary itself; it must not be demoted before that.
    async fn void_earlier(&mut self, this: &Coordinator, instances: &[InstanceView]) {
        let settles_at = order::void_earlier(this, &self.queries, &self.old_primary).await;
        self.wait(this, WaitCause::OrderPending, instances).await;
        if let Some(settles_at) = settles_at {
            clock::sleep_until(settles_at).await;
        }
    }

    /// Queries all instances. A suspected primary that did not respond is queried again only if a
    /// replica could still receive from it: one that is not announced, or that an earlier resume
    /// command may reach. Otherwise the survey would wait for its response in vain.
    async fn survey(&mut self, this: &Coordinator, resume_pending: bool) -> Vec<InstanceView> {
        let known = self.queries.entries(this);
        let old = known.iter().find(|(entry, _)| entry.id == self.old_primary);
        let home = old.map(|(entry, _)| entry.data_centre.clone());
        let complete = known
            .iter()
            .all(|(entry, announced)| *announced || entry.id == self.old_primary);
        let unresponsive = self.queries.is_unresponsive(&self.old_primary);
        let needless = unresponsive && complete && self.cause == Cause::Doubted && !resume_pending;
        let old = self.old_primary.clone();
        let is_queried = |entry: &Entry| !(needless && entry.id == old);
        let distances = this.cx.distances();
        let in_region = |entry: &Entry| {
            let home = home.as_ref();
            home.is_none_or(|home| distances.same_region(home, &entry.data_centre))
        };
        self.queries.survey(this, is_queried, in_region).await
    }

    async fn wait(&mut self, this: &Coordinator, cause: WaitCause, instances: &[InstanceView]) {
        if self.last_wait != Some(cause) {
            let group = self.queries.group.group();
            tracing::warn!(%group, cause = %cause, "the change of primary waits");
            report::log_instances(group, instances);
            this.cx.metrics.change_waits(cause);
        }
        self.last_wait = Some(cause);
        compio::time::sleep(self.delay(cause)).await;
    }

    const fn delay(&self, cause: WaitCause) -> Duration {
        match self.cause {
            _ if matches!(cause, WaitCause::Unnoted) => INTENT_DELAY,
            Cause::Unfinished => UNFINISHED_DELAY,
            Cause::Doubted | Cause::Leaving | Cause::Lagging => POLL_INTERVAL,
        }
    }

    async fn promote(
        &mut self,
        this: &Coordinator,
        next: &InstanceId,
        instances: &[InstanceView],
    ) -> bool {
        let group = self.queries.group.clone();
        report::log_instances(group.group(), instances);
        let basis = order::OrderBasis::new(&self.queries);
        let term = takeover::newest_term(instances).next();
        let mut new_instances = NewInstances::new(&self.queries, term);
        let send = order::send(this, Purpose::Change, &basis, next);
        let sent = new_instances
            .pause_during(this, &mut self.queries, send)
            .await;
        let Some(sent) = sent else {
            compio::time::sleep(RETRY_DELAY).await;
            return false;
        };
        self.order_sent = true;
        let accepted = sent.response == Some(OrderResponse::Accepted);
        let until = sent.at + policy::order::leader_wait(sent.response);
        self.promoted = wait_until_leads(this, &mut self.queries, next, new_instances, until).await;
        if self.promoted {
            tracing::warn!(group = %group.group(), instance = %next, "the primary was replaced");
            this.promotions.record(group.group(), next);
            group.expect_primary(next);
        }
        sent.settle(this, group.group(), self.promoted).await;
        if self.promoted {
            return self.end(Outcome::Led);
        }
        compio::time::sleep(RETRY_DELAY).await;
        // After an accepted order, the old primary may no longer be the one that leads.
        accepted
    }

    /// Stores the outcome; returns `true`, as the change has ended.
    fn end(&mut self, outcome: Outcome) -> bool {
        self.outcome = outcome;
        true
    }
}

/// Whether an instance other than the old primary leads the newest term.
fn is_replaced(instances: &[InstanceView], old: &InstanceId) -> bool {
    let newest = takeover::newest_term(instances);
    instances
        .iter()
        .any(|m| m.id != *old && takeover::leads(m, newest))
}

/// Waits until the instance to promote leads, at most until `until`; returns whether it does.
///
/// The old primary may return meanwhile, even under another id: as long as the other replicas
/// stay paused, it acknowledges only writes that the next primary has received.
async fn wait_until_leads(
    this: &Coordinator,
    queries: &mut InstanceQueries,
    next: &InstanceId,
    mut new_instances: NewInstances,
    until: Time,
) -> bool {
    while clock::now() < until {
        new_instances.pause(this, queries).await;
        let states = queries
            .send_to(this, std::slice::from_ref(next), &ProxyStatement::Status)
            .await;
        let leads = |s: &State| s.role == Role::Primary && s.term >= new_instances.term;
        let leads = states.get(next).is_some_and(leads);
        if leads {
            return true;
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    false
}
