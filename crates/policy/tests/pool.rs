//! How a pool distributes the few connections of an instance under load and after failures.

use std::collections::BTreeSet;

use model::customer::CustomerPriority;
use model::entry::Entry;
use model::id::InstanceId;
use model::position::Point;
use model::route::Guarantee;
use model::unit::{Span, Time};
use policy::pool::{Action, ConnRequest, Kind, OpenError, Pool, Reason};
use policy::proof::Proof;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use test_case::test_case;

const AGE: Guarantee = Guarantee::Bounded(Span::from_millis(1_500));

fn id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn entry(name: &str) -> Entry {
    Entry {
        id: id(name),
        group: "g".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "dc".parse().unwrap(),
        slots: 3,
        leaving: false,
        claims_primary: name == "p",
        started_at: 1,
    }
}

fn req(kind: Kind, now: u64) -> ConnRequest {
    ConnRequest {
        kind,
        customer: None,
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

/// A pool with a proven primary `p` and replicas `a` and `b`; connections are numbers.
fn pool(connections: u32, proxies: u32) -> Pool<u32, u32> {
    let mut pool = Pool::new();
    pool.set_shares(connections, proxies, true);
    let entries = [entry("p"), entry("a"), entry("b")];
    pool.set_entries(&entries, |_| Span::from_millis(1), at(0));
    let proof = Proof {
        since: at(1_000),
        point: Point::new(1, 7),
    };
    pool.record_proof(&id("p"), proof);
    pool
}

fn opens(actions: &[Action<u32, u32>]) -> Vec<InstanceId> {
    let open = |a: &Action<u32, u32>| match a {
        Action::Open(id, _) => Some(id.clone()),
        _ => None,
    };
    actions.iter().filter_map(open).collect()
}

fn granted(actions: &[Action<u32, u32>]) -> Vec<(u32, InstanceId)> {
    let grant = |a: &Action<u32, u32>| match a {
        Action::Grant(waiter, grant) => Some((*waiter, grant.instance.clone())),
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}

/// Guards against a few proxies taking every connection when all restart with many sessions
/// waiting, while the others reject callers for seconds. Nine proxies that all want as many as
/// possible stay near the 23 connections that an instance accepts.
#[test]
fn restarting_all_proxies_leaves_connections_for_each() {
    let mut opened = 0;
    for _ in 0..9 {
        let mut pool = pool(23, 9);
        for waiter in 0..60 {
            opened += opens(&pool.request(req(Kind::Write, 1_100), waiter, at(1_100))).len();
        }
    }
    assert!((18..=27).contains(&opened), "{opened} connections");
}

/// Guards against retrying a full instance at once, which costs it as much work as a statement.
/// The pool keeps what it has, and tries one more later.
#[test]
fn a_full_instance_is_not_retried_at_once() {
    let mut pool = pool(34, 6);
    for waiter in 0..3 {
        pool.request(req(Kind::Write, 1_100), waiter, at(1_100));
    }
    for _ in 0..3 {
        pool.open_completed(&id("p"), None, Err(OpenError::Full), at(1_110));
    }
    assert!(opens(&pool.tick(at(1_200))).is_empty());
    assert_eq!(opens(&pool.tick(at(1_650))).len(), 1);
}

/// Guards against reads that make writes wait at a busy primary, the only instance that serves
/// them. Reads go to a replica while one is fresh enough.
#[test]
fn reads_prefer_replicas_to_the_primary() {
    let mut pool = pool(34, 6);
    let open = opens(&pool.request(req(Kind::Read(AGE), 1_100), 1, at(1_100)));
    assert!(open == [id("a")] || open == [id("b")], "{open:?}");
}

/// Guards against equal shares when one replica is five times slower than the other: half of
/// the reads would wait for the slow one. Most reads go to the other one.
#[test]
fn a_slow_instance_gets_few_reads() {
    let mut pool = pool(300, 6);
    let (mut slow, mut all) = (0, 0);
    for n in 0..200_u32 {
        let now = at(1_100 + u64::from(n));
        let mut actions = pool.request(req(Kind::Read(AGE), 1_100), n, now);
        for instance in opens(&actions) {
            actions.extend(pool.open_completed(&instance, None, Ok(n), now));
        }
        for (_, instance) in granted(&actions) {
            let took = if instance == id("a") { 150 } else { 30 };
            slow += u32::from(instance == id("a"));
            all += 1;
            pool.release(&instance, Some(n), Some(Span::from_millis(took)), now);
        }
    }
    assert!(all >= 150, "{all} served");
    assert!(slow * 10 < all, "{slow} of {all} went to the slow one");
}

/// Guards against retries by all proxies at a full instance, which refuses them again. After a
/// refusal fewer reads are in flight, and the next read goes to another instance.
#[test]
fn an_overload_reduces_reads_in_flight() {
    let mut pool = pool(300, 6);
    for n in 0..6 {
        for instance in opens(&pool.request(req(Kind::Read(AGE), 1_100), n, at(1_100))) {
            pool.open_completed(&instance, None, Ok(n), at(1_100));
        }
    }
    let in_use = |pool: &Pool<u32, u32>, name| pool.instance(&id(name)).unwrap().checked_out();
    let busy = if in_use(&pool, "a") > 0 { "a" } else { "b" };
    pool.record_overload(&id(busy), at(1_101));
    let before = in_use(&pool, busy);
    pool.request(req(Kind::Read(AGE), 1_101), 9, at(1_101));
    assert_eq!(in_use(&pool, busy), before);
}

/// Guards against reads that go from one lagging replica to another until their attempts are
/// used up, although the primary could serve them.
#[test]
fn reads_fall_back_to_the_primary_while_replicas_lag() {
    let mut pool = pool(300, 6);
    for name in ["a", "b"] {
        pool.record_lack(&id(name), Point::new(1, 7), at(1_090));
    }
    let open = opens(&pool.request(req(Kind::Read(AGE), 1_100), 1, at(1_100)));
    assert_eq!(open, [id("p")]);
    let later = opens(&pool.request(req(Kind::Read(AGE), 1_300), 2, at(1_300)));
    assert_ne!(later, [id("p")], "a replica is tried again after a while");
}

/// Guards against a change of primary that waits for a replica whose connections are all in
/// use: the coordinator's query precedes all waiting requests.
#[test]
fn coordinator_queries_precede_waiting_requests() {
    let mut pool = pool(2, 1);
    for n in 0..5 {
        for instance in opens(&pool.request(req(Kind::Write, 1_100), n, at(1_100))) {
            pool.open_completed(&instance, None, Ok(n), at(1_100));
        }
    }
    pool.request(req(Kind::Control(id("p")), 1_101), 77, at(1_101));
    let actions = pool.release(&id("p"), Some(0), None, at(1_102));
    assert_eq!(granted(&actions), [(77, id("p"))]);
}

/// While no primary is known, a write waits until its deadline and is then rejected with a
/// retry hint; it has not run.
#[test]
fn a_write_without_a_primary_is_rejected_at_its_deadline() {
    let mut pool = pool(34, 6);
    pool.clear_primary(&id("p"));
    assert!(
        pool.request(req(Kind::Write, 1_100), 1, at(1_100))
            .is_empty()
    );
    assert_eq!(pool.next_tick(), Some(at(1_900)));
    let actions = pool.tick(at(1_900));
    let [Action::Reject(1, rejection)] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(rejection.reason, Reason::NoPrimary);
    assert!(rejection.retry_after >= Span::from_millis(500));
}

/// Guards against callers that wait until their deadlines when the primary has been lost for
/// longer than a change takes. They are rejected at once; reads from replicas continue.
#[test]
fn writes_are_rejected_at_once_after_a_long_primary_loss() {
    let mut pool = pool(34, 6);
    pool.clear_primary(&id("p"));
    assert!(
        pool.request(req(Kind::Write, 1_100), 1, at(1_100))
            .is_empty()
    );
    pool.tick(at(1_900));
    let actions = pool.request(req(Kind::Write, 3_700), 2, at(3_700));
    assert!(matches!(actions[..], [Action::Reject(2, _)]), "{actions:?}");
    let old = Guarantee::Bounded(Span::from_millis(5_000));
    let read = pool.request(req(Kind::Read(old), 3_700), 3, at(3_700));
    assert_eq!(opens(&read).len(), 1);
}

/// Guards against granting connections to an earlier process of an instance that restarted
/// under its id; they would never respond.
#[test]
fn connections_to_an_earlier_process_are_closed() {
    let mut pool = pool(34, 6);
    pool.request(req(Kind::Write, 1_100), 1, at(1_100));
    pool.open_completed(&id("p"), None, Ok(1), at(1_101));
    pool.release(&id("p"), Some(1), None, at(1_102));
    let mut restarted = entry("p");
    restarted.started_at = 2;
    let entries = [restarted, entry("a"), entry("b")];
    let actions = pool.set_entries(&entries, |_| Span::from_millis(1), at(1_103));
    assert!(matches!(actions[..], [Action::Close(1)]), "{actions:?}");
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Request(bool),
    Open(bool),
    Return(bool),
    Wait(u64),
    Overloaded,
    Removed,
    Restored,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => any::<bool>().prop_map(Event::Request),
        5 => prop::bool::weighted(0.8).prop_map(Event::Open),
        5 => prop::bool::weighted(0.9).prop_map(Event::Return),
        3 => (1..600_u64).prop_map(Event::Wait),
        1 => Just(Event::Overloaded),
        1 => Just(Event::Removed),
        1 => Just(Event::Restored),
    ]
}

/// Expected state of each request and each connection.
#[derive(Default)]
struct Oracle {
    waiting: BTreeSet<u32>,
    opening: Vec<InstanceId>,
    checked_out: Vec<(InstanceId, u32)>,
    closed: BTreeSet<u32>,
}

impl Oracle {
    fn take(&mut self, actions: Vec<Action<u32, u32>>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Grant(waiter, grant) => {
                    prop_assert!(self.waiting.remove(&waiter), "{waiter} got two replies");
                    prop_assert!(!self.closed.contains(&grant.conn));
                    let twice = self.checked_out.iter().any(|(_, conn)| *conn == grant.conn);
                    prop_assert!(!twice, "connection {} was checked out twice", grant.conn);
                    self.checked_out.push((grant.instance, grant.conn));
                }
                Action::Reject(waiter, rejection) => {
                    prop_assert!(self.waiting.remove(&waiter), "{waiter} got two replies");
                    prop_assert!(rejection.retry_after > Span::default());
                }
                Action::Open(id, _) => self.opening.push(id),
                Action::Close(conn) => {
                    let in_use = self.checked_out.iter().any(|(_, c)| *c == conn);
                    prop_assert!(!in_use, "connection {conn} was closed in use");
                    self.closed.insert(conn);
                }
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(Config {
        cases: std::env::var("POMELO_FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(1_000),
        rng_seed: RngSeed::Fixed(29),
        failure_persistence: None,
        ..Config::default()
    })]

    /// No connection is checked out twice or after it was closed, each request gets exactly one
    /// response, and none waits beyond its deadline.
    #[test]
    fn each_request_and_connection_has_exactly_one_state(
        connections in 1..30_u32,
        proxies in 1..12_u32,
        events in prop::collection::vec(event(), 1..150),
    ) {
        let mut pool = pool(connections, proxies);
        let mut oracle = Oracle::default();
        let (mut now, mut next) = (1_100_u64, 0_u32);
        for event in events {
            next += 1;
            let actions = match event {
                Event::Request(write) => {
                    oracle.waiting.insert(next);
                    let kind = if write { Kind::Write } else { Kind::Read(AGE) };
                    pool.request(req(kind, now), next, at(now))
                }
                Event::Open(ok) => match oracle.opening.pop() {
                    Some(id) => {
                        let result = if ok { Ok(next) } else { Err(OpenError::Full) };
                        pool.open_completed(&id, None, result, at(now))
                    }
                    None => Vec::new(),
                },
                Event::Return(ok) => match oracle.checked_out.pop() {
                    Some((id, conn)) => {
                        let took = Some(Span::from_millis(u64::from(conn % 50)));
                        pool.release(&id, ok.then_some(conn), took, at(now))
                    }
                    None => Vec::new(),
                },
                Event::Wait(ms) => {
                    now += ms;
                    pool.tick(at(now))
                }
                Event::Overloaded => {
                    pool.record_overload(&id("a"), at(now));
                    Vec::new()
                }
                Event::Removed => pool.set_entries(&[entry("p"), entry("a")], |_| Span::from_millis(1), at(now)),
                Event::Restored => {
                    let entries = [entry("p"), entry("a"), entry("b")];
                    pool.set_entries(&entries, |_| Span::from_millis(1), at(now))
                }
            };
            oracle.take(actions)?;
            prop_assert_eq!(pool.waiting(), oracle.waiting.len());
        }
        let actions = pool.tick(at(now + 800));
        oracle.take(actions)?;
        prop_assert!(oracle.waiting.is_empty(), "{:?} still wait", oracle.waiting);
    }
}

/// A pool whose primary's log grew by a write per 100 ms until `end`, with a read of age 1,500 ms.
fn pool_with_history(end: u64) -> Pool<u32, u32> {
    let mut pool = pool(34, 6);
    for n in 0..=end / 100 {
        let proof = Proof {
            since: at(n * 100),
            point: Point::new(1, n),
        };
        pool.record_proof(&id("p"), proof);
    }
    pool.request(req(Kind::Read(AGE), end), 1, at(end));
    pool
}

/// A replica refuses a read because its log is too short, and shows where its log ends.
fn report_lag(pool: &mut Pool<u32, u32>, name: &str, log_end: u64, now: u64) {
    pool.record_lack(&id(name), Point::new(1, now / 100), at(now));
    pool.record_log_end(&id(name), Point::new(1, log_end));
}

/// Guards against unreported lag: replicas apply the log many seconds late, even long after the
/// cause is gone, since they apply in order, and the primary with a third of the slots serves
/// all reads.
#[test]
fn lagging_replicas_are_reported() {
    let mut pool = pool_with_history(5_000);
    report_lag(&mut pool, "a", 20, 5_000);
    report_lag(&mut pool, "b", 30, 5_000);
    pool.tick(at(5_010));
    pool.tick(at(5_310));
    assert_eq!(pool.lagging_for(at(5_310)), Some(Span::from_millis(300)));
}

/// One replica lags; the other holds what reads of that age need, although it refused one that
/// needed a newer write of its own session.
#[test]
fn one_fresh_replica_is_enough() {
    let mut pool = pool_with_history(5_000);
    report_lag(&mut pool, "a", 20, 5_000);
    report_lag(&mut pool, "b", 45, 5_000);
    pool.tick(at(5_010));
    assert_eq!(pool.lagging_for(at(5_010)), None);
}

/// A proxy that has just learned of a group does not know its log of two seconds ago, and must
/// not report replicas as lagging that lack only the latest writes.
#[test]
fn a_pool_without_history_reports_no_lag() {
    let mut pool = pool(34, 6);
    let proof = Proof {
        since: at(5_000),
        point: Point::new(1, 50),
    };
    pool.record_proof(&id("p"), proof);
    pool.request(req(Kind::Read(AGE), 5_010), 1, at(5_010));
    report_lag(&mut pool, "a", 49, 5_020);
    report_lag(&mut pool, "b", 49, 5_020);
    pool.tick(at(5_030));
    assert_eq!(pool.lagging_for(at(5_030)), None);
}

/// Refusals of half a second ago without a later read do not show that replicas lag.
#[test]
fn an_old_refusal_is_not_reported_as_lag() {
    let mut pool = pool_with_history(5_000);
    report_lag(&mut pool, "a", 20, 4_400);
    report_lag(&mut pool, "b", 30, 4_400);
    pool.tick(at(5_010));
    assert_eq!(pool.lagging_for(at(5_010)), None);
}

fn rejected(actions: &[Action<u32, u32>]) -> Vec<(u32, Reason)> {
    let refuse = |a: &Action<u32, u32>| match a {
        Action::Reject(waiter, rejection) => Some((*waiter, rejection.reason)),
        _ => None,
    };
    actions.iter().filter_map(refuse).collect()
}

/// Guards against callers that wait three seconds at a proxy without a connection while another
/// has three: after a power failure, instances still hold the earlier ones. Requests that need
/// the primary are rejected at once, to try another proxy.
#[test]
fn a_primary_without_a_free_connection_is_unreachable() {
    let mut pool = pool(34, 6);
    pool.request(req(Kind::Write, 1_100), 1, at(1_100));
    pool.open_completed(&id("p"), None, Err(OpenError::Full), at(1_110));
    let actions = pool.request(req(Kind::Write, 1_120), 2, at(1_120));
    assert_eq!(rejected(&actions), [(2, Reason::Unreachable)]);
    // A request that found no other proxy waits here, and so does one that arrived earlier.
    let mut retried = req(Kind::Write, 1_120);
    retried.may_wait = true;
    assert!(rejected(&pool.request(retried, 3, at(1_120))).is_empty());
    // Another proxy was found: both are rejected, to go there.
    let all = rejected(&pool.reject_unreachable(at(1_130)));
    assert_eq!(all, [(1, Reason::Unreachable), (3, Reason::Unreachable)]);
}

/// A lost primary is usually unreachable from every proxy; a change takes a second, and queries
/// to all would not shorten it. Only later may another proxy be tried.
#[test]
fn a_lost_primary_is_unreachable_after_a_while() {
    let mut pool = pool(34, 6);
    pool.clear_primary(&id("p"));
    pool.tick(at(2_000));
    let early = pool.request(req(Kind::Write, 2_100), 1, at(2_100));
    assert!(rejected(&early).is_empty());
    let later = pool.request(req(Kind::Write, 2_400), 2, at(2_400));
    assert_eq!(rejected(&later), [(2, Reason::Unreachable)]);
}

/// A partition separates this proxy from the two instances that hold what a read needs, and
/// leaves it one that no longer receives the log.
#[test]
fn reads_are_unreachable_if_only_a_lagging_instance_is_left() {
    let mut pool = pool(34, 6);
    pool.request(req(Kind::Read(AGE), 1_100), 1, at(1_100));
    for name in ["p", "a"] {
        pool.open_completed(&id(name), None, Err(OpenError::Unreachable), at(1_110));
    }
    pool.open_completed(&id("b"), None, Ok(1), at(1_110));
    pool.record_lack(&id("b"), Point::new(1, 7), at(1_120));
    let actions = pool.request(req(Kind::Read(AGE), 1_130), 2, at(1_130));
    assert_eq!(rejected(&actions), [(2, Reason::Unreachable)]);
    // Once it shows that it holds the point, it serves the read.
    pool.record_log_end(&id("b"), Point::new(1, 7));
    let actions = pool.request(req(Kind::Read(AGE), 1_140), 3, at(1_140));
    assert!(rejected(&actions).is_empty());
}

/// Guards against too few free connections after a power failure of all VMs, while instances
/// keep the earlier ones for three seconds. Idle ones leave 8 free per slot if enough exist.
#[test_case(41, 6, 2; "few for many proxies")]
#[test_case(23, 9, 1; "one for each proxy at least")]
#[test_case(274, 91, 2; "plenty")]
fn idle_connections_leave_some_free_for_a_restart(connections: u32, proxies: u32, retained: usize) {
    let mut pool = pool(connections, proxies);
    for n in 0..6 {
        pool.request(req(Kind::Write, 1_100), n, at(1_100));
        pool.open_completed(&id("p"), None, Ok(n), at(1_100));
    }
    for n in 0..6 {
        pool.release(&id("p"), Some(n), None, at(1_200));
    }
    for tick in 0..10 {
        pool.tick(at(1_700 + tick * 50));
    }
    let left = pool.instance(&id("p")).map(policy::pool::Instance::count);
    assert_eq!(left, Some(retained as u32));
}
