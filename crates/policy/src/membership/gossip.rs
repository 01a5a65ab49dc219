//! Queue of membership updates to gossip.

use indexmap::IndexMap;
use model::id::ProxyId;

use crate::membership::table::MemberInfo;

/// Most updates in one heartbeat. A data centre that reconnects would send a hundred at once,
/// and heartbeats must stay small to fit the traffic budget. With 8, a heartbeat has about a
/// kilobyte, and the other updates follow with the next ones.
pub const MAX_UPDATES: usize = 8;

/// Each update is sent this many times per doubling of the number of proxies. With fewer,
/// some proxies would miss it until the next comparison of tables.
const SENDS_PER_DOUBLING: u32 = 3;

/// Updates that are still to be gossiped.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    /// Each update with the number of times that it was sent.
    queue: IndexMap<ProxyId, (MemberInfo, u32)>,
}

impl GossipQueue {
    /// Queues an update; it replaces an older one about the same proxy.
    pub fn add(&mut self, update: MemberInfo) {
        self.queue.insert(update.id.clone(), (update, 0));
    }

    /// The updates for one heartbeat, the least often sent first.
    pub fn take(&mut self, proxies: usize) -> Vec<MemberInfo> {
        let limit = SENDS_PER_DOUBLING * (usize::BITS - proxies.leading_zeros()).max(1);
        let mut order: Vec<_> = self
            .queue
            .iter()
            .map(|(id, (_, sent))| (*sent, id.clone()))
            .collect();
        order.sort();
        let mut batch = Vec::new();
        for (_, id) in order.into_iter().take(MAX_UPDATES) {
            if let Some((update, sent)) = self.queue.get_mut(&id) {
                *sent += 1;
                batch.push(update.clone());
            }
        }
        self.queue.retain(|_, (_, sent)| *sent < limit);
        batch
    }

    /// Whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
