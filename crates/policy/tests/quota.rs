//! Rate limits of customers: permits of one part, and the requests of one proxy.

use indexmap::IndexMap;
use model::customer::RateLimit;
use model::id::{CustomerId, ProxyId};
use model::position::Revision;
use model::unit::{Span, Time};
use policy::quota::{
    Action, Announcement, Answer, Authority, Budget, Granter, Holder, PARTS, PERMIT_TTL, Parts,
    Terms,
};
use test_case::test_case;

const TERMS: Terms = Terms {
    window: Span::from_millis(5_000),
    overage: 0.1,
    slack: 20.0,
};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn proxy(n: usize) -> ProxyId {
    format!("p{n}").parse().unwrap()
}

fn customer() -> CustomerId {
    "c".parse().unwrap()
}

fn limit(per_s: f64, burst: f64) -> RateLimit {
    RateLimit::new(per_s, burst).unwrap()
}

fn requests<W>(actions: &[Action<W>]) -> Vec<(ProxyId, u32)> {
    let request = |a: &Action<W>| match a {
        Action::Request(granter, count) => Some((granter.clone(), *count)),
        _ => None,
    };
    actions.iter().filter_map(request).collect()
}

fn confirmed(parts: u32) -> Parts {
    Parts {
        confirmed: parts,
        unconfirmed: 0,
    }
}

fn unconfirmed(parts: u32) -> Parts {
    Parts {
        confirmed: 0,
        unconfirmed: parts,
    }
}

/// Whatever the limit, all parts with their bursts, and as many unconfirmed ones beside them,
/// stay within what the terms allow.
#[test_case(4.0, 4.0, TERMS)]
#[test_case(147.0, 147.0, TERMS)]
#[test_case(10_000.0, 0.0, TERMS)]
#[test_case(50.0, 500.0, Terms { overage: 0.0, slack: 0.0, ..TERMS }; "without tolerance")]
fn all_parts_together_stay_within_the_limit(per_s: f64, burst: f64, terms: Terms) {
    all_parts_stay_within(per_s, burst, terms);
}

fn all_parts_stay_within(per_s: f64, burst: f64, terms: Terms) {
    let budget = Budget::new(limit(per_s, burst), terms);
    let window = terms.window.as_micros() as f64 / 1e6;
    let granted_in = window + PERMIT_TTL.as_micros() as f64 / 1e6;
    let parts = PARTS as f64;
    let confirmed = parts * (budget.rate * granted_in + budget.capacity);
    let any = 2.0 * parts * (budget.unconfirmed_rate * granted_in + budget.initial);
    let allowed = (per_s * window + burst) * (1.0 + terms.overage) + terms.slack;
    assert!(
        confirmed + any <= allowed + 1e-6,
        "{confirmed} and {any} of {allowed}"
    );
    assert!(parts * budget.rate >= 0.7 * per_s);
}

/// All proxies restart: a customer that asks for less than its rate is served in the first
/// second, also before any granter is confirmed, where the accepted excess leaves room for it.
#[test_case(0.5)]
#[test_case(2.0)]
#[test_case(5.0)]
fn granters_begin_with_enough_for_a_small_customer(per_s: f64) {
    let budget = Budget::new(limit(per_s, per_s), TERMS);
    let mut granters: Vec<_> = (0..PARTS)
        .map(|_| Granter::new(budget, unconfirmed(1), at(0)))
        .collect();
    let granted = granters.iter_mut().map(|g| g.grant(9, at(0)).granted);
    let granted: u32 = granted.sum();
    assert!(f64::from(granted) >= per_s, "{granted}");
    assert!(budget.capacity >= 1.0, "{}", budget.capacity);
}

/// Customers with small limits, and terms without tolerance: the bound holds for both.
#[test_case(0.1, 0.0, TERMS; "hardly any")]
#[test_case(1.5, 1.5, TERMS; "less than a permit for each part")]
#[test_case(4.0, 4.0, Terms { overage: 0.0, slack: 0.0, ..TERMS }; "a small customer without tolerance")]
fn small_limits_stay_within_the_terms(per_s: f64, burst: f64, terms: Terms) {
    all_parts_stay_within(per_s, burst, terms);
}

fn granted_in_a_second(parts: Parts) -> f64 {
    let budget = Budget::new(limit(90.0, 90.0), TERMS);
    let mut granter = Granter::new(budget, parts, at(0));
    granter.set_parts(parts, at(0));
    let granted: u32 = (0..1_000).map(|ms| granter.grant(9, at(ms)).granted).sum();
    f64::from(granted)
}

/// A hot customer is granted its limit and no more.
#[test_case(1)]
#[test_case(3)]
fn a_granter_grants_its_parts(parts: u32) {
    let budget = Budget::new(limit(90.0, 90.0), TERMS);
    let expected = f64::from(parts) * (budget.rate + budget.initial);
    let granted = granted_in_a_second(confirmed(parts));
    assert!((granted - expected).abs() < 2.0, "{granted} of {expected}");
}

/// Guards against a granter that was disconnected or has just appeared and uses a whole part
/// while another proxy does as well.
#[test]
fn a_granter_without_authority_grants_little() {
    let granted = granted_in_a_second(unconfirmed(1));
    assert!(
        granted < 0.3 * granted_in_a_second(confirmed(1)),
        "{granted}"
    );
    assert_eq!(granted_in_a_second(Parts::default()), 0.0);
}

fn holder() -> Holder<u32> {
    let mut holder = Holder::new(at(0));
    holder.set_granters((0..3).map(proxy).collect());
    holder
}

fn none(retry_ms: u64) -> Option<Answer> {
    Some(Answer {
        granted: 0,
        retry_after: Span::from_millis(retry_ms),
    })
}

/// An operation over the limit is rejected as soon as all granters have refused, and not only
/// after a wait.
#[test]
fn an_operation_over_the_limit_is_rejected_at_once() {
    let mut holder = holder();
    let mut actions = holder.request(1, at(0));
    for n in 0..3 {
        assert_eq!(requests(&actions), [(proxy(n), 1)]);
        actions = holder.answered(&proxy(n), none(700 + n as u64), at(2 + n as u64));
    }
    let [Action::Reject(1, rejection)] = &actions[..] else {
        panic!("not rejected: {actions:?}");
    };
    assert_eq!(rejection.retry_after, Span::from_millis(698));
}

/// A permit is available in a moment: the operation waits for it.
#[test]
fn an_operation_waits_for_a_permit_that_is_due_soon() {
    let mut holder = holder();
    holder.request(1, at(0));
    for n in 0..3 {
        holder.answered(&proxy(n), none(60), at(1));
    }
    assert_eq!(holder.next_step(at(1)), Some(at(61)));
    assert_eq!(requests(&holder.step(at(61))), [(proxy(0), 1)]);
    let granted = Answer {
        granted: 1,
        retry_after: Span::from_millis(60),
    };
    let actions = holder.answered(&proxy(0), Some(granted), at(62));
    assert!(matches!(actions[..], [Action::Admit(1, _)]), "{actions:?}");
}

/// Guards against a process that is busy with the checks of waiting operations: while a request
/// is under way, other granters that could be asked are no reason for one.
#[test]
fn a_waiting_operation_is_not_checked_all_the_time() {
    let mut holder = holder();
    holder.request(1, at(10));
    assert_eq!(holder.next_step(at(10)), Some(at(70)));
}

/// A granter does not answer: the next one is asked, and an operation is not held for long.
#[test]
fn an_unresponsive_granter_is_passed_over() {
    let mut holder = holder();
    holder.request(1, at(0));
    assert!(requests(&holder.step(at(59))).is_empty());
    assert_eq!(requests(&holder.step(at(60))), [(proxy(1), 1)]);
    holder.answered(&proxy(0), None, at(150));
    let actions = holder.step(at(250));
    assert!(matches!(actions[..], [Action::Reject(1, _)]), "{actions:?}");
}

/// Guards against permits that are spent long after they were granted, by a process that was
/// suspended or by operations that waited for a connection.
#[test]
fn a_permit_expires() {
    let mut holder = holder();
    holder.request(1, at(0));
    let granted = Answer {
        granted: 9,
        retry_after: Span::from_millis(0),
    };
    let actions = holder.answered(&proxy(0), Some(granted), at(10));
    let [Action::Admit(1, permit), ..] = &actions[..] else {
        panic!("not admitted: {actions:?}");
    };
    assert!(permit.is_valid(at(499)) && !permit.is_valid(at(500)));
    assert_eq!(holder.available(at(500)), 0);
    assert_eq!(holder.try_take(at(500)), None);
}

/// Steady demand is served from permits that were requested in advance, in batches.
#[test]
fn steady_demand_is_admitted_without_a_wait() {
    let mut holder = holder();
    let (mut admitted, mut asked) = (0, 0);
    for n in 0..400_u64 {
        let now = at(n * 10);
        let mut actions = holder.request(1, now);
        while let Some(action) = actions.pop() {
            match action {
                Action::Admit(..) => admitted += 1,
                Action::Reject(..) => panic!("rejected"),
                Action::Request(granter, count) => {
                    asked += 1;
                    let answer = Answer {
                        granted: count,
                        retry_after: Span::from_millis(0),
                    };
                    actions.extend(holder.answered(&granter, Some(answer), now));
                }
            }
        }
    }
    assert_eq!(admitted, 400);
    assert!(asked <= 80, "{asked} requests");
}

/// An announcement of a proxy that has not restarted.
fn announcement(at: u64) -> Announcement {
    Announcement {
        created: Revision(at),
        written: Revision(at),
    }
}

/// A view of proxies `0..n`, announced at the given revisions.
fn authority(me: usize, announced: &[(usize, u64)], revision: u64) -> Authority {
    let mut authority = Authority::new(proxy(me));
    let live = announced
        .iter()
        .map(|(n, at)| (proxy(*n), announcement(*at)));
    authority.set_live(live.collect(), Revision(revision));
    let mine = announced.iter().find(|(n, _)| *n == me);
    authority.set_announced(mine.map(|(_, at)| Revision(*at)));
    authority.set_valid_until(at(5_000));
    authority
}

/// Parts of each of five proxies that were announced at once.
fn parts_of_all() -> Vec<u32> {
    let all: Vec<_> = (0..5).map(|n| (n, 1)).collect();
    let parts = |n| authority(n, &all, 1).parts(&customer(), at(0));
    (0..5).map(|n| parts(n).confirmed).collect()
}

/// A proxy with parts.
fn some_granter() -> usize {
    parts_of_all().iter().position(|parts| *parts > 0).unwrap()
}

/// Each part has one holder.
#[test]
fn all_parts_are_held_once() {
    assert_eq!(parts_of_all().iter().sum::<u32>(), PARTS as u32);
}

/// A proxy that appears takes a part over only when the one that held it knows of it.
#[test]
fn a_new_granter_waits_for_those_that_it_displaces() {
    let new = some_granter();
    let held = parts_of_all()[new];
    let mut announced: Vec<_> = (0..5).map(|n| (n, 1)).collect();
    announced[new].1 = 9;
    let mut authority = authority(new, &announced, 9);
    let parts = |a: &mut Authority| a.parts(&customer(), at(0));
    assert_eq!(parts(&mut authority), unconfirmed(held));
    assert!(
        !authority.knows(&customer(), Revision(9)),
        "it is not confirmed itself"
    );
    let customers = [customer()];
    let (uninformed, revision) = authority.to_inform(&customers).unwrap();
    assert_eq!(revision, Revision(9));
    for (customer, id) in uninformed {
        authority.set_informed(customer, id, Revision(9));
    }
    assert_eq!(parts(&mut authority), confirmed(held));
    assert!(authority.knows(&customer(), Revision(9)));
}

/// A proxy that vanished grants no more, so others take its parts over at once.
#[test]
fn the_parts_of_a_granter_that_vanished_are_taken_over_at_once() {
    let gone = some_granter();
    let left: Vec<_> = (0..5).filter(|n| *n != gone).map(|n| (n, 1)).collect();
    let parts = left
        .iter()
        .map(|(n, _)| authority(*n, &left, 9).parts(&customer(), at(0)));
    let total: u32 = parts.map(|parts| parts.confirmed).sum();
    assert_eq!(total, PARTS as u32);
}

/// A granter whose registration may have lapsed may have been replaced.
#[test]
fn a_granter_is_confirmed_only_while_it_is_registered() {
    let me = some_granter();
    let held = parts_of_all()[me];
    let announced: Vec<_> = (0..5).map(|n| (n, 1)).collect();
    let mut authority = authority(me, &announced, 9);
    assert_eq!(authority.parts(&customer(), at(4_999)), confirmed(held));
    assert_eq!(authority.parts(&customer(), at(5_000)), unconfirmed(held));
}

/// An announcement lapses, and is written again by a call that was carried out late: proxies
/// that appeared in between rank as announced before this one.
#[test]
fn an_announcement_that_is_carried_out_late_counts() {
    let me = some_granter();
    let announced: Vec<_> = (0..5).map(|n| (n, if n == me { 9 } else { 2 })).collect();
    let mut authority = authority(me, &announced, 9);
    let inform = |a: &mut Authority, revision| {
        for (customer, id) in a.to_inform(&[customer()]).unwrap().0 {
            a.set_informed(customer, id, revision);
        }
        a.parts(&customer(), at(0)).unconfirmed
    };
    assert_eq!(inform(&mut authority, Revision(9)), 0);
    let later = announced
        .iter()
        .map(|(n, at)| (proxy(*n), announcement(if *n == me { 12 } else { *at })));
    authority.set_live(later.collect(), Revision(12));
    assert!(authority.parts(&customer(), at(0)).unconfirmed > 0);
    assert_eq!(inform(&mut authority, Revision(12)), 0);
}

/// Views of five proxies of which some have restarted: announced first at 1 to 5 and again from
/// 11 on, in the order of `restarted`, and seen up to a revision.
fn views(restarted: &[usize], revision: u64) -> Vec<Authority> {
    let live = (0..5).map(|n| {
        let created = Revision(n as u64 + 1);
        let again = restarted.iter().position(|r| *r == n);
        let again = again.map(|at| Revision(at as u64 + 11));
        let written = again.filter(|at| *at <= Revision(revision));
        let written = written.unwrap_or(created);
        (proxy(n), Announcement { created, written })
    });
    let live: IndexMap<_, _> = live.collect();
    let view = |n| {
        let mut authority = Authority::new(proxy(n));
        authority.set_live(live.clone(), Revision(revision));
        let again = restarted.iter().position(|r| *r == n);
        let announced_at = again.map_or(n as u64 + 1, |at| at as u64 + 11);
        authority.set_announced(Some(Revision(announced_at)));
        authority.set_valid_until(at(5_000));
        authority
    };
    (0..5).map(view).collect()
}

/// All proxies restart before their keys lapse: each part is confirmed as soon as its holder
/// knows of the announcements after the restart, without a question to any other proxy.
#[test]
fn a_restart_of_all_is_confirmed_without_questions() {
    let mut views = views(&[3, 0, 4, 2, 1], 15);
    let parts: Vec<_> = views
        .iter_mut()
        .map(|v| v.parts(&customer(), at(0)))
        .collect();
    assert_eq!(parts.iter().map(|p| p.confirmed).sum::<u32>(), PARTS as u32);
    assert_eq!(parts.iter().map(|p| p.unconfirmed).sum::<u32>(), 0);
    for view in &mut views {
        let (uninformed, _) = view.to_inform(&[customer()]).unwrap();
        assert_eq!(uninformed, []);
    }
}

/// A process that does not know of its own announcement yet may have been displaced after an
/// earlier process of it answered that it knows: it is not confirmed, and answers nothing.
#[test]
fn a_restarted_granter_waits_for_its_own_announcement() {
    for (n, view) in views(&[3, 0, 4, 2, 1], 10).iter_mut().enumerate() {
        assert_eq!(view.parts(&customer(), at(0)).confirmed, 0, "proxy {n}");
        assert!(!view.knows(&customer(), Revision(1)));
        assert!(view.to_inform(&[customer()]).is_none());
    }
}

/// One granter restarts before its key lapses: it asks the proxies that were there before it,
/// which may not know of it if its earlier process was never confirmed.
#[test]
fn a_single_restart_asks_those_that_were_there_before() {
    let mut asked = 0;
    for n in 0..5 {
        let view = &mut views(&[n], 11)[n];
        let (uninformed, revision) = view.to_inform(&[customer()]).unwrap();
        assert_eq!(revision, Revision(n as u64 + 1));
        asked += uninformed.len();
        let expected = Parts {
            unconfirmed: 0,
            confirmed: view.parts(&customer(), at(0)).all(),
        };
        for (customer, id) in uninformed {
            view.set_informed(customer, id, revision);
        }
        assert_eq!(view.parts(&customer(), at(0)), expected);
    }
    assert!(asked > 0);
}
