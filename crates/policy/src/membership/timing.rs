//! Times and numbers of the membership protocol, with the reason for each.

use model::unit::Span;

/// Time between two heartbeats of one proxy. Load: at one a second, sent and answered,
/// a proxy spends about 2 KB/s. Slower would add to every detection.
pub const BEAT: Span = Span::from_millis(1_000);

/// Heartbeats without an answer after which a proxy is suspected. One may have met a
/// connection that went silent; the second goes out on a fresh one.
pub const MISSES: u32 = 2;

/// Time that a suspected proxy has to contradict. Shorter would condemn proxies that were
/// paused for a moment.
pub const SUSPICION: Span = Span::from_millis(2_000);

/// Time without any exchange in the own data centre after which a proxy takes itself for
/// the one that is cut off: it then condemns nobody for [`HOLD`].
pub const ALONE: Span = Span::from_millis(3_000);

/// Longest time for which a proxy that takes itself for cut off spares the others.
pub const HOLD: Span = Span::from_millis(10_000);

/// Proxies that hear at once of a new revision from each one that has it. With 2, four
/// out of five proxies know it after a few exchanges, and the heartbeats reach the rest.
pub const PUSHES: usize = 2;

/// Shortest time between two such pushes. Load: an operator's script applies ten changes
/// a second. Harm: each would cost every proxy six exchanges.
pub const PUSH_EVERY: Span = Span::from_millis(200);

/// Time between two comparisons of the whole table with one other proxy.
pub const COMPARE_EVERY: Span = Span::from_millis(30_000);

/// Time after which a gone proxy is forgotten; late news of it is older than that.
pub const FORGET: Span = Span::from_millis(600_000);

/// Time for which a proxy that failed to reach the store leaves the watch to others.
pub const STORELESS: Span = Span::from_millis(30_000);

/// Longest time for one fetch of records.
pub const FETCH: Span = Span::from_millis(3_000);
