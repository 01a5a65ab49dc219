//! Which replicas may acknowledge a write, and in which order they are queried.

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

/// Guards against a success that is reported because of a log that may lack the write.
#[test_case("a", Point::new(2, 9), true; "it holds the write")]
#[test_case("a", Point::new(2, 12), true; "it holds more")]
#[test_case("a", Point::new(2, 8), false; "it holds less")]
#[test_case("a", Point::new(3, 12), false; "its log may have diverged before the write")]
#[test_case("p", Point::new(2, 9), false; "it is the primary itself, which was demoted")]
fn only_a_replica_with_the_same_log_acknowledges_a_write(
    replica: &str,
    received: Point,
    held: bool,
) {
    assert_eq!(write(2, 9).is_held_by(&id(replica), received), held);
}

/// Guards against accepting a connection that was opened after a change of primary began, to an
/// instance that the change does not know.
#[test]
fn only_connections_opened_before_a_time_without_a_change_are_eligible() {
    let mut eligible = EligibleBefore::default();
    assert!(!eligible.is_eligible(at(0)));
    eligible.record_no_change(at(50));
    assert!(eligible.is_eligible(at(49)));
    assert!(!eligible.is_eligible(at(50)));
    // A response that arrives out of order revokes nothing.
    eligible.record_no_change(at(40));
    assert!(eligible.is_eligible(at(49)));
}

/// Guards against callers that wait although one response covers their writes, or after their
/// deadline.
#[test]
fn one_response_releases_all_writes_up_to_its_position() {
    let mut pending = PendingAcks::default();
    for (number, deadline) in [(7, 100), (8, 20), (9, 100)] {
        pending.add(write(1, number), at(deadline), number);
    }
    assert_eq!(pending.take_held(&id("a"), Point::new(1, 7)), [7]);
    assert_eq!(pending.take_expired(at(20)), [8]);
    assert!(!pending.is_empty());
    assert_eq!(pending.take_held(&id("a"), Point::new(1, 10)), [9]);
    assert!(pending.is_empty());
}

/// Guards against a success that depends on a log which disappears a few seconds later, while
/// the other replica receives nothing.
#[test]
fn a_decommissioned_replica_acknowledges_no_write() {
    let replica = |leaving| Replica {
        id: id("a"),
        round_trip: Span::from_millis(1),
        leaving,
    };
    assert!(replica(false).may_acknowledge());
    assert!(!replica(true).may_acknowledge());
}

/// Guards against writes that wait for a replica which is partitioned or about to be removed,
/// while a near one holds them.
#[test]
fn responsive_permanent_and_near_replicas_are_queried_first() {
    let replica = |name, round_trip, leaving| Replica {
        id: id(name),
        round_trip: Span::from_millis(round_trip),
        leaving,
    };
    let all = vec![
        replica("far", 40, false),
        replica("leaving", 1, true),
        replica("partitioned", 1, false),
        replica("near", 2, false),
    ];
    let mut unresponsive = Unresponsive::default();
    unresponsive.add(id("partitioned"), at(0));
    let order = |unresponsive: &Unresponsive, now| {
        let order = replica_ack::by_preference(all.clone(), unresponsive, now);
        let names = order.iter().map(|r| r.id.to_string());
        names.collect::<Vec<_>>()
    };
    assert_eq!(
        order(&unresponsive, at(10)),
        ["near", "far", "leaving", "partitioned"]
    );
    assert_eq!(
        order(&unresponsive, at(2_000)),
        ["partitioned", "near", "far", "leaving"]
    );
    unresponsive.remove(&id("partitioned"));
    assert_eq!(
        order(&unresponsive, at(10)),
        ["partitioned", "near", "far", "leaving"]
    );
}
