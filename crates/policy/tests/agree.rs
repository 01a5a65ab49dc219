//! How many proxies must agree before a primary is changed.

use indexmap::IndexMap;
use model::id::{InstanceId, ProxyId};
use policy::agree;
use test_case::test_case;

fn doubts(of: &[(&str, &str)]) -> IndexMap<ProxyId, InstanceId> {
    let parse = |(proxy, instance): &(&str, &str)| {
        let instance: InstanceId = instance.parse().unwrap();
        (proxy.parse::<ProxyId>().unwrap(), instance)
    };
    of.iter().map(parse).collect()
}

fn instance(id: &str) -> InstanceId {
    id.parse().unwrap()
}

#[test_case(1, 1)]
#[test_case(2, 2)]
#[test_case(6, 2)]
#[test_case(9, 3)]
#[test_case(65, 22)]
fn a_third_of_the_holders_must_agree(holders: usize, needed: usize) {
    assert_eq!(agree::needed(holders), needed);
}

/// One proxy of nine is cut off from a healthy primary. Nothing changes for the callers of
/// the others.
#[test]
fn one_proxy_alone_changes_no_announced_primary() {
    let doubts = doubts(&[("a", "p")]);
    let primary = instance("p");
    let doubted = agree::doubted(&doubts, Some(&primary), 9, |_| true);
    assert_eq!(doubted, None);
}

/// A primary is cut off from the store together with most proxies: they cannot tell what
/// they see, and callers of the others would have no writes until their leases lapse. The
/// store no longer announces it, so the one that is heard suffices.
#[test]
fn one_doubt_suffices_about_an_instance_that_is_no_longer_announced() {
    let doubts = doubts(&[("a", "p")]);
    let primary = instance("p");
    let doubted = agree::doubted(&doubts, Some(&primary), 9, |i| *i != primary);
    assert_eq!(doubted, Some(instance("p")));
}

/// Proxies that have not heard of a change still doubt the old primary. The new one is
/// not replaced for it.
#[test]
fn late_doubts_do_not_count_against_a_new_primary() {
    let doubts = doubts(&[("a", "old"), ("b", "old"), ("c", "old")]);
    let primary = instance("new");
    assert_eq!(agree::doubted(&doubts, Some(&primary), 3, |_| true), None);
    let lost = agree::doubted(&doubts, None, 3, |_| true);
    assert_eq!(lost, Some(instance("old")));
}
