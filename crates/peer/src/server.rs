//! Server for requests of peers.
//!
//! Each path is served by the task that owns the requested state: the request is
//! authenticated, decoded and sent to that task as a [`Call`].

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use axum::Router;
use axum::body::Body;
use axum::extract::{DefaultBodyLimit, Request};
use axum::response::Response;
use axum::routing;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use bytes::Bytes;
use http::StatusCode;
use model::trace;

use crate::auth::{AuthError, Envelope, Key, Nonce, ReplayWindow};
use crate::client::SIGNATURE;
use crate::codec;

/// Maximum number of requests that wait for a task. Further ones are rejected, since the
/// peer times out before a late response anyway.
pub const QUEUE_CAPACITY: usize = 256;

/// A request for the task that owns the state. Dropping it sends status 503 to the peer.
#[derive(Debug)]
pub struct Call<Req, Res> {
    /// The request.
    pub req: Req,
    /// The span that sent it.
    pub trace: Option<trace::Context>,
    /// Sends the response back.
    pub reply: flume::Sender<Res>,
}

/// Counters of control traffic: bytes, without HTTP's own headers, and messages.
#[derive(Clone, Debug, Default)]
pub struct Traffic(Arc<(AtomicU64, AtomicU64, AtomicU64)>);

impl Traffic {
    pub(crate) fn add_sent(&self, bytes: usize) {
        self.0.0.fetch_add(bytes as u64, Ordering::Relaxed);
        self.0.2.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, bytes: usize) {
        self.0.1.fetch_add(bytes as u64, Ordering::Relaxed);
        self.0.2.fetch_add(1, Ordering::Relaxed);
    }

    /// Bytes sent.
    pub fn sent(&self) -> u64 {
        self.0.0.load(Ordering::Relaxed)
    }

    /// Bytes received.
    pub fn received(&self) -> u64 {
        self.0.1.load(Ordering::Relaxed)
    }

    /// Messages sent and received.
    pub fn messages(&self) -> u64 {
        self.0.2.load(Ordering::Relaxed)
    }
}

/// The paths that peers may call.
#[derive(Clone)]
pub struct Routes {
    auth: Arc<Authenticator>,
    router: Router,
}

struct Authenticator {
    key: Key,
    replays: Mutex<ReplayWindow>,
    traffic: Traffic,
}

impl Routes {
    /// Creates an empty set of paths; requests are verified with `key`.
    pub fn new(key: Key, traffic: Traffic) -> Self {
        let auth = Authenticator {
            key,
            replays: Mutex::default(),
            traffic,
        };
        Self {
            auth: Arc::new(auth),
            router: Router::new(),
        }
    }

    /// Adds a path; its requests are sent to `tx`.
    #[must_use]
    pub fn route<Req, Res>(mut self, path: &str, tx: flume::Sender<Call<Req, Res>>) -> Self
    where
        Req: serde::de::DeserializeOwned + Send + 'static,
        Res: serde::Serialize + Send + 'static,
    {
        let auth = self.auth.clone();
        let handler = move |req: Request| handle(auth.clone(), tx.clone(), req);
        self.router = self.router.route(path, routing::post(handler));
        self
    }

    /// Converts the paths into a router, to be served beside others.
    pub fn into_router(self) -> Router {
        self.router.layer(DefaultBodyLimit::max(codec::MAX_BODY))
    }
}

async fn handle<Req, Res>(
    auth: Arc<Authenticator>,
    tx: flume::Sender<Call<Req, Res>>,
    req: Request,
) -> Response
where
    Req: serde::de::DeserializeOwned,
    Res: serde::Serialize,
{
    let (parts, body) = req.into_parts();
    let Ok(body) = axum::body::to_bytes(body, codec::MAX_BODY).await else {
        return unauthorized();
    };
    let (nonce, cx) = match auth.check(&parts, &body) {
        Ok(checked) => checked,
        Err(e) => {
            tracing::warn!(path = parts.uri.path(), cause = %e, "peer request rejected");
            return unauthorized();
        }
    };
    let (status, body) = match dispatch(&tx, &body, cx).await {
        Ok(body) => (StatusCode::OK, body),
        Err(status) => (status, Vec::new()),
    };
    auth.respond(nonce, status, body)
}

async fn dispatch<Req, Res>(
    tx: &flume::Sender<Call<Req, Res>>,
    body: &[u8],
    trace: Option<trace::Context>,
) -> Result<Vec<u8>, StatusCode>
where
    Req: serde::de::DeserializeOwned,
    Res: serde::Serialize,
{
    let req = codec::decode(body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let (reply, response) = flume::bounded(1);
    let call = Call { req, trace, reply };
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    tx.try_send(call).map_err(|_| unavailable)?;
    let response = response.recv_async().await.map_err(|_| unavailable)?;
    codec::encode(&response).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
}

/// Empty response with status 401: a sender without the secret learns no reason.
fn unauthorized() -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::UNAUTHORIZED;
    response
}

impl Authenticator {
    fn check(
        &self,
        parts: &http::request::Parts,
        body: &Bytes,
    ) -> Result<(Nonce, Option<trace::Context>), AuthError> {
        let header = |name| parts.headers.get(name).and_then(|v| v.to_str().ok());
        let (time_ms, nonce, tag) = parse_signature(header(SIGNATURE).ok_or(AuthError::Missing)?)?;
        let trace = header(trace::HEADER).unwrap_or_default();
        let envelope = Envelope {
            method: parts.method.as_str(),
            path: parts.uri.path(),
            time_ms,
            nonce,
            trace,
        };
        // The signature is verified first, so that senders without the secret cannot fill
        // the replay window.
        self.key.verify_request(&envelope, body, &tag)?;
        let mut replays = self.replays.lock().unwrap_or_else(PoisonError::into_inner);
        replays.admit(unix_ms(), &envelope)?;
        self.traffic.add_received(body.len());
        Ok((nonce, trace.parse().ok()))
    }

    fn respond(&self, nonce: Nonce, status: StatusCode, body: Vec<u8>) -> Response {
        let tag = self.key.sign_response(nonce, status.as_u16(), &body);
        let tag = STANDARD_NO_PAD.encode(tag);
        self.traffic.add_sent(body.len() + tag.len());
        let response = Response::builder()
            .status(status)
            .header(http::header::CONTENT_TYPE, codec::CONTENT_TYPE)
            .header(SIGNATURE, tag)
            .body(Body::from(body));
        response.unwrap_or_else(|_| unauthorized())
    }
}

fn parse_signature(text: &str) -> Result<(u64, Nonce, Vec<u8>), AuthError> {
    let parts: Vec<_> = text.split('.').collect();
    let [time, nonce, tag] = parts.as_slice() else {
        return Err(AuthError::Missing);
    };
    let bytes = |text: &str| {
        let decoded = STANDARD_NO_PAD.decode(text);
        decoded.map_err(|_| AuthError::Missing)
    };
    let time = time.parse().map_err(|_| AuthError::Missing)?;
    let nonce = bytes(nonce)?.try_into().map_err(|_| AuthError::Missing)?;
    Ok((time, Nonce(nonce), bytes(tag)?))
}

/// This VM's clock, in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
