//! Promotion orders to the platform and their intents in the store.

use model::unit::Span;
use policy::order;
use policy::takeover::OrderResponse;

use crate::cfg::{Cfg, Guard};
use crate::survey;
use crate::task::{GivenOrder, Promotion, Purpose, Task};
use crate::world::{Id, World};

/// Records the intent of an order, unless the store holds one for another instance that was
/// not known here.
pub(crate) fn record(world: &mut World, at: usize, mut purpose: Purpose, next: Id) -> Task {
    let incarnation = survey::known_incarnation(&world.instances[next]);
    let known = world.coordinators[at].intents.promotion;
    let other = world
        .intents
        .promotion
        .filter(|promotion| Some(*promotion) != known);
    if other
        .is_some_and(|promotion| (promotion.instance, promotion.incarnation) != (next, incarnation))
    {
        world.coordinators[at].intents.promotion = other;
        return on_failure(purpose);
    }
    let repeats = known.is_some_and(|promotion| promotion.instance == next);
    let left = match repeats || !matches!(purpose, Purpose::Promote(..)) {
        true => &mut world.left.repeats,
        false => &mut world.left.orders,
    };
    if *left == 0 {
        return on_failure(purpose);
    }
    *left -= 1;
    world.token += 1;
    let token = world.token;
    let promotion = Some(Promotion {
        instance: next,
        incarnation,
        token,
    });
    world.intents.promotion = promotion;
    world.coordinators[at].intents.promotion = promotion;
    if let Purpose::Promote(change, ..) | Purpose::VoidThenAct(change, _) = &mut purpose {
        change.order_recorded = true;
    }
    Task::Recorded(GivenOrder {
        purpose,
        next,
        token,
        earlier: known.is_some(),
        accepted: None,
    })
}

/// The next task if an order was not sent or had no effect.
pub(crate) const fn on_failure(purpose: Purpose) -> Task {
    match purpose {
        Purpose::Promote(change, ..) | Purpose::VoidThenAct(change, _) => Task::Change(change),
        Purpose::VoidThenResume(0) => Task::Idle,
        Purpose::VoidThenResume(paused) => Task::RecordResume { paused },
    }
}

/// The next task when the wait for an order ends; `responded` tells whether the platform did.
pub(crate) fn end(
    world: &mut World,
    at: usize,
    given: &GivenOrder,
    responded: bool,
    cfg: &Cfg,
) -> Task {
    if matches!(given.purpose, Purpose::Promote(..)) {
        settle(world, at, given, false, responded, cfg);
        return match responded && given.accepted == Some(true) {
            true => Task::Resume,
            false => on_failure(given.purpose),
        };
    }
    if !responded || given.accepted != Some(true) {
        return on_failure(given.purpose);
    }
    if cfg.off != Some(Guard::VoidingEffect) {
        world.coordinators[at].voiding = Some(given.token);
        return on_failure(given.purpose);
    }
    delete_promotion_intent(world, at, given.token);
    match given.purpose {
        Purpose::VoidThenAct(change, Some(decision)) => Task::Decided(change, decision),
        purpose => on_failure(purpose),
    }
}

/// Deletes the intent of the order for the present primary, which has taken effect.
pub(crate) fn settle_voiding(world: &mut World, at: usize) {
    if let Some(token) = world.coordinators[at].voiding.take() {
        delete_promotion_intent(world, at, token);
    }
}

/// Deletes the intent of an order that can no longer take effect.
pub(crate) fn settle(
    world: &mut World,
    at: usize,
    given: &GivenOrder,
    leads: bool,
    responded: bool,
    cfg: &Cfg,
) {
    let response = given
        .accepted
        .filter(|_| responded)
        .map(|accepted| match accepted {
            true => OrderResponse::Accepted,
            false => OrderResponse::Conflict,
        });
    let in_progress = world.orders.iter().any(|o| o.token == given.token);
    let since = match in_progress && cfg.off != Some(Guard::EffectTimeout) {
        true => Span::from_millis(0),
        false => order::EFFECT_TIMEOUT,
    };
    let earlier = given.earlier && cfg.off != Some(Guard::EarlierOrder);
    let deletes = leads && cfg.off == Some(Guard::VoidEarlier);
    if deletes || order::is_settled(response, earlier, leads, since) {
        delete_promotion_intent(world, at, given.token);
    }
}

fn delete_promotion_intent(world: &mut World, at: usize, token: u8) {
    let is = |promotion: &Promotion| promotion.token == token;
    world.intents.promotion.take_if(|promotion| is(promotion));
    world.coordinators[at]
        .intents
        .promotion
        .take_if(|promotion| is(promotion));
}
