//! Counters of calls to the platform, by purpose and kind.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The kinds of call that the platform counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A range read.
    Read,
    /// A range read that may be out of date; the platform charges a tenth of a call.
    StaleRead,
    /// A put or a transaction.
    Write,
    /// A watch, counted when it is opened.
    Watch,
    /// A lease grant or revocation.
    Lease,
    /// A lease renewal; the platform charges a tenth of a call.
    Renewal,
    /// A read of the VM list.
    VmList,
}

impl Kind {
    /// Every kind, in the order of [`Calls::snapshot`].
    pub const ALL: [Self; 7] = [
        Self::Read,
        Self::StaleRead,
        Self::Write,
        Self::Watch,
        Self::Lease,
        Self::Renewal,
        Self::VmList,
    ];

    /// Stable name, used as a metric label.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::StaleRead => "stale_read",
            Self::Write => "write",
            Self::Watch => "watch",
            Self::Lease => "lease",
            Self::Renewal => "renewal",
            Self::VmList => "vm_list",
        }
    }
}

/// What a call is made for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Purpose {
    /// Reading and watching stored records; the default.
    #[default]
    Follow,
    /// Keeping this process registered: its lease and its announcement.
    Registration,
    /// Suspicions that could not be delivered to the coordinator.
    Suspicions,
    /// Acquiring and renewing the coordinator role.
    CoordinatorRole,
    /// Recording intents to change a primary.
    Intents,
    /// Checking whether a change of primary is under way.
    Changes,
}

impl Purpose {
    /// Every purpose, in the order of [`Calls::by_purpose`].
    pub const ALL: [Self; 6] = [
        Self::Follow,
        Self::Registration,
        Self::Suspicions,
        Self::CoordinatorRole,
        Self::Intents,
        Self::Changes,
    ];

    /// Stable name, used as a metric label.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Follow => "follow",
            Self::Registration => "place",
            Self::Suspicions => "suspicion",
            Self::CoordinatorRole => "duty",
            Self::Intents => "note",
            Self::Changes => "changes",
        }
    }
}

/// Counters shared by a client and its clones; readable from any thread.
#[derive(Clone, Debug, Default)]
pub struct Calls(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    calls: [[AtomicU64; Kind::ALL.len()]; Purpose::ALL.len()],
    failures: AtomicU64,
}

impl Calls {
    pub(crate) fn add(&self, purpose: Purpose, kind: Kind) {
        self.counter(purpose, kind).fetch_add(1, Ordering::Relaxed);
    }

    fn counter(&self, purpose: Purpose, kind: Kind) -> &AtomicU64 {
        &self.0.calls[purpose as usize][kind as usize]
    }

    pub(crate) fn add_failure(&self) {
        self.0.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Calls of one kind, retries included.
    pub fn get(&self, kind: Kind) -> u64 {
        let count = |purpose| self.counter(purpose, kind).load(Ordering::Relaxed);
        Purpose::ALL.into_iter().map(count).sum()
    }

    /// Calls of every kind.
    pub fn total(&self) -> u64 {
        Kind::ALL.iter().map(|&kind| self.get(kind)).sum()
    }

    /// Calls that got no usable response.
    pub fn failures(&self) -> u64 {
        self.0.failures.load(Ordering::Relaxed)
    }

    /// Calls by purpose and kind.
    pub fn by_purpose(&self) -> impl Iterator<Item = (Purpose, Kind, u64)> {
        let pairs = Purpose::ALL.map(|purpose| Kind::ALL.map(|kind| (purpose, kind)));
        let count = |(purpose, kind)| {
            let calls = self.counter(purpose, kind).load(Ordering::Relaxed);
            (purpose, kind, calls)
        };
        pairs.into_iter().flatten().map(count)
    }

    /// Calls by kind.
    pub fn snapshot(&self) -> [(Kind, u64); Kind::ALL.len()] {
        Kind::ALL.map(|kind| (kind, self.get(kind)))
    }
}
