//! Which failed requests are sent again.

use policy::retry::{Attempt, Budget, Progress};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use test_case::test_case;

// A connection breaks. Only what is idempotent, or was certainly not sent, runs again;
// a payment that may have run does not, or its tenant would pay twice.
#[test_case(true, Progress::Sent => true; "a read without an answer")]
#[test_case(false, Progress::NotSent => true; "a payment that was not sent")]
#[test_case(false, Progress::Sent => false; "a payment without an answer")]
fn repeats(idempotent: bool, progress: Progress) -> bool {
    let attempt = Attempt {
        idempotent,
        progress,
        previous_attempts: 0,
    };
    let mut rng = SmallRng::seed_from_u64(1);
    Budget::default().failed(attempt, &mut rng).is_some()
}

// Every request fails in a failover. Retries stop after a few, so that the server that
// takes over does not get everything twice.
#[test]
fn budget_shrinks_with_failure() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut budget = Budget::default();
    let attempt = Attempt {
        idempotent: true,
        progress: Progress::Sent,
        previous_attempts: 0,
    };
    let tries = (0..100).filter(|_| budget.failed(attempt, &mut rng).is_some());
    assert!(tries.count() <= 10);
}
