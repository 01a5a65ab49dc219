//! Connections that serve one customer each.

use model::customer::CustomerPriority;
use model::entry::Entry;
use model::id::{CustomerId, InstanceId};
use model::position::Point;
use model::unit::{Span, Time};
use policy::pool::{Action, ConnRequest, Kind, OpenError, Pool};
use policy::proof::Proof;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// A connection: when it was opened, and for whom.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Conn {
    opened: Time,
    owner: Option<CustomerId>,
}

type TestPool = Pool<Conn, u32>;
type TestAction = Action<Conn, u32>;

fn instance() -> InstanceId {
    "p".parse().unwrap()
}

fn customer(n: usize) -> Option<CustomerId> {
    Some(format!("c{n}").parse().unwrap())
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// A pool with one instance, the primary, that may hold `connections`.
fn pool(connections: u32) -> TestPool {
    let mut pool = Pool::new()
        .prefer_oldest(|c: &Conn| c.opened)
        .separate_owners(|c| c.owner.as_ref());
    pool.set_shares(connections, 1, true);
    let entry = Entry {
        id: instance(),
        group: "g".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        slots: 1,
        leaving: false,
        claims_primary: true,
        started_at: 1,
    };
    pool.set_entries(&[entry], |_| Span::from_millis(1), at(0));
    let proof = Proof {
        since: at(0),
        point: Point::new(1, 1),
    };
    pool.record_proof(&instance(), proof);
    pool
}

fn request(customer: Option<CustomerId>, now: u64) -> ConnRequest {
    ConnRequest {
        kind: Kind::Write,
        customer,
        customer_priority: CustomerPriority::default(),
        own_write: None,
        arrived: at(now),
        objective: Span::from_millis(60_000),
        deadline: at(now + 800),
        priority: 1,
        avoid: None,
        may_wait: false,
    }
}

/// Owners of the connections to open.
fn opens(actions: &[TestAction]) -> Vec<Option<CustomerId>> {
    let open = |a: &TestAction| match a {
        Action::Open(_, owner) => Some(owner.clone()),
        _ => None,
    };
    actions.iter().filter_map(open).collect()
}

fn closed(actions: &[TestAction]) -> usize {
    let closes = actions.iter().filter(|a| matches!(a, Action::Close(_)));
    closes.count()
}

fn conn(owner: Option<CustomerId>, opened: u64) -> Conn {
    Conn {
        opened: at(opened),
        owner,
    }
}

/// Opens a connection for a customer by a request; returns it, checked out.
fn check_out(pool: &mut TestPool, n: usize, now: u64) -> Conn {
    let actions = pool.request(request(customer(n), now), 0, at(now));
    assert_eq!(opens(&actions), [customer(n)]);
    let opened = pool.open_completed(
        &instance(),
        customer(n).as_ref(),
        Ok(conn(customer(n), now)),
        at(now),
    );
    match opened.into_iter().next() {
        Some(Action::Grant(_, grant)) => grant.conn,
        other => panic!("no connection was granted: {other:?}"),
    }
}

/// Instances judge a statement by the customer whose name opened the connection: with another
/// customer's connection, it would run under the wrong name.
#[test]
fn an_idle_connection_of_another_customer_is_not_used() {
    let mut pool = pool(4);
    let first = check_out(&mut pool, 1, 0);
    pool.release(&instance(), Some(first), None, at(10));
    let actions = pool.request(request(customer(2), 20), 1, at(20));
    assert_eq!(opens(&actions), [customer(2)]);
}

/// With all connections held by idle customers, another customer would never be served.
#[test]
fn an_idle_connection_makes_room_for_another_customer() {
    let mut pool = pool(2);
    let conns = [check_out(&mut pool, 1, 0), check_out(&mut pool, 2, 1)];
    for conn in conns {
        pool.release(&instance(), Some(conn), None, at(10));
    }
    let actions = pool.request(request(customer(3), 20), 1, at(20));
    assert_eq!((closed(&actions), opens(&actions)), (1, vec![customer(3)]));
}

/// Guards against closing a connection for a customer that may open none, because the instance
/// has just refused one: the proxy would lose its connections one by one.
#[test]
fn no_connection_makes_room_while_the_instance_is_full() {
    let mut pool = pool(3);
    let conns = [check_out(&mut pool, 1, 0), check_out(&mut pool, 2, 1)];
    for conn in conns {
        pool.release(&instance(), Some(conn), None, at(10));
    }
    pool.request(request(customer(3), 20), 1, at(20));
    let refused = Err(OpenError::Full);
    let actions = pool.open_completed(&instance(), customer(3).as_ref(), refused, at(30));
    assert_eq!((closed(&actions), opens(&actions)), (0, Vec::new()));
}

/// The connection opened first is eligible to prove writes, which a new one is not.
#[test]
fn the_oldest_connection_does_not_make_room() {
    let mut pool = pool(2);
    let conns = [check_out(&mut pool, 1, 0), check_out(&mut pool, 2, 1)];
    for conn in conns {
        pool.release(&instance(), Some(conn), None, at(10));
    }
    pool.request(request(customer(3), 20), 1, at(20));
    assert_eq!(pool.oldest_per_replica().count(), 0);
    let actions = pool.request(request(customer(1), 30), 2, at(30));
    assert!(matches!(&actions[..], [Action::Grant(2, grant)] if grant.conn.opened == at(0)));
}

/// Serves one request of a customer that has an idle connection.
fn serve(pool: &mut TestPool, n: usize, now: u64) {
    let actions = pool.request(request(customer(n), now), 0, at(now));
    let Some(Action::Grant(_, grant)) = actions.into_iter().next() else {
        panic!("customer {n} has no idle connection");
    };
    pool.release(&instance(), Some(grant.conn), None, at(now + 1));
}

fn closed_owners(actions: &[TestAction]) -> Vec<Option<CustomerId>> {
    let owner = |a: &TestAction| match a {
        Action::Close(conn) => Some(conn.owner.clone()),
        _ => None,
    };
    actions.iter().filter_map(owner).collect()
}

/// Many customers send a request now and then. If each took the place of the connection that
/// is idle longest, it would often be that of a customer whose next request comes sooner.
#[test]
fn a_frequent_customer_keeps_its_connection() {
    let mut pool = pool(3);
    let conns = [0, 1, 2].map(|n| check_out(&mut pool, n, n as u64));
    for conn in conns {
        pool.release(&instance(), Some(conn), None, at(10));
    }
    for now in (20..100).step_by(10) {
        serve(&mut pool, 1, now);
    }
    serve(&mut pool, 2, 110);
    let actions = pool.request(request(customer(3), 120), 1, at(120));
    assert_eq!(closed_owners(&actions), [customer(2)]);
}

/// After a burst, the spare connections are closed one by one: a second one of a customer
/// before the only one of a customer with more than half of its requests.
#[test]
fn a_second_connection_is_needed_half_as_much() {
    let mut pool = pool(6);
    let conns = [(0, 0), (1, 1), (1, 2), (2, 3), (2, 4), (3, 5)];
    let conns = conns.map(|(n, now)| check_out(&mut pool, n, now));
    for conn in conns {
        pool.release(&instance(), Some(conn), None, at(10));
    }
    for now in (20..50).step_by(10) {
        serve(&mut pool, 1, now);
        serve(&mut pool, 3, now);
    }
    // Of 6 connections to an instance with one slot, two are kept: the oldest, and one more.
    let closed: Vec<_> = (0..6)
        .flat_map(|n| closed_owners(&pool.tick(at(1_000 + n))))
        .collect();
    assert_eq!(closed, [2, 2, 1, 3].map(customer));
}

#[derive(Clone, Debug)]
enum Step {
    Request(usize),
    Opened(bool),
    Returned(bool),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_usize).prop_map(Step::Request),
        3 => prop::bool::weighted(0.9).prop_map(Step::Opened),
        3 => prop::bool::weighted(0.9).prop_map(Step::Returned),
        1 => (1..900_u64).prop_map(Step::Wait),
    ]
}

fn cases() -> u32 {
    let text = std::env::var("POMELO_FUZZ_CASES").ok();
    text.map_or(300, |text| text.parse().unwrap())
}

proptest! {
    #![proptest_config(Config { cases: cases(), rng_seed: RngSeed::Fixed(31), failure_persistence: None, ..Config::default() })]

    /// Whatever customers request, and however connections are opened, returned and broken, a
    /// connection serves only the customer for which it was opened, and the instance's limit
    /// holds.
    #[test]
    fn a_connection_serves_one_customer(steps in prop::collection::vec(step(), 1..120)) {
        let mut pool = pool(3);
        let (mut now, mut waiters) = (0, Vec::new());
        let mut opening: Vec<Option<CustomerId>> = Vec::new();
        let mut out = Vec::new();
        for step in steps {
            let actions = match step {
                Step::Request(n) => {
                    waiters.push(n);
                    let waiter = u32::try_from(waiters.len() - 1).unwrap();
                    pool.request(request(customer(n), now), waiter, at(now))
                }
                Step::Opened(succeeds) => {
                    let Some(owner) = opening.pop() else { continue };
                    let result = match succeeds {
                        true => Ok(conn(owner.clone(), now)),
                        false => Err(OpenError::Full),
                    };
                    pool.open_completed(&instance(), owner.as_ref(), result, at(now))
                }
                Step::Returned(usable) => {
                    let Some(conn) = out.pop() else { continue };
                    pool.release(&instance(), Some(conn).filter(|_| usable), None, at(now))
                }
                Step::Wait(ms) => {
                    now += ms;
                    pool.tick(at(now))
                }
            };
            for action in actions {
                match action {
                    Action::Open(_, owner) => opening.push(owner),
                    Action::Grant(waiter, grant) => {
                        prop_assert_eq!(&grant.conn.owner, &customer(waiters[waiter as usize]));
                        out.push(grant.conn);
                    }
                    Action::Reject(..) | Action::Close(_) => {}
                }
            }
            let count = pool.instance(&instance()).map_or(0, policy::pool::Instance::count);
            prop_assert!(count <= 3, "{} connections", count);
        }
    }
}
