//! End-to-end tests of a proxy against the simulated platform.

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

/// Two sessions prepare different statements under one name on shared connections. Each must
/// run its own: with the statement of the other session, a read would become a write.
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
fn an_unknown_database_is_rejected() {
    let managed = platform();
    let rejected = Caller::connect(proxy(&managed, "p1"), "nothing").err();
    assert!(rejected.is_some_and(|line| line.starts_with("ERR NODB")));
}

#[test]
fn a_session_continues_after_malformed_statements() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    assert_eq!(session.query("DROP everything").code(), Some("MALFORMED"));
    assert_eq!(session.query("COMMIT").code(), Some("MALFORMED"));
    assert!(session.query_until_done("WRITE a 1").done());
}

/// A primary fails. A caller receives errors that guarantee that nothing ran; then its write
/// succeeds on the promoted instance. Every write acknowledged before is kept.
#[test_case(Fault::Down; "down")]
#[test_case(Fault::Dark; "dark")]
fn a_failed_primary_is_replaced(fault: Fault) {
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

/// Log lines about a change of primary are displaced within seconds. The counters still show one
/// completed change, one order, and no primary that the last order does not explain.
#[test]
fn counters_report_a_change_of_primary() {
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

/// A coordinator is killed and restarts, then the primary fails. Its key still names the earlier
/// process, whose lease is still valid: no write would succeed until the lease expires. The new
/// process knows that the earlier one has exited and takes over the coordinator lease.
#[test]
fn a_restarted_coordinator_takes_over_its_lease() {
    let managed = platform();
    managed.put("pomelo/coordinator", b"p1 00000000000000aa");
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.set_fault(managed.primary(), Fault::Down);
    session.query_until_done("WRITE a 2");
    assert_eq!(managed.log(), ["a=1", "a=2"]);
}

/// One replica has received nothing for a while when the primary fails. The other replica holds
/// the acknowledged write and must be promoted, although either one could be.
#[test]
fn a_replica_that_fell_behind_is_not_promoted() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.set_fault(1, Fault::Deaf);
    session.query_until_done("WRITE a 2");
    managed.set_fault(0, Fault::Down);
    wait(|| (managed.primary() != 0).then_some(()));
    assert_eq!(managed.primary(), 2);
    // A write is acknowledged once a replica has it, and instance 1 is the only replica left.
    managed.set_fault(1, Fault::None);
    session.query_until_done("WRITE a 3");
    assert_eq!(managed.log(), ["a=1", "a=2", "a=3"]);
}

/// A primary announces that it is being decommissioned. It still serves until another instance
/// is promoted; the paused replicas are resumed.
#[test]
fn a_leaving_primary_is_replaced() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.leave(0);
    wait(|| (managed.primary() != 0).then_some(()));
    session.query_until_done("WRITE a 2");
    assert_eq!(managed.log(), ["a=1", "a=2"]);
}

/// A primary stops responding, the promotion order for another instance gets no response, and the
/// primary recovers. Executed seconds later, the order would undo writes acknowledged meanwhile.
/// A second order completes the change and makes the platform refuse the first.
#[test]
fn an_order_executed_late_changes_nothing() {
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

/// Guards against a lost acknowledged write. A primary stops responding, the platform takes a
/// second to execute the accepted order, and the old primary returns under another id. If the
/// paused replica is resumed now, it acknowledges a write that the promoted instance lacks.
#[test]
fn replicas_stay_paused_while_an_order_is_executed() {
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

/// Guards against an order that should change nothing and undoes an acknowledged write. A primary
/// stops responding, a promotion order gets no response, and the primary recovers. Before the
/// replicas are resumed, the primary is ordered again so that the platform refuses the first
/// order; but the first is executed just before. The new primary acknowledges a write, and the
/// second order would promote the old one without it.
#[test]
fn an_order_based_on_an_outdated_survey_undoes_no_write() {
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
    execute_held_orders(&managed);
    managed.set_fault(0, Fault::None);
    session.query_until_done("WRITE a 3");
    assert_eq!(managed.log(), ["a=1", "a=2", "a=3"]);
}

/// Guards against a write lost between two orders for different instances. The first order gets
/// no response and its instance fails; another instance is ordered while the rest is paused,
/// which is correct. Then the first instance returns and its order is executed: all replicas are
/// resumed and a write is acknowledged that the second instance lacks.
#[test]
fn an_unanswered_order_is_followed_by_none_for_another_instance() {
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
    let second = orders.iter().map(ordered_instance).find(|n| *n != first);
    let second = second.unwrap_or(first % 3 + 1);
    managed.set_fault(second, Fault::Deaf);
    assert!(managed.carry_out_order());
    wait(|| (managed.primary() == first).then_some(()));
    session.query_until_done("WRITE a 2");
    execute_held_orders(&managed);
    managed.set_fault(second, Fault::None);
    session.query_until_done("WRITE a 3");
    assert_eq!(managed.log(), ["a=1", "a=2", "a=3"]);
}

/// Guards against a change of primary while a recorded intent is unreadable: its order may name
/// any instance, so no instance is ordered until the intent expires.
#[test]
fn no_instance_is_ordered_beside_an_unreadable_intent() {
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

/// Guards against a late order for the primary itself. If the primary was demoted meanwhile, the
/// order would make it lead again between another order and its effect, and it would acknowledge
/// writes that the other instance lacks. So it is not demoted and no other instance is ordered
/// before the platform has accepted a newer order for it.
#[test]
fn a_primary_with_a_pending_order_is_not_replaced_before_it_is_void() {
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
    execute_held_orders(&managed);
    wait(|| (![0, next].contains(&managed.primary())).then_some(()));
    session.query_until_done("WRITE a 2");
    assert_eq!(managed.log(), ["a=1", "a=2"]);
}

/// Guards against a lost acknowledged write. The order that voids an earlier one is accepted and
/// takes effect a second later: if the primary was demoted meanwhile, it leads again beside the
/// order for another instance, and replicas receive that were paused for that order.
#[test]
fn an_order_for_the_primary_takes_effect_before_it_is_replaced() {
    let managed = platform_of(4);
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.set_promote_time(Duration::from_millis(1_200));
    managed.put("pomelo/order/ledger", b"i-0");
    // The primary is demoted where a replica does not respond.
    managed.set_fault(3, Fault::Dark);
    managed.lapse(3);
    managed.leave(0);
    wait(|| (managed.primary() != 0).then_some(()));
    assert_eq!(managed.overlapping_orders(), 0, "{:?}", managed.orders());
    session.query_until_done("WRITE a 2");
    assert_eq!(managed.log(), ["a=1", "a=2"]);
}

/// Guards against an instance that starts while an order has no response yet, and receives from
/// the old primary until the response arrives or the order times out.
#[test]
fn an_instance_that_starts_during_an_order_is_paused() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.hold_orders(true);
    managed.leave(0);
    let next = held_order(&managed);
    let new_instance = managed.join().unwrap();
    managed.announce_at(new_instance, managed.instance_address(new_instance));
    thread::sleep(Duration::from_millis(500));
    managed.set_fault(next, Fault::Deaf);
    let acknowledged = session.query("WRITE a 2").done();
    assert!(managed.carry_out_order());
    execute_held_orders(&managed);
    managed.set_fault(next, Fault::None);
    session.query_until_done("WRITE a 3");
    let kept = managed.log().contains(&"a=2".to_owned());
    assert!(kept || !acknowledged, "{:?}", managed.log());
}

/// Waits for the first held order and returns the replica that it names.
fn held_order(managed: &Managed) -> usize {
    let order = wait(|| managed.held_orders().first().cloned());
    ordered_instance(&order)
}

/// The instance that an order names.
fn ordered_instance(order: &(String, u64)) -> usize {
    let number = order.0.strip_prefix("i-");
    number.and_then(|n| n.parse().ok()).unwrap()
}

/// Waits until `count` orders are held, or for 8 seconds if no further order is sent.
fn wait_for_orders(managed: &Managed, count: usize) {
    let end = Instant::now() + Duration::from_secs(8);
    while managed.held_orders().len() < count && Instant::now() < end {
        thread::sleep(Duration::from_millis(10));
    }
}

/// Executes all held orders and waits for the group to settle.
fn execute_held_orders(managed: &Managed) {
    managed.hold_orders(false);
    while !managed.held_orders().is_empty() {
        managed.carry_out_order();
    }
    thread::sleep(Duration::from_millis(500));
}

/// A primary is partitioned from its replicas, so its writes stall and it is replaced. While the
/// order is executed, an instance starts and receives the old primary's log before any proxy
/// knows of it: it would acknowledge a write that the next primary lacks. So the old primary is
/// demoted before the order is sent.
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
        .map(|writer| {
            thread::spawn(move || {
                let mut session = caller(proxy, "filing");
                let done = |n: &u32| session.query(&format!("WRITE {writer} {n}")).done();
                let kept: Vec<_> = (0..5).filter(done).collect();
                kept.into_iter().map(move |n| format!("{writer}={n}"))
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

/// One proxy holds all connections of the instances, and another proxy that starts gets none.
/// Its callers are served through the first proxy, without waiting for a free connection.
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

/// Guards against a primary that serves all reads while both replicas apply the log late: a third
/// of the reads were rejected for twenty seconds. One of the replicas is promoted, as it has
/// received everything, and the old primary serves reads as a replica.
#[test]
fn the_primary_changes_when_all_replicas_lag() {
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
    let ordered: Vec<_> = managed.orders().iter().map(|(id, _)| id.clone()).collect();
    assert_eq!(ordered.len(), 1, "{ordered:?}");
}

/// A coordinator pauses both replicas and fails before it orders a promotion. No replica would
/// acknowledge writes, which would stall forever; the next coordinator finds the replicas paused
/// and resumes them.
#[test]
fn replicas_that_were_left_paused_are_resumed() {
    let managed = platform();
    managed.pause(1, 2);
    managed.pause(2, 2);
    let mut session = caller(proxy(&managed, "p1"), "filing");
    wait(|| (!managed.is_paused(1) && !managed.is_paused(2)).then_some(()));
    session.query_until_done("WRITE a 1");
    // No order is pending, so no order is needed to void one.
    let orders = managed.orders();
    assert!(orders.is_empty(), "{orders:?}");
}

/// A resume command gets no response, and the primary stops responding right after it. The
/// command may still take effect: the replica would receive from the old primary and acknowledge
/// writes that the next one lacks. So no instance is promoted while the old primary is
/// unresponsive; it recovers, and every acknowledged write is kept.
#[test]
fn no_instance_is_promoted_while_a_resume_command_is_pending() {
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

/// The response to a write is lost. The caller gets INDOUBT, and the write is not retried, as a
/// payment would be made twice.
#[test]
fn a_write_whose_response_is_lost_runs_once() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.set_fault(0, Fault::LosesAnswers);
    let lost = session.query("WRITE a 2");
    assert_eq!(lost.code(), Some("INDOUBT"));
    assert_eq!(managed.runs(&lost.id), 1);
}

/// Responses of both replicas to reads are lost. Callers do not wait for their whole timeout: the
/// read is tried on another instance while the first response is still missing.
#[test]
fn a_read_without_a_response_is_retried_on_another_instance() {
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

/// An instance refuses statements because it has no free slot. The caller gets BUSY with a retry
/// hint before its timeout, and the statement did not run.
#[test]
fn a_statement_rejected_for_capacity_did_not_run() {
    let managed = platform();
    let mut session = caller(proxy(&managed, "p1"), "filing");
    session.query_until_done("WRITE a 1");
    managed.set_fault(0, Fault::Busy);
    let rejected = session.query("WRITE a 2");
    assert_eq!(rejected.code(), Some("BUSY"));
    assert_eq!(managed.runs(&rejected.id), 0);
}

/// A session writes on one instance, and another has not received the write. The read goes to
/// an instance that has it: with old data, a legal kiosk would be closed.
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

/// A database is added to the configuration and others are removed. Both take effect without a
/// restart, also for open sessions.
#[test]
fn a_change_of_the_configuration_takes_effect() {
    let managed = platform();
    let proxy = proxy(&managed, "p1");
    let mut session = caller(proxy, "lookup");
    session.query_until_done("READ a");
    let databases = [DATABASES[0], ("added", "bounded")];
    managed.configure(&configuration(2, &databases));
    wait(|| Caller::connect(proxy, "added").ok());
    assert_eq!(session.query("READ a").code(), Some("NODB"));
}

/// The store is unavailable. The last known state stays in force, reads and writes continue, and when
/// the store is back the proxy registers again.
#[test]
fn callers_are_served_while_the_store_is_unavailable() {
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

/// Guards against a listing that restarts forever. Over a slow link the whole listing takes longer
/// than a call may wait for the start of its response. If it is aborted and requested again each
/// time, callers are rejected for as long as the link is slow.
#[test]
fn a_listing_that_still_arrives_is_not_aborted() {
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

/// Starts five proxies of one data centre, one of which reads the store.
fn data_centre() -> (Managed, [std::net::SocketAddr; 5]) {
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

/// Five proxies of one data centre share a slow link to the store. One of them reads the store
/// and the others read from it, so that a new version of a large configuration crosses the link
/// once: callers of each proxy find the new database, and the store serves one watch.
#[test]
fn one_proxy_of_a_data_centre_reads_the_store_for_all() {
    let (managed, proxies) = data_centre();
    all_serve_an_added_database(&managed, &proxies);
}

/// The store refuses the proxy that reads it for its data centre. The other proxies still receive
/// a new database, from the proxy that replaces it or from the store itself.
#[test]
fn changes_arrive_after_the_store_reader_fails() {
    let (managed, proxies) = data_centre();
    managed.set_store_fault(StoreFault::Away);
    thread::sleep(Duration::from_millis(300));
    managed.set_store_fault(StoreFault::None);
    all_serve_an_added_database(&managed, &proxies);
}

/// Another client writes entries that describe no instance. The other entries stay valid, and
/// callers are served.
#[test]
fn an_unreadable_entry_affects_no_other() {
    let managed = platform();
    managed.put("servers/i-bad", b"\xff\x00 not an entry");
    managed.put("servers/i-odd", br#"{"service":7,"state":"asleep"}"#);
    let mut session = caller(proxy(&managed, "p1"), "filing");
    assert!(session.query_until_done("WRITE a 1").done());
}

/// Of two proxies, one is the coordinator. Suspicions of the other proxy reach it through the
/// store, and each of its orders has a fencing token of its own.
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
