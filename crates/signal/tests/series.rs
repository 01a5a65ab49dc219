//! Series of signals to this process.

use rustix::process::{Signal, getpid, kill_process};
use signal::Request;

/// Guards against a process that ends at a signal that follows another one: a handler that is
/// set up anew for each signal leaves the default action in place between two of them.
#[test]
fn a_series_of_signals_does_not_end_the_process() {
    let requests = signal::requests().unwrap();
    compio::runtime::Runtime::new().unwrap().block_on(async {
        for _ in 0..500 {
            for signal in [Signal::HUP, Signal::TERM, Signal::HUP, Signal::INT] {
                kill_process(getpid(), signal).unwrap();
            }
            requests.next().await;
        }
        kill_process(getpid(), Signal::TERM).unwrap();
        while requests.next().await != Request::Stop {}
    });
}
