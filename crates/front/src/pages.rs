//! HTTP pages: whether callers may be sent here, and metrics.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::Router;
use axum::response::IntoResponse as _;
use axum::routing;
use compio::net::TcpListener;
use http::StatusCode;
use store::client::Client;

use crate::cx::Cx;

/// Path of the balancer's question.
const READY: &str = "/ready";

/// Path of the metrics.
const METRICS: &str = "/metrics";

/// Requests for metrics that wait at most.
const QUEUE: usize = 16;

/// Answers the balancer.
pub async fn serve_ready(listener: TcpListener, ready: Arc<AtomicBool>) {
    let answer = move || {
        let ready = ready.load(Ordering::Relaxed);
        let code = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        std::future::ready(code)
    };
    let router = Router::new().route(READY, routing::get(answer));
    if let Err(e) = cyper_axum::serve(listener, router).await {
        tracing::error!(cause = %e, "the balancer's listener failed");
    }
}

/// Serves the metrics. A process whose address is taken serves callers all the same.
pub async fn serve_metrics(address: SocketAddr, cx: Rc<Cx>, store: Client) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(e) => {
            tracing::error!(%address, cause = %e, "metrics are not served");
            return;
        }
    };
    let (tx, rx) = flume::bounded::<flume::Sender<String>>(QUEUE);
    compio::runtime::spawn(async move {
        while let Ok(reply) = rx.recv_async().await {
            // Who asked may have gone.
            let _ = reply.send(text(&cx, &store).await);
        }
    })
    .detach();
    let answer = move || {
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
    let router = Router::new().route(METRICS, routing::get(answer));
    if let Err(e) = cyper_axum::serve(listener, router).await {
        tracing::error!(cause = %e, "the metrics' listener failed");
    }
}

async fn text(cx: &Cx, store: &Client) -> String {
    let (mut waiting, mut connections) = (0, 0);
    let concerns = cx.reports.own();
    let doubts = concerns.values().filter(|c| c.doubt.is_some()).count();
    let lagging = concerns.values().filter(|c| c.lags).count();
    for group in cx.groups() {
        let view = group.view().await;
        waiting += view.waiting as u64;
        connections += u64::from(view.connections);
    }
    let gauges = [
        ("sessions", cx.sessions() as u64),
        ("configuration_version", cx.routes().version),
        ("statements_waiting", waiting),
        ("connections", connections),
        ("doubted_primaries", doubts as u64),
        ("lagging_groups", lagging as u64),
    ];
    match cx.metrics.render(store.calls(), &gauges) {
        Ok(text) => text,
        Err(e) => {
            tracing::error!(cause = %e, "metrics were not rendered");
            String::new()
        }
    }
}
