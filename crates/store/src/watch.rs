//! Watches: a stream of changes under a prefix.

use std::time::Duration;

use futures_util::StreamExt as _;
use model::position::Revision;
use serde::{Deserialize, Serialize};

use crate::calls::Kind;
use crate::client::Client;
use crate::error::Error;
use crate::kv::{self, Record};
use crate::wire;

/// Maximum size of an incomplete message, in bytes; a value has at most a megabyte, in base64.
const MAX_MESSAGE: usize = 4 << 20;

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A key got a value.
    Put(Record),
    /// A key was deleted at a revision.
    Delete(String, Revision),
}

impl Change {
    /// The record, if a key got a value.
    pub fn record_mut(&mut self) -> Option<&mut Record> {
        match self {
            Self::Put(record) => Some(record),
            Self::Delete(..) => None,
        }
    }
}

/// Changes that are reported together, with the revision up to which the report is complete.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The changes, in the order of their revisions.
    pub changes: Vec<Change>,
    /// Every change up to this revision has been reported.
    pub revision: Revision,
}

/// An open watch.
pub struct Watch {
    response: cyper::Response,
    buf: Vec<u8>,
}

impl Client {
    /// Opens a watch over every key with a prefix, beginning at revision `from`.
    pub async fn watch(&self, prefix: &str, from: Revision) -> Result<Watch, Error> {
        let req = wire::WatchRequest {
            create_request: wire::WatchCreate {
                key: wire::Blob(prefix.into()),
                range_end: Some(wire::prefix_end(prefix)),
                start_revision: wire::Int(from.0),
            },
        };
        let response = self.open_stream(Kind::Watch, "/v3/watch", &req).await?;
        let buf = Vec::new();
        Ok(Watch { response, buf })
    }
}

impl Watch {
    /// Waits for the next message; `None` when none arrives within `timeout`.
    ///
    /// A watch whose connection is lost unnoticed looks like one without changes. The caller
    /// must therefore open a new one, from the last revision, every few seconds.
    pub async fn next(&mut self, timeout: Duration) -> Result<Option<Batch>, Error> {
        match compio::time::timeout(timeout, self.next_message()).await {
            Ok(message) => message.map(Some),
            Err(_) => Ok(None),
        }
    }

    async fn next_message(&mut self) -> Result<Batch, Error> {
        loop {
            if let Some(result) = self.take_message()? {
                return batch(result);
            }
            let chunk = self.response.next().await.ok_or(Error::WatchEnded)?;
            let chunk = chunk.map_err(Error::Connection)?;
            if self.buf.len() + chunk.len() > MAX_MESSAGE {
                return Err(Error::WatchEnded);
            }
            self.buf.extend_from_slice(&chunk);
        }
    }

    /// Removes the first complete message from the buffer.
    fn take_message(&mut self) -> Result<Option<wire::WatchResult>, Error> {
        let mut messages =
            serde_json::Deserializer::from_slice(&self.buf).into_iter::<wire::WatchMessage>();
        let result = match messages.next() {
            Some(Ok(message)) => message.result,
            Some(Err(e)) if !e.is_eof() => return Err(Error::Decode(e)),
            _ => return Ok(None),
        };
        let used = messages.byte_offset();
        self.buf.drain(..used);
        Ok(Some(result))
    }
}

fn batch(result: wire::WatchResult) -> Result<Batch, Error> {
    if result.canceled {
        return Err(Error::WatchEnded);
    }
    let changes: Vec<_> = result.events.into_iter().map(change).collect();
    let last = changes.iter().map(Change::revision).max();
    let revision = Revision(result.header.revision.0);
    Ok(Batch {
        revision: last.map_or(revision, |r| r.max(revision)),
        changes,
    })
}

fn change(event: wire::WatchEvent) -> Change {
    let deleted = event.kind.as_deref() == Some("DELETE");
    let record = kv::record(event.kv);
    if deleted {
        Change::Delete(record.key, record.revision)
    } else {
        Change::Put(record)
    }
}

impl Change {
    /// The revision at which the change took effect.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(record) => record.revision,
            Self::Delete(_, revision) => *revision,
        }
    }
}
