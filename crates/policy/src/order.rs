//! When an order to the platform can have no effect any more.

use model::unit::Span;

use crate::takeover::OrderResponse;

/// Longest time from the acceptance of an order until its instance leads.
pub const EFFECT_TIMEOUT: Span = Span::from_millis(1_500);

/// How long to look for the ordered instance to lead, counted from the answer, or from the end of
/// the wait for one. An order without an answer is repeated rather than waited for.
pub const fn leader_wait(answer: Option<OrderResponse>) -> Span {
    match answer {
        Some(OrderResponse::Accepted) => Span::from_millis(2_500),
        Some(OrderResponse::Conflict | OrderResponse::NotNow) => Span::from_millis(0),
        None => Span::from_millis(1_000),
    }
}

/// Whether neither an order nor one before it can have an effect any more, so long after its
/// answer. `earlier` says whether one before it had no answer; an accepted one makes it void.
/// `led` says whether its instance leads.
pub fn is_settled(
    answer: Option<OrderResponse>,
    earlier: bool,
    led: bool,
    since_answer: Span,
) -> bool {
    match answer {
        Some(OrderResponse::Accepted) => (led && !earlier) || since_answer >= EFFECT_TIMEOUT,
        Some(OrderResponse::Conflict | OrderResponse::NotNow) => !earlier,
        None => false,
    }
}
