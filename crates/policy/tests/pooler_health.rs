//! Poolers that do not respond, as one proxy sees them.

use model::id::ProxyId;
use model::unit::{Span, Time};
use policy::pooler_health::PoolerHealth;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn pooler() -> ProxyId {
    "p1".parse().unwrap()
}

/// A pooler freezes while many statements are on their way to it: they learn the same at the
/// same time, which must not count as many failures.
#[test]
fn statements_that_fail_together_count_once() {
    let mut health = PoolerHealth::default();
    assert_eq!(
        health.failed(&pooler(), at(150)),
        Some(Span::from_millis(400))
    );
    for ms in 151..170 {
        assert_eq!(health.failed(&pooler(), at(ms)), None);
    }
    assert!(!health.admits(&pooler(), at(549)));
    assert!(health.admits(&pooler(), at(550)));
}

/// A pooler stays frozen. If all waiting statements tried it whenever its pause is over, each
/// time all of them would lose the time of an attempt.
#[test]
fn one_statement_tries_on_behalf_of_all() {
    let mut health = PoolerHealth::default();
    health.failed(&pooler(), at(0));
    assert!(health.admits(&pooler(), at(400)));
    assert!(!health.admits(&pooler(), at(401)));
    assert_eq!(
        health.failed(&pooler(), at(550)),
        Some(Span::from_millis(800))
    );
    assert!(!health.admits(&pooler(), at(1_349)));
    assert!(health.admits(&pooler(), at(1_350)));
}

/// The statement that tries is abandoned, and nobody learns anything: another one tries.
#[test]
fn an_abandoned_trial_is_repeated() {
    let mut health = PoolerHealth::default();
    health.failed(&pooler(), at(0));
    assert!(health.admits(&pooler(), at(400)));
    assert!(health.admits(&pooler(), at(650)));
}

/// A pooler that is back must get its customers back, however often it failed.
#[test]
fn a_pooler_that_responds_is_used_again() {
    let mut health = PoolerHealth::default();
    let mut now = 0;
    for _ in 0..9 {
        let pause = health.failed(&pooler(), at(now)).unwrap();
        assert!(pause <= Span::from_millis(1_600));
        now += pause.as_millis();
        assert!(health.admits(&pooler(), at(now)));
    }
    health.responded(&pooler());
    assert!(health.admits(&pooler(), at(now)) && health.admits(&pooler(), at(now)));
}
