//! Transport: endpoints, time limits and connection hygiene.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt as _;
use model::trace;

use crate::calls::{Calls, Kind, Purpose};
use crate::error::Error;

/// Longest wait for one call's answer. The platform answers in milliseconds, and a
/// promotion waits for its answers, so a longer wait would only prolong a write gap.
pub const TIME_LIMIT: Duration = Duration::from_millis(500);

/// Most bytes of one answer. A page of a listing has about a megabyte, and a watch tells
/// everything that changed since a revision; more than this is no answer to keep.
const MAX_RESPONSE: usize = 16 << 20;

/// A client of the platform's services, cheap to clone within its runtime.
#[derive(Clone)]
pub struct Client {
    inner: Rc<Inner>,
    /// Sent along with each request, so that the platform's spans join the trace.
    trace: Option<trace::Context>,
    /// What its calls are counted for.
    purpose: Purpose,
}

struct Inner {
    endpoints: Vec<String>,
    /// Endpoint that answered last; tried first.
    preferred: Cell<usize>,
    http: RefCell<cyper::Client>,
    calls: Calls,
    time_limit: Duration,
}

impl Client {
    /// A client of the service at `endpoints` (`http://IP:PORT`), any of which may answer.
    pub fn new(endpoints: Vec<String>) -> Result<Self, Error> {
        Self::with_time_limit(endpoints, TIME_LIMIT)
    }

    /// A client with another time limit per call.
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

    /// The same client, whose requests belong to a trace.
    #[must_use]
    pub fn traced(&self, trace: Option<trace::Context>) -> Self {
        Self {
            trace,
            ..self.clone()
        }
    }

    /// The same client, whose calls are counted for a purpose.
    #[must_use]
    pub fn counted_for(&self, purpose: Purpose) -> Self {
        Self {
            purpose,
            ..self.clone()
        }
    }

    /// The counters of this client's calls.
    pub fn calls(&self) -> &Calls {
        &self.inner.calls
    }

    /// Longest wait for one call's answer.
    pub fn time_limit(&self) -> Duration {
        self.inner.time_limit
    }

    /// Sends a request to one endpoint after another until one answers it.
    ///
    /// For calls that may be repeated without harm.
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
                // An endpoint that may have taken the request outweighs one that
                // certainly did not: the caller must not read "no effect".
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

    /// Sends one request as it is and gives back whatever answer comes. The answer must
    /// begin within `limit`, and from then on go on within the client's time limit.
    ///
    /// For speakers of other interfaces than etcd's gateway: they read the status
    /// themselves and decide whether a lost answer may be asked for again.
    ///
    /// Load: a region's proxies all start and ask for everything over one narrow link.
    /// Harm of a limit on the whole answer: none is over in time, each is thrown away and
    /// asked for again, and the link stays full of answers that nobody waits for.
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

    /// Reads a plain document, e.g. the VM list.
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

    /// Opens a stream on the preferred endpoint, or on the next if that fails.
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
                // An open connection can go silent for good while new ones work. It
                // shows as a time-out, and would again on the next call if the pool
                // handed it out: a new client has an empty pool.
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
