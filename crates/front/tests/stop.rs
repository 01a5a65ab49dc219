//! Stopping a proxy that still serves.

mod env;

use std::thread;
use std::time::Duration;

use env::process::Proxy;
use env::{Caller, DATABASES, configuration, wait};
use rustix::process::Signal;
use standin::managed::Managed;

/// A proxy is told to stop while a caller is in a transaction. It gave its place in the
/// store up and, a second later, announced itself again: other proxies counted it and sent
/// work to it, and it took the coordinator's duty that it had just given up.
#[test]
fn a_stopping_proxy_does_not_announce_itself_again() {
    let managed = Managed::start(3).unwrap();
    managed.configure(&configuration(1, &DATABASES));
    let folder = tempfile::tempdir().unwrap();
    let proxy = Proxy::start(&managed, folder.path(), "p1");
    let keys = || managed.keys("pomelo/");
    wait(|| (keys().len() == 2).then_some(()));
    let mut session = Caller::connect(proxy.listen, "filing").unwrap();
    wait(|| Some(session.query("BEGIN")).filter(env::Reply::done));
    session.query("WRITE a 1");
    proxy.signal(Signal::TERM);
    wait(|| keys().is_empty().then_some(()));
    for _ in 0..25 {
        thread::sleep(Duration::from_millis(80));
        assert!(keys().is_empty(), "{:?}", keys());
    }
}
