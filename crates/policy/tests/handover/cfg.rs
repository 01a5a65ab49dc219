//! What a search allows, and what it leaves out of the code.

use crate::world::{Id, Set};

/// A part of the code that an earlier finding added, and that a search leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// Callers are told of a write's success once a replica that counts has received it.
    Counted,
    /// No replica begins to count during a change of primary.
    ChangeNoted,
    /// A pending order to receive again is known to the decision.
    ResumePending,
    /// A living primary is told to stop before another is named.
    Demote,
    /// The old primary has stopped, and newcomers are waited for.
    Announcing,
    /// Replicas that appear during an order are stopped.
    PauseNew,
    /// Nobody else is named while an order may still be carried out.
    Ordered,
    /// Replicas stay stopped meanwhile.
    Stopped,
    /// The note of an order that was taken stands while it is carried out.
    Time,
    /// The note of a refused order stands for an earlier one.
    Earlier,
    /// Orders for the primary itself are void before it is replaced.
    VoidEarlier,
    /// Replicas are told to receive again only by the holder of the duty.
    Duty,
    /// The copy of the store of a new holder of the duty is as new as its claim.
    Claim,
}

/// How often each event may happen in a run; this bounds the world.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub(crate) writes: u8,
    pub(crate) changes: u8,
    pub(crate) mends: u8,
    /// Orders that name another primary.
    pub(crate) orders: u8,
    /// Orders for an instance that an order names which may still be carried out.
    pub(crate) repeats: u8,
    /// Orders that the platform does not take.
    pub(crate) refusals: u8,
    pub(crate) crashes: u8,
    pub(crate) restarts: u8,
    /// Restarts under another id, with the log.
    pub(crate) returns: u8,
    pub(crate) lapses: u8,
    pub(crate) starts: u8,
    /// Instances that are taken out of service.
    pub(crate) leaves: u8,
    /// Instances cut off from the coordinators, and back.
    pub(crate) cuts: u8,
    pub(crate) heals: u8,
    /// Instances without a slot for a coordinator.
    pub(crate) fulls: u8,
    pub(crate) lost_duties: u8,
}

/// What a search allows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cfg {
    pub(crate) budget: Budget,
    /// Steps of a run.
    pub(crate) depth: usize,
    /// What is left out of the code.
    pub(crate) off: Option<Guard>,
    /// Any replica that received a write proves it, also one that nobody knows.
    pub(crate) uncounted: bool,
    /// An instance is announced and stopped before it receives anything.
    pub(crate) announced_first: bool,
    /// Instances may be no longer announced although they run.
    pub(crate) lapses_alive: bool,
    /// The primary is being taken out of service.
    pub(crate) leaving: bool,
    /// An instance was taken for gone before the run.
    pub(crate) gone: Option<Id>,
    /// Replicas that an earlier change has left stopped.
    pub(crate) stopped: Set,
    /// Instances that do not crash.
    pub(crate) steady: Set,
    /// The coordinator learns of the primary's log only when it looks, and not by proofs.
    pub(crate) stale_proofs: bool,
}

impl Cfg {
    /// Whether only replicas that count prove writes.
    pub(crate) fn counted(&self) -> bool {
        !self.uncounted && self.off != Some(Guard::Counted)
    }
}

impl Budget {
    /// One write during one change.
    pub(crate) fn one() -> Self {
        Self {
            writes: 1,
            changes: 1,
            orders: 1,
            ..Self::default()
        }
    }
}
