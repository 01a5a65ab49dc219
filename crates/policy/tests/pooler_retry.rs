//! What client proxies do while the poolers of their data centre restart or are down.

use model::unit::Span;
use policy::pooler_retry::{GrantFailure, Next, PoolerAttempts};
use test_case::test_case;

/// Runs the attempts of one statement; returns the last step and the number of poolers tried.
fn run_attempts(failures: &[GrantFailure]) -> (Next, usize) {
    let mut attempts = PoolerAttempts::default();
    for (index, failure) in failures.iter().enumerate() {
        let next = attempts.failed(*failure, index + 1 < failures.len());
        if next != Next::NextPooler {
            return (next, index + 1);
        }
    }
    unreachable!("the attempts end with the last pooler")
}

/// Guards against a restart of all proxies after which each opens connections to every
/// instance: starting poolers are tried again.
#[test_case(&[GrantFailure::Starting; 4])]
#[test_case(&[
    GrantFailure::Unresponsive,
    GrantFailure::Starting,
    GrantFailure::Unresponsive,
    GrantFailure::Unresponsive
])]
#[test_case(&[GrantFailure::Stopping, GrantFailure::Starting, GrantFailure::Starting])]
fn starting_poolers_are_tried_again(failures: &[GrantFailure]) {
    assert!(matches!(run_attempts(failures).0, Next::RetryAfter(_)));
}

/// Guards against callers that wait while the poolers of their data centre are down: the next
/// proxies replace them, and if none responds, the proxy uses its own pool.
#[test]
fn other_proxies_replace_unresponsive_poolers() {
    let down = [GrantFailure::Unresponsive; 4];
    let replaced = [down.as_slice(), &[GrantFailure::Starting; 3]].concat();
    assert_eq!(run_attempts(&replaced).1, 6);
    assert_eq!(run_attempts(&down).0, Next::OwnPool);
    assert_eq!(
        run_attempts(&[GrantFailure::Unresponsive; 33]),
        (Next::OwnPool, 6)
    );
}

/// Guards against a data centre whose poolers cannot reach a group that other proxies reach.
#[test]
fn a_group_unreachable_for_the_poolers_uses_the_fallback() {
    let failures = [
        GrantFailure::Starting,
        GrantFailure::Unreachable,
        GrantFailure::Starting,
    ];
    assert_eq!(run_attempts(&failures), (Next::Fallback, 3));
}

/// Simulates the same restart as a whole: an instance with 108 connections, 195 proxies, and a
/// statement on each proxy as soon as it runs. The 33 proxies of a data centre run again at
/// different times and know their groups some time later. Counts the statements for which
/// client proxies open connections of their own.
#[test]
fn after_a_restart_only_poolers_open_connections() {
    const RUNNING_WITHIN_MS: u64 = 300;
    const GROUPS_KNOWN_AFTER_MS: u64 = 600;
    let state = |pooler: u64, now: u64| {
        let running_at = pooler * 17 % RUNNING_WITHIN_MS;
        match now {
            _ if now < running_at => Some(GrantFailure::Unresponsive),
            _ if now < running_at + GROUPS_KNOWN_AFTER_MS => Some(GrantFailure::Starting),
            _ => None,
        }
    };
    let mut own_pools = 0;
    for client in 4..33_u64 {
        let mut now = client * 17 % RUNNING_WITHIN_MS;
        'statement: loop {
            let mut attempts = PoolerAttempts::default();
            for pooler in (0..33).filter(|c| *c != client) {
                let Some(failure) = state(pooler, now) else {
                    break 'statement;
                };
                match attempts.failed(failure, pooler < 32) {
                    Next::NextPooler => {}
                    Next::RetryAfter(pause) => {
                        now += pause.as_millis();
                        break;
                    }
                    Next::OwnPool => {
                        own_pools += 1;
                        break 'statement;
                    }
                    Next::Fallback => unreachable!("all poolers reach the group"),
                }
            }
            assert!(
                now < RUNNING_WITHIN_MS
                    + GROUPS_KNOWN_AFTER_MS
                    + Span::from_millis(100).as_millis()
            );
        }
    }
    assert_eq!(own_pools, 0);
}
