//! What a proxy tells the neighbours that follow it, without a store.

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
    }
}

fn listing(revision: u64) -> Update {
    Update::Listing(Listing {
        records: vec![record(revision)],
        revision: Revision(revision),
    })
}

/// Hours pass in which nothing changes in the store, and each question of a follower ends
/// without news. The questions that ended must not be kept, or memory grows with time.
#[test]
fn questions_that_ended_are_not_kept() {
    block_on(async {
        let feed = Feed::default();
        feed.set_access(StoreAccess::Reads);
        feed.take(&listing(7));
        for _ in 0..50 {
            let told = feed.after(Revision(7), Span::from_millis(1)).await;
            assert!(told.is_some());
        }
        assert!(feed.waiting() <= 1);
    });
}

/// A follower asks while its reader starts, and learns everything as soon as the reader
/// knows it; then it learns what changes.
#[test]
fn a_follower_learns_what_the_reader_learns() {
    block_on(async {
        let feed = Feed::default();
        let asked = feed.after(Revision(0), Span::from_millis(10_000));
        let learns = async {
            feed.set_access(StoreAccess::Reads);
            feed.take(&listing(7));
        };
        let (told, ()) = futures_util::future::join(asked, learns).await;
        assert_eq!(told.unwrap().unpack().unwrap(), listing(7));
        let change = Update::Changes(Batch {
            changes: vec![Change::Put(record(9))],
            revision: Revision(9),
        });
        feed.take(&change);
        let told = feed.after(Revision(7), Span::from_millis(1)).await;
        assert_eq!(told.unwrap().unpack().unwrap(), change);
    });
}

/// A reader loses the store. Who asks it is told so at once and asks elsewhere; waiting for
/// it would make a change late for a whole data centre.
#[test]
fn a_reader_that_lost_the_store_says_so_at_once() {
    block_on(async {
        let feed = Feed::default();
        feed.set_access(StoreAccess::Reads);
        feed.take(&listing(7));
        let asked = feed.after(Revision(7), Span::from_millis(60_000));
        let loses = async { feed.set_access(StoreAccess::Lost) };
        let (told, ()) = futures_util::future::join(asked, loses).await;
        assert!(told.is_none());
    });
}
