//! What borrowers do while the carriers of their data centre restart or are gone.

use model::unit::Span;
use policy::pooler_retry::{GrantFailure, Next, PoolerAttempts};
use test_case::test_case;

/// Plays one round; gives how it ends, and how many carriers were asked.
fn round(misses: &[GrantFailure]) -> (Next, usize) {
    let mut round = PoolerAttempts::default();
    for (at, miss) in misses.iter().enumerate() {
        let next = round.failed(*miss, at + 1 < misses.len());
        if next != Next::NextPooler {
            return (next, at + 1);
        }
    }
    unreachable!("the last carrier ends a round")
}

/// Guards against a restart of all after which every proxy opens connections to every
/// instance: carriers that start are asked again.
#[test_case(&[GrantFailure::Starting; 4])]
#[test_case(&[GrantFailure::Unresponsive, GrantFailure::Starting, GrantFailure::Unresponsive, GrantFailure::Unresponsive])]
#[test_case(&[GrantFailure::Stopping, GrantFailure::Starting, GrantFailure::Starting])]
fn carriers_that_start_are_asked_again(misses: &[GrantFailure]) {
    assert!(matches!(round(misses).0, Next::RetryAfter(_)));
}

/// Guards against callers who wait while the carriers of their data centre are gone: those
/// behind them stand in, and without any the proxy serves by itself.
#[test]
fn proxies_stand_in_for_carriers_that_are_gone() {
    let gone = [GrantFailure::Unresponsive; 4];
    let stand_in = [gone.as_slice(), &[GrantFailure::Starting; 3]].concat();
    assert_eq!(round(&stand_in).1, 6);
    assert_eq!(round(&gone).0, Next::OwnPool);
    assert_eq!(round(&[GrantFailure::Unresponsive; 33]), (Next::OwnPool, 6));
}

/// Guards against a data centre whose carriers all lost a group that others reach.
#[test]
fn a_group_out_of_reach_of_the_carriers_is_asked_for_elsewhere() {
    let misses = [
        GrantFailure::Starting,
        GrantFailure::Unreachable,
        GrantFailure::Starting,
    ];
    assert_eq!(round(&misses), (Next::Fallback, 3));
}

/// When each of 33 proxies of a data centre runs again and when it knows its groups, and the
/// connections of their own that the other proxies open for a statement each.
///
/// Guards against the same restart as a whole: an instance with 108 connections before 195
/// proxies, each of which has a statement as soon as it runs.
#[test]
fn a_restart_of_all_opens_no_connections_but_the_carriers() {
    const RUNS: u64 = 300;
    const LEARNS: u64 = 600;
    let state = |carrier: u64, now: u64| {
        let runs = carrier * 17 % RUNS;
        match now {
            _ if now < runs => Some(GrantFailure::Unresponsive),
            _ if now < runs + LEARNS => Some(GrantFailure::Starting),
            _ => None,
        }
    };
    let mut own = 0;
    for borrower in 4..33_u64 {
        let mut now = borrower * 17 % RUNS;
        'statement: loop {
            let mut round = PoolerAttempts::default();
            for carrier in (0..33).filter(|c| *c != borrower) {
                let Some(miss) = state(carrier, now) else {
                    break 'statement;
                };
                match round.failed(miss, carrier < 32) {
                    Next::NextPooler => {}
                    Next::RetryAfter(pause) => {
                        now += pause.as_millis();
                        break;
                    }
                    Next::OwnPool => {
                        own += 1;
                        break 'statement;
                    }
                    Next::Fallback => unreachable!("all reach the group"),
                }
            }
            assert!(now < RUNS + LEARNS + Span::from_millis(100).as_millis());
        }
    }
    assert_eq!(own, 0);
}
