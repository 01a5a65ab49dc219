//! The proof of the model: without a guard the search finds again what it was made for, and
//! with it nothing. Guards that are older than the rule that only replicas which count prove
//! writes are searched without that rule.

use crate::cfg::{Budget, Cfg, Guard};
use crate::search;
use crate::world::bit;

/// An order to receive again is carried out in the middle of the next change.
#[test]
fn pending_orders_to_receive_again() {
    let cfg = Cfg {
        budget: Budget {
            changes: 2,
            cuts: 1,
            heals: 1,
            ..Budget::one()
        },
        depth: 26,
        ..Cfg::default()
    };
    search::proves(
        "a late order to receive again",
        &[Guard::ResumePending],
        &cfg,
    );
}

/// An instance starts beside a doubted primary that lives.
#[test]
fn a_living_primary_is_told_to_stop() {
    let cfg = Cfg {
        budget: Budget {
            starts: 1,
            ..Budget::one()
        },
        depth: 40,
        uncounted: true,
        ..Cfg::default()
    };
    let guards = [Guard::Demote, Guard::Announcing];
    search::proves("a living primary", &guards, &cfg);
}

/// A replica that was taken for gone comes back beside a primary that lives.
#[test]
fn a_replica_comes_back_beside_a_living_primary() {
    let cfg = Cfg {
        budget: Budget {
            restarts: 1,
            ..Budget::one()
        },
        gone: Some(1),
        depth: 40,
        uncounted: true,
        ..Cfg::default()
    };
    search::proves("a replica comes back", &[Guard::Demote], &cfg);
}

/// An instance appears during an order, and receives after it was announced.
#[test]
fn instances_that_appear_are_stopped() {
    let cfg = Cfg {
        budget: Budget {
            cuts: 1,
            starts: 1,
            ..Budget::one()
        },
        depth: 26,
        announced_first: true,
        uncounted: true,
        ..Cfg::default()
    };
    search::proves("an instance that appears", &[Guard::PauseNew], &cfg);
}

/// Instances that start, restart or return receive from a primary that only the coordinator
/// does not reach, while orders are repeated and the duty changes hands.
#[test_case::test_case(Budget { starts: 1, ..Budget::one() }, 24; "starts")]
#[test_case::test_case(Budget { crashes: 1, restarts: 1, ..Budget::one() }, 24; "restarts")]
#[test_case::test_case(Budget { crashes: 1, returns: 1, ..Budget::one() }, 24; "returns")]
#[test_case::test_case(Budget { starts: 1, lost_duties: 1, changes: 2, orders: 2, ..Budget::one() }, 18; "starts between two coordinators")]
#[test_case::test_case(Budget { crashes: 1, restarts: 1, lost_duties: 1, changes: 2, orders: 2, ..Budget::one() }, 18; "restarts between two coordinators")]
fn only_replicas_that_count_prove_writes(budget: Budget, depth: usize) {
    let cfg = Cfg {
        budget: Budget { cuts: 1, ..budget },
        depth,
        steady: bit(0),
        ..Cfg::default()
    };
    let guards = [Guard::Counted, Guard::ChangeNoted];
    search::proves("a receiver that nobody knows", &guards, &cfg);
}

/// A coordinator that has lost its duty ends its change while its successor's is under way.
#[test]
fn an_earlier_change_ends_only_itself() {
    let cfg = Cfg {
        budget: Budget {
            starts: 1,
            lost_duties: 1,
            changes: 2,
            ..Budget::one()
        },
        depth: 21,
        leaving: true,
        ..Cfg::default()
    };
    search::holds("an earlier change ends late", &cfg);
}
