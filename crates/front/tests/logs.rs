//! Logs are bounded and never hold a caller up.

use std::io::{self, Write};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use front::logs::{LineBudget, LineBuffer, MAX_BUFFERED};
use model::unit::Time;

/// A reader that stops reading until it is told to go on.
struct Stuck {
    go_on: mpsc::Receiver<()>,
    written: mpsc::Sender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.go_on.recv();
        self.written
            .send(bytes.to_vec())
            .map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Nobody reads standard output any more. Statements go on being served: lines are taken
/// without waiting, memory stays bounded, and the log tells how many were left out.
#[test]
fn a_reader_that_stops_holds_nobody_up() {
    let lines = LineBuffer::default();
    let (go_on, rx) = mpsc::channel();
    let (written, out) = mpsc::channel();
    let writer = lines.clone();
    let stuck = Stuck { go_on: rx, written };
    let thread = thread::spawn(move || writer.write_out(stuck, Duration::ZERO));
    let line = [b'x'; 1_024];
    let sent = MAX_BUFFERED / line.len() * 4;
    for _ in 0..sent {
        lines.take(&line);
    }
    drop(go_on);
    lines.close();
    thread.join().unwrap().unwrap();
    let text: Vec<u8> = out.try_iter().flatten().collect();
    assert!(text.len() < MAX_BUFFERED * 3);
    let text = String::from_utf8(text).unwrap();
    assert!(text.contains("lines were left out"));
}

#[test]
fn what_waits_at_the_end_is_written() {
    let lines = LineBuffer::default();
    lines.take(b"level=info message=stopped\n");
    lines.close();
    let mut out = Vec::new();
    lines.write_out(&mut out, Duration::ZERO).unwrap();
    assert_eq!(out, b"level=info message=stopped\n");
}

/// Thousands of statements are served in a second. Their lines are bounded, and the next
/// line that is written tells how many are missing.
#[test]
fn lines_about_served_statements_are_bounded() {
    let budget = LineBudget::default();
    let written = (0..5_000).filter(|_| budget.take(Time::from_millis(1_500)).is_some());
    let written = written.count();
    assert!((50..=200).contains(&written), "{written} lines");
    let left_out = budget.take(Time::from_millis(2_600));
    assert_eq!(left_out, Some(5_000 - written as u64));
}
