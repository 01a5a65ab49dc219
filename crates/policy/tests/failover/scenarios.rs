//! Changes of primary under one fault, or two at once. Each story's callers are judged by
//! the oracle once the faults have ended.

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
fn newest(world: &World) -> Term {
    let leader = &world.instances[world.leader()];
    leader.term
}

/// Ends every fault and checks that callers were told the truth and are served again.
fn finish(world: &mut World) {
    world.settle();
    assert_eq!(world.oracle.violations, []);
}

fn decided(world: &World, wanted: impl Fn(&What) -> bool) -> usize {
    let all = world.proxies.iter().flat_map(|p| &p.decisions);
    all.filter(|d| wanted(&d.what)).count()
}

/// Lets time pass until a proxy's attempt has reached a stage, and names the proxy.
fn until(world: &mut World, stage: impl Fn(&Step) -> bool) -> usize {
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

// A user files a record while the primary's server dies. The write certainly did not run,
// so it waits; the replicas say that they do not hear the primary either; one of them is
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
    assert!(newest(&world) > Term(1));
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

// Users notice a short hiccup at most. The primary stalls for 300 ms, or one connection
// goes silent, or one data centre is cut off from it; replacing it would interrupt every
// writer for longer than the fault does.
#[test_case(Fault::FreezeLeader, 300; "a stall of 300 ms")]
#[test_case(Fault::Partition(0, 2), 5_000; "one data centre does not reach the primary")]
#[test_case(Fault::IsolateSite(1), 5_000; "a replica's data centre is cut off")]
#[test_case(Fault::Loss(10), 5_000; "a tenth of all messages is lost")]
#[test_case(Fault::StoreDown, 5_000; "the store is down")]
fn a_live_primary_stays(fault: Fault, ms: u64) {
    let mut world = world(2);
    world.begin(fault);
    world.run(ms);
    world.end_all();
    world.traffic(1_000);
    assert_eq!(newest(&world), Term(1));
    assert_eq!(decided(&world, |w| matches!(w, What::Replace(..))), 0);
    finish(&mut world);
}

// The primary's process crashes: connections are refused. It is replaced in half the time
// that a silent one gets, since a stall does not look like this.
#[test]
fn a_crashed_primary_is_replaced_sooner() {
    let mut world = world(13);
    world.begin(Fault::DownLeader);
    world.run(420);
    assert!(newest(&world) > Term(1));
    finish(&mut world);
}

// An operator takes the primary out of service. Another instance leads within the three
// seconds in which it must get no new work, and nothing acknowledged is lost.
#[test]
fn a_leaving_primary_hands_over() {
    let mut world = world(14);
    world.begin(Fault::Leaving(0));
    world.traffic(1_500);
    assert_ne!(world.leader(), 0);
    let refused = world.oracle.callers.outcomes.rejected;
    assert_eq!(refused, 0);
    finish(&mut world);
}

// A broker's data centre does not reach the primary while the others do. Its writes go
// through a proxy that reaches it, and nothing is promoted.
#[test]
fn writes_go_through_a_peer_that_reaches_the_primary() {
    let mut world = world(3);
    world.begin(Fault::Partition(0, 2));
    world.run(1_500);
    assert!(decided(&world, |w| matches!(w, What::Forward(_))) > 0);
    assert_eq!(newest(&world), Term(1));
    finish(&mut world);
}

// The primary's data centre is cut off together with a proxy that still routes writes to
// it. Users of that proxy get no acknowledgement from then on, since no majority confirms;
// users elsewhere write to the new primary. On healing the old one follows, and its tail
// of unconfirmed records is reported.
#[test]
fn an_isolated_primary_acknowledges_nothing_and_then_follows() {
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

// The primary reaches none of its replicas, but the proxies beside it reach the primary and
// go on sending it writes. None of these can be acknowledged, so it is replaced as soon
// as one that nobody reaches; users of those proxies write to the new one as well.
#[test]
fn a_primary_that_only_its_own_proxies_reach_is_replaced() {
    let mut world = world(15);
    world.begin(Fault::IsolateLeaderInstance);
    world.write(0, 0);
    world.run(800);
    assert!(newest(&world) > Term(1));
    let acked = world.oracle.acknowledged.len();
    world.write(0, 1);
    world.run(300);
    assert_eq!(world.oracle.acknowledged.len(), acked + 1);
    finish(&mut world);
}

// The coordinating proxy dies or is paused right after a step, while a primary is gone.
// Another one claims the next term and finishes; when the paused one goes on where it
// stopped, its orders are of an older term and change nothing.
#[test_case(|s| matches!(s, Step::Claiming), Fault::Kill; "killed while claiming")]
#[test_case(|s| matches!(s, Step::Fencing), Fault::Kill; "killed after the claim")]
#[test_case(|s| matches!(s, Step::Promoting(_)), Fault::Kill; "killed after the fence")]
#[test_case(|s| matches!(s, Step::Publishing(_)), Fault::Kill; "killed after the promotion")]
#[test_case(|s| matches!(s, Step::Claiming), Fault::Pause; "paused while claiming")]
#[test_case(|s| matches!(s, Step::Fencing), Fault::Pause; "paused after the claim")]
#[test_case(|s| matches!(s, Step::Promoting(_)), Fault::Pause; "paused after the fence")]
#[test_case(|s| matches!(s, Step::Publishing(_)), Fault::Pause; "paused after the promotion")]
fn another_proxy_finishes(stage: fn(&Step) -> bool, fault: fn(usize) -> Fault) {
    let mut world = world(5);
    world.begin(Fault::FreezeLeader);
    let at = until(&mut world, stage);
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

// Two proxies believe at the same moment that it is theirs to coordinate, as each sees
// only itself alive. One of them wins the term, and callers see one change of primary.
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

// Every other answer of the store is lost although the change took effect. The claim is
// settled by reading back the nonce, and no term is claimed twice.
#[test_case(50; "half of the answers")]
#[test_case(90; "nearly all answers")]
fn lost_answers_of_the_store_are_read_back(percent: u32) {
    let mut world = world(7);
    world.begin(Fault::LoseReplies(percent));
    world.begin(Fault::FreezeLeader);
    world.run(8_000);
    assert!(newest(&world) > Term(1));
    let claims = &world.store.claims;
    assert!(claims.windows(2).all(|w| w[0] < w[1]));
    finish(&mut world);
}

// The store is down when the primary dies. Nobody can be promoted; users are told at once
// that their writes did not run, and once the store is back a primary is promoted.
#[test]
fn without_the_store_a_promotion_waits() {
    let mut world = world(8);
    world.begin(Fault::StoreDown);
    world.begin(Fault::FreezeLeader);
    world.run(2_000);
    let refused = world.oracle.callers.outcomes.rejected;
    world.write(1, 0);
    world.run(3_500);
    assert_eq!(world.oracle.callers.outcomes.rejected, refused + 1);
    assert_eq!(newest(&world), Term(1));
    world.end_oldest();
    world.run(1_500);
    assert!(newest(&world) > Term(1));
    finish(&mut world);
}

// A second instance is lost while the first promotion is under way. No majority is left:
// writes are refused at once as not run, reads by age go on, and nothing is lost when one
// of the two returns.
#[test]
fn a_second_loss_during_the_promotion_refuses_writes_at_once() {
    let mut world = world(9);
    world.begin(Fault::FreezeLeader);
    until(&mut world, |s| matches!(s, Step::Fencing));
    world.begin(Fault::Freeze(1));
    world.run(3_000);
    let (refused, acked) = (
        world.oracle.callers.outcomes.rejected,
        world.oracle.acknowledged.len(),
    );
    world.write(2, 0);
    world.run(10);
    assert_eq!(world.oracle.callers.outcomes.rejected, refused + 1);
    assert_eq!(world.oracle.acknowledged.len(), acked);
    world.end_oldest();
    world.run(3_000);
    finish(&mut world);
}

// The replicas are far behind when the primary dies. What was acknowledged is on one of
// them at least, and that one is chosen, however far the others are.
#[test]
fn far_behind_replicas_lose_nothing_acknowledged() {
    let mut world = world(10);
    world.begin(Fault::ReplicationLimit(1));
    world.traffic(1_000);
    world.begin(Fault::DownLeader);
    world.run(2_000);
    finish(&mut world);
}

// A clerk writes through one proxy and reads through another that has not heard of the
// change of primary yet. The read shows the write, or waits, with and without the token.
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

// The oracle itself: with acknowledgement by the primary alone a promotion loses writes
// that users were told are safe, and the oracle must say so.
#[test]
fn the_oracle_notices_writes_acknowledged_too_early() {
    let mut world = World::new(12, 3, Acknowledge::Primary);
    world.begin(Fault::ReplicationLimit(0));
    world.traffic(500);
    world.begin(Fault::DownLeader);
    world.run(2_000);
    world.settle();
    let lost = |v: &Violation| matches!(v, Violation::Lost(_));
    assert!(world.oracle.violations.iter().any(lost));
}
