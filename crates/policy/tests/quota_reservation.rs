//! Permits of operations that wait for connections.

use model::id::ProxyId;
use model::unit::{Span, Time};
use policy::quota::{Action, Answer, Holder, Permit, Reservation};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn granter() -> ProxyId {
    "granter".parse().unwrap()
}

/// A holder with so many permits, requested at 0.
fn holder(permits: u32) -> Holder<u32> {
    let mut holder = Holder::new(at(0));
    holder.set_granters(vec![granter()]);
    for n in 0..permits {
        holder.request(n, at(0));
    }
    // The second request is for the operations that came while the first one was under way.
    for _ in 0..2 {
        let answer = Answer {
            granted: permits,
            retry_after: Span::from_millis(10_000),
        };
        for action in holder.answered(&granter(), Some(answer), at(1)) {
            if let Action::Admit(_, permit) = action {
                holder.give_back(permit, at(1));
            }
        }
    }
    holder
}

fn admitted(actions: &[Action<u32>]) -> Vec<(u32, Permit)> {
    let admit = |a: &Action<u32>| match a {
        Action::Admit(waiter, permit) => Some((*waiter, *permit)),
        _ => None,
    };
    actions.iter().filter_map(admit).collect()
}

/// Instances are saturated, and an operation waits for its connection: its permit serves another
/// one meanwhile.
#[test]
fn a_permit_is_not_kept_in_a_long_queue_for_connections() {
    let mut holder = holder(1);
    let mut queued = Reservation::default();
    queued.hold(holder.try_take(at(5)).unwrap(), at(5));
    assert!(admitted(&holder.request(7, at(6))).is_empty());
    let release_at = queued.release_at().unwrap();
    assert!(release_at <= at(250), "others have no time to use it");
    let actions = holder.give_back(queued.release().unwrap(), release_at);
    assert!(matches!(admitted(&actions)[..], [(7, _)]), "{actions:?}");
    assert!(!queued.send(release_at));
}

/// A connection is had at once: the operation is sent with the permit that it had before.
#[test]
fn an_operation_is_sent_with_its_reserved_permit() {
    let mut holder = holder(1);
    let mut reservation = Reservation::default();
    assert!(!reservation.is_held(at(2)));
    reservation.hold(holder.try_take(at(2)).unwrap(), at(2));
    assert!(reservation.is_held(at(2)) && reservation.send(at(20)));
    assert!(!reservation.send(at(21)), "one permit, one operation");
    assert_eq!(reservation.release(), None, "the operation may have run");
}

/// A busy instance did not run the operation: the permit is used for the next attempt, or
/// returned.
#[test]
fn an_operation_that_did_not_run_keeps_its_permit() {
    let mut holder = holder(1);
    let mut reservation = Reservation::default();
    reservation.hold(holder.try_take(at(2)).unwrap(), at(2));
    assert!(reservation.send(at(3)));
    reservation.did_not_run(at(9));
    assert!(reservation.send(at(30)));
    reservation.did_not_run(at(40));
    assert!(reservation.release().is_some());
}

/// Guards against operations that are sent with permits that expired in the queue.
#[test]
fn an_expired_permit_does_not_send_an_operation() {
    let mut holder = holder(1);
    let mut reservation = Reservation::default();
    reservation.hold(holder.try_take(at(2)).unwrap(), at(2));
    assert!(!reservation.is_held(at(500)) && !reservation.send(at(500)));
    let actions = holder.give_back(reservation.release().unwrap(), at(500));
    assert!(admitted(&actions).is_empty());
    assert_eq!(holder.available(at(500)), 0);
}

/// Guards against a connection that is returned unused while operations without one are
/// admitted.
#[test]
fn an_operation_with_a_connection_is_admitted_first() {
    let mut holder = holder(1);
    let permit = holder.try_take(at(2)).unwrap();
    holder.request(1, at(3));
    holder.request_first(2, at(4));
    let actions = holder.give_back(permit, at(5));
    assert!(matches!(admitted(&actions)[..], [(2, _)]), "{actions:?}");
}
