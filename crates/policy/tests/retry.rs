//! Which failed requests are retried.

use policy::retry::{Attempt, Budget, Progress};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use test_case::test_case;

// After a broken connection, only requests that are idempotent or were certainly not sent
// are retried. A retried payment that had already run would charge its customer twice.
#[test_case(true, Progress::Sent => true; "a read without a response")]
#[test_case(false, Progress::NotSent => true; "a payment that was not sent")]
#[test_case(false, Progress::Sent => false; "a payment without a response")]
fn retries_only_safe_requests(idempotent: bool, progress: Progress) -> bool {
    let attempt = Attempt {
        idempotent,
        progress,
        previous_attempts: 0,
    };
    let mut rng = SmallRng::seed_from_u64(1);
    Budget::default().failed(attempt, &mut rng).is_some()
}

// Every request fails in a failover. Retries stop after a few, so that the server that
// takes over does not receive every request twice.
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
