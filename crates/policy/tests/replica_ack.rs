//! Which replicas prove that a write is safe, and in which order they are asked.

use model::id::InstanceId;
use model::position::Point;
use model::unit::{Span, Time};
use policy::replica_ack::{self, EligibleBefore, PendingAcks, Replica, Unresponsive, Write};
use test_case::test_case;

fn id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn write(term: u64, number: u64) -> Write {
    Write {
        primary: id("p"),
        point: Point::new(term, number),
    }
}

/// Guards against a success that is told on the word of a log that may lack the write.
#[test_case("a", Point::new(2, 9), true; "it holds the write")]
#[test_case("a", Point::new(2, 12), true; "it holds more")]
#[test_case("a", Point::new(2, 8), false; "it holds less")]
#[test_case("a", Point::new(3, 12), false; "its log may have parted before the write")]
#[test_case("p", Point::new(2, 9), false; "it is the primary itself, which was told to stop")]
fn only_a_replica_with_the_same_log_proves_a_write(replica: &str, received: Point, held: bool) {
    assert_eq!(write(2, 9).is_held_by(&id(replica), received), held);
}

/// Guards against counting a connection that was opened after a change of primary began, to an
/// instance that the change does not know.
#[test]
fn only_connections_opened_before_a_moment_without_a_change_count() {
    let mut counted = EligibleBefore::default();
    assert!(!counted.is_eligible(at(0)));
    counted.record_no_change(at(50));
    assert!(counted.is_eligible(at(49)));
    assert!(!counted.is_eligible(at(50)));
    // An answer that was overtaken takes nothing back.
    counted.record_no_change(at(40));
    assert!(counted.is_eligible(at(49)));
}

/// Guards against callers that wait although one answer covers their writes, or after their
/// time is up.
#[test]
fn one_answer_releases_all_writes_up_to_it() {
    let mut unproven = PendingAcks::default();
    for (number, give_up) in [(7, 100), (8, 20), (9, 100)] {
        unproven.add(write(1, number), at(give_up), number);
    }
    assert_eq!(unproven.take_held(&id("a"), Point::new(1, 7)), [7]);
    assert_eq!(unproven.take_expired(at(20)), [8]);
    assert!(!unproven.is_empty());
    assert_eq!(unproven.take_held(&id("a"), Point::new(1, 10)), [9]);
    assert!(unproven.is_empty());
}

/// Guards against a success that rests on a log which goes a few seconds later, while the other
/// replica receives nothing.
#[test]
fn a_replica_that_leaves_proves_no_write() {
    let replica = |leaving| Replica {
        id: id("a"),
        round_trip: Span::from_millis(1),
        leaving,
    };
    assert!(replica(false).may_acknowledge());
    assert!(!replica(true).may_acknowledge());
}

/// Guards against writes that wait for a replica which is cut off or about to go, while a
/// near one holds them.
#[test]
fn replicas_that_answer_stay_and_are_near_are_asked_first() {
    let replica = |name, round_trip, leaving| Replica {
        id: id(name),
        round_trip: Span::from_millis(round_trip),
        leaving,
    };
    let all = vec![
        replica("far", 40, false),
        replica("leaving", 1, true),
        replica("cut", 1, false),
        replica("near", 2, false),
    ];
    let mut silent = Unresponsive::default();
    silent.add(id("cut"), at(0));
    let order = |silent: &Unresponsive, now| {
        let order = replica_ack::by_preference(all.clone(), silent, now);
        let names = order.iter().map(|r| r.id.to_string());
        names.collect::<Vec<_>>()
    };
    assert_eq!(order(&silent, at(10)), ["near", "far", "leaving", "cut"]);
    assert_eq!(order(&silent, at(2_000)), ["cut", "near", "far", "leaving"]);
    silent.remove(&id("cut"));
    assert_eq!(order(&silent, at(10)), ["cut", "near", "far", "leaving"]);
}
