//! Structured logs on standard output, with bounded memory and without blocking callers.
//!
//! Lines are added to a buffer that a thread writes out a few times a second. When nobody
//! reads standard output, the thread blocks, the buffer fills, and further lines are dropped
//! and counted.

use std::cell::Cell;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use model::unit::{Span, Time};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

/// Most bytes in the buffer: a few seconds of lines under full load.
pub const MAX_BUFFERED: usize = 256 << 10;

/// Pause between two writes. Each write costs a wake-up, so lines are batched; a killed
/// process loses the lines of at most this time.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
    closed: bool,
}

#[derive(Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    not_empty: Condvar,
}

/// Buffers lines for a writer that may be slow.
#[derive(Clone, Default)]
pub struct LineBuffer(Arc<Shared>);

impl LineBuffer {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        let buffer = self.0.buffer.lock();
        buffer.unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a line, or drops and counts it if the buffer is full.
    pub fn push(&self, line: &[u8]) {
        let mut buffer = self.lock();
        if buffer.bytes.len() + line.len() > MAX_BUFFERED {
            buffer.dropped += 1;
            return;
        }
        if buffer.bytes.is_empty() {
            self.0.not_empty.notify_one();
        }
        buffer.bytes.extend_from_slice(line);
    }

    /// Writes lines out until [`LineBuffer::close`], or until the writer fails.
    pub fn write_out(&self, mut out: impl io::Write, pause: Duration) -> io::Result<()> {
        loop {
            let mut buffer = self.lock();
            while buffer.bytes.is_empty() && !buffer.closed {
                let woken = self.0.not_empty.wait(buffer);
                buffer = woken.unwrap_or_else(PoisonError::into_inner);
            }
            let closed = buffer.closed;
            drop(buffer);
            if !closed {
                thread::sleep(pause);
            }
            let mut buffer = self.lock();
            let bytes = std::mem::take(&mut buffer.bytes);
            let dropped = std::mem::take(&mut buffer.dropped);
            drop(buffer);
            out.write_all(&bytes)?;
            if dropped > 0 {
                writeln!(
                    out,
                    "level=warn message=\"lines were left out\" lines={dropped}"
                )?;
            }
            out.flush()?;
            if closed {
                return Ok(());
            }
        }
    }

    /// Makes [`LineBuffer::write_out`] return once everything is written.
    pub fn close(&self) {
        self.lock().closed = true;
        self.0.not_empty.notify_one();
    }
}

impl io::Write for LineBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.push(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LineBuffer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Keeps the log writer running; dropping it writes out the buffered lines.
pub struct Guard {
    lines: LineBuffer,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.lines.close();
        if let Some(thread) = self.thread.take() {
            // If the writer failed, the remaining lines cannot be written.
            let _ = thread.join();
        }
    }
}

/// Most lines about served statements that a process logs in a second. A node serves
/// thousands of statements a second; without this limit logging would cost more than serving,
/// and important lines would be dropped when the buffer is full. Rejected and failed
/// statements are always logged.
const MAX_SERVED_LINES: u32 = 100;

/// Limits the log lines about served statements.
#[derive(Debug, Default)]
pub struct LineBudget(Cell<Second>);

#[derive(Clone, Copy, Debug, Default)]
struct Second {
    started: Time,
    lines: u32,
    dropped: u64,
}

impl LineBudget {
    /// Returns the number of lines dropped before this one if it may be written, else `None`.
    pub fn take(&self, now: Time) -> Option<u64> {
        let mut second = self.0.get();
        if now.since(second.started) >= Span::from_millis(1_000) {
            second.started = now;
            second.lines = 0;
        }
        let written = second.lines < MAX_SERVED_LINES;
        let dropped = if written {
            second.lines += 1;
            std::mem::take(&mut second.dropped)
        } else {
            second.dropped += 1;
            0
        };
        self.0.set(second);
        written.then_some(dropped)
    }
}

/// Starts logging to standard output, with the level filter of the environment.
pub fn start() -> io::Result<Guard> {
    let lines = LineBuffer::default();
    let layer = tracing_logfmt::builder()
        .with_target(false)
        .layer()
        .with_writer(lines.clone());
    let filter = tracing_subscriber::EnvFilter::builder()
        .with_default_directive(tracing::Level::INFO.into())
        .from_env_lossy();
    tracing_subscriber::registry()
        .with(filter)
        .with(layer)
        .init();
    let writer = lines.clone();
    let thread = thread::Builder::new().name("logs".to_owned());
    let thread = thread.spawn(move || {
        // If standard output fails, there is nowhere to report the error.
        let _ = writer.write_out(io::stdout(), FLUSH_INTERVAL);
    })?;
    Ok(Guard {
        lines,
        thread: Some(thread),
    })
}
