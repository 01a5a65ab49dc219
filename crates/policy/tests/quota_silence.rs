//! Granters that do not answer, and what a holder does about them.

use model::id::ProxyId;
use model::unit::{Span, Time};
use policy::quota::{Action, Answer, Holder, SILENT_AFTER, Silence};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn proxy(n: usize) -> ProxyId {
    format!("p{n}").parse().unwrap()
}

fn holder() -> Holder<u32> {
    let mut holder = Holder::new(at(0));
    holder.set_granters((0..3).map(proxy).collect());
    holder
}

fn requests(actions: &[Action<u32>]) -> Vec<ProxyId> {
    let request = |a: &Action<u32>| match a {
        Action::Request(granter, _) => Some(granter.clone()),
        _ => None,
    };
    actions.iter().filter_map(request).collect()
}

fn refusal(retry_ms: u64) -> Option<Answer> {
    Some(Answer {
        granted: 0,
        retry_after: Span::from_millis(retry_ms),
    })
}

/// A third of the fleet is disconnected, and another customer's request has found that out: the
/// next granter is asked without a wait.
#[test]
fn a_silent_granter_is_passed_over_at_once() {
    let mut holder = holder();
    holder.set_silent(&proxy(0), true);
    assert_eq!(requests(&holder.request(1, at(0))), [proxy(1)]);
}

/// A granter turns out to be silent while operations wait for it.
#[test]
fn waiting_operations_pass_over_a_granter_that_turns_silent() {
    let mut holder = holder();
    assert_eq!(requests(&holder.request(1, at(0))), [proxy(0)]);
    holder.set_silent(&proxy(0), true);
    assert_eq!(requests(&holder.step(at(5))), [proxy(1)]);
}

/// All granters that can be reached refuse: an operation does not wait for the silent ones.
#[test]
fn silent_granters_do_not_delay_a_rejection() {
    let mut holder = holder();
    holder.request(1, at(0));
    holder.set_silent(&proxy(0), true);
    holder.set_silent(&proxy(1), true);
    assert_eq!(requests(&holder.step(at(5))), [proxy(2)]);
    let actions = holder.answered(&proxy(2), refusal(400), at(8));
    let [Action::Reject(1, rejection)] = &actions[..] else {
        panic!("not rejected: {actions:?}");
    };
    assert_eq!(rejection.retry_after, Span::from_millis(400));
}

/// This proxy is disconnected from all granters.
#[test]
fn an_operation_is_rejected_at_once_if_all_granters_are_silent() {
    let mut holder = holder();
    for n in 0..3 {
        holder.set_silent(&proxy(n), true);
    }
    assert!(holder.known_rejection(at(0)).is_some());
    let actions = holder.request(1, at(0));
    assert!(matches!(actions[..], [Action::Reject(1, _)]), "{actions:?}");
}

/// Guards against a granter that stays passed over when it answers again.
#[test]
fn a_granter_that_answers_again_is_asked_again() {
    let mut holder = holder();
    holder.request(1, at(0));
    holder.answered(&proxy(0), None, at(150));
    holder.set_silent(&proxy(0), true);
    holder.set_silent(&proxy(0), false);
    assert_eq!(requests(&holder.request(2, at(160))), [proxy(0)]);
}

/// A silent granter is queried, and not by operations; less often when it stays silent.
#[test]
fn a_silent_granter_is_queried_less_and_less() {
    let mut silence = Silence::default();
    assert!(silence.no_answer(&proxy(0), at(0)));
    assert!(!silence.no_answer(&proxy(0), at(SILENT_AFTER.as_millis())));
    let queries = (0..10_000).filter(|ms| !silence.queries(at(*ms)).is_empty());
    let queries: Vec<_> = queries.collect();
    assert_eq!(queries[0], 100);
    assert!((11..=15).contains(&queries.len()), "{queries:?}");
    assert!(silence.answered(&proxy(0)) && !silence.is_silent(&proxy(0)));
}

/// A customer asks several times its limit: rejected operations return one after the other, and
/// not all when the next permit is due.
#[test]
fn rejected_operations_do_not_return_at_once() {
    let mut holder = holder();
    let mut returns = Vec::new();
    for n in 0..5 {
        let mut actions = holder.request(n, at(0));
        for granter in 0..3 {
            actions.extend(holder.answered(&proxy(granter), refusal(300), at(1)));
        }
        returns.extend(actions.iter().filter_map(|a| match a {
            Action::Reject(_, rejection) => Some(rejection.retry_after.as_millis()),
            _ => None,
        }));
    }
    assert_eq!(returns.len(), 5);
    assert!(
        returns.is_sorted() && returns[0] < returns[1],
        "{returns:?}"
    );
    assert!(returns[4] <= 1_000, "{returns:?}");
}
