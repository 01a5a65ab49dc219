//! The platform's HTTP listeners, one for each data centre.

use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::http::{Request, Response, StatusCode, header};
use futures_util::StreamExt as _;
use serde_json::Value;

use super::service::{Answer, Call};

/// Largest request body, as the platform holds values up to a megabyte.
const MAX_BODY: usize = 2 << 20;

#[derive(Clone)]
struct Door {
    site: usize,
    tx: flume::Sender<Call>,
}

/// Serves callers of one data centre until the fleet stops.
pub(crate) async fn serve(
    listener: compio::net::TcpListener,
    site: usize,
    tx: flume::Sender<Call>,
) -> std::io::Result<()> {
    let router = Router::new().fallback(handle).with_state(Door { site, tx });
    cyper_axum::serve(listener, router).await
}

async fn handle(State(door): State<Door>, req: Request<Body>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    let Ok(raw) = axum::body::to_bytes(req.into_body(), MAX_BODY).await else {
        return plain(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let body = if raw.is_empty() {
        Value::Null
    } else {
        match serde_json::from_slice(&raw) {
            Ok(body) => body,
            Err(_) => return plain(StatusCode::BAD_REQUEST),
        }
    };
    let (reply, answer) = flume::bounded(1);
    let call = Call {
        site: door.site,
        path,
        body,
        reply,
    };
    if door.tx.send(call).is_err() {
        return plain(StatusCode::SERVICE_UNAVAILABLE);
    }
    match answer.recv_async().await {
        Ok(Answer::Body(status, body)) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            respond(status, Body::from(body.to_string()))
        }
        Ok(Answer::Stream(rx)) => {
            let chunks = rx.into_stream().map(Ok::<_, std::convert::Infallible>);
            respond(StatusCode::OK, Body::from_stream(chunks))
        }
        Err(_) => plain(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn plain(status: StatusCode) -> Response<Body> {
    respond(status, Body::empty())
}

fn respond(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
