//! How the customers of a group are divided among its poolers.

use std::cmp::Reverse;

use indexmap::IndexMap;
use model::hash;
use model::id::{CustomerId, GroupId};

/// Weight and number of a partition's customers, as a multiple of the mean.
const PARTITION_EXCESS: f64 = 1.2;

/// Number of customers, those with the highest limits first, that are divided by their limits;
/// the others are many and small, and a hash divides them evenly.
const WEIGHED_CUSTOMERS: usize = 256;

/// Hash key; all proxies must use the same text.
const CUSTOMER: &str = "customer";

/// Weight and number of a partition's customers, in parts of the mean.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    weight: f64,
    number: f64,
}

impl Load {
    fn plus(self, other: Self) -> Self {
        Self {
            weight: self.weight + other.weight,
            number: self.number + other.number,
        }
    }

    fn most(self) -> f64 {
        self.weight.max(self.number)
    }
}

/// The partitions of a group's customers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Partitions {
    group: String,
    /// Invariant: at least 1.
    count: usize,
    /// Those of the customers that were divided by their limits.
    weighed: IndexMap<CustomerId, usize>,
}

impl Partitions {
    /// Divides the customers of a group into `count` partitions; each customer comes with its
    /// limit in operations a second, if it has one.
    ///
    /// Partitions are of equal weight, by the limits, which tell how many statements to expect,
    /// and of equal number, since a customer needs connections however rarely it uses them. The
    /// customers with the highest limits choose first. Each takes the partition that a hash of
    /// group and customer prefers, unless either would exceed [`PARTITION_EXCESS`].
    pub fn new(
        group: &GroupId,
        count: usize,
        customers: impl Iterator<Item = (CustomerId, Option<f64>)>,
    ) -> Self {
        let mut partitions = Self {
            group: group.to_string(),
            count: count.max(1),
            weighed: IndexMap::new(),
        };
        let customers: Vec<_> = customers.collect();
        let limits: Vec<f64> = customers.iter().filter_map(|(_, limit)| *limit).collect();
        let mean = limits.iter().sum::<f64>() / limits.len().max(1) as f64;
        let usual = if mean > 0.0 { mean } else { 1.0 };
        let weigh = |(id, limit): (CustomerId, Option<f64>)| (limit.unwrap_or(usual), id);
        let mut customers: Vec<(f64, CustomerId)> = customers.into_iter().map(weigh).collect();
        customers.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let weight = customers.iter().map(|(weight, _)| weight).sum::<f64>();
        // What one customer of this weight adds to a partition, in parts of the mean.
        let parts = partitions.count as f64;
        let added = |own: f64| Load {
            weight: own * parts / weight.max(f64::MIN_POSITIVE),
            number: parts / customers.len() as f64,
        };
        let mut loads = vec![Load::default(); partitions.count];
        for (own, id) in customers.iter().take(WEIGHED_CUSTOMERS) {
            let added = added(*own);
            let then = |at: usize| loads[at].plus(added).most();
            let order = partitions.order(id.as_str());
            let fits = order.iter().find(|at| then(**at) <= PARTITION_EXCESS);
            let least = || order.iter().min_by(|a, b| then(**a).total_cmp(&then(**b)));
            let at = fits.or_else(least).copied().unwrap_or_default();
            loads[at] = loads[at].plus(added);
            partitions.weighed.insert(id.clone(), at);
        }
        partitions
    }

    /// The partition of a customer; callers without one share one.
    pub fn of(&self, customer: Option<&CustomerId>) -> usize {
        let weighed = customer.and_then(|id| self.weighed.get(id));
        weighed.copied().unwrap_or_else(|| {
            let name = customer.map_or("", CustomerId::as_str);
            self.order(name).first().copied().unwrap_or_default()
        })
    }

    /// Positions of the poolers in the order in which a customer's statements try them: that of
    /// its partition, then the others, so that the customers of one that fails spread.
    pub fn poolers(&self, customer: Option<&CustomerId>) -> Vec<usize> {
        let mine = self.of(customer);
        let others = self.order(customer.map_or("", CustomerId::as_str));
        let others = others.into_iter().filter(|at| *at != mine);
        [mine].into_iter().chain(others).collect()
    }

    fn order(&self, customer: &str) -> Vec<usize> {
        let mut order: Vec<_> = (0..self.count).collect();
        let hash = |at: &usize| hash::of([CUSTOMER, &self.group, customer, &at.to_string()]);
        order.sort_by_cached_key(|at| Reverse(hash(at)));
        order
    }
}
