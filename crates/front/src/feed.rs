//! The updates that a store reader serves to the proxies of its data centre.

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

/// Size limit of an unpacked update in bytes; more than a store of this use ever holds.
const MAX_UNPACKED: u64 = 32 << 20;

/// Time within which a proxy that followed another store reader starts to read the store
/// itself. When a reader loses the store, all its followers notice at the same time, and may
/// query this proxy before it has taken over.
const TAKEOVER_TIME: Span = Span::from_millis(200);

/// How this proxy gets the state of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreAccess {
    /// Nothing is known yet, and no attempt has failed.
    #[default]
    Starting,
    /// Directly from the store.
    Reads,
    /// From a store reader. Others must not follow this proxy in turn, since each step adds
    /// latency.
    Follows,
    /// From another proxy, because the store does not respond to this one: it cannot take over.
    Diverted,
    /// The store does not respond.
    Lost,
}

/// An update in the form in which it is sent: compressed, since a configuration of thousands
/// of routes repeats itself, and machines have links of a few Mbit/s.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Packed(#[serde_as(as = "Base64")] Vec<u8>);

/// Why an update cannot be packed or unpacked.
#[derive(Debug, thiserror::Error)]
pub enum PackError {
    /// It cannot be compressed or decompressed.
    #[error("an update cannot be compressed or decompressed: {0}")]
    Stream(#[from] std::io::Error),
    /// It cannot be encoded.
    #[error("an update cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// It cannot be decoded.
    #[error("an update cannot be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

impl Packed {
    /// Packs an update.
    pub fn new(update: &Update) -> Result<Self, PackError> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&rmp_serde::to_vec(update)?)?;
        Ok(Self(encoder.finish()?))
    }

    /// Unpacks the update.
    pub fn unpack(&self) -> Result<Update, PackError> {
        let mut body = Vec::new();
        let mut decoder = DeflateDecoder::new(self.0.as_slice()).take(MAX_UNPACKED);
        decoder.read_to_end(&mut body)?;
        Ok(rmp_serde::from_slice(&body)?)
    }
}

/// The copy of the store, and the requests that wait for changes of it.
#[derive(Default)]
pub struct Feed {
    mirror: RefCell<Mirror>,
    access: Cell<StoreAccess>,
    waiters: RefCell<Vec<flume::Sender<()>>>,
    /// The last packed update and its first and last revision; followers mostly request the
    /// same one.
    packed: RefCell<Option<(Revision, Revision, Packed)>>,
}

impl Feed {
    /// Applies an update.
    pub fn take(&self, update: &Update) {
        self.mirror.borrow_mut().apply(update);
        self.wake();
    }

    /// How this proxy gets the state of the store.
    pub fn access(&self) -> StoreAccess {
        self.access.get()
    }

    /// Sets how this proxy gets the state of the store.
    pub fn set_access(&self, access: StoreAccess) {
        if self.access.replace(access) != access {
            self.wake();
        }
    }

    /// Whether the store responded to this proxy when it was called last, if it was called.
    pub fn reaches_store(&self) -> bool {
        !matches!(self.access.get(), StoreAccess::Lost | StoreAccess::Diverted)
    }

    /// Number of requests that wait for a change.
    pub fn waiting(&self) -> usize {
        self.waiters.borrow().len()
    }

    fn wake(&self) {
        for waiter in self.waiters.borrow_mut().drain(..) {
            // The waiter may have timed out.
            let _ = waiter.send(());
        }
    }

    /// The changes after a revision, at the latest when `wait` is over; `None` if this proxy
    /// does not read the store itself.
    pub async fn after(&self, after: Revision, wait: Span) -> Option<Packed> {
        let started = clock::now();
        let deadline = started + wait;
        loop {
            let now = clock::now();
            let timed_out = now >= deadline;
            match self.access.get() {
                StoreAccess::Lost | StoreAccess::Diverted => return None,
                StoreAccess::Follows if now >= started + TAKEOVER_TIME => return None,
                StoreAccess::Follows => {
                    self.wait_for_change(started + TAKEOVER_TIME).await;
                    continue;
                }
                StoreAccess::Starting if timed_out => return None,
                StoreAccess::Starting => {}
                StoreAccess::Reads => {
                    let update = self.mirror.borrow().changes_since(after);
                    let is_empty =
                        matches!(&update, Update::Changes(batch) if batch.changes.is_empty());
                    if timed_out || !is_empty {
                        return self.pack(after, &update);
                    }
                }
            }
            self.wait_for_change(deadline).await;
        }
    }

    fn pack(&self, after: Revision, update: &Update) -> Option<Packed> {
        let range = (after, update.revision());
        let known = self.packed.borrow().clone();
        if let Some((from, to, packed)) = known
            && (from, to) == range
        {
            return Some(packed);
        }
        match Packed::new(update) {
            Ok(packed) => {
                let cached = (range.0, range.1, packed.clone());
                *self.packed.borrow_mut() = Some(cached);
                Some(packed)
            }
            Err(e) => {
                tracing::error!(cause = %e, "an update could not be packed for a follower");
                None
            }
        }
    }

    async fn wait_for_change(&self, deadline: Time) {
        let rx = self.add_waiter();
        let remaining = deadline.since(clock::now()).as_duration();
        // The caller checks the state again after a change as well as after a timeout.
        let _ = compio::time::timeout(remaining, rx.recv_async()).await;
    }

    /// Adds a waiter that the next change wakes.
    ///
    /// Waiters that have timed out are removed. Without this, they would accumulate while
    /// nothing changes in the store.
    fn add_waiter(&self) -> flume::Receiver<()> {
        let (tx, rx) = flume::bounded(1);
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|waiter| !waiter.is_disconnected());
        waiters.push(tx);
        rx
    }
}
