//! Membership and configuration under partitions, message loss, pauses, crashes and store
//! outages.

mod world;

use model::position::Revision;
use model::unit::Span;
use policy::config_mirror::Delta;
use policy::membership::delegate;
use policy::membership::table::State;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use world::World;

const DATA_CENTRES: usize = 3;
const FIRST_PROXIES: usize = 6;
const SEED: u64 = 2_026;

/// Time within which all proxies must agree again after all faults have ended.
const SETTLE_TIME: Span = Span::from_millis(150_000);

#[derive(Clone, Debug)]
enum Step {
    Apply,
    Partition(usize, usize),
    LoseStore(usize),
    Heal,
    Loss(u32),
    Kill(usize),
    Start(usize),
    Pause(usize, u64),
    /// A long delayed record arrives at a proxy.
    DelayedRecord(usize, u64),
    Run(u64),
}

/// The oracle knows which proxies run and which revision was applied last.
#[derive(Clone, Debug)]
struct Oracle {
    running: Vec<usize>,
    started: usize,
    revision: u64,
}

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        let running = (0..FIRST_PROXIES).collect();
        Just(Self {
            running,
            started: FIRST_PROXIES,
            revision: 1,
        })
        .boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let running = prop::sample::select(state.running.clone());
        let old = 1..=state.revision;
        prop_oneof![
            3 => Just(Step::Apply),
            2 => (0..DATA_CENTRES, 0..DATA_CENTRES)
                .prop_map(|(a, b)| Step::Partition(a.min(b), a.max(b))),
            1 => (0..DATA_CENTRES).prop_map(Step::LoseStore),
            2 => Just(Step::Heal),
            1 => (0_u32..30).prop_map(Step::Loss),
            1 => running.clone().prop_map(Step::Kill),
            1 => (0..DATA_CENTRES).prop_map(Step::Start),
            1 => (running.clone(), 500_u64..12_000).prop_map(|(p, ms)| Step::Pause(p, ms)),
            2 => (running, old).prop_map(|(p, r)| Step::DelayedRecord(p, r)),
            6 => (100_u64..20_000).prop_map(Step::Run),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match step {
            Step::Kill(p) => state.running.len() > 3 && state.running.contains(p),
            Step::Start(_) => state.started < 12,
            Step::Pause(p, _) | Step::DelayedRecord(p, _) => state.running.contains(p),
            Step::Partition(a, b) => a != b,
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Apply => state.revision += 1,
            Step::Kill(p) => state.running.retain(|known| known != p),
            Step::Start(_) => {
                state.running.push(state.started);
                state.started += 1;
            }
            _ => {}
        }
        state
    }
}

struct FleetTest {
    world: World,
    /// Highest revision that each proxy has had in force.
    highest: Vec<Revision>,
}

impl StateMachineTest for FleetTest {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(state: &Oracle) -> Self {
        let mut world = World::new(SEED);
        for index in 0..state.started {
            world.start(index % DATA_CENTRES);
        }
        world.run(Span::from_millis(5_000));
        Self {
            world,
            highest: Vec::new(),
        }
    }

    fn apply(mut sut: Self, _: &Oracle, step: Step) -> Self {
        let world = &mut sut.world;
        match step {
            Step::Apply => world.apply(),
            Step::Partition(a, b) => drop(world.partitions.insert((a, b))),
            Step::LoseStore(data_centre) => drop(world.without_store.insert(data_centre)),
            Step::Heal => heal(world),
            Step::Loss(percent) => world.loss_percent = percent,
            Step::Kill(p) => world.proxies[p].alive = false,
            Step::Start(data_centre) => drop(world.start(data_centre)),
            Step::Pause(p, ms) => {
                world.proxies[p].paused_until = world.now + Span::from_millis(ms);
            }
            Step::DelayedRecord(p, revision) => {
                let delta = Delta {
                    after: Revision(revision - 1),
                    records: vec![world::head(revision)],
                    complete: Revision(revision),
                    more: false,
                };
                drop(world.proxies[p].mirror.merge(delta));
            }
            Step::Run(ms) => world.run(Span::from_millis(ms)),
        }
        sut.check_no_revert();
        sut
    }

    fn check_invariants(sut: &Self, state: &Oracle) {
        for proxy in sut.world.running() {
            let current = proxy.mirror.current();
            let revision = current.map(|c| c.revision.0).unwrap_or_default();
            assert!(
                revision <= state.revision,
                "revision {revision} was never applied"
            );
            let queue = current.map(|c| u64::from(c.fleet.defaults.queue));
            assert!(
                queue.is_none_or(|q| q == revision),
                "configuration mixes revisions"
            );
        }
    }

    fn teardown(mut sut: Self, state: Oracle) {
        heal(&mut sut.world);
        sut.world.run(SETTLE_TIME);
        sut.check_no_revert();
        check_settled(&sut.world, Revision(state.revision));
    }
}

impl FleetTest {
    fn check_no_revert(&mut self) {
        self.highest.resize(self.world.proxies.len(), Revision(0));
        for (proxy, highest) in self.world.proxies.iter().zip(&mut self.highest) {
            let current = proxy.mirror.current().map(|c| c.revision);
            let current = current.unwrap_or_default();
            assert!(current >= *highest, "reverted from {highest} to {current}");
            *highest = current;
        }
    }
}

fn heal(world: &mut World) {
    world.partitions.clear();
    world.without_store.clear();
    world.loss_percent = 0;
}

/// Checks that every running proxy has the newest configuration and knows exactly the running
/// proxies, and that one proxy of each data centre watches the store.
fn check_settled(world: &World, revision: Revision) {
    let mut running: Vec<_> = world
        .running()
        .map(|p| p.membership.me().id.clone())
        .collect();
    running.sort();
    for proxy in world.running() {
        let me = &proxy.membership.me().id;
        let current = proxy.mirror.current().map(|c| c.revision);
        assert_eq!(
            current,
            Some(revision),
            "{me} does not have the newest revision"
        );
        let table = proxy.membership.table();
        let live = table.iter().filter(|e| e.info.state == State::Live);
        let mut live: Vec<_> = live.map(|e| e.info.id.clone()).collect();
        live.sort();
        assert_eq!(
            live, running,
            "{me} knows other proxies than the running ones"
        );
    }
    for data_centre in 0..DATA_CENTRES {
        let local: Vec<_> = world
            .running()
            .filter(|p| p.data_centre == data_centre)
            .collect();
        let watching = local.iter().filter(|p| p.membership.watching()).count();
        assert_eq!(
            watching,
            local.len().min(1),
            "watches in data centre {data_centre}"
        );
    }
}

fn config() -> Config {
    let cases = std::env::var("POMELO_FUZZ_CASES").ok();
    Config {
        cases: cases.and_then(|n| n.parse().ok()).unwrap_or(24),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// With any partitions, losses, pauses and crashes, no proxy reverts to an older
    /// configuration, and after all faults have ended they agree.
    #[test]
    fn proxies_agree_after_all_faults_end(sequential 1..25 => FleetTest);
}

fn fleet(proxies: usize) -> World {
    let mut world = World::new(SEED);
    for index in 0..proxies {
        world.start(index % DATA_CENTRES);
    }
    world.run(Span::from_millis(10_000));
    world
}

/// The proxy that watches the store for its data centre fails. Later changes would not reach the
/// data centre unless the next in rank watches instead.
#[test]
fn the_next_in_rank_becomes_store_watcher() {
    let mut world = fleet(9);
    let failed = world.proxies.iter().position(|p| p.membership.watching());
    let failed = failed.expect("a proxy watches the store");
    let data_centre = world.proxies[failed].data_centre;
    world.proxies[failed].alive = false;
    world.apply();
    world.run(Span::from_millis(8_000));
    let next = world.running().filter(|p| p.data_centre == data_centre);
    assert_eq!(next.filter(|p| p.membership.watching()).count(), 1);
    for proxy in world.running() {
        let current = proxy.mirror.current().map(|c| c.revision);
        assert_eq!(current, Some(world.head.revision));
    }
}

/// A VM is paused for eight seconds and resumes without noticing it. The others have declared
/// its proxy gone and taken over its connection share and its watch. It must become live again.
#[test]
fn a_paused_proxy_refutes_that_it_is_gone() {
    let mut world = fleet(9);
    world.proxies[4].paused_until = world.now + Span::from_millis(8_000);
    world.run(Span::from_millis(7_000));
    let id = world.proxies[4].membership.me().id.clone();
    let state = |world: &World| {
        world.proxies[1]
            .membership
            .table()
            .get(&id)
            .map(|e| e.info.state)
    };
    assert_eq!(state(&world), Some(State::Gone));
    world.run(Span::from_millis(40_000));
    assert_eq!(state(&world), Some(State::Live));
}

/// A data centre is partitioned from the others and from the store for half a minute. Both sides
/// keep each other's proxies as live. It receives the change through its links as soon as they
/// work again, although the store remains unreachable.
#[test]
fn a_partitioned_data_centre_catches_up_through_peers() {
    let mut world = fleet(9);
    world.partitions.extend([(0, 2), (1, 2)]);
    world.without_store.insert(2);
    world.apply();
    world.run(Span::from_millis(30_000));
    let behind = world.running().filter(|p| p.data_centre == 2);
    assert!(
        behind
            .into_iter()
            .all(|p| p.mirror.current().unwrap().revision < world.head.revision)
    );
    let states = world.running().flat_map(|p| p.membership.table().iter());
    assert!(
        states
            .into_iter()
            .all(|entry| entry.info.state == State::Live)
    );
    world.partitions.clear();
    world.run(Span::from_millis(5_000));
    for proxy in world.running() {
        let current = proxy.mirror.current().map(|c| c.revision);
        assert_eq!(current, Some(world.head.revision));
    }
}

/// A proxy starts while the store is unreachable everywhere: it fetches the records from a peer.
#[test]
fn a_proxy_that_starts_during_an_outage_fetches_from_a_peer() {
    let mut world = fleet(6);
    world.without_store.extend(0..DATA_CENTRES);
    let new = world.start(0);
    world.run(Span::from_millis(1_000));
    let current = world.proxies[new].mirror.current().map(|c| c.revision);
    assert_eq!(current, Some(world.head.revision));
}

/// 24 data centres with 4 proxies each: one watch per data centre, few links per proxy.
#[test]
fn watches_and_links_grow_with_data_centres() {
    let mut world = World::new(SEED);
    for index in 0..96 {
        world.start(index % 24);
    }
    world.run(Span::from_millis(60_000));
    assert_eq!(
        world.running().filter(|p| p.membership.watching()).count(),
        24
    );
    for proxy in world.running() {
        let me = proxy.membership.me();
        let links = delegate::links(proxy.membership.table(), &me.data_centre, &me.id);
        assert!(links.len() <= 3, "{links:?}");
    }
}
