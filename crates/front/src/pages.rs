//! HTTP endpoints: readiness for the load balancer, and metrics.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::Router;
use axum::response::IntoResponse as _;
use axum::routing;
use compio::net::TcpListener;
use http::StatusCode;
use policy::pool::QueueStats;
use store::client::Client;

use crate::cx::Cx;

/// Path of the load balancer's readiness check.
const READY: &str = "/ready";

/// Path of the metrics.
const METRICS: &str = "/metrics";

/// Most requests for metrics that may wait.
const MAX_WAITING_REQUESTS: usize = 16;

/// Serves the readiness check.
pub async fn serve_ready(listener: TcpListener, ready: Arc<AtomicBool>) {
    let handler = move || {
        let ready = ready.load(Ordering::Relaxed);
        let code = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        std::future::ready(code)
    };
    let router = Router::new().route(READY, routing::get(handler));
    if let Err(e) = cyper_axum::serve(listener, router).await {
        tracing::error!(cause = %e, "the readiness listener failed");
    }
}

/// Serves the metrics. If the address cannot be bound, the process still serves callers.
pub async fn serve_metrics(address: SocketAddr, cx: Rc<Cx>, store: Client) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(e) => {
            tracing::error!(%address, cause = %e, "cannot bind the address of the metrics");
            return;
        }
    };
    let (tx, rx) = flume::bounded::<flume::Sender<String>>(MAX_WAITING_REQUESTS);
    compio::runtime::spawn(async move {
        while let Ok(reply) = rx.recv_async().await {
            // The client may have disconnected.
            let _ = reply.send(render(&cx, &store).await);
        }
    })
    .detach();
    let handler = move || {
        let tx = tx.clone();
        async move {
            let (reply, text) = flume::bounded(1);
            let busy = StatusCode::SERVICE_UNAVAILABLE.into_response();
            if tx.try_send(reply).is_err() {
                return busy;
            }
            match text.recv_async().await {
                Ok(text) => text.into_response(),
                Err(_) => busy,
            }
        }
    };
    let router = Router::new().route(METRICS, routing::get(handler));
    if let Err(e) = cyper_axum::serve(listener, router).await {
        tracing::error!(cause = %e, "the metrics listener failed");
    }
}

/// Renders the metrics with the present values of the state gauges.
async fn render(cx: &Cx, store: &Client) -> String {
    let (mut waiting, mut connections) = (0, 0);
    let mut queue = QueueStats::default();
    let reports = cx.reports.own();
    let suspected = reports.values().filter(|c| c.suspicion.is_some()).count();
    let lagging = reports.values().filter(|c| c.lags).count();
    for group in cx.groups() {
        let view = group.view().await;
        waiting += view.waiting as u64;
        connections += u64::from(view.connections);
        queue += view.queue;
    }
    let gauges = [
        ("sessions", cx.sessions() as u64),
        ("statements_running", cx.running.count() as u64),
        ("configuration_version", cx.routes().version),
        ("statements_waiting", waiting),
        ("connections", connections),
        ("refused_hopeless", queue.hopeless),
        ("refused_at_deadline", queue.expired),
        ("put_behind_late", queue.late),
        ("advanced_passed_over", queue.advanced),
        ("doubted_primaries", suspected as u64),
        ("lagging_groups", lagging as u64),
        ("silent_granters", cx.quotas.silent_granters() as u64),
    ];
    match cx
        .metrics
        .render(store.calls(), &gauges, &cx.quotas.usage())
    {
        Ok(text) => text,
        Err(e) => {
            tracing::error!(cause = %e, "cannot render the metrics");
            String::new()
        }
    }
}
