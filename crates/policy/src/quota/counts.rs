//! Counters of a customer's permits, whose sum over all proxies shows how much of its limit is used.

/// What has become of the permits of one customer on one proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Permits granted.
    pub granted: u64,
    /// Permits taken by operations.
    pub taken: u64,
    /// Permits given back by operations that were not sent; valid ones are taken again.
    pub given_back: u64,
    /// Permits that expired unused.
    pub expired: u64,
}

impl Counts {
    /// Permits with which operations were sent.
    pub fn spent(self) -> u64 {
        self.taken.saturating_sub(self.given_back)
    }
}
