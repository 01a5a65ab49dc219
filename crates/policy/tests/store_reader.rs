//! Which proxies read the store, in fleets of different sizes.

use model::id::ProxyId;
use model::unit::{Span, Time};
use policy::direct_access::DirectAccess;
use policy::store_reader::{self, Next, StoreReaders, Upstream};
use test_case::test_case;

fn fleet(size: usize) -> Vec<ProxyId> {
    let name = |n| format!("front-a-{n}").parse().unwrap();
    (0..size).map(name).collect()
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Capacity of the link between two regions, in bytes per second.
const LINK_CAPACITY: usize = 7_500_000;

/// Size in bytes of a configuration of 1,700 routes, as the store sends it.
const CONFIGURATION_SIZE: usize = 500_000;

/// Longest time for which a change may fill the link: queries to instances over it time out
/// after 350 ms.
const FULL_FOR_MS: usize = 350;

/// The operators change a configuration of 1,700 routes. When every proxy of the region without
/// the store fetched it over the one link, the link was full for seconds: callers there had no
/// responses, and healthy primaries were replaced.
#[test_case(1, 2; "nine proxies, two of them in that region")]
#[test_case(3, 11; "69 proxies")]
#[test_case(3, 50; "300 proxies")]
#[test_case(5, 92; "2200 proxies in 24 data centres")]
fn a_change_fills_the_link_for_a_moment_only(data_centres: usize, proxies: usize) {
    let local = fleet(proxies);
    let reads_store =
        |me: &&ProxyId| StoreReaders::default().upstream(me, &local, at(0)) == Upstream::Store;
    let readers = local.iter().filter(reads_store).count() * data_centres;
    assert_eq!(store_reader::readers(proxies) * data_centres, readers);
    let full_ms = readers * CONFIGURATION_SIZE * 1_000 / LINK_CAPACITY;
    assert!(full_ms <= FULL_FOR_MS, "{full_ms} ms by {readers} readers");
}

/// The reader loses the store, or power. Its followers switch to the backup, and if that has no
/// updates either, to the store: no proxy waits for a reader that sends nothing.
#[test]
fn followers_of_a_failed_reader_use_the_backup_or_the_store() {
    let local = fleet(11);
    let follows =
        |me: &&ProxyId| StoreReaders::default().upstream(me, &local, at(0)) != Upstream::Store;
    for me in local.iter().filter(follows) {
        let mut readers = StoreReaders::default();
        let mut tried = Vec::new();
        while let Upstream::StoreReader(reader) = readers.upstream(me, &local, at(0)) {
            assert!(!tried.contains(&reader) && reader != *me);
            readers.mark_failed(&reader, at(0));
            tried.push(reader);
        }
        assert!((1..=2).contains(&tried.len()));
        let later = at(0) + Span::from_millis(10_000);
        assert_ne!(readers.upstream(me, &local, later), Upstream::Store);
    }
}

/// Two proxies that wait for each other's updates would both wait in vain: a proxy follows only
/// those that rank before it.
#[test]
fn no_proxies_follow_each_other() {
    let local = fleet(11);
    let upstream = |me: &ProxyId| StoreReaders::default().upstream(me, &local, at(0));
    for me in &local {
        let mut next = me.clone();
        let mut steps = 0;
        while let Upstream::StoreReader(reader) = upstream(&next) {
            next = reader;
            steps += 1;
        }
        assert!(steps <= 1, "{steps} steps from {me}");
    }
}

/// A starting proxy that knows no other yet reads from the store.
#[test]
fn a_proxy_that_knows_no_other_reads_the_store() {
    let me = fleet(1).remove(0);
    assert_eq!(
        StoreReaders::default().upstream(&me, &[], at(0)),
        Upstream::Store
    );
}

/// Guards against a proxy that keeps asking others which follow a reader that it does not know,
/// and never calls the store: it served by an old configuration for 17 seconds. Each of the
/// others responds after 200 ms that it has no updates.
#[test]
fn others_without_updates_lead_to_a_call_of_the_store() {
    let local = fleet(11);
    for me in &local {
        let (mut readers, direct) = (StoreReaders::default(), DirectAccess::default());
        let mut now = at(10_000);
        let deadline = now + Span::from_millis(4_000);
        loop {
            match readers.next(me, &local, &direct, now) {
                Next::Call => break,
                Next::WaitUntil(until) => now = until,
                Next::Follow(reader) => {
                    now = now + Span::from_millis(200);
                    readers.mark_without_updates(&reader, now);
                }
            }
            assert!(now < deadline, "{me} does not call the store");
        }
    }
}

/// Guards against a query about changes of primary that never reaches the store: each reader
/// responded so late that the other one was due again, and both were queried in turn for good.
#[test]
fn slow_readers_without_an_answer_lead_to_the_store() {
    let local = fleet(11);
    for (me, is_lost) in local.iter().flat_map(|me| [(me, false), (me, true)]) {
        let mut readers = StoreReaders::default();
        let mut now = at(10_000);
        let round = readers.available(me, &local, is_lost, now);
        assert!(!round.contains(me) && round.len() <= if is_lost { 4 } else { 2 });
        for reader in &round {
            now = now + Span::from_millis(1_100);
            readers.mark_without_updates(reader, now);
        }
        let first = StoreReaders::default().upstream(me, &local, now);
        assert_eq!(round.is_empty(), first == Upstream::Store && !is_lost);
    }
}
