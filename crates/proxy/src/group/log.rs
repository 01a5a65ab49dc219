//! Log lines of decisions.

use policy::decision::{Decision, What};

/// Writes one line; stages of a change of primary carry the time they took.
pub(super) fn decision(d: &Decision) {
    let (phase, took) = match d.phase {
        Some((phase, took)) => (phase.to_string(), took.to_string()),
        None => (String::new(), String::new()),
    };
    let what = what(&d.what);
    tracing::info!(
        group = %d.group,
        term = %d.term,
        trace_id = %d.trace,
        what,
        detail = ?d.what,
        phase,
        took,
        evidence = ?d.evidence,
        ruled_out = ?d.ruled_out,
        "failover decision"
    );
}

fn what(what: &What) -> &'static str {
    match what {
        What::Doubt(_) => "doubt",
        What::Cleared(_) => "cleared",
        What::Forward(_) => "forward",
        What::Replace(..) => "replace",
        What::Claimed => "claimed",
        What::Outrun(_) => "outrun",
        What::Chosen(_) => "chosen",
        What::Promoted(_) => "promoted",
        What::Published(_) => "published",
        What::Learnt(_) => "learnt",
        What::FirstAck => "first_ack",
        What::Abandoned => "abandoned",
        What::Diverged { .. } => "diverged",
        What::Follow(_) => "follow",
    }
}
