//! An instance receives from the old primary before a coordinator can pause it.

use super::cfg;
use crate::cfg::{Budget, Cfg};
use crate::search;
use crate::world::bit;

/// An acknowledged write was lost: only some proxies reached the primary, and the coordinator
/// did not. While the order for another instance was in flight, an instance started beside the
/// primary, received from it before it was announced, and so acknowledged writes.
#[test]
fn start_beside_a_partitioned_primary() {
    let budget = Budget {
        partitions: 1,
        starts: 1,
        ..Budget::one()
    };
    search::holds("start beside a partitioned primary", &cfg(24, budget));
}

/// A paused replica restarts beside a primary that only the coordinator cannot reach: it
/// receives again.
#[test]
fn restart_beside_a_partitioned_primary() {
    let budget = Budget {
        partitions: 1,
        crashes: 1,
        restarts: 1,
        ..Budget::one()
    };
    let cfg = Cfg {
        never_crash: bit(0),
        ..cfg(24, budget)
    };
    search::holds("restart beside a partitioned primary", &cfg);
}

/// The same under another id.
#[test]
fn return_beside_a_partitioned_primary() {
    let budget = Budget {
        partitions: 1,
        crashes: 1,
        returns: 1,
        ..Budget::one()
    };
    let cfg = Cfg {
        never_crash: bit(0),
        ..cfg(24, budget)
    };
    search::holds("return beside a partitioned primary", &cfg);
}

/// In a planned change the primary continues to serve, and an instance starts meanwhile.
#[test]
fn start_beside_a_decommissioned_primary() {
    let cfg = Cfg {
        leaving: true,
        ..cfg(
            24,
            Budget {
                starts: 1,
                ..Budget::one()
            },
        )
    };
    search::holds("start beside a decommissioned primary", &cfg);
}

/// A primary without a free slot for the demote command continues to lead.
#[test]
fn start_beside_a_full_primary() {
    let budget = Budget {
        fulls: 1,
        starts: 1,
        ..Budget::one()
    };
    search::holds("start beside a full primary", &cfg(24, budget));
}

/// An instance starts beside a primary that is then demoted, and crashes before it is
/// announced. The demoted primary, which is running and responds, alone holds what the instance
/// acknowledged.
#[test]
fn a_demoted_primary_alone_holds_what_a_new_instance_acknowledged() {
    let budget = Budget {
        starts: 1,
        crashes: 1,
        ..Budget::one()
    };
    let cfg = Cfg {
        never_crash: bit(0),
        ..cfg(24, budget)
    };
    search::holds("a new instance crashes", &cfg);
}
