//! Records of what was decided, on which evidence, and what was ruled out.

use std::collections::VecDeque;
use std::fmt;

use model::id::{GroupId, InstanceId, ProxyId};
use model::position::{Point, Position, Term};
use model::unit::{Span, Time};

/// Most decisions kept for each group; the oldest give way. At about 300 bytes each it
/// bounds a group's share of memory to some 40 KB while it holds several failovers.
pub const MAX_KEPT: usize = 128;

/// Names the chain of decisions that belong to one change of primary.
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
    /// From the primary's last answer to the verdict.
    Detect,
    /// From the verdict to the claimed term.
    Claim,
    /// From the claim to a fenced majority.
    Fence,
    /// From the fenced majority to the new primary's answer.
    Promote,
    /// From the new primary's answer to the published record.
    Publish,
    /// From the new primary's answer to the first confirmed write.
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
    /// Neither a majority of instances nor any data centre's proxies hear it.
    Unreachable,
    /// Proxies reach it, but for long no majority of instances has: no write is safe there.
    Isolated,
    /// A claim fenced it, and the claimant did not finish.
    Abandoned,
    /// It is being taken out of service.
    Leaving,
}

/// What was decided.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// The primary does not answer; evidence is being gathered.
    #[serde(rename = "doubt")]
    Suspected(InstanceId),
    /// The doubted primary answered again.
    Cleared(InstanceId),
    /// Requests go through a peer that still reaches the primary.
    Forward(ProxyId),
    /// The primary is to be replaced.
    Replace(InstanceId, Cause),
    /// A term was claimed.
    Claimed,
    /// The claim was lost to another proxy.
    Outrun(ProxyId),
    /// A majority is fenced, and this instance is chosen.
    Chosen(InstanceId),
    /// The chosen instance leads.
    Promoted(InstanceId),
    /// The record names the new primary.
    Published(InstanceId),
    /// A newer primary was heard of.
    Learnt(InstanceId),
    /// The first write under the new primary is confirmed.
    FirstAck,
    /// The attempt ended without a new primary.
    Abandoned,
    /// An instance holds records that the new primary's log does not; they are discarded
    /// as it is made to follow.
    Diverged {
        /// The instance.
        instance: InstanceId,
        /// Last position that it shares with the primary.
        shared: Position,
        /// End of its own log.
        end: Position,
    },
    /// An instance was ordered to follow the primary.
    Follow(InstanceId),
}

/// One observation that a decision rests on, or that ruled another choice out.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fact {
    /// Time for which the instance left this proxy's questions without an answer.
    Silent(InstanceId, Span),
    /// Time since the instance heard its primary, as it said itself.
    Unheard(InstanceId, Span),
    /// A proxy says that the primary answered it this long ago.
    Reached(ProxyId, Span),
    /// A proxy says that the primary does not answer it.
    Unreached(ProxyId),
    /// End of an instance's log, as counted for the choice.
    End(InstanceId, Point),
    /// An instance promised a later term.
    Fenced(InstanceId, Term),
    /// An instance is being taken out of service.
    Leaving(InstanceId),
    /// An instance did not answer.
    NoAnswer(InstanceId),
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Decision {
    /// When, on the clock of the proxy that decided.
    pub at: Time,
    /// The group.
    pub group: GroupId,
    /// Term that the decision concerns.
    pub term: Term,
    /// Change of primary that it belongs to.
    pub trace: TraceId,
    /// What was decided.
    pub what: What,
    /// Stage that it ends, with the time that the stage took.
    pub phase: Option<(Phase, Span)>,
    /// Observations that speak for it.
    pub evidence: Vec<Fact>,
    /// Observations that ruled out the other choices.
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
