//! Traces as text.

use std::fmt;

use crate::task::{self, Decision, Purpose, Task};
use crate::world::{Announcement, Event, Order, World, name, names};

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Self::Write => write!(f, "the primary writes a commit"),
            Self::Receive(id) => write!(f, "{} receives from the primary", name(id)),
            Self::Crash(id) => write!(f, "{} crashes", name(id)),
            Self::Restart(id) => write!(f, "{} restarts", name(id)),
            Self::Return(id) => write!(f, "{} restarts under another id", name(id)),
            Self::Lapse(id) => write!(f, "{} is no longer announced", name(id)),
            Self::Announce(id) => write!(f, "{} is announced", name(id)),
            Self::MakeEligible(id) => write!(f, "{} becomes eligible", name(id)),
            Self::Start => write!(f, "n starts"),
            Self::Decommission(id) => write!(f, "{} is being decommissioned", name(id)),
            Self::Partition(id) => write!(f, "{} is partitioned from the coordinators", name(id)),
            Self::Heal(id) => write!(f, "{} is reachable for the coordinators again", name(id)),
            Self::Full(id) => write!(f, "{} has no free slot for a coordinator", name(id)),
            Self::Free(id) => write!(f, "{} has free slots again", name(id)),
            Self::Refuse(o) => write!(f, "platform: {} is refused", OrderName(o)),
            Self::IntentLapsed => write!(f, "the intent of the order lapses"),
            Self::Arrive(o) => write!(f, "platform: {} arrives", OrderName(o)),
            Self::TakeEffect(o) => write!(f, "platform: {} takes effect", OrderName(o)),
            Self::Deliver(id, command) => write!(f, "{} executes {command:?}", name(id)),
            Self::LoseRole => write!(f, "the successor acquires the role"),
            Self::CatchUp(at) => write!(f, "c{at}: its copy of the store catches up"),
            Self::Coordinator(at, event) => write!(f, "c{at}: {event}"),
        }
    }
}

struct OrderName(Order);

impl fmt::Display for OrderName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "order {} ({})", self.0.token, name(self.0.instance))
    }
}

/// The state of the instances, in one line.
impl fmt::Display for World {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (id, i) in self.instances.iter().enumerate() {
            let role = if i.leads { "*" } else { "" };
            write!(f, "{}{role}={}", name(id), i.received())?;
            if i.paused > 0 {
                write!(f, "/paused {}", i.paused)?;
            }
            if !i.runs {
                write!(f, "/down")?;
            }
            if i.hidden {
                write!(f, "/hidden")?;
            }
            if i.announcement != Announcement::Announced {
                write!(f, "/{:?}", i.announcement)?;
            }
            write!(f, " ")?;
        }
        write!(f, "acknowledged={}", self.acknowledged.count_ones())
    }
}

impl fmt::Display for task::Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Begin(old, kind) => write!(f, "{kind:?}: a change of {} begins", name(*old)),
            Self::Survey(next) => write!(f, "surveys all, next: {}", next.task),
            other => write!(f, "{other:?}"),
        }
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decided(_, decision) => decision.fmt(f),
            Self::Void(Purpose::VoidThenAct(_, Some(decision)), primary) => {
                write!(f, "order {} again, then {decision}", name(*primary))
            }
            Self::Void(_, primary) => write!(f, "order {} again", name(*primary)),
            Self::Resume => write!(f, "end the change"),
            Self::RecordResume { paused } => write!(f, "resume {}", names(*paused)),
            Self::Idle => write!(f, "do nothing"),
            other => write!(f, "{other:?}"),
        }
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pause(term, targets) => write!(f, "pause {} in term {term}", names(*targets)),
            Self::Demote(term, old) => write!(f, "demote {} in term {term}", name(*old)),
            Self::Promote(next, ..) => write!(f, "promote {}", name(*next)),
        }
    }
}
