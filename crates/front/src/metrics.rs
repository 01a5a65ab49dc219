//! Metrics of one process, in the Prometheus text format.

use model::statement::Code;
use model::unit::Span;
use platform::line::{self, ProxyStatement};
use policy::order_tracker::Purpose;
use policy::takeover::{Cause, OrderResponse, WaitCause};
use prometheus::{
    Encoder as _, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use store::calls::Calls;

use crate::quota::Usage;

/// Upper bounds of the buckets for statement times, in seconds. The lowest fits statements
/// that the proxy answers itself, the highest is the longest statement timeout.
const STATEMENT_SECONDS_BUCKETS: [f64; 11] = [
    0.000_5, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0,
];

/// Why metrics cannot be registered or rendered.
#[derive(Debug, thiserror::Error)]
#[error("cannot register or render metrics: {0}")]
pub struct MetricsError(#[from] prometheus::Error);

/// How a change of primary ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A promotion order was sent and the instance that it names is primary; this may be the
    /// old primary again.
    Led,
    /// It reached its time limit.
    TimedOut,
    /// This proxy lost the coordinator role.
    RoleLost,
    /// No change was needed any more: the primary is healthy, or another instance became
    /// primary before an order was sent.
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

/// Which pooler served a statement, where a group's customers are divided among poolers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolerChoice {
    /// This proxy itself.
    Own,
    /// The one of the customer's partition.
    Partition,
    /// Another one, since that one did not respond, or reaches no instance.
    Replacement,
}

impl PoolerChoice {
    /// The choice of the pooler at this position of those that a statement tries.
    pub const fn new(position: usize, is_own: bool) -> Self {
        match (position, is_own) {
            (_, true) => Self::Own,
            (0, false) => Self::Partition,
            _ => Self::Replacement,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Partition => "partition",
            Self::Replacement => "replacement",
        }
    }
}

/// Metrics of one process.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    statements: IntCounterVec,
    statement_seconds: Histogram,
    connections_opened: IntCounterVec,
    pooler_choices: IntCounterVec,
    store_calls: IntGaugeVec,
    gauges: IntGaugeVec,
    customers: IntGaugeVec,
    lines_dropped: IntCounter,
    coordinator: Coordinator,
}

/// Counters of the coordinator. A change of primary is rare, and its log lines are no longer
/// available when an operator investigates it.
#[derive(Clone)]
struct Coordinator {
    changes: IntCounterVec,
    waits: IntCounterVec,
    orders: IntCounterVec,
    unexpected_primaries: IntCounterVec,
    commands: IntCounterVec,
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
            waits: counter(
                "pomelo_change_holds_total",
                "reasons for which a change of primary began to wait",
                &["cause"],
            )?,
            orders: counter(
                "pomelo_orders_total",
                "orders to the platform by answer",
                &["purpose", "answer"],
            )?,
            unexpected_primaries: counter(
                "pomelo_orders_late_total",
                "primaries that the last order does not account for",
                &["after"],
            )?,
            commands: counter(
                "pomelo_replica_orders_total",
                "orders to instances by answer",
                &["order", "answer"],
            )?,
        })
    }
}

impl Metrics {
    /// Registers all metrics, with counters at zero.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let statements = counter(
            &registry,
            "pomelo_statements_total",
            "statements by outcome",
            &["outcome"],
        )?;
        let statement_seconds = Histogram::with_opts(
            HistogramOpts::new("pomelo_statement_seconds", "time of a statement")
                .buckets(STATEMENT_SECONDS_BUCKETS.to_vec()),
        )?;
        let connections_opened = counter(
            &registry,
            "pomelo_connections_opened_total",
            "connections to instances",
            &["outcome"],
        )?;
        let pooler_choices = counter(
            &registry,
            "pomelo_pooler_choices_total",
            "connections requested where customers are divided among poolers",
            &["pooler"],
        )?;
        let store_calls = IntGaugeVec::new(
            Opts::new("pomelo_store_calls", "calls to the platform"),
            &["kind", "purpose"],
        )?;
        let gauges = IntGaugeVec::new(
            Opts::new("pomelo_state", "what the process holds and believes"),
            &["what"],
        )?;
        let customers = IntGaugeVec::new(
            Opts::new(
                "pomelo_customer",
                "use of the limits of the customers with the most rejections",
            ),
            &["customer", "what"],
        )?;
        registry.register(Box::new(customers.clone()))?;
        let lines_dropped = IntCounter::new(
            "pomelo_log_lines_left_out_total",
            "lines about served statements beyond the bound",
        )?;
        registry.register(Box::new(lines_dropped.clone()))?;
        registry.register(Box::new(statement_seconds.clone()))?;
        registry.register(Box::new(store_calls.clone()))?;
        registry.register(Box::new(gauges.clone()))?;
        Ok(Self {
            coordinator: Coordinator::new(&registry)?,
            registry,
            statements,
            statement_seconds,
            connections_opened,
            pooler_choices,
            store_calls,
            gauges,
            customers,
            lines_dropped,
        })
    }

    /// Counts a statement by its outcome and records its time.
    pub fn statement_ended(&self, code: Option<Code>, took: Span) {
        let outcome = code.map_or("done", line::code_word);
        self.statements.with_label_values(&[outcome]).inc();
        self.statement_seconds
            .observe(took.as_duration().as_secs_f64());
    }

    /// Counts an attempt to open a connection to an instance.
    pub fn connection_attempted(&self, ok: bool) {
        let outcome = if ok { "open" } else { "failed" };
        self.connections_opened.with_label_values(&[outcome]).inc();
    }

    /// Counts a request for a connection by the pooler that served or rejected it.
    pub fn pooler_chosen(&self, choice: PoolerChoice) {
        let labels = [choice.name()];
        self.pooler_choices.with_label_values(&labels).inc();
    }

    /// Counts a log line about a served statement that was dropped.
    pub fn line_dropped(&self) {
        self.lines_dropped.inc();
    }

    /// Counts a change of primary that ended; `cause` is why it began.
    pub fn change_ended(&self, cause: Cause, outcome: Outcome) {
        let labels = [cause_name(cause), outcome.name()];
        self.coordinator.changes.with_label_values(&labels).inc();
    }

    /// Counts a change of primary that begins to wait for a new reason.
    pub fn change_waits(&self, cause: WaitCause) {
        let labels = [wait_cause_name(cause)];
        self.coordinator.waits.with_label_values(&labels).inc();
    }

    /// Counts a promotion order by the platform's response; `None` is no usable response.
    pub fn order_ended(&self, purpose: Purpose, response: Option<OrderResponse>) {
        let labels = [purpose_name(purpose), response_name(response)];
        self.coordinator.orders.with_label_values(&labels).inc();
    }

    /// Counts a primary that the last promotion order does not explain; `last_purpose` is what
    /// that order was for.
    pub fn unexpected_primary(&self, last_purpose: Option<Purpose>) {
        let labels = [last_purpose.map_or("none", purpose_name)];
        let unexpected = &self.coordinator.unexpected_primaries;
        unexpected.with_label_values(&labels).inc();
    }

    /// Counts a command to an instance; status queries and statements are not counted.
    pub fn command_ended(&self, command: &ProxyStatement<'_>, responded: bool) {
        if let Some(name) = command_name(command) {
            let labels = [name, if responded { "answered" } else { "none" }];
            let commands = &self.coordinator.commands;
            commands.with_label_values(&labels).inc();
        }
    }

    /// Renders all metrics; `gauges` holds the present values of the state gauges.
    pub fn render(
        &self,
        calls: &Calls,
        gauges: &[(&str, u64)],
        customers: &[Usage],
    ) -> Result<String, MetricsError> {
        self.set_customers(customers);
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

impl Metrics {
    fn set_customers(&self, customers: &[Usage]) {
        self.customers.reset();
        for usage in customers {
            let set = |what, value: i64| {
                let labels = [usage.customer.as_str(), what];
                self.customers.with_label_values(&labels).set(value);
            };
            set("part_per_s", usage.part_per_s as i64);
            set("parts", i64::from(usage.parts));
            set("permits", i64::from(usage.at_hand));
            let counts = [
                ("granted", usage.counts.granted),
                ("spent", usage.counts.spent()),
                ("expired", usage.counts.expired),
                ("given_back", usage.counts.given_back),
                ("rejected", usage.rejected),
            ];
            for (what, count) in counts {
                set(what, i64::try_from(count).unwrap_or(i64::MAX));
            }
        }
    }
}

/// Creates a counter and registers it.
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

const fn wait_cause_name(cause: WaitCause) -> &'static str {
    match cause {
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

const fn response_name(response: Option<OrderResponse>) -> &'static str {
    match response {
        Some(OrderResponse::Accepted) => "accepted",
        Some(OrderResponse::Conflict) => "conflict",
        Some(OrderResponse::NotNow) => "not_now",
        None => "none",
    }
}

const fn command_name(command: &ProxyStatement<'_>) -> Option<&'static str> {
    match command {
        ProxyStatement::Pause(_) => Some("pause"),
        ProxyStatement::Demote(_) => Some("demote"),
        ProxyStatement::Resume => Some("resume"),
        ProxyStatement::Begin(..)
        | ProxyStatement::Rollback
        | ProxyStatement::Reset
        | ProxyStatement::Set(..)
        | ProxyStatement::Prepare(..)
        | ProxyStatement::Status => None,
    }
}
