//! Tests of requests and responses over a socket.

use std::net::SocketAddr;
use std::time::Duration;

use model::trace::Context;
use peer::auth::Key;
use peer::client::{Client, Error};
use peer::server::{Call, Routes, Traffic};

const LIMIT: Duration = Duration::from_secs(5);
const PATH: &str = "/peer/echo";

#[derive(Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
struct Old {
    text: String,
}

#[derive(Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
struct New {
    text: String,
    #[serde(default)]
    added: u32,
}

/// Serves one path and responds to each request with its own text and trace.
async fn serve(key: Key) -> SocketAddr {
    let (tx, rx) = flume::bounded::<Call<Old, New>>(peer::server::QUEUE_CAPACITY);
    let routes = Routes::new(key, Traffic::default()).route(PATH, tx);
    let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    compio::runtime::spawn(async move { cyper_axum::serve(listener, routes.into_router()).await })
        .detach();
    compio::runtime::spawn(async move {
        while let Ok(call) = rx.recv_async().await {
            let trace = call.trace.map(|cx| cx.to_string()).unwrap_or_default();
            let text = call.req.text + &trace;
            let _ = call.reply.send(New { text, added: 1 });
        }
    })
    .detach();
    address
}

#[compio::test]
async fn versions_that_differ_by_a_field_interoperate() {
    let key = Key::new(b"fleet");
    let address = serve(key.clone()).await;
    let client = Client::new(key).unwrap();
    let req = New {
        text: "hello".into(),
        added: 7,
    };
    let response: Old = client.call(address, PATH, &req, LIMIT, None).await.unwrap();
    assert_eq!(response.text, "hello");
}

#[compio::test]
async fn the_trace_context_reaches_the_peer() {
    let key = Key::new(b"fleet");
    let address = serve(key.clone()).await;
    let client = Client::new(key).unwrap();
    let cx = Context::new(5, 6, true);
    let req = Old::default();
    let response = client.call(address, PATH, &req, LIMIT, Some(cx)).await;
    let response: New = response.unwrap();
    assert_eq!(response.text, cx.to_string());
}

/// A process without the secret requests a proxy's configuration, which contains the
/// backend servers' passwords: it receives status 401 and an empty body.
#[compio::test]
async fn a_peer_without_the_secret_gets_nothing() {
    let address = serve(Key::new(b"fleet")).await;
    let client = Client::new(Key::new(b"guess")).unwrap();
    let req = Old::default();
    let result = client.call::<_, New>(address, PATH, &req, LIMIT, None);
    assert!(matches!(result.await, Err(Error::Rejected)));

    let bare = cyper::Client::new().unwrap();
    let response = bare.post(format!("http://{address}{PATH}")).unwrap();
    let response = response.body("x").send().await.unwrap();
    assert_eq!(response.status().as_u16(), 401);
    assert!(response.bytes().await.unwrap().is_empty());
}

/// Another process responds at an address that a peer used before. Without the secret it
/// cannot sign the response, and the client rejects it.
#[compio::test]
async fn a_response_without_a_signature_is_rejected() {
    let handler = || async { peer::codec::encode(&Old::default()).unwrap() };
    let router = axum::Router::new().route(PATH, axum::routing::post(handler));
    let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    compio::runtime::spawn(async move { cyper_axum::serve(listener, router).await }).detach();
    let client = Client::new(Key::new(b"fleet")).unwrap();
    let req = Old::default();
    let result = client.call::<_, New>(address, PATH, &req, LIMIT, None);
    assert!(matches!(result.await, Err(Error::Auth(_))));
}
