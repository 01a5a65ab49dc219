//! What a coordinator finds in a survey, and what it does next by `policy::takeover`.

use model::id::InstanceId;
use model::position::Point;
use model::unit::Span;
use policy::takeover::{self, InstanceView, Role, Step, Survey};

use crate::cfg::{Cfg, Guard};
use crate::task::{Change, Coordinator, Decision, Kind, Promotion, Purpose, Task};
use crate::world::{self, Announcement, Id, Instance, Set, World, bit, has, name};

/// What a coordinator does after a survey.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Next {
    pub(crate) task: Task,
    pub(crate) known_end: Point,
    /// Whether the change is over, so that instances may become eligible again.
    pub(crate) over: bool,
}

/// The possible results of surveys during a change.
pub(crate) fn during(
    world: &World,
    this: &Coordinator,
    change: Change,
    cfg: &Cfg,
) -> impl Iterator<Item = Next> {
    let cases = [(true, false), (true, true), (false, false), (false, true)];
    cases.into_iter().filter_map(move |(suspected, waited)| {
        survey_once(world, this, change, suspected, waited, cfg)
    })
}

/// A survey during a change, while the primary is suspected or not, and with the demote command
/// long past (`waited`) or not; `None` if it changes nothing, or if this combination is
/// impossible.
fn survey_once(
    world: &World,
    this: &Coordinator,
    mut change: Change,
    suspected: bool,
    waited: bool,
    cfg: &Cfg,
) -> Option<Next> {
    let announced = |i: &Instance| i.announcement != Announcement::NotYet || !i.runs;
    if waited && !(change.demoted && world.instances.iter().all(announced)) {
        return None;
    }
    let recovered = change.kind == Kind::Doubted && !change.demoted;
    if !suspected && recovered && this.intents.promotion.is_none() {
        return None;
    }
    let resume_pending = this.intents.resume.is_some() && cfg.off != Some(Guard::ResumePending);
    let views = query(world, &mut change, resume_pending);
    let leader = takeover::leader(&views);
    let known_end = match leader.and_then(|v| v.state) {
        Some(s) if cfg.stale_proofs => this.known_end.max(s.received),
        _ => this.known_end,
    };
    if leader.is_some_and(|v| v.id != named(change.old, change.incarnation)) {
        let task = Task::Resume;
        let over = false;
        return Some(Next {
            task,
            known_end,
            over,
        });
    }
    let (void, ordered) = pending(this, leader, cfg);
    change.kind = match change.kind {
        _ if suspected => Kind::Doubted,
        Kind::Doubted if recovered && ordered.is_some() => Kind::Unfinished,
        Kind::Doubted if recovered => return None,
        kind => kind,
    };
    let mut survey = build_survey(world, this, change, views, waited, cfg);
    survey.pending_order = ordered
        .filter(|_| cfg.off != Some(Guard::PendingOrder))
        .map(id);
    survey.may_resume = resume_pending;
    let step = decide(&survey);
    let waits = |promotion: Promotion| this.voiding == Some(promotion.token);
    if void.is_some_and(waits) || void.is_some() && world.left.repeats == 0 {
        return None;
    }
    let left = |next| match this.intents.promotion {
        Some(promotion) if promotion.instance == next => world.left.repeats,
        _ => world.left.orders,
    };
    let task = match (void, step) {
        (Some(order), step) => Task::Void(Purpose::VoidThenAct(change, step.ok()), order.instance),
        (_, Ok(Decision::Promote(next, ..))) if left(next) == 0 => return None,
        (_, Ok(decision)) => Task::Decided(change, decision),
        (_, Err(Step::Abandon)) => Task::Resume,
        (_, Err(_)) => Task::Change(change),
    };
    let over = false;
    Some(Next {
        task,
        known_end,
        over,
    })
}

/// The pending order to void first, because its instance leads, or the one to take into account.
fn pending(
    this: &Coordinator,
    leader: Option<&InstanceView>,
    cfg: &Cfg,
) -> (Option<Promotion>, Option<Promotion>) {
    let leads = |promotion: &Promotion| leader.is_some_and(|v| v.id == id(*promotion));
    match this.intents.promotion {
        Some(promotion) if leads(&promotion) && cfg.off == Some(Guard::VoidEarlier) => (None, None),
        Some(promotion) if leads(&promotion) => (Some(promotion), None),
        promotion => (None, promotion),
    }
}

/// The survey before replicas are resumed.
pub(crate) fn after(world: &World, this: &Coordinator, cfg: &Cfg) -> Next {
    let views = views(world);
    let paused = paused(&views);
    let leader = takeover::leader(&views);
    let (void, ordered) = pending(this, leader, cfg);
    let ordered = ordered.filter(|_| cfg.off != Some(Guard::StayPaused));
    let task = match void {
        _ if leader.is_none() || ordered.is_some() => Task::Idle,
        Some(promotion) if world.left.repeats > 0 && this.voiding != Some(promotion.token) => {
            Task::Void(Purpose::VoidThenResume(paused), promotion.instance)
        }
        _ if paused == 0 => Task::Idle,
        _ => Task::RecordResume { paused },
    };
    let known_end = this.known_end;
    let over = leader.is_some() && ordered.is_none();
    Next {
        task,
        known_end,
        over,
    }
}

/// Announced instances that are not known.
pub(crate) fn unknown(world: &World, known: Set) -> Set {
    let instances = world.instances.iter().enumerate();
    let announced =
        instances.filter(|(_, i)| i.announcement == Announcement::Announced && !i.hidden);
    announced.map(|(id, _)| bit(id)).sum::<Set>() & !known
}

fn views(world: &World) -> Vec<InstanceView> {
    let instances = world.instances.iter().enumerate();
    let known = instances.filter(|(_, i)| i.announcement != Announcement::NotYet);
    let view = |(id, i): (Id, &Instance)| InstanceView {
        id: named(id, known_incarnation(i)),
        announced: i.announcement == Announcement::Announced,
        leaving: has(world.leaving, id) && !i.hidden,
        responded: i.runs && !has(world.partitioned, id) && !i.hidden,
        same_region: true,
        state: (world.is_reachable(id) && !i.hidden).then(|| i.state()),
    };
    known.map(view).collect()
}

/// Which of an instance's incarnations is known.
pub(crate) fn known_incarnation(i: &Instance) -> u8 {
    i.incarnation - u8::from(i.hidden)
}

fn named(id: Id, incarnation: u8) -> InstanceId {
    format!("{}{incarnation}", name(id)).parse().unwrap()
}

fn id(promotion: Promotion) -> InstanceId {
    named(promotion.instance, promotion.incarnation)
}

fn index(id: &InstanceId) -> Id {
    let of = |at: &Id| id.as_str().starts_with(name(*at));
    (0..world::NAMES.len()).find(of).unwrap()
}

/// All instances, without the old primary's response where it is not queried again.
fn query(world: &World, change: &mut Change, resume_pending: bool) -> Vec<InstanceView> {
    let mut views = views(world);
    let old = named(change.old, change.incarnation);
    let complete = views.iter().all(|v| v.announced || v.id == old);
    let suspected = change.kind == Kind::Doubted;
    let skipped = change.unresponsive && complete && suspected && !resume_pending;
    for v in views.iter_mut().filter(|v| v.id == old) {
        if skipped {
            v.state = None;
            v.responded = false;
        }
        change.unresponsive |= !v.responded;
    }
    views
}

/// The input of the decision.
fn build_survey(
    world: &World,
    this: &Coordinator,
    change: Change,
    mut views: Vec<InstanceView>,
    waited: bool,
    cfg: &Cfg,
) -> Survey {
    let old = named(change.old, change.incarnation);
    if cfg.off == Some(Guard::Demote) && change.kind == Kind::Doubted {
        views.retain(|v| v.id != old);
    }
    let waited = waited || cfg.off == Some(Guard::Announcing);
    let elapsed = Span::from_millis(if waited { 1_000 } else { 0 });
    let known_end = match cfg.stale_proofs {
        true => this.known_end,
        false => world.acknowledged_end(),
    };
    Survey {
        instances: views,
        old_primary: old,
        cause: change.kind.cause(),
        known_end: Some(known_end),
        may_resume: false,
        pending_order: None,
        since_demote: change.demoted.then_some(elapsed),
        intent_recorded: change.recorded || cfg.off == Some(Guard::ChangeRecorded),
    }
}

fn decide(survey: &Survey) -> Result<Decision, Step> {
    let set = |ids: &[InstanceId]| ids.iter().map(|id| bit(index(id))).sum();
    let newest = takeover::newest_term(&survey.instances);
    let term = u8::try_from(newest.next().0).unwrap();
    match takeover::next_step(survey) {
        Step::Pause(_, targets) => Ok(Decision::Pause(term, set(&targets))),
        Step::Demote(_, old) => Ok(Decision::Demote(term, index(&old))),
        Step::Promote(next) => {
            let known = |v: &&InstanceView| v.state.is_some() || v.announced;
            let known = survey.instances.iter().filter(known).map(|v| v.id.clone());
            let known = set(&known.collect::<Vec<_>>());
            Ok(Decision::Promote(index(&next), term, known))
        }
        step => Err(step),
    }
}

fn paused(views: &[InstanceView]) -> Set {
    let paused = views.iter().filter(|v| {
        let state = v.state;
        state.is_some_and(|s| s.role == Role::Replica && s.paused.0 > 0)
    });
    paused.map(|v| bit(index(&v.id))).sum()
}
