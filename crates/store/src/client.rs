//! Transport: endpoints, time limits and replacement of unresponsive connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt as _;
use model::trace;

use crate::calls::{Calls, Kind, Purpose};
use crate::error::Error;

/// Longest wait for one response. The platform responds in milliseconds, and a promotion
/// waits for its responses, so a longer limit would only prolong the time without writes.
pub const TIME_LIMIT: Duration = Duration::from_millis(500);

/// Maximum size of one response, in bytes. A page of a listing has about a megabyte, and a
/// watch reports every change since a revision; a larger response is an error.
const MAX_RESPONSE: usize = 16 << 20;

/// Client of the platform's services; cheap to clone within its runtime.
#[derive(Clone)]
pub struct Client {
    inner: Rc<Inner>,
    /// Sent with each request, so that the platform's spans belong to the same trace.
    trace: Option<trace::Context>,
    /// Purpose under which its calls are counted.
    purpose: Purpose,
}

struct Inner {
    endpoints: Vec<String>,
    /// Index of the endpoint that responded last; tried first.
    preferred: Cell<usize>,
    http: RefCell<cyper::Client>,
    calls: Calls,
    time_limit: Duration,
}

impl Client {
    /// Creates a client of the service at `endpoints` (`http://IP:PORT`), all equivalent.
    pub fn new(endpoints: Vec<String>) -> Result<Self, Error> {
        Self::with_time_limit(endpoints, TIME_LIMIT)
    }

    /// Creates a client with another time limit per call.
    pub fn with_time_limit(endpoints: Vec<String>, time_limit: Duration) -> Result<Self, Error> {
        let endpoints = endpoints
            .into_iter()
            .map(|url| url.trim_end_matches('/').to_owned())
            .collect();
        let inner = Inner {
            endpoints,
            preferred: Cell::new(0),
            http: RefCell::new(http_client()?),
            calls: Calls::default(),
            time_limit,
        };
        Ok(Self {
            inner: Rc::new(inner),
            trace: None,
            purpose: Purpose::default(),
        })
    }

    /// Returns a clone whose requests carry a trace context.
    #[must_use]
    pub fn traced(&self, trace: Option<trace::Context>) -> Self {
        Self {
            trace,
            ..self.clone()
        }
    }

    /// Returns a clone whose calls are counted under `purpose`.
    #[must_use]
    pub fn counted_for(&self, purpose: Purpose) -> Self {
        Self {
            purpose,
            ..self.clone()
        }
    }

    /// Counters of the calls of this client and its clones.
    pub fn calls(&self) -> &Calls {
        &self.inner.calls
    }

    /// Longest wait for one response.
    pub fn time_limit(&self) -> Duration {
        self.inner.time_limit
    }

    /// Sends a request to one endpoint after another until one responds with success.
    ///
    /// Only for calls that are safe to repeat.
    pub(crate) async fn post<Req, Res>(
        &self,
        kind: Kind,
        path: &str,
        body: &Req,
    ) -> Result<Res, Error>
    where
        Req: serde::Serialize,
        Res: serde::de::DeserializeOwned,
    {
        let body = serde_json::to_vec(body).map_err(Error::Decode)?;
        let mut last = Error::NoEndpoint;
        for index in self.endpoint_order() {
            match self.post_to(index, kind, path, body.clone()).await {
                Ok(bytes) => {
                    self.inner.preferred.set(index);
                    return serde_json::from_slice(&bytes).map_err(Error::Decode);
                }
                // An error that leaves open whether the request took effect is kept over
                // one that rules it out: the caller must not conclude "no effect".
                Err(e) if last.had_no_effect() => last = e,
                Err(_) => {}
            }
        }
        Err(last)
    }

    fn endpoint_order(&self) -> impl Iterator<Item = usize> + use<> {
        let (first, n) = (self.inner.preferred.get(), self.inner.endpoints.len());
        (0..n).map(move |index| (first + index) % n)
    }

    async fn post_to(
        &self,
        index: usize,
        kind: Kind,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Vec<u8>, Error> {
        let response = self.open(index, kind, path, body);
        let exchange = async { read_all(response.await?).await };
        self.within_limit(exchange).await
    }

    /// Sends one request to the first endpoint and returns the response, whatever its status.
    /// The response must begin within `limit`; after that, each chunk must arrive within the
    /// client's time limit.
    ///
    /// For interfaces other than etcd's gateway: their callers check the status themselves
    /// and decide whether to repeat a request whose response was lost.
    ///
    /// When all proxies of a region start, each requests everything over one narrow link.
    /// With a limit on the whole response, none would complete in time: each would be
    /// discarded and requested again, and the link would stay full of responses that nobody
    /// waits for.
    pub async fn exchange(
        &self,
        kind: Kind,
        req: http::Request<Vec<u8>>,
        limit: Duration,
    ) -> Result<http::Response<Vec<u8>>, Error> {
        self.inner.calls.add(self.purpose, kind);
        let begin = async {
            let (parts, body) = req.into_parts();
            let url = format!("{}{}", self.endpoint()?, parts.uri);
            let request = self.http().request(parts.method, &url);
            let request = request.map_err(|_| Error::Address(url))?;
            let request = request.headers(parts.headers).body(body);
            request.send().await.map_err(Error::from_http)
        };
        let mut response = self.within(limit, begin).await?;
        let mut collected = http::Response::new(Vec::new());
        *collected.status_mut() = response.status();
        while let Some(chunk) = self.within_limit(next_chunk(&mut response)).await? {
            let body = collected.body_mut();
            if body.len() + chunk.len() > MAX_RESPONSE {
                self.inner.calls.add_failure();
                return Err(Error::TooLarge(MAX_RESPONSE));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(collected)
    }

    fn endpoint(&self) -> Result<&str, Error> {
        let endpoint = self.inner.endpoints.first();
        endpoint.map(String::as_str).ok_or(Error::NoEndpoint)
    }

    /// Fetches a document by its URL, e.g. the VM list.
    pub(crate) async fn fetch(&self, kind: Kind, url: &str) -> Result<Vec<u8>, Error> {
        self.inner.calls.add(self.purpose, kind);
        let request = self.http().get(url);
        let request = request.map_err(|_| Error::Address(url.to_owned()))?;
        let exchange = async {
            let response = request.send().await.map_err(Error::from_http)?;
            read_all(response).await
        };
        self.within_limit(exchange).await
    }

    /// Opens a stream on the preferred endpoint, or on the next one if that fails.
    pub(crate) async fn open_stream<Req: serde::Serialize>(
        &self,
        kind: Kind,
        path: &str,
        body: &Req,
    ) -> Result<cyper::Response, Error> {
        let body = serde_json::to_vec(body).map_err(Error::Decode)?;
        let mut last = Error::NoEndpoint;
        for index in self.endpoint_order() {
            let opening = self.open(index, kind, path, body.clone());
            match self.within_limit(opening).await {
                Ok(response) => return Ok(response),
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    async fn open(
        &self,
        index: usize,
        kind: Kind,
        path: &str,
        body: Vec<u8>,
    ) -> Result<cyper::Response, Error> {
        self.inner.calls.add(self.purpose, kind);
        let url = format!("{}{path}", self.inner.endpoints[index]);
        let request = self.http().post(&url);
        let mut request = request.map_err(|_| Error::Address(url.clone()))?;
        if let Some(cx) = self.trace {
            let traced = request.header(trace::HEADER, cx.to_string());
            request = traced.map_err(Error::Connection)?;
        }
        let sent = request.body(body).send().await;
        let response = sent.map_err(Error::from_http)?;
        match response.status().as_u16() {
            200 => Ok(response),
            status => Err(Error::Status(status)),
        }
    }

    async fn within_limit<T>(
        &self,
        exchange: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        self.within(self.inner.time_limit, exchange).await
    }

    async fn within<T>(
        &self,
        limit: Duration,
        exchange: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let result = match compio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => {
                // A pooled connection can stay unresponsive while new ones work, and each
                // call that reuses it times out. A new client starts with an empty pool.
                *self.inner.http.borrow_mut() = http_client()?;
                Err(Error::Timeout(limit))
            }
        };
        if result.is_err() {
            self.inner.calls.add_failure();
        }
        result
    }

    fn http(&self) -> cyper::Client {
        self.inner.http.borrow().clone()
    }
}

fn http_client() -> Result<cyper::Client, Error> {
    let builder = cyper::Client::builder().no_proxy();
    builder.build().map_err(Error::Connection)
}

async fn next_chunk(response: &mut cyper::Response) -> Result<Option<Bytes>, Error> {
    let chunk = response.next().await.transpose();
    chunk.map_err(Error::Connection)
}

async fn read_all(response: cyper::Response) -> Result<Vec<u8>, Error> {
    let status = response.status().as_u16();
    if status != 200 {
        return Err(Error::Status(status));
    }
    let bytes = response.bytes().await.map_err(Error::Connection)?;
    Ok(bytes.to_vec())
}
