//! The operations of one proxy: their permits, connections and ends.

use model::unit::{Span, Time};
use policy::quota::{Action, Permit, Reservation};

use crate::world::{Faults, Operation, Order, World};

/// Time for which an operation keeps its connection while it waits for a new permit.
const REPLACE_TIMEOUT: Span = Span::from_millis(20);

impl World {
    /// Starts an operation that gets a connection at `ready_at`, if it requests one now.
    pub(crate) fn start(&mut self, n: usize, ready_at: Time) {
        let now = self.now;
        let id = self.last_operation;
        self.last_operation += 1;
        let waits = self.setup.order == Order::ConnectionFirst;
        let operation = Operation {
            arrived: now,
            reservation: Reservation::default(),
            ready_at: waits.then_some(ready_at),
            keeps_until: None,
        };
        self.nodes[n].operations.insert(id, operation);
        if self.setup.order == Order::PermitFirst {
            let actions = self.nodes[n].holder.request(id, now);
            self.act(n, actions);
        }
    }

    pub(crate) fn reject(&mut self, arrived: Time) {
        self.outcome.rejected += 1;
        self.outcome.rejected_after.push(self.now.since(arrived));
    }

    fn send(&mut self, n: usize, id: u32) {
        self.nodes[n].operations.swap_remove(&id);
        self.outcome.sent.push(self.now);
        self.outcome.sent_by.push(n);
    }

    /// Handles a permit for an operation, which may have ended.
    pub(crate) fn admit(&mut self, n: usize, id: u32, permit: Permit) -> Vec<Action<u32>> {
        let now = self.now;
        let connects = match self.setup.faults {
            Faults::None { .. } | Faults::Cut => 10,
            _ => 300,
        };
        let ready_at = self.later(connects);
        let first = self.setup.order == Order::ConnectionFirst;
        let node = &mut self.nodes[n];
        let Some(operation) = node.operations.get_mut(&id) else {
            return node.holder.give_back(permit, now);
        };
        if first || operation.keeps_until.is_some() {
            self.send(n, id);
            return Vec::new();
        }
        operation.reservation.hold(permit, now);
        operation.ready_at.get_or_insert(ready_at);
        Vec::new()
    }

    /// Sends the operations that have got their connections.
    pub(crate) fn send_ready(&mut self, n: usize) {
        let ids: Vec<_> = self.nodes[n].operations.keys().copied().collect();
        for id in ids {
            match self.setup.order {
                Order::ConnectionFirst => self.request_when_ready(n, id),
                Order::PermitFirst => self.send_when_ready(n, id),
            }
        }
    }

    fn has_connection(&self, ready_at: Option<Time>) -> bool {
        self.stalled_until <= self.now && ready_at.is_some_and(|at| at <= self.now)
    }

    fn request_when_ready(&mut self, n: usize, id: u32) {
        let ready_at = self.nodes[n].operations.get(&id).and_then(|o| o.ready_at);
        if !self.has_connection(ready_at) {
            return;
        }
        if let Some(operation) = self.nodes[n].operations.get_mut(&id) {
            operation.ready_at = None;
        }
        let actions = self.nodes[n].holder.request(id, self.now);
        self.act(n, actions);
    }

    fn send_when_ready(&mut self, n: usize, id: u32) {
        let now = self.now;
        let Some(operation) = self.nodes[n].operations.get(&id) else {
            return;
        };
        let has_connection = self.has_connection(operation.ready_at);
        let node = &mut self.nodes[n];
        let Some(operation) = node.operations.get_mut(&id) else {
            return;
        };
        if let Some(until) = operation.keeps_until {
            if until <= now {
                // It goes on waiting without a connection.
                operation.keeps_until = None;
                operation.ready_at = None;
            }
            return;
        }
        if has_connection && operation.reservation.send(now) {
            self.send(n, id);
            return;
        }
        let is_kept_long = operation
            .reservation
            .release_at()
            .is_some_and(|at| at <= now);
        let mut actions = Vec::new();
        if (has_connection || is_kept_long)
            && let Some(permit) = operation.reservation.release()
        {
            actions = node.holder.give_back(permit, now);
        }
        if has_connection {
            operation.keeps_until = Some(now + REPLACE_TIMEOUT);
            actions.extend(node.holder.request_first(id, now));
        }
        self.act(n, actions);
    }

    pub(crate) fn query_silent(&mut self, n: usize) {
        let now = self.now;
        for id in self.nodes[n].silence.queries(now) {
            let to = self.nodes.iter().position(|node| node.id == id);
            if to.is_some_and(|to| self.reaches(n, to) && self.nodes[to].runs(now)) {
                self.nodes[n].note_answer(&id, true, now);
            }
        }
    }
}
