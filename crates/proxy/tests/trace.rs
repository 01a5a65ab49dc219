//! Traces: the hops of a request, read back from a small receiver.

mod env;

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use env::{Env, Setup};
use proxy::run::Embedded;
use proxy::trace::Traces;
use serde_json::Value;

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER: &str = "b7ad6b7169203331";
const PATIENCE: Duration = Duration::from_secs(20);

/// Takes OTLP messages and hands out their spans.
fn receiver() -> (String, flume::Receiver<Value>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/v1/traces", listener.local_addr().unwrap());
    let (tx, rx) = flume::unbounded();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream);
            let mut length = 0;
            let mut line = String::new();
            while reader.read_line(&mut line).unwrap_or(0) > 2 {
                let header = line.to_ascii_lowercase();
                if let Some(value) = header.strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap_or(0);
                }
                line.clear();
            }
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                continue;
            }
            let _ = reader
                .get_mut()
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
            let message: Value = serde_json::from_slice(&body).unwrap();
            let spans = &message["resourceSpans"][0]["scopeSpans"][0]["spans"];
            for span in spans.as_array().into_iter().flatten() {
                let _ = tx.send(span.clone());
            }
        }
    });
    (url, rx)
}

fn traced(collector: String) -> Env {
    let mut env = Env::with(Setup {
        proxies: 0,
        ..Setup::default()
    });
    let traces = Traces {
        collector,
        sample_per_million: 0,
    };
    let (_, platform) = env.fleet.addresses().platform.first().unwrap();
    let store = vec![format!("http://{platform}")];
    let settings = env.settings().traces(traces).store(store).build();
    env.proxies
        .push(Embedded::start(settings).expect("the proxy starts"));
    env
}

#[test]
fn a_write_is_traced_from_its_caller_to_the_backend_server() {
    let (url, spans) = receiver();
    let env = traced(url);
    let mut client = env.connect(0);
    client.simple_query("CREATE TABLE t (x INT)").unwrap();
    let mark = format!("/*traceparent='00-{TRACE}-{CALLER}-01'*/");
    client
        .simple_query(&format!("INSERT INTO t VALUES (1) {mark}"))
        .unwrap();
    let mut found = Vec::new();
    while found.len() < 4 {
        found.push(spans.recv_timeout(PATIENCE).expect("a span of each hop"));
    }
    let named = |name: &str| {
        let span = found.iter().find(|span| span["name"] == name);
        span.unwrap_or_else(|| panic!("{name} is missing in {found:?}"))
    };
    let request = named("request");
    assert_eq!(request["parentSpanId"], CALLER);
    for hop in ["wait", "backend", "confirm"] {
        assert_eq!(named(hop)["parentSpanId"], request["spanId"], "{hop}");
    }
    // The statement without a context was not sampled.
    assert!(found.iter().all(|span| span["traceId"] == TRACE));
}

/// A primary dies, and an operator wants to see where the time went. Each stage from
/// the claim of the term on is a span, and so are its calls to the store, all in one trace.
#[test]
fn a_change_of_primary_is_traced_stage_by_stage() {
    let (url, spans) = receiver();
    let env = traced(url);
    let mut client = env.connect(0);
    client.simple_query("CREATE TABLE t (x INT)").unwrap();
    env.control().kill(&env.instances()[0]).unwrap();
    // The first may have reached the dying server: its outcome is then unknown.
    let written = (0..20).any(|_| client.simple_query("INSERT INTO t VALUES (1)").is_ok());
    assert!(written, "a new primary takes writes");
    let mut found: Vec<Value> = Vec::new();
    let missing = |found: &[Value]| {
        let named = |name: &&str| !found.iter().any(|span| span["name"] == *name);
        let hops = ["claim", "fence", "promote", "first_ack", "store"];
        hops.iter().copied().filter(named).collect::<Vec<_>>()
    };
    while !missing(&found).is_empty() {
        match spans.recv_timeout(PATIENCE) {
            Ok(span) => found.push(span),
            Err(_) => panic!("{:?} missing in {found:?}", missing(&found)),
        }
    }
    let trace = &found[0]["traceId"];
    assert!(found.iter().all(|span| span["traceId"] == *trace));
}

/// The collector is down. Requests must neither fail nor wait for it.
#[test]
fn a_collector_that_is_down_holds_nothing_up() {
    let env = traced("http://127.0.0.1:9/v1/traces".into());
    let mut client = env.connect(0);
    let mark = format!("/*traceparent='00-{TRACE}-{CALLER}-01'*/");
    for _ in 0..50 {
        client.simple_query(&format!("SELECT 1 {mark}")).unwrap();
    }
}
