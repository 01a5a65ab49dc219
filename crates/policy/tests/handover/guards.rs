//! Validation of the model: without a guard the search finds a known violation, and with it
//! none. Guards that are older than the rule that only eligible replicas acknowledge writes are
//! searched without that rule.

use crate::cfg::{Budget, Cfg, Guard};
use crate::search;
use crate::world::bit;

/// A resume command takes effect during the next change.
#[test]
fn pending_resume_commands() {
    let cfg = Cfg {
        budget: Budget {
            changes: 2,
            partitions: 1,
            heals: 1,
            ..Budget::one()
        },
        depth: 26,
        ..Cfg::default()
    };
    search::requires("a late resume command", &[Guard::ResumePending], &cfg);
}

/// An instance starts while a suspected primary is running.
#[test]
fn a_running_primary_is_demoted() {
    let cfg = Cfg {
        budget: Budget {
            starts: 1,
            ..Budget::one()
        },
        depth: 40,
        all_eligible: true,
        ..Cfg::default()
    };
    let guards = [Guard::Demote, Guard::Announcing];
    search::requires("a running primary", &guards, &cfg);
}

/// A replica that was no longer announced comes back while the primary is running.
#[test]
fn a_replica_comes_back_beside_a_running_primary() {
    let cfg = Cfg {
        budget: Budget {
            restarts: 1,
            ..Budget::one()
        },
        unannounced: Some(1),
        depth: 40,
        all_eligible: true,
        ..Cfg::default()
    };
    search::requires("a replica comes back", &[Guard::Demote], &cfg);
}

/// An instance is announced during an order, and receives after that.
#[test]
fn newly_announced_instances_are_paused() {
    let cfg = Cfg {
        budget: Budget {
            partitions: 1,
            starts: 1,
            ..Budget::one()
        },
        depth: 26,
        announced_first: true,
        all_eligible: true,
        ..Cfg::default()
    };
    search::requires("a newly announced instance", &[Guard::PauseNew], &cfg);
}

/// Instances that start, restart or return under another id receive from a primary that only
/// the coordinator cannot reach, while orders are repeated and the coordinator role changes
/// hands.
#[test_case::test_case(Budget { starts: 1, ..Budget::one() }, 24; "starts")]
#[test_case::test_case(Budget { crashes: 1, restarts: 1, ..Budget::one() }, 24; "restarts")]
#[test_case::test_case(Budget { crashes: 1, returns: 1, ..Budget::one() }, 24; "returns")]
#[test_case::test_case(Budget { starts: 1, lost_roles: 1, changes: 2, orders: 2, ..Budget::one() }, 18; "starts between two coordinators")]
#[test_case::test_case(Budget { crashes: 1, restarts: 1, lost_roles: 1, changes: 2, orders: 2, ..Budget::one() }, 18; "restarts between two coordinators")]
fn only_eligible_replicas_acknowledge_writes(budget: Budget, depth: usize) {
    let cfg = Cfg {
        budget: Budget {
            partitions: 1,
            ..budget
        },
        depth,
        never_crash: bit(0),
        ..Cfg::default()
    };
    let guards = [Guard::Eligibility, Guard::ChangeRecorded];
    search::requires("an unknown receiver", &guards, &cfg);
}

/// A coordinator that lost its role ends its change while its successor's change is in
/// progress.
#[test]
fn an_earlier_change_ends_only_itself() {
    let cfg = Cfg {
        budget: Budget {
            starts: 1,
            lost_roles: 1,
            changes: 2,
            ..Budget::one()
        },
        depth: 21,
        leaving: true,
        ..Cfg::default()
    };
    search::holds("an earlier change ends late", &cfg);
}
