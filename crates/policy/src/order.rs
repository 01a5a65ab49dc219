//! When a promotion order to the platform can no longer take effect.

use model::unit::Span;

use crate::takeover::OrderResponse;

/// Longest time from the acceptance of an order until its instance leads.
pub const EFFECT_TIMEOUT: Span = Span::from_millis(1_500);

/// How long to wait for the ordered instance to lead, counted from the response, or from the
/// timeout of the request. An order without a response is repeated rather than waited for.
pub const fn leader_wait(response: Option<OrderResponse>) -> Span {
    match response {
        Some(OrderResponse::Accepted) => Span::from_millis(2_500),
        Some(OrderResponse::Conflict | OrderResponse::NotNow) => Span::from_millis(0),
        None => Span::from_millis(1_000),
    }
}

/// Whether neither this order nor an earlier one can still take effect, `since_response` after
/// its response.
///
/// `earlier` tells whether an earlier order got no response; an accepted order voids it.
/// `leads` tells whether the ordered instance leads.
pub fn is_settled(
    response: Option<OrderResponse>,
    earlier: bool,
    leads: bool,
    since_response: Span,
) -> bool {
    match response {
        Some(OrderResponse::Accepted) => (leads && !earlier) || since_response >= EFFECT_TIMEOUT,
        Some(OrderResponse::Conflict | OrderResponse::NotNow) => !earlier,
        None => false,
    }
}
