//! Graceful shutdown of a proxy that still serves callers.

mod env;

use std::thread;
use std::time::Duration;

use env::process::Proxy;
use env::{Caller, DATABASES, configuration, wait};
use rustix::process::Signal;
use standin::managed::Managed;

/// Guards against a stopping proxy that registers in the store again a second after it deleted
/// its registration, while a caller is still in a transaction: other proxies would count it and
/// send it work, and it would take back the coordinator role that it had just released.
#[test]
fn a_stopping_proxy_does_not_register_again() {
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
