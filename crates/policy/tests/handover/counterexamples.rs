//! Counterexamples that searches found in earlier states of the code, one configuration for
//! each, and the guards without which they are found again.

use crate::cfg::{Budget, Cfg, Guard};
use crate::search;
use crate::world::bit;

mod receivers;

fn cfg(depth: usize, budget: Budget) -> Cfg {
    Cfg {
        budget,
        depth,
        ..Cfg::default()
    }
}

/// Replicas receive again while an order is in flight that has no response yet or was accepted.
#[test]
fn a_voiding_order_promotes_no_instance() {
    let budget = Budget {
        repeats: 1,
        refusals: 1,
        partitions: 1,
        heals: 1,
        ..Budget::one()
    };
    let guards = [Guard::StayPaused, Guard::EffectTimeout, Guard::EarlierOrder];
    search::requires("a late order", &guards, &cfg(40, budget));
}

/// The same while a primary that is being decommissioned continues to serve.
#[test]
fn a_voiding_order_of_a_planned_change_promotes_no_instance() {
    let budget = Budget {
        repeats: 1,
        refusals: 1,
        ..Budget::one()
    };
    let cfg = Cfg {
        leaving: true,
        ..cfg(40, budget)
    };
    let guards = [Guard::StayPaused, Guard::EffectTimeout, Guard::EarlierOrder];
    search::requires("a late order of a planned change", &guards, &cfg);
}

/// The instance of the order of a planned change is itself decommissioned.
#[test]
fn the_second_order_of_a_planned_change_promotes_no_other() {
    let budget = Budget {
        orders: 2,
        repeats: 1,
        decommissions: 1,
        ..Budget::one()
    };
    let cfg = Cfg {
        leaving: true,
        ..cfg(28, budget)
    };
    let guards = [Guard::PendingOrder];
    search::requires("two orders of a planned change", &guards, &cfg);
}

/// An order was given twice, the second time without a response. It takes effect during the
/// next change, whose order promotes another instance.
#[test]
fn a_late_order_of_the_previous_change_is_void() {
    let budget = Budget {
        changes: 2,
        orders: 2,
        repeats: 2,
        ..Budget::one()
    };
    let cfg = cfg(34, budget);
    search::holds("a late order of the previous change", &cfg);
    let paused = Cfg {
        leaving: true,
        paused: bit(2),
        depth: 32,
        ..cfg
    };
    let guards = [Guard::VoidEarlier];
    search::requires("the same beside a paused replica", &guards, &paused);
}

/// The same with two coordinators.
#[test]
fn the_order_of_a_successor_promotes_no_other() {
    let budget = Budget {
        changes: 2,
        orders: 2,
        partitions: 1,
        heals: 1,
        lost_roles: 1,
        ..Budget::one()
    };
    search::holds("two orders of two coordinators", &cfg(20, budget));
}

/// A coordinator records a resume command after it lost the role, or just before. Its successor
/// does not know the command and relies on the replica being paused.
#[test]
fn a_successor_knows_a_pending_resume_command() {
    let budget = Budget {
        changes: 2,
        partitions: 1,
        lost_roles: 1,
        ..Budget::one()
    };
    let guards = [Guard::Role, Guard::Claim];
    search::requires("a pending resume command", &guards, &cfg(30, budget));
}

/// A change that was aborted, lost its coordinator, or got no response leaves a group that can
/// be made to serve again.
#[test]
fn a_group_recovers_after_a_change() {
    let budget = Budget {
        partitions: 1,
        heals: 1,
        lost_roles: 1,
        ..Budget::one()
    };
    search::recovers("a group recovers", &cfg(22, budget));
}

/// Two orders promote different instances. The first takes effect between the survey and the
/// arrival of the second, and resumes all replicas, although the second relies on them being
/// paused.
#[test]
fn the_second_of_two_orders_promotes_no_other() {
    let budget = Budget {
        orders: 2,
        crashes: 1,
        restarts: 1,
        lapses: 1,
        ..Budget::one()
    };
    let cfg = Cfg {
        never_crash: bit(0),
        ..cfg(28, budget)
    };
    search::holds("two orders", &cfg);
}

/// The primary and a replica are partitioned together, also from the store. They continue to
/// acknowledge writes, and the coordinator does not know up to which position.
#[test]
fn a_partitioned_pair_acknowledges() {
    let budget = Budget {
        partitions: 2,
        lapses: 2,
        ..Budget::one()
    };
    let cfg = Cfg {
        running_may_lapse: true,
        stale_proofs: true,
        ..cfg(24, budget)
    };
    search::holds("a pair partitioned together", &cfg);
}

/// The same with a replica that crashes and is no longer announced, where the coordinator does
/// not know the last write.
#[test]
fn a_demoted_primary_alone_holds_what_a_lost_replica_acknowledged() {
    let budget = Budget {
        crashes: 1,
        lapses: 1,
        ..Budget::one()
    };
    let cfg = Cfg {
        stale_proofs: true,
        ..cfg(24, budget)
    };
    search::holds("a replica is lost", &cfg);
}

/// The intents are read after the survey. A former coordinator sees its order take effect
/// between the two and deletes the intent: its successor promotes another instance because of
/// what it saw before.
#[test]
fn an_intent_deleted_after_the_survey_still_counts() {
    let budget = Budget {
        changes: 2,
        orders: 2,
        decommissions: 1,
        lost_roles: 1,
        ..Budget::one()
    };
    let cfg = Cfg {
        leaving: true,
        paused: bit(1) | bit(2),
        ..cfg(24, budget)
    };
    search::holds("an intent deleted after the survey", &cfg);
}

/// An order for the present primary is accepted, and takes effect after the next change has
/// demoted that primary: it leads again and replicas receive, beside the order for another.
#[test_case::test_case(Budget::one(), false, 30; "the primary is suspected")]
#[test_case::test_case(Budget { partitions: 1, ..Budget::one() }, true, 28; "the primary is being decommissioned")]
#[test_case::test_case(Budget { repairs: 1, ..Budget::one() }, false, 30; "the order is voided before the change")]
#[test_case::test_case(Budget { refusals: 1, crashes: 1, restarts: 1, ..Budget::one() }, false, 24; "a replica restarts")]
#[test_case::test_case(Budget { starts: 1, ..Budget::one() }, false, 24; "an instance starts")]
#[test_case::test_case(Budget { changes: 2, repeats: 2, lost_roles: 1, ..Budget::one() }, false, 22; "two coordinators")]
fn an_order_for_the_primary_takes_effect_after_its_demotion(
    budget: Budget,
    leaving: bool,
    depth: usize,
) {
    let budget = Budget {
        repeats: budget.repeats.max(1),
        ..budget
    };
    let cfg = Cfg {
        leaving,
        pending_order: true,
        ..cfg(depth, budget)
    };
    search::requires("an order for the primary", &[Guard::VoidingEffect], &cfg);
}
