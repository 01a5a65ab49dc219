//! Traces: a span for each hop of a request, exported by OTLP over HTTP.
//!
//! Off unless the settings name a collector. A request is traced when its caller's trace
//! context asks for it, or by chance. Spans wait for the exporter in a bounded queue and
//! are dropped when it is full: a collector that is down or slow never holds a request up.

mod export;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use model::id::ProxyId;
use model::trace::Context;

/// Spans that wait for the exporter. Load: 10,000 sampled requests a second for a second;
/// harm beyond: memory of a process whose collector is down, at about 300 bytes each.
const QUEUE: usize = 10_000;

/// Settings of the export.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traces {
    /// URL that takes OTLP in JSON, e.g. `http://10.0.0.9:4318/v1/traces`.
    pub collector: String,
    /// Of a million requests without a trace context, how many are traced.
    #[serde(default)]
    pub sample_per_million: u32,
}

/// Which side of a hop a span covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Work for a request that came in.
    Server,
    /// Waiting for a request that went out.
    Client,
    /// Neither.
    Internal,
}

/// A span that has ended.
#[derive(Clone, Debug)]
pub(crate) struct Ended {
    cx: Context,
    parent: Option<u64>,
    name: &'static str,
    side: Side,
    start: SystemTime,
    end: SystemTime,
    attributes: Vec<(&'static str, String)>,
}

/// Starts spans; cheap to clone, usable from any thread.
#[derive(Clone, Default)]
pub struct Tracer {
    inner: Option<Arc<Inner>>,
}

struct Inner {
    tx: flume::Sender<Ended>,
    sample_per_million: u32,
    dropped: AtomicU64,
}

/// A span under way; it ends when it is dropped. Without a tracer, or when the request is
/// not sampled, it does nothing.
#[derive(Default)]
pub struct Span {
    open: Option<Box<Open>>,
}

struct Open {
    inner: Arc<Inner>,
    ended: Ended,
}

impl Tracer {
    /// A tracer that does nothing.
    pub fn off() -> Self {
        Self::default()
    }

    /// Starts the exporter on the current runtime.
    pub fn start(settings: &Traces, me: &ProxyId) -> Self {
        let (tx, rx) = flume::bounded(QUEUE);
        let export = export::run(settings.collector.clone(), me.clone(), rx);
        compio::runtime::spawn(export).detach();
        let inner = Inner {
            tx,
            sample_per_million: settings.sample_per_million,
            dropped: AtomicU64::new(0),
        };
        Self {
            inner: Some(Arc::new(inner)),
        }
    }

    /// Spans that were dropped because the exporter did not keep up.
    pub fn dropped(&self) -> u64 {
        let inner = self.inner.as_ref();
        inner.map_or(0, |inner| inner.dropped.load(Ordering::Relaxed))
    }

    /// Begins a span of work that no request caused, such as a change of primary. All
    /// proxies that take part in it know the same trace.
    pub fn within(&self, name: &'static str, side: Side, trace: u64) -> Span {
        let Some(inner) = &self.inner else {
            return Span::default();
        };
        let cx = Context::new(trace.into(), rand::random(), true);
        inner.begin(name, side, cx, None)
    }

    /// Begins the span of a request that came in, under its sender's context if it has one.
    pub fn incoming(&self, name: &'static str, parent: Option<Context>) -> Span {
        let Some(inner) = &self.inner else {
            return Span::default();
        };
        let chance = || rand::random_range(0..1_000_000) < inner.sample_per_million;
        if !parent.map_or_else(chance, |cx| cx.sampled) {
            return Span::default();
        }
        let trace = parent.map_or_else(rand::random, |cx| cx.trace);
        let cx = Context::new(trace, rand::random(), true);
        inner.begin(name, Side::Server, cx, parent.map(|cx| cx.span))
    }
}

impl Inner {
    fn begin(
        self: &Arc<Self>,
        name: &'static str,
        side: Side,
        cx: Context,
        parent: Option<u64>,
    ) -> Span {
        let now = SystemTime::now();
        let ended = Ended {
            cx,
            parent,
            name,
            side,
            start: now,
            end: now,
            attributes: Vec::new(),
        };
        let inner = self.clone();
        Span {
            open: Some(Box::new(Open { inner, ended })),
        }
    }
}

impl Span {
    /// The context to send along with whatever this span causes.
    pub fn context(&self) -> Option<Context> {
        self.open.as_ref().map(|open| open.ended.cx)
    }

    /// Begins a span inside this one.
    pub fn child(&self, name: &'static str, side: Side) -> Self {
        let Some(open) = &self.open else {
            return Self::default();
        };
        let cx = open.ended.cx.child(rand::random());
        open.inner.begin(name, side, cx, Some(open.ended.cx.span))
    }

    /// Begins a span inside this one that started at an earlier moment.
    pub fn child_since(&self, name: &'static str, side: Side, began: Instant) -> Self {
        let mut child = self.child(name, side);
        child.began_before(began.elapsed());
        child
    }

    /// Moves the span's beginning back by the time that the work has taken already.
    pub fn began_before(&mut self, took: Duration) {
        if let Some(open) = &mut self.open {
            let start = open.ended.start.checked_sub(took);
            open.ended.start = start.unwrap_or(open.ended.start);
        }
    }

    /// Adds an attribute. Never a statement's text or a secret.
    pub fn set(&mut self, key: &'static str, value: &impl ToString) {
        if let Some(open) = &mut self.open {
            open.ended.attributes.push((key, value.to_string()));
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.ended.end = SystemTime::now();
        if self.inner.tx.try_send(self.ended.clone()).is_err() {
            self.inner.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
