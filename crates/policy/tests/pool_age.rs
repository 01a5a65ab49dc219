//! Which of a pool's connections are used and kept, where those opened first matter.

use model::entry::Entry;
use model::id::InstanceId;
use model::position::Point;
use model::unit::{Span, Time};
use policy::pool::{Action, ConnRequest, Kind, Pool};
use policy::proof::Proof;

/// The milliseconds at which a connection was opened are its name.
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
        born: 1,
    }
}

/// A pool with idle connections, given back in this order.
fn pool(opened: &[u64]) -> Conns {
    let mut pool = Conns::new().prefer_oldest(|opened| at(*opened));
    pool.set_shares(9, 9, true);
    pool.set_entries(&[entry(false)], |_| Span::from_millis(1), at(0));
    for conn in opened {
        pool.begin_open(&id(), at(0));
        pool.open_completed(&id(), Ok(*conn), at(10));
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
        own_write: None,
        arrived: at(20),
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

/// Guards against bursts that leave only young connections, none of which proves a write.
#[test]
fn the_connection_opened_first_is_used_first() {
    let mut pool = pool(&[5, 3, 4]);
    assert_eq!(granted(pool.request(request(), 1, at(20))), Some(3));
}

/// Guards against a replica without a connection that counts when the one that proved writes
/// becomes the primary: the owner asks for as long as the oldest one is new.
#[test]
fn the_oldest_connection_of_each_replica_is_known() {
    let oldest: Vec<_> = pool(&[5, 3, 4]).oldest_per_replica().collect();
    assert_eq!(oldest, [at(3)]);
}

/// Guards against a question to the store for each statement under steady load: the oldest
/// connection is always in use then, and only younger ones are idle.
#[test]
fn a_lent_connection_still_counts_by_its_age() {
    let mut pool = pool(&[3, 5]);
    let lent = granted(pool.request(request(), 1, at(20)));
    assert_eq!(lent, Some(3));
    assert_eq!(pool.oldest_per_replica().collect::<Vec<_>>(), [at(3)]);
    pool.release(&id(), lent, None, at(30));
    assert_eq!(pool.oldest_per_replica().collect::<Vec<_>>(), [at(3)]);
}

/// Guards against a connection that broke on loan and is taken for one that still counts.
#[test]
fn a_connection_that_breaks_on_loan_counts_no_longer() {
    let mut pool = pool(&[3, 5]);
    pool.request(request(), 1, at(20));
    pool.release(&id(), None, None, at(30));
    assert_eq!(pool.oldest_per_replica().collect::<Vec<_>>(), [at(5)]);
}

/// The same, where it is not known yet that it broke: its instance has started again.
#[test]
fn a_connection_on_loan_to_an_earlier_process_counts_no_longer() {
    let mut pool = pool(&[3, 5]);
    pool.request(request(), 1, at(20));
    let restarted = Entry {
        born: 2,
        ..entry(false)
    };
    pool.set_entries(&[restarted], |_| Span::from_millis(1), at(30));
    assert_eq!(pool.oldest_per_replica().collect::<Vec<_>>(), [at(30)]);
}

/// The same, where one too many is idle.
#[test]
fn the_connection_opened_last_is_closed_first() {
    let mut pool = pool(&[3, 5]);
    assert_eq!(closed(&pool.tick(at(1_000))), [5]);
    assert!(closed(&pool.tick(at(2_000))).is_empty());
}

/// Guards against writes in doubt beside a replica that leaves and alone receives: without a
/// connection from before, a new one would not count during the change of primary.
#[test]
fn one_connection_to_a_leaving_instance_stays() {
    let mut pool = pool(&[3, 5, 4]);
    pool.set_entries(&[entry(true)], |_| Span::from_millis(1), at(20));
    let mut closed = closed(&pool.tick(at(30)));
    closed.sort_unstable();
    assert_eq!(closed, [4, 5]);
}

fn count_opens(actions: &[Action<u64, u32>]) -> usize {
    let open = |a: &&Action<u64, u32>| matches!(a, Action::Open(_));
    actions.iter().filter(open).count()
}

/// Guards against writes in doubt when the store goes away just as traffic begins: the
/// replicas were announced after the primary had proved that it leads, and nobody had a
/// connection to them that counts.
#[test]
fn a_replica_that_is_announced_late_is_connected_to() {
    let mut pool = Conns::new().prefer_oldest(|opened| at(*opened));
    pool.set_shares(9, 9, true);
    pool.set_entries(&[entry(false)], |_| Span::from_millis(1), at(0));
    assert_eq!(count_opens(&pool.open_missing(at(10))), 1);
    assert_eq!(
        count_opens(&pool.open_missing(at(20))),
        0,
        "it is on the way"
    );
    pool.open_completed(&id(), Ok(15), at(30));
    assert_eq!(count_opens(&pool.open_missing(at(40))), 0);
}

/// Guards against connections that nobody uses: to an instance that leaves, or of a proxy that
/// borrows.
#[test]
fn who_does_not_need_a_connection_opens_none() {
    let mut pool = Conns::new().prefer_oldest(|opened| at(*opened));
    pool.set_entries(&[entry(true)], |_| Span::from_millis(1), at(0));
    assert_eq!(count_opens(&pool.open_missing(at(10))), 0);
    pool.set_entries(&[entry(false)], |_| Span::from_millis(1), at(20));
    pool.set_shares(9, 9, false);
    assert_eq!(count_opens(&pool.open_missing(at(30))), 0);
}

/// Guards against writes on an instance that is about to end: the proxy was cut off from the
/// store when the instance said that it leaves, and heard of it three seconds later.
#[test]
fn a_leaving_primary_is_given_writes_as_if_its_leaving_was_heard_at_once() {
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
    let lent = granted(pool.request(write(5_000), 1, at(5_000)));
    assert_eq!(lent, Some(3), "another one may not lead yet");
    pool.release(&id(), lent, None, at(5_050));
    assert_eq!(granted(pool.request(write(5_200), 2, at(5_200))), None);
}
