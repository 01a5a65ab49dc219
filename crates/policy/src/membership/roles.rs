//! Duties: passing on new revisions, watching the store, leaving.

use model::position::Revision;
use model::unit::Time;

use super::message::{Action, Peer};
use super::table::State;
use super::timing::{FETCH, PUSH_EVERY, PUSHES, STORELESS};
use super::{Membership, delegate};

impl Membership {
    /// The records are known up to this revision; peers hear of it at once.
    pub fn revision_advanced(&mut self, now: Time, complete: Revision) -> Vec<Action> {
        if complete <= self.complete {
            return Vec::new();
        }
        self.complete = complete;
        let earliest = self.due.last_push.map_or(now, |last| last + PUSH_EVERY);
        self.due.push = Some(earliest.max(now));
        let mut actions = Vec::new();
        if earliest <= now {
            self.push(now, &mut actions);
        }
        actions
    }

    pub(super) fn push(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.due.push = None;
        self.due.last_push = Some(now);
        for _ in 0..PUSHES {
            if let Some(id) = self.next_in_round() {
                self.send(&id, actions);
            }
        }
        for peer in self.links.due(&self.table, &self.me.id) {
            let heartbeat = self.heartbeat_to(&peer);
            actions.push(Action::Heartbeat(peer, heartbeat));
        }
    }

    /// A fetch ended; with `more` to come and progress made, the next one begins.
    pub fn fetch_finished(&mut self, now: Time, peer: &Peer, more: bool) -> Vec<Action> {
        self.fetching_until = None;
        if !more {
            return Vec::new();
        }
        self.fetching_until = Some(now + FETCH);
        vec![Action::Fetch(peer.clone(), self.complete)]
    }

    /// The store did not answer this proxy: another of its data centre should watch.
    pub fn store_failed(&mut self, now: Time) -> Vec<Action> {
        self.storeless_until = Some(now + STORELESS);
        if !self.me.store_unreachable {
            self.me.store_unreachable = true;
            self.me.incarnation += 1;
            self.announce(now);
        }
        let mut actions = Vec::new();
        self.choose_watch(&mut actions);
        actions
    }

    pub(super) fn end_storeless(&mut self, now: Time) {
        if self.storeless_until.is_some_and(|until| now >= until) {
            self.store_responded(now);
        }
    }

    /// The store answered this proxy.
    pub fn store_responded(&mut self, now: Time) {
        self.storeless_until = None;
        if self.me.store_unreachable {
            self.me.store_unreachable = false;
            self.me.incarnation += 1;
            self.announce(now);
        }
    }

    pub(super) fn choose_watch(&mut self, actions: &mut Vec<Action>) {
        let watches = delegate::is_watcher(&self.table, &self.me.data_centre, &self.me.id);
        if watches != self.watching {
            self.watching = watches;
            actions.push(Action::Watch(watches));
        }
    }

    /// The process is being stopped: duties go to others.
    pub fn drain(&mut self, now: Time) -> Vec<Action> {
        self.me.draining = true;
        self.me.incarnation += 1;
        self.announce(now);
        self.goodbye(now)
    }

    /// The process ends: peers need not find out by silence.
    pub fn leave(&mut self, now: Time) -> Vec<Action> {
        self.me.state = State::Gone;
        self.me.incarnation += 1;
        self.announce(now);
        self.goodbye(now)
    }

    pub(super) fn goodbye(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.push(now, &mut actions);
        actions.push(Action::Changed);
        actions
    }
}
