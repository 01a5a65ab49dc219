//! Logging uses bounded memory and never blocks a caller.

use std::io::{self, Write};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use front::logs::{LineBudget, LineBuffer, MAX_BUFFERED};
use model::unit::Time;

/// A writer that blocks until it is resumed.
struct BlockedWriter {
    resume: mpsc::Receiver<()>,
    written: mpsc::Sender<Vec<u8>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.resume.recv();
        self.written
            .send(bytes.to_vec())
            .map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against statements that wait for a blocked standard output. Lines are accepted
/// without waiting, memory stays bounded, and the log reports how many lines were dropped.
#[test]
fn a_blocked_output_blocks_no_caller() {
    let lines = LineBuffer::default();
    let (resume, rx) = mpsc::channel();
    let (written, out) = mpsc::channel();
    let writer = lines.clone();
    let blocked = BlockedWriter {
        resume: rx,
        written,
    };
    let thread = thread::spawn(move || writer.write_out(blocked, Duration::ZERO));
    let line = [b'x'; 1_024];
    let sent = MAX_BUFFERED / line.len() * 4;
    for _ in 0..sent {
        lines.push(&line);
    }
    drop(resume);
    lines.close();
    thread.join().unwrap().unwrap();
    let text: Vec<u8> = out.try_iter().flatten().collect();
    assert!(text.len() < MAX_BUFFERED * 3);
    let text = String::from_utf8(text).unwrap();
    assert!(text.contains("lines were left out"));
}

#[test]
fn buffered_lines_are_written_on_close() {
    let lines = LineBuffer::default();
    lines.push(b"level=info message=stopped\n");
    lines.close();
    let mut out = Vec::new();
    lines.write_out(&mut out, Duration::ZERO).unwrap();
    assert_eq!(out, b"level=info message=stopped\n");
}

/// With thousands of statements served in a second, the lines about them are limited, and the
/// next line that is written reports how many were dropped.
#[test]
fn lines_about_served_statements_are_limited() {
    let budget = LineBudget::default();
    let written = (0..5_000).filter(|_| budget.take(Time::from_millis(1_500)).is_some());
    let written = written.count();
    assert!((50..=200).contains(&written), "{written} lines");
    let dropped = budget.take(Time::from_millis(2_600));
    assert_eq!(dropped, Some(5_000 - written as u64));
}
