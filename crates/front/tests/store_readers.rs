//! Proxies of one data centre, as processes, that learn of changes in the store, most of them
//! through a store reader.

mod env;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use env::process::{PendingSettings, Proxy};
use env::{Caller, configuration, wait};
use front::directory::PROXIES;
use model::id::ProxyId;
use policy::rank;
use policy::store_reader;
use rustix::process::Signal;
use standin::managed::Managed;
use standin::managed::wire::{Weather, Wire};
use tempfile::TempDir;
use test_case::test_case;

/// Time from the last change until the store reader has answered all queries that wait for one.
const ANSWERED: Duration = Duration::from_millis(2_050);

/// Time for the proxies that run to follow a new store reader.
const FOLLOWED: Duration = Duration::from_millis(150);

/// Proxies of one data centre that others may follow.
const CANDIDATES: usize = 4;

/// Held by the running test: what happens while a proxy is frozen must be over in three seconds.
static RUNNING: Mutex<()> = Mutex::new(());

struct DataCentre {
    managed: Managed,
    folder: TempDir,
    /// Names of proxies, the first store reader of all at the end.
    names: Vec<String>,
    proxies: Vec<Proxy>,
    version: u64,
    _running: MutexGuard<'static, ()>,
}

impl DataCentre {
    /// Starts `size` proxies. More can be added, `later` at most, each of which ranks before all
    /// others.
    fn start(size: usize, later: usize) -> Self {
        let ids: Vec<ProxyId> = (0..size + later)
            .map(|n| format!("p{n}").parse().unwrap())
            .collect();
        let mut ranked: Vec<_> = ids.iter().collect();
        rank::sort("store", &mut ranked);
        assert!(store_reader::is_reader(ranked[0], &ids));
        let names = ranked.iter().rev().map(ToString::to_string).collect();
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let managed = Managed::start(1).unwrap();
        let mut centre = Self {
            managed,
            folder: tempfile::tempdir().unwrap(),
            names,
            proxies: Vec::new(),
            version: 0,
            _running: running,
        };
        centre.configure();
        for name in &centre.names[..size] {
            let proxy = Proxy::start(&centre.managed, centre.folder.path(), name);
            centre.proxies.push(proxy);
        }
        centre.wait_for(&centre.proxies);
        centre
    }

    /// Starts a process that waits for its settings.
    fn prepare(&self, later: usize) -> (Proxy, PendingSettings) {
        let name = &self.names[self.proxies.len() + later];
        Proxy::start_paused(&self.managed, self.folder.path(), name)
    }

    /// Adds a proxy, which becomes the store reader, and waits until the others follow it.
    fn add(&mut self, (proxy, settings): (Proxy, PendingSettings)) {
        let key = format!("{PROXIES}{}", self.names[self.proxies.len()]);
        settings.send();
        self.proxies.push(proxy);
        wait(|| (!self.managed.keys(&key).is_empty()).then_some(()));
        thread::sleep(FOLLOWED);
    }

    /// Replaces the only database by another one.
    fn configure(&mut self) {
        self.version += 1;
        let database = database(self.version);
        let configuration = configuration(self.version, &[(&database, "bounded")]);
        self.managed.configure(&configuration);
    }

    /// Waits until each of the proxies serves the present database and no earlier one.
    fn wait_for(&self, proxies: &[Proxy]) {
        let earlier = database(self.version - 1);
        for proxy in proxies {
            wait(|| Caller::try_connect(proxy.listen, &database(self.version)));
            assert!(Caller::try_connect(proxy.listen, &earlier).is_none());
        }
    }

    /// Changes the configuration and waits until all follow.
    fn change(&mut self) {
        self.configure();
        self.wait_for(&self.proxies);
    }

    /// Freezes the first `count` proxies until `act` is done, which begins when the queries that
    /// wait for changes have been answered.
    fn freeze(&mut self, count: usize, act: impl FnOnce(&mut Self)) {
        self.change();
        for proxy in &self.proxies[..count] {
            proxy.signal(Signal::STOP);
        }
        thread::sleep(ANSWERED);
        act(self);
        for proxy in &self.proxies[..count] {
            proxy.signal(Signal::CONT);
        }
    }
}

fn database(version: u64) -> String {
    format!("db{version}")
}

/// Guards against a proxy that is frozen while another becomes the store reader: awake, it queried
/// proxies that follow the new one, again and again, and served by an old configuration for good.
#[test_case(1; "one new reader")]
#[test_case(2; "two new readers in turn")]
fn a_frozen_proxy_learns_of_changes(new_readers: usize) {
    let mut centre = DataCentre::start(CANDIDATES + 2, new_readers);
    let prepared: Vec<_> = (0..new_readers).map(|n| centre.prepare(n)).collect();
    centre.freeze(1, |centre| {
        for pending in prepared {
            centre.add(pending);
        }
        centre.configure();
        centre.wait_for(&centre.proxies[1..]);
    });
    centre.wait_for(&centre.proxies);
    centre.change();
}

/// Guards against the same for many that wake together, with a store that each of them calls again
/// and again, and against one of them that is behind once the new reader is killed.
#[test]
fn proxies_that_wake_together_learn_of_changes() {
    let frozen = 6;
    let mut centre = DataCentre::start(CANDIDATES + frozen, 1);
    let prepared = centre.prepare(0);
    centre.freeze(frozen, |centre| {
        centre.add(prepared);
        centre.configure();
        centre.wait_for(&centre.proxies[frozen..]);
    });
    let before = centre.managed.watches_begun();
    centre.wait_for(&centre.proxies);
    let calls = centre.managed.watches_begun() - before;
    assert!(calls <= 2 * frozen + 10, "{calls} calls");
    centre.proxies.pop();
    centre.change();
}

/// Guards against a proxy that waits for peers which send nothing.
#[test]
fn a_proxy_learns_of_changes_while_its_peers_are_frozen() {
    let mut centre = DataCentre::start(CANDIDATES + 2, 0);
    let only = centre.proxies.len() - 1;
    centre.freeze(only, |centre| {
        centre.configure();
        centre.wait_for(&centre.proxies[only..]);
    });
    centre.wait_for(&centre.proxies);
}

/// Guards against the same when the one that runs follows the others.
#[test]
fn a_follower_learns_of_changes_while_its_peers_are_frozen() {
    let mut centre = DataCentre::start(CANDIDATES + 2, 0);
    centre.proxies.reverse();
    let only = centre.proxies.len() - 1;
    centre.freeze(only, |centre| {
        centre.configure();
        centre.wait_for(&centre.proxies[only..]);
    });
    centre.wait_for(&centre.proxies);
}

/// Size in bytes of the value of a key, and how many changes of it one watch cannot report.
const LARGE_CHANGES: (usize, usize) = (800_000, 25);

/// Guards against a proxy that missed more changes than a watch can report: it repeated the watch,
/// and served by an old configuration until the store dropped the changes.
#[test]
fn a_proxy_that_missed_many_large_changes_learns_of_the_last() {
    let managed = Managed::start(1).unwrap();
    let folder = tempfile::tempdir().unwrap();
    managed.configure(&configuration(1, &[("db1", "bounded")]));
    let store = Wire::to(managed.address()).unwrap();
    let proxy = Proxy::start_with(&managed, folder.path(), "p1", |settings| {
        settings["store"] = store.address().to_string().into();
    });
    wait(|| Caller::try_connect(proxy.listen, "db1"));
    store.set(Weather::Cut);
    let (size, count) = LARGE_CHANGES;
    for n in 0..count {
        managed.put("other", &vec![n as u8; size]);
    }
    managed.configure(&configuration(2, &[("db2", "bounded")]));
    store.set(Weather::Clear);
    wait(|| Caller::try_connect(proxy.listen, "db2"));
    assert!(Caller::try_connect(proxy.listen, "db1").is_none());
}
