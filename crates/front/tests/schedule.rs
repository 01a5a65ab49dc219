//! When the phases of a shutdown begin.

use front::stop::Schedule;
use model::unit::{Span, Time};
use test_case::test_case;

/// Guards against a process that is killed at the end of its grace period, or aborts statements
/// before sessions were to end, whatever the period.
#[test_case(0)]
#[test_case(200)]
#[test_case(1_000)]
#[test_case(6_000)]
#[test_case(60_000)]
fn the_phases_follow_each_other_within_the_grace_period(grace_ms: u64) {
    let (started, grace) = (Time::from_micros(5_000), Span::from_millis(grace_ms));
    let Schedule {
        closing,
        ending,
        aborting,
        exit,
    } = Schedule::new(started, grace);
    assert!(started <= closing && closing <= ending);
    assert!(ending <= aborting && aborting <= exit && exit <= started + grace);
    assert!(grace_ms == 0 || (ending < aborting && aborting < exit && exit < started + grace));
}
