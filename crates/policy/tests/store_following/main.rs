//! Whether each proxy of a data centre learns each change in the store in time, and how often it
//! calls the store. The data centre runs step by step, without a network.

mod data_centre;

use data_centre::{Access, DataCentre};
use model::id::ProxyId;
use model::unit::{Span, Time};
use policy::store_reader::{self, StoreReaders, Upstream};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use test_case::test_case;

const IN_FORCE_WITHIN: Span = Span::from_millis(4_000);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn id(n: usize) -> ProxyId {
    format!("front-a-{n}").parse().unwrap()
}

/// A proxy that would become the store reader of the running ones.
fn new_reader(centre: &DataCentre) -> ProxyId {
    let running = centre.announced();
    let is_first = |new: &ProxyId| {
        let mut ids = running.clone();
        ids.push(new.clone());
        StoreReaders::default().upstream(new, &ids, at(0)) == Upstream::Store
    };
    (2_000..).map(id).find(is_first).unwrap()
}

/// Guards against a proxy that is frozen while others get store readers that it does not know:
/// it queried only peers that follow those, and never the store.
#[test_case(6, 1; "six proxies, one new reader")]
#[test_case(6, 2; "six proxies, two new readers in turn")]
#[test_case(40, 1; "40 proxies, one new reader")]
#[test_case(40, 3; "40 proxies, three new readers in turn")]
fn a_frozen_proxy_learns_of_new_readers(size: usize, new_readers: u64) {
    for frozen in (0..size).map(id) {
        let mut centre = DataCentre::new(size, IN_FORCE_WITHIN);
        centre.run(at(10_000));
        centre.freeze(&frozen);
        for n in 0..new_readers {
            centre.run(at(10_400 + 500 * n));
            let new = new_reader(&centre);
            centre.start(&new);
        }
        centre.run(at(12_000));
        centre.change();
        centre.run(at(12_400));
        centre.thaw(&frozen);
        centre.run(at(25_000));
        assert_eq!(centre.late(), Vec::<String>::new());
    }
}

/// Guards against a starting proxy that stays without a configuration, since the list of proxies
/// that it read is older than the store reader.
#[test]
fn a_proxy_that_starts_with_an_old_list_learns_of_the_reader() {
    for size in [5, 6, 20] {
        let mut centre = DataCentre::new(size, IN_FORCE_WITHIN);
        centre.run(at(10_000));
        let listed = centre.announced();
        let reader = new_reader(&centre);
        centre.start(&reader);
        centre.run(at(10_800));
        for n in 0..10 {
            centre.start_with_list(&id(1_000 + n), &listed);
        }
        centre.run(at(20_000));
        assert_eq!(centre.late(), Vec::<String>::new());
    }
}

/// Guards against a store that all proxies of a data centre call at the same moment, or again and
/// again, once they wake and know no reader.
#[test_case(12)]
#[test_case(50)]
#[test_case(300)]
fn few_calls_follow_when_many_wake_at_once(size: usize) {
    let mut centre = DataCentre::new(size, IN_FORCE_WITHIN);
    centre.run(at(10_000));
    let all: Vec<_> = (0..size).map(id).collect();
    let (awake, frozen): (Vec<_>, Vec<_>) = all
        .iter()
        .partition(|id| store_reader::may_take_over(id, &all));
    assert_eq!(awake.len(), 4);
    for id in &frozen {
        centre.freeze(id);
    }
    let reader = new_reader(&centre);
    centre.start(&reader);
    centre.run(at(11_900));
    centre.change();
    centre.run(at(12_000));
    for id in &frozen {
        centre.thaw(id);
    }
    centre.run(at(20_000));
    assert_eq!(centre.late(), Vec::<String>::new());
    let calls = centre.calls(at(12_000), at(20_000));
    assert!(calls <= 20 + 2 * size, "{calls} calls of {size} proxies");
    let busiest = (0..80).map(|n| centre.calls(at(12_000 + 100 * n), at(12_100 + 100 * n)));
    let busiest = busiest.max().unwrap();
    assert!(
        busiest <= 10 + size / 4,
        "{busiest} calls of {size} proxies in 100 ms"
    );
}

/// Guards against a proxy that depends on its peers, whatever they do: each sends nothing, or
/// responds without updates.
#[test_case(Access::Follows; "all follow another proxy")]
#[test_case(Access::Diverted; "the store rejects all of them")]
#[test_case(Access::Lost; "the store responds to none of them")]
#[test_case(Access::Starting; "all of them start")]
fn a_proxy_learns_each_change_whatever_its_peers_respond(access: Access) {
    for size in [5, 9, 40] {
        for only in (0..size).map(id) {
            let mut centre = DataCentre::new(size, IN_FORCE_WITHIN);
            centre.run(at(10_000));
            for other in (0..size).map(id).filter(|other| *other != only) {
                centre.pin(&other, access);
            }
            for n in 0..4 {
                centre.run(at(10_300 + n * 4_100));
                centre.change();
            }
            centre.run(at(30_000));
            assert_eq!(centre.late(), Vec::<String>::new(), "{access:?}");
        }
    }
}

/// Guards against a proxy that waits for peers which are silent.
#[test]
fn a_proxy_learns_each_change_while_its_peers_are_frozen() {
    for size in [5, 9] {
        for only in (0..size).map(id) {
            let mut centre = DataCentre::new(size, IN_FORCE_WITHIN);
            centre.run(at(10_000));
            for other in (0..size).map(id).filter(|other| *other != only) {
                centre.freeze(&other);
            }
            for n in 0..4 {
                centre.run(at(10_300 + n * 4_100));
                centre.change();
            }
            centre.run(at(30_000));
            assert_eq!(centre.late(), Vec::<String>::new());
        }
    }
}

/// Proxies freeze, start, are killed and replaced, and the store rejects some or responds to
/// none, all at random and overlapping.
#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn each_change_is_learned_in_time(part: u64) {
    let runs = std::env::var("POMELO_FOLLOWING_RUNS").map_or(60, |n| n.parse().unwrap());
    for run in 0..runs {
        let seed = part * 1_000_000 + run;
        let mut rng = StdRng::seed_from_u64(seed);
        let size = rng.random_range(5..12);
        let mut centre = DataCentre::new(size, IN_FORCE_WITHIN);
        centre.run(at(8_000));
        let mut now = 8_000;
        while now < 40_000 {
            now += rng.random_range(20..900);
            centre.run(at(now));
            disturb(&mut centre, &mut rng, size);
        }
        centre.thaw_all();
        centre.set_rejected(|_| false);
        centre.change();
        centre.run(at(50_000));
        assert_eq!(centre.late(), Vec::<String>::new(), "seed {seed}");
    }
}

fn disturb(centre: &mut DataCentre, rng: &mut StdRng, size: usize) {
    let some = id(rng.random_range(0..size));
    match rng.random_range(0..12) {
        0..=2 => centre.change(),
        3 | 4 => centre.freeze(&some),
        5 | 6 => centre.thaw(&some),
        7 => centre.kill(&some),
        8 | 9 => {
            let stopped = (0..size).map(id).find(|id| !centre.runs(id));
            let listed = centre.announced_before(Span::from_millis(rng.random_range(0..3_000)));
            centre.start_with_list(&stopped.unwrap_or(some), &listed);
        }
        10 => {
            let (one_in, offset) = (rng.random_range(1..4), rng.random_range(0..3));
            centre.set_rejected(move |n| n % one_in == offset % one_in);
        }
        _ => centre.set_rejected(|_| false),
    }
}
