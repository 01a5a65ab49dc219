//! The coordinator's steps, as `front` takes them: it acts later on what it saw earlier.

use crate::cfg::{Cfg, Guard};
use crate::order;
use crate::survey;
use crate::task::{Change, Coordinator, Decision, Event, GivenOrder, Kind, Purpose, Task};
use crate::world::{Command, Id, Order, Set, World, bit, has};

/// The steps that a coordinator may take next.
pub(crate) fn events(world: &World, at: usize, cfg: &Cfg) -> Vec<Event> {
    let this = &world.coordinators[at];
    let mut events = steps(world, at, cfg);
    events.extend(this.ending_change.map(|_| Event::End));
    let settled = |token: &u8| !world.orders.iter().any(|o| o.token == *token);
    events.extend(this.voiding.filter(settled).map(|_| Event::Settled));
    events
}

fn steps(world: &World, at: usize, cfg: &Cfg) -> Vec<Event> {
    let this = &world.coordinators[at];
    match this.task {
        Task::Idle => idle(world, at),
        Task::Change(change) => {
            let mut events = vec![Event::Abort];
            if !change.recorded {
                events.push(Event::RecordChange);
            }
            let surveys = survey::during(world, this, change, cfg);
            let surveys =
                surveys.filter(|next| next.task != this.task || next.known_end != this.known_end);
            for survey in surveys.map(Event::Survey) {
                if !events.contains(&survey) {
                    events.push(survey);
                }
            }
            events
        }
        Task::Decided(..) | Task::Void(..) => vec![Event::Act],
        Task::Recorded(given) => {
            let mut events = vec![Event::SendOrder];
            events.extend(pause_event(world, &given, cfg));
            events
        }
        Task::Ordered(given) => ordered(world, &given, cfg),
        Task::Resume => vec![Event::Survey(survey::after(world, this, cfg))],
        Task::RecordResume { .. } => vec![Event::RecordResume],
        Task::SendResume { .. } => vec![Event::SendResume],
        Task::ResumeSent { earlier } => {
            let mut events = vec![Event::NotAllResponded];
            if !world.resume_in_flight() && !earlier {
                events.push(Event::AllResponded);
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
    let (primary, intents) = (world.primary, world.coordinators[at].intents);
    let i = &world.instances[primary];
    // A primary is suspected under the id that is known.
    if !i.hidden && world.left.changes > 0 {
        let kind = match has(world.leaving, primary) {
            true => Kind::Leaving,
            false => Kind::Doubted,
        };
        events.push(Event::Begin(primary, kind));
    }
    let unfinished = intents
        .promotion
        .is_some_and(|l| (l.instance, l.incarnation) != (primary, i.incarnation));
    if !i.hidden && unfinished && world.left.repeats > 0 {
        events.push(Event::Begin(primary, Kind::Unfinished));
    }
    let paused = world.instances.iter().any(|i| i.paused > 0);
    if world.left.repairs > 0 && (paused || intents.change.is_some()) {
        events.push(Event::Repair);
    }
    if intents.resume.is_some() && !world.resume_in_flight() {
        events.push(Event::IntentExpires);
    }
    events
}

fn pause_event(world: &World, given: &GivenOrder, cfg: &Cfg) -> Option<Event> {
    let Purpose::Promote(.., known) = given.purpose else {
        return None;
    };
    let new = survey::unknown(world, known) != 0 && cfg.off != Some(Guard::PauseNew);
    new.then_some(Event::PauseNew)
}

/// The steps that may end the wait for an order.
fn ordered(world: &World, given: &GivenOrder, cfg: &Cfg) -> Vec<Event> {
    let i = &world.instances[given.next];
    let promotes = matches!(given.purpose, Purpose::Promote(..));
    let leads = promotes && world.is_reachable(given.next) && !i.hidden && i.leads;
    let accepted = given.accepted == Some(true);
    let settled = !world.orders.iter().any(|o| o.token == given.token)
        || cfg.off == Some(Guard::EffectTimeout);
    let mut events = Vec::new();
    for responded in [false, true] {
        if responded && given.accepted.is_none() {
            continue;
        }
        // It waits for an accepted order, which takes effect before the wait ends.
        let waits = responded && accepted && promotes && !settled;
        if leads && !(waits && given.earlier) && (!responded || accepted) {
            events.push(Event::ObservesLeader(responded));
        }
        let first = cfg.announced_first && !world.orders.is_empty();
        if !waits && (leads || !first) {
            events.push(Event::StopsWaiting(responded));
        }
    }
    if !leads {
        events.extend(pause_event(world, given, cfg));
    }
    events
}

/// Applies a step of a coordinator.
pub(crate) fn apply(world: &mut World, at: usize, event: Event, cfg: &Cfg) {
    let task = world.coordinators[at].task;
    let next = match (event, task) {
        (Event::Begin(old, kind), _) => begin(world, at, old, kind, cfg),
        (Event::End, task) => {
            end_change(world, at);
            task
        }
        (Event::Settled, task) => {
            order::settle_voiding(world, at);
            task
        }
        (Event::RecordChange, Task::Change(change)) => {
            world.recorded_changes += 1;
            world.intents.change = Some(world.recorded_changes);
            world.coordinators[at].intents.change = Some(world.recorded_changes);
            let recorded = true;
            Task::Change(Change { recorded, ..change })
        }
        (Event::Abort | Event::Repair, _) => {
            world.left.repairs -= u8::from(event == Event::Repair);
            Task::Resume
        }
        (Event::Survey(next), task) => {
            if task == Task::Resume {
                let known = world.coordinators[at].intents.change;
                world.coordinators[at].ending_change =
                    known.filter(|_| at == world.holder && next.over);
            }
            world.coordinators[at].known_end = next.known_end;
            next.task
        }
        (Event::Act, Task::Decided(change, decision)) => act(world, at, change, decision),
        (Event::Act, Task::Void(purpose, primary)) => order::record(world, at, purpose, primary),
        (Event::SendOrder, Task::Recorded(given)) => {
            world.orders.push(Order {
                token: given.token,
                instance: given.next,
                accepted: false,
            });
            world.orders.sort_unstable();
            Task::Ordered(given)
        }
        (Event::PauseNew, Task::Recorded(given)) => Task::Recorded(pause_new(world, given, cfg)),
        (Event::PauseNew, Task::Ordered(given)) => Task::Ordered(pause_new(world, given, cfg)),
        (Event::ObservesLeader(responded), Task::Ordered(given)) => {
            order::settle(world, at, &given, true, responded, cfg);
            Task::Resume
        }
        (Event::StopsWaiting(responded), Task::Ordered(given)) => {
            order::end(world, at, &given, responded, cfg)
        }
        _ => resume_step(world, at, event),
    };
    world.coordinators[at].task = next;
}

fn begin(world: &mut World, at: usize, old: Id, kind: Kind, cfg: &Cfg) -> Task {
    world.left.changes -= u8::from(kind != Kind::Unfinished);
    let this = &mut world.coordinators[at];
    let incarnation = world.instances[old].incarnation;
    if cfg.stale_proofs && world.instances[old].runs && !has(world.partitioned, old) {
        this.known_end = this.known_end.max(world.instances[old].received());
    }
    Task::Change(Change {
        old,
        incarnation,
        kind,
        demoted: false,
        unresponsive: false,
        order_recorded: false,
        recorded: false,
    })
}

fn act(world: &mut World, at: usize, change: Change, decision: Decision) -> Task {
    match decision {
        Decision::Pause(term, targets) => {
            send_each(world, targets, Command::Pause(term));
            Task::Change(change)
        }
        Decision::Demote(term, old) => {
            world.send(old, Command::Demote(term));
            let demoted = true;
            Task::Change(Change { demoted, ..change })
        }
        Decision::Promote(next, term, known) => {
            order::record(world, at, Purpose::Promote(change, term, known), next)
        }
    }
}

fn pause_new(world: &mut World, mut given: GivenOrder, cfg: &Cfg) -> GivenOrder {
    if let Purpose::Promote(_, term, known) = &mut given.purpose {
        let new = survey::unknown(world, *known);
        *known |= new;
        send_each(world, new, Command::Pause(*term));
        if cfg.announced_first {
            let new = (0..world.instances.len()).filter(|id| has(new, *id));
            new.for_each(|id| world.deliver(id, Command::Pause(*term)));
        }
    }
    given
}

/// The steps that resume replicas.
fn resume_step(world: &mut World, at: usize, event: Event) -> Task {
    match (event, world.coordinators[at].task) {
        (Event::RecordResume, Task::RecordResume { paused }) => {
            let earlier = world.coordinators[at].intents.resume.is_some();
            world.intents.resume = Some(at);
            world.coordinators[at].intents.resume = Some(at);
            Task::SendResume { paused, earlier }
        }
        (Event::SendResume, Task::SendResume { paused, earlier }) => {
            send_each(world, paused, Command::Resume);
            Task::ResumeSent { earlier }
        }
        (Event::AllResponded, _) => {
            delete_resume_intent(world, at, Some(at));
            Task::Idle
        }
        (Event::IntentExpires, _) => {
            let known = world.coordinators[at].intents.resume;
            delete_resume_intent(world, at, known);
            Task::Idle
        }
        _ => Task::Idle,
    }
}

/// Deletes the recorded change, so that instances may become eligible again: no order for
/// another instance than the present primary is pending.
fn end_change(world: &mut World, at: usize) {
    let this = &mut world.coordinators[at];
    let ending = this.ending_change.take();
    this.intents.change.take_if(|by| Some(*by) == ending);
    world.intents.change.take_if(|by| Some(*by) == ending);
}

fn delete_resume_intent(world: &mut World, at: usize, known: Option<usize>) {
    world.intents.resume.take_if(|by| Some(*by) == known);
    world.coordinators[at].intents.resume = None;
}

fn send_each(world: &mut World, targets: Set, command: Command) {
    for id in (0..world.instances.len()).filter(|id| has(targets, *id)) {
        world.send(id, command);
    }
}

/// The platform accepted an order or refused it; its response is in flight.
pub(crate) fn record_response(world: &mut World, token: u8, accepted: bool) {
    for this in &mut world.coordinators {
        if let Task::Ordered(given) = &mut this.task
            && given.token == token
        {
            given.accepted = Some(accepted);
        }
    }
}

/// A coordinator that lost the role stops where the code checks for it.
pub(crate) fn end_without_role(world: &mut World, cfg: &Cfg) {
    for (at, this) in world.coordinators.iter_mut().enumerate() {
        let checks = match this.task {
            Task::Change(_) => true,
            Task::Decided(_, Decision::Promote(..)) => true,
            Task::Void(..) | Task::Recorded(_) => true,
            Task::RecordResume { .. } | Task::SendResume { .. } => cfg.off != Some(Guard::Role),
            _ => false,
        };
        // What it knows has no effect any more.
        if at != world.holder && (checks || this.task == Task::Idle) {
            *this = Coordinator::default();
        }
    }
}

/// Whether enough time may pass that every recorded order has arrived or is lost.
pub(crate) fn may_lapse(world: &World) -> bool {
    let waits = |this: &Coordinator| {
        let task = this.task;
        match task {
            Task::Recorded(_) | Task::Ordered(_) => true,
            Task::Change(change) | Task::Decided(change, _) => change.order_recorded,
            _ => false,
        }
    };
    let accepted = world.orders.iter().any(|o| o.accepted);
    world.intents.promotion.is_some() && !accepted && !world.coordinators.iter().any(waits)
}

/// An instance has restarted and is not known from the last survey any more.
pub(crate) fn restarted(world: &mut World, id: Id) {
    for this in &mut world.coordinators {
        match &mut this.task {
            Task::Decided(_, Decision::Promote(.., known))
            | Task::Void(Purpose::VoidThenAct(_, Some(Decision::Promote(.., known))), _) => {
                *known &= !bit(id);
            }
            Task::Recorded(given) | Task::Ordered(given) => match &mut given.purpose {
                Purpose::Promote(.., known)
                | Purpose::VoidThenAct(_, Some(Decision::Promote(.., known))) => *known &= !bit(id),
                _ => {}
            },
            _ => {}
        }
    }
}

/// An instance has a new id: tasks that concern the previous id are dropped.
pub(crate) fn drop_old_id(world: &mut World, id: Id) {
    restarted(world, id);
    for this in &mut world.coordinators {
        match &mut this.task {
            Task::Decided(change, Decision::Promote(next, ..)) if *next == id => {
                this.task = Task::Change(*change);
            }
            Task::Void(purpose, next) if *next == id => this.task = order::on_failure(*purpose),
            Task::Recorded(given) | Task::Ordered(given) if given.next == id => {
                this.task = order::on_failure(given.purpose);
            }
            Task::RecordResume { paused } | Task::SendResume { paused, .. } => *paused &= !bit(id),
            Task::Decided(_, Decision::Pause(_, targets)) => *targets &= !bit(id),
            _ => {}
        }
    }
}

/// The step by which a coordinator pauses a newly announced instance, if it is next.
pub(crate) fn urgent(world: &World, at: usize, events: &[Event]) -> Option<Event> {
    let decided = match world.coordinators[at].task {
        Task::Decided(_, Decision::Promote(_, _, known)) => survey::unknown(world, known) != 0,
        _ => false,
    };
    let first = |e: &&Event| **e == Event::PauseNew || decided && **e == Event::Act;
    events.iter().find(first).copied()
}
