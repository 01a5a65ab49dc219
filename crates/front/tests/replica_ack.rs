//! Which instances' acknowledgements count for a write.

mod env;

use std::thread;
use std::time::Duration;

use env::{Caller, DATABASES, configuration, proxy};
use standin::managed::{Fault, Managed};

/// Longer than a proxy keeps an instance that is no longer announced.
const FORGET_TIME: Duration = Duration::from_millis(3_500);

fn platform() -> Managed {
    let managed = Managed::start(3).unwrap();
    managed.configure(&configuration(1, &DATABASES));
    managed
}

/// Guards against an acknowledged write that the next primary lacks: the only instance that
/// held it was not announced, so the coordinator could neither pause it nor query it.
#[test]
fn a_write_that_only_an_unannounced_instance_holds_is_in_doubt() {
    let managed = platform();
    let proxy = proxy(&managed, "p1");
    let mut session = Caller::connect(proxy, "filing").unwrap();
    session.query_until_done("WRITE a 1");
    managed.set_fault(1, Fault::Deaf);
    managed.lapse(2);
    thread::sleep(FORGET_TIME);
    assert_eq!(session.query("WRITE a 2").code(), Some("INDOUBT"));
    managed.come_back(2);
    session.query_until_done("WRITE a 3");
    assert_eq!(managed.log().last().unwrap(), "a=3");
}
