//! Membership and configuration under cuts, losses, pauses, deaths and store outages.

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

const SITES: usize = 3;
const FIRST: usize = 6;
const SEED: u64 = 2_026;

/// Time within which everything must agree again once nothing is wrong any more.
const SETTLE: Span = Span::from_millis(150_000);

#[derive(Clone, Debug)]
enum Step {
    Apply,
    Cut(usize, usize),
    Storeless(usize),
    Heal,
    Loss(u32),
    Kill(usize),
    Start(usize),
    Pause(usize, u64),
    /// A value that was delayed for long arrives at a proxy.
    Late(usize, u64),
    Run(u64),
}

/// The oracle knows how many proxies run and which revision was accepted last.
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
        let running = (0..FIRST).collect();
        Just(Self {
            running,
            started: FIRST,
            revision: 1,
        })
        .boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let running = prop::sample::select(state.running.clone());
        let old = 1..=state.revision;
        prop_oneof![
            3 => Just(Step::Apply),
            2 => (0..SITES, 0..SITES).prop_map(|(a, b)| Step::Cut(a.min(b), a.max(b))),
            1 => (0..SITES).prop_map(Step::Storeless),
            2 => Just(Step::Heal),
            1 => (0_u32..30).prop_map(Step::Loss),
            1 => running.clone().prop_map(Step::Kill),
            1 => (0..SITES).prop_map(Step::Start),
            1 => (running.clone(), 500_u64..12_000).prop_map(|(p, ms)| Step::Pause(p, ms)),
            2 => (running, old).prop_map(|(p, r)| Step::Late(p, r)),
            6 => (100_u64..20_000).prop_map(Step::Run),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match step {
            Step::Kill(p) => state.running.len() > 3 && state.running.contains(p),
            Step::Start(_) => state.started < 12,
            Step::Pause(p, _) | Step::Late(p, _) => state.running.contains(p),
            Step::Cut(a, b) => a != b,
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

struct Sut {
    world: World,
    /// Highest revision that each proxy has had in force.
    seen: Vec<Revision>,
}

impl StateMachineTest for Sut {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(state: &Oracle) -> Self {
        let mut world = World::new(SEED);
        for at in 0..state.started {
            world.start(at % SITES);
        }
        world.run(Span::from_millis(5_000));
        Self {
            world,
            seen: Vec::new(),
        }
    }

    fn apply(mut sut: Self, _: &Oracle, step: Step) -> Self {
        let world = &mut sut.world;
        match step {
            Step::Apply => world.apply(),
            Step::Cut(a, b) => drop(world.cuts.insert((a, b))),
            Step::Storeless(site) => drop(world.storeless.insert(site)),
            Step::Heal => heal(world),
            Step::Loss(percent) => world.loss = percent,
            Step::Kill(p) => world.proxies[p].alive = false,
            Step::Start(site) => drop(world.start(site)),
            Step::Pause(p, ms) => {
                world.proxies[p].paused_until = world.now + Span::from_millis(ms);
            }
            Step::Late(p, revision) => {
                let delta = Delta {
                    after: Revision(revision - 1),
                    records: vec![world::head(revision)],
                    complete: Revision(revision),
                    more: false,
                };
                drop(world.proxies[p].adopter.merge(delta));
            }
            Step::Run(ms) => world.run(Span::from_millis(ms)),
        }
        sut.never_back();
        sut
    }

    fn check_invariants(sut: &Self, state: &Oracle) {
        for proxy in sut.world.running() {
            let current = proxy.adopter.current();
            let revision = current.map(|c| c.revision.0).unwrap_or_default();
            assert!(revision <= state.revision, "nobody accepted {revision}");
            let queue = current.map(|c| u64::from(c.fleet.defaults.queue));
            assert!(queue.is_none_or(|q| q == revision), "torn configuration");
        }
    }

    fn teardown(mut sut: Self, state: Oracle) {
        heal(&mut sut.world);
        sut.world.run(SETTLE);
        sut.never_back();
        settled(&sut.world, Revision(state.revision));
    }
}

impl Sut {
    fn never_back(&mut self) {
        self.seen.resize(self.world.proxies.len(), Revision(0));
        for (proxy, seen) in self.world.proxies.iter().zip(&mut self.seen) {
            let current = proxy.adopter.current().map(|c| c.revision);
            let current = current.unwrap_or_default();
            assert!(current >= *seen, "went back from {seen} to {current}");
            *seen = current;
        }
    }
}

fn heal(world: &mut World) {
    world.cuts.clear();
    world.storeless.clear();
    world.loss = 0;
}

/// Every running proxy has the newest configuration, knows exactly the running proxies,
/// and one of each data centre watches the store.
fn settled(world: &World, revision: Revision) {
    let mut running: Vec<_> = world.running().map(|p| p.member.me().id.clone()).collect();
    running.sort();
    for proxy in world.running() {
        let me = &proxy.member.me().id;
        let current = proxy.adopter.current().map(|c| c.revision);
        assert_eq!(current, Some(revision), "{me} lacks the newest revision");
        let table = proxy.member.table();
        let live = table.iter().filter(|e| e.info.state == State::Live);
        let mut live: Vec<_> = live.map(|e| e.info.id.clone()).collect();
        live.sort();
        assert_eq!(live, running, "{me} sees other proxies");
    }
    for site in 0..SITES {
        let local: Vec<_> = world.running().filter(|p| p.site == site).collect();
        let watching = local.iter().filter(|p| p.member.watching()).count();
        assert_eq!(
            watching,
            local.len().min(1),
            "watches in data centre {site}"
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

    /// Whatever is cut, lost, paused or killed, no proxy goes back to an older
    /// configuration, and once all is well again they agree.
    #[test]
    fn proxies_agree_once_links_heal(sequential 1..25 => Sut);
}

fn fleet(proxies: usize) -> World {
    let mut world = World::new(SEED);
    for at in 0..proxies {
        world.start(at % SITES);
    }
    world.run(Span::from_millis(10_000));
    world
}

/// The proxy that watches the store for its data centre dies. Changes applied from then
/// on would not reach the data centre; the next in rank takes the watch over.
#[test]
fn the_next_in_rank_takes_the_watch_over() {
    let mut world = fleet(9);
    let dead = world.proxies.iter().position(|p| p.member.watching());
    let dead = dead.expect("someone watches");
    let site = world.proxies[dead].site;
    world.proxies[dead].alive = false;
    world.apply();
    world.run(Span::from_millis(8_000));
    let next = world.running().filter(|p| p.site == site);
    assert_eq!(next.filter(|p| p.member.watching()).count(), 1);
    for proxy in world.running() {
        let current = proxy.adopter.current().map(|c| c.revision);
        assert_eq!(current, Some(world.head.revision));
    }
}

/// A VM is paused for five seconds and wakes up unaware. The others took it for gone, and
/// its connection share and its watch went to others; it must come back as live.
#[test]
fn a_paused_proxy_contradicts_its_death() {
    let mut world = fleet(9);
    world.proxies[4].paused_until = world.now + Span::from_millis(8_000);
    world.run(Span::from_millis(7_000));
    let id = world.proxies[4].member.me().id.clone();
    let state = |world: &World| {
        world.proxies[1]
            .member
            .table()
            .get(&id)
            .map(|e| e.info.state)
    };
    assert_eq!(state(&world), Some(State::Gone));
    world.run(Span::from_millis(40_000));
    assert_eq!(state(&world), Some(State::Live));
}

/// A data centre is cut off from the others and from the store for half a minute. Its
/// proxies are believed alive on both sides, and it gets the change through its links as
/// soon as these are back, though the store stays out of its reach.
#[test]
fn a_cut_off_data_centre_catches_up_through_peers() {
    let mut world = fleet(9);
    world.cuts.extend([(0, 2), (1, 2)]);
    world.storeless.insert(2);
    world.apply();
    world.run(Span::from_millis(30_000));
    let behind = world.running().filter(|p| p.site == 2);
    assert!(
        behind
            .into_iter()
            .all(|p| p.adopter.current().unwrap().revision < world.head.revision)
    );
    let states = world.running().flat_map(|p| p.member.table().iter());
    assert!(
        states
            .into_iter()
            .all(|entry| entry.info.state == State::Live)
    );
    world.cuts.clear();
    world.run(Span::from_millis(5_000));
    for proxy in world.running() {
        let current = proxy.adopter.current().map(|c| c.revision);
        assert_eq!(current, Some(world.head.revision));
    }
}

/// A new proxy starts while the store is down everywhere: a peer has the records.
#[test]
fn a_proxy_that_starts_during_an_outage_asks_a_peer() {
    let mut world = fleet(6);
    world.storeless.extend(0..SITES);
    let new = world.start(0);
    world.run(Span::from_millis(1_000));
    let current = world.proxies[new].adopter.current().map(|c| c.revision);
    assert_eq!(current, Some(world.head.revision));
}

/// 24 data centres with 4 proxies each: links go round, watches are one each.
#[test]
fn watches_and_links_grow_with_data_centres() {
    let mut world = World::new(SEED);
    for at in 0..96 {
        world.start(at % 24);
    }
    world.run(Span::from_millis(60_000));
    assert_eq!(world.running().filter(|p| p.member.watching()).count(), 24);
    for proxy in world.running() {
        let me = proxy.member.me();
        let links = delegate::links(proxy.member.table(), &me.data_centre, &me.id);
        assert!(links.len() <= 3, "{links:?}");
    }
}
