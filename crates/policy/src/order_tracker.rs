//! Which primary of a group the last order accounts for.

use model::id::InstanceId;
use model::position::Term;

use crate::takeover::{self, InstanceView, Token};

/// What an order to the platform is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Another instance is to lead.
    Change,
    /// The present primary is named, so that earlier orders are refused.
    VoidEarlier,
}

/// A primary that the last order does not account for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnexpectedPrimary {
    /// The instance that leads.
    pub instance: InstanceId,
    /// What the last order was for, if this holder gave one.
    pub last_purpose: Option<Purpose>,
}

/// What one holder of the duty knows of a group's primary and of its own orders.
///
/// An order that is carried out late, after the next one was given or by an earlier holder,
/// shows only in the instance that leads and its term.
#[derive(Clone, Debug, Default)]
pub struct OrderTracker {
    /// First token of the holder; a holder knows nothing of the orders of others.
    holder: Token,
    /// Term of the newest primary that a look found; before that, the newest term at all.
    term: Term,
    /// Whether a primary answered or an order was given: until then, a silent primary is
    /// no new one once it answers.
    begun: bool,
    /// Its last order that may have been carried out.
    last: Option<(Purpose, InstanceId)>,
}

impl OrderTracker {
    /// An order was given that may be carried out.
    pub fn record_order(&mut self, purpose: Purpose, instance: &InstanceId) {
        self.begun = true;
        self.last = Some((purpose, instance.clone()));
    }

    /// A look at the instances. Gives a primary of a new term that the last order did not
    /// name, or that came after an order that changes no term. Each is given once.
    pub fn observe(
        &mut self,
        holder: Token,
        instances: &[InstanceView],
    ) -> Option<UnexpectedPrimary> {
        if self.holder != holder {
            *self = Self {
                holder,
                ..Self::default()
            };
        }
        let newest = takeover::newest_term(instances);
        let leader = takeover::leader(instances);
        if !self.begun {
            self.begun = leader.is_some();
            self.term = self.term.max(newest);
            return None;
        }
        let leader = leader?;
        if newest <= self.term {
            return None;
        }
        self.term = newest;
        let last_purpose = match &self.last {
            Some((Purpose::Change, named)) if *named == leader.id => return None,
            last => last.as_ref().map(|(purpose, _)| *purpose),
        };
        let instance = leader.id.clone();
        Some(UnexpectedPrimary {
            instance,
            last_purpose,
        })
    }
}
