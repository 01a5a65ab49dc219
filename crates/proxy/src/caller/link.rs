//! The connection to a caller.

use bytes::{Bytes, BytesMut};
use pg::report::Report;
use pg::wire::Wire;

use crate::config::Limits;
use crate::registry::{Control, Entry};

/// Bytes of an answer that are gathered before they are written.
///
/// Small answers leave in one write; larger ones in steps of about this size.
const GATHER: usize = 8 << 10;

/// The caller's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller's connection ended")]
pub(super) struct Closed;

/// The caller's socket, with what waits to be written to it.
pub(super) struct Link {
    pub(super) wire: Wire,
    pub(super) control: flume::Receiver<Control>,
    pub(super) limits: Limits,
    /// Whether to end at the next transaction boundary.
    pub(super) draining: bool,
    /// Whether the request in progress was sent in such a way that it has a lasting effect if it
    /// runs.
    pub(super) may_take_effect: bool,
    /// Whether a part of the answer to the request in progress may have been written.
    pub(super) has_replied: bool,
    /// Keeps the place in the registry.
    _entry: Entry,
    out: BytesMut,
}

impl Link {
    pub(super) fn new(wire: Wire, entry: Entry, limits: Limits) -> Self {
        Self {
            wire,
            control: entry.control.clone(),
            limits,
            draining: false,
            may_take_effect: false,
            has_replied: false,
            _entry: entry,
            out: BytesMut::new(),
        }
    }

    /// Forgets what was recorded of the last request.
    pub(super) fn begin_request(&mut self) {
        (self.may_take_effect, self.has_replied) = (false, false);
    }

    /// Adds bytes to what is to be written.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.out.extend_from_slice(bytes);
    }

    /// Whether enough has gathered to be worth a write.
    pub(super) fn is_full(&self) -> bool {
        self.out.len() >= GATHER
    }

    /// Drops what was not written yet.
    pub(super) fn discard(&mut self) {
        self.out.clear();
    }

    /// Writes what has gathered.
    ///
    /// A caller that does not read its answer holds a connection to a backend server;
    /// the limit bounds how long. The connection ends, as a part may have been written.
    pub(super) async fn flush(&mut self) -> Result<(), Closed> {
        if self.out.is_empty() {
            return Ok(());
        }
        let bytes = std::mem::take(&mut self.out).freeze();
        self.write(bytes).await
    }

    /// Writes what has gathered, then `bytes` without copying them.
    pub(super) async fn pass(&mut self, bytes: Bytes) -> Result<(), Closed> {
        self.flush().await?;
        self.write(bytes).await
    }

    async fn write(&mut self, bytes: Bytes) -> Result<(), Closed> {
        let limit = self.limits.stalled.as_duration();
        self.has_replied = true;
        match compio::time::timeout(limit, self.wire.write(bytes)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(Closed),
        }
    }

    /// Tells the caller why its connection ends.
    pub(super) async fn fatal(&mut self, report: &Report) {
        self.push(&report.encode());
        let _ = self.flush().await;
    }
}
