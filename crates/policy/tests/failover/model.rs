//! Random faults against the controllers of [`PROXIES`] proxies. The outcomes that callers
//! get are checked: no acknowledged write is lost, no replaced primary acknowledges a write,
//! only one primary acknowledges writes in each term, every session reads its own writes,
//! and the fleet serves requests again once the faults end.

use model::settings::Acknowledge;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::fake::caller::Requirement;
use crate::fake::fault::Fault;
use crate::fake::{self, World};

const CASES: u32 = 48;
const PROXIES: usize = 4;

/// Largest number of simultaneous faults.
const MAX_CONCURRENT_FAULTS: usize = 2;

/// One transition of the state machine.
#[derive(Clone, Debug)]
enum Op {
    /// Callers write and read for this many milliseconds.
    Traffic(u64),
    /// A single request.
    Write(usize, usize),
    Read(usize, usize, Requirement),
    /// A fault begins.
    Begin(Fault),
    /// The oldest fault ends.
    End,
}

fn requirement() -> impl Strategy<Value = Requirement> {
    prop_oneof![
        Just(Requirement::Token),
        Just(Requirement::Unstated),
        prop_oneof![Just(50), Just(500), Just(3_000)].prop_map(Requirement::MaxAge),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    let site = 0..fake::SITES;
    prop_oneof![
        3 => prop_oneof![
            Just(Fault::DownLeader),
            Just(Fault::FreezeLeader),
            Just(Fault::IsolateLeaderSite),
            Just(Fault::IsolateLeaderInstance),
        ],
        2 => prop_oneof![
            site.clone().prop_map(Fault::Down),
            site.clone().prop_map(Fault::Freeze),
            site.clone().prop_map(Fault::IsolateSite),
            (0..2_usize, 1..3_usize).prop_map(|(a, d)| Fault::Partition(a, (a + d).min(2))),
        ],
        2 => prop_oneof![
            (0..PROXIES).prop_map(Fault::Pause),
            (0..PROXIES).prop_map(Fault::Kill),
            (0..PROXIES).prop_map(Fault::SeesNoPeers),
        ],
        1 => site.prop_map(Fault::Leaving),
        2 => prop_oneof![
            Just(Fault::StoreDown),
            (10..100_u32).prop_map(Fault::LoseReplies),
        ],
        2 => prop_oneof![
            (5..30_u32).prop_map(Fault::Loss),
            (10..150_u64).prop_map(Fault::Jitter),
            (0..2_u64).prop_map(Fault::ReplicationLimit),
        ],
    ]
}

/// Transitions that the state allows, so that few generated ones are rejected.
fn op(faults: usize) -> impl Strategy<Value = Op> {
    let proxy = 0..PROXIES;
    let session = 0..3_usize;
    let begin = if faults < MAX_CONCURRENT_FAULTS { 3 } else { 0 };
    let end = if faults > 0 { 2 } else { 0 };
    prop_oneof![
        4 => prop_oneof![2..60_u64, 100..700_u64, 700..2_000_u64].prop_map(Op::Traffic),
        2 => (proxy.clone(), session.clone()).prop_map(|(p, s)| Op::Write(p, s)),
        2 => (proxy, session, requirement()).prop_map(|(p, s, m)| Op::Read(p, s, m)),
        begin => fault().prop_map(Op::Begin),
        end => Just(Op::End),
    ]
}

/// Seed of the world and the number of active faults.
#[derive(Clone, Copy, Debug)]
struct Model {
    seed: u64,
    faults: usize,
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<Self> {
        let seed = any::<u64>();
        seed.prop_map(|seed| Self { seed, faults: 0 }).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Op> {
        op(state.faults).boxed()
    }

    fn apply(mut state: Self, op: &Op) -> Self {
        match op {
            Op::Begin(_) => state.faults += 1,
            Op::End => state.faults = state.faults.saturating_sub(1),
            Op::Traffic(_) | Op::Write(..) | Op::Read(..) => {}
        }
        state
    }

    fn preconditions(state: &Self, op: &Op) -> bool {
        match op {
            Op::Begin(_) => state.faults < MAX_CONCURRENT_FAULTS,
            Op::End => state.faults > 0,
            Op::Traffic(_) | Op::Write(..) | Op::Read(..) => true,
        }
    }
}

struct Controllers;

impl StateMachineTest for Controllers {
    type SystemUnderTest = World;
    type Reference = Model;

    fn init_test(model: &Model) -> World {
        World::new(model.seed, PROXIES, Acknowledge::Majority)
    }

    fn apply(mut world: World, _: &Model, op: Op) -> World {
        match op {
            Op::Traffic(ms) => world.traffic(ms),
            Op::Write(proxy, session) => {
                world.write(proxy, session);
            }
            Op::Read(proxy, session, requirement) => world.read(proxy, session, requirement),
            Op::Begin(fault) => world.begin(fault),
            Op::End => world.end_oldest(),
        }
        world
    }

    fn check_invariants(world: &World, _: &Model) {
        assert_eq!(world.oracle.violations, []);
        let claims = &world.store.claims;
        assert!(claims.windows(2).all(|w| w[0] < w[1]), "terms {claims:?}");
    }

    fn teardown(mut world: World, _: Model) {
        world.settle();
        assert_eq!(world.oracle.violations, []);
    }
}

fn config() -> Config {
    let cases = std::env::var("POMELO_FUZZ_CASES").ok();
    let seed = std::env::var("POMELO_FUZZ_SEED").ok();
    Config {
        cases: cases.and_then(|c| c.parse().ok()).unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(seed.and_then(|s| s.parse().ok()).unwrap_or(4)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn callers_get_correct_outcomes(sequential 1..60 => Controllers);
}
