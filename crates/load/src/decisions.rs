//! Collects the stages of changes of primary that embedded proxies log.

use std::fmt;
use std::sync::{Mutex, OnceLock, PoisonError};

use model::unit::Span;
use policy::decision::Phase;
use tracing::field::{Field, Visit};
use tracing_subscriber::layer::{Context, Layer};

/// Message of the log lines that carry decisions.
const MESSAGE: &str = "failover decision";

/// One stage of one change of primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// Group that changed its primary.
    pub group: String,
    /// Term that the decision concerns.
    pub term: u64,
    /// Which stage ended.
    pub phase: Phase,
    /// Time that it took.
    pub took: Span,
}

fn stages() -> &'static Mutex<Vec<Stage>> {
    static STAGES: OnceLock<Mutex<Vec<Stage>>> = OnceLock::new();
    STAGES.get_or_init(Mutex::default)
}

/// Takes the stages logged so far, by all proxies of this process.
pub fn take() -> Vec<Stage> {
    let mut stages = stages().lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *stages)
}

/// A layer that notes the stages; it belongs into the process's one subscriber.
pub struct Collector;

impl<S: tracing::Subscriber> Layer<S> for Collector {
    fn on_event(&self, event: &tracing::Event<'_>, _: Context<'_, S>) {
        let mut line = Line::default();
        event.record(&mut line);
        if let Some(stage) = line.stage() {
            stages()
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(stage);
        }
    }
}

/// The fields of a log line that a stage is read from.
#[derive(Default)]
struct Line {
    message: String,
    group: String,
    term: String,
    phase: String,
    took: String,
}

impl Line {
    fn stage(self) -> Option<Stage> {
        if self.message != MESSAGE {
            return None;
        }
        Some(Stage {
            group: self.group,
            term: self.term.parse().ok()?,
            phase: PHASES.into_iter().find(|p| p.to_string() == self.phase)?,
            took: self.took.parse().ok()?,
        })
    }

    fn set(&mut self, field: &Field, text: String) {
        match field.name() {
            "message" => self.message = text,
            "group" => self.group = text,
            "term" => self.term = text,
            "phase" => self.phase = text,
            "took" => self.took = text,
            _ => {}
        }
    }
}

/// Every stage, in order.
pub const PHASES: [Phase; 6] = [
    Phase::Detect,
    Phase::Claim,
    Phase::Fence,
    Phase::Promote,
    Phase::Publish,
    Phase::FirstAck,
];

impl Visit for Line {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.set(field, value.to_owned());
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.set(field, format!("{value:?}"));
    }
}
