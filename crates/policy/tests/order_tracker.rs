//! Primaries that lead because of another order than the last one.

use model::id::InstanceId;
use model::position::{Point, Term};
use policy::order_tracker::{OrderTracker, Purpose, UnexpectedPrimary};
use policy::takeover::{InstanceView, Role, State, Token};

const HOLDER: Token = Token::first(7);

fn id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

/// The survey in which this instance leads in a term.
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

fn unexpected(name: &str, last_purpose: Option<Purpose>) -> Option<UnexpectedPrimary> {
    let instance = id(name);
    Some(UnexpectedPrimary {
        instance,
        last_purpose,
    })
}

/// An order without a response takes effect after the next one was given. Nothing else would
/// show afterwards that the instance of the earlier order was primary.
#[test]
fn an_order_that_takes_effect_after_the_next_one_is_reported_once() {
    let mut tracker = OrderTracker::default();
    assert_eq!(tracker.observe(HOLDER, &led_by("a", 1)), None);
    tracker.record_order(Purpose::Change, &id("b"));
    assert_eq!(tracker.observe(HOLDER, &led_by("a", 1)), None);
    tracker.record_order(Purpose::Change, &id("c"));
    assert_eq!(tracker.observe(HOLDER, &[]), None);
    let found = tracker.observe(HOLDER, &led_by("b", 2));
    assert_eq!(found, unexpected("b", Some(Purpose::Change)));
    assert_eq!(tracker.observe(HOLDER, &led_by("b", 2)), None);
    assert_eq!(tracker.observe(HOLDER, &led_by("c", 3)), None);
}

/// An order takes effect between the survey and the order that voids it, which then makes the
/// old primary lead again. Only the term shows it.
#[test]
fn an_order_that_voids_another_too_late_is_reported() {
    let mut tracker = OrderTracker::default();
    tracker.observe(HOLDER, &led_by("a", 1));
    tracker.record_order(Purpose::Change, &id("b"));
    tracker.record_order(Purpose::VoidEarlier, &id("a"));
    assert_eq!(tracker.observe(HOLDER, &led_by("a", 1)), None);
    let found = tracker.observe(HOLDER, &led_by("a", 3));
    assert_eq!(found, unexpected("a", Some(Purpose::VoidEarlier)));
}

/// Another proxy held the coordinator role for a while. A change by that holder is not reported
/// as unexpected; one that takes effect after this holder saw a primary is.
#[test]
fn a_change_by_another_holder_is_not_unexpected() {
    let mut tracker = OrderTracker::default();
    tracker.observe(HOLDER, &led_by("a", 1));
    tracker.record_order(Purpose::Change, &id("b"));
    let again = Token::first(9);
    assert_eq!(tracker.observe(again, &led_by("c", 4)), None);
    assert_eq!(
        tracker.observe(again, &led_by("b", 5)),
        unexpected("b", None)
    );
}
