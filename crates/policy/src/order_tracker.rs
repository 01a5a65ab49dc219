//! Whether the last promotion order explains the present primary of a group.

use model::id::InstanceId;
use model::position::Term;

use crate::takeover::{self, InstanceView, Token};

/// Purpose of a promotion order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// To make another instance primary.
    Change,
    /// To order the present primary again, so that the platform refuses earlier orders.
    VoidEarlier,
}

/// A primary that the last order does not explain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnexpectedPrimary {
    /// The primary.
    pub instance: InstanceId,
    /// Purpose of the last order, if this holder gave one.
    pub last_purpose: Option<Purpose>,
}

/// What a holder of the coordinator role knows of a group's primary and of its own orders.
///
/// An order that takes effect late, after the next one was given or from an earlier holder, is
/// visible only by the instance that leads and its term.
#[derive(Clone, Debug, Default)]
pub struct OrderTracker {
    /// First token of the holder; a holder does not know the orders of others.
    holder: Token,
    /// Term of the newest primary that a survey found; before that, the newest term of any
    /// instance.
    term: Term,
    /// Whether a primary responded or an order was given. Before that, a primary that was
    /// unresponsive at first is not reported as new.
    initialised: bool,
    /// The last order that may have taken effect.
    last: Option<(Purpose, InstanceId)>,
}

impl OrderTracker {
    /// Records an order that may take effect.
    pub fn record_order(&mut self, purpose: Purpose, instance: &InstanceId) {
        self.initialised = true;
        self.last = Some((purpose, instance.clone()));
    }

    /// Evaluates a survey of the instances.
    ///
    /// Returns a primary of a new term that the last order did not name, or that appeared after
    /// an order that changes no term. Each is returned once.
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
        if !self.initialised {
            self.initialised = leader.is_some();
            self.term = self.term.max(newest);
            return None;
        }
        let leader = leader?;
        if newest <= self.term {
            return None;
        }
        self.term = newest;
        let last_purpose = match &self.last {
            Some((Purpose::Change, ordered)) if *ordered == leader.id => return None,
            last => last.as_ref().map(|(purpose, _)| *purpose),
        };
        let instance = leader.id.clone();
        Some(UnexpectedPrimary {
            instance,
            last_purpose,
        })
    }
}
