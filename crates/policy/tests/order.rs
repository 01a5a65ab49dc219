//! When a promotion order can no longer take effect.

use model::unit::Span;
use policy::order;
use policy::takeover::OrderResponse;
use test_case::test_case;

/// Guards against resuming replicas, or promoting another instance, while an accepted order is
/// about to take effect, however long its response took.
#[test_case(Some(OrderResponse::Accepted), false, false, 0, false; "accepted just now")]
#[test_case(Some(OrderResponse::Accepted), false, true, 700, true; "accepted, and its instance leads")]
#[test_case(Some(OrderResponse::Accepted), true, true, 700, false; "its instance leads because of an earlier one")]
#[test_case(Some(OrderResponse::Accepted), true, false, 1_400, false; "accepted a moment ago")]
#[test_case(Some(OrderResponse::Accepted), true, false, 1_500, true; "has taken effect, earlier ones are void")]
#[test_case(Some(OrderResponse::Conflict), false, false, 0, true; "rejected")]
#[test_case(Some(OrderResponse::NotNow), false, false, 0, true; "not accepted")]
#[test_case(Some(OrderResponse::NotNow), true, false, 5_000, false; "not accepted, an earlier one is pending")]
#[test_case(None, false, true, 5_000, false; "no response")]
fn an_order_is_pending_until_it_can_have_no_effect(
    response: Option<OrderResponse>,
    earlier: bool,
    leads: bool,
    since_ms: u64,
    settled: bool,
) {
    let since = Span::from_millis(since_ms);
    assert_eq!(order::is_settled(response, earlier, leads, since), settled);
}

/// Guards against an intent that is never deleted: an accepted order is settled after the wait
/// for its instance.
#[test]
fn an_accepted_order_is_settled_after_the_wait() {
    let response = Some(OrderResponse::Accepted);
    assert!(order::is_settled(
        response,
        true,
        false,
        order::leader_wait(response)
    ));
}
