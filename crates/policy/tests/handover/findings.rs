//! What searches found in earlier states of the code, one world for each, and the rules
//! without which they find it again.

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

/// Replicas receive again while an order is on its way that had no answer, or that was taken.
#[test]
fn the_order_that_voids_others_promotes_nobody() {
    let budget = Budget {
        repeats: 1,
        refusals: 1,
        cuts: 1,
        heals: 1,
        ..Budget::one()
    };
    let guards = [Guard::Stopped, Guard::Time, Guard::Earlier];
    search::proves("a late order", &guards, &cfg(40, budget));
}

/// The same while a primary that leaves goes on.
#[test]
fn the_voiding_order_of_a_planned_change_promotes_nobody() {
    let budget = Budget {
        repeats: 1,
        refusals: 1,
        ..Budget::one()
    };
    let cfg = Cfg {
        leaving: true,
        ..cfg(40, budget)
    };
    let guards = [Guard::Stopped, Guard::Time, Guard::Earlier];
    search::proves("a late order of a planned change", &guards, &cfg);
}

/// The instance of a planned change's order is itself taken out of service.
#[test]
fn the_second_order_of_a_planned_change_names_no_other() {
    let budget = Budget {
        orders: 2,
        repeats: 1,
        leaves: 1,
        ..Budget::one()
    };
    let cfg = Cfg {
        leaving: true,
        ..cfg(28, budget)
    };
    let guards = [Guard::Ordered];
    search::proves("two orders of a planned change", &guards, &cfg);
}

/// An order that was given twice had no answer the second time. It is carried out in the
/// middle of the next change, whose order names another.
#[test]
fn a_late_order_of_the_change_before_is_void() {
    let budget = Budget {
        changes: 2,
        orders: 2,
        repeats: 2,
        ..Budget::one()
    };
    let cfg = cfg(34, budget);
    search::holds("a late order of the change before", &cfg);
    let stopped = Cfg {
        leaving: true,
        stopped: bit(2),
        depth: 32,
        ..cfg
    };
    let guards = [Guard::VoidEarlier];
    search::proves("the same beside a stopped replica", &guards, &stopped);
}

/// The same of two coordinators.
#[test]
fn the_order_of_a_successor_names_no_other() {
    let budget = Budget {
        changes: 2,
        orders: 2,
        cuts: 1,
        heals: 1,
        lost_duties: 1,
        ..Budget::one()
    };
    search::holds("two orders of two coordinators", &cfg(20, budget));
}

/// An order to receive again is noted by a coordinator that has lost its duty, or before that,
/// and its successor does not know of it and counts on the replica as stopped.
#[test]
fn a_successor_knows_of_an_order_to_receive_again() {
    let budget = Budget {
        changes: 2,
        cuts: 1,
        lost_duties: 1,
        ..Budget::one()
    };
    let guards = [Guard::Duty, Guard::Claim];
    search::proves("an order to receive again", &guards, &cfg(30, budget));
}

/// A change that was given up, lost its coordinator or had no answer leaves a group that can
/// be made to serve again.
#[test]
fn a_change_can_end() {
    let budget = Budget {
        cuts: 1,
        heals: 1,
        lost_duties: 1,
        ..Budget::one()
    };
    search::ends("a change ends", &cfg(22, budget));
}

/// Two orders name different instances. The first is carried out between the look and the
/// arrival of the second, and lets all replicas receive, which the second counted on as
/// stopped.
#[test]
fn the_second_of_two_orders_names_no_other() {
    let budget = Budget {
        orders: 2,
        crashes: 1,
        restarts: 1,
        lapses: 1,
        ..Budget::one()
    };
    let cfg = Cfg {
        steady: bit(0),
        ..cfg(28, budget)
    };
    search::holds("two orders", &cfg);
}

/// The primary and a replica are cut off together, from the store as well. They go on
/// acknowledging, and the coordinator does not know up to where.
#[test]
fn a_cut_off_pair_acknowledges() {
    let budget = Budget {
        cuts: 2,
        lapses: 2,
        ..Budget::one()
    };
    let cfg = Cfg {
        lapses_alive: true,
        stale_proofs: true,
        ..cfg(24, budget)
    };
    search::holds("a pair cut off together", &cfg);
}

/// The same of a replica that crashes and is no longer announced, where the coordinator has
/// not heard of the last write.
#[test]
fn a_stopped_primary_alone_holds_what_a_lost_replica_acknowledged() {
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

/// The notes are read after the look. A former coordinator sees its order carried out between
/// the two, and deletes the note: its successor names another by what it saw before.
#[test]
fn a_note_that_goes_after_the_look_still_counts() {
    let budget = Budget {
        changes: 2,
        orders: 2,
        leaves: 1,
        lost_duties: 1,
        ..Budget::one()
    };
    let cfg = Cfg {
        leaving: true,
        stopped: bit(1) | bit(2),
        ..cfg(24, budget)
    };
    search::holds("a note that goes after the look", &cfg);
}
