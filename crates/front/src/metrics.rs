//! Metrics of one process, in the text form of Prometheus.

use model::statement::Code;
use model::unit::Span;
use platform::line::{self, Own};
use policy::order_tracker::Purpose;
use policy::takeover::{Cause, OrderResponse, WaitCause};
use prometheus::{
    Encoder as _, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use store::calls::Calls;

/// Upper bounds of statement times, in seconds: from one that the proxy answers itself to
/// the longest time limit.
const BUCKETS: [f64; 11] = [
    0.000_5, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0,
];

/// Why metrics cannot be set up or shown.
#[derive(Debug, thiserror::Error)]
#[error("a metric cannot be used: {0}")]
pub struct MetricsError(#[from] prometheus::Error);

/// How a change of primary ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its order was given, and the ordered instance leads; that may be the old primary again.
    Led,
    /// Its time was over.
    TimedOut,
    /// This proxy lost the duty.
    RoleLost,
    /// Nothing was left to change: the primary is well, or another one led before an order.
    Abandoned,
}

impl Outcome {
    const fn name(self) -> &'static str {
        match self {
            Self::Led => "led",
            Self::TimedOut => "given_up",
            Self::RoleLost => "duty_lost",
            Self::Abandoned => "abandoned",
        }
    }
}

/// Metrics of one process.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    statements: IntCounterVec,
    took: Histogram,
    opened: IntCounterVec,
    store_calls: IntGaugeVec,
    gauges: IntGaugeVec,
    left_out: IntCounter,
    coordinator: Coordinator,
}

/// Counts what the coordinator did. A change of primary is rare, and its lines are long gone
/// from the log when somebody asks.
#[derive(Clone)]
struct Coordinator {
    changes: IntCounterVec,
    holds: IntCounterVec,
    orders: IntCounterVec,
    orders_late: IntCounterVec,
    replica_orders: IntCounterVec,
}

impl Coordinator {
    fn new(registry: &Registry) -> Result<Self, MetricsError> {
        let counter = |name, help, labels: &[&str]| counter(registry, name, help, labels);
        Ok(Self {
            changes: counter(
                "pomelo_primary_changes_total",
                "changes of primary that ended",
                &["cause", "outcome"],
            )?,
            holds: counter(
                "pomelo_change_holds_total",
                "reasons for which a change of primary began to wait",
                &["cause"],
            )?,
            orders: counter(
                "pomelo_orders_total",
                "orders to the platform by answer",
                &["purpose", "answer"],
            )?,
            orders_late: counter(
                "pomelo_orders_late_total",
                "primaries that the last order does not account for",
                &["after"],
            )?,
            replica_orders: counter(
                "pomelo_replica_orders_total",
                "orders to instances by answer",
                &["order", "answer"],
            )?,
        })
    }
}

impl Metrics {
    /// Metrics that count nothing yet.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let statements = counter(
            &registry,
            "pomelo_statements_total",
            "statements by outcome",
            &["outcome"],
        )?;
        let took = Histogram::with_opts(
            HistogramOpts::new("pomelo_statement_seconds", "time of a statement")
                .buckets(BUCKETS.to_vec()),
        )?;
        let opened = counter(
            &registry,
            "pomelo_connections_opened_total",
            "connections to instances",
            &["outcome"],
        )?;
        let store_calls = IntGaugeVec::new(
            Opts::new("pomelo_store_calls", "calls to the platform"),
            &["kind", "purpose"],
        )?;
        let gauges = IntGaugeVec::new(
            Opts::new("pomelo_state", "what the process holds and believes"),
            &["what"],
        )?;
        let left_out = IntCounter::new(
            "pomelo_log_lines_left_out_total",
            "lines about served statements beyond the bound",
        )?;
        registry.register(Box::new(left_out.clone()))?;
        registry.register(Box::new(took.clone()))?;
        registry.register(Box::new(store_calls.clone()))?;
        registry.register(Box::new(gauges.clone()))?;
        Ok(Self {
            coordinator: Coordinator::new(&registry)?,
            registry,
            statements,
            took,
            opened,
            store_calls,
            gauges,
            left_out,
        })
    }

    /// A statement was answered.
    pub fn statement_ended(&self, code: Option<Code>, took: Span) {
        let outcome = code.map_or("done", line::code_word);
        self.statements.with_label_values(&[outcome]).inc();
        self.took.observe(took.as_duration().as_secs_f64());
    }

    /// A connection to an instance was opened, or could not be.
    pub fn connection_attempted(&self, ok: bool) {
        let outcome = if ok { "open" } else { "failed" };
        self.opened.with_label_values(&[outcome]).inc();
    }

    /// A line about a served statement was left out of the log.
    pub fn line_dropped(&self) {
        self.left_out.inc();
    }

    /// A change of primary ended; `cause` is the one that it began with.
    pub fn change_ended(&self, cause: Cause, outcome: Outcome) {
        let labels = [cause_name(cause), outcome.name()];
        self.coordinator.changes.with_label_values(&labels).inc();
    }

    /// A change of primary waits, for another reason than before.
    pub fn change_waits(&self, hold: WaitCause) {
        let labels = [hold_name(hold)];
        self.coordinator.holds.with_label_values(&labels).inc();
    }

    /// The platform answered an order, or gave no answer that counts.
    pub fn order_ended(&self, purpose: Purpose, answer: Option<OrderResponse>) {
        let labels = [purpose_name(purpose), answer_name(answer)];
        self.coordinator.orders.with_label_values(&labels).inc();
    }

    /// A primary leads that the last order, which was for `after`, does not account for.
    pub fn unexpected_primary(&self, after: Option<Purpose>) {
        let labels = [after.map_or("none", purpose_name)];
        let late = &self.coordinator.orders_late;
        late.with_label_values(&labels).inc();
    }

    /// An instance was told something. Questions are not counted.
    pub fn command_ended(&self, own: &Own<'_>, answered: bool) {
        if let Some(order) = order_name(own) {
            let labels = [order, if answered { "answered" } else { "none" }];
            let told = &self.coordinator.replica_orders;
            told.with_label_values(&labels).inc();
        }
    }

    /// Shows all metrics; `gauges` are values read just now.
    pub fn render(&self, calls: &Calls, gauges: &[(&str, u64)]) -> Result<String, MetricsError> {
        for (purpose, kind, count) in calls.by_purpose() {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.store_calls
                .with_label_values(&[kind.name(), purpose.name()])
                .set(count);
        }
        for (what, value) in gauges {
            let value = i64::try_from(*value).unwrap_or(i64::MAX);
            self.gauges.with_label_values(&[*what]).set(value);
        }
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}

/// A counter that the registry shows.
fn counter(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, MetricsError> {
    let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

const fn cause_name(cause: Cause) -> &'static str {
    match cause {
        Cause::Doubted => "doubted",
        Cause::Leaving => "leaving",
        Cause::Lagging => "lagging",
        Cause::Unfinished => "unfinished",
    }
}

const fn hold_name(hold: WaitCause) -> &'static str {
    match hold {
        WaitCause::NoCandidate => "no_candidate",
        WaitCause::Unheard => "unheard",
        WaitCause::CatchingUp => "catching_up",
        WaitCause::PrimarySilent => "primary_silent",
        WaitCause::Announcing => "announcing",
        WaitCause::ResumePending => "resume_pending",
        WaitCause::Unnoted => "unnoted",
        WaitCause::OrderPending => "order_pending",
    }
}

const fn purpose_name(purpose: Purpose) -> &'static str {
    match purpose {
        Purpose::Change => "change",
        Purpose::VoidEarlier => "void_earlier",
    }
}

const fn answer_name(answer: Option<OrderResponse>) -> &'static str {
    match answer {
        Some(OrderResponse::Accepted) => "accepted",
        Some(OrderResponse::Conflict) => "conflict",
        Some(OrderResponse::NotNow) => "not_now",
        None => "none",
    }
}

const fn order_name(own: &Own<'_>) -> Option<&'static str> {
    match own {
        Own::Pause(_) => Some("pause"),
        Own::Demote(_) => Some("demote"),
        Own::Resume => Some("resume"),
        Own::Begin(..)
        | Own::Rollback
        | Own::Reset
        | Own::Set(..)
        | Own::Prepare(..)
        | Own::Status => None,
    }
}
