//! The watch on the store that one proxy holds for its data centre.

use std::sync::Arc;
use std::time::Duration;

use model::document;
use model::position::Revision;
use policy::config_mirror::{Delta, Record};
use store::kv;
use store::watch::{Batch, Change};

/// Time after which a watch without news is opened anew. A watch whose connection was
/// lost track of looks like one without news; a change must be in force within 9 s, so
/// the loss must show well before. It costs a quarter of a call per second.
const RENEW: Duration = Duration::from_millis(4_000);

/// Wait after a failure. Load: a store outage that all data centres notice. Harm: tries
/// in a row from each of them when it comes back.
const RETRY: Duration = Duration::from_millis(1_000);

/// What the watch reports.
pub(super) enum Seen {
    /// Records changed.
    Delta(Delta),
    /// The store answered, without news.
    Answered,
    /// The store did not answer.
    Failed,
}

/// Reports changes until it is dropped, beginning after revision `known`.
pub(super) async fn run(client: store::Client, known: Revision, tx: flume::Sender<Seen>) {
    let mut known = known;
    let mut listed = known > Revision(0);
    loop {
        let result = if listed {
            follow(&client, &mut known, &tx).await
        } else {
            list(&client, &mut known, &tx).await
        };
        match result {
            Ok(()) => listed = true,
            Err(e) => {
                tracing::warn!(cause = %e, "store watch failed");
                // A watch may be refused because its start was compacted: list anew.
                listed &= !matches!(e, store::Error::WatchEnded);
                let _ = tx.send(Seen::Failed);
                compio::time::sleep(RETRY).await;
            }
        }
    }
}

async fn list(
    client: &store::Client,
    known: &mut Revision,
    tx: &flume::Sender<Seen>,
) -> Result<(), store::Error> {
    let listing = client.list(document::PREFIX).await?;
    let records = listing.records.into_iter().filter_map(record);
    let delta = Delta {
        after: Revision(0),
        records: records.collect(),
        complete: listing.revision,
        more: false,
    };
    *known = listing.revision;
    let _ = tx.send(Seen::Delta(delta));
    Ok(())
}

async fn follow(
    client: &store::Client,
    known: &mut Revision,
    tx: &flume::Sender<Seen>,
) -> Result<(), store::Error> {
    let mut watch = client.watch(document::PREFIX, known.next()).await?;
    let _ = tx.send(Seen::Answered);
    while let Some(batch) = watch.next(RENEW).await? {
        let after = *known;
        *known = after.max(batch.revision);
        let _ = tx.send(Seen::Delta(delta(batch, after)));
    }
    Ok(())
}

fn delta(batch: Batch, after: Revision) -> Delta {
    let records = batch.changes.into_iter().filter_map(|change| match change {
        Change::Put(put) => record(put),
        // Nothing of the fleet's is ever deleted while in use.
        Change::Delete(..) => None,
    });
    Delta {
        after,
        records: records.collect(),
        complete: batch.revision,
        more: false,
    }
}

fn record(record: kv::Record) -> Option<Record> {
    let text = String::from_utf8(record.value).ok()?;
    Some(Record {
        key: record.key,
        value: Arc::from(text),
        revision: record.revision,
    })
}
