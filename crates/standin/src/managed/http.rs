//! The HTTP side of the stand-in: store and orders.

use std::io::{BufRead, BufReader, Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Managed, StoreFault};

/// Pause between two looks for changes that a watch waits for.
const LOOK: Duration = Duration::from_millis(5);

/// Pieces in which a narrow link carries an answer.
const PIECES_A_SECOND: usize = 20;

pub(super) fn serve(listener: &TcpListener, managed: &Managed) {
    for stream in listener.incoming().flatten() {
        let managed = managed.clone();
        thread::spawn(move || {
            // A caller that goes away ends its connection.
            let _ = exchange(&stream, &managed);
        });
    }
}

struct Request {
    method: String,
    path: String,
    query: Vec<(String, String)>,
    token: u64,
    body: Value,
}

impl Request {
    fn param(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    fn number(&self, name: &str) -> u64 {
        self.param(name).parse().unwrap_or_default()
    }
}

fn exchange(stream: &TcpStream, managed: &Managed) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream.try_clone()?;
    while let Some(request) = read(&mut reader)? {
        let answered = answer(managed, &request);
        let fault = managed.lock().store_fault;
        if let StoreFault::Slow(delay) = fault {
            thread::sleep(delay);
        }
        let Some((status, body)) = answered.filter(|_| fault != StoreFault::LosesAnswers) else {
            return Ok(());
        };
        let body = body.to_string();
        let answer = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        send(&mut writer, answer.as_bytes(), fault)?;
    }
    Ok(())
}

/// Writes an answer, piece by piece over a narrow link.
fn send(writer: &mut TcpStream, answer: &[u8], fault: StoreFault) -> std::io::Result<()> {
    let StoreFault::Narrow(rate) = fault else {
        return writer.write_all(answer);
    };
    let piece = rate / PIECES_A_SECOND;
    for piece in answer.chunks(piece.max(1)) {
        writer.write_all(piece)?;
        thread::sleep(Duration::from_secs(1) / PIECES_A_SECOND as u32);
    }
    Ok(())
}

fn read(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pair = |pair: &str| {
        let (key, value) = pair.split_once('=')?;
        Some((key.to_owned(), value.to_owned()))
    };
    let mut request = Request {
        method,
        path: path.to_owned(),
        query: query.split('&').filter_map(pair).collect(),
        token: 0,
        body: Value::Null,
    };
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header)?;
        let header = header.trim().to_ascii_lowercase();
        let Some((name, value)) = header.split_once(':') else {
            break;
        };
        match name {
            "content-length" => length = value.trim().parse().unwrap_or(0),
            "x-pomeloscale-fencing-token" => request.token = value.trim().parse().unwrap_or(0),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    request.body = serde_json::from_slice(&body).unwrap_or_default();
    Ok(Some(request))
}

/// The answer to a request; `None` closes the connection without one.
fn answer(managed: &Managed, request: &Request) -> Option<(u16, Value)> {
    match managed.lock().store_fault {
        StoreFault::Away => return Some((503, json!({}))),
        StoreFault::Crowded => return Some((429, json!({}))),
        StoreFault::None
        | StoreFault::Slow(_)
        | StoreFault::LosesAnswers
        | StoreFault::Narrow(_) => {}
    }
    let path = request.path.as_str();
    Some(match (request.method.as_str(), path) {
        ("GET", "/kv-range") => (200, managed.lock().store.range(request.param("prefix"))),
        ("GET", "/kv-watch") => {
            managed.lock().begin_watch();
            let told = watch(managed, request);
            managed.lock().watches -= 1;
            told
        }
        ("POST", "/kv-txn") => managed.lock().store.txn(&request.body),
        ("POST", "/kv-lease") => {
            let ttl = request.body["ttlMs"].as_u64().unwrap_or_default();
            (200, managed.lock().store.grant(ttl))
        }
        ("POST", "/promote") => {
            let id = request.body["id"].as_str().unwrap_or_default();
            let taken = managed.take_order(id, request.token)?;
            (if taken { 200 } else { 409 }, json!({}))
        }
        ("POST", _) if path.starts_with("/kv-keep/") => {
            let kept = managed.lock().store.keep(number(path));
            (if kept { 200 } else { 404 }, json!({ "ttlMs": 0 }))
        }
        ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
            managed.lock().store.end(number(path));
            (200, json!({}))
        }
        _ => (404, json!({})),
    })
}

fn number(path: &str) -> u64 {
    let last = path.rsplit('/').next();
    last.and_then(|n| n.parse().ok()).unwrap_or_default()
}

fn watch(managed: &Managed, request: &Request) -> (u16, Value) {
    let end = Instant::now() + Duration::from_millis(request.number("waitMs"));
    loop {
        let mut world = managed.lock();
        if world.store_fault == StoreFault::Away {
            return (503, json!({}));
        }
        let Some(events) = world.store.events(request.number("after")) else {
            return (410, json!({}));
        };
        if events["events"].as_array().is_some_and(|e| !e.is_empty()) || Instant::now() >= end {
            return (200, events);
        }
        drop(world);
        thread::sleep(LOOK);
    }
}
