//! Who reads the store, in fleets of every size.

use model::id::ProxyId;
use model::unit::{Span, Time};
use policy::store_reader::{self, StoreReaders, Upstream};
use test_case::test_case;

fn fleet(size: usize) -> Vec<ProxyId> {
    let name = |n| format!("front-a-{n}").parse().unwrap();
    (0..size).map(name).collect()
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Bytes a second that the link between two regions carries.
const LINK: usize = 7_500_000;

/// A configuration of 1,700 routes, as the store sends it.
const CONFIGURATION: usize = 500_000;

/// Longest time for which a change may fill the link: questions to instances behind it are
/// given up after 350 ms.
const FULL_FOR_MS: usize = 350;

/// The operators change a configuration of 1,700 routes. Every proxy of the region without
/// the store fetched it over the one link, which was full for seconds: callers there saw no
/// answers, and primaries that live were replaced.
#[test_case(1, 2; "nine proxies, two of them in that region")]
#[test_case(3, 11; "69 proxies")]
#[test_case(3, 50; "300 proxies")]
#[test_case(5, 92; "2200 proxies in 24 data centres")]
fn a_change_fills_the_link_for_a_moment_only(data_centres: usize, proxies: usize) {
    let here = fleet(proxies);
    let reads =
        |me: &&ProxyId| StoreReaders::default().upstream(me, &here, at(0)) == Upstream::Store;
    let readers = here.iter().filter(reads).count() * data_centres;
    assert_eq!(store_reader::readers(proxies) * data_centres, readers);
    let full_ms = readers * CONFIGURATION * 1_000 / LINK;
    assert!(full_ms <= FULL_FOR_MS, "{full_ms} ms by {readers} readers");
}

/// The reader loses the store, or power. Its followers turn to the one that stands in for
/// it, and if that has nothing either, to the store: nobody waits for a neighbour that tells nothing.
#[test]
fn who_follows_a_lost_reader_goes_on_without_it() {
    let here = fleet(11);
    let follows =
        |me: &&ProxyId| StoreReaders::default().upstream(me, &here, at(0)) != Upstream::Store;
    for me in here.iter().filter(follows) {
        let mut neighbours = StoreReaders::default();
        let mut asked = Vec::new();
        while let Upstream::StoreReader(reader) = neighbours.upstream(me, &here, at(0)) {
            assert!(!asked.contains(&reader) && reader != *me);
            neighbours.mark_failed(&reader, at(0));
            asked.push(reader);
        }
        assert!((1..=2).contains(&asked.len()));
        let later = at(0) + Span::from_millis(10_000);
        assert_ne!(neighbours.upstream(me, &here, later), Upstream::Store);
    }
}

/// Two proxies that wait for each other's news would both wait for nothing: whoever is
/// asked follows only those before it.
#[test]
fn nobody_follows_in_a_circle() {
    let here = fleet(11);
    let upstream = |me: &ProxyId| StoreReaders::default().upstream(me, &here, at(0));
    for me in &here {
        let mut next = me.clone();
        let mut steps = 0;
        while let Upstream::StoreReader(reader) = upstream(&next) {
            next = reader;
            steps += 1;
        }
        assert!(steps <= 1, "{steps} steps from {me}");
    }
}

/// A proxy that starts and knows nobody yet asks the store.
#[test]
fn a_proxy_alone_reads_the_store() {
    let me = fleet(1).remove(0);
    assert_eq!(
        StoreReaders::default().upstream(&me, &[], at(0)),
        Upstream::Store
    );
}
