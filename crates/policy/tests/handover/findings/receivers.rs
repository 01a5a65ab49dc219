//! An instance receives from the old primary before anybody can stop it.

use super::cfg;
use crate::cfg::{Budget, Cfg};
use crate::search;
use crate::world::bit;

/// An acknowledged write was lost: only some proxies reached the primary, not the
/// coordinator. While the order for another was on its way an instance started beside the
/// primary, received from it before it was announced, and so acknowledged.
#[test]
fn start_beside_a_cut_primary() {
    let budget = Budget {
        cuts: 1,
        starts: 1,
        ..Budget::one()
    };
    search::holds("start beside a cut primary", &cfg(24, budget));
}

/// A stopped replica restarts beside a primary that only the coordinator does not reach: it
/// receives again.
#[test]
fn restart_beside_a_cut_primary() {
    let budget = Budget {
        cuts: 1,
        crashes: 1,
        restarts: 1,
        ..Budget::one()
    };
    let cfg = Cfg {
        steady: bit(0),
        ..cfg(24, budget)
    };
    search::holds("restart beside a cut primary", &cfg);
}

/// The same under another id.
#[test]
fn return_beside_a_cut_primary() {
    let budget = Budget {
        cuts: 1,
        crashes: 1,
        returns: 1,
        ..Budget::one()
    };
    let cfg = Cfg {
        steady: bit(0),
        ..cfg(24, budget)
    };
    search::holds("return beside a cut primary", &cfg);
}

/// A planned change leaves the primary at work, and an instance starts meanwhile.
#[test]
fn start_beside_a_leaving_primary() {
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
    search::holds("start beside a leaving primary", &cfg);
}

/// A primary that has no slot for the order to stop goes on leading.
#[test]
fn start_beside_a_full_primary() {
    let budget = Budget {
        fulls: 1,
        starts: 1,
        ..Budget::one()
    };
    search::holds("start beside a full primary", &cfg(24, budget));
}

/// An instance starts beside a primary that then stops, and crashes before it is announced.
/// What it acknowledged is held by the stopped primary alone, which lives and answers.
#[test]
fn a_stopped_primary_alone_holds_what_a_newcomer_acknowledged() {
    let budget = Budget {
        starts: 1,
        crashes: 1,
        ..Budget::one()
    };
    let cfg = Cfg {
        steady: bit(0),
        ..cfg(24, budget)
    };
    search::holds("a newcomer crashes", &cfg);
}
