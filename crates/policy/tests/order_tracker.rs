//! Primaries that lead by another order than the last one.

use model::id::InstanceId;
use model::position::{Point, Term};
use policy::order_tracker::{OrderTracker, Purpose, UnexpectedPrimary};
use policy::takeover::{InstanceView, Role, State, Token};

const HOLDER: Token = Token::first(7);

fn id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

/// What a look finds where this instance leads under a term.
fn led_by(name: &str, term: u64) -> [InstanceView; 1] {
    let state = State {
        role: Role::Primary,
        term: Term(term),
        received: Point::default(),
        paused: Term(0),
    };
    [InstanceView {
        id: id(name),
        announced: true,
        leaving: false,
        responded: true,
        same_region: true,
        state: Some(state),
    }]
}

fn late(name: &str, last_purpose: Option<Purpose>) -> Option<UnexpectedPrimary> {
    let instance = id(name);
    Some(UnexpectedPrimary {
        instance,
        last_purpose,
    })
}

/// An order without an answer is carried out after the next one was given. Nobody could
/// tell afterwards that the instance of the earlier order had led.
#[test]
fn an_order_that_overtakes_the_next_one_is_seen_once() {
    let mut expected = OrderTracker::default();
    assert_eq!(expected.observe(HOLDER, &led_by("a", 1)), None);
    expected.record_order(Purpose::Change, &id("b"));
    assert_eq!(expected.observe(HOLDER, &led_by("a", 1)), None);
    expected.record_order(Purpose::Change, &id("c"));
    assert_eq!(expected.observe(HOLDER, &[]), None);
    let found = expected.observe(HOLDER, &led_by("b", 2));
    assert_eq!(found, late("b", Some(Purpose::Change)));
    assert_eq!(expected.observe(HOLDER, &led_by("b", 2)), None);
    assert_eq!(expected.observe(HOLDER, &led_by("c", 3)), None);
}

/// An order is carried out between the look and the order that voids it, which then makes
/// the old primary lead again. Only the term tells.
#[test]
fn an_order_that_voids_another_too_late_is_seen() {
    let mut expected = OrderTracker::default();
    expected.observe(HOLDER, &led_by("a", 1));
    expected.record_order(Purpose::Change, &id("b"));
    expected.record_order(Purpose::VoidEarlier, &id("a"));
    assert_eq!(expected.observe(HOLDER, &led_by("a", 1)), None);
    let found = expected.observe(HOLDER, &led_by("a", 3));
    assert_eq!(found, late("a", Some(Purpose::VoidEarlier)));
}

/// The duty was elsewhere for a while. A change by the other holder is no late order, one
/// that is carried out after this holder saw a primary is.
#[test]
fn a_change_by_another_holder_is_not_late() {
    let mut expected = OrderTracker::default();
    expected.observe(HOLDER, &led_by("a", 1));
    expected.record_order(Purpose::Change, &id("b"));
    let again = Token::first(9);
    assert_eq!(expected.observe(again, &led_by("c", 4)), None);
    assert_eq!(expected.observe(again, &led_by("b", 5)), late("b", None));
}
