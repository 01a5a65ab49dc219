//! Sending ended spans to the collector.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use model::id::ProxyId;
use serde_json::{Value, json};

use super::{Ended, Side};

/// Most spans of one message.
const BATCH: usize = 512;

/// Longest time that a span waits for others to be sent with.
const GATHER: Duration = Duration::from_millis(500);

/// Longest wait for the collector; what it has not taken by then is dropped.
const LIMIT: Duration = Duration::from_secs(2);

/// Sends batches until every tracer is gone.
pub(super) async fn run(collector: String, me: ProxyId, rx: flume::Receiver<Ended>) {
    while let Ok(first) = rx.recv_async().await {
        compio::time::sleep(GATHER).await;
        let mut batch = vec![first];
        batch.extend(rx.drain().take(BATCH - 1));
        let spans = batch.len();
        let sent = compio::time::timeout(LIMIT, send(&collector, &me, &batch)).await;
        match sent {
            Ok(Ok(200..=299)) => {}
            Ok(Ok(status)) => tracing::warn!(%collector, status, spans, "spans refused"),
            Ok(Err(cause)) => tracing::warn!(%collector, %cause, spans, "spans not sent"),
            Err(_) => tracing::warn!(%collector, spans, "collector silent"),
        }
    }
}

async fn send(collector: &str, me: &ProxyId, batch: &[Ended]) -> Result<u16, cyper::Error> {
    // A client of its own for each batch: no connection of it can go silent unnoticed.
    let client = cyper::Client::builder().no_proxy().build()?;
    let request = client.post(collector)?;
    let request = request.header(http::header::CONTENT_TYPE, "application/json")?;
    let body = message(me, batch).to_string();
    let response = request.body(body).send().await?;
    Ok(response.status().as_u16())
}

/// An export request in the JSON encoding of OTLP.
fn message(me: &ProxyId, batch: &[Ended]) -> Value {
    let spans: Vec<_> = batch.iter().map(span).collect();
    json!({ "resourceSpans": [{
        "resource": { "attributes": [
            attribute("service.name", "pomelo-proxy"),
            attribute("service.instance.id", me.as_str()),
        ] },
        "scopeSpans": [{ "scope": { "name": "pomeloscale" }, "spans": spans }],
    }] })
}

fn span(ended: &Ended) -> Value {
    let pairs = ended.attributes.iter();
    let attributes: Vec<_> = pairs.map(|(key, value)| attribute(key, value)).collect();
    let parent = ended.parent.map(|id| format!("{id:016x}"));
    // Numbers of the protocol's `SpanKind`.
    let kind = match ended.side {
        Side::Internal => 1,
        Side::Server => 2,
        Side::Client => 3,
    };
    json!({
        "traceId": format!("{:032x}", ended.cx.trace),
        "spanId": format!("{:016x}", ended.cx.span),
        "parentSpanId": parent.unwrap_or_default(),
        "name": ended.name,
        "kind": kind,
        "startTimeUnixNano": nanos(ended.start),
        "endTimeUnixNano": nanos(ended.end),
        "attributes": attributes,
    })
}

fn attribute(key: &str, value: &str) -> Value {
    json!({ "key": key, "value": { "stringValue": value } })
}

fn nanos(at: SystemTime) -> String {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_nanos().to_string()
}
