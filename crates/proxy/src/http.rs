//! The HTTP listener for peers and operators.
//!
//! Peers prove themselves on each request. The operators' pages are open to whoever
//! reaches the address: they only read, and hold neither secrets nor callers' data.
//! Deployments keep the address inside the operators' network.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use axum::Router;
use axum::extract::Path;
use axum::response::{IntoResponse as _, Response};
use axum::routing;
use futures_util::future;
use http::{StatusCode, header};
use model::id::GroupId;
use peer::status::{EXPLAIN, Group, Member, PATH, Status};
use policy::membership::table::{MemberInfo, State};

use crate::cx::Cx;
use crate::member::{self, Empty, OWN, OwnState};
use crate::metrics::Gauges;

/// Path of the metrics.
pub const METRICS: &str = "/metrics";

/// Path of the platform's balancer: 200 while callers are to be sent here.
pub const HEALTH: &str = "/health";

/// Operators' requests that may wait; more are refused.
const QUEUE: usize = 64;

/// Longest wait for another proxy's own state.
const OWN_LIMIT: Duration = Duration::from_millis(1_000);

/// Whether callers are to be sent here.
#[derive(Clone, Default)]
pub struct Health {
    draining: Arc<AtomicBool>,
}

impl Health {
    /// From now on the balancer is told to send callers elsewhere.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

enum Page {
    Status,
    Metrics,
    Explain(GroupId),
}

/// A request for a page, and where its answer goes.
struct Ask(Page, flume::Sender<Response>);

/// The operators' pages; a task on the current runtime answers them.
pub fn routes(cx: Rc<Cx>, members: member::Handle, health: Health) -> Router {
    let (tx, rx) = flume::bounded(QUEUE);
    let fleet = cx.fleet.clone();
    let ready = health.clone();
    compio::runtime::spawn(serve(cx, members, health, rx)).detach();
    let (status, metrics) = (tx.clone(), tx.clone());
    let explain = move |Path(group): Path<String>| {
        let tx = tx.clone();
        async move {
            match group.parse() {
                Ok(group) => ask(&tx, Page::Explain(group)).await,
                Err(_) => StatusCode::NOT_FOUND.into_response(),
            }
        }
    };
    let health = move || {
        let ready = fleet.is_known() && !ready.draining();
        let code = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        future::ready(code)
    };
    Router::new()
        .route(
            PATH,
            routing::get(move || async move { ask(&status, Page::Status).await }),
        )
        .route(
            METRICS,
            routing::get(move || async move { ask(&metrics, Page::Metrics).await }),
        )
        .route(&format!("{EXPLAIN}{{group}}"), routing::get(explain))
        .route(HEALTH, routing::get(health))
}

async fn ask(tx: &flume::Sender<Ask>, page: Page) -> Response {
    let (reply, answer) = flume::bounded(1);
    let busy = StatusCode::SERVICE_UNAVAILABLE;
    if tx.try_send(Ask(page, reply)).is_err() {
        return busy.into_response();
    }
    let answer = answer.recv_async().await;
    answer.unwrap_or_else(|_| busy.into_response())
}

async fn serve(cx: Rc<Cx>, members: member::Handle, health: Health, rx: flume::Receiver<Ask>) {
    while let Ok(Ask(page, reply)) = rx.recv_async().await {
        let (cx, members, draining) = (cx.clone(), members.clone(), health.draining());
        compio::runtime::spawn(async move {
            let response = match page {
                Page::Status => status(&cx, &members, draining).await,
                Page::Metrics => metrics(&cx, &members).await,
                Page::Explain(group) => explain(&cx, &group).await,
            };
            let _ = reply.send(response);
        })
        .detach();
    }
}

fn json(value: &impl serde::Serialize) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => ([(header::CONTENT_TYPE, "application/json")], body).into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

/// Each proxy is asked for its revision when an operator wants to know. Passing the
/// revisions on all the time would cost every proxy a message about every other one for
/// each change of the configuration.
async fn status(cx: &Cx, members: &member::Handle, draining: bool) -> Response {
    let Some(known) = members.snapshot().await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let asked = known.members.iter().map(|news| async {
        let revision = if news.id == cx.me {
            Some(cx.fleet.current().revision)
        } else {
            own(members, news).await
        };
        member_row(news, revision.unwrap_or_default())
    });
    let mut rows = future::join_all(asked).await;
    rows.sort_by(|a, b| (&a.data_centre, &a.proxy).cmp(&(&b.data_centre, &b.proxy)));
    json(&Status {
        proxy: cx.me.clone(),
        data_centre: cx.cfg.data_centre.clone(),
        draining,
        revision: cx.fleet.current().revision,
        watching: known.watching,
        members: rows,
        groups: groups(cx).await,
    })
}

async fn own(members: &member::Handle, news: &MemberInfo) -> Option<model::position::Revision> {
    if news.state == State::Gone {
        return None;
    }
    let client = members.client();
    let own = client.call::<_, OwnState>(news.address, OWN, &Empty {}, OWN_LIMIT, None);
    Some(own.await.ok()?.revision)
}

fn member_row(news: &MemberInfo, revision: model::position::Revision) -> Member {
    Member {
        proxy: news.id.clone(),
        data_centre: news.data_centre.clone(),
        address: news.address,
        state: news.state.name().to_owned(),
        revision,
    }
}

async fn groups(cx: &Cx) -> Vec<Group> {
    let mut groups = Vec::new();
    for routes in cx.routes() {
        if let Some(known) = routes.snapshot().await {
            groups.push(Group {
                group: routes.group().clone(),
                term: known.lead.term,
                primary: known.lead.primary,
            });
        }
    }
    groups
}

async fn explain(cx: &Cx, group: &GroupId) -> Response {
    let routes = cx.routes().into_iter().find(|r| r.group() == group);
    let Some(routes) = routes else {
        return StatusCode::NOT_FOUND.into_response();
    };
    match routes.snapshot().await {
        Some(known) => json(&known.decisions),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn metrics(cx: &Cx, members: &member::Handle) -> Response {
    let known = members.snapshot().await;
    let (list, watching) = known.map_or((Vec::new(), false), |k| (k.members, k.watching));
    let count = |state| {
        let n = list.iter().filter(|news| news.state == state).count();
        (state.name(), n as u64)
    };
    let loads = cx.admit.loads().await;
    let admission = loads
        .iter()
        .map(|(id, load)| (id.to_string(), load.queued, load.busy));
    let gauges = Gauges {
        peer_bytes: (members.traffic().sent(), members.traffic().received()),
        members: [State::Live, State::Suspected, State::Gone].map(count),
        revision: cx.fleet.current().revision.0,
        watching,
        callers: cx.registry.count().await,
        admission: admission.collect(),
    };
    match cx.metrics.render(&gauges, cx.store.calls()) {
        Ok(text) => text.into_response(),
        Err(e) => {
            tracing::error!(cause = %e, "metrics not rendered");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}
