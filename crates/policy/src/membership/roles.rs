//! Pushing new revisions, choosing the store watcher, draining and stopping.

use model::position::Revision;
use model::unit::Time;

use super::message::{Action, Peer};
use super::table::State;
use super::timing::{FETCH_TIMEOUT, PUSH_FANOUT, PUSH_INTERVAL, STORE_UNREACHABLE_FOR};
use super::{Membership, delegate};

impl Membership {
    /// All records up to this revision are known here; pushes it to peers.
    pub fn revision_advanced(&mut self, now: Time, complete: Revision) -> Vec<Action> {
        if complete <= self.complete {
            return Vec::new();
        }
        self.complete = complete;
        let earliest = self
            .schedule
            .last_push
            .map_or(now, |last| last + PUSH_INTERVAL);
        self.schedule.push = Some(earliest.max(now));
        let mut actions = Vec::new();
        if earliest <= now {
            self.push(now, &mut actions);
        }
        actions
    }

    pub(super) fn push(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.schedule.push = None;
        self.schedule.last_push = Some(now);
        for _ in 0..PUSH_FANOUT {
            if let Some(id) = self.next_in_cycle() {
                self.send_heartbeat(&id, actions);
            }
        }
        for peer in self.links.due(&self.table, &self.me.id) {
            let heartbeat = self.heartbeat_to(&peer);
            actions.push(Action::Heartbeat(peer, heartbeat));
        }
    }

    /// A fetch ended; starts the next one if it made progress and the peer has `more`.
    pub fn fetch_finished(&mut self, now: Time, peer: &Peer, more: bool) -> Vec<Action> {
        self.fetching_until = None;
        if !more {
            return Vec::new();
        }
        self.fetching_until = Some(now + FETCH_TIMEOUT);
        vec![Action::Fetch(peer.clone(), self.complete)]
    }

    /// The store did not respond to this proxy: another one of its data centre should watch it.
    pub fn store_failed(&mut self, now: Time) -> Vec<Action> {
        self.store_unreachable_until = Some(now + STORE_UNREACHABLE_FOR);
        if !self.me.store_unreachable {
            self.me.store_unreachable = true;
            self.me.incarnation += 1;
            self.announce(now);
        }
        let mut actions = Vec::new();
        self.update_watch(&mut actions);
        actions
    }

    pub(super) fn end_store_unreachable(&mut self, now: Time) {
        if self
            .store_unreachable_until
            .is_some_and(|until| now >= until)
        {
            self.store_responded(now);
        }
    }

    /// The store responded to this proxy.
    pub fn store_responded(&mut self, now: Time) {
        self.store_unreachable_until = None;
        if self.me.store_unreachable {
            self.me.store_unreachable = false;
            self.me.incarnation += 1;
            self.announce(now);
        }
    }

    pub(super) fn update_watch(&mut self, actions: &mut Vec<Action>) {
        let is_watcher = delegate::is_watcher(&self.table, &self.me.data_centre, &self.me.id);
        if is_watcher != self.watching {
            self.watching = is_watcher;
            actions.push(Action::Watch(is_watcher));
        }
    }

    /// The process is being stopped: other proxies take over its roles.
    pub fn drain(&mut self, now: Time) -> Vec<Action> {
        self.me.draining = true;
        self.me.incarnation += 1;
        self.announce(now);
        self.push_change(now)
    }

    /// The process exits: peers are notified and need not wait for missed heartbeats.
    pub fn leave(&mut self, now: Time) -> Vec<Action> {
        self.me.state = State::Gone;
        self.me.incarnation += 1;
        self.announce(now);
        self.push_change(now)
    }

    pub(super) fn push_change(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.push(now, &mut actions);
        actions.push(Action::Changed);
        actions
    }
}
