//! The oracle of the load tool sees each kind of broken promise.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use load::ledger::{self, Answer, Audit, Ledger};
use test_case::test_case;

fn ledger(answers: &[Answer]) -> Ledger {
    let mut ledger = Ledger::default();
    let start = Instant::now();
    for (at, answer) in (0..).zip(answers) {
        ledger.record(*answer, start + Duration::from_secs(at * 10));
    }
    ledger
}

fn found(lost: u64, doubled: u64, false_refusals: u64) -> Audit {
    Audit {
        lost,
        doubled,
        false_refusals,
    }
}

#[test_case(Answer::Acknowledged, 1 => found(0, 0, 0); "kept")]
#[test_case(Answer::Acknowledged, 0 => found(1, 0, 0); "acknowledged write is missing")]
#[test_case(Answer::Acknowledged, 2 => found(0, 1, 0); "acknowledged write ran twice")]
#[test_case(Answer::DidNotRun, 0 => found(0, 0, 0); "refused and absent")]
#[test_case(Answer::DidNotRun, 1 => found(0, 0, 1); "refused but present")]
#[test_case(Answer::Unknown, 0 => found(0, 0, 0); "unknown and absent")]
#[test_case(Answer::Unknown, 1 => found(0, 0, 0); "unknown and present")]
#[test_case(Answer::Unknown, 2 => found(0, 1, 0); "unknown ran twice")]
fn audit(answer: Answer, rows: u64) -> Audit {
    ledger(&[answer]).audit(&IndexMap::from([(1, rows)]))
}

#[test_case(0, 2; "no stated age needs the newest acknowledged write")]
#[test_case(15, 1; "a stated age allows what was newest then")]
#[test_case(90, 0; "an age beyond the first write allows an empty answer")]
fn oldest_allowed(age: u64, expected: u64) {
    let ledger = ledger(&[Answer::Acknowledged, Answer::Acknowledged, Answer::Unknown]);
    let first = ledger.acknowledged().next().unwrap();
    let sent = first + Duration::from_secs(20);
    let allowed = ledger.oldest_allowed(sent, Duration::from_secs(age));
    assert_eq!(allowed, expected);
}

#[test]
fn longest_gap_does_not_depend_on_the_order() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let gap = ledger::longest_gap(vec![at(9), at(1), at(2)]);
    assert_eq!(gap, Some((at(2), Duration::from_secs(7))));
    assert_eq!(ledger::longest_gap(vec![at(1)]), None);
}
