//! Lines over a TCP connection.

use std::io;
use std::pin::Pin;
use std::time::Duration;

use compio::buf::BufResult;
use compio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use compio::net::TcpStream;
use platform::line;

/// Buffer size of one read. Statements and rows have some hundred bytes, and an idle session
/// keeps its buffer, so a larger one would waste memory.
const READ_SIZE: usize = 2_048;

/// Why no line can be read or sent.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The other side closed the connection.
    #[error("the connection was closed")]
    Closed,
    /// Nothing was received in time.
    #[error("nothing was received in time")]
    Timeout,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Broken(#[from] io::Error),
    /// A line is longer than the protocol allows.
    #[error("a message is too long")]
    TooLong,
}

/// The reading half, with a buffer of the received bytes. Waits can be dropped without losing
/// received bytes.
pub struct Reader {
    stream: TcpStream,
    /// Empty while `fill` holds the bytes.
    buf: Vec<u8>,
    /// Bytes before it have been returned to the caller.
    consumed: usize,
    /// The read in progress. It stays when nobody waits for it, since it may have received bytes.
    fill: Option<Fill>,
}

type Fill = Pin<Box<dyn Future<Output = BufResult<usize, Vec<u8>>>>>;

/// The writing half.
pub struct Writer(TcpStream);

/// Splits a connection; small messages are sent at once.
pub fn split(stream: TcpStream) -> io::Result<(Reader, Writer)> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let reader = Reader {
        stream: reader,
        buf: Vec::new(),
        consumed: 0,
        fill: None,
    };
    Ok((reader, Writer(writer)))
}

impl Reader {
    /// Whether the buffer contains a complete line that has not been returned yet.
    pub fn has_line(&self) -> bool {
        self.end_of_line().is_some()
    }

    fn end_of_line(&self) -> Option<usize> {
        let rest = &self.buf[self.consumed..];
        let at = rest.windows(line::END.len()).position(|w| w == line::END)?;
        Some(self.consumed + at)
    }

    /// Waits for the next line and returns it without its line ending.
    pub async fn line(&mut self) -> Result<&[u8], StreamError> {
        loop {
            if let Some(end) = self.end_of_line() {
                let start = self.consumed;
                self.consumed = end + line::END.len();
                return Ok(&self.buf[start..end]);
            }
            self.fill().await?;
        }
    }

    /// Like [`Self::line`] for a line that may be long: its first bytes must arrive within
    /// `first_timeout`, and each further part within `next_timeout`. After an error the reader
    /// is unusable.
    pub async fn long_line(
        &mut self,
        first_timeout: Duration,
        next_timeout: Duration,
    ) -> Result<&[u8], StreamError> {
        let mut limit = first_timeout;
        while !self.has_line() {
            let filled = compio::time::timeout(limit, self.fill()).await;
            filled.map_err(|_| StreamError::Timeout)??;
            limit = next_timeout;
        }
        self.line().await
    }

    /// Returns all buffered bytes; waits for some if there are none.
    pub async fn chunk(&mut self) -> Result<Vec<u8>, StreamError> {
        if self.consumed == self.buf.len() {
            self.fill().await?;
        }
        let chunk = self.buf.split_off(self.consumed);
        self.buf.clear();
        self.consumed = 0;
        Ok(chunk)
    }

    async fn fill(&mut self) -> Result<(), StreamError> {
        let fill = match self.fill.take() {
            Some(fill) => fill,
            None => self.begin_fill()?,
        };
        let BufResult(read, buf) = self.fill.insert(fill).await;
        self.fill = None;
        self.buf = buf;
        match read? {
            0 => Err(StreamError::Closed),
            _ => Ok(()),
        }
    }

    fn begin_fill(&mut self) -> Result<Fill, StreamError> {
        if self.buf.len() - self.consumed > line::MAX_MESSAGE {
            return Err(StreamError::TooLong);
        }
        let mut buf = std::mem::take(&mut self.buf);
        buf.drain(..self.consumed);
        self.consumed = 0;
        if buf.is_empty() && buf.capacity() > READ_SIZE {
            buf = Vec::new();
        }
        buf.reserve_exact(READ_SIZE);
        let mut stream = self.stream.clone();
        Ok(Box::pin(async move { stream.append(buf).await }))
    }
}

impl Writer {
    /// Sends all bytes.
    pub async fn send(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let BufResult(written, _) = self.0.write_all(bytes).await;
        written
    }

    /// Shuts the sending direction down, which signals the end of the stream.
    pub async fn finish(&mut self) -> io::Result<()> {
        use compio::io::AsyncWrite as _;
        self.0.shutdown().await
    }
}
