//! The updates that a store reader serves to its followers, without a store.

use front::feed::{Feed, StoreAccess};
use model::position::Revision;
use model::unit::Span;
use store::kv::{Listing, Record};
use store::mirror::Update;
use store::watch::{Batch, Change};

fn block_on<T>(work: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().unwrap().block_on(work)
}

fn record(revision: u64) -> Record {
    Record {
        key: "k".to_owned(),
        value: revision.to_string().into_bytes(),
        revision: Revision(revision),
        created: Revision(1),
    }
}

fn listing(revision: u64) -> Update {
    Update::Listing(Listing {
        records: vec![record(revision)],
        revision: Revision(revision),
    })
}

/// Guards against a leak: while nothing changes in the store for hours, each request of a
/// follower times out without changes, and must not be kept.
#[test]
fn timed_out_requests_are_removed() {
    block_on(async {
        let feed = Feed::default();
        feed.set_access(StoreAccess::Reads);
        feed.take(&listing(7));
        for _ in 0..50 {
            let received = feed.after(Revision(7), Span::from_millis(1)).await;
            assert!(received.is_some());
        }
        assert!(feed.waiting() <= 1);
    });
}

/// A follower that sends a request while its reader starts receives the whole state as soon as
/// the reader has it, and then the changes.
#[test]
fn a_follower_receives_the_updates_of_its_reader() {
    block_on(async {
        let feed = Feed::default();
        let request = feed.after(Revision(0), Span::from_millis(10_000));
        let start = async {
            feed.set_access(StoreAccess::Reads);
            feed.take(&listing(7));
        };
        let (received, ()) = futures_util::future::join(request, start).await;
        assert_eq!(received.unwrap().unpack().unwrap(), listing(7));
        let change = Update::Changes(Batch {
            changes: vec![Change::Put(record(9))],
            revision: Revision(9),
        });
        feed.take(&change);
        let received = feed.after(Revision(7), Span::from_millis(1)).await;
        assert_eq!(received.unwrap().unpack().unwrap(), change);
    });
}

/// A reader that loses the store ends the requests that wait for it, so that its followers turn
/// elsewhere immediately. Otherwise a change would be late for a whole data centre.
#[test]
fn a_reader_that_lost_the_store_replies_immediately() {
    block_on(async {
        let feed = Feed::default();
        feed.set_access(StoreAccess::Reads);
        feed.take(&listing(7));
        let request = feed.after(Revision(7), Span::from_millis(60_000));
        let loss = async { feed.set_access(StoreAccess::Lost) };
        let (received, ()) = futures_util::future::join(request, loss).await;
        assert!(received.is_none());
    });
}

/// Guards against followers that wait for a reader which cannot take over: the store rejects it, so
/// it gets its updates from another proxy, as they should.
#[test]
fn a_rejected_reader_turns_its_followers_away_at_once() {
    block_on(async {
        let feed = Feed::default();
        feed.set_access(StoreAccess::Reads);
        feed.take(&listing(7));
        assert!(feed.reaches_store());
        let request = feed.after(Revision(7), Span::from_millis(60_000));
        let rejected = async { feed.set_access(StoreAccess::Diverted) };
        let (received, ()) = futures_util::future::join(request, rejected).await;
        assert!(received.is_none() && !feed.reaches_store());
        let received = feed.after(Revision(0), Span::from_millis(60_000)).await;
        assert!(received.is_none());
    });
}
