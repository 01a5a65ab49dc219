//! Orders to the platform that may still have an effect.

use model::unit::Span;
use policy::order;
use policy::takeover::OrderResponse;
use test_case::test_case;

/// Guards against replicas that receive again, or another instance that is named, while an
/// accepted order is about to take effect, however long its answer took.
#[test_case(Some(OrderResponse::Accepted), false, false, 0, false; "accepted just now")]
#[test_case(Some(OrderResponse::Accepted), false, true, 700, true; "accepted, and its instance leads")]
#[test_case(Some(OrderResponse::Accepted), true, true, 700, false; "its instance leads by an earlier one")]
#[test_case(Some(OrderResponse::Accepted), true, false, 1_400, false; "accepted a moment ago")]
#[test_case(Some(OrderResponse::Accepted), true, false, 1_500, true; "carried out, earlier ones are void")]
#[test_case(Some(OrderResponse::Conflict), false, false, 0, true; "refused")]
#[test_case(Some(OrderResponse::NotNow), false, false, 0, true; "not taken")]
#[test_case(Some(OrderResponse::NotNow), true, false, 5_000, false; "not taken, an earlier one stands")]
#[test_case(None, false, true, 5_000, false; "without an answer")]
fn an_order_stands_until_it_can_have_no_effect(
    answer: Option<OrderResponse>,
    earlier: bool,
    led: bool,
    since_ms: u64,
    over: bool,
) {
    let since = Span::from_millis(since_ms);
    assert_eq!(order::is_settled(answer, earlier, led, since), over);
}

/// Guards against a note that is never deleted: an accepted order is over once its instance
/// was waited for.
#[test]
fn an_accepted_order_is_over_after_the_wait() {
    let answer = Some(OrderResponse::Accepted);
    assert!(order::is_settled(
        answer,
        true,
        false,
        order::leader_wait(answer)
    ));
}
