//! The platform's services over raw HTTP.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

use serde_json::{Value, json};
use standin::{Fleet, Spec};

fn request(fleet: &Fleet, path: &str, body: &Value) -> BufReader<TcpStream> {
    let address = fleet.addresses().platform[0];
    let mut stream = TcpStream::connect(address).expect("the platform listens");
    let body = body.to_string();
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nHost: platform\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("the request is sent");
    BufReader::new(stream)
}

fn call(fleet: &Fleet, path: &str, body: &Value) -> Value {
    let mut text = String::new();
    request(fleet, path, body)
        .read_to_string(&mut text)
        .expect("an answer comes");
    let (_, body) = text.split_once("\r\n\r\n").expect("the answer has a body");
    serde_json::from_str(body).unwrap_or_default()
}

/// Base64 of `"key"` and of two values.
const KEY: &str = "a2V5";
const ONE: &str = "b25l";
const TWO: &str = "dHdv";

#[test]
fn the_second_of_two_compare_and_swaps_fails() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let create = |value| {
        json!({
            "compare": [{ "key": KEY, "target": "VERSION", "version": "0" }],
            "success": [{ "requestPut": { "key": KEY, "value": value } }],
            "failure": [{ "requestRange": { "key": KEY } }],
        })
    };
    let first = call(&fleet, "/v3/kv/txn", &create(ONE));
    assert_eq!(first["succeeded"], true);
    let second = call(&fleet, "/v3/kv/txn", &create(TWO));
    assert_eq!(second["succeeded"], Value::Null);
    assert_eq!(
        second["responses"][0]["response_range"]["kvs"][0]["value"],
        ONE
    );
    let range = call(&fleet, "/v3/kv/range", &json!({ "key": KEY }));
    assert_eq!(range["kvs"][0]["mod_revision"], "2");
    assert_eq!(range["count"], "1");
}

#[test]
fn a_watch_reports_changes_from_its_start_revision() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    call(&fleet, "/v3/kv/put", &json!({ "key": KEY, "value": ONE }));
    let watch = json!({ "create_request": { "key": KEY, "start_revision": "2" } });
    let mut lines = request(&fleet, "/v3/watch", &watch).lines();
    let mut next = || {
        lines
            .by_ref()
            .map_while(Result::ok)
            .find_map(|line| {
                serde_json::from_str::<Value>(&line)
                    .ok()
                    .filter(Value::is_object)
            })
            .expect("the stream goes on")
    };
    assert_eq!(next()["result"]["created"], true);
    assert_eq!(next()["result"]["events"][0]["kv"]["value"], ONE);
    call(&fleet, "/v3/kv/put", &json!({ "key": KEY, "value": TWO }));
    assert_eq!(next()["result"]["events"][0]["kv"]["value"], TWO);
}

#[test]
fn the_key_of_an_expired_lease_is_deleted() {
    let fleet = Fleet::start(Spec::small()).unwrap();
    let lease = call(&fleet, "/v3/lease/grant", &json!({ "TTL": "1" }));
    let id = lease["ID"].clone();
    call(
        &fleet,
        "/v3/kv/put",
        &json!({ "key": KEY, "value": ONE, "lease": id }),
    );
    let watch = json!({ "create_request": { "key": KEY } });
    let mut lines = request(&fleet, "/v3/watch", &watch)
        .lines()
        .map_while(Result::ok);
    lines
        .find(|line| line.contains("DELETE"))
        .expect("the key is deleted");
    let alive = call(&fleet, "/v3/lease/keepalive", &json!({ "ID": id }));
    assert_eq!(alive["result"]["TTL"], Value::Null);
}
