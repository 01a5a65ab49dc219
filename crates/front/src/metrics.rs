//! Metrics of one process, in the text form of Prometheus.

use model::statement::Code;
use model::unit::Span;
use platform::line;
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
}

impl Metrics {
    /// Metrics that count nothing yet.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let statements = IntCounterVec::new(
            Opts::new("pomelo_statements_total", "statements by outcome"),
            &["outcome"],
        )?;
        let took = Histogram::with_opts(
            HistogramOpts::new("pomelo_statement_seconds", "time of a statement")
                .buckets(BUCKETS.to_vec()),
        )?;
        let opened = IntCounterVec::new(
            Opts::new(
                "pomelo_connections_opened_total",
                "connections to instances",
            ),
            &["outcome"],
        )?;
        let store_calls = IntGaugeVec::new(
            Opts::new("pomelo_store_calls", "calls to the platform by kind"),
            &["kind"],
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
        registry.register(Box::new(statements.clone()))?;
        registry.register(Box::new(took.clone()))?;
        registry.register(Box::new(opened.clone()))?;
        registry.register(Box::new(store_calls.clone()))?;
        registry.register(Box::new(gauges.clone()))?;
        Ok(Self {
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
    pub fn answered(&self, code: Option<Code>, took: Span) {
        let outcome = code.map_or("done", line::code_word);
        self.statements.with_label_values(&[outcome]).inc();
        self.took.observe(took.as_duration().as_secs_f64());
    }

    /// A connection to an instance was opened, or could not be.
    pub fn opened(&self, ok: bool) {
        let outcome = if ok { "open" } else { "failed" };
        self.opened.with_label_values(&[outcome]).inc();
    }

    /// A line about a served statement was left out of the log.
    pub fn line_left_out(&self) {
        self.left_out.inc();
    }

    /// Shows all metrics; `gauges` are values read just now.
    pub fn render(&self, calls: &Calls, gauges: &[(&str, u64)]) -> Result<String, MetricsError> {
        for (kind, count) in calls.snapshot() {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.store_calls
                .with_label_values(&[kind.name()])
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
