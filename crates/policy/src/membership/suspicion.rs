//! Suspecting other proxies, declaring them gone, and refuting their suspicions.

use model::id::DataCentre;
use model::unit::Time;
use rand::seq::IteratorRandom as _;

use super::Membership;
use super::message::{Action, Compare, Failure, Peer, Tables};
use super::table::{MemberInfo, State};
use super::timing::{FORGET_AFTER, ISOLATED_AFTER, ISOLATION_GRACE, MAX_MISSED, SUSPICION_TIMEOUT};

impl Membership {
    /// Others suspect this proxy or take it for gone, e.g. because it was paused: it raises its
    /// incarnation, and the update with the higher one overrides theirs.
    pub(super) fn refute(&mut self, now: Time, info: &MemberInfo) -> bool {
        let reported = (info.incarnation, info.state);
        if reported <= (self.me.incarnation, self.me.state) {
            return false;
        }
        self.me.incarnation = info.incarnation + 1;
        self.announce(now);
        true
    }

    /// A heartbeat had no response.
    pub fn heartbeat_failed(&mut self, now: Time, peer: &Peer, failure: Failure) -> Vec<Action> {
        let Some(entry) = peer.id.as_ref().and_then(|id| self.table.get(id)) else {
            return Vec::new();
        };
        let info = entry.info.clone();
        if info.data_centre != self.me.data_centre {
            self.links.failed(&info.data_centre);
            return Vec::new();
        }
        let missed = self.missed.entry(info.id.clone()).or_default();
        // A refused connection proves that no process listens there: no second try is needed.
        *missed = match failure {
            Failure::Refused => MAX_MISSED,
            Failure::Unresponsive => *missed + 1,
        };
        if *missed < MAX_MISSED || info.state != State::Live {
            return Vec::new();
        }
        let state = State::Suspected;
        self.merge(now, MemberInfo { state, ..info });
        vec![Action::Changed]
    }

    /// Declares gone the suspected proxies that did not refute in time, and those of a data
    /// centre that has been out of contact for long.
    pub(super) fn declare_gone(&mut self, now: Time, actions: &mut Vec<Action>) {
        let out_of_contact = now.since(self.last_contact);
        let several_others = self.table.running_in(&self.me.data_centre).count() > 2;
        // A proxy without any contact is probably isolated itself. If all others are really
        // gone, it declares them gone a little later.
        let isolated =
            several_others && out_of_contact > ISOLATED_AFTER && out_of_contact < ISOLATION_GRACE;
        let home = &self.me.data_centre;
        let gone = self.table.iter().filter(|entry| {
            let info = &entry.info;
            let overdue =
                info.state == State::Suspected && now.since(entry.since) >= SUSPICION_TIMEOUT;
            let local = info.data_centre == *home && !isolated && overdue;
            let remote = info.data_centre != *home && self.links.is_lost(now, &info.data_centre);
            info.state != State::Gone && (local || remote)
        });
        let gone: Vec<_> = gone.map(|entry| entry.info.clone()).collect();
        for info in gone {
            self.missed.shift_remove(&info.id);
            let state = State::Gone;
            self.merge(now, MemberInfo { state, ..info });
            actions.push(Action::Changed);
        }
        actions.dedup();
    }

    /// Compares tables with one proxy of this data centre and with one over each link: updates
    /// may have been missed, in particular during a partition.
    pub(super) fn compare_with_some(&mut self, actions: &mut Vec<Action>) {
        let local = self.next_in_cycle().and_then(|id| self.peer(&id));
        let linked = self.links.due(&self.table, &self.me.id);
        for peer in local.into_iter().chain(linked) {
            let digests = self.table.digests();
            actions.push(Action::Compare(peer, Compare { digests }));
        }
    }

    /// Sends a heartbeat to a gone proxy of this data centre. If it does run, e.g. after a
    /// partition within the data centre, it refutes.
    pub(super) fn contact_gone(&mut self, actions: &mut Vec<Action>) {
        let home = &self.me.data_centre;
        let gone = self.table.iter().map(|entry| &entry.info);
        let gone = gone.filter(|n| n.state == State::Gone && n.data_centre == *home);
        let chosen = gone.choose(&mut self.rng).map(|info| info.id.clone());
        if let Some(id) = chosen {
            self.send_heartbeat(&id, actions);
        }
    }

    /// The tables that differ from those of a peer, by the hashes that it sent.
    pub fn differing_tables(&self, compare: &Compare) -> Tables {
        let digests = self.table.digests();
        let differs = |name: &DataCentre| digests.get(name) != compare.digests.get(name);
        let members = self.table.iter().map(|entry| &entry.info);
        let members = members.filter(|info| differs(&info.data_centre));
        Tables {
            members: members.cloned().collect(),
        }
    }

    /// Merges the tables that a peer sent. Their contents were gossiped before and are not
    /// gossiped again: after a restart this would cost each proxy a message about every other.
    pub fn tables_received(&mut self, now: Time, tables: Tables) -> Vec<Action> {
        let mut changed = false;
        for info in tables.members {
            changed |= if info.id == self.me.id {
                self.refute(now, &info)
            } else {
                self.table.merge(now, info)
            };
        }
        Vec::from_iter(changed.then_some(Action::Changed))
    }

    pub(super) fn forget(&mut self, now: Time) {
        if now.as_micros() > FORGET_AFTER.as_micros() {
            let cutoff = now.as_micros() - FORGET_AFTER.as_micros();
            self.table.forget(Time::from_micros(cutoff));
        }
    }
}
