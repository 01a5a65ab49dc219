//! What this proxy knows of the store, for the neighbours that follow it.

use std::cell::{Cell, RefCell};
use std::io::{Read as _, Write as _};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use model::position::Revision;
use model::unit::{Span, Time};
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use store::mirror::{Mirror, Update};

use crate::clock;

/// Most bytes of unpacked news; more than a store of this use ever holds.
const MAX_UNPACKED: u64 = 32 << 20;

/// Time within which a proxy that followed the reader until now reads the store itself. All
/// learn at once that the reader lost the store, and turn to this one at once.
const STANDS_IN: Span = Span::from_millis(200);

/// Where this proxy's knowledge comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreAccess {
    /// Nothing is known yet, and it was not tried in vain either.
    #[default]
    Starting,
    /// From the store itself.
    Reads,
    /// From a neighbour; others must not follow it in turn, since each step costs time.
    Follows,
    /// The store does not answer.
    Lost,
}

/// News in the form in which they are sent: packed, since a configuration of thousands of
/// routes repeats itself, and machines have links of a few Mbit/s.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Packed(#[serde_as(as = "Base64")] Vec<u8>);

/// Why news cannot be packed or unpacked.
#[derive(Debug, thiserror::Error)]
pub enum PackError {
    /// They cannot be compressed or decompressed.
    #[error("news cannot be packed or unpacked: {0}")]
    Stream(#[from] std::io::Error),
    /// They cannot be encoded.
    #[error("news cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// They cannot be decoded.
    #[error("news cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

impl Packed {
    /// Packs news.
    pub fn new(news: &Update) -> Result<Self, PackError> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&rmp_serde::to_vec(news)?)?;
        Ok(Self(encoder.finish()?))
    }

    /// Unpacks them.
    pub fn unpack(&self) -> Result<Update, PackError> {
        let mut body = Vec::new();
        let mut decoder = DeflateDecoder::new(self.0.as_slice()).take(MAX_UNPACKED);
        decoder.read_to_end(&mut body)?;
        Ok(rmp_serde::from_slice(&body)?)
    }
}

/// The copy of the store, and who waits for changes of it.
#[derive(Default)]
pub struct Feed {
    mirror: RefCell<Mirror>,
    access: Cell<StoreAccess>,
    waiting: RefCell<Vec<flume::Sender<()>>>,
    /// The last news that were packed, from which revision on; followers mostly ask for
    /// the same.
    packed: RefCell<Option<(Revision, Revision, Packed)>>,
}

impl Feed {
    /// Takes news over.
    pub fn take(&self, news: &Update) {
        self.mirror.borrow_mut().take(news);
        self.wake();
    }

    /// Where the knowledge comes from.
    pub fn access(&self) -> StoreAccess {
        self.access.get()
    }

    /// Notes where the knowledge comes from.
    pub fn set_access(&self, access: StoreAccess) {
        if self.access.replace(access) != access {
            self.wake();
        }
    }

    /// Questions that wait for a change.
    pub fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    fn wake(&self) {
        for waiter in self.waiting.borrow_mut().drain(..) {
            // One that no longer waits needs no waking.
            let _ = waiter.send(());
        }
    }

    /// What changed after a revision, at the latest when `wait` is over; `None` if this
    /// proxy does not hear the store itself.
    pub async fn after(&self, after: Revision, wait: Span) -> Option<Packed> {
        let begun = clock::now();
        let until = begun + wait;
        loop {
            let now = clock::now();
            let over = now >= until;
            match self.access.get() {
                StoreAccess::Lost => return None,
                StoreAccess::Follows if now >= begun + STANDS_IN => return None,
                StoreAccess::Follows => {
                    self.changed(begun + STANDS_IN).await;
                    continue;
                }
                StoreAccess::Starting if over => return None,
                StoreAccess::Starting => {}
                StoreAccess::Reads => {
                    let news = self.mirror.borrow().since(after);
                    let nothing =
                        matches!(&news, Update::Changes(batch) if batch.changes.is_empty());
                    if over || !nothing {
                        return self.pack(after, &news);
                    }
                }
            }
            self.changed(until).await;
        }
    }

    fn pack(&self, after: Revision, news: &Update) -> Option<Packed> {
        let of = (after, news.revision());
        let known = self.packed.borrow().clone();
        if let Some((from, to, packed)) = known
            && (from, to) == of
        {
            return Some(packed);
        }
        match Packed::new(news) {
            Ok(packed) => {
                let kept = (of.0, of.1, packed.clone());
                *self.packed.borrow_mut() = Some(kept);
                Some(packed)
            }
            Err(e) => {
                tracing::error!(cause = %e, "a neighbour is told nothing");
                None
            }
        }
    }

    async fn changed(&self, until: Time) {
        let rx = self.enlist();
        let left = until.since(clock::now()).as_duration();
        // Whether something changed or the time is over, the caller looks again.
        let _ = compio::time::timeout(left, rx.recv_async()).await;
    }

    /// Adds one to those who are woken by the next change.
    ///
    /// Those whose time was over wait no longer and go. Without this, a store in which
    /// nothing changes would let them pile up.
    fn enlist(&self) -> flume::Receiver<()> {
        let (tx, rx) = flume::bounded(1);
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|waiter| !waiter.is_disconnected());
        waiting.push(tx);
        rx
    }
}
