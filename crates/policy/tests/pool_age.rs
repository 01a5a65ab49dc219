//! Which connections a pool uses and keeps, where the age of connections matters.

use model::customer::CustomerPriority;
use model::entry::Entry;
use model::id::InstanceId;
use model::position::Point;
use model::unit::{Span, Time};
use policy::pool::{Action, ConnRequest, Kind, Pool};
use policy::proof::Proof;

/// Each connection is named by the millisecond at which it was opened.
type Conns = Pool<u64, u32>;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn id() -> InstanceId {
    "a".parse().unwrap()
}

fn entry(leaving: bool) -> Entry {
    Entry {
        id: id(),
        group: "g".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        slots: 3,
        leaving,
        claims_primary: false,
        started_at: 1,
    }
}

/// A pool with idle connections, added in this order.
fn pool(opened: &[u64]) -> Conns {
    let mut pool = Conns::new().prefer_oldest(|opened| at(*opened));
    pool.set_shares(9, 9, true);
    pool.set_entries(&[entry(false)], |_| Span::from_millis(1), at(0));
    for conn in opened {
        pool.begin_open(&id(), at(0));
        pool.open_completed(&id(), None, Ok(*conn), at(10));
    }
    pool
}

fn closed(actions: &[Action<u64, u32>]) -> Vec<u64> {
    let close = |a: &Action<u64, u32>| match a {
        Action::Close(conn) => Some(*conn),
        _ => None,
    };
    actions.iter().filter_map(close).collect()
}

fn request() -> ConnRequest {
    ConnRequest {
        kind: Kind::Control(id()),
        customer: None,
        customer_priority: CustomerPriority::default(),
        own_write: None,
        arrived: at(20),
        objective: Span::from_millis(60_000),
        deadline: at(100),
        priority: 0,
        avoid: None,
        may_wait: true,
    }
}

fn granted(actions: Vec<Action<u64, u32>>) -> Option<u64> {
    actions.into_iter().find_map(|a| match a {
        Action::Grant(_, grant) => Some(grant.conn),
        _ => None,
    })
}

/// Guards against bursts that leave only young connections, none of which is eligible for
/// replica acknowledgements.
#[test]
fn the_connection_opened_first_is_used_first() {
    let mut pool = pool(&[5, 3, 4]);
    assert_eq!(granted(pool.request(request(), 1, at(20))), Some(3));
}

/// Guards against a replica without an eligible connection when the one that acknowledged
/// writes becomes the primary: the owner of the pool queries the store for as long as the
/// oldest connection is new.
#[test]
fn the_oldest_connection_of_each_replica_is_known() {
    let oldest: Vec<_> = pool(&[5, 3, 4]).oldest_per_replica().collect();
    assert_eq!(oldest, [at(3)]);
}

/// Guards against a store query for each statement under steady load: the oldest connection is
/// then always in use, and only younger ones are idle.
#[test]
fn a_checked_out_connection_keeps_its_age() {
    let mut pool = pool(&[3, 5]);
    let checked_out = granted(pool.request(request(), 1, at(20)));
    assert_eq!(checked_out, Some(3));
    assert_eq!(pool.oldest_per_replica().collect::<Vec<_>>(), [at(3)]);
    pool.release(&id(), checked_out, None, at(30));
    assert_eq!(pool.oldest_per_replica().collect::<Vec<_>>(), [at(3)]);
}

/// Guards against counting a connection that broke while it was checked out as still eligible.
#[test]
fn a_connection_broken_while_checked_out_is_forgotten() {
    let mut pool = pool(&[3, 5]);
    pool.request(request(), 1, at(20));
    pool.release(&id(), None, None, at(30));
    assert_eq!(pool.oldest_per_replica().collect::<Vec<_>>(), [at(5)]);
}

/// The same, if the break is not known yet: the instance has restarted.
#[test]
fn a_restart_resets_the_age_of_checked_out_connections() {
    let mut pool = pool(&[3, 5]);
    pool.request(request(), 1, at(20));
    let restarted = Entry {
        started_at: 2,
        ..entry(false)
    };
    pool.set_entries(&[restarted], |_| Span::from_millis(1), at(30));
    assert_eq!(pool.oldest_per_replica().collect::<Vec<_>>(), [at(30)]);
}

/// Guards, as above, against bursts that leave only young connections: of two idle connections
/// the younger is closed.
#[test]
fn the_connection_opened_last_is_closed_first() {
    let mut pool = pool(&[3, 5]);
    assert_eq!(closed(&pool.tick(at(1_000))), [5]);
    assert!(closed(&pool.tick(at(2_000))).is_empty());
}

/// Guards against writes in doubt when a leaving replica is the only one that receives the log:
/// without an earlier connection, a new one would not be eligible during the change of primary.
#[test]
fn one_connection_to_a_leaving_instance_is_kept() {
    let mut pool = pool(&[3, 5, 4]);
    pool.set_entries(&[entry(true)], |_| Span::from_millis(1), at(20));
    let mut closed = closed(&pool.tick(at(30)));
    closed.sort_unstable();
    assert_eq!(closed, [4, 5]);
}

fn count_opens(actions: &[Action<u64, u32>]) -> usize {
    let open = |a: &&Action<u64, u32>| matches!(a, Action::Open(..));
    actions.iter().filter(open).count()
}

/// Guards against writes in doubt when the store becomes unavailable just as traffic begins:
/// the replicas were announced after the primary had proved that it leads, and no proxy had an
/// eligible connection to them.
#[test]
fn a_replica_announced_late_gets_a_connection() {
    let mut pool = Conns::new().prefer_oldest(|opened| at(*opened));
    pool.set_shares(9, 9, true);
    pool.set_entries(&[entry(false)], |_| Span::from_millis(1), at(0));
    assert_eq!(count_opens(&pool.open_missing(at(10))), 1);
    assert_eq!(
        count_opens(&pool.open_missing(at(20))),
        0,
        "it is being opened"
    );
    pool.open_completed(&id(), None, Ok(15), at(30));
    assert_eq!(count_opens(&pool.open_missing(at(40))), 0);
}

/// Guards against unused connections: to an instance that leaves, or at a proxy that uses
/// poolers.
#[test]
fn unneeded_connections_are_not_opened() {
    let mut pool = Conns::new().prefer_oldest(|opened| at(*opened));
    pool.set_entries(&[entry(true)], |_| Span::from_millis(1), at(0));
    assert_eq!(count_opens(&pool.open_missing(at(10))), 0);
    pool.set_entries(&[entry(false)], |_| Span::from_millis(1), at(20));
    pool.set_shares(9, 9, false);
    assert_eq!(count_opens(&pool.open_missing(at(30))), 0);
}

/// Guards against writes to an instance that is about to stop: the proxy was disconnected from
/// the store when the instance announced that it leaves, and learned of it three seconds later.
#[test]
fn write_time_of_a_leaving_primary_counts_from_the_announcement() {
    let mut pool = pool(&[3]);
    let proof = Proof {
        since: at(12),
        point: Point::new(1, 7),
    };
    pool.record_proof(&id(), proof);
    pool.set_entries_since(&[entry(true)], |_| Span::from_millis(1), at(100), at(3_100));
    let write = |now| ConnRequest {
        kind: Kind::Write,
        arrived: at(now),
        deadline: at(now + 100),
        ..request()
    };
    let checked_out = granted(pool.request(write(5_000), 1, at(5_000)));
    assert_eq!(checked_out, Some(3), "another instance may not lead yet");
    pool.release(&id(), checked_out, None, at(5_050));
    assert_eq!(granted(pool.request(write(5_200), 2, at(5_200))), None);
}
