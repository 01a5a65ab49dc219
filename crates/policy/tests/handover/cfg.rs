//! What a search may do, and which guards of the code it leaves out.

use crate::world::{Id, Set};

/// A guard in the code that prevents a known violation, and that a search may leave out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// The success of a write is reported only once an eligible replica has received it.
    Eligibility,
    /// No replica becomes eligible during a change of primary.
    ChangeRecorded,
    /// The decision takes a pending resume command into account.
    ResumePending,
    /// A running primary is demoted before another instance is promoted.
    Demote,
    /// After the old primary was demoted, instances that just started are awaited.
    Announcing,
    /// Replicas that are announced during an order are paused.
    PauseNew,
    /// No other instance is promoted while an order may still take effect.
    PendingOrder,
    /// Replicas stay paused meanwhile.
    StayPaused,
    /// The intent of an accepted order is kept until the order has taken effect.
    EffectTimeout,
    /// The intent of a refused order is kept if an earlier order is pending.
    EarlierOrder,
    /// Orders for the primary itself are voided before it is replaced.
    VoidEarlier,
    /// The intent of an accepted order for the primary itself is kept until that order has
    /// taken effect.
    VoidingEffect,
    /// Replicas are resumed only by the holder of the coordinator role.
    Role,
    /// The store copy of a new holder of the role is as new as its claim.
    Claim,
}

/// How often each event may happen in a run; this bounds the state space.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Budget {
    pub(crate) writes: u8,
    pub(crate) changes: u8,
    pub(crate) repairs: u8,
    /// Orders that promote another instance.
    pub(crate) orders: u8,
    /// Orders for an instance whose earlier order may still take effect.
    pub(crate) repeats: u8,
    /// Orders that the platform refuses.
    pub(crate) refusals: u8,
    pub(crate) crashes: u8,
    pub(crate) restarts: u8,
    /// Restarts under another id, with the log.
    pub(crate) returns: u8,
    pub(crate) lapses: u8,
    pub(crate) starts: u8,
    /// Instances that are decommissioned.
    pub(crate) decommissions: u8,
    /// Partitions between an instance and the coordinators, and their ends.
    pub(crate) partitions: u8,
    pub(crate) heals: u8,
    /// Instances that have no free slot for a coordinator.
    pub(crate) fulls: u8,
    pub(crate) lost_roles: u8,
}

/// Settings of a search.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cfg {
    pub(crate) budget: Budget,
    /// Number of steps of a run.
    pub(crate) depth: usize,
    /// The guard to leave out.
    pub(crate) off: Option<Guard>,
    /// Any replica that received a write acknowledges it, even one that no proxy knows.
    pub(crate) all_eligible: bool,
    /// An instance is announced and paused before it receives anything.
    pub(crate) announced_first: bool,
    /// Entries of running instances may lapse.
    pub(crate) running_may_lapse: bool,
    /// The primary is being decommissioned.
    pub(crate) leaving: bool,
    /// An instance that is down and no longer announced before the run.
    pub(crate) unannounced: Option<Id>,
    /// An order for the primary has no response yet; its intent is recorded.
    pub(crate) pending_order: bool,
    /// Replicas that an earlier change left paused.
    pub(crate) paused: Set,
    /// Instances that do not crash.
    pub(crate) never_crash: Set,
    /// The coordinator learns the end of the primary's log only by surveys, not by proofs.
    pub(crate) stale_proofs: bool,
}

impl Cfg {
    /// Whether only eligible replicas acknowledge writes.
    pub(crate) fn needs_eligibility(&self) -> bool {
        !self.all_eligible && self.off != Some(Guard::Eligibility)
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
