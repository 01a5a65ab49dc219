//! Sending requests to peers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use http::Method;
use model::trace;

use crate::auth::{AuthError, Envelope, Key, NONCE_LEN, Nonce};
use crate::codec::{self, CodecError};
use crate::server;

/// Header with the sender's time, nonce and MAC, separated by dots; in a response only the MAC.
pub const SIGNATURE: &str = "x-pomelo-proof";

/// Why a peer gave no usable response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be established: the peer received no request.
    #[error("the peer is unreachable: {0}")]
    Unreachable(#[source] cyper::Error),
    /// The connection failed after the request may have arrived.
    #[error("the connection to the peer failed: {0}")]
    Connection(#[source] cyper::Error),
    /// No response within the time limit.
    #[error("the peer did not answer within {0:?}")]
    Timeout(Duration),
    /// The peer did not accept the request as authentic.
    #[error("the peer refused our proof")]
    Rejected,
    /// An HTTP status other than 200.
    #[error("the peer answered HTTP status {0}")]
    Status(u16),
    /// The response does not come from a holder of the secret.
    #[error("the peer's answer is not trusted: {0}")]
    Auth(#[from] AuthError),
    /// A message cannot be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Client for requests to peers; cheap to clone within its runtime.
#[derive(Clone)]
pub struct Client {
    inner: Rc<Inner>,
}

struct Inner {
    key: Key,
    http: RefCell<cyper::Client>,
    /// Bytes of bodies and headers sent and received, for the budget of control traffic.
    traffic: server::Traffic,
}

impl Client {
    /// Creates a client that signs its requests with `key`.
    pub fn new(key: Key) -> Result<Self, Error> {
        Self::with_traffic(key, server::Traffic::default())
    }

    /// Creates a client that counts its bytes in `traffic`.
    pub fn with_traffic(key: Key, traffic: server::Traffic) -> Result<Self, Error> {
        let http = RefCell::new(http_client()?);
        let inner = Rc::new(Inner { key, http, traffic });
        Ok(Self { inner })
    }

    /// Sends a request and waits at most `limit` for the response.
    pub async fn call<Req, Res>(
        &self,
        peer: SocketAddr,
        path: &str,
        req: &Req,
        limit: Duration,
        cx: Option<trace::Context>,
    ) -> Result<Res, Error>
    where
        Req: serde::Serialize,
        Res: serde::de::DeserializeOwned,
    {
        let body = codec::encode(req)?;
        let exchange = self.exchange(peer, path, body, cx);
        match compio::time::timeout(limit, exchange).await {
            Ok(response) => Ok(codec::decode(&response?)?),
            Err(_) => {
                // Every later request that reuses an unresponsive connection would time
                // out as well. A new client starts with an empty pool.
                *self.inner.http.borrow_mut() = http_client()?;
                Err(Error::Timeout(limit))
            }
        }
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        path: &str,
        body: Vec<u8>,
        cx: Option<trace::Context>,
    ) -> Result<Vec<u8>, Error> {
        let trace = cx.map(|cx| cx.to_string()).unwrap_or_default();
        let envelope = Envelope {
            method: Method::POST.as_str(),
            path,
            time_ms: server::unix_ms(),
            nonce: Nonce(rand::random::<[u8; NONCE_LEN]>()),
            trace: &trace,
        };
        let signature = self.signature(&envelope, &body);
        self.inner
            .traffic
            .add_sent(body.len() + path.len() + signature.len() + trace.len());
        let http = self.inner.http.borrow().clone();
        let request = http.post(format!("http://{peer}{path}"));
        let request = request.and_then(|r| r.header(SIGNATURE, signature));
        let mut request = request.map_err(Error::Connection)?;
        if !trace.is_empty() {
            let traced = request.header(trace::HEADER, &trace);
            request = traced.map_err(Error::Connection)?;
        }
        let response = request.body(body).send().await.map_err(from_http)?;
        self.read(envelope.nonce, response).await
    }

    fn signature(&self, envelope: &Envelope<'_>, body: &[u8]) -> String {
        let tag = self.inner.key.sign_request(envelope, body);
        let nonce = STANDARD_NO_PAD.encode(envelope.nonce.0);
        let tag = STANDARD_NO_PAD.encode(tag);
        format!("{}.{nonce}.{tag}", envelope.time_ms)
    }

    async fn read(&self, nonce: Nonce, response: cyper::Response) -> Result<Vec<u8>, Error> {
        let status = response.status().as_u16();
        if status == http::StatusCode::UNAUTHORIZED.as_u16() {
            return Err(Error::Rejected);
        }
        let tag = response
            .headers()
            .get(SIGNATURE)
            .and_then(|v| v.to_str().ok());
        let tag = tag.and_then(|tag| STANDARD_NO_PAD.decode(tag).ok());
        let body = response.bytes().await.map_err(Error::Connection)?;
        self.inner.traffic.add_received(body.len());
        let tag = tag.ok_or(AuthError::Missing)?;
        self.inner.key.verify_response(nonce, status, &body, &tag)?;
        match status {
            200 => Ok(body.to_vec()),
            status => Err(Error::Status(status)),
        }
    }
}

fn http_client() -> Result<cyper::Client, Error> {
    let builder = cyper::Client::builder().no_proxy();
    builder.build().map_err(Error::Connection)
}

fn from_http(e: cyper::Error) -> Error {
    match &e {
        cyper::Error::HyperClient(cause) if cause.is_connect() => Error::Unreachable(e),
        _ => Error::Connection(e),
    }
}
