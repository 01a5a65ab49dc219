//! Traces in words.

use std::fmt;

use crate::doing::{self, Decision, Doing, Purpose};
use crate::world::{Event, Listing, Order, World, name, names};

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
            Self::Count(id) => write!(f, "proxies count {} as a replica", name(id)),
            Self::Start => write!(f, "n starts"),
            Self::Leave(id) => write!(f, "{} is being taken out of service", name(id)),
            Self::Cut(id) => write!(f, "{} is cut off from the coordinators", name(id)),
            Self::Heal(id) => write!(f, "{} is reached by the coordinators again", name(id)),
            Self::Full(id) => write!(f, "{} has no slot for a coordinator", name(id)),
            Self::Free(id) => write!(f, "{} has slots again", name(id)),
            Self::Refuse(o) => write!(f, "platform: {} is not taken", Named(o)),
            Self::Lapsed => write!(f, "the note of the order lapses"),
            Self::Arrive(o) => write!(f, "platform: {} arrives", Named(o)),
            Self::CarryOut(o) => write!(f, "platform: {} is carried out", Named(o)),
            Self::Deliver(id, own) => write!(f, "{} carries out {own:?}", name(id)),
            Self::LoseDuty => write!(f, "the duty goes to the successor"),
            Self::CatchUp(at) => write!(f, "c{at}: its copy of the store catches up"),
            Self::Coordinator(at, event) => write!(f, "c{at}: {event}"),
        }
    }
}

struct Named(Order);

impl fmt::Display for Named {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "order {} ({})", self.0.token, name(self.0.instance))
    }
}

/// The standing of the instances, in one line.
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
            if i.listing != Listing::Listed {
                write!(f, "/{:?}", i.listing)?;
            }
            write!(f, " ")?;
        }
        write!(f, "acknowledged={}", self.acknowledged.count_ones())
    }
}

impl fmt::Display for doing::Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Begin(old, kind) => write!(f, "{kind:?}: a change of {} begins", name(*old)),
            Self::Look(next) => write!(f, "looks at all, and is about to {}", next.doing),
            other => write!(f, "{other:?}"),
        }
    }
}

impl fmt::Display for Doing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decided(_, decision) => decision.fmt(f),
            Self::Void(Purpose::Leave(_, Some(decision)), primary) => {
                write!(f, "order {} again and {decision}", name(*primary))
            }
            Self::Void(_, primary) => write!(f, "order {} again", name(*primary)),
            Self::Resume => write!(f, "end the change"),
            Self::Note { stopped } => write!(f, "let {} receive again", names(*stopped)),
            Self::Idle => write!(f, "do nothing"),
            other => write!(f, "{other:?}"),
        }
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pause(term, who) => write!(f, "stop {} under {term}", names(*who)),
            Self::Demote(term, old) => write!(f, "tell {} to stop under {term}", name(*old)),
            Self::Promote(next, ..) => write!(f, "name {}", name(*next)),
        }
    }
}
