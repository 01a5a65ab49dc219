//! Tests of the steps of a promotion attempt.

use indexmap::IndexMap;
use model::config::{Fleet, Group, Instance};
use model::id::InstanceId;
use model::position::{Revision, Term};
use model::unit::{Span, Time};
use policy::decision::Cause;
use policy::leadership::Record;
use policy::message::{QueryId, StoreReply, StoreRequest, Versioned};
use policy::promote::{self, Attempt, Progress, Request, Step};
use policy::spec::Spec;
use policy::status::{Role, Status};
use test_case::test_case;

const NOW: Time = Time::from_millis(1);

fn spec(leaving: Option<usize>) -> Spec {
    let instance = |at: usize| Instance {
        address: format!("127.0.{at}.1:5432").parse().unwrap(),
        data_centre: "d".parse().unwrap(),
        leaving: leaving == Some(at),
    };
    let named = |at: usize| (format!("i{at}").parse().unwrap(), instance(at));
    let group = Group {
        instances: (0..3).map(named).collect(),
        database: "g".into(),
        user: "g".into(),
        password: None,
    };
    let centres = [("d".parse().unwrap(), "r".parse().unwrap())];
    let fleet = Fleet {
        data_centres: centres.into_iter().collect(),
        groups: [("g".parse().unwrap(), group)].into_iter().collect(),
        ..Fleet::default()
    };
    Spec::new(&fleet, &"g".parse().unwrap()).unwrap()
}

fn record(claimant: &str, nonce: u64) -> Record {
    Record {
        term: Term(2),
        primary: None,
        claimant: claimant.parse().unwrap(),
        nonce,
    }
}

fn found(revision: u64, record: Option<Record>) -> StoreReply {
    let revision = Revision(revision);
    StoreReply::Found(Versioned { revision, record })
}

/// An attempt of p1 with nonce 7 that has sent its claim of term 2 as query 1.
fn claiming() -> Attempt {
    let me = "p1".parse().unwrap();
    let known = Versioned::default();
    let mut attempt = Attempt::new(NOW, &me, Cause::Unreachable, Some(&known), Term(1), 7);
    let requests = attempt.requests(NOW, &spec(None));
    assert!(matches!(
        &requests[..],
        [Request::Store(StoreRequest::Swap { .. })]
    ));
    attempt.store_queried(NOW, QueryId(1));
    attempt
}

// Two proxies claim the same term at the same time. One of them gets no reply and reads the
// record back. The record has the claimed term but the other proxy's nonce, so that the term
// belongs to the other proxy.
#[test]
fn a_claim_lost_to_another_proxy_is_recognised() {
    let mut attempt = claiming();
    assert_eq!(
        attempt.take_store_reply(NOW, QueryId(1), StoreReply::Unknown),
        None
    );
    attempt.store_queried(NOW, QueryId(2));
    let other = found(1, Some(record("p2", 8)));
    let progress = attempt.take_store_reply(NOW, QueryId(2), other);
    assert!(matches!(progress, Some(Progress::Superseded(_))));
    assert!(!attempt.has_claim());
}

// The claim took effect, but its reply was lost. The record read back has its nonce.
#[test]
fn a_claim_whose_reply_was_lost_is_recognised() {
    let mut attempt = claiming();
    attempt.take_store_reply(NOW, QueryId(1), StoreReply::Unknown);
    attempt.store_queried(NOW, QueryId(2));
    let own = found(1, Some(record("p1", 7)));
    let progress = attempt.take_store_reply(NOW, QueryId(2), own);
    assert_eq!(progress, Some(Progress::Claimed));
}

// The claim has not taken effect yet, and its reply was lost. It is repeated with the same
// expected revision, so that at most one of the two takes effect.
#[test]
fn a_claim_without_effect_is_repeated() {
    let mut attempt = claiming();
    attempt.take_store_reply(NOW, QueryId(1), StoreReply::Unknown);
    attempt.store_queried(NOW, QueryId(2));
    attempt.take_store_reply(NOW, QueryId(2), found(0, None));
    assert_eq!(attempt.step, Step::Claiming);
    let late = attempt.take_store_reply(NOW, QueryId(1), StoreReply::Swapped(Revision(1)));
    assert_eq!(late, Some(Progress::Claimed));
}

// The chosen instance does not respond. It may have been promoted nevertheless, so the
// attempt ends, and no other instance is promoted under its term.
#[test]
fn a_term_never_has_a_second_choice() {
    let spec = spec(None);
    let mut attempt = claiming();
    attempt.take_store_reply(NOW, QueryId(1), StoreReply::Swapped(Revision(1)));
    for id in ["i1", "i2"] {
        attempt.observe(NOW, &spec, &id.parse().unwrap(), &fenced("1:0", 5));
    }
    let chosen: InstanceId = "i1".parse().unwrap();
    assert_eq!(attempt.step, Step::Promoting(chosen.clone()));
    let later = NOW + Span::from_millis(1_000);
    attempt.observe(later, &spec, &"i0".parse().unwrap(), &fenced("1:0", 9));
    assert_eq!(attempt.step, Step::Promoting(chosen.clone()));
    assert_eq!(attempt.timed_out(later), Some(Progress::TimedOut(chosen)));
}

fn fenced(history: &str, received: u64) -> Status {
    Status {
        role: Role::Replica,
        fenced: Term(2),
        history: history.parse().unwrap(),
        received: model::position::Position(received),
        applied: model::position::Position(received),
        contact_age: Span::default(),
    }
}

// The log with the newest term is preferred, then the longest one. A leaving instance is
// chosen only if no other instance is safe to promote.
#[test_case(None, [Some(("1:0", 5)), Some(("1:0", 7)), None], Some("i1"); "the longer log")]
#[test_case(None, [Some(("1:0", 9)), Some(("1:0,3:5", 6)), None], Some("i1"); "the newer term")]
#[test_case(None, [Some(("1:0", 5)), Some(("1:0", 5)), None], Some("i0"); "a tie")]
#[test_case(None, [Some(("1:0", 5)), None, None], None; "no majority")]
#[test_case(Some(0), [Some(("1:0", 9)), Some(("1:0", 8)), Some(("1:0", 7))], Some("i1"); "leaving")]
#[test_case(Some(0), [Some(("1:0", 9)), Some(("1:0", 8)), None], Some("i0"); "leaving, the only safe one")]
fn chooses_the_next_primary(
    leaving: Option<usize>,
    logs: [Option<(&str, u64)>; 3],
    expected: Option<&str>,
) {
    let mut statuses = IndexMap::new();
    for (at, log) in logs.into_iter().enumerate() {
        if let Some((history, received)) = log {
            let id: InstanceId = format!("i{at}").parse().unwrap();
            statuses.insert(id, fenced(history, received));
        }
    }
    let choice = promote::choose(&spec(leaving), &statuses);
    let chosen = choice.map(|c| c.instance.to_string());
    assert_eq!(chosen.as_deref(), expected);
}
