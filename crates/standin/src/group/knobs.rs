//! Settings and faults of an instance that change while it runs.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use crate::spec::Spec;

/// Settings and faults that change while the instance runs.
pub(crate) struct Knobs {
    /// Time from receiving to applying a record.
    pub(crate) lag: Duration,
    /// Time that every statement takes besides its own work.
    pub(crate) service: Duration,
    /// Factor on `service`.
    pub(crate) slow: f64,
    pub(crate) paused_until: Option<Instant>,
    pub(crate) alive: bool,
    /// Connections with a smaller number are silent.
    pub(crate) silent_before: u64,
    /// Connections from these ports of their peer are silent.
    pub(crate) silent_ports: IndexSet<u16>,
    pub(crate) connect: Duration,
    pub(crate) limit: usize,
}

impl Knobs {
    pub(crate) fn new(spec: &Spec) -> Self {
        Self {
            lag: spec.lag.as_duration(),
            service: spec.service.as_duration(),
            slow: 1.0,
            paused_until: None,
            alive: true,
            silent_before: 0,
            silent_ports: IndexSet::new(),
            connect: spec.connect.as_duration(),
            limit: spec.connections,
        }
    }
}
