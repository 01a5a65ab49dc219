//! What a coordinator sees, and what follows from it by `policy::takeover`.

use model::id::InstanceId;
use model::position::Point;
use model::unit::Span;
use policy::takeover::{self, InstanceView, Role, Step, Survey};

use crate::cfg::{Cfg, Guard};
use crate::doing::{Change, Coordinator, Decision, Doing, Kind, Lead, Purpose};
use crate::world::{self, Id, Instance, Listing, Set, World, bit, has, name};

/// What a coordinator does after a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Next {
    pub(crate) doing: Doing,
    pub(crate) end: Point,
    /// Whether instances may begin to count again.
    pub(crate) over: bool,
}

/// What looks during a change may lead to.
pub(crate) fn during(
    world: &World,
    this: &Coordinator,
    change: Change,
    cfg: &Cfg,
) -> impl Iterator<Item = Next> {
    let cases = [(true, false), (true, true), (false, false), (false, true)];
    cases
        .into_iter()
        .filter_map(move |(doubted, long)| one(world, this, change, doubted, long, cfg))
}

/// One look during a change, while the primary is doubted or not, and after it was told to
/// stop for long or not; `None` if it leads to nothing, or this cannot be so.
fn one(
    world: &World,
    this: &Coordinator,
    mut change: Change,
    doubted: bool,
    long: bool,
    cfg: &Cfg,
) -> Option<Next> {
    let announced = |i: &Instance| i.listing != Listing::Unknown || !i.runs;
    if long && !(change.told && world.instances.iter().all(announced)) {
        return None;
    }
    let recovered = change.kind == Kind::Doubted && !change.told;
    if !doubted && recovered && this.notes.lead.is_none() {
        return None;
    }
    let resume_pending = this.notes.receive.is_some() && cfg.off != Some(Guard::ResumePending);
    let members = asked(world, &mut change, resume_pending);
    let leader = takeover::leader(&members);
    let end = match leader.and_then(|m| m.state) {
        Some(s) if cfg.stale_proofs => this.end.max(s.received),
        _ => this.end,
    };
    if leader.is_some_and(|m| m.id != named(change.old, change.born)) {
        let doing = Doing::Resume;
        let over = false;
        return Some(Next { doing, end, over });
    }
    let (void, ordered) = pending(this, leader, cfg);
    change.kind = match change.kind {
        _ if doubted => Kind::Doubted,
        Kind::Doubted if recovered && ordered.is_some() => Kind::Unfinished,
        Kind::Doubted if recovered => return None,
        kind => kind,
    };
    let mut look = the_look(world, this, change, members, long, cfg);
    look.pending_order = ordered.filter(|_| cfg.off != Some(Guard::Ordered)).map(id);
    look.may_resume = resume_pending;
    let step = decide(&look);
    if void.is_some() && world.left.repeats == 0 {
        return None;
    }
    let left = |next| match this.notes.lead {
        Some(lead) if lead.instance == next => world.left.repeats,
        _ => world.left.orders,
    };
    let doing = match (void, step) {
        (Some(lead), step) => Doing::Void(Purpose::Leave(change, step.ok()), lead.instance),
        (_, Ok(Decision::Promote(next, ..))) if left(next) == 0 => return None,
        (_, Ok(decision)) => Doing::Decided(change, decision),
        (_, Err(Step::Abandon)) => Doing::Resume,
        (_, Err(_)) => Doing::Change(change),
    };
    let over = false;
    Some(Next { doing, end, over })
}

/// The order that is to be made void first, as its instance leads, or the one that counts.
fn pending(
    this: &Coordinator,
    leader: Option<&InstanceView>,
    cfg: &Cfg,
) -> (Option<Lead>, Option<Lead>) {
    let leads = |lead: &Lead| leader.is_some_and(|m| m.id == id(*lead));
    match this.notes.lead {
        Some(lead) if leads(&lead) && cfg.off == Some(Guard::VoidEarlier) => (None, None),
        Some(lead) if leads(&lead) => (Some(lead), None),
        lead => (None, lead),
    }
}

/// The look with which replicas are let receive again.
pub(crate) fn after(world: &World, this: &Coordinator, cfg: &Cfg) -> Next {
    let members = members(world);
    let stopped = stopped(&members);
    let leader = takeover::leader(&members);
    let (void, ordered) = pending(this, leader, cfg);
    let ordered = ordered.filter(|_| cfg.off != Some(Guard::Stopped));
    let doing = match void {
        _ if leader.is_none() || ordered.is_some() => Doing::Idle,
        Some(lead) if world.left.repeats > 0 => {
            Doing::Void(Purpose::Receive(stopped), lead.instance)
        }
        _ if stopped == 0 => Doing::Idle,
        _ => Doing::Note { stopped },
    };
    let end = this.end;
    let over = leader.is_some() && ordered.is_none();
    Next { doing, end, over }
}

pub(crate) fn appeared(world: &World, known: Set) -> Set {
    let instances = world.instances.iter().enumerate();
    let listed = instances.filter(|(_, i)| i.listing == Listing::Listed && !i.hidden);
    listed.map(|(id, _)| bit(id)).sum::<Set>() & !known
}

fn members(world: &World) -> Vec<InstanceView> {
    let instances = world.instances.iter().enumerate();
    let known = instances.filter(|(_, i)| i.listing != Listing::Unknown);
    let member = |(id, i): (Id, &Instance)| InstanceView {
        id: named(id, known_born(i)),
        announced: i.listing == Listing::Listed,
        leaving: has(world.leaving, id) && !i.hidden,
        responded: i.runs && !has(world.cut, id) && !i.hidden,
        same_region: true,
        state: (world.reached(id) && !i.hidden).then(|| i.state()),
    };
    known.map(member).collect()
}

/// Which of an instance's ids is known.
pub(crate) fn known_born(i: &Instance) -> u8 {
    i.born - u8::from(i.hidden)
}

fn named(id: Id, born: u8) -> InstanceId {
    format!("{}{born}", name(id)).parse().unwrap()
}

fn id(lead: Lead) -> InstanceId {
    named(lead.instance, lead.born)
}

fn index(id: &InstanceId) -> Id {
    let of = |at: &Id| id.as_str().starts_with(name(*at));
    (0..world::NAMES.len()).find(of).unwrap()
}

/// All instances, without the old primary's answer where it is not asked again.
fn asked(world: &World, change: &mut Change, resume_pending: bool) -> Vec<InstanceView> {
    let mut members = members(world);
    let old = named(change.old, change.born);
    let complete = members.iter().all(|m| m.announced || m.id == old);
    let doubted = change.kind == Kind::Doubted;
    let needless = change.silent && complete && doubted && !resume_pending;
    for m in members.iter_mut().filter(|m| m.id == old) {
        if needless {
            m.state = None;
            m.responded = false;
        }
        change.silent |= !m.responded;
    }
    members
}

/// What the decision is made from.
fn the_look(
    world: &World,
    this: &Coordinator,
    change: Change,
    mut members: Vec<InstanceView>,
    long: bool,
    cfg: &Cfg,
) -> Survey {
    let old = named(change.old, change.born);
    if cfg.off == Some(Guard::Demote) && change.kind == Kind::Doubted {
        members.retain(|m| m.id != old);
    }
    let long = long || cfg.off == Some(Guard::Announcing);
    let told_for = Span::from_millis(if long { 1_000 } else { 0 });
    let known_end = match cfg.stale_proofs {
        true => this.end,
        false => world.proved(),
    };
    Survey {
        instances: members,
        old_primary: old,
        cause: change.kind.cause(),
        known_end: Some(known_end),
        may_resume: false,
        pending_order: None,
        since_demote: change.told.then_some(told_for),
        intent_recorded: change.in_store || cfg.off == Some(Guard::ChangeNoted),
    }
}

fn decide(look: &Survey) -> Result<Decision, Step> {
    let set = |ids: &[InstanceId]| ids.iter().map(|id| bit(index(id))).sum();
    let newest = takeover::newest_term(&look.instances);
    let term = u8::try_from(newest.next().0).unwrap();
    match takeover::next_step(look) {
        Step::Pause(_, who) => Ok(Decision::Pause(term, set(&who))),
        Step::Demote(_, old) => Ok(Decision::Demote(term, index(&old))),
        Step::Promote(next) => {
            let known = |m: &&InstanceView| m.state.is_some() || m.announced;
            let known = look.instances.iter().filter(known).map(|m| m.id.clone());
            let known = set(&known.collect::<Vec<_>>());
            Ok(Decision::Promote(index(&next), term, known))
        }
        step => Err(step),
    }
}

fn stopped(members: &[InstanceView]) -> Set {
    let stopped = members.iter().filter(|m| {
        let state = m.state;
        state.is_some_and(|s| s.role == Role::Replica && s.paused.0 > 0)
    });
    stopped.map(|m| bit(index(&m.id))).sum()
}
