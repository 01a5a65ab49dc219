//! Lines over a TCP connection.

use std::io;
use std::time::Duration;

use compio::buf::BufResult;
use compio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use compio::net::TcpStream;
use platform::line;

/// Room for one read. Statements and rows have some hundred bytes, and an idle session
/// keeps its buffer, so a larger one would cost memory for nothing.
const CHUNK: usize = 2_048;

/// Why no line comes.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The other end closed the connection.
    #[error("the connection was closed")]
    Closed,
    /// Nothing came in time.
    #[error("nothing came in time")]
    Timeout,
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(#[from] io::Error),
    /// A line is longer than the protocol allows.
    #[error("a message is too long")]
    TooLong,
}

/// The reading half: a buffer of what came.
///
/// Invariant: bytes before `used` have been given out.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
    used: usize,
}

/// The writing half.
pub struct Writer(TcpStream);

/// Splits a connection; small messages go out at once.
pub fn split(stream: TcpStream) -> io::Result<(Reader, Writer)> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let reader = Reader {
        stream: reader,
        buf: Vec::new(),
        used: 0,
    };
    Ok((reader, Writer(writer)))
}

impl Reader {
    /// Whether a whole line has come that was not given out yet.
    pub fn has_line(&self) -> bool {
        self.end_of_line().is_some()
    }

    fn end_of_line(&self) -> Option<usize> {
        let rest = &self.buf[self.used..];
        let at = rest.windows(line::END.len()).position(|w| w == line::END)?;
        Some(self.used + at)
    }

    /// Waits for the next line and gives it without its end.
    pub async fn line(&mut self) -> Result<&[u8], StreamError> {
        loop {
            if let Some(end) = self.end_of_line() {
                let start = self.used;
                self.used = end + line::END.len();
                return Ok(&self.buf[start..end]);
            }
            self.fill().await?;
        }
    }

    /// The same for a line that may be long: its first bytes must come within `begin`, and
    /// more of it within each `go_on` from then on. After a failure the reader is of no use.
    pub async fn long_line(
        &mut self,
        begin: Duration,
        go_on: Duration,
    ) -> Result<&[u8], StreamError> {
        let mut limit = begin;
        while !self.has_line() {
            let filled = compio::time::timeout(limit, self.fill()).await;
            filled.map_err(|_| StreamError::Timeout)??;
            limit = go_on;
        }
        self.line().await
    }

    /// Waits for bytes and gives all that came.
    pub async fn chunk(&mut self) -> Result<Vec<u8>, StreamError> {
        if self.used == self.buf.len() {
            self.fill().await?;
        }
        let chunk = self.buf.split_off(self.used);
        self.buf.clear();
        self.used = 0;
        Ok(chunk)
    }

    async fn fill(&mut self) -> Result<(), StreamError> {
        if self.buf.len() - self.used > line::MAX_MESSAGE {
            return Err(StreamError::TooLong);
        }
        let mut buf = std::mem::take(&mut self.buf);
        buf.drain(..self.used);
        self.used = 0;
        if buf.is_empty() && buf.capacity() > CHUNK {
            buf = Vec::new();
        }
        buf.reserve_exact(CHUNK);
        let BufResult(read, buf) = self.stream.append(buf).await;
        self.buf = buf;
        match read? {
            0 => Err(StreamError::Closed),
            _ => Ok(()),
        }
    }
}

impl Writer {
    /// Sends all bytes.
    pub async fn send(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let BufResult(written, _) = self.0.write_all(bytes).await;
        written
    }

    /// Tells the other end that nothing more comes.
    pub async fn finish(&mut self) -> io::Result<()> {
        use compio::io::AsyncWrite as _;
        self.0.shutdown().await
    }
}
