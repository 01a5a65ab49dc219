//! Metrics of one process, in the text form of Prometheus.
//!
//! Label sets are bounded: by the groups that this process serves, and by constants. No
//! label ever holds a caller's text.

use std::time::Duration;

use prometheus::{
    Encoder as _, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};
use store::calls::Calls;

/// Buckets of request times, in seconds: from a statement within a data centre to the
/// longest deadline.
const BUCKETS: [f64; 13] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0, 10.0,
];

/// Why the metrics cannot be set up.
#[derive(Debug, thiserror::Error)]
#[error("a metric cannot be registered: {0}")]
pub struct MetricsError(#[from] prometheus::Error);

/// Metrics of one process, cheap to clone, usable from any thread.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    waiting: HistogramVec,
    serving: HistogramVec,
    confirming: HistogramVec,
    requests: IntCounterVec,
    store_calls: IntGaugeVec,
    peer_bytes: IntGaugeVec,
    members: IntGaugeVec,
    revision: IntGauge,
    watching: IntGauge,
    callers: IntGauge,
    admission: IntGaugeVec,
}

/// A part of a request's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// From its arrival to a backend connection: route, admission, connection.
    Waiting,
    /// From sending it to the backend server to the whole answer.
    Serving,
    /// From the answer to the majority's confirmation.
    Confirming,
}

/// How a request ended, as its caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It ran.
    Answered,
    /// It certainly did not run.
    Refused,
    /// It may have run.
    Unknown,
}

impl Ending {
    /// Stable name, used as a label.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// Values that are read when the metrics are.
#[derive(Clone, Debug, Default)]
pub struct Gauges {
    /// Bytes sent to and received from peers.
    pub peer_bytes: (u64, u64),
    /// Proxies by state.
    pub members: [(&'static str, u64); 3],
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Whether this process holds its data centre's watch.
    pub watching: bool,
    /// Connections of callers.
    pub callers: u64,
    /// Requests that wait for, and that run on, each backend server.
    pub admission: Vec<(String, u32, u32)>,
}

impl Metrics {
    /// Registers every metric.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let metrics = Self {
            waiting: stage("waiting", "Time from arrival to a backend connection")?,
            serving: stage("serving", "Time on the backend server")?,
            confirming: stage("confirming", "Time until a majority holds a write")?,
            requests: IntCounterVec::new(
                Opts::new("pomelo_requests_total", "Requests by how they ended"),
                &["group", "ending"],
            )?,
            store_calls: gauges(
                "pomelo_store_calls",
                "Calls to the platform's services",
                &["kind"],
            )?,
            peer_bytes: gauges(
                "pomelo_peer_bytes",
                "Bytes of requests between proxies",
                &["direction"],
            )?,
            members: gauges("pomelo_members", "Proxies by state", &["state"])?,
            revision: IntGauge::new("pomelo_config_revision", "Configuration in force")?,
            watching: IntGauge::new("pomelo_store_watching", "Holds the data centre's watch")?,
            callers: IntGauge::new("pomelo_callers", "Connections of callers")?,
            admission: gauges(
                "pomelo_admission_requests",
                "Requests at a backend server's admission",
                &["instance", "state"],
            )?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let registry = &self.registry;
        for histogram in [&self.waiting, &self.serving, &self.confirming] {
            registry.register(Box::new(histogram.clone()))?;
        }
        let gauges = [
            &self.store_calls,
            &self.peer_bytes,
            &self.members,
            &self.admission,
        ];
        for gauge in gauges {
            registry.register(Box::new(gauge.clone()))?;
        }
        for gauge in [&self.revision, &self.watching, &self.callers] {
            registry.register(Box::new(gauge.clone()))?;
        }
        registry.register(Box::new(self.requests.clone()))
    }

    /// Records the time that a request of `group` spent in a stage.
    pub fn observe(&self, group: &str, stage: Stage, took: Duration) {
        let histogram: Histogram = match stage {
            Stage::Waiting => self.waiting.with_label_values(&[group]),
            Stage::Serving => self.serving.with_label_values(&[group]),
            Stage::Confirming => self.confirming.with_label_values(&[group]),
        };
        histogram.observe(took.as_secs_f64());
    }

    /// Counts a request of `group` by its ending.
    pub fn ended(&self, group: &str, ending: Ending) {
        let counter = self.requests.with_label_values(&[group, ending.name()]);
        counter.inc();
    }

    /// Forgets the series of groups that are no longer declared.
    pub fn forget(&self, group: &str) {
        for histogram in [&self.waiting, &self.serving, &self.confirming] {
            let _ = histogram.remove_label_values(&[group]);
        }
        for ending in [Ending::Answered, Ending::Refused, Ending::Unknown] {
            let _ = self.requests.remove_label_values(&[group, ending.name()]);
        }
    }

    /// The metrics as text, with the gauges' present values.
    pub fn render(&self, gauges: &Gauges, calls: &Calls) -> Result<String, MetricsError> {
        self.set(gauges);
        for (kind, count) in calls.snapshot() {
            let gauge = self.store_calls.with_label_values(&[kind.name()]);
            gauge.set(signed(count));
        }
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    fn set(&self, gauges: &Gauges) {
        let (sent, received) = gauges.peer_bytes;
        for (direction, bytes) in [("sent", sent), ("received", received)] {
            let gauge = self.peer_bytes.with_label_values(&[direction]);
            gauge.set(signed(bytes));
        }
        for (state, count) in gauges.members {
            self.members.with_label_values(&[state]).set(signed(count));
        }
        self.revision.set(signed(gauges.revision));
        self.watching.set(i64::from(gauges.watching));
        self.callers.set(signed(gauges.callers));
        self.admission.reset();
        for (instance, queued, busy) in &gauges.admission {
            for (state, count) in [("queued", *queued), ("busy", *busy)] {
                let gauge = self
                    .admission
                    .with_label_values(&[instance.as_str(), state]);
                gauge.set(i64::from(count));
            }
        }
    }
}

fn stage(name: &str, help: &str) -> Result<HistogramVec, prometheus::Error> {
    let opts = HistogramOpts::new(format!("pomelo_{name}_seconds"), help);
    HistogramVec::new(opts.buckets(BUCKETS.to_vec()), &["group"])
}

fn gauges(name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec, prometheus::Error> {
    IntGaugeVec::new(Opts::new(name, help), labels)
}

fn signed(n: u64) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}
