//! Who gets which of the few connections, under the loads that make it matter.

use std::collections::BTreeSet;

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
        born: 1,
    }
}

fn request(kind: Kind, now: u64) -> ConnRequest {
    ConnRequest {
        kind,
        own_write: None,
        arrived: at(now),
        deadline: at(now + 800),
        priority: 1,
        avoid: None,
        may_wait: false,
    }
}

/// A pool with a proven primary `p` and replicas `a`, `b`; connections are numbers.
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
        Action::Open(id) => Some(id.clone()),
        _ => None,
    };
    actions.iter().filter_map(open).collect()
}

fn granted(actions: &[Action<u32, u32>]) -> Vec<(u32, InstanceId)> {
    let grant = |a: &Action<u32, u32>| match a {
        Action::Grant(who, grant) => Some((*who, grant.instance.clone())),
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}

/// Load: all proxies start again after a loss of power, each with many sessions waiting.
/// Harm: the first ones took every connection of an instance, and the others refused
/// their callers for seconds. Nine proxies that all want as much as possible stay near
/// the 23 connections that an instance accepts.
#[test]
fn a_restart_of_all_leaves_connections_for_each() {
    let mut opened = 0;
    for _ in 0..9 {
        let mut pool = pool(23, 9);
        for who in 0..60 {
            opened += opens(&pool.request(request(Kind::Write, 1_100), who, at(1_100))).len();
        }
    }
    assert!((18..=27).contains(&opened), "{opened} connections");
}

/// Load: an instance says that it is full. Harm: asking again at once costs it as much
/// work as a statement. The pool stays with what it has, and tries one more later.
#[test]
fn a_full_instance_is_not_asked_again_at_once() {
    let mut pool = pool(34, 6);
    for who in 0..3 {
        pool.request(request(Kind::Write, 1_100), who, at(1_100));
    }
    for _ in 0..3 {
        pool.open_completed(&id("p"), Err(OpenError::Full), at(1_110));
    }
    assert!(opens(&pool.tick(at(1_200))).is_empty());
    assert_eq!(opens(&pool.tick(at(1_650))).len(), 1);
}

/// Load: writes fill the primary. Harm: reads that go there too make writes wait, which
/// only the primary can serve. Reads go to a replica while one is fresh enough.
#[test]
fn reads_leave_the_primary_to_writes() {
    let mut pool = pool(34, 6);
    let open = opens(&pool.request(request(Kind::Read(AGE), 1_100), 1, at(1_100)));
    assert!(open == [id("a")] || open == [id("b")], "{open:?}");
}

/// Load: one replica is five times slower than the other. Harm: with equal shares half of
/// the reads wait for the slow one. Most of them go to the other one.
#[test]
fn a_slow_instance_gets_little() {
    let mut pool = pool(300, 6);
    let (mut slow, mut all) = (0, 0);
    for n in 0..200_u32 {
        let now = at(1_100 + u64::from(n));
        let mut actions = pool.request(request(Kind::Read(AGE), 1_100), n, now);
        for instance in opens(&actions) {
            actions.extend(pool.open_completed(&instance, Ok(n), now));
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

/// Load: every proxy pushes at an instance whose queue is full. Harm: each statement that
/// it refuses comes back at once and is refused again. After a refusal fewer are in
/// flight, and the next read goes elsewhere.
#[test]
fn a_refusal_lowers_what_is_in_flight() {
    let mut pool = pool(300, 6);
    for n in 0..6 {
        for instance in opens(&pool.request(request(Kind::Read(AGE), 1_100), n, at(1_100))) {
            pool.open_completed(&instance, Ok(n), at(1_100));
        }
    }
    let lent = |pool: &Pool<u32, u32>, name| pool.instance(&id(name)).unwrap().checked_out();
    let full = if lent(&pool, "a") > 0 { "a" } else { "b" };
    pool.record_overload(&id(full), at(1_101));
    let before = lent(&pool, full);
    pool.request(request(Kind::Read(AGE), 1_101), 9, at(1_101));
    assert_eq!(lent(&pool, full), before);
}

/// Load: both replicas lag for seconds. Harm: reads went from one to the other until their
/// tries were used up, and were refused although the primary had what they asked for.
#[test]
fn a_read_that_lagging_replicas_cannot_serve_goes_to_the_primary() {
    let mut pool = pool(300, 6);
    for name in ["a", "b"] {
        pool.record_lack(&id(name), Point::new(1, 7), at(1_090));
    }
    let open = opens(&pool.request(request(Kind::Read(AGE), 1_100), 1, at(1_100)));
    assert_eq!(open, [id("p")]);
    let later = opens(&pool.request(request(Kind::Read(AGE), 1_300), 2, at(1_300)));
    assert_ne!(later, [id("p")], "a replica is tried again after a while");
}

/// A change of primary waits for a replica whose connections are all in use by callers.
/// The coordinator's question goes before everything that waits.
#[test]
fn the_coordinator_goes_first() {
    let mut pool = pool(2, 1);
    for n in 0..5 {
        for instance in opens(&pool.request(request(Kind::Write, 1_100), n, at(1_100))) {
            pool.open_completed(&instance, Ok(n), at(1_100));
        }
    }
    pool.request(request(Kind::Control(id("p")), 1_101), 77, at(1_101));
    let actions = pool.release(&id("p"), Some(0), None, at(1_102));
    assert_eq!(granted(&actions), [(77, id("p"))]);
}

/// While no primary is known, a write waits until its time is up and is then refused with
/// a hint; it has certainly not run.
#[test]
fn a_write_without_a_primary_is_refused_in_time() {
    let mut pool = pool(34, 6);
    pool.clear_primary(&id("p"));
    assert!(
        pool.request(request(Kind::Write, 1_100), 1, at(1_100))
            .is_empty()
    );
    assert_eq!(pool.next_tick(), Some(at(1_900)));
    let actions = pool.tick(at(1_900));
    let [Action::Reject(1, refused)] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(refused.reason, Reason::NoPrimary);
    assert!(refused.retry_after >= Span::from_millis(500));
}

/// A group has had no primary for longer than a change of primary takes. Callers who wait
/// for one would learn only after their whole time that they must come back, so they are
/// told at once; reads that replicas can serve go on.
#[test]
fn without_a_primary_for_long_writes_are_refused_at_once() {
    let mut pool = pool(34, 6);
    pool.clear_primary(&id("p"));
    assert!(
        pool.request(request(Kind::Write, 1_100), 1, at(1_100))
            .is_empty()
    );
    pool.tick(at(1_900));
    let actions = pool.request(request(Kind::Write, 3_700), 2, at(3_700));
    assert!(matches!(actions[..], [Action::Reject(2, _)]), "{actions:?}");
    let old = Guarantee::Bounded(Span::from_millis(5_000));
    let read = pool.request(request(Kind::Read(old), 3_700), 3, at(3_700));
    assert_eq!(opens(&read).len(), 1);
}

/// An instance restarts under its id. Connections to the process before it would answer
/// nothing, so none of them is lent again.
#[test]
fn connections_to_an_earlier_process_are_closed() {
    let mut pool = pool(34, 6);
    pool.request(request(Kind::Write, 1_100), 1, at(1_100));
    pool.open_completed(&id("p"), Ok(1), at(1_101));
    pool.release(&id("p"), Some(1), None, at(1_102));
    let mut restarted = entry("p");
    restarted.born = 2;
    let entries = [restarted, entry("a"), entry("b")];
    let actions = pool.set_entries(&entries, |_| Span::from_millis(1), at(1_103));
    assert!(matches!(actions[..], [Action::Close(1)]), "{actions:?}");
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Request(bool),
    Open(bool),
    Return(bool),
    Pass(u64),
    Refused,
    Gone,
    Back,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => any::<bool>().prop_map(Event::Request),
        5 => prop::bool::weighted(0.8).prop_map(Event::Open),
        5 => prop::bool::weighted(0.9).prop_map(Event::Return),
        3 => (1..600_u64).prop_map(Event::Pass),
        1 => Just(Event::Refused),
        1 => Just(Event::Gone),
        1 => Just(Event::Back),
    ]
}

/// What the random walk knows: each request and each connection is in one place.
#[derive(Default)]
struct Oracle {
    waiting: BTreeSet<u32>,
    opening: Vec<InstanceId>,
    lent: Vec<(InstanceId, u32)>,
    closed: BTreeSet<u32>,
}

impl Oracle {
    fn take(&mut self, actions: Vec<Action<u32, u32>>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Grant(who, grant) => {
                    prop_assert!(self.waiting.remove(&who), "{who} was answered twice");
                    prop_assert!(!self.closed.contains(&grant.conn));
                    let twice = self.lent.iter().any(|(_, conn)| *conn == grant.conn);
                    prop_assert!(!twice, "connection {} was lent twice", grant.conn);
                    self.lent.push((grant.instance, grant.conn));
                }
                Action::Reject(who, refused) => {
                    prop_assert!(self.waiting.remove(&who), "{who} was answered twice");
                    prop_assert!(refused.retry_after > Span::default());
                }
                Action::Open(id) => self.opening.push(id),
                Action::Close(conn) => {
                    let lent = self.lent.iter().any(|(_, c)| *c == conn);
                    prop_assert!(!lent, "connection {conn} was closed while lent");
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

    /// No connection is lent twice or lent after it was closed, each request has one
    /// answer, and none waits beyond its time.
    #[test]
    fn each_request_and_each_connection_is_in_one_place(
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
                    pool.request(request(kind, now), next, at(now))
                }
                Event::Open(ok) => match oracle.opening.pop() {
                    Some(id) => {
                        let result = if ok { Ok(next) } else { Err(OpenError::Full) };
                        pool.open_completed(&id, result, at(now))
                    }
                    None => Vec::new(),
                },
                Event::Return(ok) => match oracle.lent.pop() {
                    Some((id, conn)) => {
                        let took = Some(Span::from_millis(u64::from(conn % 50)));
                        pool.release(&id, ok.then_some(conn), took, at(now))
                    }
                    None => Vec::new(),
                },
                Event::Pass(ms) => {
                    now += ms;
                    pool.tick(at(now))
                }
                Event::Refused => {
                    pool.record_overload(&id("a"), at(now));
                    Vec::new()
                }
                Event::Gone => pool.set_entries(&[entry("p"), entry("a")], |_| Span::from_millis(1), at(now)),
                Event::Back => {
                    let entries = [entry("p"), entry("a"), entry("b")];
                    pool.set_entries(&entries, |_| Span::from_millis(1), at(now))
                }
            };
            oracle.take(actions)?;
            prop_assert_eq!(pool.waiting(), oracle.waiting.len());
        }
        let actions = pool.tick(at(now + 800));
        oracle.take(actions)?;
        prop_assert!(oracle.waiting.is_empty(), "{:?} wait", oracle.waiting);
    }
}

/// A pool whose primary's log grew by one write every 100 ms until `end`, before reads
/// that accept an age of 1,500 ms.
fn pool_with_history(end: u64) -> Pool<u32, u32> {
    let mut pool = pool(34, 6);
    for n in 0..=end / 100 {
        let proof = Proof {
            since: at(n * 100),
            point: Point::new(1, n),
        };
        pool.record_proof(&id("p"), proof);
    }
    pool.request(request(Kind::Read(AGE), end), 1, at(end));
    pool
}

/// A replica refuses a read for which its log is too short, and shows where its log ends.
fn lags(pool: &mut Pool<u32, u32>, name: &str, shown: u64, now: u64) {
    pool.record_lack(&id(name), Point::new(1, now / 100), at(now));
    pool.record_log_end(&id(name), Point::new(1, shown));
}

/// Load: both replicas apply the log many seconds late, and go on doing so long after the
/// cause is gone, since they apply in order. Harm: all reads go to the primary, which has a
/// third of the slots. The pool tells that no replica holds what reads need.
#[test]
fn lagging_replicas_are_told_of() {
    let mut pool = pool_with_history(5_000);
    lags(&mut pool, "a", 20, 5_000);
    lags(&mut pool, "b", 30, 5_000);
    pool.tick(at(5_010));
    pool.tick(at(5_310));
    assert_eq!(pool.lagging_for(at(5_310)), Some(Span::from_millis(300)));
}

/// One replica lags, and the other holds what reads of that age need although it refused
/// one that had to see a newer write of its own.
#[test]
fn one_replica_that_is_fresh_enough_is_no_lag() {
    let mut pool = pool_with_history(5_000);
    lags(&mut pool, "a", 20, 5_000);
    lags(&mut pool, "b", 45, 5_000);
    pool.tick(at(5_010));
    assert_eq!(pool.lagging_for(at(5_010)), None);
}

/// A proxy that has just begun to look at a group knows nothing of the log of two seconds
/// ago, and must not take replicas for lagging that lack what was written just now.
#[test]
fn a_pool_without_history_tells_of_no_lag() {
    let mut pool = pool(34, 6);
    let proof = Proof {
        since: at(5_000),
        point: Point::new(1, 50),
    };
    pool.record_proof(&id("p"), proof);
    pool.request(request(Kind::Read(AGE), 5_010), 1, at(5_010));
    lags(&mut pool, "a", 49, 5_020);
    lags(&mut pool, "b", 49, 5_020);
    pool.tick(at(5_030));
    assert_eq!(pool.lagging_for(at(5_030)), None);
}

/// Replicas that were refused half a second ago and not asked since are not judged.
#[test]
fn an_old_refusal_is_no_lag() {
    let mut pool = pool_with_history(5_000);
    lags(&mut pool, "a", 20, 4_400);
    lags(&mut pool, "b", 30, 4_400);
    pool.tick(at(5_010));
    assert_eq!(pool.lagging_for(at(5_010)), None);
}

fn rejected(actions: &[Action<u32, u32>]) -> Vec<(u32, Reason)> {
    let refuse = |a: &Action<u32, u32>| match a {
        Action::Reject(who, refused) => Some((*who, refused.reason)),
        _ => None,
    };
    actions.iter().filter_map(refuse).collect()
}

/// Load: all VMs are back after a loss of power, and instances still hold the connections of
/// before. Harm: a proxy that got none let its callers wait for three seconds, while another
/// one beside it had three. Who needs the primary is told at once to try another proxy.
#[test]
fn a_primary_without_a_free_connection_is_out_of_reach() {
    let mut pool = pool(34, 6);
    pool.request(request(Kind::Write, 1_100), 1, at(1_100));
    pool.open_completed(&id("p"), Err(OpenError::Full), at(1_110));
    let actions = pool.request(request(Kind::Write, 1_120), 2, at(1_120));
    assert_eq!(rejected(&actions), [(2, Reason::Unreachable)]);
    // Who tried other proxies in vain waits here, and so does who came before.
    let mut may_wait = request(Kind::Write, 1_120);
    may_wait.may_wait = true;
    assert!(rejected(&pool.request(may_wait, 3, at(1_120))).is_empty());
    // Another proxy was found: all go there.
    let released = rejected(&pool.reject_unreachable(at(1_130)));
    assert_eq!(
        released,
        [(1, Reason::Unreachable), (3, Reason::Unreachable)]
    );
}

/// A primary that was just lost is lost to every proxy: a change takes a second, and a
/// storm of questions to all others would not make it shorter. After a while one that
/// another proxy knows of may be asked for.
#[test]
fn a_lost_primary_is_out_of_reach_after_a_while() {
    let mut pool = pool(34, 6);
    pool.clear_primary(&id("p"));
    pool.tick(at(2_000));
    let early = pool.request(request(Kind::Write, 2_100), 1, at(2_100));
    assert!(rejected(&early).is_empty());
    let later = pool.request(request(Kind::Write, 2_400), 2, at(2_400));
    assert_eq!(rejected(&later), [(2, Reason::Unreachable)]);
}

/// A cut leaves this proxy without the two instances that hold what a read needs, and with
/// one that receives nothing any more.
#[test]
fn reads_are_out_of_reach_where_only_a_lagging_instance_is_left() {
    let mut pool = pool(34, 6);
    pool.request(request(Kind::Read(AGE), 1_100), 1, at(1_100));
    for name in ["p", "a"] {
        pool.open_completed(&id(name), Err(OpenError::Unreachable), at(1_110));
    }
    pool.open_completed(&id("b"), Ok(1), at(1_110));
    pool.record_lack(&id("b"), Point::new(1, 7), at(1_120));
    let actions = pool.request(request(Kind::Read(AGE), 1_130), 2, at(1_130));
    assert_eq!(rejected(&actions), [(2, Reason::Unreachable)]);
    // Once it shows what is needed, it serves.
    pool.record_log_end(&id("b"), Point::new(1, 7));
    let actions = pool.request(request(Kind::Read(AGE), 1_140), 3, at(1_140));
    assert!(rejected(&actions).is_empty());
}

/// Load: all VMs lose power with their connections open, which the instances keep for three
/// seconds. Harm: too few were free for the callers of the first seconds after the return.
/// What idles leaves 8 connections free for each slot where there are enough of them.
#[test_case(41, 6, 2; "few for many proxies")]
#[test_case(23, 9, 1; "one for each proxy at least")]
#[test_case(274, 91, 2; "plenty")]
fn idle_connections_leave_room_for_a_restart(connections: u32, proxies: u32, kept: usize) {
    let mut pool = pool(connections, proxies);
    for n in 0..6 {
        pool.request(request(Kind::Write, 1_100), n, at(1_100));
        pool.open_completed(&id("p"), Ok(n), at(1_100));
    }
    for n in 0..6 {
        pool.release(&id("p"), Some(n), None, at(1_200));
    }
    for tick in 0..10 {
        pool.tick(at(1_700 + tick * 50));
    }
    let left = pool.instance(&id("p")).map(policy::pool::Instance::count);
    assert_eq!(left, Some(kept as u32));
}
