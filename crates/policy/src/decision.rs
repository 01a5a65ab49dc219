//! Records of decisions, with their evidence and what ruled out the alternatives.

use std::collections::VecDeque;
use std::fmt;

use model::id::{GroupId, InstanceId, ProxyId};
use model::position::{Point, Position, Term};
use model::unit::{Span, Time};

/// Largest number of decisions kept for each group; the oldest are dropped first. At about
/// 300 bytes each they take some 40 KB and cover several failovers.
pub const MAX_KEPT: usize = 128;

/// Identifies the decisions that belong to one change of primary.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct TraceId(pub u64);

impl fmt::Display for TraceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A stage of a change of primary.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// From the first unanswered query to the verdict.
    Detect,
    /// From the verdict to the claimed term.
    Claim,
    /// From the claim to a fenced majority.
    Fence,
    /// From the fenced majority to the new primary's first response as such.
    Promote,
    /// From the new primary's first response as such to the published record.
    Publish,
    /// From the new primary's first response as such to the first confirmed write.
    FirstAck,
}

impl Phase {
    /// Stable name, used in logs and traces.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Detect => "detect",
            Self::Claim => "claim",
            Self::Fence => "fence",
            Self::Promote => "promote",
            Self::Publish => "publish",
            Self::FirstAck => "first_ack",
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why a primary is to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// A majority of instances has no contact with it, and no proxy outside its data centre
    /// reports to reach it.
    Unreachable,
    /// Proxies may reach it, but a majority of instances has had no contact with it for long,
    /// so that no write on it can be confirmed.
    Isolated,
    /// It or a majority promised a later term, and the claimant did not finish.
    Abandoned,
    /// It is being decommissioned.
    Leaving,
}

/// What was decided.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// The primary is unresponsive; evidence is being gathered.
    Doubt(InstanceId),
    /// The suspected primary responded again.
    Cleared(InstanceId),
    /// Requests are forwarded through a peer that still reaches the primary.
    Forward(ProxyId),
    /// The primary is to be replaced.
    Replace(InstanceId, Cause),
    /// A term was claimed.
    Claimed,
    /// The attempt was superseded by the claim of another proxy.
    Outrun(ProxyId),
    /// A majority is fenced, and this instance is chosen.
    Chosen(InstanceId),
    /// The chosen instance leads.
    Promoted(InstanceId),
    /// The record names the new primary.
    Published(InstanceId),
    /// A newer primary was discovered.
    Learnt(InstanceId),
    /// The first write under the new primary is confirmed.
    FirstAck,
    /// The attempt ended without a new primary.
    Abandoned,
    /// An instance holds records that the new primary's log lacks; following discards them.
    Diverged {
        /// The instance.
        instance: InstanceId,
        /// Last position that it shares with the primary.
        shared: Position,
        /// End of its own log.
        end: Position,
    },
    /// An instance was commanded to follow the primary.
    Follow(InstanceId),
}

/// One observation that a decision rests on, or that ruled out an alternative.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fact {
    /// Time for which the instance has not responded to this proxy's queries.
    Silent(InstanceId, Span),
    /// Time since the instance's last contact with its primary, as it reports.
    Unheard(InstanceId, Span),
    /// A proxy reports that it reaches the primary, which last responded this long ago.
    Reached(ProxyId, Span),
    /// A proxy reports that it does not reach the primary.
    Unreached(ProxyId),
    /// End of an instance's log, as compared for the choice.
    End(InstanceId, Point),
    /// An instance promised a later term.
    Fenced(InstanceId, Term),
    /// An instance is being decommissioned.
    Leaving(InstanceId),
    /// An instance did not respond.
    NoAnswer(InstanceId),
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Decision {
    /// When it was taken, on the clock of the deciding proxy.
    pub at: Time,
    /// The group.
    pub group: GroupId,
    /// Term that the decision concerns.
    pub term: Term,
    /// Change of primary that it belongs to.
    pub trace: TraceId,
    /// What was decided.
    pub what: What,
    /// Stage that it ends, with the duration of the stage.
    pub phase: Option<(Phase, Span)>,
    /// Observations that support it.
    pub evidence: Vec<Fact>,
    /// Observations that ruled out the alternatives.
    pub ruled_out: Vec<Fact>,
}

/// The newest decisions of a group.
#[derive(Clone, Debug, Default)]
pub struct DecisionLog(VecDeque<Decision>);

impl DecisionLog {
    /// Adds a decision.
    pub fn push(&mut self, decision: Decision) {
        if self.0.len() == MAX_KEPT {
            self.0.pop_front();
        }
        self.0.push_back(decision);
    }

    /// The decisions, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Decision> {
        self.0.iter()
    }
}
