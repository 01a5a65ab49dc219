//! How many proxies must agree before a primary is changed.

use indexmap::IndexMap;
use model::id::{InstanceId, ProxyId};
use policy::quorum::{self, Suspicions};
use test_case::test_case;

fn doubts(of: &[(&str, &str)], primary: Option<&str>, holders: usize) -> Suspicions {
    let parse = |(proxy, instance): &(&str, &str)| {
        let instance: InstanceId = instance.parse().unwrap();
        (proxy.parse::<ProxyId>().unwrap(), instance)
    };
    let by_proxy: IndexMap<_, _> = of.iter().map(parse).collect();
    Suspicions {
        by_proxy,
        primary: primary.map(instance),
        recently_promoted: None,
        holders,
    }
}

fn instance(id: &str) -> InstanceId {
    id.parse().unwrap()
}

#[test_case(1, 1)]
#[test_case(2, 2)]
#[test_case(6, 2)]
#[test_case(9, 3)]
#[test_case(65, 22)]
fn a_third_of_the_holders_must_agree(holders: usize, required: usize) {
    assert_eq!(quorum::required(holders), required);
}

/// One proxy of nine is cut off from a healthy primary. Nothing changes for the callers of
/// the others.
#[test]
fn one_proxy_alone_changes_no_announced_primary() {
    let doubts = doubts(&[("a", "p")], Some("p"), 9);
    assert_eq!(quorum::suspected(&doubts, |_| true), None);
}

/// A primary is cut off from the store together with most proxies: they cannot tell what
/// they see, and callers of the others would have no writes until their leases lapse. The
/// store no longer announces it, so the one that is heard suffices.
#[test]
fn one_doubt_suffices_about_an_instance_that_is_no_longer_announced() {
    let doubts = doubts(&[("a", "p")], Some("p"), 9);
    let doubted = quorum::suspected(&doubts, |i| *i != instance("p"));
    assert_eq!(doubted, Some(instance("p")));
}

/// Proxies that have not heard of a change still doubt the old primary. The new one is
/// not replaced for it.
#[test]
fn late_doubts_do_not_count_against_a_new_primary() {
    let late = [("a", "old"), ("b", "old"), ("c", "old")];
    let known = doubts(&late, Some("new"), 3);
    assert_eq!(quorum::suspected(&known, |_| true), None);
    let lost = doubts(&late, None, 3);
    assert_eq!(quorum::suspected(&lost, |_| true), Some(instance("old")));
}

/// A group changed its primary twenty times in half a minute: each change went back to an
/// instance that proxies still doubted from the change before, and so was doubted at once.
#[test]
fn an_instance_that_was_just_made_primary_is_not_doubted() {
    let mut doubts = doubts(&[("a", "back"), ("b", "back")], Some("back"), 3);
    doubts.recently_promoted = Some(instance("back"));
    assert_eq!(quorum::suspected(&doubts, |_| true), None);
    doubts.primary = None;
    assert_eq!(quorum::suspected(&doubts, |_| true), None);
    doubts.recently_promoted = None;
    assert_eq!(quorum::suspected(&doubts, |_| true), Some(instance("back")));
}
