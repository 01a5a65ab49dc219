//! The whole path on the platform's interfaces, against the stand-in.

mod env;

use std::thread;
use std::time::{Duration, Instant};

use env::{
    Caller, DATABASES, configuration, metrics, proxy, proxy_and_metrics, wait, with_connections,
};
use standin::managed::{Fault, Managed, StoreFault};
use test_case::test_case;

fn platform() -> Managed {
    platform_of(3)
}

fn platform_of(instances: usize) -> Managed {
    let managed = Managed::start(instances).unwrap();
    managed.configure(&configuration(1, &DATABASES));
    managed
}

fn caller(proxy: std::net::SocketAddr, database: &str) -> Caller {
    Caller::connect(proxy, database).unwrap()
}

#[test]
fn serves_reads_writes_and_transactions() {
    let managed = platform();
    let proxy = proxy(&managed, "p1");
    let mut session = caller(proxy, "audit");
    assert!(session.query_until_done("WRITE item1 one").done());
    let read = session.query("READ item1");
    assert_eq!(read.lines[0], "ROW one");
    assert_eq!(session.query("BEGIN").state, "T");
    assert!(session.query("WRITE item1 two").done());
    assert!(session.query("WRITE item2 two").done());
    let commit = session.query("COMMIT");
    assert!(commit.done() && commit.state == "I");
    assert_eq!(managed.log(), ["item1=one", "item1=two", "item2=two"]);
}

#[test]
fn a_rolled_back_transaction_keeps_nothing() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    session.query("BEGIN");
    session.query("WRITE a 2");
    assert_eq!(session.query("ROLLBACK").state, "I");
    assert_eq!(session.query("READ a").lines[0], "ROW 1");
}

/// Two sessions prepare different statements under one name and share the connections.
/// Each must run its own: under the wrong shape a read would become a write.
#[test]
fn prepared_names_of_sessions_do_not_collide() {
    let managed = platform();
    let proxy = proxy(&managed, "p1");
    let (mut one, mut two) = (caller(proxy, "filing"), caller(proxy, "filing"));
    one.query_until_done("WRITE k v0");
    one.query("PREPARE s1 WRITE q1");
    two.query("PREPARE s1 READ q2");
    assert!(one.query("EXEC s1 k v1").done());
    assert_eq!(two.query("EXEC s1 k").lines[0], "ROW v1");
    assert_eq!(two.query("EXEC s2 k").code(), Some("NOSTMT"));
    assert_eq!(managed.log(), ["k=v0", "k=v1"]);
}

#[test]
fn an_unknown_database_is_refused() {
    let managed = platform();
    let refused = Caller::connect(proxy(&managed, "p1"), "nothing").err();
    assert!(refused.is_some_and(|line| line.starts_with("ERR NODB")));
}

#[test]
fn bad_statements_are_refused_and_the_session_goes_on() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    assert_eq!(session.query("DROP everything").code(), Some("MALFORMED"));
    assert_eq!(session.query("COMMIT").code(), Some("MALFORMED"));
    assert!(session.query_until_done("WRITE a 1").done());
}

/// A primary goes down. A caller sees refusals that promise that nothing ran, and then
/// its write succeeds on the instance that the proxy had made primary; every write that
/// was acknowledged before is still there.
#[test_case(Fault::Down; "down")]
#[test_case(Fault::Dark; "dark")]
fn a_lost_primary_is_replaced(fault: Fault) {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a before");
    managed.set_fault(managed.primary(), fault);
    let after = session.query_until_done("WRITE a after");
    assert_eq!(managed.runs(&after.id), 1);
    assert_ne!(managed.primary(), 0);
    assert_eq!(session.query("READ a").lines[0], "ROW after");
    assert_eq!(managed.log().first().unwrap(), "a=before");
}

/// Lines about a change of primary are pushed out of the log within seconds. The counters
/// still tell of one change that led, by one order, and that none came late.
#[test]
fn counters_tell_of_a_change() {
    let managed = platform();
    let (proxy, address) = proxy_and_metrics(&managed, "p1");
    let mut session = caller(proxy, "filing");
    session.query_until_done("WRITE a 1");
    managed.set_fault(0, Fault::Down);
    session.query_until_done("WRITE a 2");
    let change = "pomelo_primary_changes_total{";
    let text = wait(|| metrics(address).filter(|text| text.contains(change)));
    for line in [
        "pomelo_primary_changes_total{cause=\"doubted\",outcome=\"led\"} 1",
        "pomelo_orders_total{answer=\"accepted\",purpose=\"change\"} 1",
        "pomelo_replica_orders_total{answer=\"answered\",order=\"pause\"} 1",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in {text}");
    }
    assert!(!text.contains("pomelo_orders_late_total{"), "{text}");
}

/// The coordinator is killed and restarts while a primary is lost. Its key still holds the
/// name of the earlier process, whose lease runs on: callers would see no writes until it
/// lapses. The new process knows that the earlier one has ended and takes the key over.
#[test]
fn a_restarted_coordinator_takes_its_duty_over() {
    let managed = platform();
    managed.put("pomelo/coordinator", b"p1 00000000000000aa");
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.set_fault(managed.primary(), Fault::Down);
    session.query_until_done("WRITE a 2");
    assert_eq!(managed.log(), ["a=1", "a=2"]);
}

/// One replica has received nothing for a while when the primary goes down. The other one
/// holds the acknowledged write and must be named, although either could lead.
#[test]
fn a_replica_that_fell_behind_does_not_lead() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.set_fault(1, Fault::Deaf);
    session.query_until_done("WRITE a 2");
    managed.set_fault(0, Fault::Down);
    wait(|| (managed.primary() != 0).then_some(()));
    assert_eq!(managed.primary(), 2);
    // A write is acknowledged once a replica has it, and only this one is left.
    managed.set_fault(1, Fault::None);
    session.query_until_done("WRITE a 3");
    assert_eq!(managed.log(), ["a=1", "a=2", "a=3"]);
}

/// A primary says that it leaves. It goes on serving, and another one is made primary
/// before it goes; replicas that were stopped receive again.
#[test]
fn a_leaving_primary_hands_over() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.leave(0);
    wait(|| (managed.primary() != 0).then_some(()));
    session.query_until_done("WRITE a 2");
    assert_eq!(managed.log(), ["a=1", "a=2"]);
}

/// A primary goes dark, the order to name another one has no answer, and the primary comes
/// back. The first order is carried out seconds later: it would take writes back that were
/// acknowledged meanwhile, so the change is completed by a second one, which makes it refused.
#[test]
fn an_order_that_is_carried_out_late_changes_nothing() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.delay_next_order(Duration::from_secs(8));
    managed.set_fault(0, Fault::Dark);
    wait(|| {
        managed
            .is_paused(1)
            .then_some(())
            .or(managed.is_paused(2).then_some(()))
    });
    thread::sleep(Duration::from_millis(300));
    managed.set_fault(0, Fault::None);
    wait(|| (!managed.is_paused(1) && !managed.is_paused(2)).then_some(()));
    session.query_until_done("WRITE a 2");
    let order = managed.orders().len();
    thread::sleep(Duration::from_secs(9));
    assert_eq!(managed.orders().len(), order, "{:?}", managed.orders());
    assert_eq!(managed.log(), ["a=1", "a=2"]);
}

/// A primary goes dark, and the platform takes a second to carry the accepted order out.
/// Meanwhile the old primary is back under another id. The stopped replica was told to
/// receive again, acknowledged a write, and the order then made an instance lead that
/// lacked it: the caller had its write acknowledged and lost.
#[test]
fn replicas_stay_stopped_while_an_order_is_carried_out() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.set_promote_time(Duration::from_millis(1_200));
    managed.set_fault(0, Fault::Dark);
    wait(|| (!managed.orders().is_empty()).then_some(()));
    managed.set_fault(1, Fault::Deaf);
    managed.come_back_as(0, "i-back");
    session.query_until_done("WRITE a 2");
    wait(|| (managed.primary() == 1).then_some(()));
    managed.set_fault(1, Fault::None);
    session.query_until_done("WRITE a 3");
    assert_eq!(managed.log(), ["a=1", "a=2", "a=3"]);
}

/// Guards against an acknowledged write that an order takes back which was meant to change
/// nothing. A primary goes dark, an order to replace it has no answer, and the primary is
/// back. The replicas are to receive again, so the primary is ordered once more, to make the
/// platform refuse the first order; but the first is carried out just before. The next
/// primary acknowledges a write, and the second order makes the old one lead without it.
#[test]
fn an_order_that_overtakes_its_look_takes_no_write_back() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.hold_orders(true);
    managed.set_fault(0, Fault::Dark);
    wait(|| (!managed.held_orders().is_empty()).then_some(()));
    managed.set_fault(0, Fault::None);
    wait_for_orders(&managed, 2);
    managed.set_fault(0, Fault::Deaf);
    assert!(managed.carry_out_order());
    wait(|| (managed.primary() != 0).then_some(()));
    session.query_until_done("WRITE a 2");
    carry_out_all(&managed);
    managed.set_fault(0, Fault::None);
    session.query_until_done("WRITE a 3");
    assert_eq!(managed.log(), ["a=1", "a=2", "a=3"]);
}

/// Guards against an acknowledged write that is lost between two orders that name different
/// instances. The first has no answer and its instance goes down; another one is named while
/// the rest is stopped, which is right. Then the first instance is back and its order is
/// carried out: all replicas receive again, and a write is acknowledged that the second lacks.
#[test]
fn an_order_without_an_answer_is_followed_by_none_for_another_instance() {
    let managed = platform_of(4);
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.hold_orders(true);
    managed.leave(0);
    let first = held_order(&managed);
    managed.set_fault(first, Fault::Down);
    managed.lapse(first);
    wait_for_orders(&managed, 2);
    managed.come_back(first);
    let orders = managed.held_orders();
    let second = orders.iter().map(named).find(|n| *n != first);
    let second = second.unwrap_or(first % 3 + 1);
    managed.set_fault(second, Fault::Deaf);
    assert!(managed.carry_out_order());
    wait(|| (managed.primary() == first).then_some(()));
    session.query_until_done("WRITE a 2");
    carry_out_all(&managed);
    managed.set_fault(second, Fault::None);
    session.query_until_done("WRITE a 3");
    assert_eq!(managed.log(), ["a=1", "a=2", "a=3"]);
}

/// Guards against a change of primary beside an order whose note cannot be read: it may name any
/// instance, so nobody is named until it lapses.
#[test]
fn nobody_is_named_beside_an_unreadable_note() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.put("pomelo/order/ledger", b"no instance \xff");
    thread::sleep(Duration::from_millis(500));
    managed.leave(0);
    thread::sleep(Duration::from_secs(3));
    assert!(managed.orders().is_empty(), "{:?}", managed.orders());
    assert!(session.query_until_done("WRITE a 2").done());
}

/// Guards against an order for the primary itself that is carried out late: told to stop leading
/// meanwhile, it would lead again between another order and its effect, and acknowledge what the
/// other instance lacks. So it is not told to stop, and no other is named, before the platform
/// has taken a newer order for it.
#[test]
fn a_primary_with_a_pending_order_is_not_replaced_before_that_is_void() {
    let managed = platform_of(4);
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.hold_orders(true);
    managed.leave(0);
    let next = held_order(&managed);
    wait_for_orders(&managed, 2);
    assert!(managed.carry_out_order());
    wait(|| (managed.primary() == next).then_some(()));
    managed.leave(next);
    thread::sleep(Duration::from_secs(5));
    let others = managed.held_orders();
    let own = format!("i-{next}");
    assert!(others.iter().all(|(id, _)| *id == own), "{others:?}");
    carry_out_all(&managed);
    wait(|| (![0, next].contains(&managed.primary())).then_some(()));
    session.query_until_done("WRITE a 2");
    assert_eq!(managed.log(), ["a=1", "a=2"]);
}

/// Guards against an instance that starts while an order has no answer yet, and goes on
/// receiving from the old primary until the answer comes or is given up.
#[test]
fn an_instance_that_starts_before_an_order_is_answered_is_stopped() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.hold_orders(true);
    managed.leave(0);
    let next = held_order(&managed);
    let newcomer = managed.join().unwrap();
    managed.announce_at(newcomer, managed.instance_address(newcomer));
    thread::sleep(Duration::from_millis(500));
    managed.set_fault(next, Fault::Deaf);
    let acknowledged = session.query("WRITE a 2").done();
    assert!(managed.carry_out_order());
    carry_out_all(&managed);
    managed.set_fault(next, Fault::None);
    session.query_until_done("WRITE a 3");
    let kept = managed.log().contains(&"a=2".to_owned());
    assert!(kept || !acknowledged, "{:?}", managed.log());
}

/// Waits for the first order that is held; gives the replica that it names.
fn held_order(managed: &Managed) -> usize {
    let order = wait(|| managed.held_orders().first().cloned());
    named(&order)
}

/// The instance that an order names.
fn named(order: &(String, u64)) -> usize {
    let number = order.0.strip_prefix("i-");
    number.and_then(|n| n.parse().ok()).unwrap()
}

/// Waits until so many orders are held, or until no further one can be expected.
fn wait_for_orders(managed: &Managed, orders: usize) {
    let end = Instant::now() + Duration::from_secs(8);
    while managed.held_orders().len() < orders && Instant::now() < end {
        thread::sleep(Duration::from_millis(10));
    }
}

/// Carries out all orders that are held, and lets the group settle.
fn carry_out_all(managed: &Managed) {
    managed.hold_orders(false);
    while !managed.held_orders().is_empty() {
        managed.carry_out_order();
    }
    thread::sleep(Duration::from_millis(500));
}

/// A primary is cut off from its replicas, so its writes do not end, and it is replaced.
/// While the order is carried out an instance starts: it receives the old primary's log
/// before anybody knows of it, and a write was acknowledged that the next primary lacked.
/// The old primary is told to stop before the order is given.
#[test]
fn an_instance_that_starts_during_a_change_acknowledges_nothing() {
    let managed = platform();
    let proxy = proxy(&managed, "p1");
    let mut session = caller(proxy, "filing");
    session.query_until_done("WRITE a 0");
    managed.set_promote_time(Duration::from_millis(1_200));
    managed.set_fault(1, Fault::Deaf);
    managed.set_fault(2, Fault::Deaf);
    let writers: Vec<_> = (0..4)
        .map(|who| {
            thread::spawn(move || {
                let mut session = caller(proxy, "filing");
                let done = |n: &u32| session.query(&format!("WRITE {who} {n}")).done();
                let kept: Vec<_> = (0..5).filter(done).collect();
                kept.into_iter().map(move |n| format!("{who}={n}"))
            })
        })
        .collect();
    wait(|| (!managed.orders().is_empty()).then_some(()));
    managed.join().unwrap();
    wait(|| (managed.primary() != 0).then_some(()));
    managed.set_fault(1, Fault::None);
    managed.set_fault(2, Fault::None);
    let done: Vec<_> = writers
        .into_iter()
        .flat_map(|w| w.join().unwrap())
        .collect();
    session.query_until_done("WRITE a last");
    let log = managed.log();
    let lost: Vec<_> = done.iter().filter(|entry| !log.contains(entry)).collect();
    assert!(lost.is_empty(), "{lost:?} of {done:?}");
}

/// Instances have no connection left: one proxy holds them, and another that starts gets
/// none. Its callers are served through the first one, at once and not when a connection
/// comes free.
#[test]
fn a_proxy_without_connections_serves_through_another() {
    let managed = platform();
    managed.configure(&with_connections(2, &DATABASES, 2));
    let first = proxy(&managed, "p1");
    caller(first, "filing").query_until_done("WRITE a 1");
    caller(first, "lookup").query_until_done("READ a");
    managed.set_max_connections(1);
    let mut session = caller(proxy(&managed, "p2"), "filing");
    session.query_until_done("WRITE a 2");
    assert_eq!(session.query("READ a").lines[0], "ROW 2");
    assert_eq!(
        caller(first, "filing").query_until_done("READ a").lines[0],
        "ROW 2"
    );
    assert_eq!(managed.log(), ["a=1", "a=2"]);
}

/// Both replicas apply the log late, and go on doing so. All reads went to the primary, and
/// a third of them were refused for twenty seconds. One of the replicas is made primary:
/// it has received everything, and the old primary serves reads as a replica.
#[test]
fn replicas_that_all_lag_get_another_primary() {
    let managed = platform();
    let proxy = proxy(&managed, "p1");
    let (mut writer, mut reader) = (caller(proxy, "filing"), caller(proxy, "lookup"));
    writer.query_until_done("WRITE a 0");
    managed.set_fault(1, Fault::Lagging);
    managed.set_fault(2, Fault::Lagging);
    let mut n = 0;
    wait(|| {
        n += 1;
        writer.query_until_done(&format!("WRITE a {n}"));
        reader.query("READ a");
        (managed.primary() != 0).then_some(())
    });
    writer.query_until_done("WRITE a last");
    assert_eq!(managed.log().len(), n + 2, "no write is lost");
    // One change is enough: the old primary does not lag.
    thread::sleep(Duration::from_secs(2));
    let named: Vec<_> = managed.orders().iter().map(|(id, _)| id.clone()).collect();
    assert_eq!(named.len(), 1, "{named:?}");
}

/// A coordinator stops both replicas from receiving and dies before it names a primary.
/// Writes would stall for good, as no replica acknowledges them; the next coordinator
/// finds the replicas stopped and lets them receive again.
#[test]
fn replicas_that_were_left_stopped_receive_again() {
    let managed = platform();
    managed.pause(1, 2);
    managed.pause(2, 2);
    let mut session = caller(proxy(&managed, "p1"), "filing");
    wait(|| (!managed.is_paused(1) && !managed.is_paused(2)).then_some(()));
    session.query_until_done("WRITE a 1");
    // No order is pending, so none has to be made void.
    let orders = managed.orders();
    assert!(orders.is_empty(), "{orders:?}");
}

/// An order to receive again has no answer. The primary goes dark right after it, while
/// the order may still be carried out: the replica would then receive from the old primary
/// and acknowledge what the next one lacks. So nobody is named as long as the old primary
/// is silent; it comes back, and every acknowledged write is kept.
#[test]
fn nobody_is_named_while_an_order_to_receive_is_pending() {
    let managed = platform();
    managed.delay_next_statement("RESUME", Duration::from_secs(4));
    managed.pause(1, 2);
    let mut session = caller(proxy(&managed, "p1"), "filing");
    wait(|| (!managed.keys("pomelo/resume/").is_empty()).then_some(()));
    session.query_until_done("WRITE a 1");
    managed.set_fault(0, Fault::Dark);
    thread::sleep(Duration::from_secs(6));
    assert_eq!(managed.primary(), 0, "{:?}", managed.orders());
    managed.set_fault(0, Fault::None);
    session.query_until_done("WRITE a 2");
    assert_eq!(managed.log(), ["a=1", "a=2"]);
}

/// The answer to a write is lost. The caller is told that the outcome is open, and the
/// write is not sent again: a payment would be taken twice.
#[test]
fn a_write_whose_answer_is_lost_runs_once() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.set_fault(0, Fault::LosesAnswers);
    let lost = session.query("WRITE a 2");
    assert_eq!(lost.code(), Some("INDOUBT"));
    assert_eq!(managed.runs(&lost.id), 1);
}

/// A replica loses the answers to reads. Callers do not wait for their whole time limit:
/// the read is tried on another instance while the first one has no answer.
#[test]
fn a_read_without_an_answer_is_served_elsewhere() {
    let managed = platform();
    let proxy = proxy(&managed, "p1");
    caller(proxy, "filing").query_until_done("WRITE a 1");
    let mut session = caller(proxy, "lookup");
    session.query_until_done("READ a");
    managed.set_fault(1, Fault::LosesAnswers);
    managed.set_fault(2, Fault::LosesAnswers);
    for _ in 0..4 {
        assert_eq!(session.query_until_done("READ a").lines[0], "ROW 1");
    }
}

/// Instances refuse statements for want of a slot. The caller is told in time, with a
/// hint, and the promise that nothing ran is true.
#[test]
fn a_refusal_for_want_of_capacity_is_true() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.set_fault(0, Fault::Busy);
    let refused = session.query("WRITE a 2");
    assert_eq!(refused.code(), Some("BUSY"));
    assert_eq!(managed.runs(&refused.id), 0);
}

/// A session writes on one instance and reads on another that has not received the write.
/// Old data would close a legal kiosk; the read goes to an instance that has it.
#[test]
fn a_session_reads_its_own_writes_while_replicas_lag() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "audit");
    session.query_until_done("WRITE a 0");
    managed.set_fault(1, Fault::Deaf);
    for n in 1..20 {
        session.query_until_done(&format!("WRITE a {n}"));
        let read = session.query_until_done("READ a");
        assert_eq!(read.lines[0], format!("ROW {n}"));
    }
}

/// The configuration gains a database and loses one. Both are in force without a restart,
/// also for sessions that are open.
#[test]
fn a_change_of_the_configuration_comes_into_force() {
    let managed = platform();
    let proxy = proxy(&managed, "p1");
    let mut session = caller(proxy, "lookup");
    session.query_until_done("READ a");
    let databases = [DATABASES[0], ("added", "bounded")];
    managed.configure(&configuration(2, &databases));
    wait(|| Caller::connect(proxy, "added").ok());
    assert_eq!(session.query("READ a").code(), Some("NODB"));
}

/// The store is away. What is known stays in force, reads and writes go on, and when it
/// is back the proxy takes its place again.
#[test]
fn callers_are_served_while_the_store_is_away() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.set_store_fault(StoreFault::Away);
    for n in 2..6 {
        assert!(session.query(&format!("WRITE a {n}")).done());
    }
    managed.set_store_fault(StoreFault::None);
    wait(|| (managed.keys("pomelo/proxy/").len() == 1).then_some(()));
    assert!(session.query("WRITE a 6").done());
}

/// A proxy starts behind a narrow link, and the whole listing takes longer than one call
/// may wait for its answer to begin. It was given up and asked for from the start each
/// time, so that callers were refused for as long as the link stayed narrow.
#[test]
fn a_listing_that_still_arrives_is_not_given_up() {
    let managed = Managed::start(3).unwrap();
    let names: Vec<_> = (0..400).map(|n| format!("filing{n}")).collect();
    let databases: Vec<_> = names.iter().map(|n| (n.as_str(), "primary")).collect();
    managed.configure(&configuration(1, &databases));
    managed.set_store_fault(StoreFault::Narrow(60_000));
    let proxy = proxy(&managed, "p1");
    let mut session = wait(|| Caller::try_connect(proxy, "filing7"));
    managed.set_store_fault(StoreFault::None);
    session.query_until_done("WRITE a 1");
}

/// Five proxies of one data centre, one of which reads the store.
fn followers() -> (Managed, [std::net::SocketAddr; 5]) {
    let managed = platform();
    let proxies = ["p1", "p2", "p3", "p4", "p5"].map(|name| proxy(&managed, name));
    wait(|| (managed.keys("pomelo/proxy/").len() == 5).then_some(()));
    wait(|| (managed.watches() <= 2).then_some(()));
    (managed, proxies)
}

fn all_serve_an_added_database(managed: &Managed, proxies: &[std::net::SocketAddr]) {
    let mut databases = DATABASES.to_vec();
    databases.push(("added", "primary"));
    managed.configure(&configuration(2, &databases));
    for proxy in proxies {
        let mut session = wait(|| Caller::try_connect(*proxy, "added"));
        session.query_until_done("WRITE a 1");
    }
}

/// Five proxies of one data centre before a narrow link. One of them reads the store and the
/// others follow it, so that a new version of a large configuration crosses the link once:
/// callers of each find the new database, and the store sees one watch.
#[test]
fn one_proxy_of_a_data_centre_reads_the_store_for_all() {
    let (managed, proxies) = followers();
    all_serve_an_added_database(&managed, &proxies);
}

/// The store turns the proxy away that the others of its data centre follow. They learn of
/// a new database all the same, from the one that stands in or from the store itself.
#[test]
fn followers_of_a_lost_reader_learn_of_changes() {
    let (managed, proxies) = followers();
    managed.set_store_fault(StoreFault::Away);
    thread::sleep(Duration::from_millis(300));
    managed.set_store_fault(StoreFault::None);
    all_serve_an_added_database(&managed, &proxies);
}

/// Another writer leaves an entry that names no instance. The others hold, and callers
/// are served.
#[test]
fn an_unreadable_entry_takes_no_other_down() {
    let managed = platform();
    managed.put("servers/i-bad", b"\xff\x00 not an entry");
    managed.put("servers/i-odd", br#"{"service":7,"state":"asleep"}"#);
    let mut session = caller(proxy(&managed, "p1"), "filing");
    assert!(session.query_until_done("WRITE a 1").done());
}

/// Two proxies, and the one that coordinates is not the one with callers: doubts reach it
/// through the store, and the token of its orders is its own.
#[test]
fn one_of_two_proxies_coordinates() {
    let managed = platform();
    let (one, two) = (proxy(&managed, "p1"), proxy(&managed, "p2"));
    let (mut a, mut b) = (caller(one, "filing"), caller(two, "filing"));
    a.query_until_done("WRITE x 1");
    b.query_until_done("WRITE x 2");
    wait(|| (managed.keys("pomelo/proxy/").len() == 2).then_some(()));
    managed.set_fault(0, Fault::Down);
    a.query_until_done("WRITE x 3");
    b.query_until_done("WRITE x 4");
    let orders = managed.orders();
    assert!(orders.windows(2).all(|w| w[0].1 < w[1].1), "{orders:?}");
    assert_eq!(managed.log(), ["x=1", "x=2", "x=3", "x=4"]);
}
