//! News on its way to the other proxies.

use indexmap::IndexMap;
use model::id::ProxyId;

use crate::membership::table::MemberInfo;

/// Most news in one heartbeat. Load: a data centre that comes back sends a hundred at
/// once. Harm: heartbeats must stay small to fit the budget. At 8 a heartbeat holds about
/// a kilobyte, and the rest follows with the next ones.
pub const MAX_NEWS: usize = 8;

/// Each piece of news is sent this many times for each doubling of the proxies; with
/// fewer, some would miss it and wait for the next comparison of tables.
const SENDS_PER_DOUBLING: u32 = 3;

/// News that is still to be passed on.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    /// The news with the number of times that it was sent.
    waiting: IndexMap<ProxyId, (MemberInfo, u32)>,
}

impl GossipQueue {
    /// Puts news in line, in place of older news of the same proxy.
    pub fn add(&mut self, info: MemberInfo) {
        self.waiting.insert(info.id.clone(), (info, 0));
    }

    /// The news for one heartbeat, the least often sent first.
    pub fn take(&mut self, proxies: usize) -> Vec<MemberInfo> {
        let limit = SENDS_PER_DOUBLING * (usize::BITS - proxies.leading_zeros()).max(1);
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|(id, (_, sent))| (*sent, id.clone()))
            .collect();
        order.sort();
        let mut batch = Vec::new();
        for (_, id) in order.into_iter().take(MAX_NEWS) {
            if let Some((info, sent)) = self.waiting.get_mut(&id) {
                *sent += 1;
                batch.push(info.clone());
            }
        }
        self.waiting.retain(|_, (_, sent)| *sent < limit);
        batch
    }

    /// Whether anything waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
