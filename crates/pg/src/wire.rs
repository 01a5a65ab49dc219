//! A socket with its inbound buffer: whole messages in, bytes out.

use std::io;

use bytes::{Bytes, BytesMut};
use compio::BufResult;
use compio::io::{AsyncReadExt as _, AsyncWrite as _, AsyncWriteExt as _};
use compio::net::TcpStream;
use compio::tls::TlsStream;

use crate::frame;

/// Bytes for which an idle connection keeps a buffer ready.
///
/// It is the largest part of an idle caller's memory, and most requests fit it.
const SMALL: usize = 1 << 10;
/// Bytes that one read takes once a connection proves busy.
const LARGE: usize = 16 << 10;

/// Why a message could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The other side closed the connection.
    #[error("the connection was closed")]
    Closed,
    /// The socket failed.
    #[error("the socket failed")]
    Io(#[from] io::Error),
    /// The bytes are no messages.
    #[error(transparent)]
    Frame(#[from] frame::FrameError),
}

/// Bytes in clear text or by TLS.
#[derive(Debug)]
pub enum Stream {
    /// Clear text.
    Plain(TcpStream),
    /// TLS, with the socket beneath it.
    Tls(Box<TlsStream<TcpStream>>, TcpStream),
}

impl Stream {
    /// The socket that carries the bytes.
    pub fn socket(&self) -> &TcpStream {
        match self {
            Self::Plain(tcp) | Self::Tls(_, tcp) => tcp,
        }
    }

    async fn append(&mut self, buf: BytesMut) -> BufResult<usize, BytesMut> {
        match self {
            Self::Plain(tcp) => tcp.append(buf).await,
            Self::Tls(tls, _) => tls.append(buf).await,
        }
    }

    async fn write_all(&mut self, buf: Bytes) -> io::Result<()> {
        match self {
            Self::Plain(tcp) => tcp.write_all(buf).await.0,
            Self::Tls(tls, _) => {
                tls.write_all(buf).await.0?;
                tls.flush().await
            }
        }
    }
}

/// A stream with the bytes that were read ahead.
///
/// A read that is dropped before it ends may lose bytes: keep it pinned while
/// waiting for something else, or close the connection after dropping it.
#[derive(Debug)]
pub struct Wire {
    stream: Stream,
    buf: BytesMut,
    /// Whether the last read filled its buffer.
    busy: bool,
}

impl Wire {
    /// Wraps a stream.
    pub fn new(stream: Stream) -> Self {
        Self {
            stream,
            buf: BytesMut::new(),
            busy: false,
        }
    }

    /// Takes the stream out; bytes read ahead are dropped with it.
    pub fn into_stream(self) -> Stream {
        self.stream
    }

    /// The socket that carries the bytes.
    pub fn socket(&self) -> &TcpStream {
        self.stream.socket()
    }

    /// Bytes that were read ahead.
    pub fn buf(&mut self) -> &mut BytesMut {
        &mut self.buf
    }

    /// Whether no byte was read ahead.
    pub fn is_drained(&self) -> bool {
        self.buf.is_empty()
    }

    /// Reads more bytes; returns how many, at least one.
    pub async fn fill(&mut self) -> Result<usize, WireError> {
        let want = if self.busy { LARGE } else { SMALL };
        let mut buf = std::mem::take(&mut self.buf);
        buf.reserve(want);
        let room = buf.capacity() - buf.len();
        let BufResult(read, buf) = self.stream.append(buf).await;
        self.buf = buf;
        let n = read?;
        self.busy = n == room;
        match n {
            0 => Err(WireError::Closed),
            n => Ok(n),
        }
    }

    /// Reads the next whole message of at most `limit` bytes.
    pub async fn frame(&mut self, limit: usize) -> Result<frame::Frame, WireError> {
        loop {
            if let Some(frame) = frame::take(&mut self.buf, limit)? {
                return Ok(frame);
            }
            self.fill().await?;
        }
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: Bytes) -> Result<(), WireError> {
        self.stream.write_all(bytes).await.map_err(WireError::Io)
    }
}
