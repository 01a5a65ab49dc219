//! Which idle connections to an instance are kept, and which are closed.

use model::unit::{Span, Time};

use super::{Instance, Limits};
use crate::pool::ConnInfo;
use crate::pool::demand::Demand;

/// Time after which an idle connection beyond the proxy's share is closed. Opening one costs
/// the instance as much work as a statement, so it should outlast a pause between two
/// statements; another proxy may be waiting for it.
const IDLE_TIMEOUT: Span = Span::from_millis(400);

impl<C> Instance<C> {
    /// Whether [`Instance::evict`] would remove a connection.
    pub(super) fn has_evictable(&self, limits: Limits) -> bool {
        self.idle.len() > usize::from(limits.max > 1)
    }

    /// Removes an idle connection of the customer that needs its connections least, to make
    /// room for another customer's; of equals, the one that has been idle longest. The one
    /// opened first is kept where there may be several: on a replica it is needed to prove
    /// writes, and a new one is not eligible for that at once.
    pub(in crate::pool) fn evict(
        &mut self,
        info: ConnInfo<C>,
        limits: Limits,
        demand: &Demand,
        now: Time,
    ) -> Option<C> {
        if !self.has_evictable(limits) {
            return None;
        }
        let spare = self.least_needed(info, demand, now, |_| true);
        Some(self.idle.remove(spare.unwrap_or(0)).0)
    }

    /// Position of the idle connection that is needed least, besides the one opened first, of
    /// those idle since a time that `may` accepts.
    ///
    /// Two connections of one customer are each needed half as often. By time alone, a customer
    /// with a request now and then would displace one whose next request comes sooner.
    fn least_needed(
        &self,
        info: ConnInfo<C>,
        demand: &Demand,
        now: Time,
        may: impl Fn(Time) -> bool,
    ) -> Option<usize> {
        let oldest = self.oldest(info);
        let need = |conn: &C| {
            let owner = (info.owner)(conn);
            let same = self.idle.iter().filter(|(c, _)| (info.owner)(c) == owner);
            demand.of(owner, now) / same.count() as f64
        };
        let idle = self.idle.iter().enumerate();
        let spare =
            idle.filter(|(_, (c, since))| Some((info.opened_at)(c)) != oldest && may(*since));
        let spare = spare.min_by(|(_, (a, _)), (_, (b, _))| need(a).total_cmp(&need(b)));
        spare.map(|(at, _)| at)
    }

    /// Removes and returns all idle connections.
    pub(in crate::pool) fn drain_idle(&mut self) -> Vec<C> {
        self.idle.drain(..).map(|(conn, _)| conn).collect()
    }

    /// Removes and returns all idle connections but the one opened first.
    pub(in crate::pool) fn drain_spare(&mut self, info: ConnInfo<C>) -> Vec<C> {
        self.idle.sort_by_key(|(conn, _)| (info.opened_at)(conn));
        let spare = self.idle.len().min(1);
        self.idle.drain(spare..).map(|(conn, _)| conn).collect()
    }

    /// Removes a connection, if the proxy holds more than `retained` and the connection has
    /// been idle for [`IDLE_TIMEOUT`]: the one opened last, and of equals the one idle longest.
    /// Where connections serve one customer each, the one that is needed least.
    pub(in crate::pool) fn trim(
        &mut self,
        retained: u32,
        info: ConnInfo<C>,
        demand: &Demand,
        now: Time,
    ) -> Option<C> {
        if self.count() <= retained {
            return None;
        }
        let is_spare = |since: Time| now.since(since) >= IDLE_TIMEOUT;
        let by_customer = self.idle.iter().any(|(c, _)| (info.owner)(c).is_some());
        let at = if by_customer {
            self.least_needed(info, demand, now, is_spare)?
        } else {
            let idle = self.idle.iter().enumerate().rev();
            let spare = idle.filter(|(_, (_, since))| is_spare(*since));
            spare.max_by_key(|(_, (conn, _))| (info.opened_at)(conn))?.0
        };
        Some(self.idle.remove(at).0)
    }
}
