//! The task that owns the key-value service's data, with its faults and counts.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use model::id;
use model::unit::Span;
use serde_json::{Value, json};

use super::json;
use super::kv::{Kv, OpResult};
use crate::link::{Net, Traffic};

/// The data centre that holds the service.
const HOME: Option<usize> = Some(0);

/// How often expired leases are looked for.
const EXPIRY: Duration = Duration::from_millis(50);

/// What is wrong with the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// It works.
    #[default]
    None,
    /// It refuses every call with status 503 and ends every watch.
    Down,
    /// It answers no call; the caller's timeout ends it.
    Silent,
    /// It answers after this time.
    Slow(Span),
    /// It carries out the next so many changes and never answers them.
    LoseAnswers(u32),
}

/// Calls by data centre of the caller and kind.
pub type Counts = IndexMap<(id::DataCentre, String), u64>;

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is being taken out of service.
    Leaving,
}

/// One row of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Vm {
    /// Its address.
    pub address: IpAddr,
    /// Where it runs.
    pub data_centre: id::DataCentre,
    /// Whether it stays.
    pub state: VmState,
}

/// An answer to an HTTP call.
pub(crate) enum Answer {
    Body(u16, Value),
    Stream(flume::Receiver<Bytes>),
}

/// An HTTP call as the listeners pass it on.
pub(crate) struct Call {
    pub(crate) site: usize,
    pub(crate) path: String,
    pub(crate) body: Value,
    pub(crate) reply: flume::Sender<Answer>,
}

/// The platform's services.
pub(crate) struct Service {
    net: Net,
    names: Vec<id::DataCentre>,
    kv: RefCell<Kv>,
    fault: Cell<Fault>,
    counts: RefCell<Counts>,
    vms: RefCell<Vec<Vm>>,
}

impl Service {
    pub(crate) fn new(net: Net, names: Vec<id::DataCentre>) -> Rc<Self> {
        Rc::new(Self {
            net,
            names,
            kv: RefCell::new(Kv::new()),
            fault: Cell::default(),
            counts: RefCell::default(),
            vms: RefCell::default(),
        })
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        self.fault.set(fault);
        if fault == Fault::Down {
            self.kv.borrow_mut().drop_watches();
        }
    }

    pub(crate) fn counts(&self) -> Counts {
        self.counts.borrow().clone()
    }

    pub(crate) fn set_vms(&self, vms: Vec<Vm>) {
        *self.vms.borrow_mut() = vms;
    }

    /// Serves calls until every listener is gone.
    pub(crate) async fn run(self: Rc<Self>, rx: flume::Receiver<Call>) {
        while let Ok(call) = rx.recv_async().await {
            let service = Rc::clone(&self);
            compio::runtime::spawn(async move { service.serve(call).await }).detach();
        }
    }

    pub(crate) async fn expire_forever(self: Rc<Self>) {
        loop {
            compio::time::sleep(EXPIRY).await;
            self.kv.borrow_mut().expire(Instant::now());
        }
    }

    async fn travel(&self, from: Option<usize>, to: Option<usize>, len: usize) {
        let due = self.net.arrival(Traffic::Platform, from, to, len);
        self.net.wait_open(from, to).await;
        if due > Instant::now() {
            compio::time::sleep_until(due).await;
        }
    }

    async fn serve(self: Rc<Self>, call: Call) {
        let viewer = Some(call.site);
        self.travel(viewer, HOME, size(&call.body)).await;
        let key = (self.names[call.site].clone(), call.path.clone());
        *self.counts.borrow_mut().entry(key).or_default() += 1;
        match self.fault.get() {
            Fault::Down => {
                let answer = Answer::Body(503, json!({ "error": "unavailable", "code": 14 }));
                return self.answer(viewer, call.reply, answer).await;
            }
            Fault::Silent => return hang(call.reply).await,
            Fault::Slow(span) => compio::time::sleep(span.as_duration()).await,
            Fault::None | Fault::LoseAnswers(_) => {}
        }
        if call.path == "/v3/watch" {
            return self.watch(viewer, &call.body, call.reply).await;
        }
        let before = self.kv.borrow().revision();
        let answer = self.execute(&call.path, &call.body);
        let changed = self.kv.borrow().revision() != before;
        if let (true, Fault::LoseAnswers(n)) = (changed, self.fault.get()) {
            let left = n.saturating_sub(1);
            self.fault.set(if left == 0 {
                Fault::None
            } else {
                Fault::LoseAnswers(left)
            });
            return hang(call.reply).await;
        }
        self.answer(viewer, call.reply, answer).await;
    }

    async fn answer(&self, viewer: Option<usize>, reply: flume::Sender<Answer>, answer: Answer) {
        let len = match &answer {
            Answer::Body(_, body) => size(body),
            Answer::Stream(_) => 0,
        };
        self.travel(HOME, viewer, len).await;
        // The caller may have given up.
        let _ = reply.send(answer);
    }

    fn execute(&self, path: &str, body: &Value) -> Answer {
        match self.try_execute(path, body) {
            Ok(Some(value)) => Answer::Body(200, value),
            Ok(None) => Answer::Body(404, json!({ "error": "not found", "code": 12 })),
            Err(error) => Answer::Body(400, json!({ "error": error.to_string(), "code": 3 })),
        }
    }

    fn try_execute(&self, path: &str, body: &Value) -> Result<Option<Value>, CallError> {
        let mut kv = self.kv.borrow_mut();
        let one = |kv: &mut Kv, op| -> Result<Value, CallError> {
            let results = kv.run(vec![op])?;
            Ok(json::result(
                results.first().unwrap_or(&OpResult::Put),
                kv.revision(),
            ))
        };
        Ok(Some(match path {
            "/vms" => serde_json::to_value(&*self.vms.borrow()).unwrap_or_default(),
            "/v3/kv/range" => one(&mut kv, super::kv::Op::Range(json::keys(body)?))?,
            "/v3/kv/put" => one(&mut kv, json::put(body)?)?,
            "/v3/kv/deleterange" => one(&mut kv, super::kv::Op::Delete(json::keys(body)?))?,
            "/v3/kv/txn" => {
                let (success, failure) = (json::ops(body, "success")?, json::ops(body, "failure")?);
                let (succeeded, results) = kv.txn(&json::compares(body)?, success, failure)?;
                json::txn(succeeded, &results, kv.revision())
            }
            "/v3/lease/grant" => {
                let ttl = json::number(body, "TTL")?;
                let span = Duration::from_secs(u64::try_from(ttl).unwrap_or(0));
                let id = kv.grant(json::number(body, "ID")?, span);
                json!({ "header": json::header(kv.revision()),
                        "ID": id.to_string(), "TTL": ttl.to_string() })
            }
            "/v3/lease/keepalive" => {
                let id = json::number(body, "ID")?;
                let mut result = json!({ "header": json::header(kv.revision()),
                                         "ID": id.to_string() });
                if let Some(ttl) = kv.keep_alive(id) {
                    result["TTL"] = json!(ttl.as_secs().to_string());
                }
                json!({ "result": result })
            }
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
                kv.revoke(json::number(body, "ID")?)?;
                json!({ "header": json::header(kv.revision()) })
            }
            _ => return Ok(None),
        }))
    }

    async fn watch(
        self: &Rc<Self>,
        viewer: Option<usize>,
        body: &Value,
        reply: flume::Sender<Answer>,
    ) {
        let create = match &body["create_request"] {
            Value::Null => &body["createRequest"],
            found => found,
        };
        let request = json::keys(create)
            .and_then(|keys| json::number(create, "start_revision").map(|start| (keys, start)));
        let (keys, start) = match request {
            Ok(request) => request,
            Err(e) => {
                let body = json!({ "error": e.to_string(), "code": 3 });
                return self.answer(viewer, reply, Answer::Body(400, body)).await;
            }
        };
        let (events, revision) = {
            let mut kv = self.kv.borrow_mut();
            (kv.watch(keys, start), kv.revision())
        };
        let (tx, rx) = flume::unbounded();
        let created = json!({ "result": { "header": json::header(revision), "created": true } });
        let _ = tx.send(line(&created));
        self.answer(viewer, reply, Answer::Stream(rx)).await;
        while let Ok(event) = events.recv_async().await {
            let line = line(&json::event(&event));
            self.travel(HOME, viewer, line.len()).await;
            if tx.send(line).is_err() {
                return;
            }
        }
    }
}

/// Why a call is refused.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error(transparent)]
    Malformed(#[from] json::Malformed),
    #[error(transparent)]
    Kv(#[from] super::kv::KvError),
}

fn size(body: &Value) -> usize {
    const HEADERS: usize = 200;
    HEADERS + body.to_string().len()
}

fn line(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}

/// Keeps a call open without ever answering it.
async fn hang(reply: flume::Sender<Answer>) {
    std::future::pending::<()>().await;
    drop(reply);
}
