//! Orders to the platform and their note in the store.

use model::unit::Span;
use policy::order;
use policy::takeover::OrderResponse;

use crate::cfg::{Cfg, Guard};
use crate::doing::{Doing, Given, Lead, Purpose};
use crate::look;
use crate::world::{Id, World};

/// Notes an order, unless one for another instance is noted that was not known.
pub(crate) fn note(world: &mut World, at: usize, mut purpose: Purpose, next: Id) -> Doing {
    let born = look::known_born(&world.instances[next]);
    let known = world.coordinators[at].notes.lead;
    let other = world.notes.lead.filter(|lead| Some(*lead) != known);
    if other.is_some_and(|lead| (lead.instance, lead.born) != (next, born)) {
        world.coordinators[at].notes.lead = other;
        return without(purpose);
    }
    let repeats = known.is_some_and(|lead| lead.instance == next);
    let left = match repeats || !matches!(purpose, Purpose::Promote(..)) {
        true => &mut world.left.repeats,
        false => &mut world.left.orders,
    };
    if *left == 0 {
        return without(purpose);
    }
    *left -= 1;
    world.token += 1;
    let token = world.token;
    let lead = Some(Lead {
        instance: next,
        born,
        token,
    });
    world.notes.lead = lead;
    world.coordinators[at].notes.lead = lead;
    if let Purpose::Promote(change, ..) | Purpose::Leave(change, _) = &mut purpose {
        change.noted = true;
    }
    Doing::Noted(Given {
        purpose,
        next,
        token,
        earlier: known.is_some(),
        taken: None,
    })
}

/// What is done if an order has come to nothing.
pub(crate) const fn without(purpose: Purpose) -> Doing {
    match purpose {
        Purpose::Promote(change, ..) | Purpose::Leave(change, _) => Doing::Change(change),
        Purpose::Receive(0) => Doing::Idle,
        Purpose::Receive(stopped) => Doing::Note { stopped },
    }
}

pub(crate) fn end(world: &mut World, at: usize, given: &Given, heard: bool, cfg: &Cfg) -> Doing {
    if matches!(given.purpose, Purpose::Promote(..)) {
        settle(world, at, given, false, heard, cfg);
        return match heard && given.taken == Some(true) {
            true => Doing::Resume,
            false => without(given.purpose),
        };
    }
    if !heard || given.taken != Some(true) {
        return without(given.purpose);
    }
    forget_lead(world, at, given.token);
    match given.purpose {
        Purpose::Leave(change, Some(decision)) => Doing::Decided(change, decision),
        purpose => without(purpose),
    }
}

/// Deletes the note of an order that can have no effect any more.
pub(crate) fn settle(
    world: &mut World,
    at: usize,
    given: &Given,
    led: bool,
    heard: bool,
    cfg: &Cfg,
) {
    let answer = given.taken.filter(|_| heard).map(|taken| match taken {
        true => OrderResponse::Accepted,
        false => OrderResponse::Conflict,
    });
    let under_way = world.orders.iter().any(|o| o.token == given.token);
    let since = match under_way && cfg.off != Some(Guard::Time) {
        true => Span::from_millis(0),
        false => order::EFFECT_TIMEOUT,
    };
    let earlier = given.earlier && cfg.off != Some(Guard::Earlier);
    let forgets = led && cfg.off == Some(Guard::VoidEarlier);
    if forgets || order::is_settled(answer, earlier, led, since) {
        forget_lead(world, at, given.token);
    }
}

fn forget_lead(world: &mut World, at: usize, token: u8) {
    let is = |lead: &Lead| lead.token == token;
    world.notes.lead.take_if(|lead| is(lead));
    world.coordinators[at].notes.lead.take_if(|lead| is(lead));
}
