//! Lending a backend server's connections: never above the limit and never below the floor,
//! with messages lost, delayed or duplicated, and proxies paused, restarted or partitioned.

mod world;

use model::unit::Span;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use test_case::test_case;
use world::{PROXIES, World};

/// One step of the environment.
#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Request(usize),
    Deliver(usize),
    DeliverAll,
    Duplicate(usize),
    Lose(usize),
    Rounds(usize),
    DelayedRound(u64),
    Renew(usize),
    StoreReceives(usize),
    Confirm(usize),
    StoreDown(bool),
    SetLender(usize, usize),
    Disagree(u16, usize, usize),
    Partition(u16),
    Heal,
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Want(usize, u32),
    Busy(usize, u32),
}

struct StepMachine;

impl ReferenceStateMachine for StepMachine {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let proxy = 0..PROXIES;
        let message = 0..64_usize;
        prop_oneof![
            6 => (1..900_u64).prop_map(Step::Advance),
            4 => proxy.clone().prop_map(Step::Request),
            4 => message.clone().prop_map(Step::Deliver),
            2 => Just(Step::DeliverAll),
            2 => message.clone().prop_map(Step::Duplicate),
            2 => message.clone().prop_map(Step::Lose),
            10 => (1..9_usize).prop_map(Step::Rounds),
            6 => any::<u64>().prop_map(Step::DelayedRound),
            4 => proxy.clone().prop_map(Step::Renew),
            4 => message.clone().prop_map(Step::StoreReceives),
            4 => message.clone().prop_map(Step::Confirm),
            1 => any::<bool>().prop_map(Step::StoreDown),
            2 => (proxy.clone(), proxy.clone()).prop_map(|(p, l)| Step::SetLender(p, l)),
            4 => (any::<u16>(), proxy.clone(), proxy.clone())
                .prop_map(|(sides, a, b)| Step::Disagree(sides, a, b)),
            1 => any::<u16>().prop_map(Step::Partition),
            3 => Just(Step::Heal),
            2 => proxy.clone().prop_map(Step::Restart),
            2 => proxy.clone().prop_map(Step::Pause),
            2 => proxy.clone().prop_map(Step::Resume),
            4 => (proxy.clone(), 0..20_u32).prop_map(|(p, n)| Step::Busy(p, n)),
            6 => (proxy, prop_oneof![Just(0), Just(20), 0..20_u32])
                .prop_map(|(p, n)| Step::Want(p, n)),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct LendingTest;

impl StateMachineTest for LendingTest {
    type SystemUnderTest = World;
    type Reference = StepMachine;

    fn init_test((): &()) -> World {
        World::settled()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        match step {
            Step::Advance(ms) => world.advance(ms),
            Step::Request(proxy) => world.request(proxy),
            Step::Deliver(index) => world.deliver(index),
            Step::DeliverAll => world.deliver_all(),
            Step::Duplicate(index) => world.duplicate(index),
            Step::Lose(index) => world.lose(index),
            Step::Rounds(n) => world.rounds(n),
            Step::Renew(proxy) => world.renew(proxy),
            Step::StoreReceives(index) => world.store_receives(index),
            Step::Confirm(index) => world.confirm(index),
            Step::StoreDown(down) => world.set_store_down(down),
            Step::DelayedRound(delayed) => world.round_with_delays(delayed),
            Step::SetLender(proxy, lender) => world.set_lender(proxy, lender),
            Step::Disagree(sides, a, b) => world.disagree(sides, a, b),
            Step::Partition(mask) => world.partition(mask),
            Step::Heal => world.partition(0),
            Step::Restart(proxy) => world.restart(proxy),
            Step::Pause(proxy) => world.pause(proxy),
            Step::Resume(proxy) => world.resume(proxy),
            Step::Want(proxy, n) => world.want(proxy, n),
            Step::Busy(proxy, n) => world.set_busy(proxy, n),
        }
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.check();
    }
}

fn cases() -> u32 {
    let cases = std::env::var("POMELO_FUZZ_CASES").ok();
    cases.and_then(|n| n.parse().ok()).unwrap_or(200)
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn never_above_the_limit(sequential 1..150 => LendingTest);
}

// One proxy has all the demand while the others are idle. It gets the whole pool in addition to
// its floor.
#[test]
fn demand_gets_the_pool() {
    let mut world = World::settled();
    world.want(3, 20);
    world.rounds(4);
    assert_eq!(
        world.allowed(3),
        world.terms().floor() + world.terms().pool()
    );
}

// Two proxies want all connections. They end up with equal parts, although one of them held the
// whole pool before.
#[test]
fn competing_demand_is_shared() {
    let mut world = World::settled();
    world.want(3, 20);
    world.rounds(4);
    world.want(5, 20);
    world.set_busy(3, 2);
    world.rounds(8);
    let (a, b) = (world.allowed(3), world.allowed(5));
    assert!(a.abs_diff(b) <= 1, "{a} and {b}");
}

// The lender fails. Borrowers switch to the next one and keep their loans throughout, although
// it may lend nothing new for a while.
#[test]
fn loans_survive_the_lender() {
    let mut world = World::settled();
    world.want(3, 20);
    world.rounds(4);
    let before = world.allowed(3);
    world.restart(0);
    (0..PROXIES).for_each(|p| world.set_lender(p, 1));
    for _ in 0..40 {
        world.advance(100);
        world.round();
        assert_eq!(world.allowed(3), before);
    }
}

// A proxy is partitioned from the lender. It falls back to its floor, not below it, and gets its
// part again after the partition.
#[test]
fn floor_holds_in_a_partition() {
    let mut world = World::settled();
    world.want(3, 20);
    world.rounds(4);
    world.partition(0b1000);
    world.rounds(10);
    assert_eq!(world.allowed(3), world.terms().floor());
    world.partition(0);
    world.rounds(4);
    assert!(world.allowed(3) > world.terms().floor());
}

// The store's response to a lease renewal reaches the lender late: the lease has expired since,
// and another proxy holds the key and lends the pool. The late response must not renew the
// first one's authority, because the lease counts from when the renewal was sent.
#[test]
fn late_renewal_gives_no_authority() {
    let mut world = World::settled();
    world.renew(0);
    world.store_receives(0);
    for proxy in 0..PROXIES {
        world.set_lender(proxy, 1);
    }
    world.want(5, 20);
    for _ in 0..60 {
        world.advance(100);
        world.round_without_confirmation(0);
    }
    assert!(world.allowed(5) > world.terms().floor());
    world.confirm(0);
    world.set_lender(3, 0);
    world.want(3, 20);
    for _ in 0..40 {
        world.request(3);
        world.deliver_all();
        world.check();
        world.advance(100);
    }
}

// The lender reduces a loan and the response is lost. Until its next request the borrower still
// holds the old loan, so no other proxy may get the difference.
#[test]
fn lost_response_frees_nothing() {
    let mut world = World::settled();
    world.want(3, 20);
    world.rounds(4);
    world.set_busy(3, 0);
    world.want(5, 20);
    world.request(5);
    world.deliver_all();
    world.request(3);
    world.deliver(0);
    world.lose(0);
    world.request(5);
    world.deliver_all();
    world.advance(1);
    world.check();
}

// The store is unreachable for a minute. Loans expire, and every proxy keeps its floor. Once the
// store is reachable again, demand gets its connections again.
#[test]
fn floors_hold_while_the_store_is_unreachable() {
    let mut world = World::settled();
    world.want(3, 20);
    world.rounds(4);
    world.set_store_down(true);
    world.rounds(120);
    assert_eq!(world.allowed(3), world.terms().floor());
    world.set_store_down(false);
    world.rounds(10);
    assert!(world.allowed(3) > world.terms().floor());
}

// A proxy's request to a new lender is delayed. Meanwhile its old loan expires, and the old
// lender, which still has the authority, lends the same connections to another proxy. When the
// new lender takes over and the late request arrives, it must not confirm the expired loan.
#[test]
fn late_request_confirms_no_expired_loan() {
    let mut world = World::settled();
    world.want(3, 20);
    world.rounds(4);
    let others = |world: &mut World| {
        world.renew_all();
        [0, 1, 2, 4, 5, 6]
            .into_iter()
            .for_each(|p| world.request(p));
        world.deliver_all();
    };
    let run = |world: &mut World, steps: usize| {
        for _ in 0..steps {
            world.advance(100);
            others(world);
        }
    };
    world.set_lender(3, 1);
    run(&mut world, 16);
    world.request(3);
    world.deliver_all();
    run(&mut world, 10);
    world.request(3);
    world.delay_all();
    world.want(5, 20);
    run(&mut world, 5);
    assert!(world.allowed(5) > world.terms().floor());
    (0..PROXIES).for_each(|p| world.set_lender(p, 1));
    run(&mut world, 21);
    world.deliver_delayed();
    world.check();
}

#[test_case(20, 9 => (1, 11); "small server")]
#[test_case(35, 9 => (1, 26); "larger server")]
#[test_case(20, 3 => (3, 11); "few proxies")]
#[test_case(5, 9 => (0, 5); "fewer connections than proxies")]
fn floor_and_pool(connections: u32, proxies: u32) -> (u32, u32) {
    let terms = policy::share::Terms {
        connections,
        proxies,
        loan: Span::from_millis(3_000),
    };
    (terms.floor(), terms.pool())
}
