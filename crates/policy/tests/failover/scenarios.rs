//! Changes of primary under one fault or two simultaneous ones. After the faults have ended,
//! the oracle checks the outcomes that the callers got.

use model::position::Term;
use model::settings::Acknowledge;
use policy::decision::{Phase, What};
use policy::promote::Step;
use test_case::test_case;

use crate::fake::World;
use crate::fake::caller::Requirement;
use crate::fake::fault::Fault;
use crate::fake::oracle::Violation;

fn world(seed: u64) -> World {
    let mut world = World::new(seed, 3, Acknowledge::Majority);
    world.traffic(200);
    world
}

/// The newest term that an instance leads.
fn newest_term(world: &World) -> Term {
    let leader = &world.instances[world.leader()];
    leader.term
}

/// Ends every fault and checks that all outcomes were correct and requests are served again.
fn finish(world: &mut World) {
    world.settle();
    assert_eq!(world.oracle.violations, []);
}

fn decided(world: &World, wanted: impl Fn(&What) -> bool) -> usize {
    let all = world.proxies.iter().flat_map(|p| &p.decisions);
    all.filter(|d| wanted(&d.what)).count()
}

/// Runs until a proxy's attempt reaches a step, and returns the index of the proxy.
fn run_until(world: &mut World, stage: impl Fn(&Step) -> bool) -> usize {
    for _ in 0..1_000 {
        let mut proxies = world.proxies.iter();
        let reached = proxies.position(|p| {
            let group = p.node.group(&world.group);
            group
                .and_then(|g| g.attempt())
                .is_some_and(|a| stage(&a.step))
        });
        match reached {
            Some(at) => return at,
            None => world.run(2),
        }
    }
    panic!("no attempt reached the stage");
}

// A write arrives after the primary's server has stopped responding. It has certainly not
// run, so it waits. The replicas also report no contact with the primary; one of them is
// promoted, and the write runs there once.
#[test]
fn a_dead_primary_is_replaced_while_writes_wait() {
    let mut world = world(1);
    let acked = world.oracle.acknowledged.len();
    world.begin(Fault::FreezeLeader);
    world.run(150);
    world.write(1, 0);
    world.run(900);
    assert_eq!(world.oracle.acknowledged.len(), acked + 1);
    assert!(newest_term(&world) > Term(1));
    let phases = world.proxies.iter().flat_map(|p| &p.decisions);
    let mut phases: Vec<_> = phases.filter_map(|d| Some(d.phase?.0)).collect();
    phases.sort_unstable();
    phases.dedup();
    let all = [
        Phase::Detect,
        Phase::Claim,
        Phase::Fence,
        Phase::Promote,
        Phase::Publish,
        Phase::FirstAck,
    ];
    assert_eq!(phases, all);
    finish(&mut world);
}

// The primary stalls for 300 ms, one data centre is partitioned from it, messages are lost,
// or the store is down. Replacing the primary would interrupt every writer for longer than
// the fault does.
#[test_case(Fault::FreezeLeader, 300; "a stall of 300 ms")]
#[test_case(Fault::Partition(0, 2), 5_000; "one data centre does not reach the primary")]
#[test_case(Fault::IsolateSite(1), 5_000; "a replica's data centre is partitioned")]
#[test_case(Fault::Loss(10), 5_000; "a tenth of all messages is lost")]
#[test_case(Fault::StoreDown, 5_000; "the store is down")]
fn a_live_primary_is_not_replaced(fault: Fault, ms: u64) {
    let mut world = world(2);
    world.begin(fault);
    world.run(ms);
    world.end_all();
    world.traffic(1_000);
    assert_eq!(newest_term(&world), Term(1));
    assert_eq!(decided(&world, |w| matches!(w, What::Replace(..))), 0);
    finish(&mut world);
}

// The primary's process crashes and connections are refused. It is replaced after half the
// usual timeout, since a stalled process does not refuse connections.
#[test]
fn a_crashed_primary_is_replaced_sooner() {
    let mut world = world(13);
    world.begin(Fault::DownLeader);
    world.run(420);
    assert!(newest_term(&world) > Term(1));
    finish(&mut world);
}

// An operator decommissions the primary, which must get no new work after three seconds at
// most. Another instance leads before, no write is rejected, and no acknowledged one is lost.
#[test]
fn a_leaving_primary_hands_over() {
    let mut world = world(14);
    world.begin(Fault::Leaving(0));
    world.traffic(1_500);
    assert_ne!(world.leader(), 0);
    let rejected = world.oracle.callers.outcomes.rejected;
    assert_eq!(rejected, 0);
    finish(&mut world);
}

// One data centre does not reach the primary while the others do. Its writes are forwarded
// through a proxy that reaches the primary, and no instance is promoted.
#[test]
fn writes_go_through_a_peer_that_reaches_the_primary() {
    let mut world = world(3);
    world.begin(Fault::Partition(0, 2));
    world.run(1_500);
    assert!(decided(&world, |w| matches!(w, What::Forward(_))) > 0);
    assert_eq!(newest_term(&world), Term(1));
    finish(&mut world);
}

// The primary's data centre is partitioned together with a proxy that still routes writes
// to it. Callers of that proxy get no acknowledgement, since no majority confirms; callers
// elsewhere write to the new primary. After the partition heals, the old primary follows,
// and its unconfirmed records are reported.
#[test]
fn an_isolated_primary_acknowledges_nothing_and_later_follows() {
    let mut world = world(4);
    world.begin(Fault::IsolateLeaderSite);
    let acked = world.oracle.acknowledged.len();
    world.write(0, 0);
    world.run(1_500);
    assert_eq!(world.oracle.acknowledged.len(), acked);
    world.write(1, 1);
    world.run(300);
    assert_eq!(world.oracle.acknowledged.len(), acked + 1);
    world.end_all();
    world.run(4_000);
    assert!(decided(&world, |w| matches!(w, What::Diverged { .. })) > 0);
    let logs: Vec<_> = world.instances.iter().map(|i| i.log.clone()).collect();
    assert!(logs.windows(2).all(|w| w[0] == w[1]));
    finish(&mut world);
}

// The primary reaches none of its replicas, but the proxies of its data centre reach it and
// continue to send it writes. None of these can be acknowledged, so it is replaced as soon
// as a primary that no proxy reaches; callers of those proxies write to the new one as well.
#[test]
fn a_primary_that_only_its_own_proxies_reach_is_replaced() {
    let mut world = world(15);
    world.begin(Fault::IsolateLeaderInstance);
    world.write(0, 0);
    world.run(800);
    assert!(newest_term(&world) > Term(1));
    let acked = world.oracle.acknowledged.len();
    world.write(0, 1);
    world.run(300);
    assert_eq!(world.oracle.acknowledged.len(), acked + 1);
    finish(&mut world);
}

// The proxy that replaces a failed primary is killed or paused right after a step. Another
// proxy claims the next term and finishes the change. When the paused proxy continues, its
// commands have an older term and no effect.
#[test_case(|s| matches!(s, Step::Claiming), Fault::Kill; "killed while claiming")]
#[test_case(|s| matches!(s, Step::Fencing), Fault::Kill; "killed after the claim")]
#[test_case(|s| matches!(s, Step::Promoting(_)), Fault::Kill; "killed after the fence")]
#[test_case(|s| matches!(s, Step::Publishing(_)), Fault::Kill; "killed after the promotion")]
#[test_case(|s| matches!(s, Step::Claiming), Fault::Pause; "paused while claiming")]
#[test_case(|s| matches!(s, Step::Fencing), Fault::Pause; "paused after the claim")]
#[test_case(|s| matches!(s, Step::Promoting(_)), Fault::Pause; "paused after the fence")]
#[test_case(|s| matches!(s, Step::Publishing(_)), Fault::Pause; "paused after the promotion")]
fn another_proxy_finishes_the_change(stage: fn(&Step) -> bool, fault: fn(usize) -> Fault) {
    let mut world = world(5);
    world.begin(Fault::FreezeLeader);
    let at = run_until(&mut world, stage);
    world.begin(fault(at));
    world.run(2_500);
    let other = (at + 1) % 3;
    let acked = world.oracle.acknowledged.len();
    world.write(other, 2);
    world.run(1_000);
    assert_eq!(world.oracle.acknowledged.len(), acked + 1);
    world.end_all();
    world.traffic(1_000);
    finish(&mut world);
}

// Several proxies start to coordinate at the same time, as the membership shows each of
// them no other live proxy. One of them wins the term, and callers see one change of primary.
#[test]
fn two_coordinators_promote_one_primary() {
    let mut world = world(6);
    for at in 0..3 {
        world.begin(Fault::SeesNoPeers(at));
    }
    world.begin(Fault::FreezeLeader);
    world.run(3_000);
    world.traffic(500);
    finish(&mut world);
}

// Replies of the store are lost although the change took effect. Reading back the nonce
// shows whether the claim took effect, and no term is claimed twice.
#[test_case(50; "half of the replies")]
#[test_case(90; "nearly all replies")]
fn lost_replies_of_the_store_are_resolved_by_reading(percent: u32) {
    let mut world = world(7);
    world.begin(Fault::LoseReplies(percent));
    world.begin(Fault::FreezeLeader);
    world.run(8_000);
    assert!(newest_term(&world) > Term(1));
    let claims = &world.store.claims;
    assert!(claims.windows(2).all(|w| w[0] < w[1]));
    finish(&mut world);
}

// The store is down when the primary fails, so that no instance can be promoted. Writes are
// rejected as not run; once the store is back, a primary is promoted.
#[test]
fn no_promotion_happens_without_the_store() {
    let mut world = world(8);
    world.begin(Fault::StoreDown);
    world.begin(Fault::FreezeLeader);
    world.run(2_000);
    let rejected = world.oracle.callers.outcomes.rejected;
    world.write(1, 0);
    world.run(3_500);
    assert_eq!(world.oracle.callers.outcomes.rejected, rejected + 1);
    assert_eq!(newest_term(&world), Term(1));
    world.end_oldest();
    world.run(1_500);
    assert!(newest_term(&world) > Term(1));
    finish(&mut world);
}

// A second instance fails during the promotion, and no majority is left. Writes are
// rejected at once as not run, reads with an accepted age are still served, and no
// acknowledged write is lost when one of the two returns.
#[test]
fn a_second_failure_during_the_promotion_rejects_writes_at_once() {
    let mut world = world(9);
    world.begin(Fault::FreezeLeader);
    run_until(&mut world, |s| matches!(s, Step::Fencing));
    world.begin(Fault::Freeze(1));
    world.run(3_000);
    let (rejected, acked) = (
        world.oracle.callers.outcomes.rejected,
        world.oracle.acknowledged.len(),
    );
    world.write(2, 0);
    world.run(10);
    assert_eq!(world.oracle.callers.outcomes.rejected, rejected + 1);
    assert_eq!(world.oracle.acknowledged.len(), acked);
    world.end_oldest();
    world.run(3_000);
    finish(&mut world);
}

// The replicas lag far behind when the primary fails. At least one of them holds all
// acknowledged writes, and that one is chosen.
#[test]
fn lagging_replicas_lose_no_acknowledged_write() {
    let mut world = world(10);
    world.begin(Fault::ReplicationLimit(1));
    world.traffic(1_000);
    world.begin(Fault::DownLeader);
    world.run(2_000);
    finish(&mut world);
}

// A session writes through one proxy and reads through another that does not know of the
// change of primary yet. The read shows the write or waits, with and without the token.
#[test_case(Requirement::Token; "with the token")]
#[test_case(Requirement::Unstated; "without the token")]
fn a_roaming_session_reads_its_writes_across_a_promotion(requirement: Requirement) {
    let mut world = world(11);
    world.begin(Fault::IsolateLeaderSite);
    world.run(1_500);
    world.write(1, 0);
    world.run(200);
    world.read(0, 0, requirement);
    world.read(2, 0, requirement);
    world.run(200);
    world.end_all();
    world.read(0, 0, requirement);
    world.run(2_000);
    assert!(world.oracle.reads > 0);
    finish(&mut world);
}

// Test of the oracle: with acknowledgement by the primary alone, a promotion loses
// acknowledged writes, and the oracle must report it.
#[test]
fn the_oracle_detects_writes_acknowledged_too_early() {
    let mut world = World::new(12, 3, Acknowledge::Primary);
    world.begin(Fault::ReplicationLimit(0));
    world.traffic(500);
    world.begin(Fault::DownLeader);
    world.run(2_000);
    world.settle();
    let lost = |v: &Violation| matches!(v, Violation::Lost(_));
    assert!(world.oracle.violations.iter().any(lost));
}
