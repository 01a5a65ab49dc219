//! The coordinator's steps, as `front` takes them: what it saw is used at a later moment.

use crate::cfg::{Cfg, Guard};
use crate::doing::{Change, Coordinator, Decision, Doing, Event, Given, Kind, Purpose};
use crate::look;
use crate::order;
use crate::world::{Id, Order, Own, Set, World, bit, has};

/// The steps that a coordinator may take now.
pub(crate) fn events(world: &World, at: usize, cfg: &Cfg) -> Vec<Event> {
    let this = &world.coordinators[at];
    let mut events = steps(world, at, cfg);
    events.extend(this.ends.map(|_| Event::End));
    events
}

fn steps(world: &World, at: usize, cfg: &Cfg) -> Vec<Event> {
    let this = &world.coordinators[at];
    match this.doing {
        Doing::Idle => idle(world, at),
        Doing::Change(change) => {
            let mut events = vec![Event::GiveUp];
            if !change.in_store {
                events.push(Event::NoteChange);
            }
            let looks = look::during(world, this, change, cfg);
            let looks = looks.filter(|next| next.doing != this.doing || next.end != this.end);
            for look in looks.map(Event::Look) {
                if !events.contains(&look) {
                    events.push(look);
                }
            }
            events
        }
        Doing::Decided(..) | Doing::Void(..) => vec![Event::Act],
        Doing::Noted(given) => {
            let mut events = vec![Event::Give];
            events.extend(watch(world, &given, cfg));
            events
        }
        Doing::Ordered(given) => ordered(world, &given, cfg),
        Doing::Resume => vec![Event::Look(look::after(world, this, cfg))],
        Doing::Note { .. } => vec![Event::Note],
        Doing::Tell { .. } => vec![Event::Tell],
        Doing::Told { earlier } => {
            let mut events = vec![Event::NotAllAnswered];
            if !world.may_receive_again() && !earlier {
                events.push(Event::AllAnswered);
            }
            events
        }
    }
}

fn idle(world: &World, at: usize) -> Vec<Event> {
    let mut events = Vec::new();
    if world.holder != at {
        return events;
    }
    let (primary, notes) = (world.primary, world.coordinators[at].notes);
    let i = &world.instances[primary];
    // A primary is doubted by the id that is known.
    if !i.hidden && world.left.changes > 0 {
        let kind = match has(world.leaving, primary) {
            true => Kind::Leaving,
            false => Kind::Doubted,
        };
        events.push(Event::Begin(primary, kind));
    }
    let unfinished = notes
        .lead
        .is_some_and(|l| (l.instance, l.born) != (primary, i.born));
    if !i.hidden && unfinished && world.left.repeats > 0 {
        events.push(Event::Begin(primary, Kind::Unfinished));
    }
    let stopped = world.instances.iter().any(|i| i.paused > 0);
    if world.left.mends > 0 && (stopped || notes.change.is_some()) {
        events.push(Event::Mend);
    }
    if notes.receive.is_some() && !world.may_receive_again() {
        events.push(Event::NoteExpires);
    }
    events
}

fn watch(world: &World, given: &Given, cfg: &Cfg) -> Option<Event> {
    let Purpose::Promote(.., known) = given.purpose else {
        return None;
    };
    let new = look::appeared(world, known) != 0 && cfg.off != Some(Guard::PauseNew);
    new.then_some(Event::Watch)
}

fn ordered(world: &World, given: &Given, cfg: &Cfg) -> Vec<Event> {
    let i = &world.instances[given.next];
    let promotes = matches!(given.purpose, Purpose::Promote(..));
    let leads = promotes && world.reached(given.next) && !i.hidden && i.leads;
    let taken = given.taken == Some(true);
    let over = !world.orders.iter().any(|o| o.token == given.token) || cfg.off == Some(Guard::Time);
    let mut events = Vec::new();
    for heard in [false, true] {
        if heard && given.taken.is_none() {
            continue;
        }
        // One that was taken is waited for, and is carried out before.
        let waits = heard && taken && promotes && !over;
        if leads && !(waits && given.earlier) && (!heard || taken) {
            events.push(Event::SeesLead(heard));
        }
        let first = cfg.announced_first && !world.orders.is_empty();
        if !waits && (leads || !first) {
            events.push(Event::StopsWaiting(heard));
        }
    }
    if !leads {
        events.extend(watch(world, given, cfg));
    }
    events
}

/// Lets a coordinator take a step.
pub(crate) fn apply(world: &mut World, at: usize, event: Event, cfg: &Cfg) {
    let doing = world.coordinators[at].doing;
    let next = match (event, doing) {
        (Event::Begin(old, kind), _) => begin(world, at, old, kind, cfg),
        (Event::End, doing) => {
            end_change(world, at);
            doing
        }
        (Event::NoteChange, Doing::Change(change)) => {
            world.noted += 1;
            world.notes.change = Some(world.noted);
            world.coordinators[at].notes.change = Some(world.noted);
            let in_store = true;
            Doing::Change(Change { in_store, ..change })
        }
        (Event::GiveUp | Event::Mend, _) => {
            world.left.mends -= u8::from(event == Event::Mend);
            Doing::Resume
        }
        (Event::Look(next), doing) => {
            if doing == Doing::Resume {
                let known = world.coordinators[at].notes.change;
                world.coordinators[at].ends = known.filter(|_| at == world.holder && next.over);
            }
            world.coordinators[at].end = next.end;
            next.doing
        }
        (Event::Act, Doing::Decided(change, decision)) => act(world, at, change, decision),
        (Event::Act, Doing::Void(purpose, primary)) => order::note(world, at, purpose, primary),
        (Event::Give, Doing::Noted(given)) => {
            world.orders.push(Order {
                token: given.token,
                instance: given.next,
                accepted: false,
            });
            world.orders.sort_unstable();
            Doing::Ordered(given)
        }
        (Event::Watch, Doing::Noted(given)) => Doing::Noted(stop_new(world, given, cfg)),
        (Event::Watch, Doing::Ordered(given)) => Doing::Ordered(stop_new(world, given, cfg)),
        (Event::SeesLead(heard), Doing::Ordered(given)) => {
            order::settle(world, at, &given, true, heard, cfg);
            Doing::Resume
        }
        (Event::StopsWaiting(heard), Doing::Ordered(given)) => {
            order::end(world, at, &given, heard, cfg)
        }
        _ => let_receive(world, at, event),
    };
    world.coordinators[at].doing = next;
}

fn begin(world: &mut World, at: usize, old: Id, kind: Kind, cfg: &Cfg) -> Doing {
    world.left.changes -= u8::from(kind != Kind::Unfinished);
    let this = &mut world.coordinators[at];
    let born = world.instances[old].born;
    if cfg.stale_proofs && world.instances[old].runs && !has(world.cut, old) {
        this.end = this.end.max(world.instances[old].received());
    }
    Doing::Change(Change {
        old,
        born,
        kind,
        told: false,
        silent: false,
        noted: false,
        in_store: false,
    })
}

fn act(world: &mut World, at: usize, change: Change, decision: Decision) -> Doing {
    match decision {
        Decision::Pause(term, who) => {
            each(world, who, Own::Pause(term));
            Doing::Change(change)
        }
        Decision::Demote(term, old) => {
            world.send(old, Own::Demote(term));
            let told = true;
            Doing::Change(Change { told, ..change })
        }
        Decision::Promote(next, term, known) => {
            order::note(world, at, Purpose::Promote(change, term, known), next)
        }
    }
}

fn stop_new(world: &mut World, mut given: Given, cfg: &Cfg) -> Given {
    if let Purpose::Promote(_, term, known) = &mut given.purpose {
        let new = look::appeared(world, *known);
        *known |= new;
        each(world, new, Own::Pause(*term));
        if cfg.announced_first {
            let new = (0..world.instances.len()).filter(|id| has(new, *id));
            new.for_each(|id| world.deliver(id, Own::Pause(*term)));
        }
    }
    given
}

/// The steps that let replicas receive again.
fn let_receive(world: &mut World, at: usize, event: Event) -> Doing {
    match (event, world.coordinators[at].doing) {
        (Event::Note, Doing::Note { stopped }) => {
            let earlier = world.coordinators[at].notes.receive.is_some();
            world.notes.receive = Some(at);
            world.coordinators[at].notes.receive = Some(at);
            Doing::Tell { stopped, earlier }
        }
        (Event::Tell, Doing::Tell { stopped, earlier }) => {
            each(world, stopped, Own::Resume);
            Doing::Told { earlier }
        }
        (Event::AllAnswered, _) => {
            forget_receive(world, at, Some(at));
            Doing::Idle
        }
        (Event::NoteExpires, _) => {
            let known = world.coordinators[at].notes.receive;
            forget_receive(world, at, known);
            Doing::Idle
        }
        _ => Doing::Idle,
    }
}

/// Instances may begin to count: no order for another than the present primary is pending.
fn end_change(world: &mut World, at: usize) {
    let this = &mut world.coordinators[at];
    let ends = this.ends.take();
    this.notes.change.take_if(|by| Some(*by) == ends);
    world.notes.change.take_if(|by| Some(*by) == ends);
}

fn forget_receive(world: &mut World, at: usize, known: Option<usize>) {
    world.notes.receive.take_if(|by| Some(*by) == known);
    world.coordinators[at].notes.receive = None;
}

fn each(world: &mut World, who: Set, own: Own) {
    for id in (0..world.instances.len()).filter(|id| has(who, *id)) {
        world.send(id, own);
    }
}

/// The platform took an order, or refused it; its answer is on the way.
pub(crate) fn answered(world: &mut World, token: u8, taken: bool) {
    for this in &mut world.coordinators {
        if let Doing::Ordered(given) = &mut this.doing
            && given.token == token
        {
            given.taken = Some(taken);
        }
    }
}

/// Whoever has lost the duty ends where the code asks for it.
pub(crate) fn end_without_duty(world: &mut World, cfg: &Cfg) {
    for (at, this) in world.coordinators.iter_mut().enumerate() {
        let asks = match this.doing {
            Doing::Change(_) => true,
            Doing::Decided(_, Decision::Promote(..)) => true,
            Doing::Void(..) | Doing::Noted(_) => true,
            Doing::Note { .. } | Doing::Tell { .. } => cfg.off != Some(Guard::Duty),
            _ => false,
        };
        // What it knows matters to nobody then.
        if at != world.holder && (asks || this.doing == Doing::Idle) {
            *this = Coordinator::default();
        }
    }
}

/// Time passes in which every order that is noted has come or is lost.
pub(crate) fn may_lapse(world: &World) -> bool {
    let waits = |this: &Coordinator| {
        let doing = this.doing;
        match doing {
            Doing::Noted(_) | Doing::Ordered(_) => true,
            Doing::Change(change) | Doing::Decided(change, _) => change.noted,
            _ => false,
        }
    };
    let taken = world.orders.iter().any(|o| o.accepted);
    world.notes.lead.is_some() && !taken && !world.coordinators.iter().any(waits)
}

/// An instance has restarted, and is not known from the last look any more.
pub(crate) fn restarted(world: &mut World, id: Id) {
    for this in &mut world.coordinators {
        match &mut this.doing {
            Doing::Decided(_, Decision::Promote(.., known))
            | Doing::Void(Purpose::Leave(_, Some(Decision::Promote(.., known))), _) => {
                *known &= !bit(id);
            }
            Doing::Noted(given) | Doing::Ordered(given) => match &mut given.purpose {
                Purpose::Promote(.., known)
                | Purpose::Leave(_, Some(Decision::Promote(.., known))) => *known &= !bit(id),
                _ => {}
            },
            _ => {}
        }
    }
}

/// An instance has another id: what was to be done with the earlier one comes to nothing.
pub(crate) fn forget(world: &mut World, id: Id) {
    restarted(world, id);
    for this in &mut world.coordinators {
        match &mut this.doing {
            Doing::Decided(change, Decision::Promote(next, ..)) if *next == id => {
                this.doing = Doing::Change(*change);
            }
            Doing::Void(purpose, next) if *next == id => this.doing = order::without(*purpose),
            Doing::Noted(given) | Doing::Ordered(given) if given.next == id => {
                this.doing = order::without(given.purpose);
            }
            Doing::Note { stopped } | Doing::Tell { stopped, .. } => *stopped &= !bit(id),
            Doing::Decided(_, Decision::Pause(_, who)) => *who &= !bit(id),
            _ => {}
        }
    }
}

/// The step by which a coordinator stops an instance that appeared, if it is next.
pub(crate) fn urgent(world: &World, at: usize, events: &[Event]) -> Option<Event> {
    let decided = match world.coordinators[at].doing {
        Doing::Decided(_, Decision::Promote(_, _, known)) => look::appeared(world, known) != 0,
        _ => false,
    };
    let first = |e: &&Event| **e == Event::Watch || decided && **e == Event::Act;
    events.iter().find(first).copied()
}
