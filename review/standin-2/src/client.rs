//! Callers: sessions on the line protocol.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static IDS: AtomicU64 = AtomicU64::new(1);

/// An id that no other statement has.
pub fn new_id() -> String {
    format!("{:016x}", IDS.fetch_add(1, Ordering::Relaxed))
}

/// A session.
pub struct Session {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

/// A whole reply.
pub struct Reply {
    pub rows: usize,
    pub bytes: usize,
    /// `DONE ...` or `ERR ...`.
    pub result: String,
}

impl Session {
    /// Opens a session; clients close one that has no READY after 2 s.
    pub fn open(proxy: SocketAddr, database: &str) -> Option<Self> {
        let limit = Duration::from_secs(2);
        let stream = TcpStream::connect_timeout(&proxy, limit).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        let mut session = Self {
            reader: BufReader::with_capacity(1 << 16, stream.try_clone().ok()?),
            writer: stream,
        };
        write!(session.writer, "START {database} u1\r\n").ok()?;
        let line = session.line()?;
        line.starts_with("READY I").then_some(session)
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line).ok()?;
        (read > 0).then_some(line)
    }

    /// Runs a statement; `None` without a whole reply.
    pub fn query(&mut self, id: &str, text: &str, limit: Duration) -> Option<Reply> {
        self.writer.set_read_timeout(Some(limit)).ok()?;
        write!(self.writer, "QUERY {id} {text}\r\n").ok()?;
        let mut reply = Reply {
            rows: 0,
            bytes: 0,
            result: String::new(),
        };
        loop {
            let line = self.line()?;
            reply.bytes += line.len();
            if line.starts_with("READY ") {
                return Some(reply);
            }
            if line.starts_with("ROW ") {
                reply.rows += 1;
            } else {
                reply.result = line.trim_end().to_owned();
            }
        }
    }
}
