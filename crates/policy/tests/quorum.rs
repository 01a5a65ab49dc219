//! How many proxies must suspect a primary before it is replaced.

use indexmap::IndexMap;
use model::id::{InstanceId, ProxyId};
use policy::quorum::{self, Suspicions};
use test_case::test_case;

fn suspicions(pairs: &[(&str, &str)], primary: Option<&str>, holders: usize) -> Suspicions {
    let parse = |(proxy, instance): &(&str, &str)| {
        let instance: InstanceId = instance.parse().unwrap();
        (proxy.parse::<ProxyId>().unwrap(), instance)
    };
    let by_proxy: IndexMap<_, _> = pairs.iter().map(parse).collect();
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
fn a_third_of_the_holders_is_required(holders: usize, required: usize) {
    assert_eq!(quorum::required(holders), required);
}

/// One proxy of nine is partitioned from a healthy primary. Nothing changes for the callers of
/// the others.
#[test]
fn one_proxy_alone_changes_no_announced_primary() {
    let suspicions = suspicions(&[("a", "p")], Some("p"), 9);
    assert_eq!(quorum::suspected(&suspicions, |_| true), None);
}

/// A primary is partitioned from the store together with most proxies. These cannot report what
/// they see, and callers of the others would have no writes until their leases lapse. The store
/// no longer announces the primary, so the one report that arrives suffices.
#[test]
fn one_suspicion_suffices_for_an_instance_that_is_no_longer_announced() {
    let suspicions = suspicions(&[("a", "p")], Some("p"), 9);
    let suspected = quorum::suspected(&suspicions, |i| *i != instance("p"));
    assert_eq!(suspected, Some(instance("p")));
}

/// Proxies that have not yet learned of a change still suspect the old primary. The new one is
/// not replaced because of that.
#[test]
fn outdated_suspicions_do_not_count_against_a_new_primary() {
    let outdated = [("a", "old"), ("b", "old"), ("c", "old")];
    let known = suspicions(&outdated, Some("new"), 3);
    assert_eq!(quorum::suspected(&known, |_| true), None);
    let lost = suspicions(&outdated, None, 3);
    assert_eq!(quorum::suspected(&lost, |_| true), Some(instance("old")));
}

/// A group changed its primary twenty times in half a minute: each change went back to an
/// instance that proxies still suspected from the change before, and so it was suspected at
/// once.
#[test]
fn a_recently_promoted_instance_is_not_suspected() {
    let mut suspicions = suspicions(&[("a", "back"), ("b", "back")], Some("back"), 3);
    suspicions.recently_promoted = Some(instance("back"));
    assert_eq!(quorum::suspected(&suspicions, |_| true), None);
    suspicions.primary = None;
    assert_eq!(quorum::suspected(&suspicions, |_| true), None);
    suspicions.recently_promoted = None;
    assert_eq!(
        quorum::suspected(&suspicions, |_| true),
        Some(instance("back"))
    );
}
