//! Times and limits of the membership protocol, with the reason for each.

use model::unit::Span;

/// Time between two heartbeats of one proxy. One a second and its response cost a proxy about
/// 2 KB/s; a longer interval would delay every detection.
pub const HEARTBEAT_INTERVAL: Span = Span::from_millis(1_000);

/// Heartbeats without a response after which a proxy is suspected. The first one may have been
/// lost on a dead connection; the second one uses a new connection.
pub const MAX_MISSED: u32 = 2;

/// Time that a suspected proxy has to refute the suspicion. A shorter one would declare proxies
/// gone that were paused for a moment.
pub const SUSPICION_TIMEOUT: Span = Span::from_millis(2_000);

/// Time without any exchange in its data centre after which a proxy assumes that it is itself
/// isolated. It then declares no proxy of its data centre gone until [`ISOLATION_GRACE`].
pub const ISOLATED_AFTER: Span = Span::from_millis(3_000);

/// Time without any exchange after which even an isolated proxy declares others gone.
pub const ISOLATION_GRACE: Span = Span::from_millis(10_000);

/// Proxies to which each proxy pushes a new revision at once. With 2, four out of five proxies
/// know it after a few exchanges; the others receive it with the heartbeats.
pub const PUSH_FANOUT: usize = 2;

/// Shortest time between two such pushes. When an operator's script applies ten changes a
/// second, each change would otherwise cost every proxy six exchanges.
pub const PUSH_INTERVAL: Span = Span::from_millis(200);

/// Time between two comparisons of the whole table with one other proxy.
pub const COMPARE_INTERVAL: Span = Span::from_millis(30_000);

/// Time after which a gone proxy is forgotten. Late updates about it arrive before that.
pub const FORGET_AFTER: Span = Span::from_millis(600_000);

/// Time for which a proxy that failed to reach the store leaves watching it to others.
pub const STORE_UNREACHABLE_FOR: Span = Span::from_millis(30_000);

/// Longest time for one fetch of records.
pub const FETCH_TIMEOUT: Span = Span::from_millis(3_000);
