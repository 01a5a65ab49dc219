//! Reads, writes and compare-and-swap.

use std::time::Duration;

use model::position::Revision;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::calls::Kind;
use crate::client::Client;
use crate::error::Error;
use crate::lease::LeaseId;
use crate::wire;

/// Maximum number of attempts at one transaction.
const MAX_ATTEMPTS: u32 = 3;

/// Delay before a failed transaction is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of writes in one transaction; the service accepts 128.
const BATCH_WRITES: usize = 64;

/// Bytes of values at which a transaction is sent; the service accepts 1.5 MB in base64.
const BATCH_BYTES: usize = 512 << 10;

/// A key's value with the revision that wrote it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value.
    #[serde_as(as = "serde_with::Bytes")]
    pub value: Vec<u8>,
    /// The store's revision that wrote the value.
    pub revision: Revision,
    /// The revision that created the key, which has existed without interruption since then;
    /// 0 if it is not known.
    #[serde(default)]
    pub created: Revision,
}

/// Records read at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The records, by key.
    pub records: Vec<Record>,
    /// The store's revision at that moment.
    pub revision: Revision,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The value took effect, at this revision.
    Applied(Revision),
    /// The key holds another writer's value, or none: this one is not in force.
    Conflict(Option<Record>),
    /// No response arrived: the value may have taken effect, or may still do so.
    Unknown,
}

impl Client {
    /// Reads one key.
    pub async fn get(&self, key: &str) -> Result<Option<Record>, Error> {
        let req = wire::RangeRequest {
            key: wire::Blob(key.into()),
            range_end: None,
        };
        let listing = self.range(&req).await?;
        Ok(listing.records.into_iter().next())
    }

    /// Reads every key with a prefix, as one snapshot.
    pub async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let req = wire::RangeRequest {
            key: wire::Blob(prefix.into()),
            range_end: Some(wire::prefix_end(prefix)),
        };
        self.range(&req).await
    }

    async fn range(&self, req: &wire::RangeRequest) -> Result<Listing, Error> {
        let res: wire::RangeResponse = self.post(Kind::Read, "/v3/kv/range", req).await?;
        Ok(Listing {
            revision: Revision(res.header.revision.0),
            records: res.kvs.into_iter().map(record).collect(),
        })
    }

    /// Writes one key unconditionally.
    pub async fn put(&self, key: &str, value: Vec<u8>) -> Result<Revision, Error> {
        let req = wire::PutRequest {
            key: wire::Blob(key.into()),
            value: wire::Blob(value),
            lease: None,
        };
        let res: wire::PutResponse = self.post(Kind::Write, "/v3/kv/put", &req).await?;
        Ok(Revision(res.header.revision.0))
    }

    /// Writes many keys in batches; after a failure, some of them may be written.
    ///
    /// Only for values that are safe to write twice: a batch that fails is sent again.
    pub async fn put_all(
        &self,
        writes: impl Iterator<Item = (String, Vec<u8>)>,
    ) -> Result<(), Error> {
        let (mut batch, mut bytes) = (Vec::new(), 0);
        for (key, value) in writes {
            bytes += value.len();
            batch.push(put_operation(&key, value));
            if batch.len() >= BATCH_WRITES || bytes >= BATCH_BYTES {
                self.put_batch(std::mem::take(&mut batch)).await?;
                bytes = 0;
            }
        }
        if !batch.is_empty() {
            self.put_batch(batch).await?;
        }
        Ok(())
    }

    async fn put_batch(&self, writes: Vec<wire::Operation>) -> Result<(), Error> {
        let req = wire::TxnRequest {
            compare: Vec::new(),
            success: writes,
            failure: Vec::new(),
        };
        let mut last = Error::NoEndpoint;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                compio::time::sleep(RETRY_DELAY).await;
            }
            let response = self.post(Kind::Write, "/v3/kv/txn", &req).await;
            match response {
                Ok(wire::TxnResponse { .. }) => return Ok(()),
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    /// Writes `key` if its last change has revision `expected` (0: the key is absent).
    ///
    /// `value` must contain a nonce that no other write of this key has ever contained. A
    /// response may be lost although the change took effect; the same request is then sent
    /// again. This is safe: the first request that takes effect changes the revision, so
    /// the comparison of the others fails. It also determines the outcome: a request whose
    /// comparison fails reads back either this value, by its nonce, or another writer's.
    pub async fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: Vec<u8>,
    ) -> Result<Outcome, Error> {
        self.swap_with(key, expected, value, None).await
    }

    /// Like [`Client::swap`]; the key is deleted when the lease expires.
    pub async fn swap_leased(
        &self,
        key: &str,
        expected: Revision,
        value: Vec<u8>,
        lease: LeaseId,
    ) -> Result<Outcome, Error> {
        self.swap_with(key, expected, value, Some(lease)).await
    }

    async fn swap_with(
        &self,
        key: &str,
        expected: Revision,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Outcome, Error> {
        let lease = lease.map(|lease| wire::Int(lease.0));
        let req = wire::TxnRequest {
            compare: vec![wire::Compare::unchanged(key, expected.0)],
            success: vec![wire::Operation::RequestPut(wire::PutRequest {
                key: wire::Blob(key.into()),
                value: wire::Blob(value.clone()),
                lease,
            })],
            failure: vec![wire::Operation::RequestRange(wire::RangeRequest {
                key: wire::Blob(key.into()),
                range_end: None,
            })],
        };
        let mut may_be_applied = false;
        let mut last = Error::NoEndpoint;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                compio::time::sleep(RETRY_DELAY).await;
            }
            match self.post(Kind::Write, "/v3/kv/txn", &req).await {
                Ok(res) => return Ok(swap_outcome(res, &value)),
                Err(e) => {
                    may_be_applied |= !e.had_no_effect();
                    last = e;
                }
            }
        }
        if may_be_applied {
            Ok(Outcome::Unknown)
        } else {
            Err(last)
        }
    }
}

fn put_operation(key: &str, value: Vec<u8>) -> wire::Operation {
    wire::Operation::RequestPut(wire::PutRequest {
        key: wire::Blob(key.into()),
        value: wire::Blob(value),
        lease: None,
    })
}

fn swap_outcome(res: wire::TxnResponse, written: &[u8]) -> Outcome {
    if res.succeeded {
        return Outcome::Applied(Revision(res.header.revision.0));
    }
    let ranges = res.responses.into_iter().filter_map(|r| r.response_range);
    let current = ranges.flat_map(|r| r.kvs).map(record).next();
    match current {
        Some(record) if record.value == written => Outcome::Applied(record.revision),
        current => Outcome::Conflict(current),
    }
}

pub(crate) fn record(kv: wire::KeyValue) -> Record {
    Record {
        key: String::from_utf8_lossy(&kv.key.0).into_owned(),
        value: kv.value.0,
        revision: Revision(kv.mod_revision.0),
        created: Revision(kv.create_revision.0),
    }
}
