//! Structured logs on standard output, bounded and never in a caller's way.
//!
//! Lines go into a buffer; a thread writes it out a few times a second. When nobody reads
//! standard output the thread waits, the buffer fills, and further lines are counted
//! instead of kept.

use std::cell::Cell;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use model::unit::{Span, Time};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;

/// Bytes that wait at most: a few seconds of lines under full load.
pub const MAX_BUFFERED: usize = 256 << 10;

/// Pause between two writes. Each costs a wake-up, so lines are gathered; a process that
/// is killed loses no more than this.
const PAUSE: Duration = Duration::from_millis(100);

#[derive(Default)]
struct Waiting {
    bytes: Vec<u8>,
    left_out: u64,
    closed: bool,
}

#[derive(Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    filled: Condvar,
}

/// Takes lines for a writer that may be slow.
#[derive(Clone, Default)]
pub struct LineBuffer(Arc<Shared>);

impl LineBuffer {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        let waiting = self.0.waiting.lock();
        waiting.unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a line, or counts it if too much waits already.
    pub fn take(&self, line: &[u8]) {
        let mut waiting = self.lock();
        if waiting.bytes.len() + line.len() > MAX_BUFFERED {
            waiting.left_out += 1;
            return;
        }
        if waiting.bytes.is_empty() {
            self.0.filled.notify_one();
        }
        waiting.bytes.extend_from_slice(line);
    }

    /// Writes lines out until [`Lines::close`], or until the writer fails.
    pub fn write_out(&self, mut out: impl io::Write, pause: Duration) -> io::Result<()> {
        loop {
            let mut waiting = self.lock();
            while waiting.bytes.is_empty() && !waiting.closed {
                let woken = self.0.filled.wait(waiting);
                waiting = woken.unwrap_or_else(PoisonError::into_inner);
            }
            let closed = waiting.closed;
            drop(waiting);
            if !closed {
                thread::sleep(pause);
            }
            let mut waiting = self.lock();
            let bytes = std::mem::take(&mut waiting.bytes);
            let left_out = std::mem::take(&mut waiting.left_out);
            drop(waiting);
            out.write_all(&bytes)?;
            if left_out > 0 {
                writeln!(
                    out,
                    "level=warn message=\"lines were left out\" lines={left_out}"
                )?;
            }
            out.flush()?;
            if closed {
                return Ok(());
            }
        }
    }

    /// Ends [`Lines::write_out`] once everything is written.
    pub fn close(&self) {
        self.lock().closed = true;
        self.0.filled.notify_one();
    }
}

impl io::Write for LineBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.take(line);
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

/// Keeps the logs running; dropping it writes out what waits.
pub struct Guard {
    lines: LineBuffer,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.lines.close();
        if let Some(thread) = self.thread.take() {
            // A writer that failed has nothing more to write.
            let _ = thread.join();
        }
    }
}

/// Lines about served statements that a process writes in a second. Load: a node serves
/// thousands of statements a second. Harm without it: logging costs more than serving, and
/// what matters is left out when the buffer is full. Refused and failed ones are always
/// written.
const SERVED_LINES: u32 = 100;

/// Bounds the lines about served statements.
#[derive(Debug, Default)]
pub struct LineBudget(Cell<Second>);

#[derive(Clone, Copy, Debug, Default)]
struct Second {
    begun: Time,
    lines: u32,
    left_out: u64,
}

impl LineBudget {
    /// Whether a line may be written: the number that was left out before it, or `None`.
    pub fn take(&self, now: Time) -> Option<u64> {
        let mut second = self.0.get();
        if now.since(second.begun) >= Span::from_millis(1_000) {
            second.begun = now;
            second.lines = 0;
        }
        let written = second.lines < SERVED_LINES;
        let left_out = if written {
            second.lines += 1;
            std::mem::take(&mut second.left_out)
        } else {
            second.left_out += 1;
            0
        };
        self.0.set(second);
        written.then_some(left_out)
    }
}

/// Sends the process's logs to standard output.
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
        // Without standard output there is nowhere to tell why it failed.
        let _ = writer.write_out(io::stdout(), PAUSE);
    })?;
    Ok(Guard {
        lines,
        thread: Some(thread),
    })
}
