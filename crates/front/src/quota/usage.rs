//! The use of limits on this proxy, for metrics and the log.

use indexmap::IndexMap;
use model::id::CustomerId;
use model::unit::Span;
use policy::quota::{Counts, Holder};

use super::{Quotas, Reply};
use crate::clock;

/// Number of customers in the metrics; each adds some series.
const MAX_REPORTED: usize = 20;

/// Interval between two log lines about a customer's limit.
const LOG_INTERVAL: Span = Span::from_millis(5_000);

/// Use of one customer's limit on this proxy.
#[derive(Clone, Debug)]
pub struct Usage {
    /// The customer.
    pub customer: CustomerId,
    /// Operations a second of one part of its limit.
    pub part_per_s: f64,
    /// Confirmed parts that this proxy grants.
    pub parts: u32,
    /// Permits at hand.
    pub at_hand: u32,
    /// What has become of its permits on this proxy.
    pub counts: Counts,
    /// Operations that this proxy has rejected.
    pub rejected: u64,
}

impl Quotas {
    /// The use of limits by the [`MAX_REPORTED`] customers with the most rejections here.
    pub fn usage(&self) -> Vec<Usage> {
        let now = clock::now();
        let state = self.0.borrow();
        let usage = |(customer, holder): (&CustomerId, &Holder<Reply>)| {
            let budget = state.budgets.get(customer)?;
            let granter = state.granters.get(customer);
            Some(Usage {
                customer: customer.clone(),
                part_per_s: budget.rate,
                parts: granter.map_or(0, |granter| granter.parts().confirmed),
                at_hand: holder.available(now),
                counts: holder.counts(),
                rejected: state.rejected.get(customer).copied().unwrap_or_default(),
            })
        };
        let mut usage: Vec<_> = state.holders.iter().filter_map(usage).collect();
        usage.sort_by_key(|u| std::cmp::Reverse(u.rejected));
        usage.truncate(MAX_REPORTED);
        usage
    }

    /// Logs the use of the limits that operations were rejected by. The sum over all proxies
    /// shows how much of a limit is used.
    pub(super) async fn log_usage(self) {
        let mut logged: IndexMap<CustomerId, u64> = IndexMap::new();
        loop {
            clock::sleep_until(clock::now() + LOG_INTERVAL).await;
            for usage in self.usage() {
                let before = logged.insert(usage.customer.clone(), usage.rejected);
                if before.unwrap_or_default() == usage.rejected {
                    continue;
                }
                let Counts {
                    granted,
                    given_back,
                    expired,
                    ..
                } = usage.counts;
                tracing::info!(customer = %usage.customer, granted, spent = usage.counts.spent(), given_back, expired, rejected = usage.rejected, "operations were over a customer's limit");
            }
        }
    }
}
